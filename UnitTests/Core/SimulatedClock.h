/// \file
/// A clock that a simulation advances.
#ifndef WASABI_UNITTESTS_CORE_SIMULATEDCLOCK_H
#define WASABI_UNITTESTS_CORE_SIMULATEDCLOCK_H

#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <functional>

namespace wasabi {

/// Replaces `BootClock`, its timers and `wallMicros` on the current thread for
/// as long as the object lives. The time is the same in each run, however long
/// the machine takes. Create it before the objects that read the time; at most
/// one exists in a thread. Not thread-safe.
class SimulatedClock {
public:
  /// Starts at `Start`, which seeds the random numbers of what is simulated.
  explicit SimulatedClock(TimePoint Start = TimePoint(Micros(1'000'000)))
      : Now(Start) {
    BootClock::SimulatedNow = &Now;
  }
  ~SimulatedClock() { BootClock::SimulatedNow = nullptr; }
  SimulatedClock(const SimulatedClock &) = delete;
  SimulatedClock &operator=(const SimulatedClock &) = delete;

  /// Runs the handlers of `Context` that are ready, those of expired timers
  /// included. Precondition: its handlers wait for timers and for each other
  /// only.
  static void runReady(boost::asio::io_context &Context) {
    std::size_t handlers = 0;
    do {
      // Asio looks for expired timers once the kernel's timer fires, and sets
      // that again for a timer that comes before all others. On a busy machine
      // it fires some time after it was set.
      bool fired = false;
      BootTimer first(Context, BootClock::time_point::min());
      first.async_wait([&fired](boost::system::error_code) { fired = true; });
      handlers = 0;
      while (!fired) {
        Context.restart();
        handlers += Context.poll();
      }
    } while (handlers > 1);
    while (Context.poll() > 0)
      continue;
  }

  /// Runs `Context` for `Span` of simulated time.
  void runFor(boost::asio::io_context &Context, Micros Span) {
    BootClock::time_point end = Now + Span;
    runReady(Context);
    while (Now < end) {
      Now = std::min<BootClock::time_point>(end, Now + Step);
      runReady(Context);
    }
  }

  /// Runs `Context` until `Condition` is true, for `Limit` of simulated time at
  /// most. Returns whether it is true.
  bool runUntil(boost::asio::io_context &Context,
                const std::function<bool()> &Condition, Micros Limit) {
    BootClock::time_point end = Now + Limit;
    runReady(Context);
    while (!Condition() && Now < end) {
      Now += Step;
      runReady(Context);
    }
    return Condition();
  }

private:
  /// Resolution of the simulated time.
  static constexpr Micros Step{200};

  BootClock::time_point Now;
};

} // namespace wasabi

#endif // WASABI_UNITTESTS_CORE_SIMULATEDCLOCK_H
