#include "platform/Feeds.h"
#include "UnitTests/Batch/BatchFixture.h"

#include <array>

#include <fcntl.h>
#include <unistd.h>

namespace wasabi::platform {

namespace {

/// A process that follows the operator's and the servers' topics.
struct FeedsFixture : batchtest::BatchTestFixture {
  FleetView View;
  std::shared_ptr<KeyedFollower> Operator;
  std::shared_ptr<KeyedFollower> Registrations;

  /// Reads the log of `Decisions`.
  std::array<int, 2> LogPipe{};
  std::string Log;

  FeedsFixture() {
    REQUIRE(::pipe2(LogPipe.data(), O_NONBLOCK) == 0);
    DecisionLog::Settings logSettings;
    logSettings.Descriptor = LogPipe[1];
    Decisions = DecisionLog::create(Context, logSettings);
    FeedContext feeds{Context.get_executor(), Store.port(), Decisions, View};
    Operator = followOperatorTopic(feeds, KeyDigester::create().value(), {});
    Registrations = followRegistrations(feeds, {Millis(1), std::nullopt}, {});
  }
  ~FeedsFixture() override {
    for (int it : LogPipe)
      ::close(it);
  }
  FeedsFixture(const FeedsFixture &) = delete;
  FeedsFixture &operator=(const FeedsFixture &) = delete;
  /// Returns the number of log lines with this message so far.
  std::size_t linesWith(const std::string &Message) {
    Decisions->flush();
    std::array<char, 4096> buf{};
    for (ssize_t n = 1; n > 0;) {
      n = ::read(LogPipe[0], buf.data(), buf.size());
      Log.append(buf.data(), static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
    }
    std::size_t count = 0;
    std::string wanted = '"' + Message + '"';
    for (std::size_t at = Log.find(wanted); at != std::string::npos;
         at = Log.find(wanted, at + 1))
      ++count;
    return count;
  }
  /// Writes a record of the operator; an empty value deletes the key.
  void write(const std::string &Key, const std::string &Value) {
    Store.append("keyed.op", Value.empty() ? Key : Key + "|" + Value);
  }
  bool isEvacuated(const std::string &Domain) const {
    return View.Servers.EvacuatedDomains.contains(DomainName(Domain));
  }
  void registerColdServer(const std::string &Id, int ColdRemaining) {
    Store.append("keyed.servers",
                 Id + R"(|{"service":"s","address":"10.0.0.9:80",)" +
                     R"("zone":"north","version":"v1","slots":6,)" +
                     R"("state":"ready","models":[],"sequence":1,)" +
                     R"("cold_remaining_ms":)" + std::to_string(ColdRemaining) +
                     "}");
  }
  std::shared_ptr<UpstreamServer> server(const std::string &Id) {
    auto it = View.Servers.Servers.find(ServerName(Id));
    return it == View.Servers.Servers.end() ? nullptr : it->second;
  }
};

} // namespace

TEST_CASE("An evacuation holds until the operator deletes its record",
          "[platform]") {
  FeedsFixture fixture;
  fixture.write("evacuate/north", "{}");
  REQUIRE(fixture.runUntil([&] { return fixture.isEvacuated("north"); }));
  SECTION("Malformed and unknown records change nothing") {
    fixture.write("evacuate/", "{}");
    fixture.write("evacuate", "{}");
    fixture.write("EVACUATE/south", "{}");
    fixture.write("evacuate/north", "\xff");
    fixture.write("evacuate/south", "{}");
    REQUIRE(fixture.runUntil([&] { return fixture.isEvacuated("south"); }));
    CHECK(fixture.View.Servers.EvacuatedDomains.size() == 2);
  }
  SECTION("A deletion ends it") {
    fixture.write("evacuate/north", "");
    REQUIRE(fixture.runUntil([&] { return !fixture.isEvacuated("north"); }));
  }
  SECTION("A record that is missing after a gap in the topic ends it") {
    fixture.write("evacuate/north", "");
    fixture.Store.First["keyed.op"] = 2;
    REQUIRE(fixture.runUntil([&] { return !fixture.isEvacuated("north"); }));
  }
}

TEST_CASE("A registration says how long its server is cold", "[platform]") {
  FeedsFixture fixture;
  fixture.registerColdServer("a", 60000);
  REQUIRE(fixture.runUntil([&] { return fixture.server("a") != nullptr; }));
  CHECK(isCold(*fixture.server("a"), Millis(0), monotonicNow()));
  fixture.registerColdServer("a", 0);
  REQUIRE(fixture.runUntil([&] {
    return !isCold(*fixture.server("a"), Millis(0), monotonicNow());
  }));
}

TEST_CASE("Hundreds of servers that register at once leave few log lines",
          "[platform]") {
  FeedsFixture fixture;
  constexpr std::size_t Servers = 400;
  for (std::size_t i = 0; i < Servers; ++i)
    fixture.registerColdServer("s" + std::to_string(i), 0);
  REQUIRE(fixture.runUntil(
      [&] { return fixture.View.Servers.Servers.size() == Servers; }));
  CHECK(fixture.linesWith("servers.registered") == 1);
  CHECK(fixture.linesWith("server.registered") == 0);
  fixture.registerColdServer("late", 0);
  REQUIRE(fixture.runUntil([&] { return fixture.server("late") != nullptr; }));
  fixture.Context.run_for(Millis(10));
  CHECK(fixture.linesWith("server.registered") == 1);
}

} // namespace wasabi::platform
