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

std::unique_ptr<PlatformFixture>
makeUsageFixture(std::size_t Edges, bool UsesFaultProxies = false) {
  PlatformFixtureSettings shape;
  shape.Edges = Edges;
  shape.Engines = 1;
  shape.UsesFaultProxies = UsesFaultProxies;
  shape.Reports = true;
  shape.ReportDueSeconds = 6;
  std::unique_ptr<PlatformFixture> fixture =
      std::make_unique<PlatformFixture>(shape);
  REQUIRE(fixture->waitUntilAllReady());
  fixture->configureCustomers(2,
                              {{"anna", {"key-a"}, 1}, {"bert", {"key-b"}, 1}});
  return fixture;
}

std::vector<ReportCall> calls(PlatformFixture &Fixture) {
  return Fixture.runOnPlatformThread<std::vector<ReportCall>>(
      [&] { return Fixture.reports().Calls; });
}

bool reported(PlatformFixture &Fixture, const Sums &Expected) {
  return harness::waitUntil(
      [&] { return sumReportedUsage(calls(Fixture)) == Expected; },
      WaitTimeout);
}

void checkCalls(PlatformFixture &Fixture) {
  for (const std::string &it : findCallViolations(calls(Fixture), Lease))
    FAIL_CHECK(it);
}

/// Returns the edge process that reports; empty if none has reported.
std::optional<std::size_t> reporter(PlatformFixture &Fixture) {
  std::vector<ReportCall> all = calls(Fixture);
  if (all.empty())
    return std::nullopt;
  return std::stoul(all.back().Holder.substr(std::string("edge-").size()));
}

void askTimes(PlatformFixture &Fixture, const std::string &Key,
              std::size_t Times, std::size_t Edge) {
  Fixture.setCustomerKey(Key);
  for (std::size_t i = 0; i < Times; ++i)
    CHECK(
        Fixture.postRequest(Edge, "/desk/x", Key + std::to_string(i)).Status ==
        Ok);
}

void restart(PlatformFixture &Fixture, std::size_t Edge) {
  Fixture.edge(Edge).Running->signal(SIGKILL);
  REQUIRE(Fixture.edge(Edge).Running->wait(WaitTimeout));
  Fixture.startEdge(Edge);
}

} // namespace

TEST_CASE("Usage: only requests of customers are reported") {
  std::unique_ptr<PlatformFixture> fixture = makeUsageFixture(2);
  askTimes(*fixture, "key-a", 5, 0);
  askTimes(*fixture, "key-a", 2, 1);
  askTimes(*fixture, "key-b", 3, 1);
  CHECK(fixture->postRequest(0, "/stream/s", "s1").Status == Ok);
  // Public requests, batch items and their scoring calls are not counted.
  fixture->setCustomerKey("");
  CHECK(fixture->postRequest(0, "/open/x", "o1").Status == Ok);
  fixture->setCustomerKey("key-a");
  CHECK(fixture->submit(0, "job", 2) == 202);
  CHECK(fixture->waitForResults(0, "job", 2));
  // Requests that no server began to run are not counted either.
  fixture->runOnPlatformThread([&] {
    fixture->plainServer(0).RefusesAsFull = true;
    fixture->plainServer(1).RefusesAsFull = true;
  });
  CHECK(fixture->postRequest(0, "/desk/x", "full").Status == 503);
  CHECK(reported(*fixture, {{"anna", 7}, {"bert", 4}}));
  std::this_thread::sleep_for(Millis(2500));
  CHECK(sumReportedUsage(calls(*fixture)) == Sums{{"anna", 7}, {"bert", 4}});
  checkCalls(*fixture);
}

TEST_CASE("Usage: requests served by a killed process are counted") {
  std::unique_ptr<PlatformFixture> fixture = makeUsageFixture(3);
  for (std::size_t i = 0; i < fixture->edges(); ++i) {
    askTimes(*fixture, "key-a", 2, i);
    // Wait for the asynchronous append.
    std::this_thread::sleep_for(Millis(100));
    restart(*fixture, i);
  }
  REQUIRE(fixture->waitUntilAllReady());
  askTimes(*fixture, "key-b", 1, 0);
  CHECK(reported(*fixture, {{"anna", 6}, {"bert", 1}}));
  checkCalls(*fixture);
}

TEST_CASE("Usage: the successor of a failed or stopped reporter reports no "
          "window differently") {
  std::unique_ptr<PlatformFixture> fixture = makeUsageFixture(3);
  std::uint64_t asked = 0;
  for (int signal : {SIGKILL, SIGSTOP, SIGTERM}) {
    REQUIRE(harness::waitUntil([&] { return reporter(*fixture).has_value(); },
                               WaitTimeout));
    std::size_t now = *reporter(*fixture);
    std::size_t other = (now + 1) % fixture->edges();
    askTimes(*fixture, "key-a", 2, other);
    asked += 2;
    fixture->edge(now).Running->signal(signal);
    askTimes(*fixture, "key-a", 2, other);
    asked += 2;
    REQUIRE(harness::waitUntil([&] { return reporter(*fixture) != now; },
                               WaitTimeout));
    if (signal == SIGSTOP)
      fixture->edge(now).Running->signal(SIGCONT);
    else {
      REQUIRE(fixture->edge(now).Running->wait(WaitTimeout));
      fixture->startEdge(now);
    }
    REQUIRE(fixture->waitUntilAllReady());
  }
  CHECK(reported(*fixture, {{"anna", asked}}));
  checkCalls(*fixture);
}

TEST_CASE("Usage: a reporter disconnected from the store stops, though it "
          "reaches the platform") {
  std::unique_ptr<PlatformFixture> fixture = makeUsageFixture(2, true);
  REQUIRE(harness::waitUntil([&] { return reporter(*fixture).has_value(); },
                             WaitTimeout));
  std::size_t first = *reporter(*fixture);
  std::size_t other = 1 - first;
  fixture->setFaults(fixture->storeLink(first), {{"half_open", true}});
  askTimes(*fixture, "key-a", 3, other);
  REQUIRE(harness::waitUntil([&] { return reporter(*fixture) == other; },
                             WaitTimeout));
  fixture->setFaults(fixture->storeLink(first), {{"half_open", false}});
  CHECK(reported(*fixture, {{"anna", 3}}));
  std::this_thread::sleep_for(Millis(1500));
  checkCalls(*fixture);
}

TEST_CASE("Usage: wasabictl shows the reporter and reported windows") {
  std::unique_ptr<PlatformFixture> fixture = makeUsageFixture(2);
  askTimes(*fixture, "key-a", 3, 0);
  REQUIRE(reported(*fixture, {{"anna", 3}}));
  auto run = [](std::vector<std::string> Arguments) {
    harness::Process::Settings setup;
    setup.Program = "wasabictl";
    setup.Arguments = std::move(Arguments);
    std::unique_ptr<harness::Process> process =
        harness::Process::start(std::move(setup)).value();
    std::optional<harness::ProcessExit> end = process->waitAndRead(WaitTimeout);
    return std::make_pair(end ? end->Code : -1, process->output());
  };
  int code = 0;
  std::string text;
  // The first holder waits for a predecessor whose records may have expired, so
  // that some windows are told one after the other.
  harness::waitUntil(
      [&] {
        std::tie(code, text) =
            run({"--store=" + toText(fixture->store().address()), "usage"});
        return text.find("0 of them not told") != std::string::npos;
      },
      WaitTimeout);
  INFO(text);
  CHECK(code == 0);
  CHECK(text.find("reporter: edge-" + std::to_string(*reporter(*fixture))) !=
        std::string::npos);
  CHECK(text.find("0 of them not told") != std::string::npos);
  CHECK(text.find("counts: edge-0") != std::string::npos);
  CHECK(text.find("counts: edge-1") != std::string::npos);
  CHECK(run({"usage"}).first == 2);
  CHECK(run({"--store=nowhere", "usage"}).first == 2);
  CHECK(run({"--store=127.0.0.1:1", "usage"}).first != 0);
}

TEST_CASE("Usage: refused, unanswered and lost reports are repeated "
          "unchanged") {
  std::unique_ptr<PlatformFixture> fixture = makeUsageFixture(1);
  std::uint64_t asked = 0;
  for (ReportBehavior mood :
       {ReportBehavior::Busy, ReportBehavior::LosesAnswers,
        ReportBehavior::Unresponsive}) {
    fixture->runOnPlatformThread([&] { fixture->reports().setBehavior(mood); });
    askTimes(*fixture, "key-a", 2, 0);
    asked += 2;
    std::this_thread::sleep_for(Millis(2500));
    fixture->runOnPlatformThread(
        [&] { fixture->reports().setBehavior(ReportBehavior::Normal); });
    CHECK(reported(*fixture, {{"anna", asked}}));
  }
  checkCalls(*fixture);
  // No window between the first and the last one is missing.
  std::set<std::uint64_t> windows;
  for (const ReportCall &it : calls(*fixture)) {
    if (it.Taken)
      windows.insert(it.Window);
  }
  CHECK(windows.size() == *windows.rbegin() - *windows.begin() + 1);
}

TEST_CASE("Usage: killing all processes loses and changes no report") {
  std::unique_ptr<PlatformFixture> fixture = makeUsageFixture(2);
  fixture->runOnPlatformThread([&] {
    fixture->reports().setBehavior(ReportBehavior::LosesAnswers);
    fixture->reports().ChecksFences = true;
  });
  askTimes(*fixture, "key-a", 3, 0);
  askTimes(*fixture, "key-b", 2, 1);
  std::this_thread::sleep_for(Millis(1500));
  for (std::size_t i = 0; i < fixture->edges(); ++i)
    restart(*fixture, i);
  REQUIRE(fixture->waitUntilAllReady());
  fixture->runOnPlatformThread(
      [&] { fixture->reports().setBehavior(ReportBehavior::Normal); });
  askTimes(*fixture, "key-b", 1, 0);
  CHECK(reported(*fixture, {{"anna", 3}, {"bert", 3}}));
  checkCalls(*fixture);
}

} // namespace wasabi::test
