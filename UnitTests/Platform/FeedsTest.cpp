#include "platform/Feeds.h"
#include "UnitTests/Batch/BatchFixture.h"

namespace wasabi::platform {

namespace {

/// A process that follows the operator's and the servers' topics.
struct FeedsFixture : batchtest::BatchTestFixture {
  FleetView View;
  std::shared_ptr<KeyedFollower> Operator;
  std::shared_ptr<KeyedFollower> Registrations;

  FeedsFixture() {
    FeedContext feeds{Context.get_executor(), Store.port(), Decisions, View};
    Operator = followOperatorTopic(feeds, KeyDigester::create().value(), {});
    Registrations = followRegistrations(feeds, {Millis(1), std::nullopt}, {});
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

TEST_CASE("The servers known at the start are complete after the snapshot",
          "[platform]") {
  FeedsFixture fixture;
  CHECK_FALSE(fixture.View.Servers.IsComplete);
  for (int i = 0; i < 400; ++i)
    fixture.registerColdServer("s" + std::to_string(i), 0);
  REQUIRE(fixture.runUntil([&] { return fixture.View.Servers.IsComplete; }));
  CHECK(fixture.View.Servers.Servers.size() == 400);
}

} // namespace wasabi::platform
