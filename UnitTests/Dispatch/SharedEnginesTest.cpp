/// Tests of a dispatcher with more models than engines, and with several
/// services of engines.
#include "UnitTests/Dispatch/DispatcherFixture.h"

namespace wasabi::batchtest {

namespace {

const std::vector<ModelName> Models{ModelName("model"), ModelName("second"),
                                    ModelName("third"), ModelName("fourth")};

const ServiceName Other("other");

/// Registers an engine that holds version 1 of `Held`.
void registerEngine(DispatcherFixture &Fixture, const std::string &Id,
                    const ServiceName &Service,
                    const std::vector<ModelName> &Held) {
  UpstreamRegistration entry;
  entry.Id = ServerName(Id);
  entry.Service = Service;
  entry.Slots = 4;
  for (const ModelName &it : Held)
    entry.Models[it] = 1;
  registerServer(Fixture.View.Servers, entry);
  Fixture.Engines.Servers[entry.Id];
}

/// Lets the service of the fixture serve the first `ModelCount` models with
/// `EngineCount` engines, which hold all of them.
void serveModels(DispatcherFixture &Fixture, std::size_t ModelCount,
                 std::size_t EngineCount) {
  auto count = static_cast<std::ptrdiff_t>(ModelCount);
  std::vector<ModelName> models(Models.begin(), Models.begin() + count);
  RouteTable table = *Fixture.View.Routes;
  table.Version = 2;
  table.Services.front().Engine->Models = models;
  Fixture.View.Routes = std::make_shared<const RouteTable>(std::move(table));
  unregisterServer(Fixture.View.Servers, ServerName("e2"), monotonicNow());
  for (std::size_t i = 1; i <= EngineCount; ++i)
    registerEngine(Fixture, "e" + std::to_string(i), Llm, models);
  Fixture.Dispatch->onFleetChange();
}

/// Publishes version 2 of the configuration, with a second service of the same
/// model to which no route leads, and returns it.
RouteTable addOtherService(DispatcherFixture &Fixture) {
  RouteTable table = *Fixture.View.Routes;
  table.Version = 2;
  UpstreamService service = table.Services.front();
  service.Name = Other;
  table.Services.push_back(service);
  Fixture.View.Routes = std::make_shared<const RouteTable>(table);
  return table;
}

BatchJob makeJobOf(const ModelName &Model, std::size_t Items) {
  BatchJob job = makeJob(Model.Text, Items);
  job.Model = Model;
  return job;
}

} // namespace

// Guards against models whose items reach no engine because others hold all.
TEST_CASE("Each of three models is served by two engines", "[dispatch]") {
  DispatcherFixture fixture;
  serveModels(fixture, 3, 2);
  std::vector<BatchJob> jobs;
  for (std::size_t i = 0; i < 3; ++i) {
    jobs.push_back(makeJobOf(Models[i], 10));
    fixture.submit(jobs.back());
  }
  for (const BatchJob &it : jobs) {
    REQUIRE(fixture.finishes(it));
    for (const ItemResult &result : fixture.results(it))
      CHECK(result.Output == wholeText(result.Item.Text, 5));
  }
}

// Guards against a number of models and engines with which a model gets no
// engine, at first or once the other models have finished.
TEST_CASE("Each model is served, however many models and engines there are",
          "[dispatch]") {
  std::size_t models = GENERATE(1U, 2U, 3U, 4U);
  std::size_t engines = GENERATE(1U, 2U, 3U, 4U, 5U);
  INFO(models << " models, " << engines << " engines");
  DispatcherFixture fixture;
  serveModels(fixture, models, engines);
  std::vector<BatchJob> jobs;
  for (std::size_t i = 0; i < models; ++i) {
    jobs.push_back(makeJobOf(Models[i], 6));
    fixture.submit(jobs.back());
  }
  for (const BatchJob &it : jobs)
    REQUIRE(fixture.finishes(it));
  BatchJob last = makeJobOf(Models[models - 1], 6);
  last.Id = JobId("last");
  for (BatchItem &it : last.Items)
    it.Id = ItemId("last-" + it.Id.Text);
  fixture.submit(last);
  CHECK(fixture.finishes(last));
}

// Guards against a model whose last engine is lost while it has work.
TEST_CASE("The models of a lost engine are served by the one that is left",
          "[dispatch]") {
  DispatcherFixture fixture;
  serveModels(fixture, 3, 2);
  fixture.Engines.EventsPerText = 20;
  std::vector<BatchJob> jobs;
  for (std::size_t i = 0; i < 3; ++i) {
    jobs.push_back(makeJobOf(Models[i], 6));
    fixture.submit(jobs.back());
  }
  REQUIRE(fixture.runUntil([&] { return !fixture.server("e2").Runs.empty(); }));
  fixture.server("e2").Crashed = true;
  fixture.server("e2").BreakAfterEvents = 1;
  unregisterServer(fixture.View.Servers, ServerName("e2"), monotonicNow());
  fixture.Dispatch->onFleetChange();
  for (const BatchJob &it : jobs)
    REQUIRE(fixture.finishes(it));
}

// Guards against engines that are assigned a model which their service does not
// have, while the model's items wait.
TEST_CASE("An engine is assigned only models of its service", "[dispatch]") {
  DispatcherFixture fixture;
  RouteTable table = *fixture.View.Routes;
  table.Version = 2;
  UpstreamService service;
  service.Name = Other;
  service.Engine = EngineTraits{4, {Models[1]}};
  table.Services.push_back(service);
  UpstreamRoute route = table.Routes.front();
  route.Prefix = "/other/";
  route.Services = {{Other, 1}};
  table.Routes.push_back(route);
  fixture.View.Routes = std::make_shared<const RouteTable>(std::move(table));
  registerEngine(fixture, "o1", Other, {Models[1]});
  fixture.Dispatch->onFleetChange();
  BatchJob first = makeJobOf(Models[0], 12);
  BatchJob second = makeJobOf(Models[1], 6);
  second.Path = "/other/second";
  for (BatchItem &it : second.Items)
    it.Path = "/other/" + it.Id.Text;
  fixture.submit(first);
  fixture.submit(second);
  REQUIRE(fixture.finishes(first));
  REQUIRE(fixture.finishes(second));
  CHECK(fixture.server("o1").Runs.size() == 6);
}

// Guards against items that run at a service to which their route does not
// lead, since its engines have the model, too.
TEST_CASE("Items run only at the services of their route", "[dispatch]") {
  DispatcherFixture fixture;
  RouteTable table = addOtherService(fixture);
  registerEngine(fixture, "o1", Other, {Models[0]});
  registerEngine(fixture, "o2", Other, {Models[0]});
  fixture.Dispatch->onFleetChange();
  fixture.Engines.EventsPerText = 20;
  BatchJob first = makeJobOf(Models[0], 30);
  first.AdmittedUnder = 2;
  fixture.submit(first);
  REQUIRE(fixture.finishes(first));
  CHECK(fixture.server("o1").Runs.empty());
  CHECK(fixture.server("o2").Runs.empty());
  // The route moves while items wait.
  BatchJob second = first;
  second.Id = JobId("next");
  for (BatchItem &it : second.Items)
    it.Id = ItemId("next-" + it.Id.Text);
  fixture.submit(second);
  auto runs = [&] {
    return fixture.server("e1").Runs.size() + fixture.server("e2").Runs.size();
  };
  std::size_t before = runs();
  // All slots are taken, and the other items wait.
  REQUIRE(fixture.runUntil([&] { return runs() == before + 8; }));
  table.Version = 3;
  table.Routes.front().Services = {{Other, 1}};
  fixture.View.Routes = std::make_shared<const RouteTable>(table);
  fixture.Dispatch->onFleetChange();
  before = runs();
  REQUIRE(fixture.finishes(second));
  CHECK(runs() == before);
  CHECK_FALSE(fixture.server("o1").Runs.empty());
}

// Guards against items that wait since the engine of their service has failed
// once, while the model has sound engines in a service to which they can't go.
TEST_CASE("An engine that failed is tried if its service has no other",
          "[dispatch]") {
  DispatcherFixture fixture;
  RouteTable table = addOtherService(fixture);
  table.Routes.front().Services = {{Other, 1}};
  fixture.View.Routes = std::make_shared<const RouteTable>(table);
  registerEngine(fixture, "o1", Other, {Models[0]});
  fixture.Dispatch->onFleetChange();
  std::shared_ptr<UpstreamServer> server =
      fixture.View.Servers.Servers.at(ServerName("o1"));
  server->SuspectUntil = monotonicNow() + Millis(60000);
  BatchJob job = makeJobOf(Models[0], 4);
  job.AdmittedUnder = 2;
  fixture.submit(job);
  CHECK(fixture.finishes(job));
}

// Guards against loads of weights that the engines of a service can't have.
TEST_CASE("No engine is lent to a model that its service does not have",
          "[dispatch]") {
  DispatcherFixture fixture;
  BatchJob foreign = makeJobOf(Models[1], 4);
  fixture.submit(foreign);
  fixture.View.NewestVersions[Models[1]] = 2;
  fixture.Dispatch->onFleetChange();
  fixture.Context.run_for(Millis(100));
  for (const std::string &it : fixture.Store.Topics[WantedTopic])
    CHECK(it.find(Models[1].Text) == std::string::npos);
  BatchJob own = makeJobOf(Models[0], 4);
  fixture.submit(own);
  REQUIRE(fixture.finishes(own));
}

} // namespace wasabi::batchtest
