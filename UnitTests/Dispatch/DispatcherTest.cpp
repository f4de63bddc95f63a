#include "Wasabi/Dispatch/Dispatcher.h"
#include "UnitTests/Batch/BatchFixture.h"
#include "UnitTests/Dispatch/FakeEngines.h"

namespace wasabi::batchtest {

namespace {

const ModelName Model("model");
const ServiceName Llm("llm");
const ServiceName Judge("judge");

std::shared_ptr<const RouteTable> makeRoutes() {
  RouteTable table;
  table.Version = 1;
  UpstreamRoute rollout;
  rollout.Host = "host.example";
  rollout.Prefix = "/rollout/";
  rollout.Kind = RouteKind::Rollout;
  rollout.MaxAttempts = 3;
  rollout.ResultDeadline = Millis(7500);
  rollout.Services = {{Llm, 1}};
  UpstreamRoute score = rollout;
  score.Prefix = "/score/";
  score.Kind = RouteKind::Idempotent;
  score.MaxAttempts = 2;
  score.Services = {{Judge, 1}};
  table.Routes = {rollout, score};
  UpstreamService engines;
  engines.Name = Llm;
  engines.Engine = EngineTraits{4, {Model}};
  table.Services = {engines, UpstreamService{Judge, "", 0, {}}};
  return std::make_shared<const RouteTable>(table);
}

/// One dispatching process, two engines and a scoring server.
struct DispatcherFixture : BatchTestFixture {
  FakeEngines Engines{Context};
  FleetView View;
  Metrics Counts;
  std::shared_ptr<RolloutLog> Log = startLog(Store.port());
  std::shared_ptr<PayloadStore> Payloads =
      PayloadStore::create(Store.port(), {});
  std::shared_ptr<Dispatcher> Dispatch;

  /// \param Stall silence after which a run has lost its engine.
  /// \param StepArrivalTimeout how long a named version's step is expected.
  /// \param SaveInterval how often texts in progress are saved.
  explicit DispatcherFixture(Millis Stall = Millis(80),
                             Millis StepArrivalTimeout = Millis(0),
                             Millis SaveInterval = Millis(10)) {
    View.Routes = makeRoutes();
    noteAnswer(View.Contact, monotonicNow());
    addServer("e1", Llm);
    addServer("e2", Llm);
    addServer("j1", Judge);
    std::shared_ptr<Quarantine> crashes = Quarantine::create(
        {Context.get_executor(), Store.port(), Decisions, View}, Engines.port(),
        Counts, Quarantine::Settings());
    crashes->start();
    std::shared_ptr<Forwarder> scores =
        Forwarder::create({Context.get_executor(), View, Engines.port(),
                           crashes, Decisions, Counts},
                          Forwarder::Settings());
    Dispatcher::Settings limits;
    limits.PollInterval = Millis(10);
    limits.RunStallTimeout = Stall;
    limits.EventTimeout = std::max(limits.EventTimeout, Stall);
    limits.FirstEventTimeout = Millis(120);
    limits.LoadStallTimeout = Millis(3000);
    limits.RetryDelay = Millis(2);
    limits.SwapTimeout = Millis(150);
    limits.SaveInterval = SaveInterval;
    limits.MinSaveEvents = 4;
    limits.StepArrivalTimeout = StepArrivalTimeout;
    Dispatch = Dispatcher::create({Context.get_executor(), View, Log, Payloads,
                                   Store.port(), Engines.port(), scores,
                                   crashes, Decisions, Counts},
                                  limits);
    Log->onChange(
        [this](const BatchStateChange &Change) { Dispatch->onChange(Change); });
    Dispatch->start();
    Dispatch->activate();
  }

  void addServer(const std::string &Id, const ServiceName &Service) {
    UpstreamRegistration entry;
    entry.Id = ServerName(Id);
    entry.Service = Service;
    entry.Slots = 4;
    if (Service == Llm)
      entry.Models = {{Model, 1}};
    registerServer(View.Servers, entry);
    Engines.Servers[entry.Id];
  }
  FakeServer &server(const std::string &Id) {
    return Engines.Servers[ServerName(Id)];
  }
  void submit(const BatchJob &Job) {
    Store.append("rollout", encodeRecord(JobPart{Job, 0, 1}));
  }
  /// The job's results, with their texts.
  std::vector<ItemResult> results(const BatchJob &Job) {
    std::shared_ptr<JobState> known = findJob(Log->fold(), Job.Id);
    if (!known)
      return {};
    std::vector<ItemResult> all = known->Results;
    for (ItemResult &it : all) {
      run([&]() -> boost::asio::awaitable<void> {
        Outcome<std::string> text = co_await Payloads->get(it.OutputLocation);
        it.Output += text ? *text : "(its text is not there)";
      });
    }
    return all;
  }
  bool finishes(const BatchJob &Job) {
    return runUntil([&] {
      std::shared_ptr<JobState> known = findJob(Log->fold(), Job.Id);
      return known && known->Results.size() == Job.Items.size();
    });
  }
};

BatchJob scoredJob(const std::string &Id, std::size_t Items) {
  BatchJob job = makeJob(Id, Items);
  for (BatchItem &it : job.Items)
    it.Score =
        ScoreRequest{"score-" + it.Id.Text, "host.example", "/score/x", "body"};
  return job;
}

std::string wholeText(const std::string &Item, std::uint64_t Length) {
  std::string text;
  for (std::uint64_t i = 1; i <= Length; ++i)
    text += (i > 1 ? "\n" : "") + Item + ":" + std::to_string(i);
  return text;
}

} // namespace

TEST_CASE("Items are generated, scored and listed whole", "[dispatch]") {
  DispatcherFixture world;
  BatchJob job = scoredJob("a", 6);
  world.submit(job);
  REQUIRE(world.finishes(job));
  for (const ItemResult &it : world.results(job)) {
    CHECK(it.Status == ItemStatus::Completed);
    CHECK(it.Output == wholeText(it.Item.Text, 5));
    CHECK(it.Versions == std::vector<WeightVersion>{1});
    CHECK(it.Score == "sig-score-" + it.Item.Text);
  }
}

TEST_CASE("An item that the store has no more does not hold up the others",
          "[dispatch]") {
  DispatcherFixture world;
  BatchJob job = makeJob("a", 5);
  JobPart part{job, 0, 3};
  part.Job.Items = {job.Items[0], job.Items[1]};
  part.ItemsLocation = {{0, 10}};
  JobPart few{job, 1, 3};
  few.Job.Items = {job.Items[2]};
  few.ItemsLocation = {{1, 10}};
  JobPart rest{job, 2, 3};
  rest.Job.Items = {job.Items[3], job.Items[4]};
  world.Store.append("payload", "no items");
  world.Store.append("payload", encodeItems({}));
  world.Store.append("payload", encodeItems(rest.Job.Items));
  rest.ItemsLocation = {{2, 10}};
  for (const JobPart &it : {part, few, rest})
    world.Store.append("rollout", encodeRecord(it));
  REQUIRE(world.runUntil([&] { return world.results(job).size() == 2; }));
  for (const ItemResult &it : world.results(job))
    CHECK(it.Output == wholeText(it.Item.Text, 5));
}

TEST_CASE("A text that breaks off goes on after its last event", "[dispatch]") {
  DispatcherFixture world;
  world.server("e1").BreakAfterEvents = 2;
  BatchJob job = makeJob("a", 4);
  world.submit(job);
  REQUIRE(world.finishes(job));
  for (const ItemResult &it : world.results(job))
    CHECK(it.Output == wholeText(it.Item.Text, 5));
  CHECK_FALSE(world.Engines.Resumed.empty());
}

TEST_CASE("A text that goes on under other weights names both", "[dispatch]") {
  DispatcherFixture world;
  world.Engines.Length = 40;
  BatchJob job = makeJob("a", 1);
  world.submit(job);
  REQUIRE(world.runUntil([&] {
    return world.server("e1").Runs.size() + world.server("e2").Runs.size() == 1;
  }));
  world.Context.run_for(Millis(20));
  world.server("e1").Version = 2;
  world.server("e2").Version = 2;
  REQUIRE(world.finishes(job));
  CHECK(world.results(job)[0].Versions == std::vector<WeightVersion>{1, 2});
}

TEST_CASE("An engine whose weights are too old generates nothing",
          "[dispatch]") {
  DispatcherFixture world;
  BatchJob job = makeJob("a", 2);
  job.MinVersion = 2;
  // The registration says so, and the engine has fallen back.
  for (const char *id : {"e1", "e2"}) {
    UpstreamRegistration entry =
        world.View.Servers.Servers[ServerName(id)]->Entry;
    entry.Models = {{Model, 2}};
    registerServer(world.View.Servers, entry);
  }
  world.Dispatch->onFleetChange();
  world.submit(job);
  world.Context.run_for(Millis(100));
  CHECK(world.results(job).empty());
  for (const char *id : {"e1", "e2"}) {
    world.server(id).Version = 2;
    HeldWeights now{{{Model, 2}}, false};
    world.Dispatch->onHeldWeights(ServerName(id), now);
  }
  REQUIRE(world.finishes(job));
  CHECK(world.results(job)[0].Versions == std::vector<WeightVersion>{2});
}

TEST_CASE("An engine that refuses connections does not draw the items",
          "[dispatch]") {
  DispatcherFixture world;
  world.server("e1").Refuses = true;
  world.server("e2").Pace = Millis(5);
  BatchJob job = makeJob("a", 30);
  world.submit(job);
  REQUIRE(world.finishes(job));
  // Its four places at the first look, and a trial now and then.
  CHECK(world.server("e1").Runs.size() <= 8);
}

TEST_CASE("Items of a silent engine are run by another", "[dispatch]") {
  DispatcherFixture world;
  world.server("e1").Unresponsive = true;
  BatchJob job = makeJob("a", 6);
  world.submit(job);
  REQUIRE(world.finishes(job));
  for (const ItemResult &it : world.results(job))
    CHECK(it.Output == wholeText(it.Item.Text, 5));
}

TEST_CASE("A text that turns out long goes on at a faster engine",
          "[dispatch]") {
  DispatcherFixture world;
  world.Engines.Length = 300;
  world.server("e1").Pace = Millis(15);
  world.server("e2").Pace = Millis(10);
  BatchJob job = scoredJob("job", 4);
  world.submit(job);
  REQUIRE(world.finishes(job));
  // All four have room at the faster engine, and go on after what they have.
  CHECK(world.server("e2").Runs.size() >= 4);
  CHECK_FALSE(world.Engines.Resumed.empty());
  for (const ItemResult &it : world.results(job))
    CHECK(it.Output == wholeText(it.Item.Text, 300));
}

TEST_CASE("A run without a first event does not wait as long as a load takes",
          "[dispatch]") {
  DispatcherFixture world;
  world.server("e1").Unresponsive = true;
  world.server("e2").Unresponsive = true;
  BatchJob job = makeJob("a", 1);
  world.submit(job);
  auto runs = [&] {
    return world.server("e1").Runs.size() + world.server("e2").Runs.size();
  };
  REQUIRE(world.runUntil([&] { return runs() == 1; }));
  TimePoint begun = monotonicNow();
  REQUIRE(world.runUntil([&] { return runs() == 2; }));
  CHECK(monotonicNow() - begun < Millis(1000));
}

TEST_CASE("A score that does not come is soon asked for again, then awaited",
          "[dispatch]") {
  DispatcherFixture world;
  world.addServer("j2", Judge);
  world.server("j1").Unresponsive = true;
  world.server("j2").Unresponsive = true;
  BatchJob job = scoredJob("a", 1);
  world.submit(job);
  REQUIRE(
      world.runUntil([&] { return world.Engines.ScoreDeadlines.size() >= 2; }));
  world.server("j1").Unresponsive = false;
  world.server("j2").Unresponsive = false;
  REQUIRE(world.finishes(job));
  CHECK(world.results(job)[0].Status == ItemStatus::Completed);
  CHECK(world.Engines.ScoreDeadlines[0] <= Millis(450));
  CHECK(world.Engines.ScoreDeadlines[1] > Millis(1000));
}

TEST_CASE("An item that fails at every attempt is terminated", "[dispatch]") {
  DispatcherFixture world;
  world.server("e1").Status = 500;
  world.server("e2").Status = 500;
  BatchJob job = makeJob("a", 1);
  world.submit(job);
  REQUIRE(world.finishes(job));
  CHECK(world.results(job)[0].Status == ItemStatus::Terminated);
  CHECK(world.server("e1").Runs.size() + world.server("e2").Runs.size() == 3);
}

TEST_CASE("An item that can never be done is sent once", "[dispatch]") {
  DispatcherFixture world;
  world.server("e1").Status = 422;
  world.server("e2").Status = 422;
  BatchJob job = makeJob("a", 1);
  world.submit(job);
  REQUIRE(world.finishes(job));
  CHECK(world.results(job)[0].Status == ItemStatus::Terminated);
  CHECK(world.server("e1").Runs.size() + world.server("e2").Runs.size() == 1);
}

TEST_CASE("A score is asked for again after a failure, up to the limit",
          "[dispatch]") {
  DispatcherFixture world;
  world.Engines.ScoreStatuses = {500};
  BatchJob job = scoredJob("a", 1);
  world.submit(job);
  REQUIRE(world.finishes(job));
  CHECK(world.results(job)[0].Status == ItemStatus::Completed);
  world.Engines.ScoreStatuses = {500, 500};
  BatchJob next = scoredJob("b", 1);
  world.submit(next);
  REQUIRE(world.finishes(next));
  CHECK(world.results(next)[0].Status == ItemStatus::Terminated);
}

TEST_CASE("An ended job's items go to no engine any more", "[dispatch]") {
  DispatcherFixture world;
  world.Engines.Length = 1000;
  BatchJob job = makeJob("a", 20);
  world.submit(job);
  auto runs = [&] {
    return world.server("e1").Runs.size() + world.server("e2").Runs.size();
  };
  REQUIRE(world.runUntil([&] { return runs() == 8; }));
  world.Store.append("rollout", encodeRecord(JobEnd{job.Id}));
  world.Context.run_for(Millis(100));
  CHECK(runs() == 8);
  CHECK(world.results(job).empty());
}

TEST_CASE("A carried-over item goes on from its text", "[dispatch]") {
  DispatcherFixture world;
  world.Engines.Length = 30;
  BatchJob job = makeJob("a", 1);
  world.submit(job);
  REQUIRE(world.runUntil([&] {
    return world.server("e1").Runs.size() + world.server("e2").Runs.size() == 1;
  }));
  world.Context.run_for(Millis(25));
  world.Store.append("rollout", encodeRecord(JobEnd{job.Id}));
  world.Context.run_for(Millis(20));
  BatchJob next = job;
  next.Id = JobId("b");
  world.submit(next);
  REQUIRE(world.finishes(next));
  CHECK(world.results(next)[0].Output == wholeText("a-0", 30));
  CHECK_FALSE(world.Engines.Resumed.empty());
}

TEST_CASE("The jobs of a more urgent customer run first, whatever their route "
          "says",
          "[dispatch]") {
  DispatcherFixture world;
  std::shared_ptr<RouteTable> routes =
      std::make_shared<RouteTable>(*world.View.Routes);
  routes->Customers =
      CustomerTable::create({{Customer{CustomerName("anna"), 7}, {}},
                             {Customer{CustomerName("bert"), 0}, {}}});
  world.View.Routes = routes;
  // Both wait until the engines answer again, and cannot all run at once.
  for (const char *id : {"e1", "e2"})
    world.server(id).Refuses = true;
  BatchJob first = makeJob("a", 20);
  first.Id.Customer = CustomerName("anna");
  BatchJob urgent = makeJob("b", 4);
  urgent.Id.Customer = CustomerName("bert");
  world.submit(first);
  world.submit(urgent);
  world.Context.run_for(Millis(60));
  for (const char *id : {"e1", "e2"}) {
    world.server(id).Runs.clear();
    world.server(id).Refuses = false;
  }
  REQUIRE(world.finishes(urgent));
  CHECK(world.results(first).size() < 20);
}

TEST_CASE("A text is carried over to jobs of its own customer only",
          "[dispatch]") {
  DispatcherFixture world;
  world.Engines.Length = 30;
  BatchJob job = makeJob("a", 1);
  job.Id.Customer = CustomerName("anna");
  world.submit(job);
  world.Context.run_for(Millis(40));
  world.Store.append("rollout", encodeRecord(JobEnd{job.Id}));
  world.Context.run_for(Millis(20));
  // Another customer's item may have the same name by chance or by guessing.
  BatchJob next = job;
  next.Id = JobId("b", CustomerName("bert"));
  world.submit(next);
  REQUIRE(world.finishes(next));
  CHECK(world.Engines.Resumed.empty());
  CHECK(world.Engines.Customers == std::set<std::string>{"anna", "bert"});
}

TEST_CASE("A carried-over text that lacks only its score is not run again",
          "[dispatch]") {
  DispatcherFixture world;
  world.server("j1").Unresponsive = true;
  BatchJob job = scoredJob("a", 1);
  world.submit(job);
  auto runs = [&] {
    return world.server("e1").Runs.size() + world.server("e2").Runs.size();
  };
  REQUIRE(world.runUntil([&] { return runs() == 1; }));
  world.Context.run_for(Millis(60));
  world.Store.append("rollout", encodeRecord(JobEnd{job.Id}));
  world.Context.run_for(Millis(30));
  world.server("j1").Unresponsive = false;
  BatchJob next = job;
  next.Id = JobId("b");
  world.submit(next);
  REQUIRE(world.finishes(next));
  CHECK(world.results(next)[0].Output == wholeText("a-0", 5));
  CHECK(runs() == 1);
}

TEST_CASE("A text under weights that are too old for the next job is dropped",
          "[dispatch]") {
  DispatcherFixture world;
  world.Engines.Length = 30;
  BatchJob job = makeJob("a", 1);
  world.submit(job);
  world.Context.run_for(Millis(40));
  world.Store.append("rollout", encodeRecord(JobEnd{job.Id}));
  world.Context.run_for(Millis(20));
  for (const char *id : {"e1", "e2"}) {
    world.server(id).Version = 2;
    HeldWeights now{{{Model, 2}}, false};
    world.Dispatch->onHeldWeights(ServerName(id), now);
  }
  BatchJob next = job;
  next.Id = JobId("b");
  next.MinVersion = 2;
  world.submit(next);
  REQUIRE(world.finishes(next));
  CHECK(world.results(next)[0].Versions == std::vector<WeightVersion>{2});
  CHECK(world.Engines.Resumed.empty());
}

TEST_CASE("Work that is handed back is taken up where it was", "[dispatch]") {
  DispatcherFixture world;
  world.Engines.Length = 30;
  BatchJob job = makeJob("a", 2);
  world.submit(job);
  world.Context.run_for(Millis(40));
  std::vector<std::string> texts;
  world.run([&]() -> boost::asio::awaitable<void> {
    texts = co_await world.Dispatch->handOverTexts();
  });
  CHECK(texts.size() == 2);
  for (const std::string &it : texts)
    world.Store.append("rollout", it);
  world.Context.run_for(Millis(20));
  world.Dispatch->activate();
  REQUIRE(world.finishes(job));
  CHECK(world.Engines.Resumed.size() == 2);
  for (const ItemResult &it : world.results(job))
    CHECK(it.Output == wholeText(it.Item.Text, 30));
}

TEST_CASE("A result whose append is lost is appended again", "[dispatch]") {
  DispatcherFixture world;
  world.Store.AppendFaults = {AppendFault::Lost, AppendFault::AnswerLost,
                              AppendFault::Refused};
  BatchJob job = makeJob("a", 3);
  world.submit(job);
  REQUIRE(world.finishes(job));
  CHECK(world.results(job).size() == 3);
}

TEST_CASE("Engines are wanted at the named version, few enough at a time",
          "[dispatch]") {
  DispatcherFixture world;
  world.addServer("e3", Llm);
  world.addServer("e4", Llm);
  world.View.NewestVersions[Model] = 2;
  world.Dispatch->onFleetChange();
  auto wanted = [&] { return world.Store.Topics[WantedTopic].size(); };
  REQUIRE(world.runUntil([&] { return wanted() == 2; }));
  world.Context.run_for(Millis(60));
  CHECK(wanted() == 2);
  for (const std::string &it :
       std::vector<std::string>(world.Store.Topics[WantedTopic])) {
    HeldWeights now{{{Model, 2}}, false};
    world.Dispatch->onHeldWeights(ServerName(it.substr(0, it.find('|'))), now);
  }
  CHECK(world.runUntil([&] { return wanted() == 4; }));
}

TEST_CASE("A step that follows its version finds engines with places",
          "[dispatch]") {
  DispatcherFixture world(Millis(80), Millis(5000));
  world.Engines.Length = 12;
  for (const char *id : {"e1", "e2"}) {
    world.server(id).Version = 2;
    world.Dispatch->onHeldWeights(ServerName(id), {{{Model, 2}}, false});
  }
  world.View.NewestVersions[Model] = 2;
  BatchJob before = makeJob("a", 2);
  before.MinVersion = 1;
  world.submit(before);
  REQUIRE(world.finishes(before));
  auto wanted = [&] { return world.Store.Topics[WantedTopic].size(); };
  world.View.NewestVersions[Model] = 3;
  world.Dispatch->onFleetChange();
  world.Context.run_for(Millis(60));
  CHECK(wanted() == 0);
  // The step is more than the engines have places for: they load when all of it
  // has had one.
  BatchJob job = makeJob("b", 12);
  job.MinVersion = 2;
  world.submit(job);
  REQUIRE(world.runUntil([&] { return wanted() > 0; }));
  std::set<std::string> begun;
  for (const char *id : {"e1", "e2"})
    begun.insert(world.server(id).Runs.begin(), world.server(id).Runs.end());
  CHECK(begun.size() == before.Items.size() + job.Items.size());
}

TEST_CASE("What an engine held before it started again does not count",
          "[dispatch]") {
  DispatcherFixture world;
  for (const char *id : {"e1", "e2"}) {
    UpstreamRegistration entry =
        world.View.Servers.Servers[ServerName(id)]->Entry;
    entry.Start = 1000;
    registerServer(world.View.Servers, entry);
    HeldWeights now{{{Model, 2}}, false, 1000};
    world.Dispatch->onHeldWeights(ServerName(id), now);
  }
  world.View.NewestVersions[Model] = 2;
  world.Dispatch->onFleetChange();
  world.Context.run_for(Millis(60));
  auto wanted = [&] { return world.Store.Topics[WantedTopic]; };
  REQUIRE(wanted().empty());
  // It starts again with older weights, and then the record of the start
  // before is read once more.
  UpstreamRegistration entry =
      world.View.Servers.Servers[ServerName("e1")]->Entry;
  entry.Start = 2000;
  registerServer(world.View.Servers, entry);
  world.Dispatch->onHeldWeights(ServerName("e1"), {{{Model, 2}}, false, 1000});
  world.Dispatch->onFleetChange();
  // Long before its registration would count against what it told.
  constexpr Millis Soon{1500};
  TimePoint end = monotonicNow() + Soon;
  world.runUntil([&] { return !wanted().empty() || monotonicNow() > end; });
  REQUIRE_FALSE(wanted().empty());
  std::string text = wanted().back().substr(wanted().back().find('|') + 1);
  Outcome<WantedWeights> what =
      toOutcome<WantedWeights>([&] { return decodeWanted(text, "test"); });
  REQUIRE(what);
  CHECK(what->Start == 2000);
  CHECK(what->Version == 2);
}

TEST_CASE("Runs of an engine that starts again go on at another",
          "[dispatch]") {
  constexpr Millis Never{60000};
  DispatcherFixture world(Never);
  world.Engines.Length = 40;
  BatchJob job = makeJob("a", 4);
  world.submit(job);
  REQUIRE(world.runUntil([&] {
    return !world.server("e1").Runs.empty() && !world.server("e2").Runs.empty();
  }));
  world.Context.run_for(Millis(20));
  // The crash is seen by nobody: connections stay open and silent.
  world.server("e1").Unresponsive = true;
  UpstreamRegistration entry =
      world.View.Servers.Servers[ServerName("e1")]->Entry;
  entry.Start = 2000;
  registerServer(world.View.Servers, entry);
  world.Dispatch->onFleetChange();
  REQUIRE(world.runUntil([&] { return !world.Engines.Resumed.empty(); }));
  world.server("e1").Unresponsive = false;
  REQUIRE(world.finishes(job));
}

TEST_CASE("What was saved of a long text is not generated again",
          "[dispatch]") {
  DispatcherFixture world;
  world.Engines.Length = 60;
  BatchJob job = makeJob("a", 2);
  world.submit(job);
  auto saved = [&] {
    std::shared_ptr<JobState> known = findJob(world.Log->fold(), job.Id);
    return known && known->Texts.size() == 2 &&
           known->Texts.begin()->second.Text.Events >= 12;
  };
  REQUIRE(world.runUntil(saved));
  // The dispatcher is killed: nothing is handed back.
  world.Dispatch->deactivate();
  world.Context.run_for(Millis(20));
  CHECK(world.Engines.Resumed.empty());
  world.Dispatch->activate();
  REQUIRE(world.finishes(job));
  REQUIRE(world.Engines.Resumed.size() == 2);
  for (std::uint64_t it : world.Engines.Resumed)
    CHECK(it >= 4);
  for (const ItemResult &it : world.results(job))
    CHECK(it.Output == wholeText(it.Item.Text, 60));
}

TEST_CASE("At a takeover the longest texts run again first", "[dispatch]") {
  constexpr std::size_t Items = 20;
  constexpr std::size_t Places = 8;
  DispatcherFixture world;
  world.Engines.Length = Items + 5;
  world.server("e1").Pace = Millis(20);
  world.server("e2").Pace = Millis(20);
  world.Dispatch->deactivate();
  BatchJob job = makeJob("a", Items);
  world.submit(job);
  // Item i has i + 1 events, each saved by itself.
  for (std::size_t event = 1; event <= Items; ++event) {
    for (std::size_t i = event - 1; i < Items; ++i) {
      const ItemId &item = job.Items[i].Id;
      std::string text = item.Text + ":" + std::to_string(event);
      if (event > 1)
        text.insert(0, "\n");
      world.Store.append("payload", text);
      Offset at = world.Store.Topics["payload"].size() - 1;
      world.Store.append("rollout",
                         encodeRecord(PartialTextRecord{job.Id,
                                                        item,
                                                        1,
                                                        event - 1,
                                                        {"", event, {1}, false},
                                                        {{at, text.size()}}}));
    }
  }
  Offset end = world.Store.Topics["rollout"].size();
  REQUIRE(world.runUntil([&] { return world.Log->fold().Next == end; }));
  // Each piece takes a read of its own from here on.
  world.Store.MaxEntries = 1;
  world.Dispatch->activate();
  auto begun = [&] {
    return world.server("e1").Runs.size() + world.server("e2").Runs.size();
  };
  REQUIRE(world.runUntil([&] { return begun() == Places; }));
  for (std::uint64_t after : world.Engines.Resumed)
    CHECK(after > Items - Places - 1);
  REQUIRE(world.finishes(job));
  for (const ItemResult &it : world.results(job))
    CHECK(it.Output == wholeText(it.Item.Text, world.Engines.Length));
}

TEST_CASE("Saves whose outcome is unknown do not spoil a text", "[dispatch]") {
  DispatcherFixture world;
  world.Engines.Length = 60;
  BatchJob job = makeJob("a", 2);
  world.submit(job);
  REQUIRE(world.runUntil(
      [&] { return findJob(world.Log->fold(), job.Id) != nullptr; }));
  world.Store.AppendFaults = {AppendFault::AnswerLost, AppendFault::Lost,
                              AppendFault::AnswerLost, AppendFault::Refused,
                              AppendFault::AnswerLost};
  REQUIRE(world.runUntil([&] { return world.Store.AppendFaults.empty(); }));
  world.Dispatch->deactivate();
  world.Context.run_for(Millis(20));
  world.Dispatch->activate();
  REQUIRE(world.finishes(job));
  for (const ItemResult &it : world.results(job))
    CHECK(it.Output == wholeText(it.Item.Text, 60));
}

TEST_CASE("Texts that the store did not take are saved as soon as it does",
          "[dispatch]") {
  // Processes are killed in the half second after an outage, and the longest
  // texts have generated seconds meanwhile.
  DispatcherFixture world(Millis(80), Millis(0), Millis(300));
  world.Engines.Length = 200;
  world.server("e1").Pace = Millis(10);
  world.server("e2").Pace = Millis(10);
  BatchJob job = makeJob("a", 3);
  world.submit(job);
  auto running = [&] {
    return world.server("e1").Runs.size() + world.server("e2").Runs.size() == 3;
  };
  REQUIRE(world.runUntil(running));
  TimePoint begun = monotonicNow();
  world.Store.AppendFaults = {AppendFault::Refused, AppendFault::Refused};
  auto saved = [&] {
    std::shared_ptr<JobState> known = findJob(world.Log->fold(), job.Id);
    return known && known->Texts.size() == 3;
  };
  REQUIRE(world.runUntil(saved));
  CHECK(monotonicNow() - begun < Millis(550));
}

TEST_CASE("Where one version is allowed a text of two begins anew",
          "[dispatch]") {
  DispatcherFixture world;
  RouteTable table = *world.View.Routes;
  table.Routes[0].SingleVersion = true;
  world.View.Routes = std::make_shared<const RouteTable>(table);
  world.Engines.Length = 30;
  BatchJob job = makeJob("a", 2);
  world.submit(job);
  world.Context.run_for(Millis(30));
  // The weights change under the runs, and what is known of them lags behind.
  for (const char *id : {"e1", "e2"})
    world.server(id).Version = 2;
  REQUIRE(world.finishes(job));
  for (const ItemResult &it : world.results(job)) {
    CHECK(it.Versions == std::vector<WeightVersion>{2});
    CHECK(it.Output == wholeText(it.Item.Text, 30));
  }
}

TEST_CASE("An engine that takes no weights does not hold up the others",
          "[dispatch]") {
  DispatcherFixture world;
  world.View.NewestVersions[Model] = 2;
  world.Dispatch->onFleetChange();
  // Nobody is beside either engine, so each is wanted in turn.
  std::set<std::string> asked;
  CHECK(world.runUntil([&] {
    for (const std::string &it : world.Store.Topics[WantedTopic])
      asked.insert(it.substr(0, it.find('|')));
    return asked.size() == 2;
  }));
}

TEST_CASE("An item that ends its engines is let be, others finish",
          "[dispatch]") {
  DispatcherFixture world;
  for (const char *id : {"e3", "e4", "e5", "e6", "e7", "e8"})
    world.addServer(id, Llm);
  BatchJob job = scoredJob("a", 4);
  world.Engines.Length = 12;
  world.Engines.CrashOn = job.Items[1].Id.Text;
  // At once, or each time a little further on.
  world.Engines.CrashAfterEvents = GENERATE(0U, 2U);
  world.submit(job);
  auto listed = [&] {
    std::shared_ptr<JobState> known = findJob(world.Log->fold(), job.Id);
    return known && known->Results.size() == job.Items.size() - 1;
  };
  CHECK(world.runUntil(listed));
  TimePoint until = monotonicNow() + Millis(300);
  world.runUntil([&] { return monotonicNow() > until; });
  std::size_t ends = 0;
  for (const auto &[id, server] : world.Engines.Servers)
    ends += server.Ended ? 1 : 0;
  // Where an item of its group was beside it each time, one more.
  CHECK(ends >= 3);
  CHECK(ends <= 4);
  CHECK(listed());
}

} // namespace wasabi::batchtest
