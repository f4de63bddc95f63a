#include "Wasabi/Dispatch/EnginePace.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

const EnginePaceSettings Limits;

/// An engine that has had `Count` events, `Ms` apart, the last one at `Now`.
EnginePace paced(double Ms, std::uint32_t Count, TimePoint Now = TimePoint()) {
  EnginePace pace;
  for (std::uint32_t i = 0; i < Count; ++i)
    recordEventInterval(pace, Ms, Now, Limits);
  return pace;
}

} // namespace

TEST_CASE("An engine's own pace is known after fifty events", "[dispatch]") {
  CHECK(longTermMs(paced(76, Limits.MinEventCount - 1), Limits) == 0);
  CHECK(longTermMs(paced(76, Limits.MinEventCount), Limits) == Approx(76));
}

TEST_CASE("Engines that are always slower are a grade apart", "[dispatch]") {
  // The paces of the engines of one service, as measured: two thirds take 74 to
  // 77 ms an event, the others 95 to 100, full or not.
  double fastest = longTermMs(paced(74, 60), Limits);
  CHECK(paceTier(paced(77, 60), fastest, Limits) == 0);
  CHECK(paceTier(paced(95, 60), fastest, Limits) == 1);
  CHECK(paceTier(paced(100, 60), fastest, Limits) == 1);
  // A full batch where each place slows the others.
  CHECK(paceTier(paced(31.5, 60), 27.5, Limits) == 0);
  CHECK_FALSE(isSlow(paced(98, 60), 76, Limits));
}

TEST_CASE("Nothing is held against an engine of unknown pace", "[dispatch]") {
  CHECK(paceTier(paced(500, 2), 74, Limits) == 0);
  CHECK(paceTier(paced(98, 60), 0, Limits) == 0);
}

TEST_CASE("A fault's pace is forgotten, the engine's own is not",
          "[dispatch]") {
  TimePoint then = TimePoint() + Millis(100);
  EnginePace pace = paced(98, 200, then);
  for (int i = 0; i < 20; ++i)
    recordEventInterval(pace, 300, then, Limits);
  CHECK(isSlow(pace, 76, Limits));
  expireRecentPace(pace, then + Limits.RecentTimeout, Limits);
  CHECK(isSlow(pace, 76, Limits));
  expireRecentPace(pace, then + Limits.RecentTimeout + Millis(1), Limits);
  CHECK_FALSE(isSlow(pace, 76, Limits));
  // Twenty events at three times the pause move it by a seventh.
  CHECK(longTermMs(pace, Limits) < 98 * Limits.TierFactor);
}

TEST_CASE("A burst after a stall makes no engine look faster", "[dispatch]") {
  // Ten events at once after ten that did not come: the engine's pace has not
  // changed, and all others are not slower than it.
  EnginePace pace = paced(74, 200);
  recordEventInterval(pace, 740, TimePoint(), Limits);
  for (int i = 0; i < 10; ++i)
    recordEventInterval(pace, 1, TimePoint(), Limits);
  CHECK(paceTier(paced(76, 60), longTermMs(pace, Limits), Limits) == 0);
}

} // namespace wasabi
