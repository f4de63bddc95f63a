/// \file
/// Guards against requests that crash each server which runs them: repeats by
/// the caller may not crash further servers. Batch items and their scoring
/// calls stay owed, whatever happens to the servers that run them.
#include "IntegrationTests/Harness/Waiting.h"
#include "IntegrationTests/Platform/PlatformFixture.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

namespace wasabi::test {

namespace {

constexpr Millis WaitTimeout{20000};
constexpr unsigned Ok = 200;
constexpr unsigned Accepted = 202;
/// Number of servers that a request may crash: three, and one more if another
/// request was in flight on the server each time.
constexpr int MaxCrashes = 4;
constexpr std::size_t Processes = 3;
const PlatformFixtureSettings Shape{Processes, 3, 4, false};

std::string collectOutput(PlatformFixture &Fixture) {
  std::string all;
  for (std::size_t i = 0; i < Fixture.edges(); ++i)
    all += Fixture.edge(i).Running->output();
  return all;
}

/// Returns the number of listed results of a job.
std::size_t countResults(PlatformFixture &Fixture, const std::string &Job) {
  unsigned status = 0;
  boost::json::value page = Fixture.results(0, Job, status);
  return status == Ok ? page.at("results").as_array().size() : 0;
}

/// Checks that what crashes servers now is tried again at a bounded rate only.
void checkCrashRate(PlatformFixture &Fixture) {
  // After six crashes the delay between two tries is 2 s.
  constexpr int CrashesBefore = 6;
  constexpr Millis Span{5000};
  constexpr int MaxCrashesInSpan = 3;
  REQUIRE(harness::waitUntil(
      [&] { return Fixture.crashCount() >= CrashesBefore; }, WaitTimeout));
  int before = Fixture.crashCount();
  harness::waitUntil(
      [&] { return Fixture.crashCount() > before + MaxCrashesInSpan; }, Span);
  CHECK(Fixture.crashCount() <= before + MaxCrashesInSpan);
}

} // namespace

TEST_CASE("Platform: a request that crashes servers is quarantined") {
  PlatformFixture fixture(Shape);
  REQUIRE(fixture.waitUntilAllReady());
  fixture.setCrashMarker("poison");
  for (const char *path : {"/desk/poison", "/once/poison"}) {
    int before = fixture.crashCount();
    for (std::size_t i = 0; i < 4 * Processes; ++i) {
      std::string id = path + std::to_string(i);
      // A request of another caller, the same each time, on the same servers.
      std::future<http::Response> beside = std::async(std::launch::async, [&] {
        return fixture.sendWithBody(i % Processes, "/desk/steady", "s" + id,
                                    "same");
      });
      http::Response got =
          fixture.sendWithBody((i + 1) % Processes, path, id, "same");
      INFO(i << " " << got.Status << " " << got.Body << collectOutput(fixture));
      CHECK(got.Status >= 502);
      beside.get();
      REQUIRE(fixture.waitForRestarts());
      CHECK(fixture.crashCount() - before <= MaxCrashes);
    }
    CHECK(fixture.crashCount() - before > 0);
    for (std::size_t i = 0; i < Processes; ++i) {
      INFO(collectOutput(fixture));
      CHECK(harness::waitUntil(
          [&] {
            return fixture.sendWithBody(i, "/desk/steady", "after", "same")
                       .Status == Ok;
          },
          WaitTimeout));
    }
  }
}

// Guards against crashes that count only once they are confirmed: further
// servers crash until then, at other processes, too.
TEST_CASE("Platform: a request is quarantined whose servers still accept "
          "connections while they crash") {
  PlatformFixture fixture(Shape);
  REQUIRE(fixture.waitUntilAllReady());
  fixture.setCrashMarker("poison");
  fixture.setListenerCloseDelay(Millis(50));
  for (const char *path : {"/desk/poison", "/once/poison"}) {
    int before = fixture.crashCount();
    for (std::size_t i = 0; i < 4 * Processes; ++i) {
      std::string id = path + std::to_string(i);
      std::future<http::Response> beside = std::async(std::launch::async, [&] {
        return fixture.sendWithBody(i % Processes, "/desk/steady", "s" + id,
                                    "same");
      });
      http::Response got =
          fixture.sendWithBody((i + 1) % Processes, path, id, "same");
      CHECK(got.Status >= 502);
      beside.get();
      INFO(i << " " << got.Status << " " << got.Body << collectOutput(fixture));
      CHECK(fixture.crashCount() - before <= MaxCrashes);
    }
    CHECK(fixture.crashCount() - before > 0);
    REQUIRE(fixture.waitForRestarts());
    for (std::size_t i = 0; i < Processes; ++i) {
      INFO(collectOutput(fixture));
      CHECK(harness::waitUntil(
          [&] {
            return fixture.sendWithBody(i, "/desk/steady", "after", "same")
                       .Status == Ok;
          },
          WaitTimeout));
    }
  }
}

TEST_CASE("Platform: an item under which engines crash stays owed") {
  constexpr std::size_t Items = 6;
  PlatformFixture fixture(Shape);
  REQUIRE(fixture.waitUntilAllReady());
  fixture.setCrashMarker("job-2");
  bool closesLate = GENERATE(false, true);
  if (closesLate)
    fixture.setListenerCloseDelay(Millis(50));
  REQUIRE(fixture.submit(0, "job", Items) == Accepted);
  CHECK(harness::waitUntil(
      [&] { return countResults(fixture, "job") == Items - 1; }, WaitTimeout));
  checkCrashRate(fixture);
  if (!closesLate) {
    // The next dispatcher takes the item over, and serves other jobs beside it.
    for (std::size_t i = 0; i < Processes; ++i) {
      fixture.edge(i).Running->signal(SIGKILL);
      fixture.edge(i).Running->wait(WaitTimeout);
      fixture.startEdge(i);
    }
    REQUIRE(fixture.waitUntilAllReady());
    REQUIRE(fixture.submit(1, "next", Items) == Accepted);
    REQUIRE(fixture.waitForResults(1, "next", Items));
    CHECK(countResults(fixture, "job") == Items - 1);
  }
  fixture.setCrashMarker("");
  INFO(collectOutput(fixture));
  CHECK(fixture.waitForResults(0, "job", Items));
}

TEST_CASE("Platform: a scoring call under which servers crash stays owed") {
  constexpr std::size_t Items = 4;
  PlatformFixture fixture(Shape);
  REQUIRE(fixture.waitUntilAllReady());
  fixture.setCrashMarker("score job-1");
  REQUIRE(fixture.submit(0, "job", Items) == Accepted);
  CHECK(harness::waitUntil(
      [&] { return countResults(fixture, "job") == Items - 1; }, WaitTimeout));
  checkCrashRate(fixture);
  // Requests of callers beside it are served.
  CHECK(harness::waitUntil(
      [&] {
        return fixture.sendWithBody(0, "/desk/steady", "beside", "same")
                   .Status == Ok;
      },
      WaitTimeout));
  fixture.setCrashMarker("");
  INFO(collectOutput(fixture));
  CHECK(fixture.waitForResults(0, "job", Items));
  CHECK(fixture.endJob(0, "job") == Ok);
}

} // namespace wasabi::test
