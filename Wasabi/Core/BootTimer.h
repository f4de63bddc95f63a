/// \file
/// An Asio timer whose clock advances while the machine is suspended.
#ifndef WASABI_CORE_BOOTTIMER_H
#define WASABI_CORE_BOOTTIMER_H

#include "Wasabi/Core/Clock.h"

#include <boost/asio/basic_waitable_timer.hpp>

#include <algorithm>

namespace wasabi {

/// Wait traits for an Asio timer on `Clock`. Asio waits with kernel timers that
/// stop while the machine is suspended. No single wait exceeds `MaxWait`, after
/// which Asio compares the expiry time with the clock again. Thread-safe.
template <typename Clock> struct BoundedWaitTraits {
  /// Maximum delay of a timer that expires while the machine is suspended. Must
  /// be well below the shortest lease, so that a holder notices the expiry in
  /// time.
  static constexpr Millis MaxWait{100};

  // Asio requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  static typename Clock::duration
  to_wait_duration(const typename Clock::duration &Wait) {
    // Simulated time passes without waiting.
    if (BootClock::SimulatedNow != nullptr)
      return Clock::duration::zero();
    return std::min<typename Clock::duration>(Wait, MaxWait);
  }
  static typename Clock::duration
  to_wait_duration(const typename Clock::time_point &Until) {
    return to_wait_duration(Until - Clock::now());
  }
  // NOLINTEND(readability-identifier-naming)
};

/// Timer for times of `monotonicNow`. Use it on its executor's thread.
using BootTimer =
    boost::asio::basic_waitable_timer<BootClock, BoundedWaitTraits<BootClock>>;

} // namespace wasabi

#endif // WASABI_CORE_BOOTTIMER_H
