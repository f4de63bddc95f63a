#include "IntegrationTests/Harness/FreePort.h"
#include "IntegrationTests/Harness/Process.h"
#include "IntegrationTests/Harness/TestFolder.h"
#include "IntegrationTests/Harness/Waiting.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <set>

using wasabi::Millis;
using wasabi::Outcome;
using wasabi::harness::PortAllocator;
using wasabi::harness::Process;
using wasabi::harness::ProcessExit;
using wasabi::harness::TestFolder;

namespace {

constexpr Millis WaitTimeout{20000};

} // namespace

TEST_CASE("A process is run, read and waited for") {
  std::unique_ptr<Process> child =
      Process::start({"wasabi-replay", {"--version"}, {}, ""}).value();
  std::optional<ProcessExit> end = child->waitAndRead(WaitTimeout);
  REQUIRE(end);
  CHECK(end->Code == 0);
  CHECK(child->output() == "wasabi-replay " WASABI_VERSION "\n");
  CHECK_FALSE(child->running());
}

TEST_CASE("An invalid setting exits with the usage code") {
  std::unique_ptr<Process> child =
      Process::start({"wasabi-replay", {"--no-such-flag"}, {}, ""}).value();
  std::optional<ProcessExit> end = child->wait(WaitTimeout);
  REQUIRE(end);
  CHECK(end->Code == 2);
}

TEST_CASE("A process without an address is reported with its stderr") {
  std::unique_ptr<TestFolder> folder = TestFolder::create().value();
  Outcome<wasabi::Address> none = wasabi::toOutcome<wasabi::Address>(
      [&]() -> wasabi::Result<wasabi::Address> {
        BOOST_LEAF_AUTO(child, Process::start({"wasabi-replay",
                                               {"--no-such-flag"},
                                               {},
                                               folder->file("errors")}));
        return child->waitForAddress("listening", WaitTimeout);
      });
  REQUIRE_FALSE(none);
  CHECK_THAT(none.failure().Reason, Catch::Contains("no-such-flag"));
}

TEST_CASE("Starting a missing program fails") {
  CHECK_FALSE(Process::start({"no-such-program", {}, {}, ""}));
}

TEST_CASE("A test folder is removed after the test") {
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
  CHECK(wasabi::harness::waitUntil([&] { return ++asked == 3; }, WaitTimeout));
  CHECK(asked == 3);
  CHECK_FALSE(wasabi::harness::waitUntil([] { return false; }, Millis(1)));
}

// Guards against two runs of many seeds at the same time, of which one draws
// the port of a process that the other one has stopped and starts again.
TEST_CASE("Two port allocators draw no port twice") {
  constexpr unsigned FirstBlock = 700;
  constexpr std::size_t Ports = 60;
  PortAllocator first(FirstBlock);
  PortAllocator second(FirstBlock + 1);
  std::set<std::uint16_t> drawn;
  for (std::size_t i = 0; i < Ports; ++i) {
    drawn.insert(first.draw().value().Port);
    drawn.insert(second.draw().value().Port);
  }
  CHECK(drawn.size() == 2 * Ports);
}
