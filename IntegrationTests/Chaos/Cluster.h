/// \file
/// The whole product as real processes, with stand-ins for the platform and a
/// fault proxy on each link.
#ifndef WASABI_INTEGRATIONTESTS_CHAOS_CLUSTER_H
#define WASABI_INTEGRATIONTESTS_CHAOS_CLUSTER_H

#include "IntegrationTests/Harness/Process.h"
#include "IntegrationTests/Harness/StandIn.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace wasabi::chaos {

/// What is started: the users' deployments, made small. An immutable value.
struct ClusterPlan {
  std::string Name;
  std::vector<std::string> Domains;
  std::string EngineService;
  std::string Model;
  std::string PlainService;
  std::string Trainer;
  std::uint32_t StalenessBound = 1;
  /// Whether the engines refuse orders with an old fencing token.
  bool EnginesCheckFences = true;
  std::uint32_t Engines = 4;
  std::uint32_t PlainServers = 2;
  std::uint32_t Entries = 2;
};

/// The plan of `lindqvist` or `balikbayan`. Errors: `BadInput`.
Result<ClusterPlan> findClusterPlan(const std::string &Deployment);

/// One slot of the product: a daemon or an entry, replaced at need.
struct Slot {
  std::string Instance;
  std::string Domain;
  bool IsEntry = false;
  /// The server behind a daemon; empty for an entry.
  std::string Server;
  std::vector<std::string> Flags;
  std::unique_ptr<harness::StandIn> FramesLink;
  std::unique_ptr<harness::StandIn> ControlLink;
  /// Held while something is done to the process.
  std::mutex Busy;
  /// Guards what is below.
  mutable std::mutex Guard;
  std::shared_ptr<harness::Process> Process;
  Address Admin;
  Address Http;
  std::uint32_t Starts = 0;
};

/// Owns all processes. The members are safe from several threads once started;
/// what a slot's process is may change, and is read under its guard.
class Cluster {
public:
  /// Starts the stand-ins, publishes the declarations, starts the product and
  /// waits until it is ready. Logs go to `Folder`. Errors: `Unavailable`.
  static Result<std::unique_ptr<Cluster>>
  start(ClusterPlan Plan, std::uint64_t Seed, std::string Folder);

  /// Starts the process of a slot, and points its links at it. Errors:
  /// `Unavailable`.
  Result<void> startSlot(Slot &Which);
  /// Ends it at once, and has the platform forget it.
  void killSlot(Slot &Which);
  /// Ends an engine at once; `startEngine` brings it back where it was, unless
  /// it runs.
  void killEngine(std::size_t Which);
  Result<void> startEngine(std::size_t Which);
  /// An engine's process now; it may be replaced meanwhile.
  std::shared_ptr<harness::StandIn> engine(std::size_t Which) const;
  /// Runs wasabictl to its end; its exit code and what it printed.
  struct CtlCommandResult {
    int Code = -1;
    std::string Output;
  };
  CtlCommandResult control(std::vector<std::string> Arguments) const;
  /// Writes a folder of declarations in which the limit `chaos` has this rate.
  std::string writeDeclarations(const std::string &Name,
                                std::uint32_t Rate) const;
  /// Every fault proxy.
  std::vector<harness::StandIn *> links();
  /// The address of a slot's part now; empty while it is down.
  static Address adminAddress(const Slot &Which);
  static Address httpAddress(const Slot &Which);
  static std::shared_ptr<harness::Process> currentProcess(const Slot &Which);

  const ClusterPlan Plan;
  const std::uint64_t Seed;
  const std::string Folder;
  std::unique_ptr<harness::StandIn> Log;
  std::unique_ptr<harness::StandIn> Weights;
  std::unique_ptr<harness::StandIn> Instances;
  std::unique_ptr<harness::StandIn> Scorer;
  std::unique_ptr<harness::StandIn> Trainer;
  std::vector<std::unique_ptr<harness::StandIn>> Services;
  std::unique_ptr<harness::StandIn> LogLink;
  std::unique_ptr<harness::StandIn> WeightsLink;
  std::unique_ptr<harness::StandIn> InstancesLink;
  std::unique_ptr<harness::StandIn> TrainerLink;
  std::vector<std::unique_ptr<Slot>> Daemons;
  std::vector<std::unique_ptr<Slot>> Entries;

private:
  Cluster(ClusterPlan Plan, std::uint64_t Seed, std::string Folder)
      : Plan(std::move(Plan)), Seed(Seed), Folder(std::move(Folder)) {}
  Result<std::unique_ptr<harness::StandIn>>
  standIn(const std::string &Role, std::vector<std::string> Flags,
          const std::string &LogName, Address Listen = {"127.0.0.1", 0});
  Result<std::unique_ptr<harness::StandIn>> link(const Address &Upstream,
                                                 const std::string &LogName);
  Result<void> startPlatform();
  Result<void> startUpstreams();
  Result<void> prepareSlots();
  Result<void> prepareSlot(Slot &Which);
  Result<void> startProduct();
  std::vector<std::string> engineFlags(std::size_t Which) const;

  mutable std::mutex EnginesMutex;
  std::vector<std::shared_ptr<harness::StandIn>> Engines;
};

} // namespace wasabi::chaos

#endif // WASABI_INTEGRATIONTESTS_CHAOS_CLUSTER_H
