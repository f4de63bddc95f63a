#include "UnitTests/Core/SimulatedClock.h"
#include "Wasabi/Core/AsyncSignal.h"

#include <boost/asio/detached.hpp>

#include <catch2/catch.hpp>

#include <vector>

namespace wasabi {

namespace asio = boost::asio;

namespace {

asio::awaitable<void> recordTimes(asio::io_context &Context, Millis Pause,
                                  std::vector<Micros> &Times) {
  for (int i = 0; i < 3; ++i) {
    co_await pauseFor(Context.get_executor(), Pause);
    Times.push_back(monotonicNow().time_since_epoch());
  }
}

} // namespace

// Guards against tests whose result depends on the pace of the machine.
TEST_CASE("Timers of a simulated clock fire in order and on time", "[core]") {
  SimulatedClock clock(TimePoint(Micros(0)));
  asio::io_context context;
  std::vector<Micros> times;
  asio::co_spawn(context, recordTimes(context, Millis(200), times),
                 asio::detached);
  asio::co_spawn(context, recordTimes(context, Millis(30), times),
                 asio::detached);
  clock.runFor(context, Millis(700));
  CHECK(times == std::vector<Micros>{Millis(30), Millis(60), Millis(90),
                                     Millis(200), Millis(400), Millis(600)});
  CHECK(monotonicNow() == TimePoint(Millis(700)));
  CHECK(wallMicros() == 700'000);
}

TEST_CASE("A simulation stops when its condition is true", "[core]") {
  SimulatedClock clock;
  asio::io_context context;
  std::vector<Micros> times;
  asio::co_spawn(context, recordTimes(context, Millis(5), times),
                 asio::detached);
  CHECK(clock.runUntil(
      context, [&] { return times.size() == 2; }, Millis(100)));
  CHECK_FALSE(clock.runUntil(
      context, [&] { return times.size() == 4; }, Millis(100)));
}

TEST_CASE("The machine's clock is back after a simulation", "[core]") {
  TimePoint before = monotonicNow();
  { SimulatedClock clock; }
  CHECK(monotonicNow() >= before);
}

} // namespace wasabi
