/// \file
/// The benches by name. Each prints its figures with `report`.
#ifndef WASABI_BENCH_BENCHES_H
#define WASABI_BENCH_BENCHES_H

namespace wasabi::bench {

/// Agreement, members and spreading, with real processes.
void runStateBench();

/// Samples, staleness, weights and decision times.
void runRolloutBench();

/// Requests through entries and daemons, under overload and faults.
void runRequestsBench();

/// Slopes for docs/CAPACITY.md.
void runCapacityBench();

} // namespace wasabi::bench

#endif // WASABI_BENCH_BENCHES_H
