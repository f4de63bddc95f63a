#include "Wasabi/Rollout/LoadReports.h"

namespace wasabi {

void LoadReports::take(const ReportedLoad &Report, TimePoint Now) {
  Held &held = Newest[Report.Server];
  held = Held{Report, Now, held.Count + 1};
}

std::uint64_t LoadReports::count(const ServerName &Of) const {
  const auto found = Newest.find(Of);
  return found == Newest.end() ? 0 : found->second.Count;
}

const ReportedLoad *LoadReports::find(const ServerName &Of,
                                      TimePoint Now) const {
  const auto found = Newest.find(Of);
  if (found == Newest.end() || Now - found->second.At > LoadReportTimeout)
    return nullptr;
  return &found->second.Report;
}

} // namespace wasabi
