#include "Wasabi/Upstream/KeyedFollower.h"
#include "UnitTests/Batch/BatchFixture.h"

namespace wasabi::batchtest {

TEST_CASE("A paused follower reads nothing and continues with a snapshot",
          "[upstream]") {
  BatchTestFixture fixture;
  std::map<std::string, std::string> values;
  KeyedFollower::Callbacks callbacks;
  callbacks.OnChange = [&](const KeyedRecord &Record) {
    values[Record.Key] = Record.Value.value_or("");
  };
  callbacks.OnBatch = [] {};
  callbacks.OnAnswer = [] {};
  callbacks.OnFailure = [](const Failure &) {};
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

} // namespace wasabi::batchtest
