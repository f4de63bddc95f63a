/// \file
/// A condition variable for coroutines on one thread.
#ifndef WASABI_CORE_ASYNCSIGNAL_H
#define WASABI_CORE_ASYNCSIGNAL_H

#include "Wasabi/Core/BootTimer.h"
#include "Wasabi/Core/Clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <set>

namespace wasabi {

/// Wakes all current waiters on `notify`. A notification is not stored, so a
/// waiter must check its condition before it waits. Not thread-safe: use it on
/// the executor's thread.
class AsyncSignal {
public:
  explicit AsyncSignal(boost::asio::any_io_executor Executor)
      : Executor(std::move(Executor)) {}

  /// Returns at the next `notify` or at `Until`. The signal must outlive the
  /// wait.
  boost::asio::awaitable<void> wait(TimePoint Until) {
    return waitUntil(Until);
  }

  /// Returns at the next `notify`. The signal must outlive the wait.
  boost::asio::awaitable<void> wait() {
    // Not `TimePoint::max()`, which the finer unit of the clock cannot hold.
    return waitUntil(BootClock::time_point::max());
  }

  /// Wakes all current waiters.
  void notify() {
    for (BootTimer *it : Waiters)
      it->cancel();
  }

private:
  boost::asio::awaitable<void> waitUntil(BootClock::time_point Until) {
    BootTimer timer(Executor, Until);
    Waiters.insert(&timer);
    co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    Waiters.erase(&timer);
  }

  boost::asio::any_io_executor Executor;
  std::set<BootTimer *> Waiters;
};

/// Suspends the calling coroutine for `Pause`. As thread-safe as the executor.
inline boost::asio::awaitable<void>
pauseFor(const boost::asio::any_io_executor &Executor, Millis Pause) {
  BootTimer timer(Executor, Pause);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

/// Runs `Work` until it ends or `Stop` is emitted, which cancels its pending
/// operations. Returns empty if `Work` was cancelled, even if it still produced
/// a value, or if it threw.
template <typename T>
boost::asio::awaitable<std::optional<T>>
cancellable(boost::asio::any_io_executor Executor,
            boost::asio::awaitable<T> Work,
            boost::asio::cancellation_signal &Stop) {
  std::optional<T> result;
  co_await boost::asio::co_spawn(
      Executor,
      [&result, &Work]() -> boost::asio::awaitable<void> {
        T value = co_await std::move(Work);
        boost::asio::cancellation_state state =
            co_await boost::asio::this_coro::cancellation_state;
        if (state.cancelled() == boost::asio::cancellation_type::none)
          result.emplace(std::move(value));
      },
      boost::asio::bind_cancellation_slot(
          Stop.slot(), boost::asio::as_tuple(boost::asio::use_awaitable)));
  // Asio leaves its handler in the slot; a later emission would access state
  // that no longer exists.
  Stop.slot().clear();
  co_return result;
}

} // namespace wasabi

#endif // WASABI_CORE_ASYNCSIGNAL_H
