#include "Wasabi/Batch/RolloutLog.h"
#include "UnitTests/Batch/BatchFixture.h"

namespace wasabi::batchtest {

namespace {

std::shared_ptr<RolloutLog> startLog(BatchTestFixture &World, Millis Delay) {
  RolloutLog::Settings limits;
  limits.PollTimeout = Millis(50);
  limits.PollDelay = Millis(1);
  limits.ReplayDelay = Delay;
  // Some thirty of the records here.
  limits.MaxReadBytes = 1000;
  std::shared_ptr<RolloutLog> log =
      RolloutLog::create(World.Context.get_executor(), World.Store.port(),
                         World.Decisions, limits);
  log->start();
  return log;
}

void fill(BatchTestFixture &World, int Records) {
  for (int i = 0; i < Records; ++i)
    World.Store.append("rollout", encodeRecord(JobEnd{JobId("none")}));
}

} // namespace

TEST_CASE("Strong instances read a long topic first", "[batch]") {
  BatchTestFixture world;
  world.Store.MaxEntries = 10;
  fill(world, 100);
  // As long as the strong one needs and much longer.
  constexpr Millis Never{60000};
  std::shared_ptr<RolloutLog> weak = startLog(world, Never);
  std::shared_ptr<RolloutLog> strong = startLog(world, Millis(0));
  REQUIRE(world.runUntil([&] { return strong->caughtUp(); }));
  CHECK_FALSE(weak->caughtUp());
  CHECK(weak->fold().Next == 10);
}

TEST_CASE("The pause of a weak instance ends, and is made once", "[batch]") {
  BatchTestFixture world;
  world.Store.MaxEntries = 10;
  fill(world, 100);
  std::shared_ptr<RolloutLog> weak = startLog(world, Millis(20));
  REQUIRE(world.runUntil([&] { return weak->caughtUp(); }));
}

TEST_CASE("Nobody waits with a topic that is short", "[batch]") {
  BatchTestFixture world;
  world.Store.MaxEntries = 10;
  fill(world, 15);
  std::shared_ptr<RolloutLog> weak = startLog(world, Millis(60000));
  REQUIRE(world.runUntil([&] { return weak->caughtUp(); }));
  // Later bursts are read at once, too.
  fill(world, 100);
  REQUIRE(world.runUntil([&] { return weak->fold().Next == 115; }));
}

TEST_CASE("Only instances too weak for the duty read later", "[batch]") {
  CHECK(replayDelay(1.0) == Millis(0));
  CHECK(replayDelay(0.5) == Millis(0));
  CHECK(replayDelay(0.09) > Millis(0));
}

} // namespace wasabi::batchtest
