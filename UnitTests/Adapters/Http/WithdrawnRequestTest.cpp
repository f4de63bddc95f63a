/// Tests of how a client closes its connections.
#include "UnitTests/Adapters/Http/RawServer.h"

#include "Wasabi/Core/AsyncSignal.h"

namespace wasabi::http {

namespace asio = boost::asio;

// Guards against a request that the kernel still delivers after it was given
// up.
TEST_CASE("A request that is given up is withdrawn by a reset", "[http]") {
  HttpFixture fixture;
  RawServer server{fixture.Context};
  boost::system::error_code ended;
  bool closed = false;
  server.start([&](RawSocket Socket) -> asio::awaitable<void> {
    co_await RawServer::readRequest(Socket, ended);
    co_await RawServer::readRequest(Socket, ended);
    closed = true;
  });
  auto waitForClose = [&]() -> asio::awaitable<void> {
    while (!closed)
      co_await pauseFor(fixture.Context.get_executor(), Millis(1));
  };
  fixture.run([&]() -> asio::awaitable<void> {
    Request request = makeRequest("a");
    Outcome<Response> got = co_await fixture.TestClient->call(
        server.address(), std::move(request), Millis(50));
    REQUIRE_FALSE(got);
    co_await waitForClose();
    CHECK(ended == asio::error::connection_reset);
  });
}

// Guards against resets of connections whose responses were read whole.
TEST_CASE("A connection without an open request is closed in order", "[http]") {
  HttpFixture fixture;
  RawServer server{fixture.Context};
  boost::system::error_code ended;
  bool closed = false;
  server.start([&](RawSocket Socket) -> asio::awaitable<void> {
    co_await RawServer::readRequest(Socket, ended);
    std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                       "Connection: close\r\n\r\n";
    co_await HttpFixture::sendText(Socket, std::move(text));
    co_await RawServer::readRequest(Socket, ended);
    closed = true;
  });
  fixture.run([&]() -> asio::awaitable<void> {
    Request request = makeRequest("a");
    Outcome<Response> got = co_await fixture.TestClient->call(
        server.address(), std::move(request), Millis(5000));
    REQUIRE(got);
    while (!closed)
      co_await pauseFor(fixture.Context.get_executor(), Millis(1));
    CHECK(ended == asio::error::eof);
  });
}

} // namespace wasabi::http
