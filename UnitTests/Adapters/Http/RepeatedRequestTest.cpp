/// Tests of a client that repeats a request.
#include "UnitTests/Adapters/Http/RawServer.h"

namespace wasabi::http {

// Guards against a late second copy of a refusal that is taken for the response
// to a repetition of the request, which then runs unnoticed.
TEST_CASE("A repeated request is not sent on the connection of the first",
          "[http]") {
  HttpFixture fixture;
  Client::Settings settings;
  settings.EchoHeader = "Request-Id";
  fixture.TestClient = Client::create(fixture.Context.get_executor(), settings);
  RawServer server(fixture.Context);
  // The first connection refuses, and sends the refusal again when the next
  // request arrives.
  server.OnRequest = [](std::size_t Connection) -> std::string {
    if (Connection == 1)
      return "HTTP/1.1 503 Service Unavailable\r\n"
             "Request-Id: a\r\nContent-Length: 0\r\n\r\n";
    return "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n";
  };
  fixture.run([&]() -> boost::asio::awaitable<void> {
    Request request = makeRequest("a");
    Outcome<Response> first = co_await fixture.TestClient->call(
        server.address(), request, Millis(5000));
    REQUIRE(first);
    CHECK(first->Status == 503);
    Outcome<Response> second = co_await fixture.TestClient->call(
        server.address(), request, Millis(5000));
    REQUIRE(second);
    CHECK(second->Status == 200);
    CHECK(server.Connections == 2);
    // Other requests use the connections that are open.
    Request other = makeRequest("b");
    co_await fixture.TestClient->call(server.address(), other, Millis(200));
    CHECK(server.Connections == 2);
  });
}

} // namespace wasabi::http
