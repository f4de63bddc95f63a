/// \file
/// The cases of the rollout bench.
#ifndef WASABI_BENCH_ROLLOUTBENCH_H
#define WASABI_BENCH_ROLLOUTBENCH_H

#include "IntegrationTests/Harness/RolloutCluster.h"

#include <cstdint>
#include <string>

namespace wasabi::bench {

/// Scheduling of samples and weights in one run.
enum class RolloutVariant : std::uint8_t {
  /// The product's default preset.
  Product,
  /// Baseline: round-robin, no hedging, all engines swapped at once, samples
  /// restarted on each version change.
  Baseline,
};

/// The fault injected in one run.
enum class RolloutCase : std::uint8_t {
  Clean,
  /// One engine in eight crashes during a step and restarts.
  Crash,
  /// One engine in eight runs at a tenth of its speed.
  Slow,
  /// The log is unreachable for longer than the lease term of a claim.
  LogOutage,
};

/// The results of one run.
struct RolloutMeasurements {
  double IdleShare = 0;
  /// Seconds that a trainer waits for a step, excluding the first one.
  double IdleSecondsPerStep = 0;
  double StalenessMean = 0;
  double StalenessP99 = 0;
  double StalenessMax = 0;
  /// Mean over the steps of the completion time divided by its lower bound.
  double StepTimeToBoundRatio = 0;
  double WastedTokenShare = 0;
  /// Mean over the versions of the time until all engines have fetched the
  /// version, divided by the time at the store's full rate.
  double WeightsTimeToBoundRatio = 0;
  std::uint64_t Stale = 0;
  std::uint64_t Mislabelled = 0;
  std::uint64_t Duplicates = 0;
  std::uint64_t Missing = 0;
  bool Finished = false;
};

/// Measures and reports decision times on a generated state of 4 trainers with
/// 1,024 samples each and 600 servers.
void measureDecisions();

/// Runs one case with real processes. `Checks` is true if the trainers check
/// fencing tokens.
RolloutMeasurements measureRun(RolloutVariant Plan, RolloutCase Which,
                               bool Checks);

/// Runs the product without faults under another policy for version changes:
/// `resume`, `finish` or `restart`.
RolloutMeasurements measurePolicy(const std::string &OnVersionChange);

} // namespace wasabi::bench

#endif // WASABI_BENCH_ROLLOUTBENCH_H
