/// \file
/// CPU time and memory of a process as reported by the kernel.
#ifndef WASABI_BENCH_PROCESSUSAGE_H
#define WASABI_BENCH_PROCESSUSAGE_H

#include <sys/types.h>

#include <optional>

namespace wasabi::bench {

/// Totals since the process started.
struct ProcessUsage {
  /// User and system CPU time, in seconds.
  double CpuSeconds = 0;
  /// Resident memory, in MiB.
  double ResidentMiB = 0;
};

/// Reads /proc. Returns nothing if the process has exited. Thread-safe.
std::optional<ProcessUsage> readProcessUsage(pid_t Pid);

} // namespace wasabi::bench

#endif // WASABI_BENCH_PROCESSUSAGE_H
