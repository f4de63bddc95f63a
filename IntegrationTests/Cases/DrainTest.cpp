/// \file
/// Graceful stops: what is in flight ends whole, and nothing new is lost.
#include "IntegrationTests/Cases/RequestFixture.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

namespace wasabi::test {
namespace {

struct SlowWorld : RequestFixture {
  SlowWorld() {
    addServer("a", "service", {"--latency_ms=700"});
    addDaemon("d1", "lulea-hall", {{"a", "desk"}});
    addEntry("n1", "lulea-hall", {"--drain_grace_ms=300"});
    publish(R"([{"kind":"service","name":"desk","type":"plain"}])");
    waitForServers(1);
  }
  std::future<Outcome<http::Response>> askLater() {
    return std::async(std::launch::async, [this] {
      return ask("n1", plainRequest("desk", "POST", "/quotes"));
    });
  }
};

bool isReady(const Member &Who) {
  Outcome<std::string> ready = harness::getText(Who.Admin, "/readyz");
  return static_cast<bool>(ready);
}

} // namespace

TEST_CASE("Drain: an entry is not ready first, and still takes callers") {
  SlowWorld world;
  Member &entry = world.member("n1");
  REQUIRE(isReady(entry));
  std::future<Outcome<http::Response>> before = world.askLater();
  REQUIRE(harness::waitUntil([&] { return world.runs("a") == 1; }, Patience));
  entry.Child->signal(SIGTERM);
  REQUIRE(harness::waitUntil([&] { return !isReady(entry); }, Patience));
  // The balancer has not seen it yet and sends one more.
  std::future<Outcome<http::Response>> meanwhile = world.askLater();
  entry.Child->signal(SIGTERM);
  for (std::future<Outcome<http::Response>> *it : {&before, &meanwhile}) {
    Outcome<http::Response> told = it->get();
    REQUIRE(told);
    CHECK(told->Status == 200);
  }
  std::optional<harness::ProcessExit> end = entry.Child->wait(Patience);
  REQUIRE(end);
  CHECK(end->Code == 0);
  CHECK(world.runs("a") == 2);
}

TEST_CASE("Drain: a daemon ends its work while the log is down") {
  SlowWorld world;
  Member &daemon = world.member("d1");
  std::future<Outcome<http::Response>> before = world.askLater();
  REQUIRE(harness::waitUntil([&] { return world.runs("a") == 1; }, Patience));
  REQUIRE(world.log().setFaults(R"({"outage":true})"));
  daemon.Child->signal(SIGTERM);
  Outcome<http::Response> told = before.get();
  REQUIRE(told);
  CHECK(told->Status == 200);
  std::optional<harness::ProcessExit> end = daemon.Child->wait(Patience);
  REQUIRE(end);
  CHECK(end->Code == 0);
}

TEST_CASE("Drain: a leaving daemon gets nothing new, its peer takes all") {
  RequestFixture world;
  for (const char *it : {"a", "b"})
    world.addServer(it, "service");
  world.addDaemon("d1", "lulea-hall", {{"a", "desk"}});
  world.addDaemon("d2", "umea-hall", {{"b", "desk"}});
  world.addEntry("n1", "lulea-hall");
  world.publish(R"([{"kind":"service","name":"desk","type":"plain"}])");
  world.waitForServers(2);
  // No request fails on the way, whenever the entry learns of it.
  constexpr int Callers = 8;
  constexpr int Each = 50;
  std::vector<std::future<int>> whole;
  whole.reserve(Callers);
  for (int n = 0; n < Callers; ++n)
    whole.push_back(std::async(std::launch::async, [&world] {
      int good = 0;
      for (int m = 0; m < Each; ++m) {
        Outcome<http::Response> told =
            world.ask("n1", plainRequest("desk", "POST", "/quotes"));
        good += told && told->Status == 200 ? 1 : 0;
      }
      return good;
    }));
  world.member("d1").Child->signal(SIGTERM);
  for (std::future<int> &it : whole)
    CHECK(it.get() == Each);
  CHECK(world.runs("a") + world.runs("b") == std::size_t{Callers} * Each);
  std::optional<harness::ProcessExit> end =
      world.member("d1").Child->wait(Patience);
  REQUIRE(end);
  CHECK(end->Code == 0);
}

} // namespace wasabi::test
