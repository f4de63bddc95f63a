/// \file
/// What the control duty counts of itself.
#ifndef WASABI_NODE_CONTROLCOUNTERS_H
#define WASABI_NODE_CONTROLCOUNTERS_H

#include <atomic>
#include <cstdint>

namespace wasabi {

/// Counters since the start of the process. Thread-safe.
struct ControlCounters {
  /// Frames with their length prefixes, the log's records and the platform's
  /// lists; headers of HTTP, TCP and IP are not counted.
  std::atomic<std::uint64_t> BytesIn{0};
  std::atomic<std::uint64_t> BytesOut{0};
  std::atomic<std::uint64_t> FramesIn{0};
  std::atomic<std::uint64_t> FramesOut{0};
  std::atomic<std::uint64_t> LogReads{0};
  std::atomic<std::uint64_t> LogAppends{0};
  std::atomic<std::uint64_t> Probes{0};
  std::atomic<std::uint64_t> ProbesFailed{0};
  /// Records that arrived again although they were known.
  std::atomic<std::uint64_t> RepeatedRecords{0};
};

} // namespace wasabi

#endif // WASABI_NODE_CONTROLCOUNTERS_H
