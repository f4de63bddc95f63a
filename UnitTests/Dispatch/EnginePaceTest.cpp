#include "Wasabi/Dispatch/EnginePace.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

const EnginePaceSettings Limits;

/// Returns the pace after `Count` event intervals of `Ms` milliseconds.
EnginePace makePace(double Ms, std::uint32_t Count,
                    TimePoint Now = TimePoint()) {
  EnginePace pace;
  for (std::uint32_t i = 0; i < Count; ++i)
    recordEventInterval(pace, Ms, Now, Limits);
  return pace;
}

} // namespace

TEST_CASE("The long-term pace is known after the minimum number of intervals",
          "[dispatch]") {
  CHECK(longTermMs(makePace(76, Limits.MinEventCount - 1), Limits) == 0);
  CHECK(longTermMs(makePace(76, Limits.MinEventCount), Limits) == Approx(76));
}

TEST_CASE("Permanently slower engines are one tier apart", "[dispatch]") {
  double fastest = longTermMs(makePace(74, 60), Limits);
  CHECK(paceTier(makePace(77, 60), fastest, Limits) == 0);
  CHECK(paceTier(makePace(95, 60), fastest, Limits) == 1);
  CHECK(paceTier(makePace(100, 60), fastest, Limits) == 1);
  // The slowdown by a full batch stays within a tier.
  CHECK(paceTier(makePace(31.5, 60), 27.5, Limits) == 0);
  CHECK_FALSE(isSlow(makePace(98, 60), 76, Limits));
}

TEST_CASE("Unknown paces have tier 0", "[dispatch]") {
  CHECK(paceTier(makePace(500, 2), 74, Limits) == 0);
  CHECK(paceTier(makePace(98, 60), 0, Limits) == 0);
}

TEST_CASE(
    "The recent pace expires, and a fault hardly changes the long-term pace",
    "[dispatch]") {
  TimePoint then = TimePoint() + Millis(100);
  EnginePace pace = makePace(98, 200, then);
  for (int i = 0; i < 20; ++i)
    recordEventInterval(pace, 300, then, Limits);
  CHECK(isSlow(pace, 76, Limits));
  expireRecentPace(pace, then + Limits.RecentTimeout, Limits);
  CHECK(isSlow(pace, 76, Limits));
  expireRecentPace(pace, then + Limits.RecentTimeout + Millis(1), Limits);
  CHECK_FALSE(isSlow(pace, 76, Limits));
  CHECK(longTermMs(pace, Limits) < 98 * Limits.TierFactor);
}

TEST_CASE("A burst of events after a stall does not make an engine look faster",
          "[dispatch]") {
  // One long interval and then a burst: the long-term pace stays the same.
  EnginePace pace = makePace(74, 200);
  recordEventInterval(pace, 740, TimePoint(), Limits);
  for (int i = 0; i < 10; ++i)
    recordEventInterval(pace, 1, TimePoint(), Limits);
  CHECK(paceTier(makePace(76, 60), longTermMs(pace, Limits), Limits) == 0);
}

// Guards against long texts on an engine that was fast until a fault. It may
// still be as fast as the median if most engines are much slower.
TEST_CASE("A fast engine that slows down loses its tier until it recovers",
          "[dispatch]") {
  constexpr double Fast = 21;
  EnginePace pace = makePace(Fast, 1000);
  CHECK(paceTier(pace, Fast, Limits) == 0);
  for (int i = 0; i < 20; ++i)
    recordEventInterval(pace, 3 * Fast, TimePoint(), Limits);
  CHECK(paceTier(pace, Fast, Limits) > 2);
  for (int i = 0; i < 40; ++i)
    recordEventInterval(pace, Fast, TimePoint(), Limits);
  CHECK(paceTier(pace, Fast, Limits) <= 1);
}

} // namespace wasabi
