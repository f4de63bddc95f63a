/// \file
/// Runs trainers, engines and daemons as real processes with the platform's
/// stand-ins, for integration tests and the rollout benchmark.
#ifndef WASABI_INTEGRATIONTESTS_HARNESS_ROLLOUTCLUSTER_H
#define WASABI_INTEGRATIONTESTS_HARNESS_ROLLOUTCLUSTER_H

#include "IntegrationTests/Harness/Process.h"
#include "IntegrationTests/Harness/StandIn.h"
#include "Wasabi/Core/Verdict.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace wasabi::harness {

/// Settings of one trainer in a cluster.
struct ClusterTrainer {
  std::string Name = "t";
  std::uint32_t Groups = 3;
  std::uint32_t GroupSize = 4;
  std::uint32_t MaxTokens = 40;
  std::uint32_t TrainMs = 100;
  std::uint32_t Steps = 0;
  std::uint32_t StalenessBound = 1;
  bool ChecksFences = true;
  std::uint64_t Seed = 1;
};

/// Figures from a trainer's own record.
struct TrainerTruth {
  std::uint64_t IdleUs = 0;
  std::uint64_t TrainingUs = 0;
  std::uint64_t StepsTrained = 0;
  std::uint64_t Taken = 0;
  std::uint64_t Duplicates = 0;
  std::uint64_t Stale = 0;
  std::uint64_t Mislabelled = 0;
  std::uint64_t Unknown = 0;
  /// Versions behind the newest on arrival, for each accepted sample.
  std::vector<std::uint64_t> Staleness;
  /// Microseconds from the opening of a step to its completion, for each
  /// completed step.
  std::vector<std::uint64_t> StepUs;
  /// Number of tokens in the accepted samples.
  std::uint64_t Tokens = 0;
};

/// A cluster of rollout processes. Not thread-safe.
class RolloutCluster {
public:
  struct Settings {
    std::vector<ClusterTrainer> Trainers{ClusterTrainer()};
    std::uint32_t Engines = 3;
    std::uint32_t EngineSlots = 4;
    double TokensPerSecond = 200;
    /// Failure domains, assigned in turn to the daemons; each engine has one
    /// daemon.
    std::vector<std::string> Domains{"lulea-hall", "umea-hall",
                                     "sundsvall-hall"};
    std::uint64_t BytesPerSecond = 1000000000;
    std::uint64_t BlobBytes = 20000000;
    std::uint32_t Fetches = 64;
    /// Further members of the active preset, for example `,"hedge_tail":false`.
    std::string PresetMembers;
    /// Additional flags of each daemon.
    std::vector<std::string> DaemonFlags;
    /// Folder for the processes' stderr; if empty, stderr is discarded.
    std::string ErrorFolder;
  };

  /// Starts the stand-ins and the daemons and declares all objects. Errors:
  /// `Unavailable` naming the process that did not start.
  static Result<std::unique_ptr<RolloutCluster>> start(Settings Setup);

  StandIn &trainer(std::size_t At) { return *Trainers[At]; }
  StandIn &engine(std::size_t At) { return *Engines[At]; }
  StandIn &log() { return *Log; }
  StandIn &scorer() { return *Scorer; }
  StandIn &weights() { return *Weights; }
  Process &daemon(std::size_t At) { return *Daemons[At].Child; }
  std::size_t daemons() const { return Daemons.size(); }

  /// Returns the daemon that owns a trainer according to its own status; empty
  /// if there is none.
  std::optional<std::size_t> findOwner(const std::string &Trainer) const;
  /// Returns the number of attempts in flight at a trainer's owner; empty
  /// without an owner.
  std::optional<std::uint64_t> runningSamples(const std::string &Trainer) const;
  /// Returns a daemon's `/status`; null if it does not answer.
  boost::json::value status(std::size_t At) const;
  /// Kills a daemon and removes it from the platform's list.
  void killDaemon(std::size_t At);
  /// Restarts an engine on its previous address.
  void replaceEngine(std::size_t At);
  /// Activates a preset.
  Outcome<Done> declarePreset(const std::string &Members);
  /// Returns the figures from a trainer's record.
  Outcome<TrainerTruth> truth(std::size_t At) const;
  /// Waits until a trainer has trained on `Steps` steps.
  bool waitForSteps(std::size_t At, std::uint64_t Steps, Millis Timeout) const;
  /// Microseconds from each version's publication until its last complete
  /// fetch.
  std::vector<std::uint64_t> weightSwapTimes() const;
  /// Number of tokens that all running engines generated.
  std::uint64_t generatedTokens() const;

private:
  struct Daemon {
    std::string Instance;
    std::unique_ptr<Process> Child;
    Address Admin;
  };

  /// Returns a daemon's status of a trainer; null if the daemon does not own
  /// it.
  boost::json::value ownedTrainerStatus(std::size_t At,
                                        const std::string &Trainer) const;
  explicit RolloutCluster(Settings Setup) : Setup(std::move(Setup)) {}
  Result<void> startPlatform();
  Result<std::unique_ptr<StandIn>> startEngine(std::size_t At, Address Listen);
  Result<void> startTrainer(const ClusterTrainer &Trainer);
  Result<void> startDaemon(std::size_t At);
  Outcome<Done> declare();
  Outcome<Done> change(std::vector<std::pair<std::string, std::string>> Writes);

  const Settings Setup;
  std::unique_ptr<StandIn> Log;
  std::unique_ptr<StandIn> Instances;
  std::unique_ptr<StandIn> Weights;
  std::unique_ptr<StandIn> Scorer;
  std::vector<std::unique_ptr<StandIn>> Trainers;
  std::vector<std::unique_ptr<StandIn>> Engines;
  std::vector<Daemon> Daemons;
  std::uint64_t Changes = 0;
};

} // namespace wasabi::harness

#endif // WASABI_INTEGRATIONTESTS_HARNESS_ROLLOUTCLUSTER_H
