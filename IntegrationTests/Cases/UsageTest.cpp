/// \file
/// Checks that usage of customers is counted by the real processes and reported
/// once for each window, also if the counting or the reporting process fails.
#include "IntegrationTests/Harness/Waiting.h"
#include "IntegrationTests/Platform/PlatformFixture.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <set>

namespace wasabi::test {

namespace {

constexpr unsigned Ok = 200;
constexpr Millis WaitTimeout{30000};
constexpr Millis Lease{3000};

using Sums = std::map<std::string, std::uint64_t>;

std::unique_ptr<PlatformFixture> usageWorld(std::size_t Edges,
                                            bool UsesFaultProxies = false) {
  PlatformFixtureSettings shape;
  shape.Edges = Edges;
  shape.Engines = 1;
  shape.UsesFaultProxies = UsesFaultProxies;
  shape.Reports = true;
  shape.ReportDueSeconds = 6;
  std::unique_ptr<PlatformFixture> world =
      std::make_unique<PlatformFixture>(shape);
  REQUIRE(world->waitUntilAllReady());
  world->configureCustomers(2,
                            {{"anna", {"key-a"}, 1}, {"bert", {"key-b"}, 1}});
  return world;
}

std::vector<ReportCall> calls(PlatformFixture &World) {
  return World.runOnPlatformThread<std::vector<ReportCall>>(
      [&] { return World.reports().Calls; });
}

bool reported(PlatformFixture &World, const Sums &What) {
  return harness::waitUntil(
      [&] { return sumReportedUsage(calls(World)) == What; }, WaitTimeout);
}

void checkCalls(PlatformFixture &World) {
  for (const std::string &it : findCallViolations(calls(World), Lease))
    FAIL_CHECK(it);
}

/// Returns the edge process that reports; empty if none has reported.
std::optional<std::size_t> reporter(PlatformFixture &World) {
  std::vector<ReportCall> all = calls(World);
  if (all.empty())
    return std::nullopt;
  return std::stoul(all.back().Holder.substr(std::string("edge-").size()));
}

void askTimes(PlatformFixture &World, const std::string &Key, std::size_t Times,
              std::size_t Edge) {
  World.setCustomerKey(Key);
  for (std::size_t i = 0; i < Times; ++i)
    CHECK(World.postRequest(Edge, "/desk/x", Key + std::to_string(i)).Status ==
          Ok);
}

void restart(PlatformFixture &World, std::size_t Edge) {
  World.edge(Edge).Running->signal(SIGKILL);
  REQUIRE(World.edge(Edge).Running->wait(WaitTimeout));
  World.startEdge(Edge);
}

} // namespace

TEST_CASE("Usage: only requests of customers are reported") {
  std::unique_ptr<PlatformFixture> world = usageWorld(2);
  askTimes(*world, "key-a", 5, 0);
  askTimes(*world, "key-a", 2, 1);
  askTimes(*world, "key-b", 3, 1);
  CHECK(world->postRequest(0, "/stream/s", "s1").Status == Ok);
  // Public requests, batch items and their scoring calls are not counted.
  world->setCustomerKey("");
  CHECK(world->postRequest(0, "/open/x", "o1").Status == Ok);
  world->setCustomerKey("key-a");
  CHECK(world->submit(0, "job", 2) == 202);
  CHECK(world->waitForResults(0, "job", 2));
  // Requests that no server began to run are not counted either.
  world->runOnPlatformThread([&] {
    world->plainServer(0).RefusesAsFull = true;
    world->plainServer(1).RefusesAsFull = true;
  });
  CHECK(world->postRequest(0, "/desk/x", "full").Status == 503);
  CHECK(reported(*world, {{"anna", 7}, {"bert", 4}}));
  std::this_thread::sleep_for(Millis(2500));
  CHECK(sumReportedUsage(calls(*world)) == Sums{{"anna", 7}, {"bert", 4}});
  checkCalls(*world);
}

TEST_CASE("Usage: requests served by a killed process are counted") {
  std::unique_ptr<PlatformFixture> world = usageWorld(3);
  for (std::size_t i = 0; i < world->edges(); ++i) {
    askTimes(*world, "key-a", 2, i);
    // Wait for the asynchronous append.
    std::this_thread::sleep_for(Millis(100));
    restart(*world, i);
  }
  REQUIRE(world->waitUntilAllReady());
  askTimes(*world, "key-b", 1, 0);
  CHECK(reported(*world, {{"anna", 6}, {"bert", 1}}));
  checkCalls(*world);
}

TEST_CASE("Usage: a reporter that is killed, frozen or stopped has a successor "
          "that tells no window otherwise") {
  std::unique_ptr<PlatformFixture> world = usageWorld(3);
  std::uint64_t asked = 0;
  for (int signal : {SIGKILL, SIGSTOP, SIGTERM}) {
    REQUIRE(harness::waitUntil([&] { return reporter(*world).has_value(); },
                               WaitTimeout));
    std::size_t now = *reporter(*world);
    std::size_t other = (now + 1) % world->edges();
    askTimes(*world, "key-a", 2, other);
    asked += 2;
    world->edge(now).Running->signal(signal);
    askTimes(*world, "key-a", 2, other);
    asked += 2;
    REQUIRE(harness::waitUntil([&] { return reporter(*world) != now; },
                               WaitTimeout));
    if (signal == SIGSTOP)
      world->edge(now).Running->signal(SIGCONT);
    else {
      REQUIRE(world->edge(now).Running->wait(WaitTimeout));
      world->startEdge(now);
    }
    REQUIRE(world->waitUntilAllReady());
  }
  CHECK(reported(*world, {{"anna", asked}}));
  checkCalls(*world);
}

TEST_CASE("Usage: a reporter cut off from the store calls no more, though it "
          "reaches the platform") {
  std::unique_ptr<PlatformFixture> world = usageWorld(2, true);
  REQUIRE(harness::waitUntil([&] { return reporter(*world).has_value(); },
                             WaitTimeout));
  std::size_t first = *reporter(*world);
  std::size_t other = 1 - first;
  world->setFaults(world->storeLink(first), {{"half_open", true}});
  askTimes(*world, "key-a", 3, other);
  REQUIRE(harness::waitUntil([&] { return reporter(*world) == other; },
                             WaitTimeout));
  world->setFaults(world->storeLink(first), {{"half_open", false}});
  CHECK(reported(*world, {{"anna", 3}}));
  std::this_thread::sleep_for(Millis(1500));
  checkCalls(*world);
}

TEST_CASE("Usage: wasabictl shows the reporter and reported windows") {
  std::unique_ptr<PlatformFixture> world = usageWorld(2);
  askTimes(*world, "key-a", 3, 0);
  REQUIRE(reported(*world, {{"anna", 3}}));
  auto run = [](std::vector<std::string> Arguments) {
    harness::Process::Settings setup;
    setup.Program = "wasabictl";
    setup.Arguments = std::move(Arguments);
    std::unique_ptr<harness::Process> process =
        harness::Process::start(std::move(setup)).value();
    std::optional<harness::ProcessExit> end = process->waitAndRead(WaitTimeout);
    return std::make_pair(end ? end->Code : -1, process->output());
  };
  auto [code, text] =
      run({"--store=" + toText(world->store().address()), "usage"});
  INFO(text);
  CHECK(code == 0);
  CHECK(text.find("reporter: edge-" + std::to_string(*reporter(*world))) !=
        std::string::npos);
  CHECK(text.find("0 of them not told") != std::string::npos);
  CHECK(text.find("counts: edge-0") != std::string::npos);
  CHECK(text.find("counts: edge-1") != std::string::npos);
  CHECK(run({"usage"}).first == 2);
  CHECK(run({"--store=nowhere", "usage"}).first == 2);
  CHECK(run({"--store=127.0.0.1:1", "usage"}).first != 0);
}

TEST_CASE("Usage: reports that are refused, unanswered or lost come again as "
          "they were") {
  std::unique_ptr<PlatformFixture> world = usageWorld(1);
  std::uint64_t asked = 0;
  for (ReportBehavior mood :
       {ReportBehavior::Busy, ReportBehavior::LosesAnswers,
        ReportBehavior::Unresponsive}) {
    world->runOnPlatformThread([&] { world->reports().setBehavior(mood); });
    askTimes(*world, "key-a", 2, 0);
    asked += 2;
    std::this_thread::sleep_for(Millis(2500));
    world->runOnPlatformThread(
        [&] { world->reports().setBehavior(ReportBehavior::Normal); });
    CHECK(reported(*world, {{"anna", asked}}));
  }
  checkCalls(*world);
  // No window between the first and the last one is missing.
  std::set<std::uint64_t> windows;
  for (const ReportCall &it : calls(*world)) {
    if (it.Taken)
      windows.insert(it.Window);
  }
  CHECK(windows.size() == *windows.rbegin() - *windows.begin() + 1);
}

TEST_CASE(
    "Usage: all processes may end, and nothing is told otherwise or lost") {
  std::unique_ptr<PlatformFixture> world = usageWorld(2);
  world->runOnPlatformThread([&] {
    world->reports().setBehavior(ReportBehavior::LosesAnswers);
    world->reports().ChecksFences = true;
  });
  askTimes(*world, "key-a", 3, 0);
  askTimes(*world, "key-b", 2, 1);
  std::this_thread::sleep_for(Millis(1500));
  for (std::size_t i = 0; i < world->edges(); ++i)
    restart(*world, i);
  REQUIRE(world->waitUntilAllReady());
  world->runOnPlatformThread(
      [&] { world->reports().setBehavior(ReportBehavior::Normal); });
  askTimes(*world, "key-b", 1, 0);
  CHECK(reported(*world, {{"anna", 3}, {"bert", 3}}));
  checkCalls(*world);
}

} // namespace wasabi::test
