/// \file
/// Guards against servers whose responses have no end: they may neither end an
/// edge process by its memory, nor keep callers and trainers from their
/// answers.
#include "IntegrationTests/Harness/Waiting.h"
#include "IntegrationTests/Platform/PlatformFixture.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <future>

namespace wasabi::test {

namespace {

constexpr Millis WaitTimeout{20000};
constexpr unsigned Ok = 200;
constexpr unsigned Accepted = 202;
constexpr unsigned Unavailable = 503;
/// Memory of an edge instance of the users, in KiB.
constexpr std::size_t EdgeMemoryKib = 280u << 10;
/// Time limit of the route, and a margin for the machine that runs the test.
constexpr Millis MaxAnswerTime{2500};

/// Returns the greatest memory that a process has used, in KiB.
std::size_t findPeakMemoryKib(const harness::Process &Running) {
  std::ifstream status("/proc/" + std::to_string(Running.pid()) + "/status");
  std::string name;
  std::size_t value = 0;
  while (status >> name) {
    if (name == "VmHWM:" && status >> value)
      return value;
  }
  return 0;
}

/// Sends requests one after the other until `Until`. Returns the numbers of
/// answers, of refusals and of all others.
std::array<int, 3> callUntil(PlatformFixture &Fixture, std::size_t Caller,
                             TimePoint Until) {
  std::array<int, 3> counts{};
  for (int i = 0; monotonicNow() < Until; ++i) {
    std::string id = "c" + std::to_string(Caller) + "-" + std::to_string(i);
    TimePoint sent = monotonicNow();
    http::Response got =
        Fixture.postRequest(Caller % Fixture.edges(), "/desk/x", id);
    bool inTime = monotonicNow() - sent < MaxAnswerTime;
    bool isAnswer = got.Status == Ok && got.Body == "answer to " + id;
    ++counts[!inTime ? 2 : isAnswer ? 0 : got.Status == Unavailable ? 1 : 2];
  }
  return counts;
}

} // namespace

TEST_CASE("Platform: responses without end cost neither memory nor answers") {
  constexpr std::size_t Callers = 32;
  PlatformFixture fixture(PlatformFixtureSettings{2, 2, 2, false});
  REQUIRE(fixture.waitUntilAllReady());
  fixture.runOnPlatformThread([&] {
    fixture.plainServer(0).AnswersWithoutEnd = true;
    fixture.engine(0).AnswersWithoutEnd = true;
  });
  REQUIRE(fixture.submit(0, "job", 6) == Accepted);
  TimePoint until = monotonicNow() + Millis(5000);
  std::vector<std::future<std::array<int, 3>>> callers;
  for (std::size_t i = 0; i < Callers; ++i)
    callers.push_back(std::async(std::launch::async, [&fixture, i, until] {
      return callUntil(fixture, i, until);
    }));
  std::array<int, 3> sum{};
  for (std::future<std::array<int, 3>> &it : callers) {
    std::array<int, 3> counts = it.get();
    for (std::size_t i = 0; i < counts.size(); ++i)
      sum[i] += counts[i];
  }
  INFO(sum[0] << " answered, " << sum[1] << " refused, " << sum[2]
              << " others\n"
              << fixture.output());
  CHECK(sum[0] > 0);
  CHECK(sum[2] == 0);
  // The items and their scoring calls are served by the other servers.
  CHECK(fixture.waitForResults(1, "job", 6));
  for (std::size_t i = 0; i < fixture.edges(); ++i) {
    CHECK_FALSE(fixture.edge(i).Running->wait(Millis(0)));
    CHECK(findPeakMemoryKib(*fixture.edge(i).Running) < EdgeMemoryKib);
  }
  CHECK(fixture.output().find("response.given_up") != std::string::npos);
  // The server is tried again, and serves once it answers.
  fixture.runOnPlatformThread([&] {
    fixture.plainServer(0).AnswersWithoutEnd = false;
    fixture.plainServer(0).Runs.clear();
  });
  CHECK(harness::waitUntil(
      [&] {
        fixture.postRequest(0, "/desk/x", "back");
        return fixture.runOnPlatformThread<bool>(
            [&] { return !fixture.plainServer(0).Runs.empty(); });
      },
      WaitTimeout));
}

} // namespace wasabi::test
