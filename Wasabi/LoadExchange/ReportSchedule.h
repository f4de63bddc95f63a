/// \file
/// Decides when a process under strain appends its next load report.
#ifndef WASABI_LOADEXCHANGE_REPORTSCHEDULE_H
#define WASABI_LOADEXCHANGE_REPORTSCHEDULE_H

#include "Wasabi/LoadExchange/LoadView.h"

#include <optional>
#include <random>

namespace wasabi {

/// When a process last reported. A value.
struct ReportSchedule {
  struct Settings {
    /// The first report of a period of strain is delayed by up to this time,
    /// since the same event often strains all processes.
    Millis MaxFirstDelay{250};
    /// Intervals vary by this part of their length, so that the processes do
    /// not report together.
    double Jitter = 0.2;
    /// Number of decisions within the time in which a report reaches the other
    /// processes. All of them see the same free bandwidth, so that each one
    /// uses only this part of its portion at a time.
    double DecisionsPerDelivery = 4;
  };

  Settings Limits;
  /// When the last report was appended, in this period of strain or an earlier
  /// one.
  std::optional<TimePoint> LastAt;
  /// Earliest time of the first report of this period.
  TimePoint FirstAt;
  /// True once there was a report in this period.
  bool HasReported = false;
  /// The next interval in parts of `reportInterval`.
  double Factor = 1;
};

/// Begins a period of strain. Modifies only `Schedule` and `Random`.
void beginPeriod(ReportSchedule &Schedule, TimePoint Now,
                 std::mt19937_64 &Random);

/// Records that a report was appended. Modifies only `Schedule` and `Random`.
void noteReport(ReportSchedule &Schedule, TimePoint Now,
                std::mt19937_64 &Random);

/// Returns whether to append a report of `OwnBytes` bytes at `Now`. An urgent
/// one is sent at once while the processes' reports together stay below
/// `LoadView::Settings::MaxBytesPerSecond`. Modifies only `Random`.
bool isReportDue(const ReportSchedule &Schedule, const LoadView &View,
                 bool Urgent, std::size_t OwnBytes, TimePoint Now,
                 std::mt19937_64 &Random);

} // namespace wasabi

#endif // WASABI_LOADEXCHANGE_REPORTSCHEDULE_H
