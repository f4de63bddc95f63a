#include "Wasabi/Batch/RolloutLog.h"
#include "UnitTests/Batch/BatchFixture.h"

namespace wasabi::batchtest {

namespace {

constexpr Millis IdleTimeout{100};

std::shared_ptr<RolloutLog> startLog(BatchTestFixture &Fixture,
                                     std::optional<Millis> Timeout) {
  RolloutLog::Settings limits;
  limits.PollTimeout = Millis(50);
  limits.PollDelay = Millis(1);
  limits.IdleTimeout = Timeout;
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

TEST_CASE("The reads of a topic do not grow with the processes that need none "
          "of it",
          "[batch]") {
  constexpr int Records = 200;
  auto bytesRead = [](int Processes) {
    BatchTestFixture fixture;
    std::vector<std::shared_ptr<RolloutLog>> logs;
    logs.reserve(static_cast<std::size_t>(Processes));
    for (int i = 0; i < Processes; ++i)
      logs.push_back(startLog(fixture, IdleTimeout));
    logs.front()->pin();
    appendRecords(fixture, Records);
    REQUIRE(
        fixture.runUntil([&] { return logs.front()->fold().Next == Records; }));
    fixture.Context.run_for(Millis(50));
    return fixture.Store.Reads["rollout"].Bytes;
  };
  std::size_t few = bytesRead(3);
  CHECK(few > 0);
  CHECK(bytesRead(300) == few);
}

TEST_CASE("A topic is followed for a while after its state was needed",
          "[batch]") {
  BatchTestFixture fixture;
  std::shared_ptr<RolloutLog> log = startLog(fixture, IdleTimeout);
  appendRecords(fixture, 10);
  fixture.Context.run_for(Millis(20));
  CHECK(log->fold().Next == 0);
  log->demand();
  REQUIRE(fixture.runUntil([&] { return log->fold().Next == 10; }));
  appendRecords(fixture, 10);
  REQUIRE(fixture.runUntil([&] { return log->fold().Next == 20; }));
  REQUIRE(fixture.runUntil([&] { return !log->isFollowing(); }));
  // A read that is under way at the timeout still counts.
  fixture.Context.run_for(Millis(80));
  appendRecords(fixture, 10);
  fixture.Context.run_for(Millis(80));
  CHECK(log->fold().Next == 20);
  SECTION("A refresh reads what is missing") {
    fixture.run([&]() -> boost::asio::awaitable<void> {
      Outcome<Done> done = co_await log->refresh();
      CHECK(done);
    });
    CHECK(log->fold().Next == 30);
    CHECK(log->isFollowing());
  }
  SECTION("A pinned log follows without demand") {
    log->pin();
    REQUIRE(fixture.runUntil([&] { return log->fold().Next == 30; }));
    fixture.Context.run_for(2 * IdleTimeout);
    CHECK(log->isFollowing());
    log->unpin();
    CHECK_FALSE(log->isFollowing());
  }
}

TEST_CASE("Concurrent calls read a long topic once", "[batch]") {
  BatchTestFixture fixture;
  fixture.Store.MaxEntries = 10;
  std::shared_ptr<RolloutLog> log = startLog(fixture, IdleTimeout);
  appendRecords(fixture, 200);
  int finished = 0;
  for (int i = 0; i < 20; ++i)
    boost::asio::co_spawn(
        fixture.Context,
        [&]() -> boost::asio::awaitable<void> {
          Outcome<Done> done = co_await log->refresh();
          CHECK(done);
          CHECK(log->fold().Next == 200);
          ++finished;
        },
        boost::asio::detached);
  REQUIRE(fixture.runUntil([&] { return finished == 20; }));
  // The first call, one for all that came during it, and one of the follower.
  CHECK(fixture.Store.Reads["rollout"].Calls <= 23);
}

TEST_CASE("A log without an idle timeout is followed always", "[batch]") {
  BatchTestFixture fixture;
  std::shared_ptr<RolloutLog> log = startLog(fixture, std::nullopt);
  appendRecords(fixture, 10);
  REQUIRE(fixture.runUntil([&] { return log->fold().Next == 10; }));
}

// Guards against a read of expired records that is taken for the end of the
// topic, before any retained record is read.
TEST_CASE("A topic whose first records have expired is read to its end",
          "[batch]") {
  BatchTestFixture fixture;
  fixture.Store.MaxEntries = 10;
  fixture.Store.expire("rollout", 500);
  BatchJob ended = makeJob("ended", 1);
  BatchJob open = makeJob("open", 1);
  fixture.Store.append("rollout", encodeRecord(JobPart{ended, 0, 1}));
  appendRecords(fixture, 50);
  fixture.Store.append("rollout", encodeRecord(JobEnd{ended.Id}));
  fixture.Store.append("rollout", encodeRecord(JobPart{open, 0, 1}));
  std::shared_ptr<RolloutLog> log = startLog(fixture, IdleTimeout);
  TimePoint before = log->lastCaughtUpTime();
  bool caughtUpTooEarly = false;
  log->onChange([&](const BatchStateChange &) {
    caughtUpTooEarly |= log->caughtUp() || log->lastCaughtUpTime() > before;
  });
  fixture.run([&]() -> boost::asio::awaitable<void> {
    Outcome<Done> done = co_await log->refresh();
    CHECK(done);
    CHECK(log->fold().Next == 553);
    CHECK(log->caughtUp());
  });
  CHECK_FALSE(caughtUpTooEarly);
  CHECK(log->fold().KnownFrom == 500);
  CHECK(findJob(log->fold(), ended.Id)->Ended);
  CHECK_FALSE(findJob(log->fold(), open.Id)->Ended);
}

// Guards against jobs that were ended while a process was stopped, if the
// records of their ends have expired.
TEST_CASE("What was known before expired records is dropped", "[batch]") {
  BatchTestFixture fixture;
  std::shared_ptr<RolloutLog> log = startLog(fixture, IdleTimeout);
  BatchJob job = makeJob("a", 2);
  fixture.Store.append("rollout", encodeRecord(JobPart{job, 0, 1}));
  fixture.Store.append("rollout",
                       encodeRecord(LeaseClaim{{InstanceName("x"), 1}}));
  log->demand();
  REQUIRE(fixture.runUntil([&] { return log->fold().Next == 2; }));
  REQUIRE(fixture.runUntil([&] { return !log->isFollowing(); }));
  fixture.Context.run_for(Millis(80));
  fixture.Store.append("rollout", encodeRecord(JobEnd{job.Id}));
  fixture.Store.expire("rollout", 10);
  appendRecords(fixture, 5);
  std::vector<std::string> ended;
  log->onChange([&](const BatchStateChange &Change) {
    if (Change.What == BatchStateChange::Kind::Ended)
      ended.push_back(Change.Job->Job.Id.Text);
  });
  std::shared_ptr<JobState> held = findJob(log->fold(), job.Id);
  fixture.run([&]() -> boost::asio::awaitable<void> {
    Outcome<Done> done = co_await log->refresh();
    CHECK(done);
  });
  CHECK(log->fold().Next == 15);
  CHECK(log->fold().Jobs.empty());
  CHECK_FALSE(log->fold().Lease.Holder);
  CHECK(held->Ended);
  CHECK(ended == std::vector<std::string>{"a"});
}

} // namespace wasabi::batchtest
