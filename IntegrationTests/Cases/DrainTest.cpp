/// \file
/// Checks that planned stops complete the requests in flight and lose no new
/// ones.
#include "IntegrationTests/Cases/RequestFixture.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

namespace wasabi::test {
namespace {

struct SlowServerFixture : RequestFixture {
  SlowServerFixture() {
    addServer("a", "service", {"--latency_ms=700"});
    addDaemon("d1", "lulea-hall", {{"a", "desk"}});
    addEntry("n1", "lulea-hall", {"--drain_grace_ms=300"});
    publish(R"([{"kind":"service","name":"desk","type":"plain"}])");
    waitForServers(1);
  }
  std::future<Outcome<http::Response>> askLater() {
    return std::async(std::launch::async, [this] {
      return sendRequest("n1", plainRequest("desk", "POST", "/quotes"));
    });
  }
};

bool isReady(const MemberProcess &Process) {
  Outcome<std::string> ready = harness::getText(Process.Admin, "/readyz");
  return static_cast<bool>(ready);
}

} // namespace

TEST_CASE("Drain: a stopping entry reports not ready and still serves") {
  SlowServerFixture fixture;
  MemberProcess &entry = fixture.member("n1");
  REQUIRE(isReady(entry));
  std::future<Outcome<http::Response>> before = fixture.askLater();
  REQUIRE(
      harness::waitUntil([&] { return fixture.runs("a") == 1; }, WaitTimeout));
  entry.Child->signal(SIGTERM);
  REQUIRE(harness::waitUntil([&] { return !isReady(entry); }, WaitTimeout));
  // The balancer has not noticed yet and sends one more request.
  std::future<Outcome<http::Response>> meanwhile = fixture.askLater();
  entry.Child->signal(SIGTERM);
  for (std::future<Outcome<http::Response>> *it : {&before, &meanwhile}) {
    Outcome<http::Response> answer = it->get();
    REQUIRE(answer);
    CHECK(answer->Status == 200);
  }
  std::optional<harness::ProcessExit> end = entry.Child->wait(WaitTimeout);
  REQUIRE(end);
  CHECK(end->Code == 0);
  CHECK(fixture.runs("a") == 2);
}

TEST_CASE("Drain: a daemon completes its work while the log is down") {
  SlowServerFixture fixture;
  MemberProcess &daemon = fixture.member("d1");
  std::future<Outcome<http::Response>> before = fixture.askLater();
  REQUIRE(
      harness::waitUntil([&] { return fixture.runs("a") == 1; }, WaitTimeout));
  REQUIRE(fixture.log().setFaults(R"({"outage":true})"));
  daemon.Child->signal(SIGTERM);
  Outcome<http::Response> answer = before.get();
  REQUIRE(answer);
  CHECK(answer->Status == 200);
  std::optional<harness::ProcessExit> end = daemon.Child->wait(WaitTimeout);
  REQUIRE(end);
  CHECK(end->Code == 0);
}

TEST_CASE("Drain: new requests go to the peer of a leaving daemon") {
  RequestFixture fixture;
  for (const char *it : {"a", "b"})
    fixture.addServer(it, "service");
  fixture.addDaemon("d1", "lulea-hall", {{"a", "desk"}});
  fixture.addDaemon("d2", "umea-hall", {{"b", "desk"}});
  fixture.addEntry("n1", "lulea-hall");
  fixture.publish(R"([{"kind":"service","name":"desk","type":"plain"}])");
  fixture.waitForServers(2);
  // No request fails, regardless of when the entry notices the stop.
  constexpr int Callers = 8;
  constexpr int Each = 50;
  std::vector<std::future<int>> whole;
  whole.reserve(Callers);
  for (int n = 0; n < Callers; ++n)
    whole.push_back(std::async(std::launch::async, [&fixture] {
      int good = 0;
      for (int m = 0; m < Each; ++m) {
        Outcome<http::Response> answer =
            fixture.sendRequest("n1", plainRequest("desk", "POST", "/quotes"));
        good += answer && answer->Status == 200 ? 1 : 0;
      }
      return good;
    }));
  fixture.member("d1").Child->signal(SIGTERM);
  for (std::future<int> &it : whole)
    CHECK(it.get() == Each);
  CHECK(fixture.runs("a") + fixture.runs("b") == std::size_t{Callers} * Each);
  std::optional<harness::ProcessExit> end =
      fixture.member("d1").Child->wait(WaitTimeout);
  REQUIRE(end);
  CHECK(end->Code == 0);
}

} // namespace wasabi::test
