#include "Wasabi/Upstream/StoreRecovery.h"

#include "UnitTests/Batch/BatchFixture.h"

namespace wasabi::batchtest {

namespace {

struct RecoveryWorld : BatchTestFixture {
  StoreRecoverySettings limits() const {
    StoreRecoverySettings limits;
    limits.ProbeInterval = Millis(5);
    limits.MinOutage = Millis(40);
    limits.AnswerTime = Millis(10);
    limits.Contact.OutageTimeout = Millis(20);
    return limits;
  }

  RecordStore port() {
    return makeRecoveringStore(Context.get_executor(), Store.port(), Decisions,
                               limits());
  }
};

boost::asio::awaitable<void> append(RecordStore To,
                                    std::optional<Outcome<Offset>> &Into) {
  std::vector<std::string> records{"record"};
  Into = co_await To.Append("topic", std::move(records), std::nullopt,
                            Millis(1000));
}

} // namespace

TEST_CASE("A call that hangs ends once the store answers a younger one",
          "[recovery]") {
  RecoveryWorld world;
  RecordStore store = world.port();
  std::optional<Outcome<Offset>> hanging;
  world.Store.Unresponsive = true;
  boost::asio::co_spawn(world.Context, append(store, hanging),
                        boost::asio::detached);
  // Nobody calls after the read that shows that the store is away.
  world.run([&]() -> boost::asio::awaitable<void> {
    co_await pauseFor(world.Context.get_executor(), Millis(50));
    Outcome<LogRange> got = co_await store.Read("topic", 0, Millis(0), 100);
    CHECK_FALSE(got);
  });
  CHECK_FALSE(hanging);
  world.Store.Unresponsive = false;
  REQUIRE(world.runUntil([&] { return hanging.has_value(); }));
  REQUIRE_FALSE(*hanging);
  CHECK(hanging->failure().Code == FailureCode::Cancelled);
  CHECK(hanging->failure().Run == Verdict::MayHaveRun);
}

TEST_CASE("A lost answer ends no other call", "[recovery]") {
  RecoveryWorld world;
  RecordStore store = world.port();
  std::optional<Outcome<Offset>> hanging;
  world.Store.Unresponsive = true;
  boost::asio::co_spawn(world.Context, append(store, hanging),
                        boost::asio::detached);
  world.run([&]() -> boost::asio::awaitable<void> {
    co_await pauseFor(world.Context.get_executor(), Millis(3));
    world.Store.Unresponsive = false;
    world.Store.AppendFaults = {AppendFault::AnswerLost};
    std::vector<std::string> records{"other"};
    Outcome<Offset> lost = co_await store.Append("topic", std::move(records),
                                                 std::nullopt, Millis(1000));
    CHECK_FALSE(lost);
    Outcome<LogRange> got = co_await store.Read("topic", 0, Millis(0), 100);
    CHECK(got);
  });
  CHECK_FALSE(hanging);
}

TEST_CASE("A process that follows a silent store reads on once it is back",
          "[recovery]") {
  RecoveryWorld world;
  // Its reads alone would not see the return for a long time.
  world.Store.SilentReadTimeout = Millis(60);
  std::shared_ptr<RolloutLog> log = world.startLog(world.port());
  REQUIRE(world.runUntil([&] { return log->caughtUp(); }));
  world.Store.Unresponsive = true;
  REQUIRE(world.runUntil([&] { return log->contact().Lost; }));
  world.Store.SilentReadTimeout = Millis(60000);
  world.run([&]() -> boost::asio::awaitable<void> {
    co_await pauseFor(world.Context.get_executor(), Millis(100));
  });
  world.Store.Unresponsive = false;
  CHECK(world.runUntil([&] { return !log->contact().Lost; }));
}

} // namespace wasabi::batchtest
