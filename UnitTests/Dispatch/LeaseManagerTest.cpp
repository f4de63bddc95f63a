#include "Wasabi/Dispatch/LeaseManager.h"
#include "UnitTests/Batch/BatchFixture.h"

namespace wasabi::batchtest {

namespace {

/// A process that competes for the lease.
struct LeaseProcess {
  std::shared_ptr<bool> Disconnected = std::make_shared<bool>(false);
  std::shared_ptr<RolloutLog> Log;
  std::shared_ptr<LeaseManager> Manager;
  int Acquired = 0;
  int Lost = 0;

  LeaseProcess(BatchTestFixture &Fixture, const std::string &Name,
               Incarnation Life, Millis MaxClaimJitter = Millis(10)) {
    Log = Fixture.startLog(Fixture.Store.port(Disconnected));
    LeaseSettings limits;
    limits.Self = LeaseHolder{InstanceName(Name), Life};
    limits.LeaseTimeout = Millis(120);
    limits.RenewInterval = Millis(20);
    limits.MaxClaimJitter = MaxClaimJitter;
    Manager = LeaseManager::create(
        Fixture.Context.get_executor(), Log, Fixture.Decisions, limits,
        {[this] { ++Acquired; }, [this] { ++Lost; }});
    Manager->start();
  }
};

} // namespace

TEST_CASE("One of two processes acquires the lease", "[dispatch]") {
  BatchTestFixture world;
  LeaseProcess one(world, "one", 1);
  LeaseProcess two(world, "two", 2);
  REQUIRE(world.runUntil([&] { return one.Acquired + two.Acquired > 0; }));
  world.Context.run_for(Millis(300));
  CHECK(one.Acquired + two.Acquired == 1);
  CHECK(one.Manager->held() != two.Manager->held());
}

TEST_CASE("Of hundreds of processes that find the lease free, few claim it",
          "[dispatch]") {
  constexpr int Processes = 300;
  BatchTestFixture world;
  std::vector<std::unique_ptr<LeaseProcess>> all;
  all.reserve(Processes);
  for (int i = 0; i < Processes; ++i)
    all.push_back(std::make_unique<LeaseProcess>(
        world, "edge-" + std::to_string(i), i + 1, Millis(200)));
  auto holders = [&] {
    return std::count_if(all.begin(), all.end(),
                         [](const auto &It) { return It->Manager->held(); });
  };
  REQUIRE(world.runUntil([&] { return holders() == 1; }));
  world.Context.run_for(Millis(300));
  CHECK(holders() == 1);
  std::size_t claims = 0;
  for (const std::string &it : world.Store.Topics["rollout"]) {
    Outcome<BatchRecord> record =
        toOutcome<BatchRecord>([&] { return decodeRecord(it, "test"); });
    REQUIRE(record);
    claims += std::holds_alternative<LeaseClaim>(*record) ? 1 : 0;
  }
  CHECK(claims <= Processes / 10);
}

TEST_CASE("A disconnected holder is succeeded by another process and gives up "
          "the lease when it is reconnected",
          "[dispatch]") {
  BatchTestFixture world;
  LeaseProcess one(world, "one", 1);
  REQUIRE(world.runUntil([&] { return one.Manager->held(); }));
  LeaseProcess two(world, "two", 2);
  *one.Disconnected = true;
  REQUIRE(world.runUntil([&] { return two.Manager->held(); }));
  *one.Disconnected = false;
  // The store still appends its renewals, but they are not valid.
  REQUIRE(world.runUntil([&] { return !one.Manager->held(); }));
  world.Context.run_for(Millis(300));
  CHECK(two.Manager->held());
  CHECK(two.Lost == 0);
  CHECK(one.Lost == 1);
}

TEST_CASE("A released lease is acquired without waiting for its timeout",
          "[dispatch]") {
  BatchTestFixture world;
  LeaseProcess one(world, "one", 1);
  REQUIRE(world.runUntil([&] { return one.Manager->held(); }));
  LeaseProcess two(world, "two", 2);
  REQUIRE(world.runUntil([&] { return two.Log->caughtUp(); }));
  world.run([&]() -> boost::asio::awaitable<void> {
    co_await one.Manager->release();
  });
  REQUIRE(world.runUntil([&] { return two.Manager->held(); }));
  CHECK_FALSE(one.Manager->held());
}

TEST_CASE("A process does not reacquire a lease that it has released",
          "[dispatch]") {
  BatchTestFixture world;
  LeaseProcess one(world, "one", 1);
  REQUIRE(world.runUntil([&] { return one.Manager->held(); }));
  // Without the release record, the topic still shows this process as the
  // holder.
  world.Store.AppendFaults = {AppendFault::Lost};
  world.run([&]() -> boost::asio::awaitable<void> {
    co_await one.Manager->release();
  });
  world.Context.run_for(Millis(100));
  CHECK(one.Acquired == 1);
  CHECK_FALSE(one.Manager->held());
}

TEST_CASE("The holder keeps the lease across an outage of the store",
          "[dispatch]") {
  BatchTestFixture world;
  LeaseProcess one(world, "one", 1);
  REQUIRE(world.runUntil([&] { return one.Manager->held(); }));
  LeaseProcess two(world, "two", 2);
  REQUIRE(world.runUntil([&] { return two.Log->caughtUp(); }));
  world.Store.Down = true;
  world.Context.run_for(Millis(700));
  world.Store.Down = false;
  world.Context.run_for(Millis(400));
  CHECK(one.Manager->held());
  CHECK(two.Acquired == 0);
}

TEST_CASE("A restarted process may claim the lease of its predecessor at once",
          "[dispatch]") {
  LeaseState lease;
  lease.Holder = LeaseHolder{InstanceName("one"), 1};
  lease.Seen = TimePoint() + Millis(5000);
  StoreContact contact;
  contact.Lost = false;
  LeaseSettings limits;
  limits.Self = LeaseHolder{InstanceName("one"), 2};
  TimePoint now = lease.Seen + Millis(1);
  CHECK(isLeaseFree(lease, contact, limits, Millis(0), now));
  limits.Self.Instance = InstanceName("two");
  CHECK_FALSE(isLeaseFree(lease, contact, limits, Millis(0), now));
  CHECK(isLeaseFree(lease, contact, limits, Millis(0),
                    now + limits.LeaseTimeout));
}

// Guards against a claim by a process that has not read the holder yet, and
// against calls that overlap with those of a holder whose records have expired.
TEST_CASE("A process that starts after expired records respects their holder",
          "[dispatch]") {
  BatchTestFixture world;
  world.Store.expire("rollout", 200);
  LeaseProcess one(world, "one", 1);
  REQUIRE(world.runUntil([&] { return one.Manager->held(); }));
  world.Context.run_for(Millis(60));
  REQUIRE(one.Manager->permit());
  // It can't tell whether there was a holder before.
  CHECK(one.Manager->permit()->From - monotonicNow() > Millis(2000));
  // The claim has expired, the renewals have not.
  world.Store.expire("rollout", world.Store.Topics["rollout"].size() - 1);
  LeaseProcess two(world, "two", 2);
  REQUIRE(world.runUntil([&] { return two.Log->caughtUp(); }));
  world.Context.run_for(Millis(300));
  CHECK(one.Manager->held());
  CHECK(two.Acquired == 0);
}

} // namespace wasabi::batchtest
