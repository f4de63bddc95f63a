/// \file
/// The load reports that daemons push, for as long as they say something.
#ifndef WASABI_ROLLOUT_LOADREPORTS_H
#define WASABI_ROLLOUT_LOADREPORTS_H

#include "Wasabi/Adapters/Frames/RequestClient.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"

#include <cstdint>
#include <map>

namespace wasabi {

/// A report that is older says nothing: its connection was lost, its daemon is
/// paused or was replaced. Daemons report five times as often.
inline constexpr Millis LoadReportTimeout{1000};

/// The newest report of each server, with the time when it came. Not
/// thread-safe; time is passed in.
class LoadReports {
public:
  /// Takes a report that came at `Now`.
  void take(const ReportedLoad &Report, TimePoint Now);
  /// The report of a server, or null when there is none that still counts.
  const ReportedLoad *find(const ServerName &Of, TimePoint Now) const;

  /// How many reports of a server came; the same number again is no news.
  std::uint64_t count(const ServerName &Of) const;

private:
  struct Held {
    ReportedLoad Report;
    TimePoint At;
    std::uint64_t Count = 0;
  };
  std::map<ServerName, Held> Newest;
};

} // namespace wasabi

#endif // WASABI_ROLLOUT_LOADREPORTS_H
