/// \file
/// Checks that planned stops complete the requests in flight and lose no new
/// ones.
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

bool isReady(const MemberProcess &Who) {
  Outcome<std::string> ready = harness::getText(Who.Admin, "/readyz");
  return static_cast<bool>(ready);
}

} // namespace

TEST_CASE("Drain: a stopping entry reports not ready and still serves") {
  SlowWorld world;
  MemberProcess &entry = world.member("n1");
  REQUIRE(isReady(entry));
  std::future<Outcome<http::Response>> before = world.askLater();
  REQUIRE(
      harness::waitUntil([&] { return world.runs("a") == 1; }, WaitTimeout));
  entry.Child->signal(SIGTERM);
  REQUIRE(harness::waitUntil([&] { return !isReady(entry); }, WaitTimeout));
  // The balancer has not noticed yet and sends one more request.
  std::future<Outcome<http::Response>> meanwhile = world.askLater();
  entry.Child->signal(SIGTERM);
  for (std::future<Outcome<http::Response>> *it : {&before, &meanwhile}) {
    Outcome<http::Response> told = it->get();
    REQUIRE(told);
    CHECK(told->Status == 200);
  }
  std::optional<harness::ProcessExit> end = entry.Child->wait(WaitTimeout);
  REQUIRE(end);
  CHECK(end->Code == 0);
  CHECK(world.runs("a") == 2);
}

TEST_CASE("Drain: a daemon completes its work while the log is down") {
  SlowWorld world;
  MemberProcess &daemon = world.member("d1");
  std::future<Outcome<http::Response>> before = world.askLater();
  REQUIRE(
      harness::waitUntil([&] { return world.runs("a") == 1; }, WaitTimeout));
  REQUIRE(world.log().setFaults(R"({"outage":true})"));
  daemon.Child->signal(SIGTERM);
  Outcome<http::Response> told = before.get();
  REQUIRE(told);
  CHECK(told->Status == 200);
  std::optional<harness::ProcessExit> end = daemon.Child->wait(WaitTimeout);
  REQUIRE(end);
  CHECK(end->Code == 0);
}

TEST_CASE("Drain: new requests go to the peer of a leaving daemon") {
  RequestFixture world;
  for (const char *it : {"a", "b"})
    world.addServer(it, "service");
  world.addDaemon("d1", "lulea-hall", {{"a", "desk"}});
  world.addDaemon("d2", "umea-hall", {{"b", "desk"}});
  world.addEntry("n1", "lulea-hall");
  world.publish(R"([{"kind":"service","name":"desk","type":"plain"}])");
  world.waitForServers(2);
  // No request fails, regardless of when the entry notices the stop.
  constexpr int Callers = 8;
  constexpr int Each = 50;
  std::vector<std::future<int>> whole;
  whole.reserve(Callers);
  for (int n = 0; n < Callers; ++n)
    whole.push_back(std::async(std::launch::async, [&world] {
      int good = 0;
      for (int m = 0; m < Each; ++m) {
        Outcome<http::Response> told =
            world.sendRequest("n1", plainRequest("desk", "POST", "/quotes"));
        good += told && told->Status == 200 ? 1 : 0;
      }
      return good;
    }));
  world.member("d1").Child->signal(SIGTERM);
  for (std::future<int> &it : whole)
    CHECK(it.get() == Each);
  CHECK(world.runs("a") + world.runs("b") == std::size_t{Callers} * Each);
  std::optional<harness::ProcessExit> end =
      world.member("d1").Child->wait(WaitTimeout);
  REQUIRE(end);
  CHECK(end->Code == 0);
}

} // namespace wasabi::test
