#include "platform/Frontend.h"

#include "UnitTests/Adapters/Http/HttpFixture.h"

namespace wasabi::platform {

TEST_CASE("A process that has just started tells when it will know its routes",
          "[platform]") {
  // All processes of a deployment start at once after a power loss: a caller
  // who comes back sooner than they read their configuration is refused for
  // good.
  http::HttpFixture fixture;
  FleetView view;
  AccessSettings access;
  Metrics counts;
  fixture.serve(makeFrontendHandler(
      {view, nullptr, nullptr, [] { return false; },
       KeyDigester::create().value(), access, nullptr, counts}));
  fixture.run([&]() -> boost::asio::awaitable<void> {
    http::Request ask;
    ask.Method = "GET";
    ask.Target = "/any/";
    ask.Headers.push_back({"Host", "host.example"});
    Outcome<http::Response> got = co_await fixture.TestClient->call(
        fixture.Serving->address(), std::move(ask), Millis(5000));
    REQUIRE(got);
    CHECK(got->Status == 503);
    CHECK(got->header("Retry-After") == "0.300");
  });
}

} // namespace wasabi::platform
