#include "Wasabi/LoadExchange/ReportSchedule.h"

#include <algorithm>

namespace wasabi {

void beginPeriod(ReportSchedule &Schedule, TimePoint Now,
                 std::mt19937_64 &Random) {
  double part = std::uniform_real_distribution<>()(Random);
  Schedule.FirstAt = Now + std::chrono::duration_cast<Millis>(
                               Schedule.Limits.MaxFirstDelay * part);
  Schedule.HasReported = false;
}

void noteReport(ReportSchedule &Schedule, TimePoint Now,
                std::mt19937_64 &Random) {
  double jitter = Schedule.Limits.Jitter;
  Schedule.LastAt = Now;
  Schedule.HasReported = true;
  Schedule.Factor =
      std::uniform_real_distribution<>(1 - jitter, 1 + jitter)(Random);
}

bool isReportDue(const ReportSchedule &Schedule, const LoadView &View,
                 bool Urgent, std::size_t OwnBytes, TimePoint Now,
                 std::mt19937_64 &Random) {
  if (Schedule.LastAt && Now - *Schedule.LastAt < View.Limits.MinReportGap)
    return false;
  if (!Schedule.HasReported)
    return Now >= Schedule.FirstAt;
  if (Now - *Schedule.LastAt >=
      reportInterval(View, OwnBytes) * Schedule.Factor)
    return true;
  if (!Urgent)
    return false;
  double left = View.Limits.MaxBytesPerSecond -
                static_cast<double>(recentTraffic(View, Now));
  double reports =
      left / static_cast<double>(std::max<std::size_t>(OwnBytes, 1));
  double chance = reports / static_cast<double>(countReports(View) + 1) /
                  Schedule.Limits.DecisionsPerDelivery;
  return std::uniform_real_distribution<>()(Random) < chance;
}

} // namespace wasabi
