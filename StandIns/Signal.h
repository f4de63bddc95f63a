/// \file
/// Waiting on one thread's context: for a while, or for something to change.
#ifndef WASABI_STANDINS_SIGNAL_H
#define WASABI_STANDINS_SIGNAL_H

#include "Wasabi/Core/BootTimer.h"
#include "Wasabi/Core/Clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <set>

namespace wasabi::standins {

/// Wakes coroutines when something has changed. Not thread-safe.
class Signal {
public:
  explicit Signal(boost::asio::any_io_executor Executor)
      : Executor(std::move(Executor)) {}

  /// Waits for the next `notify`, and no longer than until `Deadline`.
  /// Precondition: the signal outlives the wait.
  boost::asio::awaitable<void> wait(TimePoint Deadline = TimePoint::max());
  /// Wakes all that wait now.
  void notify();

private:
  boost::asio::any_io_executor Executor;
  std::set<BootTimer *> Waiting;
};

/// Waits for a time.
boost::asio::awaitable<void> pause(std::chrono::microseconds Time);

} // namespace wasabi::standins

#endif // WASABI_STANDINS_SIGNAL_H
