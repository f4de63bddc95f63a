/// \file
/// Entries, daemons and the upstreams behind them, for measuring requests.
#ifndef WASABI_BENCH_REQUESTFLEET_H
#define WASABI_BENCH_REQUESTFLEET_H

#include "IntegrationTests/Harness/Process.h"
#include "IntegrationTests/Harness/StandIn.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wasabi::bench {

/// The service that all of a fleet's upstreams belong to, and its model where
/// they are engines.
inline constexpr char FleetService[] = "desk";
inline constexpr char FleetModel[] = "draft";

/// One upstream and the daemon before it.
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

/// Counters of a fleet's processes by name, labels left out.
using Decisions = std::map<std::string, double>;

/// The platform's stand-ins, entries, and a daemon an upstream.
/// Not thread-safe.
class RequestFleet {
public:
  struct Settings {
    std::size_t Entries = 1;
    std::size_t Upstreams = 1;
    /// `service` or `engine`.
    std::string Role = "service";
    /// Flags of each upstream, besides its name.
    std::vector<std::string> Flags;
    /// More declarations than the service's, as a JSON array.
    std::string Declarations = "[]";
  };

  /// Starts all, declares the service, and waits until every entry has got an
  /// answer. Errors: `Unavailable` naming what did not come up.
  static Result<std::unique_ptr<RequestFleet>> start(Settings Setup);

  std::vector<FleetEntry> &entries() { return Entries; }
  std::vector<FleetUpstream> &upstreams() { return Upstreams; }
  /// Where callers ask.
  std::vector<Address> callerAddresses() const;
  /// The upstreams themselves, for asking without the product.
  std::vector<Address> upstreamAddresses() const;
  /// The counters of all entries and daemons that answer, summed up.
  Decisions decisions() const;
  /// Processor time that entries and daemons have used, in seconds.
  double entryCpuSeconds() const;
  double daemonCpuSeconds() const;

private:
  explicit RequestFleet(Settings Setup) : Setup(std::move(Setup)) {}
  Result<void> startPlatform();
  Result<void> startUpstream(std::size_t Number);
  Result<void> startEntry(std::size_t Number);
  Result<void> declare();
  Result<void> waitUntilServing() const;
  bool servesAll(const FleetEntry &Who) const;

  const Settings Setup;
  std::unique_ptr<harness::StandIn> Log;
  std::unique_ptr<harness::StandIn> Instances;
  std::vector<FleetUpstream> Upstreams;
  std::vector<FleetEntry> Entries;
};

/// What `After` has more than `Before`.
Decisions difference(const Decisions &After, const Decisions &Before);

} // namespace wasabi::bench

#endif // WASABI_BENCH_REQUESTFLEET_H
