/// \file
/// Entries, daemons and the upstreams behind them, used to measure requests.
#ifndef WASABI_BENCH_REQUESTFLEET_H
#define WASABI_BENCH_REQUESTFLEET_H

#include "IntegrationTests/Harness/Process.h"
#include "IntegrationTests/Harness/StandIn.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wasabi::bench {

/// The service of all upstreams of a fleet, and its model if they are engines.
inline constexpr char FleetService[] = "desk";
inline constexpr char FleetModel[] = "draft";

/// One upstream and the daemon in front of it.
struct FleetUpstream {
  std::string Server;
  std::unique_ptr<harness::StandIn> StandIn;
  std::unique_ptr<harness::Process> Daemon;
  Address Admin;
};

struct FleetEntry {
  std::unique_ptr<harness::Process> Child;
  Address Callers;
  Address Admin;
};

/// Counters of a fleet's processes by name, summed over labels.
using CounterTotals = std::map<std::string, double>;

/// Runs the platform's stand-ins, the entries, and one daemon per upstream. Not
/// thread-safe.
class RequestFleet {
public:
  struct Settings {
    std::size_t Entries = 1;
    std::size_t Upstreams = 1;
    /// `service` or `engine`.
    std::string Role = "service";
    /// Flags of each upstream in addition to its name.
    std::vector<std::string> Flags;
    /// Declarations in addition to the service's, as a JSON array.
    std::string Declarations = "[]";
  };

  /// Starts all processes, declares the service, and waits until every entry
  /// returns a response. Errors: `Unavailable` naming the process that did not
  /// start.
  static Result<std::unique_ptr<RequestFleet>> start(Settings Setup);

  std::vector<FleetEntry> &entries() { return Entries; }
  std::vector<FleetUpstream> &upstreams() { return Upstreams; }
  /// Addresses of the entries.
  std::vector<Address> callerAddresses() const;
  /// Addresses of the upstreams, for calls that bypass the product.
  std::vector<Address> upstreamAddresses() const;
  /// Returns the summed counters of all entries and daemons that answer.
  CounterTotals readCounters() const;
  /// Returns the CPU time used by entries and daemons, in seconds.
  double entryCpuSeconds() const;
  double daemonCpuSeconds() const;

private:
  explicit RequestFleet(Settings Setup) : Setup(std::move(Setup)) {}
  Result<void> startPlatform();
  Result<void> startUpstream(std::size_t Number);
  Result<void> startEntry(std::size_t Number);
  Result<void> declare();
  Result<void> waitUntilServing() const;
  bool servesAll(const FleetEntry &Entry) const;

  const Settings Setup;
  std::unique_ptr<harness::StandIn> Log;
  std::unique_ptr<harness::StandIn> Instances;
  std::vector<FleetUpstream> Upstreams;
  std::vector<FleetEntry> Entries;
};

/// Returns `After` minus `Before` for each counter.
CounterTotals subtractCounters(const CounterTotals &After,
                               const CounterTotals &Before);

} // namespace wasabi::bench

#endif // WASABI_BENCH_REQUESTFLEET_H
