#include "Wasabi/Batch/BatchService.h"
#include "UnitTests/Batch/BatchFixture.h"
#include "Wasabi/Core/BootTimer.h"

namespace wasabi::batchtest {

namespace {

namespace asio = boost::asio;

/// Two processes over one store.
struct DeskWorld : BatchTestFixture {
  Millis ResultTimeout{0};
  std::shared_ptr<bool> Disconnected = std::make_shared<bool>(false);
  std::shared_ptr<RolloutLog> Log = startLog(Store.port(Disconnected));
  std::shared_ptr<RolloutLog> OtherLog = startLog(Store.port());
  std::shared_ptr<BatchService> Desk = makeDesk(Log);
  std::shared_ptr<BatchService> Other = makeDesk(OtherLog);

  DeskWorld() {
    REQUIRE(
        runUntil([this] { return Log->caughtUp() && OtherLog->caughtUp(); }));
  }

  std::shared_ptr<BatchService> makeDesk(std::shared_ptr<RolloutLog> Of) {
    BatchService::Settings limits;
    limits.MaxStateAge = Millis(30);
    return BatchService::create(
        {std::move(Of), PayloadStore::create(Store.port(Disconnected), {}),
         Decisions, [this](const BatchJob &) { return ResultTimeout; }},
        limits);
  }

  JobRequestStatus submit(BatchService &At, const BatchJob &Job) {
    JobRequestStatus verdict = JobRequestStatus::Unknown;
    run([&]() -> asio::awaitable<void> { verdict = co_await At.submit(Job); });
    return verdict;
  }
  JobRequestStatus end(BatchService &At, const BatchJob &Job) {
    JobRequestStatus verdict = JobRequestStatus::Unknown;
    run([&]() -> asio::awaitable<void> { verdict = co_await At.end(Job.Id); });
    return verdict;
  }
  Outcome<ResultPage> read(BatchService &At, const BatchJob &Job,
                           std::size_t After, Millis Wait = Millis(0)) {
    std::optional<Outcome<ResultPage>> page;
    run([&]() -> asio::awaitable<void> {
      page.emplace(co_await At.read(Job.Id, After, Wait));
    });
    return *page;
  }
  void list(const BatchJob &Job, std::size_t Index, const std::string &Text) {
    Store.append("rollout", encodeRecord(ResultRecord{
                                Job.Id, makeResult(Job, Index, Text)}));
  }
};

} // namespace

TEST_CASE("A job accepted by one process is known to another at once",
          "[batch]") {
  DeskWorld world;
  BatchJob job = makeJob("a", 2);
  CHECK(world.submit(*world.Desk, job) == JobRequestStatus::Accepted);
  Outcome<ResultPage> page = world.read(*world.Other, job, 0);
  REQUIRE(page);
  CHECK(page->Total == 2);
  CHECK(world.submit(*world.Other, job) == JobRequestStatus::Accepted);
}

TEST_CASE("A submission whose items are not stored is refused, truly",
          "[batch]") {
  DeskWorld world;
  BatchJob job = makeJob("a", 1);
  world.Store.PayloadAppendFaults = {AppendFault::AnswerLost,
                                     AppendFault::Lost};
  CHECK(world.submit(*world.Desk, job) == JobRequestStatus::Refused);
  CHECK(world.Store.Topics["rollout"].empty());
  world.Store.PayloadAppendFaults = {AppendFault::AnswerLost};
  CHECK(world.submit(*world.Desk, job) == JobRequestStatus::Accepted);
}

TEST_CASE("Bodies of items come from where they lie", "[batch]") {
  DeskWorld world;
  BatchJob job = makeJob("a", 3);
  REQUIRE(world.submit(*world.Desk, job) == JobRequestStatus::Accepted);
  auto body = [&](BatchService &At) {
    std::optional<Outcome<std::string>> got;
    world.run([&]() -> asio::awaitable<void> {
      got.emplace(co_await At.body(job.Id, job.Items[2].Id));
    });
    return *got;
  };
  Outcome<std::string> first = body(*world.Other);
  REQUIRE(first);
  CHECK(*first == job.Items[2].Body);
  *world.Disconnected = true;
  Outcome<std::string> cut = body(*world.Desk);
  REQUIRE_FALSE(cut);
  CHECK(cut.failure().Code == FailureCode::Unavailable);
}

TEST_CASE("Long texts are read from where they lie, or are not shown",
          "[batch]") {
  DeskWorld world;
  BatchJob job = makeJob("a", 2);
  REQUIRE(world.submit(*world.Desk, job) == JobRequestStatus::Accepted);
  std::string longText(3000, 'x');
  world.Store.append("payload", longText);
  ResultRecord record{job.Id, makeResult(job, 0, "")};
  record.Result.OutputLocation = {
      {world.Store.Topics["payload"].size() - 1, 3000}};
  world.Store.append("rollout", encodeRecord(record));
  world.list(job, 1, "short");
  REQUIRE(world.runUntil([&] {
    std::shared_ptr<JobState> known = findJob(world.Log->fold(), job.Id);
    return known && known->Results.size() == 2;
  }));
  *world.Disconnected = true;
  Outcome<ResultPage> away = world.read(*world.Desk, job, 0);
  REQUIRE_FALSE(away);
  CHECK(away.failure().Code == FailureCode::Unavailable);
  *world.Disconnected = false;
  Outcome<ResultPage> page = world.read(*world.Desk, job, 0);
  REQUIRE(page);
  REQUIRE(page->Results.size() == 2);
  CHECK(page->Results[0].Output == longText);
  CHECK(page->Results[1].Output == "short");
  // What was read once stays at hand.
  *world.Disconnected = true;
  CHECK(world.read(*world.Desk, job, 0));
}

TEST_CASE("A process that has not caught up ends a job all the same",
          "[batch]") {
  DeskWorld world;
  BatchJob job = makeJob("a", 4);
  // A process that can append, and that reads nothing after its first look.
  RecordStore blind = world.Store.port();
  std::shared_ptr<bool> cut = std::make_shared<bool>(false);
  blind.Read = world.Store.port(cut).Read;
  std::shared_ptr<RolloutLog> log = world.startLog(blind);
  std::shared_ptr<BatchService> desk = world.makeDesk(log);
  REQUIRE(world.runUntil([&] { return log->caughtUp(); }));
  *cut = true;
  REQUIRE(world.submit(*world.Other, job) == JobRequestStatus::Accepted);
  CHECK(findJob(log->fold(), job.Id) == nullptr);
  CHECK(world.end(*desk, job) == JobRequestStatus::Accepted);
  CHECK(world.runUntil(
      [&] { return findJob(world.OtherLog->fold(), job.Id)->Ended; }));
}

TEST_CASE("A refused submission is not in the topic", "[batch]") {
  DeskWorld world;
  BatchJob job = makeJob("a", 1);
  world.Store.AppendFaults = {AppendFault::Refused};
  CHECK(world.submit(*world.Desk, job) == JobRequestStatus::Refused);
  CHECK(world.Store.Topics["rollout"].empty());
}

TEST_CASE("A submission whose answer is lost is found in the topic",
          "[batch]") {
  DeskWorld world;
  BatchJob job = makeJob("a", 1);
  world.Store.AppendFaults = {AppendFault::AnswerLost};
  CHECK(world.submit(*world.Desk, job) == JobRequestStatus::Accepted);
}

TEST_CASE("A submission of which nobody can say is never called refused",
          "[batch]") {
  DeskWorld world;
  BatchJob job = makeJob("a", 1);
  // It may still be carried out later, so "not run" would be a lie.
  world.Store.AppendFaults = {AppendFault::Lost};
  CHECK(world.submit(*world.Desk, job) == JobRequestStatus::Unknown);
}

TEST_CASE("A process out of reach of the store refuses without sending",
          "[batch]") {
  DeskWorld world;
  *world.Disconnected = true;
  REQUIRE(world.runUntil([&] { return world.Log->contact().Lost; }));
  BatchJob job = makeJob("a", 1);
  world.Store.AppendFaults = {AppendFault::AnswerLost};
  CHECK(world.submit(*world.Desk, job) == JobRequestStatus::Refused);
  CHECK(world.Store.AppendFaults.size() == 1);
  CHECK(world.Store.Topics["rollout"].empty());
}

TEST_CASE("An unknown job is missing only after a look at the store",
          "[batch]") {
  DeskWorld world;
  BatchJob job = makeJob("a", 1);
  Outcome<ResultPage> page = world.read(*world.Desk, job, 0);
  REQUIRE_FALSE(page);
  CHECK(page.failure().Code == FailureCode::Expired);
  *world.Disconnected = true;
  page = world.read(*world.Desk, job, 0);
  REQUIRE_FALSE(page);
  CHECK(page.failure().Code == FailureCode::Unavailable);
}

TEST_CASE("A process without news does not call a position empty", "[batch]") {
  DeskWorld world;
  BatchJob job = makeJob("a", 2);
  REQUIRE(world.submit(*world.Desk, job) == JobRequestStatus::Accepted);
  world.list(job, 0, "x");
  REQUIRE(world.runUntil([&] {
    std::shared_ptr<JobState> known = findJob(world.Log->fold(), job.Id);
    return known && !known->Results.empty();
  }));
  *world.Disconnected = true;
  world.list(job, 1, "y");
  REQUIRE(world.runUntil([&] {
    return unreachableFor(world.Log->contact(), Millis(40), monotonicNow());
  }));
  // What it has read it may give; what it has not, it cannot speak of.
  Outcome<ResultPage> first = world.read(*world.Desk, job, 0);
  REQUIRE(first);
  CHECK(first->Next == 1);
  CHECK_FALSE(world.read(*world.Desk, job, 1));
  Outcome<ResultPage> beyond = world.read(*world.Desk, job, 2);
  CHECK_FALSE(beyond);
}

TEST_CASE("A process that has just started does not call a position empty",
          "[batch]") {
  DeskWorld world;
  BatchJob job = makeJob("a", 4);
  world.Store.append("rollout", encodeRecord(JobPart{job, 0, 1}));
  for (std::size_t i = 0; i < 4; ++i)
    world.list(job, i, "x");
  // The topic comes record by record, so that the job is known before what
  // stands at its positions.
  world.Store.MaxEntries = 1;
  std::shared_ptr<RolloutLog> log = world.startLog(world.Store.port());
  std::shared_ptr<BatchService> desk = world.makeDesk(log);
  REQUIRE(
      world.runUntil([&] { return findJob(log->fold(), job.Id) != nullptr; }));
  Outcome<ResultPage> page = world.read(*desk, job, 0);
  REQUIRE(page);
  CHECK(page->Results.size() == 4);
}

TEST_CASE("A process that is back from a cut does not call a position empty",
          "[batch]") {
  DeskWorld world;
  BatchJob job = makeJob("a", 4);
  REQUIRE(world.submit(*world.Desk, job) == JobRequestStatus::Accepted);
  REQUIRE(world.runUntil(
      [&] { return findJob(world.Log->fold(), job.Id) != nullptr; }));
  *world.Disconnected = true;
  world.Context.run_for(Millis(100));
  for (std::size_t i = 0; i < 4; ++i)
    world.list(job, i, "x");
  world.Store.MaxEntries = 1;
  *world.Disconnected = false;
  REQUIRE(world.runUntil([&] { return !world.Log->contact().Lost; }));
  Outcome<ResultPage> page = world.read(*world.Desk, job, 2);
  REQUIRE(page);
  CHECK(page->Next == 4);
}

TEST_CASE("A reader waits for a result and gets it when it comes", "[batch]") {
  DeskWorld world;
  BatchJob job = makeJob("a", 2);
  REQUIRE(world.submit(*world.Desk, job) == JobRequestStatus::Accepted);
  BootTimer timer(world.Context, Millis(40));
  timer.async_wait([&](boost::system::error_code) { world.list(job, 1, "x"); });
  Outcome<ResultPage> page = world.read(*world.Other, job, 0, Millis(5000));
  REQUIRE(page);
  REQUIRE(page->Results.size() == 1);
  CHECK(page->Results[0].Output == "x");
  CHECK(page->Next == 1);
}

namespace {

/// When a result comes, from the begin of a read.
struct TimedResult {
  Millis At;
  std::size_t Index;
};

/// How many results a reader who waits gets, and after what time.
std::pair<std::size_t, Millis> readWhile(DeskWorld &World, const BatchJob &Job,
                                         const std::vector<TimedResult> &Coming,
                                         Millis Wait) {
  for (const TimedResult &it : Coming)
    asio::co_spawn(
        World.Context,
        [&World, &Job, it]() -> asio::awaitable<void> {
          co_await pauseFor(World.Context.get_executor(), it.At);
          World.list(Job, it.Index, "text");
        },
        asio::detached);
  TimePoint begin = monotonicNow();
  Outcome<ResultPage> page = World.read(*World.Desk, Job, 0, Wait);
  REQUIRE(page);
  Millis took = std::chrono::duration_cast<Millis>(monotonicNow() - begin);
  return {page->Results.size(), took};
}

} // namespace

TEST_CASE("The longest texts of a step end side by side and are read together",
          "[batch]") {
  // Two groups of two; the trainer waits for both.
  BatchJob job = makeJob("a", 4);
  job.TargetGroups = 2;
  DeskWorld world;
  REQUIRE(world.submit(*world.Desk, job) == JobRequestStatus::Accepted);
  auto [count, took] = readWhile(
      world, job,
      {{Millis(20), 0}, {Millis(60), 1}, {Millis(90), 2}, {Millis(120), 3}},
      Millis(1000));
  CHECK(count == 4);
  // A step that is whole is told at once.
  CHECK(took < Millis(240));
}

TEST_CASE("A reader of a step that is not whole waits as long as it allows",
          "[batch]") {
  BatchJob job = makeJob("a", 4);
  job.TargetGroups = 2;
  DeskWorld world;
  REQUIRE(world.submit(*world.Desk, job) == JobRequestStatus::Accepted);
  auto [count, took] =
      readWhile(world, job, {{Millis(20), 0}, {Millis(250), 1}}, Millis(400));
  CHECK(count == 2);
  CHECK(took >= Millis(390));
  CHECK(took < Millis(600));
  // One that has results to get waits no longer than it would stay away.
  TimePoint begin = monotonicNow();
  CHECK(world.read(*world.Desk, job, 0, Millis(1000))->Results.size() == 2);
  CHECK(monotonicNow() - begin < Millis(700));
  begin = monotonicNow();
  CHECK(world.read(*world.Desk, job, 0)->Results.size() == 2);
  CHECK(monotonicNow() - begin < Millis(100));
}

TEST_CASE("A reader of a step that is late gets what there is at once",
          "[batch]") {
  BatchJob job = makeJob("a", 4);
  job.TargetGroups = 2;
  DeskWorld world;
  world.ResultTimeout = Millis(1);
  REQUIRE(world.submit(*world.Desk, job) == JobRequestStatus::Accepted);
  world.Context.run_for(Millis(750));
  auto [count, took] =
      readWhile(world, job, {{Millis(20), 0}, {Millis(700), 1}}, Millis(1000));
  CHECK(count == 1);
  CHECK(took < Millis(500));
  TimePoint begin = monotonicNow();
  CHECK(world.read(*world.Desk, job, 0, Millis(1000))->Results.size() == 1);
  CHECK(monotonicNow() - begin < Millis(100));
}

TEST_CASE("A reader waits a short while only for what comes with a result",
          "[batch]") {
  BatchJob job = makeJob("a", 4);
  DeskWorld world;
  REQUIRE(world.submit(*world.Desk, job) == JobRequestStatus::Accepted);
  auto [count, took] =
      readWhile(world, job, {{Millis(20), 0}, {Millis(500), 1}}, Millis(1000));
  CHECK(count == 1);
  CHECK(took < Millis(400));
  // What is there already is told without a wait, and nobody waits longer than
  // he allows.
  TimePoint begin = monotonicNow();
  CHECK(world.read(*world.Desk, job, 0, Millis(1000))->Results.size() == 1);
  CHECK(monotonicNow() - begin < Millis(100));
  DeskWorld other;
  REQUIRE(other.submit(*other.Desk, job) == JobRequestStatus::Accepted);
  CHECK(readWhile(other, job, {{Millis(20), 0}}, Millis(100)).second <
        Millis(200));
}

TEST_CASE("An end is taken again when it is repeated", "[batch]") {
  DeskWorld world;
  BatchJob job = makeJob("a", 1);
  CHECK(world.end(*world.Desk, job) == JobRequestStatus::JobNotFound);
  REQUIRE(world.submit(*world.Desk, job) == JobRequestStatus::Accepted);
  CHECK(world.end(*world.Other, job) == JobRequestStatus::Accepted);
  CHECK(world.end(*world.Desk, job) == JobRequestStatus::Accepted);
  CHECK(world.end(*world.Desk, job) == JobRequestStatus::Accepted);
}

TEST_CASE("A topic whose first records have expired is read on from there",
          "[batch]") {
  BatchTestFixture world;
  BatchJob old = makeJob("old", 1);
  BatchJob job = makeJob("new", 1);
  world.Store.append("rollout", encodeRecord(JobPart{old, 0, 1}));
  world.Store.append("rollout", encodeRecord(JobPart{job, 0, 1}));
  world.Store.First["rollout"] = 1;
  std::shared_ptr<RolloutLog> log = world.startLog(world.Store.port());
  CHECK(world.runUntil([&] { return log->caughtUp(); }));
  CHECK(findJob(log->fold(), job.Id) != nullptr);
  CHECK(findJob(log->fold(), old.Id) == nullptr);
}

TEST_CASE("A record that nobody can read does not stop the others", "[batch]") {
  BatchTestFixture world;
  BatchJob job = makeJob("a", 1);
  world.Store.append("rollout", "no record");
  world.Store.append("rollout", encodeRecord(JobPart{job, 0, 1}));
  std::shared_ptr<RolloutLog> log = world.startLog(world.Store.port());
  CHECK(
      world.runUntil([&] { return findJob(log->fold(), job.Id) != nullptr; }));
}

} // namespace wasabi::batchtest
