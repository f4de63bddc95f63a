#include "Wasabi/Batch/BatchService.h"
#include "UnitTests/Batch/BatchFixture.h"
#include "Wasabi/Core/BootTimer.h"

namespace wasabi::batchtest {

namespace {

namespace asio = boost::asio;

/// Two processes that share a store. `Disconnected` cuts off the first process
/// and the payload stores of both.
struct BatchServiceFixture : BatchTestFixture {
  Millis ResultTimeout{0};
  std::shared_ptr<bool> Disconnected = std::make_shared<bool>(false);
  std::shared_ptr<RolloutLog> Log = startLog(Store.port(Disconnected));
  std::shared_ptr<RolloutLog> OtherLog = startLog(Store.port());
  std::shared_ptr<BatchService> Service = makeService(Log);
  std::shared_ptr<BatchService> OtherService = makeService(OtherLog);

  BatchServiceFixture() {
    REQUIRE(
        runUntil([this] { return Log->caughtUp() && OtherLog->caughtUp(); }));
  }

  std::shared_ptr<BatchService> makeService(std::shared_ptr<RolloutLog> Source,
                                            std::uint64_t MaxStateBytes = 0) {
    BatchService::Settings limits;
    limits.MaxStateAge = Millis(30);
    limits.MaxStateBytes = MaxStateBytes;
    return BatchService::create(
        {std::move(Source), PayloadStore::create(Store.port(Disconnected), {}),
         Decisions, [this](const BatchJob &) { return ResultTimeout; }},
        limits);
  }

  JobRequestStatus submit(BatchService &Target, const BatchJob &Job) {
    JobRequestStatus status = JobRequestStatus::Unknown;
    run([&]() -> asio::awaitable<void> {
      status = co_await Target.submit(Job);
    });
    return status;
  }
  JobRequestStatus end(BatchService &Target, const BatchJob &Job) {
    JobRequestStatus status = JobRequestStatus::Unknown;
    run([&]() -> asio::awaitable<void> {
      status = co_await Target.end(Job.Id);
    });
    return status;
  }
  Outcome<ResultPage> read(BatchService &Target, const BatchJob &Job,
                           std::size_t After, Millis Wait = Millis(0)) {
    std::optional<Outcome<ResultPage>> page;
    run([&]() -> asio::awaitable<void> {
      page.emplace(co_await Target.read(Job.Id, After, Wait));
    });
    return *page;
  }
  void addResult(const BatchJob &Job, std::size_t Index,
                 const std::string &Text) {
    Store.append("rollout", encodeRecord(ResultRecord{
                                Job.Id, makeResult(Job, Index, Text)}));
  }
};

} // namespace

TEST_CASE("A job accepted by one process is immediately known to another",
          "[batch]") {
  BatchServiceFixture fixture;
  BatchJob job = makeJob("a", 2);
  CHECK(fixture.submit(*fixture.Service, job) == JobRequestStatus::Accepted);
  Outcome<ResultPage> page = fixture.read(*fixture.OtherService, job, 0);
  REQUIRE(page);
  CHECK(page->Total == 2);
  CHECK(fixture.submit(*fixture.OtherService, job) ==
        JobRequestStatus::Accepted);
}

TEST_CASE(
    "A submission is refused and not appended if its items cannot be stored",
    "[batch]") {
  BatchServiceFixture fixture;
  BatchJob job = makeJob("a", 1);
  fixture.Store.PayloadAppendFaults = {AppendFault::AnswerLost,
                                       AppendFault::Lost};
  CHECK(fixture.submit(*fixture.Service, job) == JobRequestStatus::Refused);
  CHECK(fixture.Store.Topics["rollout"].empty());
  fixture.Store.PayloadAppendFaults = {AppendFault::AnswerLost};
  CHECK(fixture.submit(*fixture.Service, job) == JobRequestStatus::Accepted);
}

TEST_CASE("Item bodies are read from the payload topic", "[batch]") {
  BatchServiceFixture fixture;
  BatchJob job = makeJob("a", 3);
  REQUIRE(fixture.submit(*fixture.Service, job) == JobRequestStatus::Accepted);
  auto body = [&](BatchService &Target) {
    std::optional<Outcome<std::string>> got;
    fixture.run([&]() -> asio::awaitable<void> {
      got.emplace(co_await Target.body(job.Id, job.Items[2].Id));
    });
    return *got;
  };
  Outcome<std::string> first = body(*fixture.OtherService);
  REQUIRE(first);
  CHECK(*first == job.Items[2].Body);
  *fixture.Disconnected = true;
  Outcome<std::string> disconnected = body(*fixture.Service);
  REQUIRE_FALSE(disconnected);
  CHECK(disconnected.failure().Code == FailureCode::Unavailable);
}

TEST_CASE(
    "Long texts are read from the payload topic or the read is unavailable",
    "[batch]") {
  BatchServiceFixture fixture;
  BatchJob job = makeJob("a", 2);
  REQUIRE(fixture.submit(*fixture.Service, job) == JobRequestStatus::Accepted);
  std::string longText(3000, 'x');
  fixture.Store.append("payload", longText);
  ResultRecord record{job.Id, makeResult(job, 0, "")};
  record.Result.OutputLocation = {
      {fixture.Store.Topics["payload"].size() - 1, 3000}};
  fixture.Store.append("rollout", encodeRecord(record));
  fixture.addResult(job, 1, "short");
  REQUIRE(fixture.runUntil([&] {
    std::shared_ptr<JobState> known = findJob(fixture.Log->fold(), job.Id);
    return known && known->Results.size() == 2;
  }));
  *fixture.Disconnected = true;
  Outcome<ResultPage> unavailable = fixture.read(*fixture.Service, job, 0);
  REQUIRE_FALSE(unavailable);
  CHECK(unavailable.failure().Code == FailureCode::Unavailable);
  *fixture.Disconnected = false;
  Outcome<ResultPage> page = fixture.read(*fixture.Service, job, 0);
  REQUIRE(page);
  REQUIRE(page->Results.size() == 2);
  CHECK(page->Results[0].Output == longText);
  CHECK(page->Results[1].Output == "short");
  // Records that were read once are cached.
  *fixture.Disconnected = true;
  CHECK(fixture.read(*fixture.Service, job, 0));
}

TEST_CASE("A process that has not read a job can still end it", "[batch]") {
  BatchServiceFixture fixture;
  BatchJob job = makeJob("a", 4);
  // A process that can append, but whose reads fail after it has caught up.
  RecordStore appendOnly = fixture.Store.port();
  std::shared_ptr<bool> disconnected = std::make_shared<bool>(false);
  appendOnly.Read = fixture.Store.port(disconnected).Read;
  std::shared_ptr<RolloutLog> log = fixture.startLog(appendOnly);
  std::shared_ptr<BatchService> service = fixture.makeService(log);
  REQUIRE(fixture.runUntil([&] { return log->caughtUp(); }));
  *disconnected = true;
  REQUIRE(fixture.submit(*fixture.OtherService, job) ==
          JobRequestStatus::Accepted);
  CHECK(findJob(log->fold(), job.Id) == nullptr);
  CHECK(fixture.end(*service, job) == JobRequestStatus::Accepted);
  CHECK(fixture.runUntil(
      [&] { return findJob(fixture.OtherLog->fold(), job.Id)->Ended; }));
}

TEST_CASE("A refused submission is not in the topic", "[batch]") {
  BatchServiceFixture fixture;
  BatchJob job = makeJob("a", 1);
  fixture.Store.AppendFaults = {AppendFault::Refused};
  CHECK(fixture.submit(*fixture.Service, job) == JobRequestStatus::Refused);
  CHECK(fixture.Store.Topics["rollout"].empty());
}

// Guards against jobs that end every process that follows the topic, and the
// dispatcher, which holds the items of all open jobs.
TEST_CASE("A job without room is refused by each process and not appended",
          "[batch]") {
  constexpr std::size_t BodyBytes = 100000;
  BatchServiceFixture fixture;
  auto makeLargeJob = [](const std::string &Id) {
    BatchJob job = makeJob(Id, 2);
    for (BatchItem &it : job.Items)
      it.Body = std::string(BodyBytes, 'x');
    return job;
  };
  BatchJob first = makeLargeJob("a");
  BatchJob second = makeLargeJob("b");
  std::uint64_t max = 2 * estimateMemory(first) - 1;
  std::shared_ptr<BatchService> service = fixture.makeService(fixture.Log, max);
  std::shared_ptr<BatchService> other =
      fixture.makeService(fixture.OtherLog, max);
  CHECK(fixture.submit(*service, first) == JobRequestStatus::Accepted);
  CHECK(fixture.submit(*service, first) == JobRequestStatus::Accepted);
  REQUIRE(fixture.runUntil(
      [&] { return findJob(fixture.OtherLog->fold(), first.Id) != nullptr; }));
  CHECK(fixture.submit(*service, second) == JobRequestStatus::Refused);
  CHECK(fixture.submit(*other, second) == JobRequestStatus::Refused);
  // Ids are held by each process, too.
  BatchJob named = makeJob("c", 1);
  std::uint64_t bytes = estimateMemory(named);
  named.Items[0].Id = ItemId(std::string(BodyBytes, 'i'));
  CHECK(estimateMemory(named) > bytes + 2 * BodyBytes);
  // The items of a job that has ended are no longer needed.
  CHECK(fixture.end(*service, first) == JobRequestStatus::Accepted);
  REQUIRE(fixture.runUntil([&] {
    std::shared_ptr<JobState> job = findJob(fixture.OtherLog->fold(), first.Id);
    return job && job->Ended;
  }));
  CHECK(fixture.submit(*other, second) == JobRequestStatus::Accepted);
}

TEST_CASE("A submission whose response is lost is found in the topic",
          "[batch]") {
  BatchServiceFixture fixture;
  BatchJob job = makeJob("a", 1);
  fixture.Store.AppendFaults = {AppendFault::AnswerLost};
  CHECK(fixture.submit(*fixture.Service, job) == JobRequestStatus::Accepted);
}

TEST_CASE("A submission with an unknown outcome is not reported as refused",
          "[batch]") {
  BatchServiceFixture fixture;
  BatchJob job = makeJob("a", 1);
  // The append may still take effect, so `Refused` would be wrong.
  fixture.Store.AppendFaults = {AppendFault::Lost};
  CHECK(fixture.submit(*fixture.Service, job) == JobRequestStatus::Unknown);
}

TEST_CASE("A process that cannot reach the store refuses without sending",
          "[batch]") {
  BatchServiceFixture fixture;
  *fixture.Disconnected = true;
  REQUIRE(fixture.runUntil([&] { return fixture.Log->contact().Lost; }));
  BatchJob job = makeJob("a", 1);
  fixture.Store.AppendFaults = {AppendFault::AnswerLost};
  CHECK(fixture.submit(*fixture.Service, job) == JobRequestStatus::Refused);
  CHECK(fixture.Store.AppendFaults.size() == 1);
  CHECK(fixture.Store.Topics["rollout"].empty());
}

TEST_CASE("An unknown job is reported as missing only after reading the topic",
          "[batch]") {
  BatchServiceFixture fixture;
  BatchJob job = makeJob("a", 1);
  Outcome<ResultPage> page = fixture.read(*fixture.Service, job, 0);
  REQUIRE_FALSE(page);
  CHECK(page.failure().Code == FailureCode::Expired);
  *fixture.Disconnected = true;
  page = fixture.read(*fixture.Service, job, 0);
  REQUIRE_FALSE(page);
  CHECK(page.failure().Code == FailureCode::Unavailable);
}

TEST_CASE("A process with a stale state does not report a position as empty",
          "[batch]") {
  BatchServiceFixture fixture;
  BatchJob job = makeJob("a", 2);
  REQUIRE(fixture.submit(*fixture.Service, job) == JobRequestStatus::Accepted);
  fixture.addResult(job, 0, "x");
  REQUIRE(fixture.runUntil([&] {
    std::shared_ptr<JobState> known = findJob(fixture.Log->fold(), job.Id);
    return known && !known->Results.empty();
  }));
  *fixture.Disconnected = true;
  fixture.addResult(job, 1, "y");
  REQUIRE(fixture.runUntil([&] {
    return unreachableFor(fixture.Log->contact(), Millis(40), monotonicNow());
  }));
  // Known results may be returned; positions beyond them may not be reported as
  // empty.
  Outcome<ResultPage> first = fixture.read(*fixture.Service, job, 0);
  REQUIRE(first);
  CHECK(first->Next == 1);
  CHECK_FALSE(fixture.read(*fixture.Service, job, 1));
  Outcome<ResultPage> beyond = fixture.read(*fixture.Service, job, 2);
  CHECK_FALSE(beyond);
}

TEST_CASE("A process that has just started does not report a position as empty",
          "[batch]") {
  BatchServiceFixture fixture;
  BatchJob job = makeJob("a", 4);
  fixture.Store.append("rollout", encodeRecord(JobPart{job, 0, 1}));
  for (std::size_t i = 0; i < 4; ++i)
    fixture.addResult(job, i, "x");
  // Records are read one by one, so the job is known before its results.
  fixture.Store.MaxEntries = 1;
  std::shared_ptr<RolloutLog> log = fixture.startLog(fixture.Store.port());
  std::shared_ptr<BatchService> service = fixture.makeService(log);
  REQUIRE(fixture.runUntil(
      [&] { return findJob(log->fold(), job.Id) != nullptr; }));
  Outcome<ResultPage> page = fixture.read(*service, job, 0);
  REQUIRE(page);
  CHECK(page->Results.size() == 4);
}

TEST_CASE("A reconnected process does not report a position as empty",
          "[batch]") {
  BatchServiceFixture fixture;
  BatchJob job = makeJob("a", 4);
  REQUIRE(fixture.submit(*fixture.Service, job) == JobRequestStatus::Accepted);
  REQUIRE(fixture.runUntil(
      [&] { return findJob(fixture.Log->fold(), job.Id) != nullptr; }));
  *fixture.Disconnected = true;
  fixture.Context.run_for(Millis(100));
  for (std::size_t i = 0; i < 4; ++i)
    fixture.addResult(job, i, "x");
  fixture.Store.MaxEntries = 1;
  *fixture.Disconnected = false;
  REQUIRE(fixture.runUntil([&] { return !fixture.Log->contact().Lost; }));
  Outcome<ResultPage> page = fixture.read(*fixture.Service, job, 2);
  REQUIRE(page);
  CHECK(page->Next == 4);
}

TEST_CASE("A process that follows the topic on demand gives current answers",
          "[batch]") {
  BatchServiceFixture fixture;
  RolloutLog::Settings limits;
  limits.PollTimeout = Millis(50);
  limits.PollDelay = Millis(1);
  limits.IdleTimeout = Millis(20);
  std::shared_ptr<RolloutLog> log =
      RolloutLog::create(fixture.Context.get_executor(), fixture.Store.port(),
                         fixture.Decisions, limits);
  log->start();
  bool storeLost = false;
  BatchService::Settings serviceLimits;
  serviceLimits.MaxStateAge = Millis(30);
  std::shared_ptr<BatchService> service = BatchService::create(
      {log, PayloadStore::create(fixture.Store.port(), {}), fixture.Decisions,
       nullptr, [&storeLost] { return storeLost; }},
      serviceLimits);
  auto becomeIdle = [&] {
    fixture.Context.run_for(Millis(120));
    REQUIRE_FALSE(log->isFollowing());
  };
  BatchJob first = makeJob("a", 2);
  BatchJob second = makeJob("b", 2);

  SECTION("It accepts a job without having read anything") {
    CHECK(fixture.submit(*service, first) == JobRequestStatus::Accepted);
  }
  SECTION("It refuses at once while the store is unreachable") {
    storeLost = true;
    CHECK(fixture.submit(*service, first) == JobRequestStatus::Refused);
    CHECK(fixture.Store.Topics["rollout"].empty());
  }
  SECTION("It knows the jobs and results of others after an idle time") {
    CHECK(fixture.submit(*fixture.Service, first) ==
          JobRequestStatus::Accepted);
    CHECK(fixture.read(*service, first, 0)->Total == 2);
    becomeIdle();
    fixture.addResult(first, 1, "text");
    Outcome<ResultPage> page = fixture.read(*service, first, 0);
    REQUIRE(page);
    CHECK(page->Results.size() == 1);
    becomeIdle();
    CHECK(fixture.submit(*fixture.Service, second) ==
          JobRequestStatus::Accepted);
    CHECK(fixture.end(*service, second) == JobRequestStatus::Accepted);
    becomeIdle();
    BatchJob unknown = makeJob("c", 1);
    CHECK(fixture.end(*service, unknown) == JobRequestStatus::JobNotFound);
  }
  SECTION("Its reads wait for results like those of others") {
    CHECK(fixture.submit(*fixture.Service, first) ==
          JobRequestStatus::Accepted);
    CHECK(fixture.read(*service, first, 0)->Total == 2);
    becomeIdle();
    asio::co_spawn(
        fixture.Context,
        [&]() -> asio::awaitable<void> {
          co_await pauseFor(fixture.Context.get_executor(), Millis(30));
          fixture.addResult(first, 0, "text");
        },
        asio::detached);
    Outcome<ResultPage> page = fixture.read(*service, first, 0, Millis(1000));
    REQUIRE(page);
    CHECK(page->Results.size() == 1);
  }
}

TEST_CASE("A read waits for a result and returns it when it is added",
          "[batch]") {
  BatchServiceFixture fixture;
  BatchJob job = makeJob("a", 2);
  REQUIRE(fixture.submit(*fixture.Service, job) == JobRequestStatus::Accepted);
  BootTimer timer(fixture.Context, Millis(40));
  timer.async_wait(
      [&](boost::system::error_code) { fixture.addResult(job, 1, "x"); });
  Outcome<ResultPage> page =
      fixture.read(*fixture.OtherService, job, 0, Millis(5000));
  REQUIRE(page);
  REQUIRE(page->Results.size() == 1);
  CHECK(page->Results[0].Output == "x");
  CHECK(page->Next == 1);
}

namespace {

/// A result that is added a given time after the start of a read.
struct TimedResult {
  Millis At;
  std::size_t Index;
};

/// Returns the number of results that a waiting read returns and how long it
/// took.
std::pair<std::size_t, Millis>
readDuring(BatchServiceFixture &Fixture, const BatchJob &Job,
           const std::vector<TimedResult> &Results, Millis Wait) {
  for (const TimedResult &it : Results)
    asio::co_spawn(
        Fixture.Context,
        [&Fixture, &Job, it]() -> asio::awaitable<void> {
          co_await pauseFor(Fixture.Context.get_executor(), it.At);
          Fixture.addResult(Job, it.Index, "text");
        },
        asio::detached);
  TimePoint begin = monotonicNow();
  Outcome<ResultPage> page = Fixture.read(*Fixture.Service, Job, 0, Wait);
  REQUIRE(page);
  Millis took = std::chrono::duration_cast<Millis>(monotonicNow() - begin);
  return {page->Results.size(), took};
}

} // namespace

TEST_CASE("The last results of a step are returned together", "[batch]") {
  // Two groups of two items; the trainer waits for both.
  BatchJob job = makeJob("a", 4);
  job.TargetGroups = 2;
  BatchServiceFixture fixture;
  REQUIRE(fixture.submit(*fixture.Service, job) == JobRequestStatus::Accepted);
  auto [count, took] = readDuring(
      fixture, job,
      {{Millis(20), 0}, {Millis(60), 1}, {Millis(90), 2}, {Millis(120), 3}},
      Millis(1000));
  CHECK(count == 4);
  // A complete step is returned at once.
  CHECK(took < Millis(240));
}

TEST_CASE("A read of an incomplete step waits up to its limit", "[batch]") {
  BatchJob job = makeJob("a", 4);
  job.TargetGroups = 2;
  BatchServiceFixture fixture;
  REQUIRE(fixture.submit(*fixture.Service, job) == JobRequestStatus::Accepted);
  auto [count, took] = readDuring(
      fixture, job, {{Millis(20), 0}, {Millis(250), 1}}, Millis(400));
  CHECK(count == 2);
  CHECK(took >= Millis(390));
  CHECK(took < Millis(600));
  // A read with results to return waits at most for the read interval.
  TimePoint begin = monotonicNow();
  CHECK(fixture.read(*fixture.Service, job, 0, Millis(1000))->Results.size() ==
        2);
  CHECK(monotonicNow() - begin < Millis(700));
  begin = monotonicNow();
  CHECK(fixture.read(*fixture.Service, job, 0)->Results.size() == 2);
  CHECK(monotonicNow() - begin < Millis(100));
}

TEST_CASE("A read of a late step returns the available results at once",
          "[batch]") {
  BatchJob job = makeJob("a", 4);
  job.TargetGroups = 2;
  BatchServiceFixture fixture;
  fixture.ResultTimeout = Millis(1);
  REQUIRE(fixture.submit(*fixture.Service, job) == JobRequestStatus::Accepted);
  fixture.Context.run_for(Millis(750));
  auto [count, took] = readDuring(
      fixture, job, {{Millis(20), 0}, {Millis(700), 1}}, Millis(1000));
  CHECK(count == 1);
  CHECK(took < Millis(500));
  TimePoint begin = monotonicNow();
  CHECK(fixture.read(*fixture.Service, job, 0, Millis(1000))->Results.size() ==
        1);
  CHECK(monotonicNow() - begin < Millis(100));
}

TEST_CASE("After its first result a read waits only briefly for more",
          "[batch]") {
  BatchJob job = makeJob("a", 4);
  BatchServiceFixture fixture;
  REQUIRE(fixture.submit(*fixture.Service, job) == JobRequestStatus::Accepted);
  auto [count, took] = readDuring(
      fixture, job, {{Millis(20), 0}, {Millis(500), 1}}, Millis(1000));
  CHECK(count == 1);
  CHECK(took < Millis(400));
  // Available results are returned at once, and no read exceeds its own limit.
  TimePoint begin = monotonicNow();
  CHECK(fixture.read(*fixture.Service, job, 0, Millis(1000))->Results.size() ==
        1);
  CHECK(monotonicNow() - begin < Millis(100));
  BatchServiceFixture other;
  REQUIRE(other.submit(*other.Service, job) == JobRequestStatus::Accepted);
  CHECK(readDuring(other, job, {{Millis(20), 0}}, Millis(100)).second <
        Millis(200));
}

TEST_CASE("A repeated end is accepted again", "[batch]") {
  BatchServiceFixture fixture;
  BatchJob job = makeJob("a", 1);
  CHECK(fixture.end(*fixture.Service, job) == JobRequestStatus::JobNotFound);
  REQUIRE(fixture.submit(*fixture.Service, job) == JobRequestStatus::Accepted);
  CHECK(fixture.end(*fixture.OtherService, job) == JobRequestStatus::Accepted);
  CHECK(fixture.end(*fixture.Service, job) == JobRequestStatus::Accepted);
  CHECK(fixture.end(*fixture.Service, job) == JobRequestStatus::Accepted);
}

TEST_CASE("A topic whose first records have expired is read from the next one",
          "[batch]") {
  BatchTestFixture fixture;
  BatchJob old = makeJob("old", 1);
  BatchJob job = makeJob("new", 1);
  fixture.Store.append("rollout", encodeRecord(JobPart{old, 0, 1}));
  fixture.Store.append("rollout", encodeRecord(JobPart{job, 0, 1}));
  fixture.Store.First["rollout"] = 1;
  std::shared_ptr<RolloutLog> log = fixture.startLog(fixture.Store.port());
  CHECK(fixture.runUntil([&] { return log->caughtUp(); }));
  CHECK(findJob(log->fold(), job.Id) != nullptr);
  CHECK(findJob(log->fold(), old.Id) == nullptr);
}

TEST_CASE("An undecodable record does not stop the following ones", "[batch]") {
  BatchTestFixture fixture;
  BatchJob job = makeJob("a", 1);
  fixture.Store.append("rollout", "no record");
  fixture.Store.append("rollout", encodeRecord(JobPart{job, 0, 1}));
  std::shared_ptr<RolloutLog> log = fixture.startLog(fixture.Store.port());
  CHECK(fixture.runUntil(
      [&] { return findJob(log->fold(), job.Id) != nullptr; }));
}

// Guards against a 404, which is final, for an accepted job at a process that
// has not read the retained records.
TEST_CASE("A process that has just started finds jobs after expired records",
          "[batch]") {
  BatchServiceFixture fixture;
  fixture.Store.expire("rollout", 400);
  BatchJob job = makeJob("a", 2);
  REQUIRE(fixture.submit(*fixture.Service, job) == JobRequestStatus::Accepted);
  RolloutLog::Settings limits;
  limits.IdleTimeout = Millis(1000);
  std::shared_ptr<RolloutLog> fresh =
      RolloutLog::create(fixture.Context.get_executor(), fixture.Store.port(),
                         fixture.Decisions, limits);
  std::shared_ptr<BatchService> service = fixture.makeService(fresh);
  SECTION("For a reader of results") { CHECK(fixture.read(*service, job, 0)); }
  SECTION("For its end") {
    CHECK(fixture.end(*service, job) == JobRequestStatus::Accepted);
    BatchJob none = makeJob("none", 1);
    CHECK(fixture.end(*service, none) == JobRequestStatus::JobNotFound);
  }
}

// Guards against a 404, which is final, for a job that is older than ended ones
// are kept, but open.
TEST_CASE("A job is not denied while it is open", "[batch]") {
  BatchServiceFixture fixture;
  RolloutLog::Settings limits;
  limits.State.JobRetention = Millis(100);
  limits.State.RecordRetention = Millis(5000);
  std::shared_ptr<RolloutLog> log =
      RolloutLog::create(fixture.Context.get_executor(), fixture.Store.port(),
                         fixture.Decisions, limits);
  log->start();
  std::shared_ptr<BatchService> service = fixture.makeService(log);
  REQUIRE(fixture.runUntil([&] { return log->caughtUp(); }));
  BatchJob open = makeJob("a", 2);
  BatchJob ended = makeJob("b", 1);
  REQUIRE(fixture.submit(*service, open) == JobRequestStatus::Accepted);
  REQUIRE(fixture.submit(*service, ended) == JobRequestStatus::Accepted);
  REQUIRE(fixture.end(*service, ended) == JobRequestStatus::Accepted);
  fixture.Context.run_for(2 * limits.State.JobRetention);
  fixture.addResult(open, 1, "text");
  REQUIRE(fixture.runUntil(
      [&] { return findJob(log->fold(), ended.Id) == nullptr; }));
  Outcome<ResultPage> page = fixture.read(*service, open, 0);
  REQUIRE(page);
  CHECK(page->Results.size() == 1);
}

// Guards against a 404, which is final, for an accepted job whose submission
// has expired.
TEST_CASE("A job is denied only if its submission can't have expired",
          "[batch]") {
  BatchServiceFixture fixture;
  BatchJob job = makeJob("a", 2);
  RolloutLog::Settings limits;
  limits.IdleTimeout = Millis(40);
  auto startService = [&] {
    return fixture.makeService(
        RolloutLog::create(fixture.Context.get_executor(), fixture.Store.port(),
                           fixture.Decisions, limits));
  };
  // Reads beyond the known results are answered from a state that is current.
  auto failureOf = [&](const std::shared_ptr<BatchService> &Service,
                       const BatchJob &Job) {
    Outcome<ResultPage> page = fixture.read(*Service, Job, 1);
    REQUIRE_FALSE(page);
    return page.failure().Code;
  };
  SECTION("Later records of the job are retained") {
    fixture.Store.expire("rollout", 400);
    fixture.addResult(job, 1, "text");
    std::shared_ptr<BatchService> service = startService();
    CHECK(failureOf(service, job) == FailureCode::Unavailable);
    CHECK(fixture.end(*service, job) == JobRequestStatus::Accepted);
    CHECK(failureOf(service, makeJob("none", 1)) == FailureCode::Expired);
  }
  SECTION("A later part of the submission is retained") {
    fixture.Store.expire("rollout", 400);
    fixture.Store.append("rollout", encodeRecord(JobPart{job, 1, 2}));
    CHECK(failureOf(startService(), job) == FailureCode::Unavailable);
  }
  SECTION("The process knew the job before") {
    REQUIRE(fixture.submit(*fixture.Service, job) ==
            JobRequestStatus::Accepted);
    std::shared_ptr<BatchService> service = startService();
    CHECK(fixture.read(*service, job, 0));
    fixture.Context.run_for(3 * *limits.IdleTimeout);
    fixture.Store.expire("rollout", 400);
    fixture.Store.append("rollout", encodeRecord(JobEnd{makeJob("b", 1).Id}));
    CHECK(failureOf(service, job) == FailureCode::Unavailable);
    CHECK(failureOf(service, makeJob("none", 1)) == FailureCode::Expired);
  }
  SECTION("Records are retained for a shorter time than jobs") {
    fixture.Store.expire("rollout", 400);
    limits.State.JobRetention = Millis(400);
    limits.State.RecordRetention = Millis(200);
    std::shared_ptr<BatchService> service = startService();
    CHECK(failureOf(service, job) == FailureCode::Unavailable);
    fixture.Context.run_for(Millis(250));
    CHECK(failureOf(service, job) == FailureCode::Expired);
  }
}

} // namespace wasabi::batchtest
