#include "platform/Frontend.h"

#include "UnitTests/Adapters/Http/HttpFixture.h"

namespace wasabi::platform {

TEST_CASE("A process without a configuration refuses with a retry delay",
          "[platform]") {
  // Guards against a caller that retries before the processes of a new
  // deployment have read their configuration.
  http::HttpFixture fixture;
  FleetView view;
  AccessSettings access;
  Metrics counts;
  fixture.serve(makeFrontendHandler(
      {view, nullptr, nullptr, [] { return false; },
       KeyDigester::create().value(), access, nullptr, counts}));
  fixture.run([&]() -> boost::asio::awaitable<void> {
    http::Request request;
    request.Method = "GET";
    request.Target = "/any/";
    request.Headers.push_back({"Host", "host.example"});
    Outcome<http::Response> got = co_await fixture.TestClient->call(
        fixture.Serving->address(), std::move(request), Millis(5000));
    REQUIRE(got);
    CHECK(got->Status == 503);
    CHECK(got->header("Retry-After") == "0.300");
  });
}

} // namespace wasabi::platform
