/// \file
/// What a fleet costs at rest, and the baseline of polling, shared by the state
/// and the capacity bench.
#ifndef WASABI_BENCH_STATEMEASURES_H
#define WASABI_BENCH_STATEMEASURES_H

#include "Bench/Fleet.h"

#include <vector>

namespace wasabi::bench {

/// Means per daemon over a window in which nothing was asked of the fleet.
struct IdleCost {
  /// Control bytes in and out.
  double BytesPerSecond = 0;
  /// The same of the one daemon that had most.
  double MaxBytesPerSecond = 0;
  /// Of one core.
  double CpuPercent = 0;
  double ResidentMiB = 0;
  /// Of the whole fleet.
  double AppendsPerSecond = 0;
  /// Frames in and out, per daemon.
  double FramesPerSecond = 0;
};

/// Fleet sizes to measure: `WASABI_BENCH_SIZES`, comma-separated, or 25, 50,
/// 100 and 200.
std::vector<std::size_t> readFleetSizes();

/// Leaves the fleet alone for `Window` and counts.
IdleCost measureIdleCost(Fleet &Group, Millis Window);

/// Baseline: `Readers` readers that each poll the log once a second at a phase
/// of their own. Milliseconds from a record's append until each has read it.
std::vector<double> measurePollingDelays(const harness::StandIn &Log,
                                         std::size_t Readers);

} // namespace wasabi::bench

#endif // WASABI_BENCH_STATEMEASURES_H
