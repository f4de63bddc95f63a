#include "Wasabi/Usage/UsageMeter.h"
#include "UnitTests/Batch/BatchFixture.h"

namespace wasabi::batchtest {

namespace {

const CustomerName Anna("anna");
const CustomerName Bert("bert");

struct MeterWorld : BatchTestFixture {
  Metrics Counts;
  StoreContact Contact;
  std::shared_ptr<bool> Disconnected = std::make_shared<bool>(false);
  std::shared_ptr<UsageMeter> Meter;

  explicit MeterWorld(Millis Window = Millis(3600000)) {
    UsageMeter::Settings limits;
    limits.Self = {InstanceName("edge"), 7};
    limits.Windows.Window = Window;
    limits.Pace = Millis(5);
    limits.AppendIntervalFactor = 0;
    limits.MaxAppendInterval = Millis(20);
    limits.BurstSpan = Millis(40);
    limits.RetryDelay = Millis(5);
    limits.EndSpread = Millis(5);
    Meter =
        UsageMeter::create({Context.get_executor(), Store.port(Disconnected),
                            Decisions, Counts, WallClock::create(), Contact},
                           limits);
    Meter->start();
  }
  std::vector<UsageBatch> batches() {
    std::vector<UsageBatch> all;
    for (const std::string &it : Store.Topics[UsageTopic]) {
      UsageRecord record = decodeUsage(it, "test").value();
      if (const UsageBatch *batch = std::get_if<UsageBatch>(&record))
        all.push_back(*batch);
    }
    return all;
  }
  /// What a reader makes of the topic.
  UsageCounts counted() {
    UsageState fold;
    UsageSettings limits;
    limits.Window = Millis(3600000);
    UsageReadContext when{
        monotonicNow(), WallClock::create().at(monotonicNow()), Millis::max()};
    Offset at = 0;
    for (const std::string &it : Store.Topics[UsageTopic])
      apply(fold, at++, decodeUsage(it, "test").value(), when, limits);
    return countsOf(fold, windowOf(when.Wall, limits.Window) + 1, limits);
  }
};

} // namespace

TEST_CASE("A process says that it counts before it has counted", "[usage]") {
  MeterWorld world;
  CHECK_FALSE(world.Meter->known());
  REQUIRE(world.runUntil([&] { return world.Meter->known(); }));
  REQUIRE(world.batches().size() == 1);
  CHECK(world.batches()[0].Entries.empty());
}

TEST_CASE("A request is in the topic while it runs", "[usage]") {
  MeterWorld world;
  REQUIRE(world.runUntil([&] { return world.Meter->known(); }));
  world.Context.run_for(Millis(10));
  world.Meter->began(Anna);
  REQUIRE(world.runUntil([&] { return world.batches().size() == 2; }));
  CHECK(world.counted() == UsageCounts{{Anna, 1}});
}

TEST_CASE("Appends that come fast are few in the long run, and lose nothing",
          "[usage]") {
  MeterWorld world;
  REQUIRE(world.runUntil([&] { return world.Meter->known(); }));
  TimePoint begin = monotonicNow();
  constexpr std::uint64_t Many = 200;
  for (std::uint64_t i = 0; i < Many; ++i) {
    world.Meter->began(Anna);
    world.Context.run_for(Millis(1));
  }
  REQUIRE(world.runUntil([&] {
    return world.counted() == UsageCounts{{Anna, Many}};
  }));
  auto took =
      std::chrono::duration_cast<Millis>(monotonicNow() - begin).count();
  // One each 5 ms beside the first ones.
  CHECK(world.batches().size() <= 12 + static_cast<std::size_t>(took / 5));
}

TEST_CASE("What is taken back before it was written was never there",
          "[usage]") {
  MeterWorld world;
  REQUIRE(world.runUntil([&] { return world.Meter->known(); }));
  UsageEntry unrun = world.Meter->began(Anna);
  world.Meter->withdraw(unrun);
  world.Meter->began(Bert);
  REQUIRE(world.runUntil([&] { return world.batches().size() == 2; }));
  CHECK(world.batches()[1].Entries.size() == 1);
  UsageEntry written = world.Meter->began(Anna);
  REQUIRE(world.runUntil([&] { return world.batches().size() == 3; }));
  world.Meter->withdraw(written);
  REQUIRE(world.runUntil([&] { return world.batches().size() == 4; }));
  CHECK(world.counted() == UsageCounts{{Bert, 1}});
}

TEST_CASE("Counts survive a store that refuses, loses answers or is away",
          "[usage]") {
  for (AppendFault fate :
       {AppendFault::Refused, AppendFault::AnswerLost, AppendFault::Lost}) {
    MeterWorld world;
    REQUIRE(world.runUntil([&] { return world.Meter->known(); }));
    world.Store.AppendFaults = {fate, fate, fate};
    UsageCounts truth;
    for (int i = 0; i < 40; ++i) {
      const CustomerName &who = i % 3 == 0 ? Anna : Bert;
      world.Meter->began(who);
      ++truth[who];
      world.Context.run_for(Millis(2));
    }
    REQUIRE(world.runUntil([&] { return world.counted() == truth; }));
    world.Context.run_for(Millis(30));
    CHECK(world.counted() == truth);
  }
  MeterWorld away;
  REQUIRE(away.runUntil([&] { return away.Meter->known(); }));
  *away.Disconnected = true;
  away.Meter->began(Anna);
  away.Context.run_for(Millis(50));
  away.Meter->began(Bert);
  CHECK(away.counted().empty());
  *away.Disconnected = false;
  REQUIRE(away.runUntil([&] {
    return away.counted() == UsageCounts{{Anna, 1}, {Bert, 1}};
  }));
}

TEST_CASE("A batch of unknown outcome takes up nothing that came since",
          "[usage]") {
  MeterWorld world;
  REQUIRE(world.runUntil([&] { return world.Meter->known(); }));
  world.Context.run_for(Millis(10));
  world.Store.AppendFaults = {AppendFault::AnswerLost};
  world.Meter->began(Anna);
  REQUIRE(world.runUntil([&] { return world.batches().size() == 2; }));
  // A reader passes over the second batch of a number.
  world.Meter->began(Bert);
  REQUIRE(world.runUntil([&] { return world.batches().size() >= 4; }));
  CHECK(world.counted() == UsageCounts{{Anna, 1}, {Bert, 1}});
}

TEST_CASE("While answers are lost new counts are written all the same",
          "[usage]") {
  MeterWorld world;
  REQUIRE(world.runUntil([&] { return world.Meter->known(); }));
  world.Context.run_for(Millis(10));
  // None of these appends is answered, and the process may be killed then.
  world.Store.AppendFaults.assign(1000, AppendFault::AnswerLost);
  world.Meter->began(Anna);
  REQUIRE(world.runUntil([&] {
    return world.counted() == UsageCounts{{Anna, 1}};
  }));
  world.Meter->began(Bert);
  REQUIRE(world.runUntil([&] {
    return world.counted() == UsageCounts{{Anna, 1}, {Bert, 1}};
  }));
  world.Store.AppendFaults.clear();
  world.Meter->began(Bert);
  REQUIRE(world.runUntil([&] {
    return world.counted() == UsageCounts{{Anna, 1}, {Bert, 2}};
  }));
}

TEST_CASE("A store that has too much to do is written to ever less often",
          "[usage]") {
  MeterWorld world;
  REQUIRE(world.runUntil([&] { return world.Meter->known(); }));
  noteAnswer(world.Contact, monotonicNow());
  world.Store.AppendFaults.assign(1000, AppendFault::Refused);
  for (int i = 0; i < 100; ++i) {
    world.Meter->began(Anna);
    world.Context.run_for(Millis(2));
  }
  // 200 ms in pauses of 20 ms, and some shorter ones first.
  CHECK(1000 - world.Store.AppendFaults.size() <= 16);
  // One that is away is tried on, so that its return is heard of.
  world.Contact.Lost = true;
  world.Store.AppendFaults.assign(1000, AppendFault::Refused);
  world.Context.run_for(Millis(100));
  CHECK(1000 - world.Store.AppendFaults.size() >= 10);
  world.Store.AppendFaults.clear();
  REQUIRE(world.runUntil([&] {
    return world.counted() == UsageCounts{{Anna, 100}};
  }));
}

TEST_CASE("A process without requests says so in each window", "[usage]") {
  MeterWorld world(Millis(40));
  REQUIRE(world.runUntil([&] { return world.batches().size() >= 5; }));
  std::vector<UsageBatch> batches = world.batches();
  for (std::size_t i = 1; i < batches.size(); ++i)
    CHECK(windowOf(batches[i].Through, Millis(40)) >
          windowOf(batches[i - 1].Through, Millis(40)));
}

TEST_CASE("Counts that wait for long are kept by customer and second",
          "[usage]") {
  MeterWorld world;
  REQUIRE(world.runUntil([&] { return world.Meter->known(); }));
  *world.Disconnected = true;
  constexpr int Many = 50000;
  for (int i = 0; i < Many; ++i)
    world.Meter->began(i % 2 == 0 ? Anna : Bert);
  *world.Disconnected = false;
  REQUIRE(world.runUntil([&] {
    return world.counted() == UsageCounts{{Anna, Many / 2}, {Bert, Many / 2}};
  }));
  std::size_t entries = 0;
  for (const UsageBatch &it : world.batches())
    entries += it.Entries.size();
  CHECK(entries <= 20000);
}

TEST_CASE("A process that leaves writes what it counted and that it left",
          "[usage]") {
  MeterWorld world;
  REQUIRE(world.runUntil([&] { return world.Meter->known(); }));
  world.Store.AppendFaults = {AppendFault::Refused};
  world.Meter->began(Anna);
  world.run([&]() -> boost::asio::awaitable<void> {
    co_await world.Meter->leave(monotonicNow() + Millis(2000));
  });
  CHECK(world.counted() == UsageCounts{{Anna, 1}});
  UsageRecord last =
      decodeUsage(world.Store.Topics[UsageTopic].back(), "test").value();
  CHECK(std::holds_alternative<UsageLeave>(last));
}

} // namespace wasabi::batchtest
