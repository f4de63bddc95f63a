/// \file
/// Time as the core sees it: passed in, never read. Monotonic time decides;
/// hybrid logical time only orders what a person reads.
#ifndef WASABI_CORE_CLOCK_H
#define WASABI_CORE_CLOCK_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <ctime>

namespace wasabi {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;

/// A monotonic clock that goes on while the machine is suspended, as the
/// standard library's does not: a lease, a deadline or the age of what is known
/// runs out meanwhile for everybody else. A standard `Clock`; thread-safe.
struct BootClock {
  // The standard prescribes these names.
  // NOLINTBEGIN(readability-identifier-naming)
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)

  static time_point now() noexcept {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) +
                      std::chrono::nanoseconds(time.tv_nsec));
  }
};

/// Monotonic time of one process, with the machine's suspensions. Never
/// compared between processes.
using TimePoint = std::chrono::time_point<BootClock, Micros>;

/// Monotonic now. For adapters and mains only: the core is passed its time.
inline TimePoint monotonicNow() {
  return std::chrono::time_point_cast<Micros>(BootClock::now());
}

/// Wall time in microseconds since the epoch, for time lines and logs only.
inline std::uint64_t wallMicros() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Micros>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

/// Hybrid logical time (Kulkarni et al. 2014): wall microseconds that never go
/// back and never fall behind what was heard, with a counter for ties.
struct HybridTime {
  /// Wall microseconds since the epoch.
  std::uint64_t Wall = 0;
  /// Orders events of one wall microsecond.
  std::uint32_t Count = 0;

  auto operator<=>(const HybridTime &) const = default;
};

/// The next local time after `Last`, given the wall clock. Pure.
inline HybridTime tick(HybridTime Last, std::uint64_t Wall) {
  if (Wall > Last.Wall)
    return {Wall, 0};
  return {Last.Wall, Last.Count + 1};
}

/// The next local time after `Last` and a `Heard` remote time. Pure.
inline HybridTime merge(HybridTime Last, HybridTime Heard, std::uint64_t Wall) {
  HybridTime most = Last < Heard ? Heard : Last;
  return tick(most, Wall);
}

} // namespace wasabi

#endif // WASABI_CORE_CLOCK_H
