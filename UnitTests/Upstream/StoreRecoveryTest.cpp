#include "Wasabi/Upstream/StoreRecovery.h"

#include "UnitTests/Batch/BatchFixture.h"

namespace wasabi::batchtest {

namespace {

struct RecoveryFixture : BatchTestFixture {
  StoreRecoverySettings recoverySettings() const {
    StoreRecoverySettings settings;
    settings.ProbeInterval = Millis(5);
    settings.MinOutage = Millis(40);
    settings.StuckCallTimeout = Millis(10);
    settings.Contact.OutageTimeout = Millis(20);
    settings.SnapshotWait = Millis(40);
    return settings;
  }

  RecordStore recoveringPort() {
    return makeRecoveringStore(Context.get_executor(), Store.port(), Decisions,
                               recoverySettings());
  }
};

boost::asio::awaitable<void> append(RecordStore Store,
                                    std::optional<Outcome<Offset>> &Result) {
  std::vector<std::string> records{"record"};
  Result = co_await Store.Append("topic", std::move(records), std::nullopt,
                                 Millis(1000));
}

} // namespace

TEST_CASE("A stuck call is cancelled once the store answers a later one",
          "[recovery]") {
  RecoveryFixture fixture;
  RecordStore store = fixture.recoveringPort();
  std::optional<Outcome<Offset>> stuck;
  fixture.Store.Unresponsive = true;
  boost::asio::co_spawn(fixture.Context, append(store, stuck),
                        boost::asio::detached);
  // No further calls follow: only probes can detect the end of the outage.
  fixture.run([&]() -> boost::asio::awaitable<void> {
    co_await pauseFor(fixture.Context.get_executor(), Millis(50));
    Outcome<LogRead> got = co_await store.Read("topic", 0, Millis(0), 100);
    CHECK_FALSE(got);
  });
  CHECK_FALSE(stuck);
  fixture.Store.Unresponsive = false;
  REQUIRE(fixture.runUntil([&] { return stuck.has_value(); }));
  REQUIRE_FALSE(*stuck);
  CHECK(stuck->failure().Code == FailureCode::Cancelled);
  CHECK(stuck->failure().Run == Verdict::MayHaveRun);
}

TEST_CASE("A single lost answer cancels no other call", "[recovery]") {
  RecoveryFixture fixture;
  RecordStore store = fixture.recoveringPort();
  std::optional<Outcome<Offset>> stuck;
  fixture.Store.Unresponsive = true;
  boost::asio::co_spawn(fixture.Context, append(store, stuck),
                        boost::asio::detached);
  fixture.run([&]() -> boost::asio::awaitable<void> {
    co_await pauseFor(fixture.Context.get_executor(), Millis(3));
    fixture.Store.Unresponsive = false;
    fixture.Store.AppendFaults = {AppendFault::AnswerLost};
    std::vector<std::string> records{"other"};
    Outcome<Offset> lost = co_await store.Append("topic", std::move(records),
                                                 std::nullopt, Millis(1000));
    CHECK_FALSE(lost);
    Outcome<LogRead> got = co_await store.Read("topic", 0, Millis(0), 100);
    CHECK(got);
  });
  CHECK_FALSE(stuck);
}

TEST_CASE("A follower resumes reading after an outage of the store",
          "[recovery]") {
  RecoveryFixture fixture;
  // The follower's own reads time out too late to detect the end of the
  // outage.
  fixture.Store.SilentReadTimeout = Millis(60);
  std::shared_ptr<RolloutLog> log = fixture.startLog(fixture.recoveringPort());
  REQUIRE(fixture.runUntil([&] { return log->caughtUp(); }));
  fixture.Store.Unresponsive = true;
  REQUIRE(fixture.runUntil([&] { return log->contact().Lost; }));
  fixture.Store.SilentReadTimeout = Millis(60000);
  fixture.run([&]() -> boost::asio::awaitable<void> {
    co_await pauseFor(fixture.Context.get_executor(), Millis(100));
  });
  fixture.Store.Unresponsive = false;
  CHECK(fixture.runUntil([&] { return !log->contact().Lost; }));
}

TEST_CASE("During an outage a process sends probes in place of its polls",
          "[recovery]") {
  RecoveryFixture fixture;
  // Refuses at once, as an overloaded store does.
  std::size_t calls = 0;
  bool refusing = false;
  RecordStore counted = fixture.Store.port();
  counted.Read =
      [&, read = counted.Read](
          std::string Topic, Offset From, Millis Timeout,
          std::size_t MaxBytes) -> boost::asio::awaitable<Outcome<LogRead>> {
    ++calls;
    if (refusing)
      co_return Failure{
          Verdict::NotRun, FailureCode::Overloaded, "store", "status 429", {}};
    co_return co_await read(std::move(Topic), From, Timeout, MaxBytes);
  };
  StoreRecoverySettings settings = fixture.recoverySettings();
  settings.ProbeInterval = Millis(50);
  RecordStore store = makeRecoveringStore(fixture.Context.get_executor(),
                                          counted, fixture.Decisions, settings);
  constexpr std::size_t Readers = 20;
  std::vector<std::shared_ptr<RolloutLog>> logs;
  logs.reserve(Readers);
  for (std::size_t i = 0; i < Readers; ++i)
    logs.push_back(fixture.startLog(store));
  REQUIRE(fixture.runUntil([&] {
    return std::all_of(logs.begin(), logs.end(),
                       [](const auto &It) { return It->caughtUp(); });
  }));
  refusing = true;
  fixture.Context.run_for(Millis(300));
  calls = 0;
  fixture.Context.run_for(Millis(500));
  // Ten intervals of the probe; the readers alone would send hundreds.
  CHECK(calls <= 12);
  refusing = false;
  fixture.Store.append("rollout", encodeRecord(JobEnd{JobId("none")}));
  CHECK(fixture.runUntil([&] {
    return std::all_of(logs.begin(), logs.end(),
                       [](const auto &It) { return It->fold().Next == 1; });
  }));
}

TEST_CASE("A store that is lost before the first answer is probed",
          "[recovery]") {
  RecoveryFixture fixture;
  RecordStore store = fixture.recoveringPort();
  fixture.Store.Down = true;
  fixture.run([&]() -> boost::asio::awaitable<void> {
    for (int i = 0; i < 10; ++i) {
      Outcome<KeyedRange> got = co_await store.Newest("topic", Millis(40));
      CHECK_FALSE(got);
      co_await pauseFor(fixture.Context.get_executor(), Millis(5));
    }
  });
  fixture.Store.Down = false;
  fixture.run([&]() -> boost::asio::awaitable<void> {
    Outcome<KeyedRange> got = co_await store.Newest("topic", Millis(40));
    CHECK(got);
  });
}

} // namespace wasabi::batchtest
