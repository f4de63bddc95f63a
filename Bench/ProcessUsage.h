/// \file
/// What a process has used, as the kernel counts it.
#ifndef WASABI_BENCH_PROCESSUSAGE_H
#define WASABI_BENCH_PROCESSUSAGE_H

#include <sys/types.h>

#include <optional>

namespace wasabi::bench {

/// Totals since the process began.
struct ProcessUsage {
  /// User and system time, in seconds.
  double CpuSeconds = 0;
  /// Memory held now, in MiB.
  double ResidentMiB = 0;
};

/// Reads /proc; empty when the process is gone. Thread-safe.
std::optional<ProcessUsage> readProcessUsage(pid_t Pid);

} // namespace wasabi::bench

#endif // WASABI_BENCH_PROCESSUSAGE_H
