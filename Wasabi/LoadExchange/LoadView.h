/// \file
/// The load reports of other processes that are currently valid.
#ifndef WASABI_LOADEXCHANGE_LOADVIEW_H
#define WASABI_LOADEXCHANGE_LOADVIEW_H

#include "Wasabi/LoadExchange/FairShare.h"
#include "Wasabi/LoadExchange/LoadReport.h"
#include "Wasabi/LoadExchange/ServiceLoad.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string_view>
#include <vector>

namespace wasabi {

/// A report that was read, and its age at this process.
struct HeldReport {
  LoadReport Report;
  std::size_t Bytes = 0;
  TimePoint ArrivedAt;
  /// False if only the incarnation and sequence number are still known.
  bool Valid = false;
};

/// The reports of other processes. Owned by one thread.
struct LoadView {
  struct Settings {
    /// Reports are valid for this many intervals, but at least for
    /// `MinValidity`, so that two of three may be lost.
    std::uint32_t ValidIntervals = 3;
    Millis MinValidity{3000};
    /// Time for which the sequence number of a process is remembered after its
    /// last report. Longer than an append can be delayed.
    Millis MemoryTime{60000};
    std::size_t MaxProcesses = 1024;
    /// Minimum time between two periodic reports of a process, and the part of
    /// it for each reporting process: at most 20 reports per second in all.
    Millis MinInterval{1000};
    Millis IntervalPerProcess{50};
    /// Bytes per second of the periodic reports of all processes. The rest of
    /// `MaxBytesPerSecond` is left for urgent reports.
    double PeriodicBytesPerSecond = 4000;
    double MaxBytesPerSecond = 5000;
    Millis MaxInterval{60000};
    /// Half-life of the weight of a latency estimate.
    Millis EstimateHalfLife{1000};
    /// No share is in force with more reporting processes than this, or if
    /// others' newest report is older than `MaxShareAge`.
    std::size_t MaxSharingProcesses = 64;
    Millis MaxShareAge{3000};
    /// A report whose incarnation is later than the wall clock of this process
    /// by more than this is from the future.
    Micros MaxClockSkew{std::chrono::hours(1)};
    /// Minimum time between any two reports of a process.
    Millis MinReportGap{250};
  };

  Settings Limits;
  std::map<InstanceName, HeldReport> Reports;
  /// The interval between two reports of a process as of the last
  /// `expireReports`. A process that reported before it knew of the others has
  /// stated a shorter one.
  Millis Interval{0};
  /// Times and sizes of the records that were read or written within the last
  /// second.
  std::deque<std::pair<TimePoint, std::size_t>> Traffic;
};

/// The effect of a report on the view.
enum class ReportEffect : std::uint8_t {
  Accepted,
  OlderIncarnation,
  LowerSequence,
  FromFuture,
  TooManyProcesses,
};

/// Returns a text for logs and metric labels.
std::string_view toText(ReportEffect Effect);

/// Applies a report of `Bytes` bytes that has arrived at `Now`, when the wall
/// clock shows `WallNow` microseconds. With `Valid` false, as for one of
/// unknown age, only its incarnation and sequence number are remembered.
/// Modifies only `View`.
ReportEffect applyReport(LoadView &View, const InstanceName &Instance,
                         LoadReport Report, std::size_t Bytes, bool Valid,
                         TimePoint Now, std::uint64_t WallNow);

/// Forgets a process whose report was deleted.
void removeReport(LoadView &View, const InstanceName &Instance);

/// Updates `View.Interval` and drops the reports that are no longer valid at
/// `Now`. Modifies only `View`.
void expireReports(LoadView &View, TimePoint Now);

/// Records that `Bytes` were read or written. Modifies only `View`.
void recordTraffic(LoadView &View, std::size_t Bytes, TimePoint Now);

/// Returns the bytes that were read or written within the last second. Pure.
std::size_t recentTraffic(const LoadView &View, TimePoint Now);

/// Returns the number of processes with a valid report. Pure.
std::size_t countReports(const LoadView &View);

/// Returns the time between two periodic reports of this process, whose report
/// has `OwnBytes` bytes. Pure.
Millis reportInterval(const LoadView &View, std::size_t OwnBytes);

/// Returns the load of a service as the valid reports have it; empty if none
/// contains the service. Pure.
std::optional<ServiceLoad> foldLoad(const LoadView &View,
                                    const ServiceName &Service, TimePoint Now);

/// Returns the services of all valid reports. Pure.
std::vector<ServiceName> reportedServices(const LoadView &View);

/// Returns the demand in a report, in concurrent requests: the greater one of
/// the requests in flight and of the rate times `LatencyMs`, since requests
/// that are refused at once are hardly ever in flight. Pure.
ServiceDemand demandOf(const ReportedService &Service, double LatencyMs);

/// Returns the mean latency of a service in milliseconds as all valid reports
/// and `Own` have it, weighted by samples; 0 if unknown. Pure.
double meanLatencyMs(const LoadView &View, const ServiceName &Service,
                     const ReportedService &Own);

/// Returns the share of this process in `Room` concurrent requests, if one is
/// in force. `Own` is the newest report of this process. Pure.
std::optional<FairShare> findFairShare(const LoadView &View,
                                       const ServiceName &Service,
                                       const ReportedService &Own, double Room,
                                       TimePoint Now);

} // namespace wasabi

#endif // WASABI_LOADEXCHANGE_LOADVIEW_H
