/// \file
/// Guards against clients that end an edge process by what they make it hold,
/// and against limits that keep ordinary callers from their answers.
#include "IntegrationTests/Harness/Crowd.h"
#include "IntegrationTests/Cases/CrowdRequests.h"
#include "IntegrationTests/Harness/Waiting.h"
#include "IntegrationTests/Platform/PlatformFixture.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

namespace wasabi::test {

namespace {

namespace asio = boost::asio;
using harness::Crowd;
using Tcp = asio::ip::tcp;

constexpr Millis WaitTimeout{20000};
constexpr unsigned Ok = 200;
/// Memory of the edge machine of these tests, and the maximum size of a body.
constexpr std::size_t MemoryMb = 64;
constexpr std::size_t MaxBodyBytes = 4u << 20;
/// Part of a body that is never sent.
constexpr std::size_t MissingBytes = 65536;
/// Size of an ordinary request that is not small.
constexpr std::size_t LargeBytes = 1u << 20;
/// Sizes of a body and of a head that the configuration allows.
constexpr std::size_t SmallBodyBytes = 16384;
constexpr std::size_t AllowedHeadBytes = 14000;
/// Descriptors of the machine where a test does not lower them.
constexpr std::size_t ManyDescriptors = 8200;

PlatformFixtureSettings makeSettings(std::size_t MaxDescriptors) {
  PlatformFixtureSettings settings{1, 2, 2, false};
  settings.MemoryMb = MemoryMb;
  settings.MaxDescriptors = MaxDescriptors;
  settings.MaxBodyBytes = MaxBodyBytes;
  return settings;
}

/// One edge process and the clients that press it.
struct CrowdFixture : PlatformFixture {
  std::size_t MaxDescriptors;

  explicit CrowdFixture(std::size_t MaxDescriptors = ManyDescriptors)
      : PlatformFixture(makeSettings(MaxDescriptors)),
        MaxDescriptors(MaxDescriptors) {
    REQUIRE(waitUntilAllReady());
  }

  Crowd::Settings crowd(std::size_t Clients, std::string Bytes) {
    Crowd::Settings setup;
    setup.Target = edge(0).CallerAddress;
    setup.Clients = Clients;
    setup.Bytes = std::move(Bytes);
    return setup;
  }

  /// Runs a crowd until its clients have sent what the process takes.
  std::unique_ptr<Crowd> settle(Crowd::Settings Setup) {
    std::unique_ptr<Crowd> made = std::make_unique<Crowd>(std::move(Setup));
    made->waitUntilSettled();
    return made;
  }

  /// Returns true if a request with a body of `BodyBytes` bytes is answered; a
  /// refused one is sent again.
  bool isServed(std::size_t BodyBytes) {
    std::string body(BodyBytes, 'b');
    return harness::waitUntil(
        [&] {
          std::string id = "ordinary-" + std::to_string(++Requests);
          http::Response got = sendWithBody(0, "/desk/x", id, body);
          return got.Status == Ok && got.Body == "answer to " + id;
        },
        WaitTimeout);
  }

  /// Checks that the process lives within the limits of its machine.
  void checkWithinLimits() {
    harness::Process &process = *edge(0).Running;
    std::size_t peak = process.peakMemoryKib();
    std::size_t descriptors = process.openDescriptors();
    INFO(peak << " KiB at most, " << process.memoryKib() << " KiB now, "
              << descriptors << " descriptors");
    CHECK_FALSE(process.wait(Millis(0)));
    CHECK(peak > 0);
    CHECK(peak < MemoryMb << 10);
    CHECK(descriptors < MaxDescriptors);
  }

  /// Checks that an ordinary request, and a large one, are answered while the
  /// crowd stays.
  void checkServes() {
    CHECK(isServed(100));
    CHECK(isServed(LargeBytes));
    checkWithinLimits();
  }

  /// Makes the plain servers answer after `Delay`.
  void setAnswerDelay(Millis Delay) {
    runOnPlatformThread([&] {
      plainServer(0).EventDelay = Delay;
      plainServer(1).EventDelay = Delay;
    });
  }

  int Requests = 0;
};

} // namespace

TEST_CASE("Crowd: bodies short of their end don't keep the room of others") {
  CrowdFixture fixture;
  std::string request;
  SECTION("With a length") {
    request = makeRequest("/desk/x", MaxBodyBytes, MissingBytes);
  }
  SECTION("In chunks") {
    request = makeChunkedRequest("/desk/x", MaxBodyBytes - MissingBytes, 65536);
  }
  SECTION("To a path without a route") {
    request = makeRequest("/nowhere/x", MaxBodyBytes, MissingBytes);
  }
  std::unique_ptr<Crowd> crowd = fixture.settle(fixture.crowd(40, request));
  fixture.checkServes();
}

TEST_CASE("Crowd: many bodies of a middle size don't keep the room of others") {
  CrowdFixture fixture;
  std::unique_ptr<Crowd> crowd =
      fixture.settle(fixture.crowd(200, makeRequest("/desk/x", 256u << 10, 1)));
  fixture.checkServes();
}

TEST_CASE("Crowd: bodies that drip don't keep the room of others") {
  CrowdFixture fixture;
  Crowd::Settings setup =
      fixture.crowd(40, makeRequest("/desk/x", MaxBodyBytes, MissingBytes));
  setup.Drip = "x";
  SECTION("With a length") {}
  SECTION("In chunks of one byte") {
    setup.Bytes =
        makeChunkedRequest("/desk/x", MaxBodyBytes - MissingBytes, 65536);
    setup.Drip = "1\r\nx\r\n";
  }
  SECTION("By clients that come back") { setup.Reconnects = true; }
  std::unique_ptr<Crowd> crowd = fixture.settle(std::move(setup));
  fixture.checkServes();
}

TEST_CASE("Crowd: the body of one job request stays within the memory") {
  CrowdFixture fixture;
  std::string body;
  SECTION("No job, but an array of numbers") {
    body = makeJobText(MaxBodyBytes, "[", "1,", "]");
  }
  SECTION("An array of numbers in an unknown member") {
    body = makeJobText(MaxBodyBytes, R"({"items":[],"x":[)", "1,", "]}");
  }
  SECTION("Nested arrays") { body = std::string(MaxBodyBytes, '['); }
  SECTION("As many items as fit") {
    body = makeJobText(MaxBodyBytes, R"({"items":[)", R"({"id":"","path":""},)",
                       "]}");
  }
  SECTION("As many headers of an item as fit") {
    body =
        makeJobText(MaxBodyBytes, R"({"items":[{"id":"","path":"","headers":{)",
                    R"("a":"",)", "}}]}");
  }
  std::string request = makeRequest("/rollout/x", body);
  std::unique_ptr<Crowd> crowd = fixture.settle(fixture.crowd(1, request));
  fixture.checkServes();
}

} // namespace wasabi::test
