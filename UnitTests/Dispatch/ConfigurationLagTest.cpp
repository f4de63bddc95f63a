/// Tests of a dispatcher whose configuration is older than that of the process
/// that accepted a job.
#include "UnitTests/Dispatch/DispatcherFixture.h"

namespace wasabi::batchtest {

namespace {

/// A job that was admitted under configuration 2, on a route that configuration
/// 1 lacks.
BatchJob makeNewRouteJob() {
  BatchJob job = scoredJob("a", 4);
  job.AdmittedUnder = 2;
  job.Path = "/new/a";
  for (BatchItem &it : job.Items)
    it.Path = "/new/" + it.Id.Text;
  return job;
}

/// Puts configuration 2 in force, with or without the new route.
void configureNewRoute(DispatcherFixture &Fixture, bool HasRoute) {
  RouteTable table = *Fixture.View.Routes;
  table.Version = 2;
  if (HasRoute) {
    UpstreamRoute route = table.Routes.front();
    route.Prefix = "/new/";
    route.SingleVersion = true;
    table.Routes.push_back(route);
  }
  Fixture.View.Routes = std::make_shared<const RouteTable>(std::move(table));
  Fixture.Dispatch->onFleetChange();
}

std::size_t countRuns(DispatcherFixture &Fixture) {
  return Fixture.server("e1").Runs.size() + Fixture.server("e2").Runs.size();
}

} // namespace

// Guards against items that end without a run because the dispatcher has not
// read the configuration with their route yet.
TEST_CASE("Items wait for the configuration that admitted their job",
          "[dispatch]") {
  DispatcherFixture fixture;
  fixture.OnConfigurationRead = [] { return false; };
  BatchJob job = makeNewRouteJob();
  fixture.submit(job);
  fixture.Context.run_for(Millis(100));
  CHECK(fixture.results(job).empty());
  CHECK(countRuns(fixture) == 0);
  // A failed read is repeated, but not without a pause.
  CHECK(fixture.ConfigurationReads >= 2);
  CHECK(fixture.ConfigurationReads <= 40);
  SECTION("The route is read at once") {
    fixture.OnConfigurationRead = [&fixture] {
      configureNewRoute(fixture, true);
      return true;
    };
    REQUIRE(fixture.finishes(job));
    for (const ItemResult &it : fixture.results(job)) {
      CHECK(it.Status == ItemStatus::Completed);
      CHECK(it.Output == wholeText(it.Item.Text, 5));
    }
  }
  SECTION("The route has ended") {
    configureNewRoute(fixture, false);
    REQUIRE(fixture.finishes(job));
    for (const ItemResult &it : fixture.results(job))
      CHECK(it.Status == ItemStatus::Terminated);
    CHECK(countRuns(fixture) == 0);
  }
}

// Guards against the same for a job whose record does not tell its admission.
TEST_CASE("Items of unknown admission wait for a later configuration",
          "[dispatch]") {
  DispatcherFixture fixture;
  fixture.ConfigurationAsOf = monotonicNow();
  BatchJob job = makeNewRouteJob();
  job.AdmittedUnder = 0;
  fixture.OnConfigurationRead = [] { return false; };
  fixture.submit(job);
  fixture.Context.run_for(Millis(50));
  CHECK(fixture.results(job).empty());
  fixture.OnConfigurationRead = [&fixture] {
    configureNewRoute(fixture, true);
    fixture.ConfigurationAsOf.reset();
    return true;
  };
  REQUIRE(fixture.finishes(job));
  CHECK(fixture.results(job)[0].Status == ItemStatus::Completed);
}

// Guards against a result of two versions on a route that allows one, listed by
// a successor that does not know the route.
TEST_CASE("A complete text waits for the configuration of its job",
          "[dispatch]") {
  DispatcherFixture fixture;
  fixture.OnConfigurationRead = [] { return false; };
  BatchJob job = makeNewRouteJob();
  job.Items.resize(1);
  PartialText text{"of two versions", 5, {1, 2}, true};
  fixture.submit(job);
  fixture.Store.append("rollout", encodeRecord(PartialTextRecord{
                                      job.Id, job.Items[0].Id, 7, 0, text}));
  fixture.Dispatch->deactivate();
  REQUIRE(fixture.runUntil([&] {
    std::shared_ptr<JobState> known = findJob(fixture.Log->fold(), job.Id);
    return known && known->Texts.size() == 1;
  }));
  fixture.Dispatch->activate();
  fixture.Context.run_for(Millis(50));
  CHECK(fixture.Engines.ScoredItems.empty());
  configureNewRoute(fixture, true);
  REQUIRE(fixture.finishes(job));
  CHECK(fixture.results(job)[0].Output == wholeText("a-0", 5));
  CHECK(fixture.results(job)[0].Versions == std::vector<WeightVersion>{1});
}

} // namespace wasabi::batchtest
