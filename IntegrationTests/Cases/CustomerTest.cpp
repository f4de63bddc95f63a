/// \file
/// Checks which callers are admitted by their keys, which customer a server
/// sees with a request, and which customer owns a batch job.
#include "IntegrationTests/Harness/Waiting.h"
#include "IntegrationTests/Platform/PlatformFixture.h"

#include <catch2/catch.hpp>

#include <boost/json/value.hpp>

#include <csignal>

namespace wasabi::test {

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned Accepted = 202;
constexpr unsigned Unauthorized = 401;
constexpr unsigned NotFound = 404;
constexpr unsigned ServiceUnavailable = 503;
constexpr Millis WaitTimeout{20000};

// Unique texts that no other output of a process contains.
constexpr const char *KeyOfAnna = "k3y0fanna";
constexpr const char *SecondKeyOfAnna = "k3y2fanna";
constexpr const char *KeyOfBert = "k3y0fbert";

std::vector<ConfiguredCustomer> annaAndBert() {
  return {{"anna", {KeyOfAnna, SecondKeyOfAnna}, 1}, {"bert", {KeyOfBert}, 1}};
}

/// A fixture whose newest configuration, the second, has customers.
std::unique_ptr<PlatformFixture> makeCustomerFixture(std::size_t Edges) {
  std::unique_ptr<PlatformFixture> fixture =
      std::make_unique<PlatformFixture>(Edges);
  REQUIRE(fixture->waitUntilAllReady());
  fixture->configureCustomers(2, annaAndBert());
  return fixture;
}

/// Checks that no key was forwarded and that each run names the expected
/// customer.
void checkRuns(const std::vector<ServerCall> &Runs,
               const std::string &Customer) {
  CHECK_FALSE(Runs.empty());
  for (const ServerCall &it : Runs) {
    INFO(it.Path);
    CHECK_FALSE(it.KeyForwarded);
    CHECK(it.Customer == Customer);
    CHECK(it.CustomerHeaderCount == (Customer.empty() ? 0 : 1));
  }
}

} // namespace

TEST_CASE("Customers: a server sees the customer but not the key") {
  std::unique_ptr<PlatformFixture> fixture = makeCustomerFixture(1);
  for (const char *key : {KeyOfAnna, SecondKeyOfAnna}) {
    http::Request request;
    request.Method = "POST";
    request.Target = "/desk/x";
    // Headers of the caller that name a customer are ignored.
    request.Headers = {{"Host", "host.example"},
                       {"Wasabisail-Request-Id", key},
                       {"Wasabisail-Tenant", "bert"},
                       {"wasabisail-tenant", "carl"},
                       {"WASABISAIL-KEY", key}};
    CHECK(fixture->send(0, request).Status == Ok);
  }
  checkRuns(fixture->plainServerRuns(), "anna");
  fixture->setCustomerKey(KeyOfBert);
  http::Response stream = fixture->postRequest(0, "/stream/s", "s1");
  CHECK(stream.Status == Ok);
  checkRuns(fixture->engineRuns(), "bert");
}

TEST_CASE("Customers: a request without a customer's key is refused at once") {
  std::unique_ptr<PlatformFixture> fixture = makeCustomerFixture(1);
  CHECK(fixture->postRequest(0, "/desk/x", "r1").Status == Unauthorized);
  fixture->setCustomerKey("nobodys");
  CHECK(fixture->postRequest(0, "/desk/x", "r2").Status == Unauthorized);
  CHECK(fixture->postRequest(0, "/stream/x", "r3").Status == Unauthorized);
  CHECK(fixture->submit(0, "job", 2) == Unauthorized);
  CHECK(fixture->endJob(0, "job") == Unauthorized);
  CHECK(fixture->getItemBodyStatus(0, "job", "job-0") == Unauthorized);
  CHECK(fixture->postRequest(0, "/nowhere/", "r4").Status == NotFound);
  // A request with two keys is refused like one without a key.
  http::Request two;
  two.Method = "POST";
  two.Target = "/desk/x";
  two.Headers = {{"Host", "host.example"},
                 {"Wasabisail-Request-Id", "r5"},
                 {"Wasabisail-Key", KeyOfAnna},
                 {"Wasabisail-Key", KeyOfBert}};
  CHECK(fixture->send(0, two).Status == Unauthorized);
  CHECK(fixture->plainServerRuns().empty());
  CHECK(fixture->engineRuns().empty());
}

TEST_CASE("Customers: a public route requires and forwards no key") {
  std::unique_ptr<PlatformFixture> fixture = makeCustomerFixture(1);
  CHECK(fixture->postRequest(0, "/open/x", "r1").Status == Ok);
  fixture->setCustomerKey("nobodys");
  CHECK(fixture->postRequest(0, "/open/x", "r2").Status == Ok);
  checkRuns(fixture->plainServerRuns(), "");
  // The customer is still identified if a request carries a valid key.
  fixture->setCustomerKey(KeyOfBert);
  CHECK(fixture->postRequest(0, "/open/x", "r3").Status == Ok);
  ServerCall last;
  for (const ServerCall &it : fixture->plainServerRuns()) {
    if (it.Id == "r3")
      last = it;
  }
  CHECK(last.Customer == "bert");
  CHECK_FALSE(last.KeyForwarded);
}

TEST_CASE("Customers: a revoked key is refused immediately, also on "
          "open connections") {
  std::unique_ptr<PlatformFixture> fixture = makeCustomerFixture(1);
  fixture->setCustomerKey(KeyOfBert);
  CHECK(fixture->postRequest(0, "/desk/x", "r1").Status == Ok);
  std::string head = std::string("POST /desk/x HTTP/1.1\r\n"
                                 "Host: host.example\r\n"
                                 "Wasabisail-Key: ") +
                     KeyOfBert +
                     "\r\nContent-Length: 0\r\n"
                     "Wasabisail-Request-Id: ";
  std::string first =
      fixture->sendRaw(0, head + "r2\r\n\r\n" + head + "r3\r\n\r\n",
                       WaitTimeout, "answer to r3");
  CHECK(first.find("answer to r3") != std::string::npos);
  fixture->configureCustomers(3, {{"anna", {KeyOfAnna}, 1}, {"bert", {}, 1}});
  CHECK(fixture->postRequest(0, "/desk/x", "r4").Status == Unauthorized);
  fixture->setCustomerKey(SecondKeyOfAnna);
  CHECK(fixture->postRequest(0, "/desk/x", "r5").Status == Unauthorized);
  fixture->setCustomerKey(KeyOfAnna);
  CHECK(fixture->postRequest(0, "/desk/x", "r6").Status == Ok);
  fixture->configureCustomers(4, annaAndBert());
  fixture->setCustomerKey(KeyOfBert);
  CHECK(fixture->postRequest(0, "/desk/x", "r7").Status == Ok);
}

TEST_CASE("Customers: a process that may have missed a configuration gives "
          "no final refusal of a key") {
  std::unique_ptr<PlatformFixture> fixture = makeCustomerFixture(1);
  fixture->runOnPlatformThread(
      [&] { fixture->store().setBehavior(StoreBehavior::Reset); });
  REQUIRE(harness::waitUntil(
      [&] {
        fixture->setCustomerKey("a-new-one");
        return fixture->postRequest(0, "/desk/x", "r1").Status ==
               ServiceUnavailable;
      },
      WaitTimeout));
  CHECK(fixture->postRequest(0, "/nowhere/", "r2").Status ==
        ServiceUnavailable);
  // A request without a key is invalid under every configuration.
  fixture->setCustomerKey("");
  CHECK(fixture->postRequest(0, "/desk/x", "r3").Status == Unauthorized);
  fixture->setCustomerKey(KeyOfAnna);
  CHECK(fixture->postRequest(0, "/desk/x", "r4").Status == Ok);
}

TEST_CASE("Customers: a job is visible to its customer only") {
  constexpr std::size_t Items = 4;
  std::unique_ptr<PlatformFixture> fixture = makeCustomerFixture(2);
  fixture->setCustomerKey(KeyOfAnna);
  REQUIRE(fixture->submit(0, "job", Items) == Accepted);
  REQUIRE(fixture->waitForResults(0, "job", Items));
  unsigned status = 0;
  // Another key of the same customer gives access too.
  fixture->setCustomerKey(SecondKeyOfAnna);
  fixture->results(1, "job", status);
  CHECK(status == Ok);
  CHECK(fixture->submit(1, "job", Items) == Accepted);
  checkRuns(fixture->engineRuns(), "anna");
  // Scoring calls are made by the system itself.
  checkRuns(fixture->plainServerRuns(), "");

  fixture->setCustomerKey(KeyOfBert);
  for (const char *job : {"job", "never-there"}) {
    fixture->results(1, job, status);
    CHECK(status == NotFound);
    CHECK(fixture->getItemBodyStatus(0, job, "job-0") == NotFound);
    CHECK(fixture->endJob(0, job) == NotFound);
  }
  // Another customer's job with the same name is a separate job.
  REQUIRE(fixture->submit(1, "job", 2) == Accepted);
  REQUIRE(fixture->waitForResults(0, "job", 2));
  CHECK(fixture->endJob(0, "job") == Ok);
  fixture->setCustomerKey(KeyOfAnna);
  boost::json::value page = fixture->results(1, "job", status);
  CHECK(status == Ok);
  CHECK(page.at("total") == Items);
}

TEST_CASE("Customers: a job continues after its customer lost all keys, "
          "also after a restart of all processes") {
  constexpr std::size_t Items = 6;
  std::unique_ptr<PlatformFixture> fixture = makeCustomerFixture(2);
  fixture->runOnPlatformThread([&] {
    fixture->engine(0).RefusesAsFull = true;
    fixture->engine(1).RefusesAsFull = true;
  });
  fixture->setCustomerKey(KeyOfBert);
  REQUIRE(fixture->submit(0, "job", Items) == Accepted);
  fixture->configureCustomers(3, {{"anna", {KeyOfAnna}, 1}});
  for (std::size_t i = 0; i < fixture->edges(); ++i) {
    fixture->edge(i).Running->signal(SIGKILL);
    REQUIRE(fixture->edge(i).Running->wait(WaitTimeout));
    fixture->startEdge(i);
  }
  REQUIRE(fixture->waitUntilAllReady());
  fixture->runOnPlatformThread([&] {
    fixture->engine(0).RefusesAsFull = false;
    fixture->engine(1).RefusesAsFull = false;
  });
  REQUIRE(harness::waitUntil(
      [&] { return fixture->plainServerRuns().size() == Items; }, WaitTimeout));
  checkRuns(fixture->engineRuns(), "bert");
  CHECK(fixture->endJob(0, "job") == Unauthorized);
  // With a new key the customer sees the job again.
  fixture->configureCustomers(
      4, {{"anna", {KeyOfAnna}, 1}, {"bert", {"k3y9fbert"}, 1}});
  fixture->setCustomerKey("k3y9fbert");
  CHECK(fixture->waitForResults(1, "job", Items));
}

TEST_CASE("Customers: no key is written anywhere") {
  std::unique_ptr<PlatformFixture> fixture = makeCustomerFixture(1);
  for (const char *key : {KeyOfAnna, KeyOfBert, "k3y-of-nobody"}) {
    fixture->setCustomerKey(key);
    fixture->postRequest(0, "/desk/x", "r1");
    fixture->postRequest(0, "/stream/x", "r2");
    fixture->postRequest(0, "/once/x", "r3");
    fixture->postRequest(0, "/open/x", "r4");
    fixture->submit(0, "job", 2);
    fixture->getItemBodyStatus(0, "job", "job-0");
    fixture->endJob(0, "job");
  }
  // Nor is a key in the headers of a job's items written.
  http::Request submission;
  submission.Method = "POST";
  submission.Target = "/rollout/keyed";
  submission.Headers = {{"Host", "host.example"},
                        {"Wasabisail-Request-Id", "keyed"},
                        {"Wasabisail-Key", KeyOfAnna}};
  submission.Body =
      R"({"model":"model","items":[{"id":"keyed-0","path":"/rollout/0","headers":
      {"Wasabisail-Model":"model","Wasabisail-Key":"k3yinitem",
       "Wasabisail-Tenant":"bert"},"body":""}]})";
  REQUIRE(fixture->send(0, submission).Status == Accepted);
  fixture->setCustomerKey(KeyOfAnna);
  REQUIRE(fixture->waitForResults(0, "keyed", 1));
  for (const ServerCall &it : fixture->engineRuns()) {
    CHECK_FALSE(it.KeyForwarded);
    CHECK((it.Id != "keyed-0" || it.Customer == "anna"));
  }
  // Nor is a key in an invalid configuration written.
  fixture->runOnPlatformThread([&] {
    fixture->store().write("keyed.op", "config",
                           R"({"version":9,"routes":[],"services":[],"tenants":
      [{"name":"anna","api_keys":["k3yinbad",7]}]})");
  });
  REQUIRE(harness::waitUntil(
      [&] { return fixture->output().find("api_keys") != std::string::npos; },
      WaitTimeout));
  std::string written =
      fixture->output() + fixture->runOnPlatformThread<std::string>(
                              [&] { return fixture->store().content(); });
  CHECK(written.size() > 1000);
  CHECK(written.find("k3y") == std::string::npos);
}

} // namespace wasabi::test
