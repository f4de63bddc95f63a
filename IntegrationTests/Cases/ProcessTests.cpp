#include "IntegrationTests/Harness/Process.h"
#include "IntegrationTests/Harness/TestFolder.h"
#include "IntegrationTests/Harness/Waiting.h"

#include <catch2/catch.hpp>

#include <filesystem>

using wasabi::Millis;
using wasabi::Outcome;
using wasabi::harness::Process;
using wasabi::harness::ProcessExit;
using wasabi::harness::TestFolder;

namespace {

constexpr Millis Limit{20000};

} // namespace

TEST_CASE("A process is run, read and waited for") {
  std::unique_ptr<Process> child =
      Process::start({"wasabi-replay", {"--version"}, {}, ""}).value();
  std::optional<ProcessExit> end = child->waitAndRead(Limit);
  REQUIRE(end);
  CHECK(end->Code == 0);
  CHECK(child->output() == "wasabi-replay " WASABI_VERSION "\n");
  CHECK_FALSE(child->running());
}

TEST_CASE("A wrong setting ends a program with the usage code") {
  std::unique_ptr<Process> child =
      Process::start({"wasabi-replay", {"--no-such-flag"}, {}, ""}).value();
  std::optional<ProcessExit> end = child->wait(Limit);
  REQUIRE(end);
  CHECK(end->Code == 2);
}

TEST_CASE("A process that announces nothing is told of with its errors") {
  std::unique_ptr<TestFolder> folder = TestFolder::create().value();
  Outcome<wasabi::Address> none = wasabi::toOutcome<wasabi::Address>(
      [&]() -> wasabi::Result<wasabi::Address> {
        BOOST_LEAF_AUTO(child, Process::start({"wasabi-replay",
                                               {"--no-such-flag"},
                                               {},
                                               folder->file("errors")}));
        return child->waitForAddress("listening", Limit);
      });
  REQUIRE_FALSE(none);
  CHECK_THAT(none.failure().Reason, Catch::Contains("no-such-flag"));
}

TEST_CASE("A program that is not there is an error at the start") {
  CHECK_FALSE(Process::start({"no-such-program", {}, {}, ""}));
}

TEST_CASE("A test's folder is there during the test only") {
  std::filesystem::path path;
  {
    std::unique_ptr<TestFolder> folder = TestFolder::create().value();
    path = folder->path();
    CHECK(std::filesystem::is_directory(path));
  }
  CHECK_FALSE(std::filesystem::exists(path));
}

TEST_CASE("Waiting ends when the condition holds or the limit has passed") {
  int asked = 0;
  CHECK(wasabi::harness::waitUntil([&] { return ++asked == 3; }, Limit));
  CHECK(asked == 3);
  CHECK_FALSE(wasabi::harness::waitUntil([] { return false; }, Millis(1)));
}
