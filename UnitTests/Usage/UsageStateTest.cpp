#include "Wasabi/Usage/UsageState.h"
#include "UnitTests/Core/Property.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

const CustomerName Anna("anna");
const CustomerName Bert("bert");
/// A window of these tests, and its begin.
constexpr UsageWindow Window = 350000000;
const WallTime Begin(Millis(5000) * static_cast<std::int64_t>(Window));

UsageSource source(const std::string &Name, Incarnation Life = 1) {
  return {InstanceName(Name), Life};
}

/// A fold that is read as its records are written.
struct FoldCase {
  UsageState Fold;
  UsageSettings Limits;
  Offset Next = 0;
  std::map<UsageSource, std::uint64_t> Sequences;
  /// With the store, for long.
  StoreContact Contact{{}, TimePoint(), TimePoint(Millis(-100000)), false};

  /// The reader's time when the true time is `At`.
  static TimePoint reader(WallTime At) { return TimePoint(At - Begin); }

  void take(const UsageRecord &What, WallTime At, Millis Age = Millis(0)) {
    apply(Fold, Next++, What, {reader(At), At, Age}, Limits);
  }
  /// A batch that is written at `At`, by a clock that is ahead by `Ahead`.
  void batch(const UsageSource &From, WallTime At,
             std::vector<UsageEntry> Entries = {},
             Millis ClockOffset = Millis(0)) {
    UsageBatch made{From, ++Sequences[From], At + ClockOffset,
                    std::move(Entries)};
    for (UsageEntry &it : made.Entries)
      it.At += ClockOffset;
    take(made, At);
  }
  UsageCounts counts(UsageWindow Of = Window) const {
    return countsOf(Fold, Of, Limits);
  }
  std::optional<UsageWindow> due(WallTime At) const {
    return findDueWindow(Fold, At, reader(At), Contact, Limits);
  }
};

UsageCounts oneFor(const CustomerName &Who) { return {{Who, 1}}; }

} // namespace

TEST_CASE("Requests count in the window in which they began", "[usage]") {
  FoldCase it;
  it.batch(source("a"), Begin + Millis(10));
  it.batch(source("a"), Begin + Millis(5100),
           {{Anna, Begin, 1},
            {Anna, Begin + Millis(4999), 1},
            {Bert, Begin + Millis(5000), 1}});
  CHECK(it.counts() == UsageCounts{{Anna, 2}});
  it.take(UsageDecision{Window, it.counts()}, Begin + Millis(6100));
  CHECK(it.counts(Window + 1) == oneFor(Bert));
}

TEST_CASE("A batch that stands twice counts once", "[usage]") {
  FoldCase it;
  UsageBatch batch{source("a"), 1, Begin + Millis(50), {{Anna, Begin, 1}}};
  it.take(batch, Begin + Millis(60));
  it.take(batch, Begin + Millis(900));
  CHECK(it.counts() == oneFor(Anna));
  // Another life of the same instance begins anew.
  batch.From = source("a", 2);
  it.take(batch, Begin + Millis(1000));
  CHECK(it.counts() == UsageCounts{{Anna, 2}});
}

TEST_CASE("What proved not to have run is taken back", "[usage]") {
  FoldCase it;
  it.batch(source("a"), Begin + Millis(10), {{Anna, Begin, 1}});
  it.batch(source("a"), Begin + Millis(60),
           {{Anna, Begin, -1}, {Bert, Begin, 1}});
  CHECK(it.counts() == oneFor(Bert));
}

TEST_CASE("A window waits for all that count, a while after its end",
          "[usage]") {
  FoldCase it;
  it.batch(source("a"), Begin + Millis(10));
  it.batch(source("b"), Begin + Millis(20));
  it.batch(source("a"), Begin + Millis(5050));
  // What was sent in its last moments may yet prove not to have run.
  it.batch(source("b"), Begin + Millis(5080));
  CHECK_FALSE(it.due(Begin + Millis(5100)));
  CHECK(it.due(Begin + Millis(6000)) == Window);
}

TEST_CASE("A window waits for a silent part of all until its report must leave",
          "[usage]") {
  FoldCase it;
  it.batch(source("a"), Begin + Millis(10));
  it.batch(source("b"), Begin + Millis(20));
  it.batch(source("a"), Begin + Millis(5050));
  Millis latest = it.Limits.Due - it.Limits.DueMargin;
  CHECK_FALSE(it.due(Begin + Millis(5000) + latest - Millis(1)));
  CHECK(missingSources(it.Fold, Window, FoldCase::reader(Begin + Millis(7000)),
                       it.Limits) == std::vector<UsageSource>{source("b")});
  CHECK(it.due(Begin + Millis(5000) + latest) == Window);
}

TEST_CASE("Nobody is given up as soon as the store is back", "[usage]") {
  FoldCase it;
  it.batch(source("a"), Begin + Millis(10));
  it.batch(source("b"), Begin + Millis(20));
  WallTime back = Begin + Millis(20000);
  it.Contact.ReachableSince = FoldCase::reader(back);
  CHECK_FALSE(it.due(back + it.Limits.StoreRecoveryDelay - Millis(1)));
  CHECK(it.due(back + it.Limits.StoreRecoveryDelay) == Window);
}

TEST_CASE("One process of many is waited for a short while only", "[usage]") {
  FoldCase it;
  constexpr int Many = 40;
  for (int i = 0; i < Many; ++i)
    it.batch(source(std::to_string(i)), Begin + Millis(10));
  for (int i = 1; i < Many; ++i)
    it.batch(source(std::to_string(i)), Begin + Millis(5050));
  WallTime end = Begin + Millis(5000);
  CHECK_FALSE(it.due(end + it.Limits.FewMissingTimeout - Millis(1)));
  CHECK(it.due(end + it.Limits.FewMissingTimeout) == Window);
  // A third of them is cut off, or killed: that is not few.
  FoldCase cut;
  for (int i = 0; i < Many; ++i)
    cut.batch(source(std::to_string(i)), Begin + Millis(10));
  for (int i = Many / 3; i < Many; ++i)
    cut.batch(source(std::to_string(i)), Begin + Millis(5050));
  CHECK_FALSE(cut.due(end + Millis(7000)));
}

TEST_CASE("Nobody waits for a process that has left or has a successor",
          "[usage]") {
  FoldCase it;
  it.batch(source("a"), Begin + Millis(10));
  it.batch(source("b", 1), Begin + Millis(20));
  it.batch(source("c"), Begin + Millis(30));
  it.take(UsageLeave{source("c")}, Begin + Millis(40));
  it.batch(source("b", 2), Begin + Millis(5010));
  it.batch(source("a"), Begin + Millis(5050));
  CHECK(it.due(Begin + Millis(6000)) == Window);
}

TEST_CASE("The first decision of a window counts, and is told once",
          "[usage]") {
  FoldCase it;
  it.batch(source("a"), Begin + Millis(10), {{Anna, Begin, 1}});
  it.take(UsageDecision{Window, oneFor(Anna)}, Begin + Millis(6000));
  it.take(UsageDecision{Window, oneFor(Bert)}, Begin + Millis(6010));
  REQUIRE(it.Fold.Untold.contains(Window));
  CHECK(it.Fold.Untold[Window] == oneFor(Anna));
  CHECK(it.counts().empty());
  it.take(UsageReported{Window}, Begin + Millis(6050));
  CHECK(it.Fold.Untold.empty());
  // Nobody decides it anew.
  it.take(UsageDecision{Window, oneFor(Bert)}, Begin + Millis(6060));
  CHECK(it.Fold.Untold.empty());
}

TEST_CASE("What comes to be known after its window is decided is late",
          "[usage]") {
  FoldCase it;
  it.batch(source("a"), Begin + Millis(10));
  it.take(UsageDecision{Window, {}}, Begin + Millis(6000));
  it.batch(source("a"), Begin + Millis(7000),
           {{Anna, Begin, 1}, {Bert, Begin + Millis(6000), 1}});
  CHECK(it.Fold.Late == 1);
  CHECK(it.counts(Window + 1) == oneFor(Bert));
}

TEST_CASE("Empty windows are decided like others, one after the other",
          "[usage]") {
  FoldCase it;
  it.batch(source("a"), Begin + Millis(10));
  it.batch(source("a"), Begin + Millis(10050));
  WallTime now = Begin + Millis(12000);
  CHECK(it.due(now) == Window);
  it.take(UsageDecision{Window, {}}, now);
  CHECK(it.due(now) == Window + 1);
  it.take(UsageDecision{Window + 1, {}}, now);
  CHECK_FALSE(it.due(now));
}

TEST_CASE("A clock that was set wrong is told by the others", "[usage]") {
  for (Millis step : {Millis(3000), Millis(-3000)}) {
    FoldCase it;
    for (const char *name : {"a", "b", "c", "d"})
      it.batch(source(name), Begin + Millis(10));
    it.batch(source("late"), Begin + Millis(20), {}, step);
    it.batch(source("late"), Begin + Millis(4000),
             {{Anna, Begin + Millis(3900), 1}}, step);
    CHECK(clockSkew(it.Fold, source("late"), it.Limits) == step);
    CHECK(clockSkew(it.Fold, source("a"), it.Limits) == Millis(0));
    CHECK(it.counts() == oneFor(Anna));
    CHECK(it.counts(Window - 1).empty());
    // Its word that it has told all is read by the true time, too.
    for (const char *name : {"a", "b", "c", "d"})
      it.batch(source(name), Begin + Millis(5050));
    CHECK_FALSE(it.due(Begin + Millis(6500)));
    it.batch(source("late"), Begin + Millis(5100), {}, step);
    CHECK(it.due(Begin + Millis(6500)) == Window);
  }
}

TEST_CASE("Records that wait for a store that is away say nothing of clocks",
          "[usage]") {
  FoldCase it;
  for (const char *name : {"a", "b", "c"})
    it.batch(source(name), Begin + Millis(10));
  UsageBatch old{source("c"), 2, Begin + Millis(100), {}};
  it.take(old, Begin + Millis(9000), Millis(8900));
  CHECK(clockSkew(it.Fold, source("c"), it.Limits) == Millis(0));
}

TEST_CASE("Records that a slow link delays say nothing of clocks", "[usage]") {
  FoldCase it;
  for (const char *name : {"a", "b", "c"})
    it.batch(source(name), Begin + Millis(10));
  // Carried out by the store seconds after they were sent.
  UsageBatch delayed{
      source("c"), 2, Begin + Millis(100), {{Anna, Begin + Millis(90), 1}}};
  it.Sequences[source("c")] = 2;
  it.take(delayed, Begin + Millis(3000));
  CHECK(clockSkew(it.Fold, source("c"), it.Limits) == Millis(0));
  CHECK(it.counts() == oneFor(Anna));
}

TEST_CASE("However batches are cut, repeated and mingled, each request counts "
          "once in its window",
          "[usage]") {
  test::holds([] {
    constexpr int Sources = 3;
    FoldCase it;
    UsageCounts truth;
    for (int i = 0; i < Sources; ++i)
      it.batch(source(std::to_string(i)), Begin);
    int batches = *rc::gen::inRange(0, 30);
    for (int i = 0; i < batches; ++i) {
      UsageSource from = source(std::to_string(*rc::gen::inRange(0, Sources)));
      std::vector<UsageEntry> entries;
      int count = *rc::gen::inRange(0, 5);
      for (int k = 0; k < count; ++k) {
        CustomerName who(std::to_string(*rc::gen::inRange(0, 4)));
        Millis at(*rc::gen::inRange(0, 10000));
        entries.push_back({who, Begin + at, 1});
        truth[who] += at < Millis(5000) ? 1 : 0;
      }
      bool twice = *rc::gen::inRange(0, 3) == 0;
      UsageBatch batch{from, ++it.Sequences[from], Begin + Millis(10 * i),
                       entries};
      it.take(batch, Begin + Millis(10 * i));
      if (twice)
        it.take(batch, Begin + Millis(10 * i + 5));
    }
    std::erase_if(truth, [](const auto &It) { return It.second == 0; });
    RC_ASSERT(it.counts() == truth);
  });
}

} // namespace wasabi
