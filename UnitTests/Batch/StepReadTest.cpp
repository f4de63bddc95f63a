#include "Wasabi/Batch/StepRead.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

namespace wasabi {

namespace {

constexpr StepReadSettings Limits;
constexpr Millis MaxWait{1000};
/// Time from a response to the next request of a reader that polls slower than
/// the read interval.
constexpr Millis RoundTrip{10};

/// Times at which the results of a step are added, and the time at which the
/// step is complete.
struct StepResults {
  std::vector<TimePoint> ResultTimes;
  TimePoint CompletedAt;
};

/// Observations of a simulated reader.
struct ReaderView {
  /// Time at which the reader ends the step.
  TimePoint EndedAt;
  std::size_t Reads = 0;
};

std::size_t countResults(const StepResults &Step, TimePoint Time) {
  return static_cast<std::size_t>(
      std::upper_bound(Step.ResultTimes.begin(), Step.ResultTimes.end(), Time) -
      Step.ResultTimes.begin());
}

/// Polls a step until it is complete. `Answer` computes when a read of an
/// incomplete step is answered.
template <typename AnswerBy>
ReaderView simulateReader(const StepResults &Step, TimePoint Start,
                          const AnswerBy &Answer) {
  ReaderView view;
  std::size_t known = 0;
  TimePoint arrived = Start;
  for (;;) {
    ++view.Reads;
    TimePoint answered = Answer(arrived, known);
    if (arrived < Step.CompletedAt && Step.CompletedAt < answered)
      answered = Step.CompletedAt;
    TimePoint nextArrival =
        std::max(answered + RoundTrip, arrived + Limits.ReadInterval);
    if (answered >= Step.CompletedAt) {
      view.EndedAt = nextArrival;
      return view;
    }
    known = countResults(Step, answered);
    arrived = nextArrival;
  }
}

/// Generates steps with long texts: most results come within three seconds, the
/// last ones some tenths of a second apart.
std::vector<StepResults> makeSteps(std::size_t Count) {
  std::mt19937 random(7);
  std::uniform_int_distribution<int> early(200, 3000);
  std::uniform_int_distribution<int> late(3000, 7400);
  std::vector<StepResults> steps(Count);
  for (StepResults &it : steps) {
    for (int i = 0; i < 90; ++i)
      it.ResultTimes.push_back(TimePoint() + Millis(early(random)));
    for (int i = 0; i < 14; ++i)
      it.ResultTimes.push_back(TimePoint() + Millis(late(random)));
    std::sort(it.ResultTimes.begin(), it.ResultTimes.end());
    it.CompletedAt = it.ResultTimes[it.ResultTimes.size() - 2];
  }
  return steps;
}

/// Mean time from the completion of a step to its end by the reader, in
/// milliseconds.
template <typename MakeAnswer>
double meanDelay(const std::vector<StepResults> &Steps,
                 const MakeAnswer &Answer) {
  double sum = 0;
  int offset = 0;
  for (const StepResults &it : Steps) {
    offset = (offset + 37) % static_cast<int>(Limits.ReadInterval.count());
    ReaderView view =
        simulateReader(it, TimePoint() + Millis(offset), Answer(it));
    sum +=
        std::chrono::duration<double, std::milli>(view.EndedAt - it.CompletedAt)
            .count();
  }
  return sum / static_cast<double>(Steps.size());
}

} // namespace

TEST_CASE("A trainer soon learns that a step with long texts is complete",
          "[batch]") {
  std::vector<StepResults> steps = makeSteps(200);
  double heldDelay = meanDelay(steps, [](const StepResults &Step) {
    return [&Step](TimePoint ArrivedAt, std::size_t Known) {
      bool results = countResults(Step, ArrivedAt) > Known;
      return computeAnswerDeadline({ArrivedAt, MaxWait, results, std::nullopt},
                                   Limits);
    };
  });
  double unheldDelay = meanDelay(steps, [](const StepResults &Step) {
    return [&Step](TimePoint ArrivedAt, std::size_t Known) {
      std::size_t now = countResults(Step, ArrivedAt);
      if (now > Known)
        return ArrivedAt;
      TimePoint next = now < Step.ResultTimes.size() ? Step.ResultTimes[now]
                                                     : ArrivedAt + MaxWait;
      return std::min(next, TimePoint(ArrivedAt + MaxWait));
    };
  });
  INFO("mean delay with held reads: "
       << heldDelay
       << " ms, with reads answered at the first result: " << unheldDelay);
  // The mean delay must be below half of the read interval.
  CHECK(heldDelay < 250);
  CHECK(heldDelay < unheldDelay / 2);
}

TEST_CASE("A read waits no longer than its limit and the read interval",
          "[batch]") {
  TimePoint arrived = TimePoint() + Millis(5000);
  CHECK(computeAnswerDeadline({arrived, MaxWait, false, std::nullopt},
                              Limits) == arrived + MaxWait);
  CHECK(computeAnswerDeadline({arrived, MaxWait, true, std::nullopt}, Limits) ==
        arrived + Limits.ReadInterval);
  CHECK(computeAnswerDeadline({arrived, Millis(200), true, std::nullopt},
                              Limits) == arrived + Millis(200));
  CHECK(computeAnswerDeadline({arrived, Millis(0), false, std::nullopt},
                              Limits) == arrived);
}

TEST_CASE("Results available in time are delivered in time", "[batch]") {
  TimePoint due = TimePoint() + Millis(7500);
  TimePoint inTime = due + Limits.LateTolerance;
  // Every reader that arrives before the limit has its response in time.
  for (Millis at(6000); due - Limits.DeliveryDelay > TimePoint() + at;
       at += Millis(10)) {
    TimePoint until =
        computeAnswerDeadline({TimePoint() + at, MaxWait, false, due}, Limits);
    CHECK(until + Limits.DeliveryDelay <= inTime);
  }
  // A read of a late step does not wait.
  TimePoint late = inTime + Millis(50);
  CHECK(computeAnswerDeadline({late, MaxWait, true, due}, Limits) == late);
}

} // namespace wasabi
