/// \file
/// Stores the load reports that daemons push.
#ifndef WASABI_ROLLOUT_LOADREPORTS_H
#define WASABI_ROLLOUT_LOADREPORTS_H

#include "Wasabi/Adapters/Frames/RequestClient.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"

#include <cstdint>
#include <map>

namespace wasabi {

/// Age at which a report expires, because its connection was lost or its daemon
/// was paused or replaced.
inline constexpr Millis LoadReportTimeout{1000};

/// The newest report of each server with its time of receipt. Not thread-safe.
class LoadReports {
public:
  /// Stores a report that was received at `Now`.
  void update(const ReportedLoad &Report, TimePoint Now);
  /// Returns the report of a server, or null if there is none or it has
  /// expired.
  const ReportedLoad *find(const ServerName &Server, TimePoint Now) const;

  /// Returns the number of reports received of a server.
  std::uint64_t count(const ServerName &Server) const;

private:
  struct StoredReport {
    ReportedLoad Report;
    TimePoint ReceivedAt;
    std::uint64_t Count = 0;
  };
  std::map<ServerName, StoredReport> Newest;
};

} // namespace wasabi

#endif // WASABI_ROLLOUT_LOADREPORTS_H
