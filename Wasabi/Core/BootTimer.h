/// \file
/// Asio's timer on the clock that goes on while the machine is suspended.
#ifndef WASABI_CORE_BOOTTIMER_H
#define WASABI_CORE_BOOTTIMER_H

#include "Wasabi/Core/Clock.h"

#include <boost/asio/basic_waitable_timer.hpp>

#include <algorithm>

namespace wasabi {

/// How Asio waits for a time of `Clock`. The kernel's timers, which Asio waits
/// with, stand still while the machine is suspended: no wait is longer than
/// `Longest`, after which Asio looks at the clock again. Thread-safe.
template <typename Clock> struct BoundedWaitTraits {
  /// A timer that came due while the machine was suspended fires this much
  /// later at most. Ten idle wake-ups a second; of a lease of 1.5 s that ran
  /// out meanwhile its holder learns well within 0.3 s.
  static constexpr Millis Longest{100};

  // Asio prescribes these names.
  // NOLINTBEGIN(readability-identifier-naming)
  static typename Clock::duration
  to_wait_duration(const typename Clock::duration &Wait) {
    return std::min<typename Clock::duration>(Wait, Longest);
  }
  static typename Clock::duration
  to_wait_duration(const typename Clock::time_point &Until) {
    return to_wait_duration(Until - Clock::now());
  }
  // NOLINTEND(readability-identifier-naming)
};

/// Takes times of `monotonicNow`. Used on its executor's thread.
using BootTimer =
    boost::asio::basic_waitable_timer<BootClock, BoundedWaitTraits<BootClock>>;

} // namespace wasabi

#endif // WASABI_CORE_BOOTTIMER_H
