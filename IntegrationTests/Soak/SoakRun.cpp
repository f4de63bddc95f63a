#include "IntegrationTests/Soak/SoakRun.h"

#include "IntegrationTests/Harness/Waiting.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <fstream>

namespace wasabi::soak {

namespace {

/// The users' bound for a whole recovery.
constexpr Millis RecoveryLimit{12000};
constexpr unsigned Ok = 200;
constexpr unsigned Accepted = 202;

std::vector<EdgeEndpoints> clientEdges(test::PlatformFixture &World) {
  std::vector<EdgeEndpoints> edges;
  for (std::size_t i = 0; i < World.edges(); ++i)
    edges.push_back(
        {World.edge(i).CallerAddress, World.edge(i).ReadinessAddress});
  return edges;
}

void prepareServers(test::PlatformFixture &World) {
  World.runOnPlatformThread([&] {
    for (std::size_t i = 0; i < World.servers(); ++i) {
      test::PlatformServer &it = World.server(i);
      it.IncludesVersion = true;
      it.MinEvents = 5;
      it.ExtraEvents = 30;
      it.EventDelay = Millis(15);
      it.LoadTime = Millis(300);
      it.Slots = 6;
    }
  });
}

SoakGroundTruth gather(test::PlatformFixture &World, SoakGroundTruth Done) {
  World.runOnPlatformThread([&] {
    for (std::size_t i = 0; i < World.servers(); ++i) {
      test::PlatformServer &it = World.server(i);
      bool engine = i < World.size().Engines;
      std::vector<test::ServerCall> &runs =
          engine ? Done.EngineRuns : Done.PlainRuns;
      runs.insert(runs.end(), it.Runs.begin(), it.Runs.end());
      if (engine)
        Done.Orders.push_back(it.Orders);
    }
  });
  auto byTime = [](const test::ServerCall &L, const test::ServerCall &R) {
    return L.At < R.At;
  };
  std::sort(Done.EngineRuns.begin(), Done.EngineRuns.end(), byTime);
  return Done;
}

/// After the last fault everything must be served again, everywhere.
bool recovers(test::PlatformFixture &World, const std::string &Job,
              std::uint64_t Version) {
  constexpr std::size_t Items = 4;
  std::string route = "/desk-" + std::to_string(Version) + "/";
  auto serves = [&] {
    for (std::size_t i = 0; i < World.edges(); ++i) {
      if (!World.ready(i) ||
          World.postRequest(i, route, HarnessRequestName).Status != Ok)
        return false;
    }
    return true;
  };
  if (!harness::waitUntil(serves, RecoveryLimit))
    return false;
  auto submitted = [&] { return World.submit(0, Job, Items, 1) == Accepted; };
  if (!harness::waitUntil(submitted, RecoveryLimit))
    return false;
  return World.waitForResults(World.edges() - 1, Job, Items);
}

/// What was accepted can be read at every process, as it was read before.
void checkKept(test::PlatformFixture &World, const SoakObservations &Seen,
               std::vector<std::string> &Faults) {
  for (const JobRecord &job : Seen.Jobs) {
    if (!job.Accepted)
      continue;
    for (std::size_t edge = 0; edge < World.edges(); ++edge) {
      unsigned status = 0;
      if (!job.Customer.empty())
        World.setCustomerKey(permanentKey(job.CustomerNumber));
      boost::json::value page = World.results(edge, job.Id, status);
      if (status != Ok) {
        Faults.push_back(job.Id + " can't be read at edge " +
                         std::to_string(edge) + ": " + std::to_string(status));
        continue;
      }
      const boost::json::array &results = page.at("results").as_array();
      for (const auto &[position, text] : job.Seen) {
        bool same = position < results.size() &&
                    boost::json::serialize(results[position]) == text;
        if (!same)
          Faults.push_back(job.Id + " has something else at position " +
                           std::to_string(position));
      }
    }
  }
}

/// All calls once the windows of the last requests have been reported.
std::vector<test::ReportCall> lastReports(test::PlatformFixture &World,
                                          const SoakObservations &Seen) {
  auto calls = [&] {
    return World.runOnPlatformThread<std::vector<test::ReportCall>>(
        [&] { return World.reports().Calls; });
  };
  TimePoint last;
  for (const ClientRequestRecord &it : Seen.Requests)
    last = std::max(last, it.Done);
  // A report that leaves late enough holds all that was counted before it.
  TimePoint until = last + World.reportDueDelay() + Millis(1000);
  harness::waitUntil([&] { return monotonicNow() > until; },
                     World.reportDueDelay() + Millis(2000));
  return calls();
}

void keepLogs(test::PlatformFixture &World, const SoakGroundTruth &Truth,
              std::uint64_t Seed) {
  std::string path = "soak-" + std::to_string(Seed) + ".log";
  std::ofstream file(path);
  file << Truth.Output;
  for (std::size_t i = 0; i < World.edges(); ++i)
    file << World.edge(i).Running->output();
  for (std::size_t i = 0; i < World.size().Engines; ++i)
    file << World.sidecar(i).output();
}

} // namespace

SoakResult runSoakTest(const SoakSize &Size, std::uint64_t Seed,
                       const std::vector<ScheduledFault> &Plan, bool KeepLogs) {
  test::PlatformFixtureSettings shape{Size.Edges, Size.Engines, Size.Desks,
                                      true};
  shape.Reports = Size.Customers > 0;
  if (Size.Customers > 0)
    shape.Customers = makeSoakCustomers(Size.Customers, {});
  test::PlatformFixture world(shape);
  if (Size.Customers > 0)
    world.setCustomerKey(HarnessKey);
  prepareServers(world);
  SoakResult result;
  if (!world.waitUntilAllReady()) {
    result.Faults.push_back("the processes did not become ready");
    keepLogs(world, {}, Seed);
    return result;
  }
  SoakClients::Settings setup;
  setup.Seed = Seed;
  setup.Callers = Size.Callers;
  setup.Trainers = Size.Trainers;
  setup.Crashing = Size.Crashing;
  setup.Customers = Size.Customers;
  if (Size.Crashing > 0)
    world.setCrashMarker(CrashPathPrefix);
  setup.ExpectedEventCount = [&world](const std::string &Item) {
    return world.server(0).eventCount(Item);
  };
  SoakClients clients(setup, clientEdges(world));
  SoakInjector injector(world, clients, Size.Customers);
  injector.runPlan(Plan);
  TimePoint healed = monotonicNow();
  if (!recovers(world, HarnessRequestName, clients.LatestConfigVersion))
    result.Faults.push_back("not all is served again after the last fault");
  result.RecoveryTime =
      std::chrono::duration_cast<Millis>(monotonicNow() - healed);
  clients.stop();

  SoakGroundTruth truth = gather(world, injector.done());
  const SoakObservations &seen = clients.record();
  std::vector<std::string> faults = findViolations(seen, truth);
  if (Size.Customers > 0) {
    truth.Reports = lastReports(world, seen);
    std::vector<std::string> more = findCustomerViolations(seen, truth, {});
    faults.insert(faults.end(), more.begin(), more.end());
  }
  result.Faults.insert(result.Faults.end(), faults.begin(), faults.end());
  checkKept(world, seen, result.Faults);
  for (const ClientRequestRecord &it : seen.Requests)
    result.Served += it.Status == Ok ? 1 : 0;
  result.Asks = seen.Requests.size();
  for (const JobRecord &it : seen.Jobs)
    result.CompleteJobs += it.Seen.size() == it.Items.size() ? 1 : 0;
  result.Jobs = seen.Jobs.size();
  if (KeepLogs || !result.Faults.empty())
    keepLogs(world, truth, Seed);
  return result;
}

} // namespace wasabi::soak
