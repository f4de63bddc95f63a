#include "Wasabi/Dispatch/EnginePace.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

const EnginePaceSettings Limits;

/// An engine that has had `Count` events, `Ms` apart, the last one at `Now`.
EnginePace paced(double Ms, std::uint32_t Count, TimePoint Now = TimePoint()) {
  EnginePace pace;
  for (std::uint32_t i = 0; i < Count; ++i)
    notePause(pace, Ms, Now, Limits);
  return pace;
}

} // namespace

TEST_CASE("An engine's own pace is known after fifty events", "[dispatch]") {
  CHECK(knownMs(paced(76, Limits.LeastCount - 1), Limits) == 0);
  CHECK(knownMs(paced(76, Limits.LeastCount), Limits) == Approx(76));
}

TEST_CASE("Engines that are always slower are a grade apart", "[dispatch]") {
  // The paces of the engines of one service, as measured: two thirds take 74 to
  // 77 ms an event, the others 95 to 100, full or not.
  double fastest = knownMs(paced(74, 60), Limits);
  CHECK(paceGrade(paced(77, 60), fastest, Limits) == 0);
  CHECK(paceGrade(paced(95, 60), fastest, Limits) == 1);
  CHECK(paceGrade(paced(100, 60), fastest, Limits) == 1);
  // A full batch where each place slows the others.
  CHECK(paceGrade(paced(31.5, 60), 27.5, Limits) == 0);
  CHECK_FALSE(isSlow(paced(98, 60), 76, Limits));
}

TEST_CASE("Nothing is held against an engine of unknown pace", "[dispatch]") {
  CHECK(paceGrade(paced(500, 2), 74, Limits) == 0);
  CHECK(paceGrade(paced(98, 60), 0, Limits) == 0);
}

TEST_CASE("A fault's pace is forgotten, the engine's own is not",
          "[dispatch]") {
  TimePoint then = TimePoint() + Millis(100);
  EnginePace pace = paced(98, 200, then);
  for (int i = 0; i < 20; ++i)
    notePause(pace, 300, then, Limits);
  CHECK(isSlow(pace, 76, Limits));
  forgetRecent(pace, then + Limits.RecentSpan, Limits);
  CHECK(isSlow(pace, 76, Limits));
  forgetRecent(pace, then + Limits.RecentSpan + Millis(1), Limits);
  CHECK_FALSE(isSlow(pace, 76, Limits));
  // Twenty events at three times the pause move it by a seventh.
  CHECK(knownMs(pace, Limits) < 98 * Limits.GradeFactor);
}

TEST_CASE("A burst after a stall makes no engine look faster", "[dispatch]") {
  // Ten events at once after ten that did not come: the engine's pace has not
  // changed, and all others are not slower than it.
  EnginePace pace = paced(74, 200);
  notePause(pace, 740, TimePoint(), Limits);
  for (int i = 0; i < 10; ++i)
    notePause(pace, 1, TimePoint(), Limits);
  CHECK(paceGrade(paced(76, 60), knownMs(pace, Limits), Limits) == 0);
}

} // namespace wasabi
