/// \file
/// Guards against leases and deadlines that do not expire while the machine is
/// suspended.
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <ctime>
#include <type_traits>

namespace wasabi {

namespace {

/// A boot clock on a machine that was suspended for `Suspended`.
struct SuspendedClock {
  // NOLINTBEGIN(readability-identifier-naming)
  using duration = BootClock::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<SuspendedClock>;
  [[maybe_unused]] static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)

  static time_point now() {
    return time_point(BootClock::now().time_since_epoch() + Suspended);
  }
  static inline Millis Suspended{0};
};

std::chrono::nanoseconds kernelTime(clockid_t Clock) {
  timespec time{};
  clock_gettime(Clock, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

TEST_CASE("The monotonic clock includes time in suspension", "[core]") {
  std::chrono::nanoseconds before = kernelTime(CLOCK_BOOTTIME);
  std::chrono::nanoseconds now = monotonicNow().time_since_epoch();
  // `monotonicNow` has a resolution of one microsecond.
  CHECK(now + Micros(1) >= before);
  CHECK(now <= kernelTime(CLOCK_BOOTTIME));
  CHECK(std::is_same_v<TimePoint::clock, BootTimer::clock_type>);
}

TEST_CASE("A timer that expires during a suspension fires soon after it",
          "[core]") {
  using Timer =
      boost::asio::basic_waitable_timer<SuspendedClock,
                                        BoundedWaitTraits<SuspendedClock>>;
  constexpr Millis Wait{60000};
  boost::asio::io_context context;
  Timer timer(context, Wait);
  bool fired = false;
  timer.async_wait([&](boost::system::error_code) { fired = true; });
  context.run_for(Millis(20));
  CHECK_FALSE(fired);
  SuspendedClock::Suspended = Wait;
  // Allow for scheduling delays on a busy machine.
  context.run_for(10 * BoundedWaitTraits<SuspendedClock>::MaxWait);
  CHECK(fired);
}

TEST_CASE("A bounded wait is at most the requested time and MaxWait",
          "[core]") {
  using Wait = BoundedWaitTraits<BootClock>;
  CHECK(Wait::to_wait_duration(Millis(7)) == Millis(7));
  CHECK(Wait::to_wait_duration(Millis(70000)) == Wait::MaxWait);
  CHECK(Wait::to_wait_duration(BootClock::now() - Millis(5)) < Millis(0));
}

} // namespace wasabi
