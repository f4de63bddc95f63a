/// \file
/// Counters of the control plane.
#ifndef WASABI_NODE_CONTROLCOUNTERS_H
#define WASABI_NODE_CONTROLCOUNTERS_H

#include <atomic>
#include <cstdint>

namespace wasabi {

/// Counters since the start of the process. Thread-safe.
struct ControlCounters {
  /// Bytes of frames with their length prefixes, of log records and of the
  /// platform's lists, without HTTP, TCP and IP headers.
  std::atomic<std::uint64_t> BytesIn{0};
  std::atomic<std::uint64_t> BytesOut{0};
  std::atomic<std::uint64_t> FramesIn{0};
  std::atomic<std::uint64_t> FramesOut{0};
  std::atomic<std::uint64_t> LogReads{0};
  std::atomic<std::uint64_t> LogAppends{0};
  std::atomic<std::uint64_t> Probes{0};
  std::atomic<std::uint64_t> ProbesFailed{0};
  /// Connections of lagging peers closed in favor of others.
  std::atomic<std::uint64_t> ConnectionsYielded{0};
  /// Records received that were already applied.
  std::atomic<std::uint64_t> RepeatedRecords{0};
};

} // namespace wasabi

#endif // WASABI_NODE_CONTROLCOUNTERS_H
