#include "Wasabi/Rollout/LoadReports.h"

namespace wasabi {

void LoadReports::update(const ReportedLoad &Report, TimePoint Now) {
  StoredReport &stored = Newest[Report.Server];
  stored = StoredReport{Report, Now, stored.Count + 1};
}

std::uint64_t LoadReports::count(const ServerName &Server) const {
  const auto found = Newest.find(Server);
  return found == Newest.end() ? 0 : found->second.Count;
}

const ReportedLoad *LoadReports::find(const ServerName &Server,
                                      TimePoint Now) const {
  const auto found = Newest.find(Server);
  if (found == Newest.end() ||
      Now - found->second.ReceivedAt > LoadReportTimeout)
    return nullptr;
  return &found->second.Report;
}

} // namespace wasabi
