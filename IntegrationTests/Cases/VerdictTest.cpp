/// \file
/// Checks the caller's response at each failure point of
/// docs/design/verdicts.md with real processes against the upstream's own
/// record of runs.
#include "IntegrationTests/Cases/RequestFixture.h"

#include <boost/json/parse.hpp>

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

namespace wasabi::test {
namespace {

const std::string PlainService =
    R"([{"kind":"service","name":"desk","type":"plain"}])";
const std::string EngineService =
    R"([{"kind":"service","name":"llm","type":"engines","model":"m"}])";

/// Checks the refusal of a caller's request.
void checkRefusal(const Outcome<http::Response> &Answer, unsigned Status,
                  const std::string &Run) {
  REQUIRE(Answer);
  INFO(Answer->Body);
  CHECK(Answer->Status == Status);
  CHECK(Answer->header("X-Wasabi-Verdict") == Run);
  CHECK(Answer->header("Content-Type") == "application/problem+json");
  CHECK(boost::json::parse(Answer->Body).at("verdict").as_string() == Run);
  // Only transient refusals carry a time to retry.
  bool passes = Run == "not-run" && Status != 400;
  CHECK(Answer->header("Retry-After").empty() != passes);
}

void checkWhole(const Outcome<http::Response> &Answer) {
  REQUIRE(Answer);
  INFO(Answer->Body);
  CHECK(Answer->Status == 200);
  CHECK(Answer->header("X-Wasabi-Verdict") == "ran");
}

/// One plain server with one daemon, and an entry.
struct OneServerFixture : RequestFixture {
  explicit OneServerFixture(std::vector<std::string> Flags = {}) {
    addServer("a", "service", std::move(Flags));
    addDaemon("d1", "lulea-hall", {{"a", "desk"}});
    addEntry("n1", "lulea-hall");
    publish(PlainService);
    waitForServers(1);
  }
};

/// Two plain servers, each with a daemon and failure domain of its own, and an
/// entry.
struct TwoServersFixture : RequestFixture {
  TwoServersFixture() {
    for (const char *it : {"a", "b"})
      addServer(it, "service");
    addDaemon("d1", "lulea-hall", {{"a", "desk"}});
    addDaemon("d2", "umea-hall", {{"b", "desk"}});
    addEntry("n1", "lulea-hall");
    publish(PlainService);
    waitForServers(2);
  }
};

struct TwoEnginesFixture : RequestFixture {
  TwoEnginesFixture() {
    for (const char *it : {"a", "b"})
      addServer(it, "engine", {"--model=m", "--tokens_per_s=200"});
    addDaemon("d1", "lulea-hall", {{"a", "llm"}});
    addDaemon("d2", "umea-hall", {{"b", "llm"}});
    addEntry("n1", "lulea-hall");
    publish(EngineService);
    waitForServers(2);
  }
};

http::Request quote(std::vector<http::Header> Headers = {}) {
  return plainRequest("desk", "POST", "/quotes", std::move(Headers), "{}");
}

http::Request lookUp() { return plainRequest("desk", "GET", "/sites"); }

} // namespace

TEST_CASE("Verdict: a request refused by the entry did not run") {
  OneServerFixture fixture;
  SECTION("it names no service") {
    checkRefusal(fixture.sendRequest("n1", http::Request{"GET", "/", {}, ""}),
                 400, "not-run");
  }
  SECTION("its service is not declared") {
    checkRefusal(fixture.sendRequest("n1", plainRequest("other", "GET", "/")),
                 503, "not-run");
  }
  SECTION("the preset takes no callers") {
    fixture.publish(R"([{"kind":"preset","name":"maintenance",
                       "admit_callers":false},
                      {"kind":"switch","name":"preset",
                       "preset":"maintenance"}])");
    fixture.waitForServers(1);
    checkRefusal(fixture.sendRequest("n1", quote()), 503, "not-run");
  }
  SECTION("its caller is beyond its limit") {
    fixture.publish(R"([{"kind":"limit","name":"buyer",
                       "requests_per_second":1,"burst":1}])");
    fixture.waitForServers(1);
    std::vector<http::Header> buyer = {{"X-Caller", "buyer"}};
    checkWhole(fixture.sendRequest("n1", quote(buyer)));
    checkRefusal(fixture.sendRequest("n1", quote(buyer)), 503, "not-run");
    CHECK(fixture.runs("a") == 1);
    return;
  }
  CHECK(fixture.runs("a") == 0);
}

TEST_CASE("Verdict: an upstream that refuses the connection did not run it") {
  TwoServersFixture fixture;
  fixture.server("a").process().signal(SIGKILL);
  REQUIRE(fixture.server("a").process().wait(WaitTimeout));
  SECTION("another server answers, also what may not be repeated") {
    checkWhole(fixture.sendRequest("n1", quote()));
    CHECK(fixture.runs("b") == 1);
  }
  SECTION("without another server the caller is told at once") {
    fixture.server("b").process().signal(SIGKILL);
    REQUIRE(fixture.server("b").process().wait(WaitTimeout));
    checkRefusal(fixture.sendRequest("n1", quote()), 503, "not-run");
  }
}

TEST_CASE("Verdict: a reset before the first byte may have run") {
  TwoServersFixture fixture;
  for (const char *it : {"a", "b"})
    REQUIRE(fixture.server(it).setFaults(R"({"reset_before_answer":1})"));
  SECTION("non-idempotent work is tried once") {
    checkRefusal(fixture.sendRequest("n1", quote()), 502, "may-have-run");
    CHECK(fixture.runs("a") + fixture.runs("b") == 1);
  }
  SECTION("idempotent work is tried on the other failure domain") {
    REQUIRE(fixture.server("b").setFaults(R"({"reset_before_answer":0})"));
    checkWhole(fixture.sendRequest("n1", lookUp()));
  }
}

TEST_CASE("Verdict: a reset in the middle of the answer ran") {
  TwoServersFixture fixture;
  for (const char *it : {"a", "b"})
    REQUIRE(fixture.server(it).setFaults(R"({"reset_mid_answer":1})"));
  SECTION("non-idempotent work is tried once") {
    checkRefusal(fixture.sendRequest("n1", quote()), 502, "ran");
    CHECK(fixture.runs("a") + fixture.runs("b") == 1);
  }
  SECTION("idempotent work is answered whole by the other") {
    REQUIRE(fixture.server("b").setFaults(R"({"reset_mid_answer":0})"));
    checkWhole(fixture.sendRequest("n1", lookUp()));
  }
}

TEST_CASE("Verdict: an upstream that never answers may have run it") {
  OneServerFixture fixture;
  REQUIRE(fixture.server("a").setFaults(R"({"hang":true})"));
  checkRefusal(fixture.sendRequest("n1", quote({{"X-Deadline-Ms", "300"}})),
               504, "may-have-run");
}

TEST_CASE("Verdict: a daemon that is gone did not run it") {
  TwoServersFixture fixture;
  fixture.kill("d1");
  checkWhole(fixture.sendRequest("n1", quote()));
  CHECK(fixture.runs("b") == 1);
}

TEST_CASE("Verdict: a daemon killed while its server runs may have run it") {
  OneServerFixture fixture({"--latency_ms=60000"});
  std::future<Outcome<http::Response>> answer = std::async(
      std::launch::async, [&] { return fixture.sendRequest("n1", quote()); });
  REQUIRE(harness::waitUntil(
      [&] {
        Outcome<boost::json::value> status =
            harness::getJson(fixture.member("d1").Admin, "/status");
        return status && status->at("in_flight").as_int64() == 1;
      },
      WaitTimeout));
  fixture.kill("d1");
  checkRefusal(answer.get(), 502, "may-have-run");
}

TEST_CASE("Verdict: a full server refuses as not run with a retry time") {
  OneServerFixture fixture({"--latency_ms=60000"});
  // More requests than the limit and the queue admit.
  constexpr std::size_t Requests = 64;
  std::vector<std::future<Outcome<http::Response>>> answer;
  answer.reserve(Requests);
  for (std::size_t n = 0; n < Requests; ++n)
    answer.push_back(std::async(std::launch::async, [&] {
      return fixture.sendRequest("n1", quote({{"X-Deadline-Ms", "2000"}}));
    }));
  std::size_t refused = 0;
  for (std::future<Outcome<http::Response>> &it : answer) {
    Outcome<http::Response> one = it.get();
    REQUIRE(one);
    if (one->header("X-Wasabi-Verdict") == "not-run") {
      checkRefusal(one, 503, "not-run");
      ++refused;
    } else {
      checkRefusal(one, 504, "may-have-run");
    }
  }
  CHECK(refused > 0);
  // A refused request is not in the server's own record.
  CHECK(fixture.runs("a") <= answer.size() - refused);
}

TEST_CASE("Verdict: a leaving daemon refuses as not run and completes work") {
  OneServerFixture fixture({"--latency_ms=500"});
  std::future<Outcome<http::Response>> answer = std::async(
      std::launch::async, [&] { return fixture.sendRequest("n1", quote()); });
  REQUIRE(
      harness::waitUntil([&] { return fixture.runs("a") == 1; }, WaitTimeout));
  fixture.member("d1").Child->signal(SIGTERM);
  REQUIRE(harness::waitUntil(
      [&] {
        Outcome<http::Response> late = fixture.sendRequest("n1", quote());
        return late && late->header("X-Wasabi-Verdict") == "not-run";
      },
      WaitTimeout));
  fixture.member("d1").Child->signal(SIGTERM);
  checkWhole(answer.get());
  std::optional<harness::ProcessExit> end =
      fixture.member("d1").Child->wait(WaitTimeout);
  REQUIRE(end);
  CHECK(end->Code == 0);
}

TEST_CASE("Verdict: a broken stream is resumed on another engine") {
  TwoEnginesFixture fixture;
  http::Request whole = completion("m", "permit", 400, false);
  Outcome<http::Response> expected =
      harness::call(fixture.server("b").address(), whole);
  REQUIRE(expected);
  std::string text(boost::json::parse(expected->Body).at("text").as_string());
  // Both crash once; each time the entry continues with the remaining text.
  REQUIRE(fixture.server("a").setFaults(R"({"crash_after_tokens":10})"));
  Outcome<http::Response> answer =
      fixture.sendRequest("n1", completion("m", "permit", 400, true));
  checkWhole(answer);
  CHECK(streamedText(answer->Body) == text);
  CHECK(answer->Body.ends_with("data: [DONE]\n\n"));
  CHECK_FALSE(fixture.server("a").process().running());
}

TEST_CASE("Verdict: a stream that cannot be resumed is reset") {
  TwoEnginesFixture fixture;
  for (const char *it : {"a", "b"})
    REQUIRE(fixture.server(it).setFaults(R"({"crash_after_tokens":3})"));
  Outcome<http::Response> answer =
      fixture.sendRequest("n1", completion("m", "permit", 400, true));
  // The caller's connection was reset, so the answer cannot pass as complete.
  REQUIRE_FALSE(answer);
  CHECK(answer.failure().Code == FailureCode::ConnectionLost);
}

TEST_CASE("Verdict: an engine that refuses did not run it") {
  RequestFixture fixture;
  fixture.addServer(
      "e", "engine",
      {"--model=m", "--slots=1", "--queue=0", "--tokens_per_s=20"});
  fixture.addDaemon("d1", "lulea-hall", {{"e", "llm"}});
  fixture.addEntry("n1", "lulea-hall");
  fixture.publish(EngineService);
  fixture.waitForServers(1);
  // Another client holds its only slot without passing through the daemon.
  std::future<Outcome<http::Response>> other =
      std::async(std::launch::async, [&] {
        return harness::call(fixture.server("e").address(),
                             completion("m", "other", 4000, false, 3),
                             Millis(3000));
      });
  REQUIRE(harness::waitUntil(
      [&] {
        Outcome<boost::json::value> state =
            harness::getJson(fixture.server("e").address(), "/v1/state");
        return state && state->at("running").as_int64() == 1;
      },
      WaitTimeout));
  checkRefusal(fixture.sendRequest("n1", completion("m", "mine", 20, false)),
               503, "not-run");
  Outcome<boost::json::value> truth = fixture.server("e").truth();
  REQUIRE(truth);
  CHECK(truth->at("completions").as_array().size() == 1);
  other.get();
}

TEST_CASE("Verdict: a request moves from a hung engine to another") {
  TwoEnginesFixture fixture;
  REQUIRE(fixture.server("a").setFaults(R"({"hang":true})"));
  checkWhole(fixture.sendRequest("n1", completion("m", "permit", 20, false)));
}

TEST_CASE("Verdict: a caller's disconnect cancels the engine's work") {
  TwoEnginesFixture fixture;
  Outcome<http::Response> answer = fixture.sendRequest(
      "n1", completion("m", "long", 4000, false, 3), Millis(300));
  REQUIRE_FALSE(answer);
  bool cancelled = harness::waitUntil(
      [&] {
        std::size_t running = 0;
        for (const char *it : {"a", "b"}) {
          Outcome<boost::json::value> state =
              harness::getJson(fixture.server(it).address(), "/v1/state");
          running += state ? state->at("running").as_int64() : 1;
        }
        return running == 0;
      },
      Millis(5000));
  CHECK(cancelled);
}

} // namespace wasabi::test
