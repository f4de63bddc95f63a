/// \file
/// Requests that end each server which begins to run them.
///
/// Seen: all servers of a plain service ended within 0.3 s, were back after
/// seconds and ended again, ten times over; a tenth of all callers went
/// unserved. One request was behind it: each attempt of its caller ended as
/// many servers as its route allows tries, and it came again at any process.
/// Cause: a server's end was taken for a lost answer, which calls for another
/// server, and nothing was known of it at the next attempt. The same held for
/// items and their scoring calls, which are tried until their job ends.
/// Proof: these tests, each of which ended servers for as long as it asked.
#include "IntegrationTests/Harness/Waiting.h"
#include "IntegrationTests/Platform/PlatformFixture.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

namespace wasabi::test {

namespace {

constexpr Millis Patience{20000};
constexpr unsigned Ok = 200;
constexpr unsigned Accepted = 202;
/// Servers that a request may end: three, and one more where another request
/// was beside it each time.
constexpr int MostEnds = 4;
constexpr std::size_t Processes = 3;
constexpr PlatformFixtureSettings Shape{Processes, 3, 4, false};

std::string linesOf(PlatformFixture &World) {
  std::string all;
  for (std::size_t i = 0; i < World.edges(); ++i)
    all += World.edge(i).Running->output();
  return all;
}

/// Results that are listed of a job.
std::size_t listed(PlatformFixture &World, const std::string &Job) {
  unsigned status = 0;
  boost::json::value page = World.results(0, Job, status);
  return status == Ok ? page.at("results").as_array().size() : 0;
}

/// Waits long enough for several more tries, if there were any.
void letMoreTriesCome(PlatformFixture &World) {
  harness::waitUntil([&] { return World.crashCount() > MostEnds; },
                     Millis(2500));
}

} // namespace

TEST_CASE("Platform: a request that ends its servers gets no more") {
  PlatformFixture world(Shape);
  REQUIRE(world.waitUntilAllReady());
  world.setCrashMarker("poison");
  for (const char *path : {"/desk/poison", "/once/poison"}) {
    int before = world.crashCount();
    for (std::size_t i = 0; i < 4 * Processes; ++i) {
      std::string id = path + std::to_string(i);
      // Another caller's request, the same each time, on the same servers.
      std::future<http::Response> beside = std::async(std::launch::async, [&] {
        return world.sendWithBody(i % Processes, "/desk/steady", "s" + id,
                                  "same");
      });
      http::Response got =
          world.sendWithBody((i + 1) % Processes, path, id, "same");
      INFO(i << " " << got.Status << " " << got.Body << linesOf(world));
      CHECK(got.Status >= 502);
      beside.get();
      REQUIRE(world.waitForRestarts());
      CHECK(world.crashCount() - before <= MostEnds);
    }
    CHECK(world.crashCount() - before > 0);
    for (std::size_t i = 0; i < Processes; ++i) {
      INFO(linesOf(world));
      CHECK(harness::waitUntil(
          [&] {
            return world.sendWithBody(i, "/desk/steady", "after", "same")
                       .Status == Ok;
          },
          Patience));
    }
  }
}

TEST_CASE("Platform: an item that ends its engines is let be, others finish") {
  constexpr std::size_t Items = 6;
  PlatformFixture world(Shape);
  REQUIRE(world.waitUntilAllReady());
  world.setCrashMarker("job-2");
  REQUIRE(world.submit(0, "job", Items) == Accepted);
  CHECK(harness::waitUntil([&] { return listed(world, "job") == Items - 1; },
                           Patience));
  letMoreTriesCome(world);
  INFO(linesOf(world));
  CHECK(world.crashCount() <= MostEnds);
  // Whoever dispatches next knows of it.
  for (std::size_t i = 0; i < Processes; ++i) {
    world.edge(i).Running->signal(SIGKILL);
    world.edge(i).Running->wait(Patience);
    world.startEdge(i);
  }
  REQUIRE(world.waitUntilAllReady());
  REQUIRE(world.submit(1, "next", Items) == Accepted);
  REQUIRE(world.waitForResults(1, "next", Items));
  letMoreTriesCome(world);
  CHECK(world.crashCount() <= MostEnds);
  CHECK(listed(world, "job") == Items - 1);
}

TEST_CASE("Platform: a scoring call that ends its servers is let be") {
  constexpr std::size_t Items = 4;
  PlatformFixture world(Shape);
  REQUIRE(world.waitUntilAllReady());
  world.setCrashMarker("score job-1");
  REQUIRE(world.submit(0, "job", Items) == Accepted);
  CHECK(harness::waitUntil([&] { return listed(world, "job") == Items - 1; },
                           Patience));
  letMoreTriesCome(world);
  INFO(linesOf(world));
  CHECK(world.crashCount() <= MostEnds);
  CHECK(world.endJob(0, "job") == Ok);
}

} // namespace wasabi::test
