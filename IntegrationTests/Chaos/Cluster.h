/// \file
/// Runs the whole product as real processes, with stand-ins for the platform
/// and a fault proxy on each link.
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

/// Describes a scaled-down copy of a user's deployment. An immutable value.
struct ClusterPlan {
  std::string Name;
  std::vector<std::string> Domains;
  std::string EngineService;
  std::string Model;
  std::string PlainService;
  std::string Trainer;
  std::uint32_t StalenessBound = 1;
  /// True if the engines refuse orders with an old fencing token.
  bool EnginesCheckFences = true;
  std::uint32_t Engines = 4;
  std::uint32_t PlainServers = 2;
  std::uint32_t Entries = 2;
};

/// Returns the plan of `lindqvist` or `balikbayan`. Errors: `BadInput`.
Result<ClusterPlan> findClusterPlan(const std::string &Deployment);

/// A daemon or an entry, whose process may be replaced.
struct ProcessSlot {
  std::string Instance;
  std::string Domain;
  bool IsEntry = false;
  /// Server of a daemon; empty for an entry.
  std::string Server;
  std::vector<std::string> Flags;
  std::unique_ptr<harness::StandIn> FramesLink;
  std::unique_ptr<harness::StandIn> ControlLink;
  /// Held while a fault is applied to the process.
  std::mutex FaultMutex;
  /// Guards the members below.
  mutable std::mutex Mutex;
  std::shared_ptr<harness::Process> Process;
  Address Admin;
  Address Http;
  std::uint32_t Starts = 0;
};

/// Owns all processes. Thread-safe once started. The process of a slot may be
/// replaced; read it under the slot's mutex.
class Cluster {
public:
  /// Starts the stand-ins, publishes the declarations, starts the product and
  /// waits until it is ready. Writes logs to `Folder`. Errors: `Unavailable`.
  static Result<std::unique_ptr<Cluster>>
  start(ClusterPlan Plan, std::uint64_t Seed, std::string Folder);

  /// Starts the process of a slot and directs its links to it. Errors:
  /// `Unavailable`.
  Result<void> startSlot(ProcessSlot &Slot);
  /// Kills the process of a slot and removes its instance from the platform.
  void killSlot(ProcessSlot &Slot);
  /// Kills an engine; `startEngine` restarts it at the same address, unless it
  /// is running.
  void killEngine(std::size_t Index);
  Result<void> startEngine(std::size_t Index);
  /// Returns the current process of an engine; it may be replaced at any time.
  std::shared_ptr<harness::StandIn> engine(std::size_t Index) const;
  /// Exit code and output of a wasabictl command.
  struct CtlCommandResult {
    int Code = -1;
    std::string Output;
  };
  CtlCommandResult runCtl(std::vector<std::string> Arguments) const;
  /// Writes a folder of declarations in which the limit `chaos` has this rate.
  /// Returns the folder.
  std::string writeDeclarations(const std::string &Name,
                                std::uint32_t Rate) const;
  /// Returns all fault proxies.
  std::vector<harness::StandIn *> links();
  /// Returns the current address of a slot; empty while its process is down.
  static Address adminAddress(const ProcessSlot &Slot);
  static Address httpAddress(const ProcessSlot &Slot);
  static std::shared_ptr<harness::Process>
  currentProcess(const ProcessSlot &Slot);

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
  std::vector<std::unique_ptr<ProcessSlot>> Daemons;
  std::vector<std::unique_ptr<ProcessSlot>> Entries;

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
  Result<void> prepareSlot(ProcessSlot &Slot);
  Result<void> startProcesses();
  std::vector<std::string> engineFlags(std::size_t Index) const;

  mutable std::mutex EnginesMutex;
  std::vector<std::shared_ptr<harness::StandIn>> Engines;
};

} // namespace wasabi::chaos

#endif // WASABI_INTEGRATIONTESTS_CHAOS_CLUSTER_H
