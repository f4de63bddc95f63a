#include "Wasabi/Upstream/KeyedFollower.h"
#include "UnitTests/Batch/BatchFixture.h"

namespace wasabi::batchtest {

namespace {

/// A store that serves snapshots one after the other, also those whose readers
/// have given up.
struct BusyStore {
  boost::asio::io_context &Context;
  Millis ServiceTime;
  TimePoint FreeAt = monotonicNow();
  int Served = 0;

  boost::asio::awaitable<Outcome<KeyedRange>> newest(Millis Timeout) {
    TimePoint now = monotonicNow();
    FreeAt = std::max(now, FreeAt) + ServiceTime;
    ++Served;
    bool inTime = FreeAt - now <= Timeout;
    co_await pauseFor(Context.get_executor(),
                      inTime ? std::chrono::duration_cast<Millis>(FreeAt - now)
                             : Timeout);
    if (!inTime)
      co_return Failure{
          Verdict::MayHaveRun, FailureCode::TimedOut, "store", "busy", {}};
    co_return KeyedRange{0, 0, {}};
  }
};

KeyedFollower::Callbacks
makeCallbacks(std::function<void(const KeyedRecord &)> OnChange) {
  KeyedFollower::Callbacks callbacks;
  callbacks.OnChange = std::move(OnChange);
  callbacks.OnBatch = [] {};
  callbacks.OnAnswer = [] {};
  callbacks.OnFailure = [](const Failure &) {};
  return callbacks;
}

/// Returns callbacks that store the newest value of each key.
KeyedFollower::Callbacks
collectValues(std::map<std::string, std::string> &Values) {
  return makeCallbacks([&Values](const KeyedRecord &Record) {
    Values[Record.Key] = Record.Value.value_or("");
  });
}

} // namespace

TEST_CASE("All processes get their snapshots from a store that serves them one "
          "after the other",
          "[upstream]") {
  constexpr int Processes = 300;
  BatchTestFixture fixture;
  BusyStore busy{fixture.Context, Millis(2)};
  RecordStore store = fixture.Store.port();
  store.Newest = [&busy](const std::string &, Millis Timeout) {
    return busy.newest(Timeout);
  };
  KeyedFollower::Callbacks callbacks =
      makeCallbacks([](const KeyedRecord &) {});
  KeyedFollower::Settings settings;
  settings.Topic = "keyed.any";
  settings.PollTimeout = Millis(20);
  settings.RetryDelay = Millis(5);
  // A tenth of the time that the store needs for all.
  settings.SnapshotTimeout = Millis(60);
  std::vector<std::shared_ptr<KeyedFollower>> all;
  all.reserve(Processes);
  for (int i = 0; i < Processes; ++i) {
    all.push_back(KeyedFollower::create(fixture.Context.get_executor(), store,
                                        settings, callbacks));
    all.back()->start();
  }
  REQUIRE(fixture.runUntil([&] {
    return std::all_of(all.begin(), all.end(),
                       [](const auto &It) { return It->hasSnapshot(); });
  }));
  CHECK(busy.Served <= 7 * Processes);
}

TEST_CASE("A longer pause reads the same records in fewer calls",
          "[upstream]") {
  auto countReads = [](Millis Delay) {
    BatchTestFixture fixture;
    Offset last = 0;
    KeyedFollower::Callbacks callbacks =
        makeCallbacks([&](const KeyedRecord &Record) { last = Record.At; });
    KeyedFollower::Settings settings;
    settings.Topic = "keyed.any";
    settings.PollDelay = Millis(1);
    std::shared_ptr<KeyedFollower> follower =
        KeyedFollower::create(fixture.Context.get_executor(),
                              fixture.Store.port(), settings, callbacks);
    follower->setPollDelay(Delay);
    follower->start();
    constexpr int Records = 50;
    for (int i = 0; i < Records; ++i) {
      fixture.Store.append("keyed.any", "a|" + std::to_string(i));
      fixture.Context.run_for(Millis(4));
    }
    REQUIRE(fixture.runUntil([&] { return last == Records - 1; }));
    return fixture.Store.Reads["keyed.any"].Calls;
  };
  CHECK(countReads(Millis(60)) * 3 <= countReads(Millis(1)));
}

TEST_CASE("A paused follower reads nothing and continues with a snapshot",
          "[upstream]") {
  BatchTestFixture fixture;
  std::map<std::string, std::string> values;
  KeyedFollower::Callbacks callbacks = collectValues(values);
  KeyedFollower::Settings settings;
  settings.Topic = "keyed.any";
  settings.PollTimeout = Millis(20);
  settings.PollDelay = Millis(1);
  std::shared_ptr<KeyedFollower> follower =
      KeyedFollower::create(fixture.Context.get_executor(),
                            fixture.Store.port(), settings, callbacks);
  follower->pause();
  follower->start();
  for (int i = 0; i < 100; ++i)
    fixture.Store.append("keyed.any", "a|" + std::to_string(i));
  fixture.Context.run_for(Millis(50));
  CHECK(fixture.Store.Reads["keyed.any"].Calls == 0);

  follower->resume();
  REQUIRE(fixture.runUntil([&] { return values["a"] == "99"; }));
  fixture.Store.append("keyed.any", "b|1");
  REQUIRE(fixture.runUntil([&] { return values["b"] == "1"; }));

  follower->pause();
  fixture.Context.run_for(Millis(50));
  std::size_t before = fixture.Store.Reads["keyed.any"].Calls;
  fixture.Store.append("keyed.any", "a");
  fixture.Store.append("keyed.any", "b|2");
  fixture.Context.run_for(Millis(50));
  CHECK(fixture.Store.Reads["keyed.any"].Calls == before);
  follower->resume();
  REQUIRE(fixture.runUntil(
      [&] { return values["b"] == "2" && values["a"].empty(); }));
}

// Guards against a reader that learns of a record only once its silent
// connection has timed out.
TEST_CASE("A refresh reads beside a read that gets no answer", "[upstream]") {
  BatchTestFixture fixture;
  std::map<std::string, std::string> values;
  KeyedFollower::Callbacks callbacks = collectValues(values);
  KeyedFollower::Settings settings;
  settings.Topic = "keyed.any";
  settings.PollTimeout = Millis(20);
  settings.PollDelay = Millis(1);
  settings.MinRefreshInterval = Millis(30);
  RecordStore store = fixture.Store.port();
  auto answering = store.ReadKeyed;
  std::size_t refreshes = 0;
  // Reads that wait for records are never answered.
  store.ReadKeyed =
      [&](std::string Topic, Offset From,
          Millis PollTimeout) -> boost::asio::awaitable<Outcome<KeyedRead>> {
    if (PollTimeout > Millis(0))
      co_await pauseFor(fixture.Context.get_executor(), Millis(60000));
    ++refreshes;
    co_return co_await answering(std::move(Topic), From, PollTimeout);
  };
  std::shared_ptr<KeyedFollower> follower = KeyedFollower::create(
      fixture.Context.get_executor(), store, settings, callbacks);
  fixture.Store.append("keyed.any", "a|1");
  CHECK_FALSE(follower->currentAsOf());
  follower->start();
  REQUIRE(fixture.runUntil([&] { return values["a"] == "1"; }));
  fixture.Store.append("keyed.any", "a|2");
  TimePoint before = monotonicNow();
  CHECK(follower->currentAsOf() < before);
  // Calls at the same time share two reads at most.
  int done = 0;
  for (int i = 0; i < 10; ++i)
    boost::asio::co_spawn(
        fixture.Context,
        [&]() -> boost::asio::awaitable<void> {
          Outcome<Done> read = co_await follower->refresh();
          CHECK(read);
          ++done;
        },
        boost::asio::detached);
  REQUIRE(fixture.runUntil([&] { return done == 10; }));
  CHECK(values["a"] == "2");
  CHECK(follower->currentAsOf() >= before);
  CHECK(refreshes <= 2);
}

} // namespace wasabi::batchtest
