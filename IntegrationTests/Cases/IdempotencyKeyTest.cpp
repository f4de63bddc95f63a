/// \file
/// Checks repeats with an `Idempotency-Key` through any entry and after crashes
/// against the upstream's own record of runs.
#include "IntegrationTests/Cases/RequestFixture.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

namespace wasabi::test {
namespace {

/// Two servers, two daemons, and two entries.
struct IdempotencyKeyFixture : RequestFixture {
  explicit IdempotencyKeyFixture(const std::vector<std::string> &Flags = {}) {
    for (const char *it : {"a", "b"})
      addServer(it, "service", Flags);
    addDaemon("d1", "pasig-a", {{"a", "bids"}});
    addDaemon("d2", "pasig-b", {{"b", "bids"}});
    addEntry("n1", "pasig-a");
    addEntry("n2", "pasig-b");
    publish(R"([{"kind":"service","name":"bids","type":"plain"}])");
    waitForServers(2);
  }
  std::size_t allRuns() { return runs("a") + runs("b"); }
};

http::Request bid(const std::string &Key, const std::string &Body = "bid") {
  return plainRequest("bids", "POST", "/bids", {{"Idempotency-Key", Key}},
                      Body);
}

} // namespace

TEST_CASE("Key: a repeat through another entry gets the first answer") {
  IdempotencyKeyFixture fixture;
  for (int n = 0; n < 8; ++n) {
    std::string key = "key-" + std::to_string(n);
    Outcome<http::Response> first = fixture.sendRequest("n1", bid(key));
    Outcome<http::Response> again = fixture.sendRequest("n2", bid(key));
    REQUIRE(first);
    REQUIRE(again);
    CHECK(first->Status == 200);
    CHECK(again->Body == first->Body);
    CHECK(again->header("X-Idempotent-Replay") == "true");
  }
  CHECK(fixture.allRuns() == 8);
}

TEST_CASE("Key: concurrent duplicates run once and get one answer") {
  IdempotencyKeyFixture fixture({"--latency_ms=300"});
  std::vector<std::future<Outcome<http::Response>>> answers;
  for (const char *it : {"n1", "n2", "n1", "n2"})
    answers.push_back(std::async(std::launch::async, [&fixture, it] {
      return fixture.sendRequest(it, bid("k"));
    }));
  std::string body;
  for (std::future<Outcome<http::Response>> &it : answers) {
    Outcome<http::Response> one = it.get();
    REQUIRE(one);
    CHECK(one->Status == 200);
    if (body.empty())
      body = one->Body;
    CHECK(one->Body == body);
  }
  CHECK(fixture.allRuns() == 1);
}

TEST_CASE("Key: a different request with the same key does not run") {
  IdempotencyKeyFixture fixture;
  REQUIRE(fixture.sendRequest("n1", bid("k")));
  Outcome<http::Response> other =
      fixture.sendRequest("n2", bid("k", "another"));
  REQUIRE(other);
  CHECK(other->Status == 409);
  CHECK(other->header("X-Wasabi-Verdict") == "not-run");
  CHECK(fixture.allRuns() == 1);
}

TEST_CASE("Key: after its daemon is killed a repeat never runs again") {
  IdempotencyKeyFixture fixture;
  // Use keys that were run by both daemons.
  std::vector<std::string> keys;
  for (int n = 0; n < 8; ++n) {
    keys.push_back("key-" + std::to_string(n));
    Outcome<http::Response> first = fixture.sendRequest("n1", bid(keys.back()));
    REQUIRE(first);
    REQUIRE(first->Status == 200);
  }
  std::size_t before = fixture.runs("b");
  REQUIRE(fixture.allRuns() == 8);
  fixture.kill("d1");
  // The remaining daemon answers from its records and does not run them again.
  for (const std::string &it : keys) {
    Outcome<http::Response> again = fixture.sendRequest("n2", bid(it));
    REQUIRE(again);
    INFO(again->Body);
    bool isExpected = again->Status == 200 ||
                      again->header("X-Wasabi-Verdict") == "may-have-run";
    CHECK(isExpected);
  }
  fixture.waitForServers(1);
  for (const std::string &it : keys) {
    Outcome<http::Response> again = fixture.sendRequest("n2", bid(it));
    REQUIRE(again);
    INFO(again->Body);
    bool known = again->Status == 200 ||
                 again->header("X-Wasabi-Verdict") == "may-have-run";
    CHECK(known);
  }
  CHECK(fixture.runs("b") == before);
}

TEST_CASE("Key: keys survive planned stops of all daemons in turn") {
  IdempotencyKeyFixture fixture;
  std::vector<std::string> keys;
  for (int n = 0; n < 8; ++n) {
    keys.push_back("key-" + std::to_string(n));
    Outcome<http::Response> first = fixture.sendRequest("n1", bid(keys.back()));
    REQUIRE(first);
    REQUIRE(first->Status == 200);
  }
  REQUIRE(fixture.allRuns() == 8);
  // Replace the daemons one by one, so that no daemon remains that ran a key or
  // received it from the daemon that ran it.
  for (const char *server : {"a", "b"}) {
    std::string old = server == std::string("a") ? "d1" : "d2";
    fixture.member(old).Child->signal(SIGTERM);
    REQUIRE(fixture.member(old).Child->wait(WaitTimeout));
    fixture.addDaemon(old + "-next", "pasig-a", {{server, "bids"}});
    fixture.waitForServers(2);
  }
  for (const std::string &it : keys) {
    Outcome<http::Response> again = fixture.sendRequest("n2", bid(it));
    REQUIRE(again);
    INFO(again->Body);
    CHECK(again->header("X-Wasabi-Verdict") == "may-have-run");
  }
  CHECK(fixture.allRuns() == 8);
}

TEST_CASE("Key: an entry that dies mid-answer leaves the answer to a repeat") {
  IdempotencyKeyFixture fixture({"--latency_ms=1000"});
  std::future<Outcome<http::Response>> lost = std::async(
      std::launch::async, [&] { return fixture.sendRequest("n1", bid("k")); });
  REQUIRE(harness::waitUntil(
      [&] {
        Outcome<std::string> counts =
            harness::getText(fixture.member("n1").Admin, "/metrics");
        return counts && counts->find("wasabi_entry_attempts_total 1") !=
                             std::string::npos;
      },
      WaitTimeout));
  REQUIRE(harness::waitUntil(
      [&] {
        std::int64_t running = 0;
        for (const char *it : {"d1", "d2"}) {
          Outcome<std::string> counts =
              harness::getText(fixture.member(it).Admin, "/metrics");
          if (counts && counts->find("wasabi_daemon_forwarded_total 1") !=
                            std::string::npos)
            ++running;
        }
        return running == 1;
      },
      WaitTimeout));
  fixture.kill("n1");
  CHECK_FALSE(lost.get());
  Outcome<http::Response> again = fixture.sendRequest("n2", bid("k"));
  REQUIRE(again);
  CHECK(again->Status == 200);
  CHECK(again->header("X-Idempotent-Replay") == "true");
  CHECK(fixture.allRuns() == 1);
}

} // namespace wasabi::test
