/// \file
/// The fold by itself: cost of a record, start from a snapshot against replay,
/// and how often changes are refused without need. Pure but for the clock.
#ifndef WASABI_BENCH_FOLDBENCH_H
#define WASABI_BENCH_FOLDBENCH_H

namespace wasabi::bench {

/// Prints the figures of bench `state` that need no processes. Takes seconds.
void runFoldBench();

} // namespace wasabi::bench

#endif // WASABI_BENCH_FOLDBENCH_H
