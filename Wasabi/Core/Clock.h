/// \file
/// Clocks and time types. Monotonic time is used for decisions and is passed
/// into the core; hybrid logical time only orders events for display.
#ifndef WASABI_CORE_CLOCK_H
#define WASABI_CORE_CLOCK_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <ctime>

namespace wasabi {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;

/// A monotonic clock that advances while the machine is suspended, unlike that
/// of the standard library, so that leases, deadlines and ages expire during a
/// suspension. Meets the standard `Clock` requirements; thread-safe.
struct BootClock {
  // The standard requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)

  /// Replaces the machine's clock on the current thread unless it is null; set
  /// by `SimulatedClock`.
  static inline thread_local const time_point *SimulatedNow = nullptr;

  static time_point now() noexcept {
    if (SimulatedNow != nullptr)
      return *SimulatedNow;
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) +
                      std::chrono::nanoseconds(time.tv_nsec));
  }
};

/// Monotonic time of one process, including time in suspension. Not comparable
/// between processes.
using TimePoint = std::chrono::time_point<BootClock, Micros>;

/// Returns the current monotonic time. Only adapters and `main` functions call
/// this; the core receives its time as an argument.
inline TimePoint monotonicNow() {
  return std::chrono::time_point_cast<Micros>(BootClock::now());
}

/// Returns the wall time in microseconds since the epoch, for time lines, logs
/// and random seeds only. Equals the simulated time, if there is one.
inline std::uint64_t wallMicros() {
  if (BootClock::SimulatedNow != nullptr)
    return static_cast<std::uint64_t>(
        monotonicNow().time_since_epoch().count());
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Micros>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

/// Hybrid logical time (Kulkarni et al. 2014): wall time in microseconds that
/// never decreases and never falls behind a received remote time, with a
/// counter for ties.
struct HybridTime {
  /// Wall time in microseconds since the epoch.
  std::uint64_t Wall = 0;
  /// Orders events within the same microsecond.
  std::uint32_t Count = 0;

  auto operator<=>(const HybridTime &) const = default;
};

/// Returns the next local time after `Last` for a local event. Pure.
inline HybridTime tick(HybridTime Last, std::uint64_t Wall) {
  if (Wall > Last.Wall)
    return {Wall, 0};
  return {Last.Wall, Last.Count + 1};
}

/// Returns the next local time after both `Last` and the received `Remote`
/// time. Pure.
inline HybridTime merge(HybridTime Last, HybridTime Remote,
                        std::uint64_t Wall) {
  HybridTime latest = Last < Remote ? Remote : Last;
  return tick(latest, Wall);
}

} // namespace wasabi

#endif // WASABI_CORE_CLOCK_H
