#include "UnitTests/Adapters/Http/HttpFixture.h"

#include "Wasabi/Quarantine/RequestDigest.h"

namespace wasabi::http {

// Guards against a copy of a large body for each attempt to send it.
TEST_CASE("Copies of a request share its large body", "[http]") {
  constexpr std::size_t LargeBytes = 1u << 20;
  std::string text(LargeBytes, 'x');
  Request request{"POST", "/", {}, text};
  RequestDigest digest = digestOf(request, CustomerName());
  request.shareBody();
  Request copy = request;
  CHECK(copy.body() == text);
  CHECK(copy.body().data() == request.body().data());
  CHECK(digestOf(copy, CustomerName()) == digest);
  Request small{"POST", "/", {}, "small"};
  small.shareBody();
  CHECK(small.Body == "small");
  HttpFixture fixture;
  fixture.serve(echo);
  fixture.run([&]() -> boost::asio::awaitable<void> {
    Address address = fixture.Serving->address();
    Outcome<Response> got = co_await fixture.TestClient->call(
        std::move(address), std::move(copy), Millis(5000));
    REQUIRE(got);
    CHECK(got->Body == text);
  });
}

} // namespace wasabi::http
