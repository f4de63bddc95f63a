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

TEST_CASE("Crowd: small bodies in any number stay within the memory") {
  CrowdFixture fixture;
  std::unique_ptr<Crowd> crowd = fixture.settle(
      fixture.crowd(2500, makeRequest("/desk/x", SmallBodyBytes, 1)));
  fixture.checkServes();
}

TEST_CASE("Crowd: chunks of one byte stay within the memory") {
  CrowdFixture fixture;
  std::unique_ptr<Crowd> crowd = fixture.settle(
      fixture.crowd(2500, makeChunkedRequest("/desk/x", SmallBodyBytes, 1)));
  fixture.checkServes();
}

TEST_CASE("Crowd: heads without end stay within the memory") {
  CrowdFixture fixture;
  std::string head;
  SECTION("Longer than the configuration allows") {
    head = makeEndlessHead(63u << 10);
  }
  SECTION("As long as the configuration allows") {
    head = makeEndlessHead(AllowedHeadBytes);
  }
  std::unique_ptr<Crowd> crowd = fixture.settle(fixture.crowd(3000, head));
  fixture.checkServes();
}

TEST_CASE("Crowd: heads of many fields stay within the memory") {
  CrowdFixture fixture;
  fixture.setAnswerDelay(Millis(1500));
  std::string head = "GET /desk/x HTTP/1.1\r\nHost: host.example\r\n"
                     "Wasabisail-Request-Id: crowd\r\n";
  while (head.size() < AllowedHeadBytes)
    head += "a:\r\n";
  std::unique_ptr<Crowd> crowd =
      fixture.settle(fixture.crowd(400, head + "\r\n"));
  fixture.setAnswerDelay(Millis(5));
  fixture.checkServes();
}

TEST_CASE("Crowd: whole bodies for a slow server stay within the memory") {
  CrowdFixture fixture;
  fixture.setAnswerDelay(Millis(1500));
  std::size_t bytes = 0;
  std::size_t clients = 0;
  SECTION("Large ones") {
    clients = 40;
    bytes = MaxBodyBytes;
  }
  SECTION("Small ones") {
    clients = 2000;
    bytes = SmallBodyBytes;
  }
  std::unique_ptr<Crowd> crowd =
      fixture.settle(fixture.crowd(clients, makeRequest("/desk/x", bytes, 0)));
  fixture.setAnswerDelay(Millis(5));
  fixture.checkServes();
}

TEST_CASE("Crowd: pipelined bytes stay within the memory") {
  CrowdFixture fixture;
  fixture.setAnswerDelay(Millis(1500));
  std::string text = "GET /desk/x HTTP/1.1\r\nHost: host.example\r\n"
                     "Wasabisail-Request-Id: crowd\r\n\r\n";
  text += makeEndlessHead(60u << 10);
  std::unique_ptr<Crowd> crowd = fixture.settle(fixture.crowd(1000, text));
  fixture.setAnswerDelay(Millis(5));
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

TEST_CASE("Crowd: readers of a large item stay within the memory") {
  constexpr std::size_t ItemBytes = 2u << 20;
  CrowdFixture fixture;
  // The item stays open, so that its body can be read.
  fixture.runOnPlatformThread([&] {
    fixture.engine(0).RefusesAsFull = true;
    fixture.engine(1).RefusesAsFull = true;
  });
  std::string job =
      R"({"items":[{"id":"item","path":"/rollout/item","body":")" +
      std::string(ItemBytes, 'A') + "\"}]}";
  std::string submission = "POST /rollout/x HTTP/1.1\r\nHost: host.example\r\n"
                           "Wasabisail-Request-Id: large\r\nContent-Length: " +
                           std::to_string(job.size()) + "\r\n\r\n" + job;
  std::string answer = fixture.sendRaw(0, submission, WaitTimeout, "\r\n\r\n");
  REQUIRE(answer.starts_with("HTTP/1.1 202 "));
  Crowd::Settings setup =
      fixture.crowd(60, "GET /api/items/large?id=item HTTP/1.1\r\n"
                        "Host: host.example\r\n\r\n");
  SECTION("That read it") {}
  SECTION("That do not read it") { setup.Reads = false; }
  std::unique_ptr<Crowd> crowd = fixture.settle(std::move(setup));
  fixture.checkServes();
}

TEST_CASE("Crowd: connections leave descriptors for ordinary callers") {
  constexpr std::size_t Descriptors = 800;
  constexpr std::size_t Clients = 1200;
  CrowdFixture fixture(Descriptors);
  Crowd::Settings setup;
  SECTION("That send nothing") { setup = fixture.crowd(Clients, ""); }
  SECTION("That were answered before") {
    setup = fixture.crowd(Clients, "GET /nowhere HTTP/1.1\r\n"
                                   "Host: host.example\r\n\r\n");
  }
  SECTION("That come back") {
    setup = fixture.crowd(Clients, "GET /desk");
    setup.Reconnects = true;
  }
  SECTION("At the listener of the readiness checks") {
    setup = fixture.crowd(Clients, "");
    setup.Target = fixture.edge(0).ReadinessAddress;
  }
  std::unique_ptr<Crowd> crowd = fixture.settle(std::move(setup));
  fixture.checkServes();
  CHECK(harness::waitUntil([&] { return fixture.ready(0); }, WaitTimeout));
}

TEST_CASE("Crowd: the listener of the readiness checks is bounded, too") {
  CrowdFixture fixture;
  Crowd::Settings setup = fixture.crowd(
      40, makeRequest("/api/readiness", MaxBodyBytes, MissingBytes));
  setup.Target = fixture.edge(0).ReadinessAddress;
  std::unique_ptr<Crowd> crowd = fixture.settle(std::move(setup));
  fixture.checkServes();
  CHECK(harness::waitUntil([&] { return fixture.ready(0); }, WaitTimeout));
}

// A connection that was answered and is idle is the last to be closed.
TEST_CASE("Crowd: the kept connection of an ordinary caller stays open") {
  CrowdFixture fixture(800);
  asio::io_context context;
  Tcp::socket kept(context);
  const Address &target = fixture.edge(0).CallerAddress;
  kept.connect(Tcp::endpoint(asio::ip::make_address(target.Host), target.Port));
  std::string request = "GET /nowhere HTTP/1.1\r\nHost: host.example\r\n\r\n";
  auto isAnswered = [&] {
    boost::system::error_code ec;
    asio::streambuf buf;
    asio::write(kept, asio::buffer(request), ec);
    if (!ec)
      asio::read_until(kept, buf, "no route matches", ec);
    return !ec;
  };
  REQUIRE(isAnswered());
  std::unique_ptr<Crowd> heads =
      fixture.settle(fixture.crowd(1200, makeEndlessHead(AllowedHeadBytes)));
  CHECK(isAnswered());
  std::unique_ptr<Crowd> bodies = fixture.settle(
      fixture.crowd(40, makeRequest("/desk/x", MaxBodyBytes, MissingBytes)));
  CHECK(isAnswered());
  fixture.checkWithinLimits();
}

// Guards against memory that stays with the process after a crowd has left, so
// that the next one, or a large request, is one too many.
TEST_CASE("Crowd: the memory of a crowd is released before the next one") {
  CrowdFixture fixture;
  for (int i = 0; i < 2; ++i) {
    std::unique_ptr<Crowd> heads =
        fixture.settle(fixture.crowd(2000, makeEndlessHead(AllowedHeadBytes)));
    heads.reset();
    std::unique_ptr<Crowd> bodies = fixture.settle(
        fixture.crowd(2000, makeRequest("/desk/x", SmallBodyBytes, 1)));
    bodies.reset();
    std::unique_ptr<Crowd> chunks = fixture.settle(fixture.crowd(
        40, makeChunkedRequest("/desk/x", MaxBodyBytes - MissingBytes, 65536)));
  }
  CHECK(fixture.isServed(100));
  CHECK(fixture.isServed(MaxBodyBytes));
  CHECK(harness::waitUntil(
      [&] {
        std::size_t now = fixture.edge(0).Running->memoryKib();
        return now > 0 && now < (MemoryMb << 10) / 2;
      },
      WaitTimeout));
  fixture.checkWithinLimits();
}

} // namespace wasabi::test
