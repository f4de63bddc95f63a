#include "Wasabi/Batch/RolloutLog.h"
#include "UnitTests/Batch/BatchFixture.h"

namespace wasabi::batchtest {

namespace {

std::shared_ptr<RolloutLog> startLog(BatchTestFixture &Fixture, Millis Delay) {
  RolloutLog::Settings limits;
  limits.PollTimeout = Millis(50);
  limits.PollDelay = Millis(1);
  limits.ReplayDelay = Delay;
  // About thirty records of this test.
  limits.MaxReadBytes = 1000;
  std::shared_ptr<RolloutLog> log =
      RolloutLog::create(Fixture.Context.get_executor(), Fixture.Store.port(),
                         Fixture.Decisions, limits);
  log->start();
  return log;
}

void appendRecords(BatchTestFixture &Fixture, int Count) {
  for (int i = 0; i < Count; ++i)
    Fixture.Store.append("rollout", encodeRecord(JobEnd{JobId("none")}));
}

} // namespace

TEST_CASE("Instances with a large CPU share read a long topic first",
          "[batch]") {
  BatchTestFixture fixture;
  fixture.Store.MaxEntries = 10;
  appendRecords(fixture, 100);
  // Far longer than the strong instance needs.
  constexpr Millis LongDelay{60000};
  std::shared_ptr<RolloutLog> weak = startLog(fixture, LongDelay);
  std::shared_ptr<RolloutLog> strong = startLog(fixture, Millis(0));
  REQUIRE(fixture.runUntil([&] { return strong->caughtUp(); }));
  CHECK_FALSE(weak->caughtUp());
  CHECK(weak->fold().Next == 10);
}

TEST_CASE("An instance with a small CPU share catches up after one delay",
          "[batch]") {
  BatchTestFixture fixture;
  fixture.Store.MaxEntries = 10;
  appendRecords(fixture, 100);
  std::shared_ptr<RolloutLog> weak = startLog(fixture, Millis(20));
  REQUIRE(fixture.runUntil([&] { return weak->caughtUp(); }));
}

TEST_CASE("A short topic is read without a delay", "[batch]") {
  BatchTestFixture fixture;
  fixture.Store.MaxEntries = 10;
  appendRecords(fixture, 15);
  std::shared_ptr<RolloutLog> weak = startLog(fixture, Millis(60000));
  REQUIRE(fixture.runUntil([&] { return weak->caughtUp(); }));
  // Later records are read without a delay.
  appendRecords(fixture, 100);
  REQUIRE(fixture.runUntil([&] { return weak->fold().Next == 115; }));
}

TEST_CASE("Only instances with a small CPU share delay reading", "[batch]") {
  CHECK(replayDelay(1.0) == Millis(0));
  CHECK(replayDelay(0.5) == Millis(0));
  CHECK(replayDelay(0.09) > Millis(0));
}

} // namespace wasabi::batchtest
