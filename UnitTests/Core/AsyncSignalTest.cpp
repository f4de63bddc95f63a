#include "Wasabi/Core/AsyncSignal.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

namespace wasabi {

TEST_CASE("A wait without a deadline returns at the next notification only",
          "[core]") {
  boost::asio::io_context context;
  AsyncSignal signal(context.get_executor());
  int wakeUps = 0;
  boost::asio::co_spawn(
      context,
      [&]() -> boost::asio::awaitable<void> {
        co_await signal.wait();
        ++wakeUps;
      },
      boost::asio::detached);
  context.run_for(Millis(250));
  CHECK(wakeUps == 0);
  signal.notify();
  context.run_for(Millis(50));
  CHECK(wakeUps == 1);
}

} // namespace wasabi
