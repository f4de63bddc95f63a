/// \file
/// Guards against servers whose responses have no end: they may neither end an
/// edge process by its memory, nor keep callers and trainers from their
/// answers.
#include "IntegrationTests/Harness/Waiting.h"
#include "IntegrationTests/Platform/PlatformFixture.h"

#include <catch2/catch.hpp>

#include <future>

namespace wasabi::test {

namespace {

constexpr Millis WaitTimeout{20000};
constexpr unsigned Ok = 200;
constexpr unsigned Accepted = 202;
constexpr unsigned Unavailable = 503;
/// Time limit of the route, and a margin for the machine that runs the test.
constexpr Millis MaxAnswerTime{2500};

/// Numbers of requests by what became of them.
struct CallCounts {
  int Answered = 0;
  int Refused = 0;
  /// Late, wrong or without a response.
  int Others = 0;
};

/// Sends requests one after the other until `Until`.
CallCounts callUntil(PlatformFixture &Fixture, std::size_t Caller,
                     TimePoint Until) {
  CallCounts counts;
  for (int i = 0; monotonicNow() < Until; ++i) {
    std::string id = "c" + std::to_string(Caller) + "-" + std::to_string(i);
    TimePoint sent = monotonicNow();
    http::Response got =
        Fixture.postRequest(Caller % Fixture.edges(), "/desk/x", id);
    bool inTime = monotonicNow() - sent < MaxAnswerTime;
    bool isAnswer = got.Status == Ok && got.Body == "answer to " + id;
    if (inTime && isAnswer)
      ++counts.Answered;
    else if (inTime && got.Status == Unavailable)
      ++counts.Refused;
    else
      ++counts.Others;
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
  std::vector<std::future<CallCounts>> callers;
  for (std::size_t i = 0; i < Callers; ++i)
    callers.push_back(std::async(std::launch::async, [&fixture, i, until] {
      return callUntil(fixture, i, until);
    }));
  CallCounts sum;
  for (std::future<CallCounts> &it : callers) {
    CallCounts counts = it.get();
    sum.Answered += counts.Answered;
    sum.Refused += counts.Refused;
    sum.Others += counts.Others;
  }
  INFO(sum.Answered << " answered, " << sum.Refused << " refused, "
                    << sum.Others << " others\n"
                    << fixture.output());
  CHECK(sum.Answered > 0);
  CHECK(sum.Others == 0);
  // The items and their scoring calls are served by the other servers.
  CHECK(fixture.waitForResults(1, "job", 6));
  for (std::size_t i = 0; i < fixture.edges(); ++i) {
    CHECK_FALSE(fixture.edge(i).Running->wait(Millis(0)));
    CHECK(fixture.edge(i).Running->peakMemoryKib() < EdgeMemoryKib);
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
