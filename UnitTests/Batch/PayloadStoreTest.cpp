#include "Wasabi/Batch/PayloadStore.h"
#include "UnitTests/Batch/BatchFixture.h"

namespace wasabi::batchtest {

namespace {

namespace asio = boost::asio;

/// A payload store with small limits.
struct PayloadStoreFixture : BatchTestFixture {
  std::shared_ptr<bool> Disconnected = std::make_shared<bool>(false);
  std::shared_ptr<PayloadStore> Payloads = PayloadStore::create(
      Store.port(Disconnected),
      PayloadStore::Settings{"payload", Millis(100), 10, 30, 1000, 40});

  std::vector<PayloadLocation> put(const std::vector<std::string> &Contents) {
    std::vector<PayloadLocation> locations;
    run([&]() -> asio::awaitable<void> {
      Outcome<std::vector<PayloadLocation>> stored =
          co_await Payloads->put(Contents);
      REQUIRE(stored);
      locations = *stored;
    });
    return locations;
  }
  Outcome<std::string> get(const PayloadLocation &Location) {
    std::optional<Outcome<std::string>> stored;
    run([&]() -> asio::awaitable<void> {
      stored.emplace(co_await Payloads->get(Location));
    });
    return *stored;
  }
};

} // namespace

TEST_CASE("Payloads of any length are read back unchanged", "[batch]") {
  PayloadStoreFixture fixture;
  std::vector<std::string> all{"short", "", std::string(95, 'y'),
                               std::string("\0\xff!", 3), std::string(10, 'z')};
  std::vector<PayloadLocation> locations = fixture.put(all);
  REQUIRE(locations.size() == all.size());
  CHECK(locations[1].empty());
  CHECK(locations[2].size() == 10);
  for (const std::string &it : fixture.Store.Topics["payload"])
    CHECK(it.size() <= 10);
  // The cache holds less than half of the bytes, so some records are read
  // again.
  for (int round = 0; round < 2; ++round) {
    for (std::size_t i = 0; i < all.size(); ++i) {
      Outcome<std::string> stored = fixture.get(locations[i]);
      REQUIRE(stored);
      CHECK(*stored == all[i]);
    }
  }
}

TEST_CASE("Reading a payload that the store has removed fails as expired",
          "[batch]") {
  PayloadStoreFixture fixture;
  std::vector<PayloadLocation> locations = fixture.put({"one", "two"});
  fixture.Store.First["payload"] = 1;
  Outcome<std::string> gone = fixture.get(locations[0]);
  REQUIRE_FALSE(gone);
  CHECK(gone.failure().Code == FailureCode::Expired);
  CHECK(fixture.get(locations[1]));
}

TEST_CASE("A failed append of a payload is reported as not run", "[batch]") {
  PayloadStoreFixture fixture;
  fixture.Store.PayloadAppendFaults = {AppendFault::AnswerLost};
  fixture.run([&]() -> asio::awaitable<void> {
    std::vector<std::string> one{"one"};
    Outcome<std::vector<PayloadLocation>> stored =
        co_await fixture.Payloads->put(one);
    REQUIRE_FALSE(stored);
    CHECK(stored.failure().Run == Verdict::NotRun);
  });
}

} // namespace wasabi::batchtest
