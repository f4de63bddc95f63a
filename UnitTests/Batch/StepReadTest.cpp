#include "Wasabi/Batch/StepRead.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

namespace wasabi {

namespace {

constexpr StepReadSettings Limits;
constexpr Millis Allowed{1000};
/// From an answer to the next question of a reader that was away long enough.
constexpr Millis RoundTrip{10};

/// When each result of a step is listed, and which one makes it whole.
struct StepResults {
  std::vector<TimePoint> Listed;
  TimePoint Whole;
};

/// What a reader gets of a step.
struct ReaderView {
  /// When it ends the step.
  TimePoint Ended;
  std::size_t Reads = 0;
};

std::size_t listedBy(const StepResults &Of, TimePoint Now) {
  return static_cast<std::size_t>(
      std::upper_bound(Of.Listed.begin(), Of.Listed.end(), Now) -
      Of.Listed.begin());
}

/// Reads a step twice a second until it is whole. `AnswerBy` says when a read
/// of a step that is not whole is answered.
template <typename AnswerBy>
ReaderView readThrough(const StepResults &Of, TimePoint Begin,
                       const AnswerBy &Answer) {
  ReaderView view;
  std::size_t known = 0;
  TimePoint came = Begin;
  for (;;) {
    ++view.Reads;
    TimePoint answered = Answer(came, known);
    if (came < Of.Whole && Of.Whole < answered)
      answered = Of.Whole;
    TimePoint back = std::max(answered + RoundTrip, came + Limits.Pace);
    if (answered >= Of.Whole) {
      view.Ended = back;
      return view;
    }
    known = listedBy(Of, answered);
    came = back;
  }
}

/// Steps as a trainer of long texts sees them: most results come within three
/// seconds, the last ones some tenths of a second apart.
std::vector<StepResults> makeSteps(std::size_t Count) {
  std::mt19937 random(7);
  std::uniform_int_distribution<int> early(200, 3000);
  std::uniform_int_distribution<int> late(3000, 7400);
  std::vector<StepResults> steps(Count);
  for (StepResults &it : steps) {
    for (int i = 0; i < 90; ++i)
      it.Listed.push_back(TimePoint() + Millis(early(random)));
    for (int i = 0; i < 14; ++i)
      it.Listed.push_back(TimePoint() + Millis(late(random)));
    std::sort(it.Listed.begin(), it.Listed.end());
    it.Whole = it.Listed[it.Listed.size() - 2];
  }
  return steps;
}

/// Mean milliseconds from a step's last text to its end.
template <typename MakeAnswer>
double meanDelay(const std::vector<StepResults> &Steps,
                 const MakeAnswer &Answer) {
  double sum = 0;
  int offset = 0;
  for (const StepResults &it : Steps) {
    offset = (offset + 37) % static_cast<int>(Limits.Pace.count());
    ReaderView view = readThrough(it, TimePoint() + Millis(offset), Answer(it));
    sum += std::chrono::duration<double, std::milli>(view.Ended - it.Whole)
               .count();
  }
  return sum / static_cast<double>(Steps.size());
}

} // namespace

TEST_CASE("A trainer learns soon that its step of long texts is whole",
          "[batch]") {
  std::vector<StepResults> steps = makeSteps(200);
  double held = meanDelay(steps, [](const StepResults &Of) {
    return [&Of](TimePoint Came, std::size_t Known) {
      bool results = listedBy(Of, Came) > Known;
      return computeAnswerDeadline({Came, Allowed, results, std::nullopt},
                                   Limits);
    };
  });
  double first = meanDelay(steps, [](const StepResults &Of) {
    return [&Of](TimePoint Came, std::size_t Known) {
      std::size_t now = listedBy(Of, Came);
      if (now > Known)
        return Came;
      TimePoint next = now < Of.Listed.size() ? Of.Listed[now] : Came + Allowed;
      return std::min(next, TimePoint(Came + Allowed));
    };
  });
  INFO("held " << held << " ms, answered at the first result " << first);
  // A reader that is never away but for its round trip learns of it within half
  // its pace on average.
  CHECK(held < 250);
  CHECK(held < first / 2);
}

TEST_CASE("A reader is held no longer than it allows and has use for",
          "[batch]") {
  TimePoint came = TimePoint() + Millis(5000);
  CHECK(computeAnswerDeadline({came, Allowed, false, std::nullopt}, Limits) ==
        came + Allowed);
  CHECK(computeAnswerDeadline({came, Allowed, true, std::nullopt}, Limits) ==
        came + Limits.Pace);
  CHECK(computeAnswerDeadline({came, Millis(200), true, std::nullopt},
                              Limits) == came + Millis(200));
  CHECK(computeAnswerDeadline({came, Millis(0), false, std::nullopt}, Limits) ==
        came);
}

TEST_CASE("What is in time is read in time", "[batch]") {
  TimePoint due = TimePoint() + Millis(7500);
  TimePoint inTime = due + Limits.Grace;
  // Whenever a reader comes before the limit, it has its answer by then.
  for (Millis at(6000); due - Limits.Delivery > TimePoint() + at;
       at += Millis(10)) {
    TimePoint until =
        computeAnswerDeadline({TimePoint() + at, Allowed, false, due}, Limits);
    CHECK(until + Limits.Delivery <= inTime);
  }
  // A step that is late holds nobody.
  TimePoint late = inTime + Millis(50);
  CHECK(computeAnswerDeadline({late, Allowed, true, due}, Limits) == late);
}

} // namespace wasabi
