/// \file
/// Many real daemons before one plain upstream, for measuring what their
/// control costs at different sizes.
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

/// The platform's stand-ins and N daemons over the target's seven domains.
/// Not thread-safe.
class Fleet {
public:
  /// Starts all and waits until every daemon is ready and sees all others.
  /// Errors: `Unavailable` naming what did not come up.
  static Result<std::unique_ptr<Fleet>> start(std::size_t Daemons);

  std::vector<FleetDaemon> &daemons() { return Daemons; }
  const harness::StandIn &log() const { return *Log; }
  /// Appends one change of the switch that alternates between two presets;
  /// wall time in microseconds at which the log had answered.
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

/// A daemon's `/status`; empty when it does not answer.
std::optional<boost::json::value> statusOf(const FleetDaemon &Who);

/// A daemon's time line; empty when it does not answer.
std::vector<TimelineEvent> eventsOf(const FleetDaemon &Who);

} // namespace wasabi::bench

#endif // WASABI_BENCH_FLEET_H
