/// \file
/// Backlog of results after an outage of the store: guards against a step that
/// is due soon waiting for the results of steps that are late or due later.
#include "Wasabi/Dispatch/CommitOrder.h"

#include <catch2/catch.hpp>

#include <random>

namespace wasabi {

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

CommitEntry makeEntry(Millis Due, Offset Step, std::size_t Bytes = 100,
                      Millis FinishedAt = Millis(0)) {
  return CommitEntry{Start + Due, Step, Start + FinishedAt, Bytes};
}

/// Returns the entries in the order in which they are appended.
std::vector<CommitEntry> sorted(const std::vector<CommitEntry> &Pending,
                                TimePoint Now) {
  std::vector<CommitEntry> entries;
  for (std::size_t it : sortForCommit(Pending, Now))
    entries.push_back(Pending[it]);
  return entries;
}

} // namespace

TEST_CASE("After an outage the results of the step due first are appended "
          "first, those of overdue steps last",
          "[dispatch]") {
  // Three steps whose results arrived interleaved during an outage of 7 s.
  std::mt19937 random(7);
  std::vector<CommitEntry> pending;
  for (int i = 0; i < 90; ++i) {
    Offset step = random() % 3;
    pending.push_back(makeEntry(Millis(3000 * (static_cast<int>(step) + 1)),
                                step, 100, Millis(70 * i)));
  }
  // Step 0 was due at 3 s, step 1 is due at 6 s and step 2 at 9 s.
  std::vector<CommitEntry> order = sorted(pending, Start + Millis(5000));
  std::vector<Offset> steps;
  for (const CommitEntry &it : order) {
    if (steps.empty() || steps.back() != it.Step)
      steps.push_back(it.Step);
  }
  CHECK(steps == std::vector<Offset>{1, 2, 0});
  for (std::size_t i = 1; i < order.size(); ++i) {
    if (order[i].Step == order[i - 1].Step)
      CHECK(order[i].FinishedAt >= order[i - 1].FinishedAt);
  }
}

TEST_CASE("A batch that cannot hold all results ends between two steps",
          "[dispatch]") {
  std::vector<CommitEntry> pending;
  for (Offset step : {1, 1, 1, 2, 2, 2, 3})
    pending.push_back(makeEntry(Millis(1000), step));
  CHECK(commitBatchSize(pending, 1000) == 7);
  // 500 bytes hold the first step and a part of the second.
  CHECK(commitBatchSize(pending, 500) == 3);
  // The first step alone exceeds the limit and needs several batches.
  CHECK(commitBatchSize(pending, 200) == 2);
  CHECK(commitBatchSize(pending, 10) == 1);
  CHECK(commitBatchSize({}, 500) == 0);
}

TEST_CASE("Results that wait longer than usual are a backlog", "[dispatch]") {
  std::vector<CommitEntry> pending{makeEntry(Millis(5000), 1)};
  CHECK_FALSE(hasCommitBacklog(pending, Millis(500), Start + Millis(500)));
  CHECK(hasCommitBacklog(pending, Millis(500), Start + Millis(501)));
  CHECK_FALSE(hasCommitBacklog({}, Millis(500), Start + Millis(501)));
}

} // namespace wasabi
