#include "UnitTests/Dispatch/DispatcherFixture.h"

namespace wasabi::batchtest {

TEST_CASE("Items are generated, scored and committed with complete texts",
          "[dispatch]") {
  DispatcherFixture fixture;
  BatchJob job = scoredJob("a", 6);
  fixture.submit(job);
  REQUIRE(fixture.finishes(job));
  for (const ItemResult &it : fixture.results(job)) {
    CHECK(it.Status == ItemStatus::Completed);
    CHECK(it.Output == wholeText(it.Item.Text, 5));
    CHECK(it.Versions == std::vector<WeightVersion>{1});
    CHECK(it.Score == "sig-score-" + it.Item.Text);
  }
}

TEST_CASE("An item missing from the store does not delay the others",
          "[dispatch]") {
  DispatcherFixture fixture;
  BatchJob job = makeJob("a", 5);
  JobPart part{job, 0, 3};
  part.Job.Items = {job.Items[0], job.Items[1]};
  part.ItemsLocation = {{0, 10}};
  JobPart few{job, 1, 3};
  few.Job.Items = {job.Items[2]};
  few.ItemsLocation = {{1, 10}};
  JobPart rest{job, 2, 3};
  rest.Job.Items = {job.Items[3], job.Items[4]};
  fixture.Store.append("payload", "no items");
  fixture.Store.append("payload", encodeItems({}));
  fixture.Store.append("payload", encodeItems(rest.Job.Items));
  rest.ItemsLocation = {{2, 10}};
  for (const JobPart &it : {part, few, rest})
    fixture.Store.append("rollout", encodeRecord(it));
  REQUIRE(fixture.runUntil([&] { return fixture.results(job).size() == 2; }));
  for (const ItemResult &it : fixture.results(job))
    CHECK(it.Output == wholeText(it.Item.Text, 5));
}

TEST_CASE("An interrupted text resumes after its last event", "[dispatch]") {
  DispatcherFixture fixture;
  fixture.server("e1").BreakAfterEvents = 2;
  BatchJob job = makeJob("a", 4);
  fixture.submit(job);
  REQUIRE(fixture.finishes(job));
  for (const ItemResult &it : fixture.results(job))
    CHECK(it.Output == wholeText(it.Item.Text, 5));
  CHECK_FALSE(fixture.Engines.ResumedAfter.empty());
}

TEST_CASE("A text that continues under new weights lists both versions",
          "[dispatch]") {
  DispatcherFixture fixture;
  fixture.Engines.EventsPerText = 40;
  BatchJob job = makeJob("a", 1);
  fixture.submit(job);
  REQUIRE(fixture.runUntil([&] {
    return fixture.server("e1").Runs.size() +
               fixture.server("e2").Runs.size() ==
           1;
  }));
  fixture.Context.run_for(Millis(20));
  fixture.server("e1").Version = 2;
  fixture.server("e2").Version = 2;
  REQUIRE(fixture.finishes(job));
  CHECK(fixture.results(job)[0].Versions == std::vector<WeightVersion>{1, 2});
}

TEST_CASE("An engine whose weights are too old generates no text",
          "[dispatch]") {
  DispatcherFixture fixture;
  BatchJob job = makeJob("a", 2);
  job.MinVersion = 2;
  // The registrations list version 2, but the engines hold version 1.
  for (const char *id : {"e1", "e2"}) {
    UpstreamRegistration entry =
        fixture.View.Servers.Servers[ServerName(id)]->Entry;
    entry.Models = {{Model, 2}};
    registerServer(fixture.View.Servers, entry);
  }
  fixture.Dispatch->onFleetChange();
  fixture.submit(job);
  fixture.Context.run_for(Millis(100));
  CHECK(fixture.results(job).empty());
  for (const char *id : {"e1", "e2"}) {
    fixture.server(id).Version = 2;
    HeldWeights now{{{Model, 2}}, false};
    fixture.Dispatch->onHeldWeights(ServerName(id), now);
  }
  REQUIRE(fixture.finishes(job));
  CHECK(fixture.results(job)[0].Versions == std::vector<WeightVersion>{2});
}

TEST_CASE("An engine that refuses connections does not attract the items",
          "[dispatch]") {
  DispatcherFixture fixture;
  fixture.server("e1").RefusesConnections = true;
  fixture.server("e2").EventDelay = Millis(5);
  BatchJob job = makeJob("a", 30);
  fixture.submit(job);
  REQUIRE(fixture.finishes(job));
  // The dispatcher fills the four slots of the engine once and then retries it
  // occasionally.
  CHECK(fixture.server("e1").Runs.size() <= 8);
}

TEST_CASE("Items of an unresponsive engine run on another", "[dispatch]") {
  DispatcherFixture fixture;
  fixture.server("e1").Unresponsive = true;
  BatchJob job = makeJob("a", 6);
  fixture.submit(job);
  REQUIRE(fixture.finishes(job));
  for (const ItemResult &it : fixture.results(job))
    CHECK(it.Output == wholeText(it.Item.Text, 5));
}

TEST_CASE("A long text moves to a faster engine", "[dispatch]") {
  DispatcherFixture fixture;
  fixture.Engines.EventsPerText = 300;
  fixture.server("e1").EventDelay = Millis(15);
  fixture.server("e2").EventDelay = Millis(10);
  BatchJob job = scoredJob("job", 4);
  fixture.submit(job);
  REQUIRE(fixture.finishes(job));
  // All four runs fit on the faster engine and resume there.
  CHECK(fixture.server("e2").Runs.size() >= 4);
  CHECK_FALSE(fixture.Engines.ResumedAfter.empty());
  for (const ItemResult &it : fixture.results(job))
    CHECK(it.Output == wholeText(it.Item.Text, 300));
}

TEST_CASE("A run without a first event ends before the load stall timeout",
          "[dispatch]") {
  DispatcherFixture fixture;
  fixture.server("e1").Unresponsive = true;
  fixture.server("e2").Unresponsive = true;
  BatchJob job = makeJob("a", 1);
  fixture.submit(job);
  auto runs = [&] {
    return fixture.server("e1").Runs.size() + fixture.server("e2").Runs.size();
  };
  REQUIRE(fixture.runUntil([&] { return runs() == 1; }));
  TimePoint begun = monotonicNow();
  REQUIRE(fixture.runUntil([&] { return runs() == 2; }));
  CHECK(monotonicNow() - begun < Millis(1000));
}

TEST_CASE("A retried scoring call has a longer timeout than the first",
          "[dispatch]") {
  DispatcherFixture fixture;
  fixture.addServer("j2", Judge);
  fixture.server("j1").Unresponsive = true;
  fixture.server("j2").Unresponsive = true;
  BatchJob job = scoredJob("a", 1);
  fixture.submit(job);
  REQUIRE(fixture.runUntil(
      [&] { return fixture.Engines.ScoreDeadlines.size() >= 2; }));
  fixture.server("j1").Unresponsive = false;
  fixture.server("j2").Unresponsive = false;
  REQUIRE(fixture.finishes(job));
  CHECK(fixture.results(job)[0].Status == ItemStatus::Completed);
  CHECK(fixture.Engines.ScoreDeadlines[0] <= Millis(450));
  CHECK(fixture.Engines.ScoreDeadlines[1] > Millis(1000));
}

TEST_CASE("An item is terminated after status 500 at every attempt",
          "[dispatch]") {
  DispatcherFixture fixture;
  fixture.server("e1").Status = 500;
  fixture.server("e2").Status = 500;
  BatchJob job = makeJob("a", 1);
  fixture.submit(job);
  REQUIRE(fixture.finishes(job));
  CHECK(fixture.results(job)[0].Status == ItemStatus::Terminated);
  CHECK(fixture.server("e1").Runs.size() + fixture.server("e2").Runs.size() ==
        3);
}

TEST_CASE("An item answered with status 422 is sent once", "[dispatch]") {
  DispatcherFixture fixture;
  fixture.server("e1").Status = 422;
  fixture.server("e2").Status = 422;
  BatchJob job = makeJob("a", 1);
  fixture.submit(job);
  REQUIRE(fixture.finishes(job));
  CHECK(fixture.results(job)[0].Status == ItemStatus::Terminated);
  CHECK(fixture.server("e1").Runs.size() + fixture.server("e2").Runs.size() ==
        1);
}

TEST_CASE("A failed scoring call is retried up to the limit", "[dispatch]") {
  DispatcherFixture fixture;
  fixture.Engines.ScoreStatuses = {500};
  BatchJob job = scoredJob("a", 1);
  fixture.submit(job);
  REQUIRE(fixture.finishes(job));
  CHECK(fixture.results(job)[0].Status == ItemStatus::Completed);
  fixture.Engines.ScoreStatuses = {500, 500};
  BatchJob next = scoredJob("b", 1);
  fixture.submit(next);
  REQUIRE(fixture.finishes(next));
  CHECK(fixture.results(next)[0].Status == ItemStatus::Terminated);
}

TEST_CASE("Items of an ended job are no longer dispatched", "[dispatch]") {
  DispatcherFixture fixture;
  fixture.Engines.EventsPerText = 1000;
  BatchJob job = makeJob("a", 20);
  fixture.submit(job);
  auto runs = [&] {
    return fixture.server("e1").Runs.size() + fixture.server("e2").Runs.size();
  };
  REQUIRE(fixture.runUntil([&] { return runs() == 8; }));
  fixture.Store.append("rollout", encodeRecord(JobEnd{job.Id}));
  fixture.Context.run_for(Millis(100));
  CHECK(runs() == 8);
  CHECK(fixture.results(job).empty());
}

TEST_CASE("A carried-over item resumes from its text", "[dispatch]") {
  DispatcherFixture fixture;
  fixture.Engines.EventsPerText = 30;
  BatchJob job = makeJob("a", 1);
  fixture.submit(job);
  REQUIRE(fixture.runUntil([&] {
    return fixture.server("e1").Runs.size() +
               fixture.server("e2").Runs.size() ==
           1;
  }));
  fixture.Context.run_for(Millis(25));
  fixture.Store.append("rollout", encodeRecord(JobEnd{job.Id}));
  fixture.Context.run_for(Millis(20));
  BatchJob next = job;
  next.Id = JobId("b");
  fixture.submit(next);
  REQUIRE(fixture.finishes(next));
  CHECK(fixture.results(next)[0].Output == wholeText("a-0", 30));
  CHECK_FALSE(fixture.Engines.ResumedAfter.empty());
}

TEST_CASE(
    "Jobs of a more urgent customer run first regardless of the route priority",
    "[dispatch]") {
  DispatcherFixture fixture;
  std::shared_ptr<RouteTable> routes =
      std::make_shared<RouteTable>(*fixture.View.Routes);
  routes->Customers =
      CustomerTable::create({{Customer{CustomerName("anna"), 7}, {}},
                             {Customer{CustomerName("bert"), 0}, {}}});
  fixture.View.Routes = routes;
  // Both jobs wait until the engines accept connections. Together they exceed
  // the slots.
  for (const char *id : {"e1", "e2"})
    fixture.server(id).RefusesConnections = true;
  BatchJob first = makeJob("a", 20);
  first.Id.Customer = CustomerName("anna");
  BatchJob urgent = makeJob("b", 4);
  urgent.Id.Customer = CustomerName("bert");
  fixture.submit(first);
  fixture.submit(urgent);
  fixture.Context.run_for(Millis(60));
  for (const char *id : {"e1", "e2"}) {
    fixture.server(id).Runs.clear();
    fixture.server(id).RefusesConnections = false;
  }
  REQUIRE(fixture.finishes(urgent));
  CHECK(fixture.results(first).size() < 20);
}

TEST_CASE("A text is carried over only to jobs of its own customer",
          "[dispatch]") {
  DispatcherFixture fixture;
  fixture.Engines.EventsPerText = 30;
  BatchJob job = makeJob("a", 1);
  job.Id.Customer = CustomerName("anna");
  fixture.submit(job);
  fixture.Context.run_for(Millis(40));
  fixture.Store.append("rollout", encodeRecord(JobEnd{job.Id}));
  fixture.Context.run_for(Millis(20));
  // Item names are not unique across customers.
  BatchJob next = job;
  next.Id = JobId("b", CustomerName("bert"));
  fixture.submit(next);
  REQUIRE(fixture.finishes(next));
  CHECK(fixture.Engines.ResumedAfter.empty());
  CHECK(fixture.Engines.Customers == std::set<std::string>{"anna", "bert"});
}

TEST_CASE("A complete carried-over text is scored without another run",
          "[dispatch]") {
  DispatcherFixture fixture;
  fixture.server("j1").Unresponsive = true;
  BatchJob job = scoredJob("a", 1);
  fixture.submit(job);
  auto runs = [&] {
    return fixture.server("e1").Runs.size() + fixture.server("e2").Runs.size();
  };
  REQUIRE(fixture.runUntil([&] { return runs() == 1; }));
  fixture.Context.run_for(Millis(60));
  fixture.Store.append("rollout", encodeRecord(JobEnd{job.Id}));
  fixture.Context.run_for(Millis(30));
  fixture.server("j1").Unresponsive = false;
  BatchJob next = job;
  next.Id = JobId("b");
  fixture.submit(next);
  REQUIRE(fixture.finishes(next));
  CHECK(fixture.results(next)[0].Output == wholeText("a-0", 5));
  CHECK(runs() == 1);
}

TEST_CASE("A carried-over text of too old weights is discarded", "[dispatch]") {
  DispatcherFixture fixture;
  fixture.Engines.EventsPerText = 30;
  BatchJob job = makeJob("a", 1);
  fixture.submit(job);
  fixture.Context.run_for(Millis(40));
  fixture.Store.append("rollout", encodeRecord(JobEnd{job.Id}));
  fixture.Context.run_for(Millis(20));
  for (const char *id : {"e1", "e2"}) {
    fixture.server(id).Version = 2;
    HeldWeights now{{{Model, 2}}, false};
    fixture.Dispatch->onHeldWeights(ServerName(id), now);
  }
  BatchJob next = job;
  next.Id = JobId("b");
  next.MinVersion = 2;
  fixture.submit(next);
  REQUIRE(fixture.finishes(next));
  CHECK(fixture.results(next)[0].Versions == std::vector<WeightVersion>{2});
  CHECK(fixture.Engines.ResumedAfter.empty());
}

TEST_CASE("Handed-over texts are resumed", "[dispatch]") {
  DispatcherFixture fixture;
  fixture.Engines.EventsPerText = 30;
  BatchJob job = makeJob("a", 2);
  fixture.submit(job);
  fixture.Context.run_for(Millis(40));
  fixture.run([&]() -> boost::asio::awaitable<void> {
    co_await fixture.Dispatch->handOverTexts();
  });
  std::size_t texts = 0;
  for (const std::string &it : fixture.Store.Topics["rollout"]) {
    Outcome<BatchRecord> record =
        toOutcome<BatchRecord>([&] { return decodeRecord(it, "test"); });
    REQUIRE(record);
    texts += std::holds_alternative<PartialTextRecord>(*record) ? 1 : 0;
  }
  CHECK(texts >= 2);
  fixture.Context.run_for(Millis(20));
  fixture.Dispatch->activate();
  REQUIRE(fixture.finishes(job));
  CHECK(fixture.Engines.ResumedAfter.size() == 2);
  for (const ItemResult &it : fixture.results(job))
    CHECK(it.Output == wholeText(it.Item.Text, 30));
}

TEST_CASE("A result is appended again after a failed append", "[dispatch]") {
  DispatcherFixture fixture;
  fixture.Store.AppendFaults = {AppendFault::Lost, AppendFault::AnswerLost,
                                AppendFault::Refused};
  BatchJob job = makeJob("a", 3);
  fixture.submit(job);
  REQUIRE(fixture.finishes(job));
  CHECK(fixture.results(job).size() == 3);
}

TEST_CASE(
    "Loads of a named version are requested of a limited number of engines",
    "[dispatch]") {
  DispatcherFixture fixture;
  fixture.addServer("e3", Llm);
  fixture.addServer("e4", Llm);
  fixture.View.NewestVersions[Model] = 2;
  fixture.Dispatch->onFleetChange();
  auto wanted = [&] { return fixture.Store.Topics[WantedTopic].size(); };
  REQUIRE(fixture.runUntil([&] { return wanted() == 2; }));
  fixture.Context.run_for(Millis(60));
  CHECK(wanted() == 2);
  for (const std::string &it :
       std::vector<std::string>(fixture.Store.Topics[WantedTopic])) {
    HeldWeights now{{{Model, 2}}, false};
    fixture.Dispatch->onHeldWeights(ServerName(it.substr(0, it.find('|'))),
                                    now);
  }
  CHECK(fixture.runUntil([&] { return wanted() == 4; }));
}

TEST_CASE("The loads of a wave are requested in one append", "[dispatch]") {
  DispatcherFixture fixture;
  constexpr std::size_t Engines = 60;
  for (std::size_t i = 0; i < Engines; ++i)
    fixture.addServer("engine-" + std::to_string(i), Llm);
  fixture.Dispatch->onFleetChange();
  fixture.Context.run_for(Millis(50));
  fixture.View.NewestVersions[Model] = 2;
  fixture.Dispatch->onFleetChange();
  REQUIRE(fixture.runUntil(
      [&] { return fixture.Store.Topics[WantedTopic].size() >= 12; }));
  CHECK(fixture.Store.Appends[WantedTopic] == 1);
}

TEST_CASE("Loads are requested only after all items of the expected step have "
          "started",
          "[dispatch]") {
  DispatcherFixture fixture(Millis(80), Millis(5000));
  fixture.Engines.EventsPerText = 12;
  for (const char *id : {"e1", "e2"}) {
    fixture.server(id).Version = 2;
    fixture.Dispatch->onHeldWeights(ServerName(id), {{{Model, 2}}, false});
  }
  fixture.View.NewestVersions[Model] = 2;
  BatchJob before = makeJob("a", 2);
  before.MinVersion = 1;
  fixture.submit(before);
  REQUIRE(fixture.finishes(before));
  auto wanted = [&] { return fixture.Store.Topics[WantedTopic].size(); };
  fixture.View.NewestVersions[Model] = 3;
  fixture.Dispatch->onFleetChange();
  fixture.Context.run_for(Millis(60));
  CHECK(wanted() == 0);
  // The step has more items than the engines have slots. The engines load
  // weights after all items have started.
  BatchJob job = makeJob("b", 12);
  job.MinVersion = 2;
  fixture.submit(job);
  REQUIRE(fixture.runUntil([&] { return wanted() > 0; }));
  std::set<std::string> begun;
  for (const char *id : {"e1", "e2"})
    begun.insert(fixture.server(id).Runs.begin(),
                 fixture.server(id).Runs.end());
  CHECK(begun.size() == before.Items.size() + job.Items.size());
}

TEST_CASE("Reports of an earlier start of an engine are ignored",
          "[dispatch]") {
  DispatcherFixture fixture;
  for (const char *id : {"e1", "e2"}) {
    UpstreamRegistration entry =
        fixture.View.Servers.Servers[ServerName(id)]->Entry;
    entry.Start = 1000;
    registerServer(fixture.View.Servers, entry);
    HeldWeights now{{{Model, 2}}, false, 1000};
    fixture.Dispatch->onHeldWeights(ServerName(id), now);
  }
  fixture.View.NewestVersions[Model] = 2;
  fixture.Dispatch->onFleetChange();
  fixture.Context.run_for(Millis(60));
  auto wanted = [&] { return fixture.Store.Topics[WantedTopic]; };
  REQUIRE(wanted().empty());
  // The engine restarts with older weights, then the report of the previous
  // start is read again.
  UpstreamRegistration entry =
      fixture.View.Servers.Servers[ServerName("e1")]->Entry;
  entry.Start = 2000;
  registerServer(fixture.View.Servers, entry);
  fixture.Dispatch->onHeldWeights(ServerName("e1"),
                                  {{{Model, 2}}, false, 1000});
  fixture.Dispatch->onFleetChange();
  // Shorter than the time for which a report outranks the registration.
  constexpr Millis Soon{1500};
  TimePoint end = monotonicNow() + Soon;
  fixture.runUntil([&] { return !wanted().empty() || monotonicNow() > end; });
  REQUIRE_FALSE(wanted().empty());
  std::string text = wanted().back().substr(wanted().back().find('|') + 1);
  Outcome<WantedWeights> weights =
      toOutcome<WantedWeights>([&] { return decodeWanted(text, "test"); });
  REQUIRE(weights);
  CHECK(weights->Start == 2000);
  CHECK(weights->Version == 2);
}

TEST_CASE("Runs of a restarted engine resume on another", "[dispatch]") {
  constexpr Millis Never{60000};
  DispatcherFixture fixture(Never);
  fixture.Engines.EventsPerText = 40;
  BatchJob job = makeJob("a", 4);
  fixture.submit(job);
  REQUIRE(fixture.runUntil([&] {
    return !fixture.server("e1").Runs.empty() &&
           !fixture.server("e2").Runs.empty();
  }));
  fixture.Context.run_for(Millis(20));
  // The crash closes no connection.
  fixture.server("e1").Unresponsive = true;
  UpstreamRegistration entry =
      fixture.View.Servers.Servers[ServerName("e1")]->Entry;
  entry.Start = 2000;
  registerServer(fixture.View.Servers, entry);
  fixture.Dispatch->onFleetChange();
  REQUIRE(
      fixture.runUntil([&] { return !fixture.Engines.ResumedAfter.empty(); }));
  fixture.server("e1").Unresponsive = false;
  REQUIRE(fixture.finishes(job));
}

TEST_CASE(
    "Runs in an evacuated failure domain resume elsewhere with their text",
    "[dispatch]") {
  constexpr Millis Never{60000};
  DispatcherFixture fixture(Never);
  fixture.Engines.EventsPerText = 40;
  const DomainName domain("north");
  fixture.View.Servers.Servers[ServerName("e1")]->Entry.Domain = domain;
  BatchJob job = makeJob("a", 8);
  fixture.submit(job);
  REQUIRE(
      fixture.runUntil([&] { return fixture.server("e1").Runs.size() == 4; }));
  fixture.Context.run_for(Millis(20));
  beginEvacuation(fixture.View.Servers, domain);
  fixture.Dispatch->onFleetChange();
  REQUIRE(fixture.finishes(job));
  CHECK(fixture.server("e1").Runs.size() == 4);
  CHECK(fixture.Engines.ResumedAfter.size() == 4);
  for (const ItemResult &it : fixture.results(job))
    CHECK(it.Output == wholeText(it.Item.Text, 40));
}

TEST_CASE("The saved part of a text is not generated again", "[dispatch]") {
  DispatcherFixture fixture;
  fixture.Engines.EventsPerText = 60;
  BatchJob job = makeJob("a", 2);
  fixture.submit(job);
  auto saved = [&] {
    std::shared_ptr<JobState> known = findJob(fixture.Log->fold(), job.Id);
    return known && known->Texts.size() == 2 &&
           known->Texts.begin()->second.Text.Events >= 12;
  };
  REQUIRE(fixture.runUntil(saved));
  // Simulates a kill: the dispatcher hands over no texts.
  fixture.Dispatch->deactivate();
  fixture.Context.run_for(Millis(20));
  CHECK(fixture.Engines.ResumedAfter.empty());
  fixture.Dispatch->activate();
  REQUIRE(fixture.finishes(job));
  REQUIRE(fixture.Engines.ResumedAfter.size() == 2);
  for (std::uint64_t it : fixture.Engines.ResumedAfter)
    CHECK(it >= 4);
  for (const ItemResult &it : fixture.results(job))
    CHECK(it.Output == wholeText(it.Item.Text, 60));
}

TEST_CASE("After a takeover the longest texts resume first", "[dispatch]") {
  constexpr std::size_t Items = 20;
  constexpr std::size_t Places = 8;
  DispatcherFixture fixture;
  fixture.Engines.EventsPerText = Items + 5;
  fixture.server("e1").EventDelay = Millis(20);
  fixture.server("e2").EventDelay = Millis(20);
  fixture.Dispatch->deactivate();
  BatchJob job = makeJob("a", Items);
  fixture.submit(job);
  // Item i has i + 1 events, each saved in a record of its own.
  for (std::size_t event = 1; event <= Items; ++event) {
    for (std::size_t i = event - 1; i < Items; ++i) {
      const ItemId &item = job.Items[i].Id;
      std::string text = item.Text + ":" + std::to_string(event);
      if (event > 1)
        text.insert(0, "\n");
      fixture.Store.append("payload", text);
      Offset at = fixture.Store.Topics["payload"].size() - 1;
      fixture.Store.append(
          "rollout", encodeRecord(PartialTextRecord{job.Id,
                                                    item,
                                                    1,
                                                    event - 1,
                                                    {"", event, {1}, false},
                                                    {{at, text.size()}}}));
    }
  }
  Offset end = fixture.Store.Topics["rollout"].size();
  REQUIRE(fixture.runUntil([&] { return fixture.Log->fold().Next == end; }));
  // From here on, each piece takes a separate read.
  fixture.Store.MaxEntries = 1;
  fixture.Dispatch->activate();
  auto begun = [&] {
    return fixture.server("e1").Runs.size() + fixture.server("e2").Runs.size();
  };
  REQUIRE(fixture.runUntil([&] { return begun() == Places; }));
  for (std::uint64_t after : fixture.Engines.ResumedAfter)
    CHECK(after > Items - Places - 1);
  REQUIRE(fixture.finishes(job));
  for (const ItemResult &it : fixture.results(job))
    CHECK(it.Output == wholeText(it.Item.Text, fixture.Engines.EventsPerText));
}

TEST_CASE("Saves of unknown outcome do not corrupt a text", "[dispatch]") {
  DispatcherFixture fixture;
  fixture.Engines.EventsPerText = 60;
  BatchJob job = makeJob("a", 2);
  fixture.submit(job);
  REQUIRE(fixture.runUntil(
      [&] { return findJob(fixture.Log->fold(), job.Id) != nullptr; }));
  fixture.Store.AppendFaults = {AppendFault::AnswerLost, AppendFault::Lost,
                                AppendFault::AnswerLost, AppendFault::Refused,
                                AppendFault::AnswerLost};
  REQUIRE(fixture.runUntil([&] { return fixture.Store.AppendFaults.empty(); }));
  fixture.Dispatch->deactivate();
  fixture.Context.run_for(Millis(20));
  fixture.Dispatch->activate();
  REQUIRE(fixture.finishes(job));
  for (const ItemResult &it : fixture.results(job))
    CHECK(it.Output == wholeText(it.Item.Text, 60));
}

TEST_CASE("A failed save of texts is retried without waiting for the interval",
          "[dispatch]") {
  // Guards against losing texts when a process is killed right after an outage.
  DispatcherFixture fixture(Millis(80), Millis(0), Millis(300));
  fixture.Engines.EventsPerText = 200;
  fixture.server("e1").EventDelay = Millis(10);
  fixture.server("e2").EventDelay = Millis(10);
  BatchJob job = makeJob("a", 3);
  fixture.submit(job);
  auto running = [&] {
    return fixture.server("e1").Runs.size() +
               fixture.server("e2").Runs.size() ==
           3;
  };
  REQUIRE(fixture.runUntil(running));
  TimePoint begun = monotonicNow();
  fixture.Store.AppendFaults = {AppendFault::Refused, AppendFault::Refused};
  auto saved = [&] {
    std::shared_ptr<JobState> known = findJob(fixture.Log->fold(), job.Id);
    return known && known->Texts.size() == 3;
  };
  REQUIRE(fixture.runUntil(saved));
  CHECK(monotonicNow() - begun < Millis(550));
}

TEST_CASE("A text of two versions restarts on a single-version route",
          "[dispatch]") {
  DispatcherFixture fixture;
  RouteTable table = *fixture.View.Routes;
  table.Routes[0].SingleVersion = true;
  fixture.View.Routes = std::make_shared<const RouteTable>(table);
  fixture.Engines.EventsPerText = 30;
  BatchJob job = makeJob("a", 2);
  fixture.submit(job);
  fixture.Context.run_for(Millis(30));
  // The weights change during the runs, before the dispatcher learns of it.
  for (const char *id : {"e1", "e2"})
    fixture.server(id).Version = 2;
  REQUIRE(fixture.finishes(job));
  for (const ItemResult &it : fixture.results(job)) {
    CHECK(it.Versions == std::vector<WeightVersion>{2});
    CHECK(it.Output == wholeText(it.Item.Text, 30));
  }
}

// Guards against an item that waits for the engine with the version of its text
// while that engine fails and others have room.
TEST_CASE("A text restarts if only an engine that fails has its version",
          "[dispatch]") {
  DispatcherFixture fixture;
  RouteTable table = *fixture.View.Routes;
  table.Routes[0].SingleVersion = true;
  fixture.View.Routes = std::make_shared<const RouteTable>(table);
  fixture.server("e2").RefusesConnections = true;
  fixture.server("e1").BreakAfterEvents = 2;
  BatchJob job = makeJob("a", 2);
  fixture.submit(job);
  REQUIRE(fixture.runUntil([&] { return !fixture.server("e1").Runs.empty(); }));
  fixture.server("e1").RefusesConnections = true;
  fixture.Context.run_for(Millis(50));
  UpstreamRegistration entry;
  entry.Id = ServerName("e3");
  entry.Service = Llm;
  entry.Slots = 4;
  entry.Models = {{Model, 2}};
  fixture.server("e3").Version = 2;
  registerServer(fixture.View.Servers, entry);
  fixture.Dispatch->onFleetChange();
  REQUIRE(fixture.finishes(job));
  for (const ItemResult &it : fixture.results(job)) {
    CHECK(it.Versions == std::vector<WeightVersion>{2});
    CHECK(it.Output == wholeText(it.Item.Text, 5));
  }
}

// Guards against an engine whose events have no end: its texts take the memory
// of the process.
TEST_CASE("A text without end is discarded and generated elsewhere",
          "[dispatch]") {
  constexpr std::size_t EventBytes = 100000;
  DispatcherFixture fixture;
  fixture.server("e1").EndlessEventBytes = EventBytes;
  BatchJob job = makeJob("a", 4);
  fixture.submit(job);
  REQUIRE(fixture.finishes(job));
  CHECK_FALSE(fixture.server("e1").Runs.empty());
  for (const ItemResult &it : fixture.results(job))
    CHECK(it.Output == wholeText(it.Item.Text, 5));
}

TEST_CASE("An engine that loads no weights does not delay the others",
          "[dispatch]") {
  DispatcherFixture fixture;
  fixture.View.NewestVersions[Model] = 2;
  fixture.Dispatch->onFleetChange();
  // Without sidecars no engine loads, so a load is requested of each in turn.
  std::set<std::string> asked;
  CHECK(fixture.runUntil([&] {
    for (const std::string &it : fixture.Store.Topics[WantedTopic])
      asked.insert(it.substr(0, it.find('|')));
    return asked.size() == 2;
  }));
}

// Guards against an item that holds up others, or takes engine after engine
// without a pause, and against one that is given up.
TEST_CASE("An item under which engines crash is tried again with care",
          "[dispatch]") {
  DispatcherFixture fixture;
  for (const char *id : {"e3", "e4", "e5", "e6", "e7", "e8"})
    fixture.addServer(id, Llm);
  BatchJob job = scoredJob("a", 4);
  fixture.Engines.EventsPerText = 12;
  fixture.Engines.CrashItem = job.Items[1].Id.Text;
  fixture.submit(job);
  auto listed = [&] {
    std::shared_ptr<JobState> known = findJob(fixture.Log->fold(), job.Id);
    return known ? known->Results.size() : 0;
  };
  CHECK(fixture.runUntil([&] { return listed() == job.Items.size() - 1; }));
  auto crashes = [&] {
    return std::count_if(fixture.Engines.Servers.begin(),
                         fixture.Engines.Servers.end(),
                         [](const auto &It) { return It.second.Crashed; });
  };
  // The delays between its runs double: 2 ms, 4 ms and so on.
  TimePoint until = monotonicNow() + Millis(100);
  fixture.runUntil([&] { return monotonicNow() > until; });
  CHECK(crashes() >= 3);
  CHECK(crashes() <= 7);
  CHECK(listed() == job.Items.size() - 1);
  // The engines are back, and the item is still owed.
  fixture.Engines.CrashItem.clear();
  for (auto &[id, server] : fixture.Engines.Servers)
    server.Crashed = false;
  REQUIRE(fixture.finishes(job));
  CHECK(fixture.results(job).back().Output == wholeText("a-1", 12));
}

// Guards against sound items that are withheld because all engines crashed
// several times while they ran, also after a takeover.
TEST_CASE("Items that outlive a crash loop of all engines are run",
          "[dispatch]") {
  DispatcherFixture fixture;
  fixture.Engines.EventsPerText = 400;
  BatchJob job = scoredJob("a", 8);
  fixture.submit(job);
  for (int i = 0; i < 6; ++i) {
    auto running = [&] {
      return fixture.server("e1").Runs.size() >= 4 ||
             fixture.server("e2").Runs.size() >= 4;
    };
    REQUIRE(fixture.runUntil(running));
    fixture.Context.run_for(Millis(10));
    // Each crash ends all runs; the next incarnations have new names.
    for (const char *id : {"e1", "e2"})
      fixture.server(id).Crashed = true;
    fixture.Context.run_for(Millis(30));
    for (const char *id : {"e1", "e2"}) {
      fixture.server(id) = FakeServer();
      UpstreamRegistration entry =
          fixture.View.Servers.Servers[ServerName(id)]->Entry;
      ++entry.Start;
      registerServer(fixture.View.Servers, entry);
    }
    fixture.Dispatch->onFleetChange();
  }
  fixture.Engines.EventsPerText = 5;
  if (GENERATE(true, false)) {
    fixture.Dispatch->deactivate();
    fixture.Dispatch->activate();
  }
  REQUIRE(fixture.finishes(job));
  for (const ItemResult &it : fixture.results(job))
    CHECK(it.Status == ItemStatus::Completed);
}

// Guards against a dispatcher that starts the items of groups that the trainer
// can do without while needed ones wait.
TEST_CASE("Items of groups that can be left out start last", "[dispatch]") {
  DispatcherFixture fixture;
  fixture.Engines.EventsPerText = 20;
  BatchJob job = makeJob("a", 12);
  job.TargetGroups = 4;
  // The groups with the latest end. The longest first order starts them first.
  for (std::size_t i : {2U, 3U, 6U, 7U})
    job.Items[i].ExpectedTokens = 400;
  fixture.submit(job);
  REQUIRE(fixture.finishes(job));
  std::set<std::string> last{"a-2", "a-3", "a-6", "a-7"};
  for (const char *id : {"e1", "e2"}) {
    const std::vector<std::string> &runs = fixture.server(id).Runs;
    REQUIRE(runs.size() >= 4);
    for (std::size_t i = 0; i < 4; ++i)
      CHECK_FALSE(last.contains(runs[i]));
  }
}

// Guards against leaving out groups that the trainer always waits for.
TEST_CASE("Items that an earlier step contained are not left out",
          "[dispatch]") {
  DispatcherFixture fixture;
  fixture.Engines.EventsPerText = 20;
  BatchJob earlier = makeJob("a", 4);
  fixture.submit(earlier);
  REQUIRE(fixture.runUntil([&] { return !fixture.server("e1").Runs.empty(); }));
  fixture.Store.append("rollout", encodeRecord(JobEnd{earlier.Id}));
  std::shared_ptr<JobState> known = findJob(fixture.Log->fold(), earlier.Id);
  REQUIRE(fixture.runUntil([&] { return known->Ended; }));
  fixture.Context.run_for(Millis(20));
  for (const char *id : {"e1", "e2"})
    fixture.server(id).Runs.clear();
  BatchJob job = makeJob("b", 10);
  job.Items[4].Id = earlier.Items[2].Id;
  job.Items[5].Id = earlier.Items[3].Id;
  for (std::size_t i : {4U, 5U})
    job.Items[i].ExpectedTokens = 400;
  job.TargetGroups = 4;
  fixture.submit(job);
  REQUIRE(fixture.finishes(job));
  std::size_t early = 0;
  for (const char *id : {"e1", "e2"}) {
    const std::vector<std::string> &runs = fixture.server(id).Runs;
    REQUIRE(runs.size() >= 4);
    early += static_cast<std::size_t>(
        std::count_if(runs.begin(), runs.begin() + 4,
                      [](const std::string &It) { return It[0] == 'a'; }));
  }
  CHECK(early == 2);
}

// Guards against a dispatcher that fills all slots of an engine although its
// memory holds fewer runs.
TEST_CASE("Runs of an engine fit its memory", "[dispatch]") {
  DispatcherFixture fixture;
  RouteTable table = *fixture.View.Routes;
  table.Services[0].Engine->KvCapacityTokens = 2500;
  fixture.View.Routes = std::make_shared<const RouteTable>(table);
  BatchJob job = makeJob("a", 12);
  // Two runs need 2,000 tokens, three more than 0.9 of the memory. The first
  // item needs more than all of it.
  for (BatchItem &it : job.Items) {
    it.PromptTokens = 900;
    it.MaxOutputTokens = 100;
  }
  job.Items[0].PromptTokens = 5000;
  fixture.submit(job);
  std::uint32_t most = 0;
  REQUIRE(fixture.runUntil([&] {
    for (const char *id : {"e1", "e2"})
      most = std::max(most,
                      fixture.View.Servers.Servers[ServerName(id)]->InFlight);
    std::shared_ptr<JobState> known = findJob(fixture.Log->fold(), job.Id);
    return known && known->Results.size() == job.Items.size();
  }));
  CHECK(most == 2);
}

// Guards against engines that preempt or delay what the trainers wait for.
TEST_CASE("Engines are told the priority of items, not of scoring calls",
          "[dispatch]") {
  DispatcherFixture fixture;
  BatchJob job = scoredJob("a", 4);
  job.TargetGroups = 1;
  for (std::size_t i : {2U, 3U})
    job.Items[i].ExpectedTokens = 400;
  fixture.submit(job);
  REQUIRE(fixture.finishes(job));
  CHECK(fixture.Engines.Priorities ==
        std::map<std::string, std::uint8_t>{
            {"a-0", 3}, {"a-1", 3}, {"a-2", 6}, {"a-3", 6}});
  CHECK(fixture.Engines.ScorePriorities.empty());
  RouteTable table = *fixture.View.Routes;
  table.Routes[0].ResultDeadline = Millis(0);
  fixture.View.Routes = std::make_shared<const RouteTable>(table);
  BatchJob late = makeJob("b", 1);
  fixture.submit(late);
  REQUIRE(fixture.finishes(late));
  CHECK(fixture.Engines.Priorities["b-0"] == 8);
}

// Guards against items of ended jobs that run again after a takeover, in a
// deployment that is older than the retention of its store.
TEST_CASE("A successor runs no items of jobs that ended after expired records",
          "[dispatch]") {
  DispatcherFixture fixture;
  fixture.Dispatch->deactivate();
  fixture.Store.expire("rollout", 300);
  fixture.Store.MaxEntries = 2;
  std::vector<BatchJob> ended;
  for (const char *id : {"a", "b", "c"}) {
    ended.push_back(makeJob(id, 3));
    fixture.submit(ended.back());
    fixture.Store.append("rollout", encodeRecord(JobEnd{ended.back().Id}));
  }
  BatchJob open = makeJob("d", 3);
  fixture.submit(open);
  fixture.Dispatch->activate();
  REQUIRE(fixture.finishes(open));
  for (const char *id : {"e1", "e2"})
    for (const std::string &it : fixture.server(id).Runs)
      CHECK(it.starts_with("d-"));
}

// Guards against an item that is given up for a record that the store did not
// return, though it has not expired.
TEST_CASE("An item is given up only if its record has expired", "[dispatch]") {
  DispatcherFixture fixture;
  BatchJob job = makeJob("a", 1);
  JobPart part{job, 0, 1};
  part.ItemsLocation = {{0, 10}};
  fixture.Store.append("rollout", encodeRecord(part));
  fixture.Context.run_for(Millis(100));
  CHECK(fixture.results(job).empty());
  fixture.Store.append("payload", encodeItems(job.Items));
  REQUIRE(fixture.finishes(job));
  CHECK(fixture.results(job)[0].Status == ItemStatus::Completed);
}

} // namespace wasabi::batchtest
