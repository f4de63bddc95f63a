#include "StandIns/FaultProxy.h"

#include "UnitTests/Adapters/Http/HttpFixture.h"

namespace wasabi::standins {

namespace {

constexpr Millis Patience{10000};

/// A proxy in front of a server that counts its runs.
struct ProxyFixture : http::HttpFixture {
  std::shared_ptr<FaultProxy> Proxy;
  unsigned Runs = 0;

  ProxyFixture() {
    serve([this](http::Request Ask,
                 ResponderPtr To) -> boost::asio::awaitable<void> {
      ++Runs;
      co_await http::echo(std::move(Ask), std::move(To));
    });
    FaultProxy::Settings settings;
    settings.Upstream = Serving->address();
    Result<std::shared_ptr<FaultProxy>> made =
        FaultProxy::create(Context, settings);
    REQUIRE(made);
    Proxy = *made;
  }

  void tell(const boost::json::object &Faults) {
    Proxy->InjectedFaults.merge(Faults);
    Proxy->onFaultsChanged();
  }

  boost::asio::awaitable<Outcome<http::Response>> ask(Millis Timeout) {
    http::Request post{"POST", "/", {}, "body"};
    co_return co_await TestClient->call(Proxy->address(), std::move(post),
                                        Timeout);
  }
};

} // namespace

TEST_CASE("A proxy without faults forwards all bytes", "[standins]") {
  ProxyFixture fixture;
  fixture.tell({{"delay_ms", 2}, {"jitter_ms", 3.5}, {"bytes_per_s", 100000}});
  fixture.run([&]() -> boost::asio::awaitable<void> {
    for (unsigned i = 0; i < 3; ++i) {
      Outcome<http::Response> got = co_await fixture.ask(Patience);
      REQUIRE(got);
      CHECK(got->Body == "body");
    }
  });
  CHECK(fixture.Runs == 3);
  CHECK(fixture.Proxy->truth().at("connections").to_number<unsigned>() == 1);
}

TEST_CASE("A dropped response does not undo the run", "[standins]") {
  ProxyFixture fixture;
  fixture.tell({{"answer_loss", 1}});
  fixture.run([&]() -> boost::asio::awaitable<void> {
    Outcome<http::Response> lost = co_await fixture.ask(Patience);
    REQUIRE_FALSE(lost);
    CHECK(lost.failure().Code == FailureCode::ConnectionLost);
    CHECK(fixture.Runs == 1);
    Outcome<http::Response> got = co_await fixture.ask(Patience);
    CHECK(got);
  });
}

TEST_CASE("A refusing proxy listens on its port again", "[standins]") {
  ProxyFixture fixture;
  fixture.run([&]() -> boost::asio::awaitable<void> {
    for (unsigned i = 0; i < 2; ++i) {
      fixture.tell({{"refuse", true}, {"cut_now", true}});
      Outcome<http::Response> refused = co_await fixture.ask(Patience);
      REQUIRE_FALSE(refused);
      CHECK(refused.failure().Code == FailureCode::Unreachable);
      fixture.tell({{"refuse", false}});
      Outcome<http::Response> got = co_await fixture.ask(Patience);
      CHECK(got);
    }
  });
  CHECK(fixture.Runs == 2);
}

TEST_CASE("A half-open connection drops bytes and is cut later", "[standins]") {
  ProxyFixture fixture;
  fixture.run([&]() -> boost::asio::awaitable<void> {
    fixture.tell({{"half_open", true}});
    Outcome<http::Response> late = co_await fixture.ask(Millis(50));
    REQUIRE_FALSE(late);
    CHECK(late.failure().Code == FailureCode::TimedOut);
    fixture.tell({{"half_open", false}});
    Outcome<http::Response> got = co_await fixture.ask(Patience);
    CHECK(got);
  });
  CHECK(fixture.Runs == 1);
}

TEST_CASE("A proxy cuts a connection after the set bytes", "[standins]") {
  ProxyFixture fixture;
  fixture.tell({{"cut_after_bytes", 10}});
  fixture.run([&]() -> boost::asio::awaitable<void> {
    Outcome<http::Response> cut = co_await fixture.ask(Patience);
    REQUIRE_FALSE(cut);
    CHECK(cut.failure().Code == FailureCode::ConnectionLost);
  });
  CHECK(fixture.Runs == 0);
  CHECK(fixture.Proxy->truth().at("bytes_up").to_number<unsigned>() == 10);
}

TEST_CASE("Unknown and mistyped faults change nothing", "[standins]") {
  Faults told({{"slow_ms", 0}, {"outage", false}, {"slow_factor", 1.0}});
  CHECK_THROWS_AS(told.merge({{"slow_ms", 5}, {"typo", 1}}), InvalidBody);
  CHECK_THROWS_AS(told.merge({{"slow_ms", 5}, {"outage", 1}}), InvalidBody);
  CHECK_THROWS_AS(told.merge({{"slow_ms", -1}}), InvalidBody);
  CHECK(told.number("slow_ms") == 0);
  told.merge({{"slow_factor", 3}});
  CHECK(told.real("slow_factor") == 3.0);
  CHECK(told.number("slow_ms") == 0);
}

} // namespace wasabi::standins
