/// \file
/// Guards against requests that crash each server which runs them: neither
/// repeats by the caller nor retries of batch items and scoring calls may crash
/// further servers.
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
constexpr PlatformFixtureSettings Shape{Processes, 3, 4, false};

std::string collectOutput(PlatformFixture &World) {
  std::string all;
  for (std::size_t i = 0; i < World.edges(); ++i)
    all += World.edge(i).Running->output();
  return all;
}

/// Returns the listed results of a job.
std::size_t countResults(PlatformFixture &World, const std::string &Job) {
  unsigned status = 0;
  boost::json::value page = World.results(0, Job, status);
  return status == Ok ? page.at("results").as_array().size() : 0;
}

/// Waits long enough for several further attempts.
void waitForFurtherAttempts(PlatformFixture &World) {
  harness::waitUntil([&] { return World.crashCount() > MaxCrashes; },
                     Millis(2500));
}

} // namespace

TEST_CASE("Platform: a request that crashes servers is quarantined") {
  PlatformFixture world(Shape);
  REQUIRE(world.waitUntilAllReady());
  world.setCrashMarker("poison");
  for (const char *path : {"/desk/poison", "/once/poison"}) {
    int before = world.crashCount();
    for (std::size_t i = 0; i < 4 * Processes; ++i) {
      std::string id = path + std::to_string(i);
      // A request of another caller, the same each time, on the same servers.
      std::future<http::Response> beside = std::async(std::launch::async, [&] {
        return world.sendWithBody(i % Processes, "/desk/steady", "s" + id,
                                  "same");
      });
      http::Response got =
          world.sendWithBody((i + 1) % Processes, path, id, "same");
      INFO(i << " " << got.Status << " " << got.Body << collectOutput(world));
      CHECK(got.Status >= 502);
      beside.get();
      REQUIRE(world.waitForRestarts());
      CHECK(world.crashCount() - before <= MaxCrashes);
    }
    CHECK(world.crashCount() - before > 0);
    for (std::size_t i = 0; i < Processes; ++i) {
      INFO(collectOutput(world));
      CHECK(harness::waitUntil(
          [&] {
            return world.sendWithBody(i, "/desk/steady", "after", "same")
                       .Status == Ok;
          },
          WaitTimeout));
    }
  }
}

TEST_CASE("Platform: an item that crashes engines is quarantined") {
  constexpr std::size_t Items = 6;
  PlatformFixture world(Shape);
  REQUIRE(world.waitUntilAllReady());
  world.setCrashMarker("job-2");
  REQUIRE(world.submit(0, "job", Items) == Accepted);
  CHECK(harness::waitUntil(
      [&] { return countResults(world, "job") == Items - 1; }, WaitTimeout));
  waitForFurtherAttempts(world);
  INFO(collectOutput(world));
  CHECK(world.crashCount() <= MaxCrashes);
  // The next dispatcher knows of the quarantine.
  for (std::size_t i = 0; i < Processes; ++i) {
    world.edge(i).Running->signal(SIGKILL);
    world.edge(i).Running->wait(WaitTimeout);
    world.startEdge(i);
  }
  REQUIRE(world.waitUntilAllReady());
  REQUIRE(world.submit(1, "next", Items) == Accepted);
  REQUIRE(world.waitForResults(1, "next", Items));
  waitForFurtherAttempts(world);
  CHECK(world.crashCount() <= MaxCrashes);
  CHECK(countResults(world, "job") == Items - 1);
}

TEST_CASE("Platform: a scoring call that crashes servers is quarantined") {
  constexpr std::size_t Items = 4;
  PlatformFixture world(Shape);
  REQUIRE(world.waitUntilAllReady());
  world.setCrashMarker("score job-1");
  REQUIRE(world.submit(0, "job", Items) == Accepted);
  CHECK(harness::waitUntil(
      [&] { return countResults(world, "job") == Items - 1; }, WaitTimeout));
  waitForFurtherAttempts(world);
  INFO(collectOutput(world));
  CHECK(world.crashCount() <= MaxCrashes);
  CHECK(world.endJob(0, "job") == Ok);
}

} // namespace wasabi::test
