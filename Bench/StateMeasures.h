/// \file
/// Idle cost of a fleet and the polling baseline, shared by the state and
/// capacity benches.
#ifndef WASABI_BENCH_STATEMEASURES_H
#define WASABI_BENCH_STATEMEASURES_H

#include "Bench/Fleet.h"

#include <vector>

namespace wasabi::bench {

/// Means per daemon over a window without requests.
struct IdleCost {
  /// Control bytes sent and received.
  double BytesPerSecond = 0;
  /// Maximum of the control bytes over all daemons.
  double MaxBytesPerSecond = 0;
  /// As a share of one core.
  double CpuPercent = 0;
  double ResidentMiB = 0;
  /// Total of the whole fleet.
  double AppendsPerSecond = 0;
  /// Frames sent and received, per daemon.
  double FramesPerSecond = 0;
};

/// Returns the fleet sizes to measure: `WASABI_BENCH_SIZES`, comma-separated,
/// or 25, 50, 100 and 200.
std::vector<std::size_t> readFleetSizes();

/// Measures the cost of the idle fleet over `Window`.
IdleCost measureIdleCost(Fleet &Group, Millis Window);

/// Runs the baseline: `Readers` readers poll the log once per second, each with
/// its own phase. Returns the milliseconds from a record's append until each
/// reader has read it.
std::vector<double> measurePollingDelays(const harness::StandIn &Log,
                                         std::size_t Readers);

} // namespace wasabi::bench

#endif // WASABI_BENCH_STATEMEASURES_H
