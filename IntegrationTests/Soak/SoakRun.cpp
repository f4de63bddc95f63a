#include "IntegrationTests/Soak/SoakRun.h"

#include "IntegrationTests/Harness/Waiting.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <fstream>

namespace wasabi::soak {

namespace {

/// Maximum time of a full recovery that users accept.
constexpr Millis RecoveryTimeout{12000};
constexpr unsigned Ok = 200;
constexpr unsigned Accepted = 202;

std::vector<EdgeEndpoints> makeClientEndpoints(test::PlatformFixture &World) {
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

SoakGroundTruth collectGroundTruth(test::PlatformFixture &World,
                                   SoakGroundTruth Truth) {
  World.runOnPlatformThread([&] {
    for (std::size_t i = 0; i < World.servers(); ++i) {
      test::PlatformServer &it = World.server(i);
      bool engine = i < World.size().Engines;
      std::vector<test::ServerCall> &runs =
          engine ? Truth.EngineRuns : Truth.PlainRuns;
      runs.insert(runs.end(), it.Runs.begin(), it.Runs.end());
      if (engine)
        Truth.Orders.push_back(it.Orders);
    }
  });
  auto byTime = [](const test::ServerCall &L, const test::ServerCall &R) {
    return L.At < R.At;
  };
  std::sort(Truth.EngineRuns.begin(), Truth.EngineRuns.end(), byTime);
  return Truth;
}

/// Waits until all edge processes serve requests and jobs after the last fault.
bool waitForRecovery(test::PlatformFixture &World, const std::string &Job,
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
  if (!harness::waitUntil(serves, RecoveryTimeout))
    return false;
  auto submitted = [&] { return World.submit(0, Job, Items, 1) == Accepted; };
  if (!harness::waitUntil(submitted, RecoveryTimeout))
    return false;
  return World.waitForResults(World.edges() - 1, Job, Items);
}

/// Checks that each model is served after the last fault, and the items of
/// earlier jobs that were not done: they come again under the same ids.
void checkOwedItems(test::PlatformFixture &World, const SoakObservations &Seen,
                    std::vector<std::string> &Violations) {
  constexpr std::size_t MaxItems = 16;
  for (const std::string &model : World.size().Models) {
    std::vector<std::string> items{"owed-" + model};
    for (const JobRecord &job : Seen.Jobs) {
      bool isDone = !job.Accepted || job.Model != model ||
                    job.ReadResults.size() == job.Items.size();
      if (!isDone && items.size() < MaxItems)
        items.insert(items.end(), job.Items.begin(), job.Items.end());
    }
    std::string id = "again-" + model;
    std::string body = test::makeJobBody(id, items, 1, model);
    auto submitted = [&] {
      http::Request request;
      request.Method = "POST";
      request.Target = "/rollout/" + id;
      request.Headers = {{"Host", "host.example"},
                         {"Wasabisail-Request-Id", id}};
      request.Body = body;
      return World.send(0, std::move(request)).Status == Accepted;
    };
    if (!harness::waitUntil(submitted, RecoveryTimeout) ||
        !World.waitForResults(0, id, items.size()))
      Violations.push_back(std::to_string(items.size()) + " items of " + model +
                           " are not done after the last fault");
  }
}

/// Checks that no item was terminated although no server failed any.
void checkTerminated(const SoakObservations &Seen,
                     const std::vector<ScheduledFault> &Plan,
                     std::vector<std::string> &Violations) {
  bool mayFail =
      std::any_of(Plan.begin(), Plan.end(), [](const ScheduledFault &It) {
        return It.Kind == SoakFault::ServerFails;
      });
  for (const JobRecord &job : Seen.Jobs) {
    for (const std::string &it : job.Terminated) {
      if (!mayFail)
        Violations.push_back(it + " was terminated");
    }
  }
}

/// Checks that no edge process has ended by itself. Call it after the last
/// fault, when all of them should run.
void checkEdgesRun(test::PlatformFixture &World,
                   std::vector<std::string> &Violations) {
  for (std::size_t i = 0; i < World.edges(); ++i) {
    std::optional<harness::ProcessExit> end =
        World.edge(i).Running->wait(Millis(0));
    if (end)
      Violations.push_back("edge " + std::to_string(i) + " ended with code " +
                           std::to_string(end->Code));
  }
}

/// Checks that every process returns the results of accepted jobs as they were
/// read before.
void checkAcceptedJobs(test::PlatformFixture &World,
                       const SoakObservations &Seen,
                       std::vector<std::string> &Violations) {
  for (const JobRecord &job : Seen.Jobs) {
    if (!job.Accepted)
      continue;
    for (std::size_t edge = 0; edge < World.edges(); ++edge) {
      unsigned status = 0;
      if (!job.Customer.empty())
        World.setCustomerKey(permanentKey(job.CustomerNumber));
      boost::json::value page = World.results(edge, job.Id, status);
      if (status != Ok) {
        Violations.push_back(job.Id + " can't be read at edge " +
                             std::to_string(edge) + ": " +
                             std::to_string(status));
        continue;
      }
      const boost::json::array &results = page.at("results").as_array();
      for (const auto &[position, text] : job.ReadResults) {
        bool same = position < results.size() &&
                    boost::json::serialize(results[position]) == text;
        if (!same)
          Violations.push_back(job.Id + " has something else at position " +
                               std::to_string(position));
      }
    }
  }
}

/// Waits until the windows of the last requests are reported, and returns all
/// report calls.
std::vector<test::ReportCall> waitForReports(test::PlatformFixture &World,
                                             const SoakObservations &Seen) {
  auto calls = [&] {
    return World.runOnPlatformThread<std::vector<test::ReportCall>>(
        [&] { return World.reports().Calls; });
  };
  TimePoint last;
  for (const ClientRequestRecord &it : Seen.Requests)
    last = std::max(last, it.Done);
  // A report sent after this time contains all earlier counts.
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
  test::PlatformFixtureSettings settings{Size.Edges, Size.Engines, Size.Desks,
                                         true};
  settings.Reports = Size.Customers > 0;
  if (Size.Customers > 0)
    settings.Customers = makeSoakCustomers(Size.Customers, {});
  for (std::size_t i = 1; i < Size.Models; ++i)
    settings.Models.push_back("model-" + std::to_string(i));
  test::PlatformFixture world(settings);
  if (Size.Customers > 0)
    world.setCustomerKey(HarnessKey);
  prepareServers(world);
  SoakResult result;
  if (!world.waitUntilAllReady()) {
    result.Violations.push_back("the processes did not become ready");
    keepLogs(world, {}, Seed);
    return result;
  }
  SoakClients::Settings setup;
  setup.Seed = Seed;
  setup.Callers = Size.Callers;
  setup.Trainers = Size.Trainers;
  setup.CrashingCallers = Size.CrashingCallers;
  setup.Customers = Size.Customers;
  setup.Models = settings.Models;
  setup.UsesNewRoutes =
      std::any_of(Plan.begin(), Plan.end(), [](const ScheduledFault &It) {
        return It.Kind == SoakFault::ConfigurationReadLost;
      });
  if (Size.CrashingCallers > 0)
    world.setCrashMarker(CrashPathPrefix);
  setup.ExpectedEventCount = [&world](const std::string &Item) {
    return world.server(0).eventCount(Item);
  };
  SoakClients clients(setup, makeClientEndpoints(world));
  SoakInjector injector(world, clients, Size.Customers);
  injector.runPlan(Plan);
  TimePoint faultsEnded = monotonicNow();
  if (!waitForRecovery(world, HarnessRequestName, clients.LatestConfigVersion))
    result.Violations.push_back("service did not recover after the last fault");
  checkEdgesRun(world, result.Violations);
  result.RecoveryTime =
      std::chrono::duration_cast<Millis>(monotonicNow() - faultsEnded);
  clients.stop();

  SoakGroundTruth truth = collectGroundTruth(world, injector.groundTruth());
  const SoakObservations &seen = clients.record();
  std::vector<std::string> violations = findViolations(seen, truth);
  if (Size.Customers > 0) {
    truth.Reports = waitForReports(world, seen);
    std::vector<std::string> more = findCustomerViolations(seen, truth, {});
    violations.insert(violations.end(), more.begin(), more.end());
  }
  result.Violations.insert(result.Violations.end(), violations.begin(),
                           violations.end());
  checkAcceptedJobs(world, seen, result.Violations);
  checkTerminated(seen, Plan, result.Violations);
  if (Size.Customers == 0)
    checkOwedItems(world, seen, result.Violations);
  for (const ClientRequestRecord &it : seen.Requests) {
    bool innocent = it.Kind != ClientRequestKind::Crashing;
    result.Served += it.Status == Ok ? 1 : 0;
    result.InnocentRequests += innocent ? 1 : 0;
    result.InnocentServed += innocent && it.Status == Ok ? 1 : 0;
    if (innocent && it.Status != Ok)
      ++result.InnocentFailures[{it.Kind, it.Status}];
  }
  result.Requests = seen.Requests.size();
  for (const JobRecord &it : seen.Jobs)
    result.CompleteJobs += it.ReadResults.size() == it.Items.size() ? 1 : 0;
  result.Jobs = seen.Jobs.size();
  if (KeepLogs || !result.Violations.empty())
    keepLogs(world, truth, Seed);
  return result;
}

} // namespace wasabi::soak
