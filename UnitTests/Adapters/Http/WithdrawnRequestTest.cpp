/// Tests of how a client closes its connections.
#include "UnitTests/Adapters/Http/RawServer.h"

#include "Wasabi/Core/AsyncSignal.h"

namespace wasabi::http {

namespace asio = boost::asio;

// Guards against a request that the kernel still delivers after it was given
// up.
TEST_CASE("A request that is given up is withdrawn by a reset", "[http]") {
  HttpFixture fixture;
  RawServer server(fixture.Context);
  server.OnRequest = [](std::size_t) { return std::string(); };
  fixture.run([&]() -> asio::awaitable<void> {
    Request request = makeRequest("a");
    Outcome<Response> got = co_await fixture.TestClient->call(
        server.address(), std::move(request), Millis(50));
    REQUIRE_FALSE(got);
    while (server.Ends.empty())
      co_await pauseFor(fixture.Context.get_executor(), Millis(1));
    CHECK(server.Ends.front() == asio::error::connection_reset);
  });
}

// Guards against resets of connections whose responses were read whole.
TEST_CASE("A connection without an open request is closed in order", "[http]") {
  HttpFixture fixture;
  RawServer server(fixture.Context);
  server.OnRequest = [](std::size_t) -> std::string {
    return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
           "Connection: close\r\n\r\n";
  };
  fixture.run([&]() -> asio::awaitable<void> {
    Request request = makeRequest("a");
    Outcome<Response> got = co_await fixture.TestClient->call(
        server.address(), std::move(request), Millis(5000));
    REQUIRE(got);
    while (server.Ends.empty())
      co_await pauseFor(fixture.Context.get_executor(), Millis(1));
    CHECK(server.Ends.front() == asio::error::eof);
  });
}

} // namespace wasabi::http
