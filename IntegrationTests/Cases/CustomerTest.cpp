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
std::unique_ptr<PlatformFixture> customerWorld(std::size_t Edges) {
  std::unique_ptr<PlatformFixture> world =
      std::make_unique<PlatformFixture>(Edges);
  REQUIRE(world->waitUntilAllReady());
  world->configureCustomers(2, annaAndBert());
  return world;
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

TEST_CASE(
    "Customers: a key names its customer to the server and stays behind") {
  std::unique_ptr<PlatformFixture> world = customerWorld(1);
  for (const char *key : {KeyOfAnna, SecondKeyOfAnna}) {
    http::Request ask;
    ask.Method = "POST";
    ask.Target = "/desk/x";
    // Headers of the caller that name a customer are ignored.
    ask.Headers = {{"Host", "host.example"},
                   {"Wasabisail-Request-Id", key},
                   {"Wasabisail-Tenant", "bert"},
                   {"wasabisail-tenant", "carl"},
                   {"WASABISAIL-KEY", key}};
    CHECK(world->send(0, ask).Status == Ok);
  }
  checkRuns(world->plainServerRuns(), "anna");
  world->setCustomerKey(KeyOfBert);
  http::Response stream = world->postRequest(0, "/stream/s", "s1");
  CHECK(stream.Status == Ok);
  checkRuns(world->engineRuns(), "bert");
}

TEST_CASE("Customers: a request without a customer's key is refused at once") {
  std::unique_ptr<PlatformFixture> world = customerWorld(1);
  CHECK(world->postRequest(0, "/desk/x", "r1").Status == Unauthorized);
  world->setCustomerKey("nobodys");
  CHECK(world->postRequest(0, "/desk/x", "r2").Status == Unauthorized);
  CHECK(world->postRequest(0, "/stream/x", "r3").Status == Unauthorized);
  CHECK(world->submit(0, "job", 2) == Unauthorized);
  CHECK(world->endJob(0, "job") == Unauthorized);
  CHECK(world->getItemBodyStatus(0, "job", "job-0") == Unauthorized);
  CHECK(world->postRequest(0, "/nowhere/", "r4").Status == NotFound);
  // A request with two keys is refused like one without a key.
  http::Request two;
  two.Method = "POST";
  two.Target = "/desk/x";
  two.Headers = {{"Host", "host.example"},
                 {"Wasabisail-Request-Id", "r5"},
                 {"Wasabisail-Key", KeyOfAnna},
                 {"Wasabisail-Key", KeyOfBert}};
  CHECK(world->send(0, two).Status == Unauthorized);
  CHECK(world->plainServerRuns().empty());
  CHECK(world->engineRuns().empty());
}

TEST_CASE("Customers: a public route requires and forwards no key") {
  std::unique_ptr<PlatformFixture> world = customerWorld(1);
  CHECK(world->postRequest(0, "/open/x", "r1").Status == Ok);
  world->setCustomerKey("nobodys");
  CHECK(world->postRequest(0, "/open/x", "r2").Status == Ok);
  checkRuns(world->plainServerRuns(), "");
  // The customer is still identified if a request carries a valid key.
  world->setCustomerKey(KeyOfBert);
  CHECK(world->postRequest(0, "/open/x", "r3").Status == Ok);
  ServerCall last;
  for (const ServerCall &it : world->plainServerRuns()) {
    if (it.Id == "r3")
      last = it;
  }
  CHECK(last.Customer == "bert");
  CHECK_FALSE(last.KeyForwarded);
}

TEST_CASE("Customers: a key that is taken away counts no more, at once and on "
          "open connections") {
  std::unique_ptr<PlatformFixture> world = customerWorld(1);
  world->setCustomerKey(KeyOfBert);
  CHECK(world->postRequest(0, "/desk/x", "r1").Status == Ok);
  std::string head = std::string("POST /desk/x HTTP/1.1\r\n"
                                 "Host: host.example\r\n"
                                 "Wasabisail-Key: ") +
                     KeyOfBert +
                     "\r\nContent-Length: 0\r\n"
                     "Wasabisail-Request-Id: ";
  std::string first =
      world->sendRaw(0, head + "r2\r\n\r\n" + head + "r3\r\n\r\n", WaitTimeout,
                     "answer to r3");
  CHECK(first.find("answer to r3") != std::string::npos);
  world->configureCustomers(3, {{"anna", {KeyOfAnna}, 1}, {"bert", {}, 1}});
  CHECK(world->postRequest(0, "/desk/x", "r4").Status == Unauthorized);
  world->setCustomerKey(SecondKeyOfAnna);
  CHECK(world->postRequest(0, "/desk/x", "r5").Status == Unauthorized);
  world->setCustomerKey(KeyOfAnna);
  CHECK(world->postRequest(0, "/desk/x", "r6").Status == Ok);
  world->configureCustomers(4, annaAndBert());
  world->setCustomerKey(KeyOfBert);
  CHECK(world->postRequest(0, "/desk/x", "r7").Status == Ok);
}

TEST_CASE("Customers: a process that may have missed a configuration refuses "
          "no key for good") {
  std::unique_ptr<PlatformFixture> world = customerWorld(1);
  world->runOnPlatformThread(
      [&] { world->store().setBehavior(StoreBehavior::Reset); });
  REQUIRE(harness::waitUntil(
      [&] {
        world->setCustomerKey("a-new-one");
        return world->postRequest(0, "/desk/x", "r1").Status ==
               ServiceUnavailable;
      },
      WaitTimeout));
  CHECK(world->postRequest(0, "/nowhere/", "r2").Status == ServiceUnavailable);
  // A request without a key is invalid under every configuration.
  world->setCustomerKey("");
  CHECK(world->postRequest(0, "/desk/x", "r3").Status == Unauthorized);
  world->setCustomerKey(KeyOfAnna);
  CHECK(world->postRequest(0, "/desk/x", "r4").Status == Ok);
}

TEST_CASE("Customers: a job is visible to its customer only") {
  constexpr std::size_t Items = 4;
  std::unique_ptr<PlatformFixture> world = customerWorld(2);
  world->setCustomerKey(KeyOfAnna);
  REQUIRE(world->submit(0, "job", Items) == Accepted);
  REQUIRE(world->waitForResults(0, "job", Items));
  unsigned status = 0;
  // Another key of the same customer gives access too.
  world->setCustomerKey(SecondKeyOfAnna);
  world->results(1, "job", status);
  CHECK(status == Ok);
  CHECK(world->submit(1, "job", Items) == Accepted);
  checkRuns(world->engineRuns(), "anna");
  // Scoring calls are made by the system itself.
  checkRuns(world->plainServerRuns(), "");

  world->setCustomerKey(KeyOfBert);
  for (const char *job : {"job", "never-there"}) {
    world->results(1, job, status);
    CHECK(status == NotFound);
    CHECK(world->getItemBodyStatus(0, job, "job-0") == NotFound);
    CHECK(world->endJob(0, job) == NotFound);
  }
  // Another customer's job with the same name is a separate job.
  REQUIRE(world->submit(1, "job", 2) == Accepted);
  REQUIRE(world->waitForResults(0, "job", 2));
  CHECK(world->endJob(0, "job") == Ok);
  world->setCustomerKey(KeyOfAnna);
  boost::json::value page = world->results(1, "job", status);
  CHECK(status == Ok);
  CHECK(page.at("total") == Items);
}

TEST_CASE("Customers: a job whose customer lost all keys goes on as its own, "
          "also after all processes have ended") {
  constexpr std::size_t Items = 6;
  std::unique_ptr<PlatformFixture> world = customerWorld(2);
  world->runOnPlatformThread([&] {
    world->engine(0).RefusesAsFull = true;
    world->engine(1).RefusesAsFull = true;
  });
  world->setCustomerKey(KeyOfBert);
  REQUIRE(world->submit(0, "job", Items) == Accepted);
  world->configureCustomers(3, {{"anna", {KeyOfAnna}, 1}});
  for (std::size_t i = 0; i < world->edges(); ++i) {
    world->edge(i).Running->signal(SIGKILL);
    REQUIRE(world->edge(i).Running->wait(WaitTimeout));
    world->startEdge(i);
  }
  REQUIRE(world->waitUntilAllReady());
  world->runOnPlatformThread([&] {
    world->engine(0).RefusesAsFull = false;
    world->engine(1).RefusesAsFull = false;
  });
  REQUIRE(harness::waitUntil(
      [&] { return world->plainServerRuns().size() == Items; }, WaitTimeout));
  checkRuns(world->engineRuns(), "bert");
  CHECK(world->endJob(0, "job") == Unauthorized);
  // With a new key the customer sees the job again.
  world->configureCustomers(
      4, {{"anna", {KeyOfAnna}, 1}, {"bert", {"k3y9fbert"}, 1}});
  world->setCustomerKey("k3y9fbert");
  CHECK(world->waitForResults(1, "job", Items));
}

TEST_CASE("Customers: no key is written anywhere") {
  std::unique_ptr<PlatformFixture> world = customerWorld(1);
  for (const char *key : {KeyOfAnna, KeyOfBert, "k3y-of-nobody"}) {
    world->setCustomerKey(key);
    world->postRequest(0, "/desk/x", "r1");
    world->postRequest(0, "/stream/x", "r2");
    world->postRequest(0, "/once/x", "r3");
    world->postRequest(0, "/open/x", "r4");
    world->submit(0, "job", 2);
    world->getItemBodyStatus(0, "job", "job-0");
    world->endJob(0, "job");
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
  REQUIRE(world->send(0, submission).Status == Accepted);
  world->setCustomerKey(KeyOfAnna);
  REQUIRE(world->waitForResults(0, "keyed", 1));
  for (const ServerCall &it : world->engineRuns()) {
    CHECK_FALSE(it.KeyForwarded);
    CHECK((it.Id != "keyed-0" || it.Customer == "anna"));
  }
  // Nor is a key in an invalid configuration written.
  world->runOnPlatformThread([&] {
    world->store().write("keyed.op", "config",
                         R"({"version":9,"routes":[],"services":[],"tenants":
      [{"name":"anna","api_keys":["k3yinbad",7]}]})");
  });
  REQUIRE(harness::waitUntil(
      [&] { return world->output().find("api_keys") != std::string::npos; },
      WaitTimeout));
  std::string written =
      world->output() + world->runOnPlatformThread<std::string>(
                            [&] { return world->store().content(); });
  CHECK(written.size() > 1000);
  CHECK(written.find("k3y") == std::string::npos);
}

} // namespace wasabi::test
