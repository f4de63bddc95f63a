/// \file
/// A fleet of real daemons in front of one plain upstream, used to measure
/// control-plane cost at different sizes.
#ifndef WASABI_BENCH_FLEET_H
#define WASABI_BENCH_FLEET_H

#include "IntegrationTests/Harness/Process.h"
#include "IntegrationTests/Harness/StandIn.h"
#include "Wasabi/Core/Timeline.h"

#include <boost/json/value.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wasabi::bench {

/// One daemon of the fleet.
struct FleetDaemon {
  std::string Instance;
  std::unique_ptr<harness::Process> Child;
  Address Admin;
};

/// Runs the platform's stand-ins and N daemons in seven failure domains. Not
/// thread-safe.
class Fleet {
public:
  /// Starts all processes and waits until every daemon is ready and sees all
  /// others. Errors: `Unavailable` naming the process that did not start.
  static Result<std::unique_ptr<Fleet>> start(std::size_t Daemons);

  std::vector<FleetDaemon> &daemons() { return Daemons; }
  const harness::StandIn &log() const { return *Log; }
  /// Appends one change that toggles a switch between two presets. Returns the
  /// wall time in microseconds at which the log answered.
  Outcome<std::uint64_t> changeConfiguration();

private:
  Fleet() = default;
  Result<void> startPlatform();
  Result<void> startDaemon(std::size_t Number);
  bool allDaemonsSeeEachOther() const;

  std::unique_ptr<harness::StandIn> Log;
  std::unique_ptr<harness::StandIn> Instances;
  std::unique_ptr<harness::StandIn> Weights;
  std::unique_ptr<harness::StandIn> Scorer;
  std::unique_ptr<harness::StandIn> Upstream;
  std::vector<FleetDaemon> Daemons;
  std::uint64_t Changes = 0;
};

/// Returns the daemon's `/status`, or nothing if it does not answer.
std::optional<boost::json::value> fetchStatus(const FleetDaemon &Daemon);

/// Returns the daemon's timeline, empty if it does not answer.
std::vector<TimelineEvent> fetchTimeline(const FleetDaemon &Daemon);

} // namespace wasabi::bench

#endif // WASABI_BENCH_FLEET_H
