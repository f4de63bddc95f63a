#include "Wasabi/Rollout/LoadReports.h"

namespace wasabi {

void LoadReports::take(const LoadSeen &Report, TimePoint Now) {
  Newest[Report.Server] = Held{Report, Now};
}

const LoadSeen *LoadReports::find(const ServerName &Of, TimePoint Now) const {
  const auto found = Newest.find(Of);
  if (found == Newest.end() || Now - found->second.At > LoadReportLife)
    return nullptr;
  return &found->second.Report;
}

} // namespace wasabi
