#include "StandIns/Signal.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wasabi::standins {

namespace {

constexpr boost::asio::as_tuple_t<boost::asio::use_awaitable_t<>>
    Awaited(boost::asio::use_awaitable);

} // namespace

boost::asio::awaitable<void> Signal::wait(TimePoint Deadline) {
  // The maximum time point overflows when converted to a finer unit.
  BootTimer timer(Executor);
  if (Deadline == TimePoint::max())
    timer.expires_at(BootTimer::time_point::max());
  else
    timer.expires_at(Deadline);
  Waiting.insert(&timer);
  co_await timer.async_wait(Awaited);
  Waiting.erase(&timer);
}

void Signal::notify() {
  for (BootTimer *it : Waiting)
    it->cancel();
}

boost::asio::awaitable<void> sleepFor(std::chrono::microseconds Time) {
  boost::asio::any_io_executor executor =
      co_await boost::asio::this_coro::executor;
  BootTimer timer(executor, Time);
  co_await timer.async_wait(Awaited);
}

} // namespace wasabi::standins
