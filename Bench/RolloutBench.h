/// \file
/// The parts of the rollout bench.
#ifndef WASABI_BENCH_ROLLOUTBENCH_H
#define WASABI_BENCH_ROLLOUTBENCH_H

#include "IntegrationTests/Harness/RolloutCluster.h"

#include <cstdint>
#include <string>

namespace wasabi::bench {

/// How samples and weights are handled in one run.
enum class RolloutVariant : std::uint8_t {
  /// The product's ordinary preset.
  Product,
  /// Round-robin, no hedging, all engines swapped at once, restart on each
  /// version change.
  Baseline,
};

/// What fails in one run.
enum class RolloutCase : std::uint8_t {
  Clean,
  /// One engine in eight crashes amid a step and comes back.
  Crash,
  /// One engine in eight is ten times as slow.
  Slow,
  /// The log is out for longer than a claim's term.
  LogOutage,
};

/// The figures of one run.
struct RolloutMeasurements {
  double IdleShare = 0;
  /// Seconds that a trainer waits for a step, the first one left out.
  double IdleSecondsPerStep = 0;
  double StalenessMean = 0;
  double StalenessP99 = 0;
  double StalenessMax = 0;
  /// Mean over the steps of time until whole against the lower bound.
  double StepTimeToBoundRatio = 0;
  double WastedTokenShare = 0;
  /// Mean over the versions of the time until all engines fetched it, against
  /// what the store's rate gives.
  double WeightsTimeToBoundRatio = 0;
  std::uint64_t Stale = 0;
  std::uint64_t Mislabelled = 0;
  std::uint64_t Duplicates = 0;
  std::uint64_t Missing = 0;
  bool Finished = false;
};

/// Decision times on a generated state: 4 trainers of 1,024 samples, 600
/// servers. Prints them.
void measureDecisions();

/// One run with real processes at Lindqvist's size. `Checks` says whether the
/// trainers check fencing tokens.
RolloutMeasurements measureRun(RolloutVariant Plan, RolloutCase Which,
                               bool Checks);

/// One clean run of the product under another policy on version changes:
/// `resume`, `finish` or `restart`.
RolloutMeasurements measurePolicy(const std::string &OnVersionChange);

} // namespace wasabi::bench

#endif // WASABI_BENCH_ROLLOUTBENCH_H
