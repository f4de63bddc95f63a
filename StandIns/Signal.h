/// \file
/// Waits on a single-threaded context for a duration or a notification.
#ifndef WASABI_STANDINS_SIGNAL_H
#define WASABI_STANDINS_SIGNAL_H

#include "Wasabi/Core/BootTimer.h"
#include "Wasabi/Core/Clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <set>

namespace wasabi::standins {

/// Wakes waiting coroutines. Not thread-safe.
class Signal {
public:
  explicit Signal(boost::asio::any_io_executor Executor)
      : Executor(std::move(Executor)) {}

  /// Waits for the next `notify`, at most until `Deadline`. Precondition: the
  /// signal outlives the wait.
  boost::asio::awaitable<void> wait(TimePoint Deadline = TimePoint::max());
  /// Wakes all waiting coroutines.
  void notify();

private:
  boost::asio::any_io_executor Executor;
  std::set<BootTimer *> Waiting;
};

/// Suspends the coroutine for the given duration.
boost::asio::awaitable<void> sleepFor(std::chrono::microseconds Time);

} // namespace wasabi::standins

#endif // WASABI_STANDINS_SIGNAL_H
