/// \file
/// Return of the store after an outage: guards against a trainer that gets its
/// results long after the store is back, because its process, the dispatcher or
/// the order of the backlog wastes time.
#include "UnitTests/Dispatch/DispatcherFixture.h"
#include "Wasabi/Batch/BatchService.h"

namespace wasabi::batchtest {

namespace {

/// Time from the return of the store to the first result that is read.
constexpr Millis MaxReturnDelay{300};

/// A reading process and a dispatching one, each with its own connection to the
/// store and the default settings of its recovery.
struct OutageFixture : DispatcherFixture {
  OutageFixture()
      : DispatcherFixture(Millis(450), Millis(0), Millis(350), true) {}

  RecordStore ReaderStore = makeRecoveringStore(
      Context.get_executor(), Store.port(), Decisions, StoreRecoverySettings());
  std::shared_ptr<RolloutLog> ReaderLog = startLog(ReaderStore);
  std::shared_ptr<BatchService> Reader =
      BatchService::create({ReaderLog,
                            PayloadStore::create(ReaderStore, {}),
                            Decisions,
                            [](const BatchJob &) { return Millis(0); },
                            {}},
                           BatchService::Settings());
  /// Time of the first page with results; empty before.
  std::optional<TimePoint> FirstResultAt;

  /// Reads a job as a trainer does: again as soon as a read has ended.
  boost::asio::awaitable<void> readUntilResult(JobId Id) {
    while (!FirstResultAt) {
      Outcome<ResultPage> page = co_await Reader->read(Id, 0, Millis(1000));
      if (page && !page->Results.empty())
        FirstResultAt = monotonicNow();
      else if (!page)
        co_await pauseFor(Context.get_executor(), Millis(20));
    }
  }
};

} // namespace

TEST_CASE("The first result is read within 300 ms of the store's return",
          "[dispatch]") {
  OutageFixture fixture;
  fixture.Engines.EventsPerText = 40;
  fixture.server("e1").EventDelay = Millis(15);
  fixture.server("e2").EventDelay = Millis(15);
  std::vector<BatchJob> jobs{makeJob("a", 8), makeJob("b", 8), makeJob("c", 8)};
  for (const BatchJob &it : jobs)
    fixture.submit(it);
  REQUIRE(fixture.runUntil([&] {
    return findJob(fixture.ReaderLog->fold(), jobs[2].Id) != nullptr &&
           !fixture.server("e1").Runs.empty();
  }));
  fixture.Store.Unresponsive = true;
  boost::asio::co_spawn(fixture.Context, fixture.readUntilResult(jobs[0].Id),
                        boost::asio::detached);
  fixture.Context.run_for(Millis(4000));
  REQUIRE_FALSE(fixture.FirstResultAt);
  TimePoint returned = monotonicNow();
  fixture.Store.Unresponsive = false;
  REQUIRE(fixture.runUntil([&] { return fixture.FirstResultAt.has_value(); }));
  INFO("read after " << std::chrono::duration_cast<Millis>(
                            *fixture.FirstResultAt - returned)
                            .count()
                     << " ms");
  CHECK(*fixture.FirstResultAt - returned <= MaxReturnDelay);
  for (const BatchJob &it : jobs)
    REQUIRE(fixture.finishes(it));
}

TEST_CASE(
    "After an outage the results of the step due first are appended first",
    "[dispatch]") {
  OutageFixture fixture;
  RouteTable table = *fixture.View.Routes;
  UpstreamRoute urgent = table.Routes[0];
  urgent.Prefix = "/rollout/urgent/";
  urgent.ResultDeadline = Millis(5000);
  table.Routes.push_back(urgent);
  fixture.View.Routes = std::make_shared<const RouteTable>(table);
  BatchJob early = makeJob("early", 8);
  BatchJob late = makeJob("late", 8);
  for (BatchItem &it : late.Items)
    it.Path = "/rollout/urgent/" + it.Id.Text;
  fixture.Store.Unresponsive = false;
  fixture.Engines.EventsPerText = 10;
  fixture.submit(early);
  fixture.submit(late);
  auto runs = [&] {
    return fixture.server("e1").Runs.size() + fixture.server("e2").Runs.size();
  };
  REQUIRE(fixture.runUntil([&] { return runs() > 0; }));
  std::size_t before = fixture.Store.Topics["rollout"].size();
  fixture.Store.Unresponsive = true;
  fixture.Context.run_for(Millis(1500));
  REQUIRE(runs() == 16);
  fixture.Store.Unresponsive = false;
  REQUIRE(fixture.finishes(early));
  REQUIRE(fixture.finishes(late));
  // A result that was in flight as the outage began may come before the others.
  const std::vector<std::string> &records = fixture.Store.Topics["rollout"];
  std::vector<std::string> jobs;
  for (std::size_t i = before; i < records.size(); ++i) {
    Outcome<BatchRecord> record = toOutcome<BatchRecord>(
        [&] { return decodeRecord(records[i], "rollout"); });
    REQUIRE(record);
    if (const ResultRecord *result = std::get_if<ResultRecord>(&*record))
      jobs.push_back(result->Job.Text);
  }
  std::vector<std::string>::iterator firstLate =
      std::find(jobs.begin(), jobs.end(), "late");
  CHECK(firstLate - jobs.begin() <= 4);
  std::vector<std::string>::iterator lastLate =
      std::find(jobs.rbegin(), jobs.rend(), "late").base();
  CHECK(std::count(firstLate, lastLate, "late") == lastLate - firstLate);
}

} // namespace wasabi::batchtest
