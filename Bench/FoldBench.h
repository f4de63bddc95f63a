/// \file
/// Benchmarks of the fold without processes: cost per record, start from a
/// snapshot compared with a full replay, and the rate of unnecessary
/// rejections. Reads only the clock.
#ifndef WASABI_BENCH_FOLDBENCH_H
#define WASABI_BENCH_FOLDBENCH_H

namespace wasabi::bench {

/// Reports the results of the `state` bench that need no processes. Runs for
/// seconds.
void runFoldBench();

} // namespace wasabi::bench

#endif // WASABI_BENCH_FOLDBENCH_H
