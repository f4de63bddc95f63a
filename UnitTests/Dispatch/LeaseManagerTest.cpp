#include "Wasabi/Dispatch/LeaseManager.h"
#include "UnitTests/Batch/BatchFixture.h"

namespace wasabi::batchtest {

namespace {

/// One process that may dispatch.
struct DutyProcess {
  std::shared_ptr<bool> Disconnected = std::make_shared<bool>(false);
  std::shared_ptr<RolloutLog> Log;
  std::shared_ptr<LeaseManager> Duty;
  int Gained = 0;
  int Lost = 0;

  DutyProcess(BatchTestFixture &World, const std::string &Name,
              Incarnation Life) {
    Log = World.startLog(World.Store.port(Disconnected));
    LeaseSettings limits;
    limits.Self = LeaseHolder{InstanceName(Name), Life};
    limits.LeaseTimeout = Millis(120);
    limits.RenewInterval = Millis(20);
    limits.MaxClaimJitter = Millis(10);
    Duty = LeaseManager::create(World.Context.get_executor(), Log,
                                World.Decisions, limits,
                                {[this] { ++Gained; }, [this] { ++Lost; }});
    Duty->start();
  }
};

} // namespace

TEST_CASE("One of two processes takes the duty", "[dispatch]") {
  BatchTestFixture world;
  DutyProcess one(world, "one", 1);
  DutyProcess two(world, "two", 2);
  REQUIRE(world.runUntil([&] { return one.Gained + two.Gained > 0; }));
  world.Context.run_for(Millis(300));
  CHECK(one.Gained + two.Gained == 1);
  CHECK(one.Duty->held() != two.Duty->held());
}

TEST_CASE("A holder that is cut off is followed by another, and yields when "
          "it is back",
          "[dispatch]") {
  BatchTestFixture world;
  DutyProcess one(world, "one", 1);
  REQUIRE(world.runUntil([&] { return one.Duty->held(); }));
  DutyProcess two(world, "two", 2);
  *one.Disconnected = true;
  REQUIRE(world.runUntil([&] { return two.Duty->held(); }));
  *one.Disconnected = false;
  // Its renewals are taken by the store all the same; they hold nothing.
  REQUIRE(world.runUntil([&] { return !one.Duty->held(); }));
  world.Context.run_for(Millis(300));
  CHECK(two.Duty->held());
  CHECK(two.Lost == 0);
  CHECK(one.Lost == 1);
}

TEST_CASE("A released duty is taken at once", "[dispatch]") {
  BatchTestFixture world;
  DutyProcess one(world, "one", 1);
  REQUIRE(world.runUntil([&] { return one.Duty->held(); }));
  DutyProcess two(world, "two", 2);
  REQUIRE(world.runUntil([&] { return two.Log->caughtUp(); }));
  std::vector<std::string> texts{encodeRecord(
      PartialTextRecord{JobId("a"), ItemId("b"), 1, 0, {"t", 1, {1}, false}})};
  world.run([&]() -> boost::asio::awaitable<void> {
    co_await one.Duty->release(texts);
  });
  REQUIRE(world.runUntil([&] { return two.Duty->held(); }));
  CHECK_FALSE(one.Duty->held());
}

TEST_CASE("A duty that was given back is not taken up again", "[dispatch]") {
  BatchTestFixture world;
  DutyProcess one(world, "one", 1);
  REQUIRE(world.runUntil([&] { return one.Duty->held(); }));
  // The topic says for a while that the lease is held, or for ever when the
  // release is lost.
  world.Store.AppendFaults = {AppendFault::Lost};
  world.run([&]() -> boost::asio::awaitable<void> {
    std::vector<std::string> none;
    co_await one.Duty->release(std::move(none));
  });
  world.Context.run_for(Millis(100));
  CHECK(one.Gained == 1);
  CHECK_FALSE(one.Duty->held());
}

TEST_CASE("An outage of the store costs the holder nothing", "[dispatch]") {
  BatchTestFixture world;
  DutyProcess one(world, "one", 1);
  REQUIRE(world.runUntil([&] { return one.Duty->held(); }));
  DutyProcess two(world, "two", 2);
  REQUIRE(world.runUntil([&] { return two.Log->caughtUp(); }));
  world.Store.Down = true;
  world.Context.run_for(Millis(700));
  world.Store.Down = false;
  world.Context.run_for(Millis(400));
  CHECK(one.Duty->held());
  CHECK(two.Gained == 0);
}

TEST_CASE("A restarted process does not wait for its predecessor's lease",
          "[dispatch]") {
  LeaseState lease;
  lease.Holder = LeaseHolder{InstanceName("one"), 1};
  lease.Seen = TimePoint() + Millis(5000);
  StoreContact contact;
  contact.Lost = false;
  LeaseSettings self;
  self.Self = LeaseHolder{InstanceName("one"), 2};
  TimePoint now = lease.Seen + Millis(1);
  CHECK(isLeaseFree(lease, contact, self, Millis(0), now));
  self.Self.Instance = InstanceName("two");
  CHECK_FALSE(isLeaseFree(lease, contact, self, Millis(0), now));
  CHECK(isLeaseFree(lease, contact, self, Millis(0), now + self.LeaseTimeout));
}

} // namespace wasabi::batchtest
