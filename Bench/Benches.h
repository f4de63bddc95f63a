/// \file
/// Declares the benches. Each prints its results with `report`.
#ifndef WASABI_BENCH_BENCHES_H
#define WASABI_BENCH_BENCHES_H

namespace wasabi::bench {

/// Measures consensus, membership and gossip with real processes.
void runStateBench();

/// Measures samples, staleness, weights and decision times.
void runRolloutBench();

/// Measures requests through entries and daemons under overload and faults.
void runRequestsBench();

/// Measures the cost per unit of load as slopes for docs/CAPACITY.md.
void runCapacityBench();

} // namespace wasabi::bench

#endif // WASABI_BENCH_BENCHES_H
