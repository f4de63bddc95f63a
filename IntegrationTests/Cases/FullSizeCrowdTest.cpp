/// \file
/// Crowds against an edge process with the limits of a real machine. Started by
/// hand, with the tag `[full-size]`: they take a gigabyte and minutes.
#include "IntegrationTests/Cases/CrowdRequests.h"
#include "IntegrationTests/Harness/Crowd.h"
#include "IntegrationTests/Harness/Waiting.h"
#include "IntegrationTests/Platform/PlatformFixture.h"

#include <catch2/catch.hpp>

#include <iostream>

namespace wasabi::test {

namespace {

using harness::Crowd;

constexpr Millis WaitTimeout{20000};
constexpr unsigned Ok = 200;
constexpr std::size_t MaxBodyBytes = 32u << 20;
constexpr std::size_t LargeBytes = 1u << 20;

std::string makeNumberJob(std::size_t Bytes) {
  return makeRequest("/rollout/x", makeJobText(Bytes, "[", "1,", "]"));
}

/// Memory in MiB and descriptors of an edge machine.
struct MachineSize {
  std::size_t MemoryMb = 0;
  std::size_t MaxDescriptors = 0;
};

/// An ordinary machine of the users, and their smallest one.
constexpr MachineSize Ordinary{280, 8200};
constexpr MachineSize Smallest{120, 3075};

/// Returns a job with one item of `ItemBytes` bytes.
std::string makeItemRequest(const std::string &Id, std::size_t ItemBytes) {
  std::string body = R"({"items":[{"id":")";
  body += Id;
  body += R"(","path":"/rollout/x","body":")";
  body.append(ItemBytes, 'A');
  body += R"("}]})";
  std::string text = "POST /rollout/x HTTP/1.1\r\nHost: host.example\r\n"
                     "Connection: close\r\nWasabisail-Request-Id: ";
  text += Id;
  text += "\r\nContent-Length: ";
  text += std::to_string(body.size());
  text += "\r\n\r\n";
  text += body;
  return text;
}

PlatformFixtureSettings makeSettings(const MachineSize &Size) {
  PlatformFixtureSettings settings{1, 2, 2, false};
  settings.MemoryMb = Size.MemoryMb;
  settings.MaxDescriptors = Size.MaxDescriptors;
  settings.MaxBodyBytes = MaxBodyBytes;
  return settings;
}

bool isServed(PlatformFixture &Fixture, std::size_t BodyBytes, int &Requests) {
  std::string body(BodyBytes, 'b');
  return harness::waitUntil(
      [&] {
        std::string id = "ordinary-" + std::to_string(++Requests);
        return Fixture.sendWithBody(0, "/desk/x", id, body).Status == Ok;
      },
      WaitTimeout);
}

} // namespace

TEST_CASE("Full size: each crowd, and a second one right after it",
          "[.][full-size]") {
  constexpr std::size_t MissingBytes = 65536;
  const MachineSize size = GENERATE(Ordinary, Smallest);
  constexpr std::size_t JobBytes = 30u << 20;
  std::size_t clients = 0;
  std::string bytes;
  bool reconnects = false;
  SECTION("small bodies") {
    clients = 7500;
    bytes = makeRequest("/desk/x", 16384, 1);
  }
  SECTION("long heads") {
    clients = 7500;
    bytes = makeEndlessHead(63u << 10);
  }
  SECTION("allowed heads") {
    clients = 7500;
    bytes = makeEndlessHead(14000);
  }
  SECTION("numbers as jobs") {
    clients = 1;
    bytes = makeNumberJob(JobBytes);
    reconnects = true;
  }
  SECTION("many numbers as jobs") {
    clients = 60;
    bytes = makeNumberJob(JobBytes);
  }
  SECTION("nested arrays as jobs") {
    clients = 60;
    bytes = makeRequest("/rollout/x", std::string(JobBytes, '['));
  }
  SECTION("unfinished bodies") {
    clients = 200;
    bytes = makeRequest("/desk/x", MaxBodyBytes, MissingBytes);
  }
  SECTION("unfinished chunks") {
    clients = 200;
    bytes = makeChunkedRequest("/desk/x", MaxBodyBytes - MissingBytes, 65536);
  }
  SECTION("middle bodies") {
    clients = 3000;
    bytes = makeRequest("/desk/x", 256u << 10, 1);
  }
  SECTION("whole bodies") {
    clients = 200;
    bytes = makeRequest("/desk/x", MaxBodyBytes, 0);
  }
  SECTION("whole bodies without a route") {
    clients = 200;
    bytes = makeRequest("/nowhere/x", MaxBodyBytes, 0);
  }
  PlatformFixture fixture(makeSettings(size));
  REQUIRE(fixture.waitUntilAllReady());
  harness::Process &process = *fixture.edge(0).Running;
  int requests = 0;
  for (int i = 0; i < 2; ++i) {
    Crowd::Settings setup;
    setup.Target = fixture.edge(0).CallerAddress;
    setup.Clients = clients;
    setup.Bytes = bytes;
    setup.Reconnects = reconnects;
    Crowd crowd(std::move(setup));
    crowd.waitUntilSettled();
    CHECK(isServed(fixture, 100, requests));
    CHECK(isServed(fixture, LargeBytes, requests));
  }
  std::size_t pressed = process.peakMemoryKib();
  CHECK(isServed(fixture, 100, requests));
  CHECK(isServed(fixture, MaxBodyBytes, requests));
  std::cout << size.MemoryMb << " MiB: " << requests
            << " ordinary requests for 6 answers; " << pressed
            << " KiB under pressure, " << process.peakMemoryKib()
            << " KiB at most, " << process.memoryKib() << " KiB now"
            << std::endl;
  CHECK_FALSE(process.wait(Millis(0)));
  CHECK(process.peakMemoryKib() > 0);
  CHECK(process.peakMemoryKib() < size.MemoryMb << 10);
}

// Guards against jobs that each fit and together end the dispatcher, which
// holds the items of all open ones.
TEST_CASE("Full size: jobs with one large item", "[.][full-size]") {
  constexpr std::size_t Jobs = 8;
  constexpr std::size_t ItemBytes = 30u << 20;
  constexpr Millis RunTime{20000};
  const MachineSize size = GENERATE(Ordinary, Smallest);
  PlatformFixture fixture(makeSettings(size));
  REQUIRE(fixture.waitUntilAllReady());
  fixture.runOnPlatformThread([&] {
    fixture.engine(0).EventDelay = Millis(1000);
    fixture.engine(1).EventDelay = Millis(1000);
  });
  std::vector<std::unique_ptr<Crowd>> crowds;
  for (std::size_t i = 0; i < Jobs; ++i) {
    std::string id = "large-" + std::to_string(i);
    Crowd::Settings setup;
    setup.Target = fixture.edge(0).CallerAddress;
    setup.Bytes = makeItemRequest(id, ItemBytes);
    setup.Reconnects = true;
    crowds.push_back(std::make_unique<Crowd>(std::move(setup)));
  }
  harness::Process &process = *fixture.edge(0).Running;
  CHECK_FALSE(process.wait(RunTime));
  crowds.clear();
  int requests = 0;
  CHECK(isServed(fixture, 100, requests));
  CHECK(isServed(fixture, LargeBytes, requests));
  std::cout << size.MemoryMb << " MiB: " << process.peakMemoryKib()
            << " KiB at most, " << process.memoryKib() << " KiB now"
            << std::endl;
  CHECK(process.peakMemoryKib() > 0);
  CHECK(process.peakMemoryKib() < size.MemoryMb << 10);
}

} // namespace wasabi::test
