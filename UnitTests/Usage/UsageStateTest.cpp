#include "Wasabi/Usage/UsageState.h"
#include "UnitTests/Core/Property.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

const CustomerName Anna("anna");
const CustomerName Bert("bert");
/// The window of these tests, and its start.
constexpr UsageWindow Window = 350000000;
const WallTime Begin(Millis(5000) * static_cast<std::int64_t>(Window));

UsageSource source(const std::string &Name, Incarnation Life = 1) {
  return {InstanceName(Name), Life};
}

/// A state to which each record is applied when it is written.
struct UsageStateFixture {
  UsageState State;
  UsageSettings Limits;
  Offset Next = 0;
  std::map<UsageSource, std::uint64_t> Sequences;
  /// The store has been reachable for long.
  StoreContact Contact{{}, TimePoint(), TimePoint(Millis(-100000)), false};

  /// Returns the reader's monotonic time at the true time `At`.
  static TimePoint readTime(WallTime At) { return TimePoint(At - Begin); }

  void applyRecord(const UsageRecord &Record, WallTime At,
                   Millis Age = Millis(0)) {
    apply(State, Next++, Record, {readTime(At), At, Age}, Limits);
  }
  /// Applies a batch that is written at `At` by a clock that is ahead by
  /// `ClockOffset`.
  void batch(const UsageSource &Source, WallTime At,
             std::vector<UsageEntry> Entries = {},
             Millis ClockOffset = Millis(0)) {
    UsageBatch written{Source, ++Sequences[Source], At + ClockOffset,
                       std::move(Entries)};
    for (UsageEntry &it : written.Entries)
      it.At += ClockOffset;
    applyRecord(written, At);
  }
  UsageCounts counts(UsageWindow Number = Window) const {
    return countsOf(State, Number, Limits);
  }
  std::optional<UsageWindow> due(WallTime At) const {
    return findDueWindow(State, At, readTime(At), Contact, Limits);
  }
};

UsageCounts oneFor(const CustomerName &Customer) { return {{Customer, 1}}; }

} // namespace

TEST_CASE("Requests count in the window in which they started", "[usage]") {
  UsageStateFixture it;
  it.batch(source("a"), Begin + Millis(10));
  it.batch(source("a"), Begin + Millis(5100),
           {{Anna, Begin, 1},
            {Anna, Begin + Millis(4999), 1},
            {Bert, Begin + Millis(5000), 1}});
  CHECK(it.counts() == UsageCounts{{Anna, 2}});
  it.applyRecord(UsageDecision{Window, it.counts()}, Begin + Millis(6100));
  CHECK(it.counts(Window + 1) == oneFor(Bert));
}

TEST_CASE("A batch that is in the topic twice counts once", "[usage]") {
  UsageStateFixture it;
  UsageBatch batch{source("a"), 1, Begin + Millis(50), {{Anna, Begin, 1}}};
  it.applyRecord(batch, Begin + Millis(60));
  it.applyRecord(batch, Begin + Millis(900));
  CHECK(it.counts() == oneFor(Anna));
  // A restarted process numbers its batches from 1 again.
  batch.Source = source("a", 2);
  it.applyRecord(batch, Begin + Millis(1000));
  CHECK(it.counts() == UsageCounts{{Anna, 2}});
}

TEST_CASE("Requests that did not run are withdrawn", "[usage]") {
  UsageStateFixture it;
  it.batch(source("a"), Begin + Millis(10), {{Anna, Begin, 1}});
  it.batch(source("a"), Begin + Millis(60),
           {{Anna, Begin, -1}, {Bert, Begin, 1}});
  CHECK(it.counts() == oneFor(Bert));
}

TEST_CASE("A window waits for the counts of all processes and the settle delay",
          "[usage]") {
  UsageStateFixture it;
  it.batch(source("a"), Begin + Millis(10));
  it.batch(source("b"), Begin + Millis(20));
  it.batch(source("a"), Begin + Millis(5050));
  // Requests of its last moments may still be withdrawn.
  it.batch(source("b"), Begin + Millis(5080));
  CHECK_FALSE(it.due(Begin + Millis(5100)));
  CHECK(it.due(Begin + Millis(6000)) == Window);
}

TEST_CASE("A window waits for many missing processes until the due margin",
          "[usage]") {
  UsageStateFixture it;
  it.batch(source("a"), Begin + Millis(10));
  it.batch(source("b"), Begin + Millis(20));
  it.batch(source("a"), Begin + Millis(5050));
  Millis latest = it.Limits.Due - it.Limits.DueMargin;
  CHECK_FALSE(it.due(Begin + Millis(5000) + latest - Millis(1)));
  CHECK(missingSources(it.State, Window,
                       UsageStateFixture::readTime(Begin + Millis(7000)),
                       it.Limits) == std::vector<UsageSource>{source("b")});
  CHECK(it.due(Begin + Millis(5000) + latest) == Window);
}

TEST_CASE("Missing processes are still waited for just after an outage",
          "[usage]") {
  UsageStateFixture it;
  it.batch(source("a"), Begin + Millis(10));
  it.batch(source("b"), Begin + Millis(20));
  WallTime reachableAt = Begin + Millis(20000);
  it.Contact.ReachableSince = UsageStateFixture::readTime(reachableAt);
  CHECK_FALSE(it.due(reachableAt + it.Limits.StoreRecoveryDelay - Millis(1)));
  CHECK(it.due(reachableAt + it.Limits.StoreRecoveryDelay) == Window);
}

TEST_CASE("A window waits only briefly for one missing process of many",
          "[usage]") {
  UsageStateFixture it;
  constexpr int Processes = 40;
  for (int i = 0; i < Processes; ++i)
    it.batch(source(std::to_string(i)), Begin + Millis(10));
  for (int i = 1; i < Processes; ++i)
    it.batch(source(std::to_string(i)), Begin + Millis(5050));
  WallTime end = Begin + Millis(5000);
  CHECK_FALSE(it.due(end + it.Limits.FewMissingTimeout - Millis(1)));
  CHECK(it.due(end + it.Limits.FewMissingTimeout) == Window);
  // A third of the processes is missing, which is not negligible.
  UsageStateFixture disconnected;
  for (int i = 0; i < Processes; ++i)
    disconnected.batch(source(std::to_string(i)), Begin + Millis(10));
  for (int i = Processes / 3; i < Processes; ++i)
    disconnected.batch(source(std::to_string(i)), Begin + Millis(5050));
  CHECK_FALSE(disconnected.due(end + Millis(7000)));
}

TEST_CASE("A window does not wait for processes that left or were restarted",
          "[usage]") {
  UsageStateFixture it;
  it.batch(source("a"), Begin + Millis(10));
  it.batch(source("b", 1), Begin + Millis(20));
  it.batch(source("c"), Begin + Millis(30));
  it.applyRecord(UsageLeave{source("c")}, Begin + Millis(40));
  it.batch(source("b", 2), Begin + Millis(5010));
  it.batch(source("a"), Begin + Millis(5050));
  CHECK(it.due(Begin + Millis(6000)) == Window);
}

TEST_CASE("The first decision of a window is valid and is reported once",
          "[usage]") {
  UsageStateFixture it;
  it.batch(source("a"), Begin + Millis(10), {{Anna, Begin, 1}});
  it.applyRecord(UsageDecision{Window, oneFor(Anna)}, Begin + Millis(6000));
  it.applyRecord(UsageDecision{Window, oneFor(Bert)}, Begin + Millis(6010));
  REQUIRE(it.State.Untold.contains(Window));
  CHECK(it.State.Untold[Window] == oneFor(Anna));
  CHECK(it.counts().empty());
  it.applyRecord(UsageReported{Window}, Begin + Millis(6050));
  CHECK(it.State.Untold.empty());
  // A decision after the report has no effect.
  it.applyRecord(UsageDecision{Window, oneFor(Bert)}, Begin + Millis(6060));
  CHECK(it.State.Untold.empty());
}

TEST_CASE("Requests that are read after their window was decided are late",
          "[usage]") {
  UsageStateFixture it;
  it.batch(source("a"), Begin + Millis(10));
  it.applyRecord(UsageDecision{Window, {}}, Begin + Millis(6000));
  it.batch(source("a"), Begin + Millis(7000),
           {{Anna, Begin, 1}, {Bert, Begin + Millis(6000), 1}});
  CHECK(it.State.Late == 1);
  CHECK(it.counts(Window + 1) == oneFor(Bert));
}

TEST_CASE("Empty windows are decided in order like others", "[usage]") {
  UsageStateFixture it;
  it.batch(source("a"), Begin + Millis(10));
  it.batch(source("a"), Begin + Millis(10050));
  WallTime now = Begin + Millis(12000);
  CHECK(it.due(now) == Window);
  it.applyRecord(UsageDecision{Window, {}}, now);
  CHECK(it.due(now) == Window + 1);
  it.applyRecord(UsageDecision{Window + 1, {}}, now);
  CHECK_FALSE(it.due(now));
}

TEST_CASE("A wrong clock is corrected by the median clock", "[usage]") {
  for (Millis step : {Millis(3000), Millis(-3000)}) {
    UsageStateFixture it;
    for (const char *name : {"a", "b", "c", "d"})
      it.batch(source(name), Begin + Millis(10));
    it.batch(source("late"), Begin + Millis(20), {}, step);
    it.batch(source("late"), Begin + Millis(4000),
             {{Anna, Begin + Millis(3900), 1}}, step);
    CHECK(clockSkew(it.State, source("late"), it.Limits) == step);
    CHECK(clockSkew(it.State, source("a"), it.Limits) == Millis(0));
    CHECK(it.counts() == oneFor(Anna));
    CHECK(it.counts(Window - 1).empty());
    // `Through` is corrected by the clock offset, too.
    for (const char *name : {"a", "b", "c", "d"})
      it.batch(source(name), Begin + Millis(5050));
    CHECK_FALSE(it.due(Begin + Millis(6500)));
    it.batch(source("late"), Begin + Millis(5100), {}, step);
    CHECK(it.due(Begin + Millis(6500)) == Window);
  }
}

TEST_CASE("Records that were delayed by an outage don't affect clock offsets",
          "[usage]") {
  UsageStateFixture it;
  for (const char *name : {"a", "b", "c"})
    it.batch(source(name), Begin + Millis(10));
  UsageBatch old{source("c"), 2, Begin + Millis(100), {}};
  it.applyRecord(old, Begin + Millis(9000), Millis(8900));
  CHECK(clockSkew(it.State, source("c"), it.Limits) == Millis(0));
}

TEST_CASE("Records that a slow link delays don't affect clock offsets",
          "[usage]") {
  UsageStateFixture it;
  for (const char *name : {"a", "b", "c"})
    it.batch(source(name), Begin + Millis(10));
  // The store executes the append seconds after it was sent.
  UsageBatch delayed{
      source("c"), 2, Begin + Millis(100), {{Anna, Begin + Millis(90), 1}}};
  it.Sequences[source("c")] = 2;
  it.applyRecord(delayed, Begin + Millis(3000));
  CHECK(clockSkew(it.State, source("c"), it.Limits) == Millis(0));
  CHECK(it.counts() == oneFor(Anna));
}

TEST_CASE(
    "Each request counts once in its window for any split, repetition and "
    "interleaving of batches",
    "[usage]") {
  test::holds([] {
    constexpr int Sources = 3;
    UsageStateFixture it;
    UsageCounts expected;
    for (int i = 0; i < Sources; ++i)
      it.batch(source(std::to_string(i)), Begin);
    int batches = *rc::gen::inRange(0, 30);
    for (int i = 0; i < batches; ++i) {
      UsageSource origin =
          source(std::to_string(*rc::gen::inRange(0, Sources)));
      std::vector<UsageEntry> entries;
      int count = *rc::gen::inRange(0, 5);
      for (int k = 0; k < count; ++k) {
        CustomerName customer(std::to_string(*rc::gen::inRange(0, 4)));
        Millis at(*rc::gen::inRange(0, 10000));
        entries.push_back({customer, Begin + at, 1});
        expected[customer] += at < Millis(5000) ? 1 : 0;
      }
      bool repeated = *rc::gen::inRange(0, 3) == 0;
      UsageBatch batch{origin, ++it.Sequences[origin], Begin + Millis(10 * i),
                       entries};
      it.applyRecord(batch, Begin + Millis(10 * i));
      if (repeated)
        it.applyRecord(batch, Begin + Millis(10 * i + 5));
    }
    std::erase_if(expected, [](const auto &It) { return It.second == 0; });
    RC_ASSERT(it.counts() == expected);
  });
}

} // namespace wasabi
