/// \file
/// Guards against peers that end an entry or a daemon by what they make its
/// listeners hold.
#include "IntegrationTests/Cases/RequestFixture.h"
#include "IntegrationTests/Harness/Crowd.h"

#include <catch2/catch.hpp>

namespace wasabi::test {

namespace {

using harness::Crowd;

constexpr unsigned Ok = 200;
/// Memory of an entry and of a daemon in MiB, if their settings name none.
constexpr std::size_t MemoryMb = 256;
/// Maximum size of a body and of a frame.
constexpr std::size_t MaxBodyBytes = 8u << 20;
constexpr std::size_t MaxFrameBytes = 16u << 20;

/// Returns a request without the last byte of its body.
std::string makeUnfinishedRequest(const std::string &Path) {
  return "POST " + Path +
         " HTTP/1.1\r\nHost: n1\r\nX-Service: desk\r\nContent-Length: " +
         std::to_string(MaxBodyBytes) + "\r\n\r\n" +
         std::string(MaxBodyBytes - 1, 'x');
}

/// Returns a frame without its last byte.
std::string makeUnfinishedFrame() {
  constexpr unsigned BitsPerByte = 8;
  std::string frame;
  for (unsigned shift = 0; shift < 4 * BitsPerByte; shift += BitsPerByte)
    frame += static_cast<char>(MaxFrameBytes >> shift);
  return frame + std::string(MaxFrameBytes - 1, 'x');
}

/// A server, a daemon and an entry.
struct ListenerFixture : RequestFixture {
  ListenerFixture() {
    addServer("a", "service");
    addDaemon("d1", "lulea-hall", {{"a", "desk"}});
    addEntry("n1", "lulea-hall");
    publish(R"([{"kind":"service","name":"desk","type":"plain"}])");
    waitForServers(1);
  }

  /// Checks that the process lives within its memory and that an ordinary
  /// request is answered.
  void checkServes(const std::string &Pressed) {
    bool served = harness::waitUntil(
        [&] {
          Outcome<http::Response> got =
              sendRequest("n1", plainRequest("desk", "GET", "/sites"));
          return got && got->Status == Ok;
        },
        WaitTimeout);
    CHECK(served);
    harness::Process &process = *member(Pressed).Child;
    std::size_t peak = process.peakMemoryKib();
    INFO(Pressed << ": " << peak << " KiB at most");
    CHECK(process.running());
    CHECK(peak > 0);
    CHECK(peak < MemoryMb << 10);
  }
};

} // namespace

TEST_CASE("Crowd: unfinished bodies stay within the memory of an entry") {
  ListenerFixture fixture;
  Crowd::Settings setup;
  setup.Clients = 40;
  SECTION("At the listener for callers") {
    setup.Target = fixture.member("n1").ListenAddress;
    setup.Bytes = makeUnfinishedRequest("/sites");
  }
  SECTION("At the listener for operators") {
    setup.Target = fixture.member("n1").Admin;
    setup.Bytes = makeUnfinishedRequest("/status");
  }
  Crowd crowd(std::move(setup));
  crowd.waitUntilSettled();
  fixture.checkServes("n1");
}

TEST_CASE("Crowd: unfinished frames stay within the memory of a daemon") {
  ListenerFixture fixture;
  Crowd::Settings setup;
  setup.Clients = 24;
  setup.Bytes = makeUnfinishedFrame();
  SECTION("At the listener for request frames") {
    setup.Target = fixture.member("d1").ListenAddress;
  }
  SECTION("At the listener for control frames") {
    setup.Target = fixture.member("d1").Control;
  }
  Crowd crowd(std::move(setup));
  crowd.waitUntilSettled();
  fixture.checkServes("d1");
}

} // namespace wasabi::test
