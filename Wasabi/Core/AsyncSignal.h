/// \file
/// A condition that coroutines of one thread wait for.
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

/// Wakes all its waiters at once; it keeps no memory of a wake-up, so a waiter
/// checks its condition first. Not thread-safe: use on the executor's thread.
class AsyncSignal {
public:
  explicit AsyncSignal(boost::asio::any_io_executor Executor)
      : Executor(std::move(Executor)) {}

  /// Returns at the next `notify` or at `Until`. The signal must outlive it.
  boost::asio::awaitable<void> wait(TimePoint Until) {
    BootTimer timer(Executor, Until);
    Waiters.insert(&timer);
    co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    Waiters.erase(&timer);
  }

  /// Wakes everyone who waits now.
  void notify() {
    for (BootTimer *it : Waiters)
      it->cancel();
  }

private:
  boost::asio::any_io_executor Executor;
  std::set<BootTimer *> Waiters;
};

/// Sleeps. Thread-safe as far as the executor is.
inline boost::asio::awaitable<void>
pauseFor(const boost::asio::any_io_executor &Executor, Millis Pause) {
  BootTimer timer(Executor, Pause);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

/// Runs `Work` until it ends or `Stop` is emitted, which ends what it waits for
/// with an error; empty if it was stopped, whatever it made of that error, or
/// ended by an exception.
template <typename T>
boost::asio::awaitable<std::optional<T>>
cancellable(boost::asio::any_io_executor Executor,
            boost::asio::awaitable<T> Work,
            boost::asio::cancellation_signal &Stop) {
  std::optional<T> result;
  co_await boost::asio::co_spawn(
      Executor,
      [&result, &Work]() -> boost::asio::awaitable<void> {
        T got = co_await std::move(Work);
        boost::asio::cancellation_state state =
            co_await boost::asio::this_coro::cancellation_state;
        if (state.cancelled() == boost::asio::cancellation_type::none)
          result.emplace(std::move(got));
      },
      boost::asio::bind_cancellation_slot(
          Stop.slot(), boost::asio::as_tuple(boost::asio::use_awaitable)));
  // Asio leaves its handler in the slot, which a later emission would run after
  // what it points to is gone.
  Stop.slot().clear();
  co_return result;
}

} // namespace wasabi

#endif // WASABI_CORE_ASYNCSIGNAL_H
