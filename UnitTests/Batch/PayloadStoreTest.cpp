#include "Wasabi/Batch/PayloadStore.h"
#include "UnitTests/Batch/BatchFixture.h"

namespace wasabi::batchtest {

namespace {

namespace asio = boost::asio;

/// One process that stores payloads, with small limits.
struct PayloadWorld : BatchTestFixture {
  std::shared_ptr<bool> Disconnected = std::make_shared<bool>(false);
  std::shared_ptr<PayloadStore> Payloads = PayloadStore::create(
      Store.port(Disconnected),
      PayloadStore::Settings{"payload", Millis(100), 10, 30, 1000, 40});

  std::vector<PayloadLocation> put(std::vector<std::string> What) {
    std::vector<PayloadLocation> places;
    run([&]() -> asio::awaitable<void> {
      Outcome<std::vector<PayloadLocation>> got =
          co_await Payloads->put(std::move(What));
      REQUIRE(got);
      places = *got;
    });
    return places;
  }
  Outcome<std::string> get(const PayloadLocation &Place) {
    std::optional<Outcome<std::string>> got;
    run([&]() -> asio::awaitable<void> {
      got.emplace(co_await Payloads->get(Place));
    });
    return *got;
  }
};

} // namespace

TEST_CASE("Payloads of any length come back as they were put", "[batch]") {
  PayloadWorld world;
  std::vector<std::string> all{"short", "", std::string(95, 'y'),
                               std::string("\0\xff!", 3), std::string(10, 'z')};
  std::vector<PayloadLocation> places = world.put(all);
  REQUIRE(places.size() == all.size());
  CHECK(places[1].empty());
  CHECK(places[2].size() == 10);
  for (const std::string &it : world.Store.Topics["payload"])
    CHECK(it.size() <= 10);
  // The cache holds less than half of them, so some are read again.
  for (int round = 0; round < 2; ++round) {
    for (std::size_t i = 0; i < all.size(); ++i) {
      Outcome<std::string> got = world.get(places[i]);
      REQUIRE(got);
      CHECK(*got == all[i]);
    }
  }
}

TEST_CASE("A payload that the store has no more is told so", "[batch]") {
  PayloadWorld world;
  std::vector<PayloadLocation> places = world.put({"one", "two"});
  world.Store.First["payload"] = 1;
  Outcome<std::string> gone = world.get(places[0]);
  REQUIRE_FALSE(gone);
  CHECK(gone.failure().Code == FailureCode::Expired);
  CHECK(world.get(places[1]));
}

TEST_CASE("A payload whose append fails has not run", "[batch]") {
  PayloadWorld world;
  world.Store.PayloadAppendFaults = {AppendFault::AnswerLost};
  world.run([&]() -> asio::awaitable<void> {
    std::vector<std::string> one{"one"};
    Outcome<std::vector<PayloadLocation>> got =
        co_await world.Payloads->put(std::move(one));
    REQUIRE_FALSE(got);
    CHECK(got.failure().Run == Verdict::NotRun);
  });
}

} // namespace wasabi::batchtest
