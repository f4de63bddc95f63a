#include "UnitTests/Adapters/Http/HttpFixture.h"

namespace wasabi::http {

namespace {

constexpr Millis CallTimeout{10000};

Request post(std::string Body) {
  return Request{"POST", "/", {}, std::move(Body)};
}

/// A peer that responds to each accepted connection with fixed text and closes
/// it.
struct RawPeer {
  boost::asio::ip::tcp::acceptor Acceptor;
  explicit RawPeer(boost::asio::io_context &Context)
      : Acceptor(Context, {boost::asio::ip::make_address("127.0.0.1"), 0}) {}

  Address address() const {
    return Address{"127.0.0.1", Acceptor.local_endpoint().port()};
  }
  /// Accepts one connection, reads a request without a body, and sends `Text`.
  boost::asio::awaitable<void> respond(std::string Text) {
    RawSocket raw = co_await Acceptor.async_accept(boost::asio::use_awaitable);
    std::string head;
    while (head.find("\r\n\r\n") == std::string::npos) {
      std::array<char, 1024> buf{};
      std::size_t n = co_await raw.async_read_some(boost::asio::buffer(buf),
                                                   boost::asio::use_awaitable);
      head.append(buf.data(), n);
    }
    co_await HttpFixture::sendText(raw, std::move(Text));
  }
};

void spawn(boost::asio::io_context &Context,
           std::function<boost::asio::awaitable<void>()> Body) {
  boost::asio::co_spawn(Context, std::move(Body),
                        [](const std::exception_ptr &) {});
}

} // namespace

TEST_CASE("A request is not sent after its send deadline", "[http]") {
  HttpFixture fixture;
  int handled = 0;
  fixture.serve([&handled](Request Req, std::shared_ptr<Responder> Reply) {
    ++handled;
    return echo(std::move(Req), std::move(Reply));
  });
  fixture.run([&]() -> boost::asio::awaitable<void> {
    Address address = fixture.Serving->address();
    // The third request could use the idle connection of the second one.
    for (Millis remaining : {Millis(-1), Millis(5000), Millis(0)}) {
      Request request = post("x");
      request.SendDeadline = monotonicNow() + remaining;
      Outcome<Response> response = co_await fixture.TestClient->call(
          address, std::move(request), CallTimeout);
      CHECK(bool(response) == (remaining > Millis(0)));
      if (!response) {
        CHECK(response.failure().Run == Verdict::NotRun);
        CHECK(response.failure().Code == FailureCode::StaleFence);
      }
    }
  });
  CHECK(handled == 1);
}

TEST_CASE("Idle connections are reused, and closed ones are replaced",
          "[http]") {
  HttpFixture fixture;
  fixture.serve(echo);
  fixture.run([&]() -> boost::asio::awaitable<void> {
    Address address = fixture.Serving->address();
    for (std::string body : {"one", "two", "three"}) {
      Outcome<Response> response =
          co_await fixture.TestClient->call(address, post(body), CallTimeout);
      REQUIRE(response);
      CHECK(response->Body == body);
      CHECK(fixture.Serving->connections() == 1);
    }
    // Another server takes over the address: the idle connection is dead, and
    // the request is sent on a new one.
    fixture.Serving->stop();
    co_await fixture.waitUntilAllClosed();
    Server::Settings same;
    same.Listen = address;
    fixture.serve(echo, same);
    Outcome<Response> response =
        co_await fixture.TestClient->call(address, post("four"), CallTimeout);
    REQUIRE(response);
    CHECK(response->Body == "four");
  });
}

TEST_CASE("The pieces of a streamed response arrive as they are sent",
          "[http]") {
  HttpFixture fixture;
  OneShotEvent seen(fixture.Context);
  fixture.serve(
      [&](Request,
          std::shared_ptr<Responder> Reply) -> boost::asio::awaitable<void> {
        Response head;
        co_await Reply->begin(std::move(head));
        co_await Reply->write("first");
        // Sent only after the client has read the first piece.
        co_await seen.wait();
        co_await Reply->write("second");
        co_await Reply->end();
      });
  fixture.run([&]() -> boost::asio::awaitable<void> {
    Outcome<std::unique_ptr<ResponseStream>> stream =
        co_await fixture.TestClient->open(fixture.Serving->address(), post(""),
                                          CallTimeout);
    REQUIRE(stream);
    CHECK((*stream)->head().Status == 200);
    Outcome<std::optional<std::string>> piece =
        co_await (*stream)->next(CallTimeout);
    REQUIRE(piece);
    CHECK(*piece == "first");
    seen.set();
    piece = co_await (*stream)->next(CallTimeout);
    REQUIRE(piece);
    CHECK(*piece == "second");
    piece = co_await (*stream)->next(CallTimeout);
    REQUIRE(piece);
    CHECK_FALSE(piece->has_value());
  });
}

TEST_CASE("A truncated body is a failure", "[http]") {
  std::string text = GENERATE(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  HttpFixture fixture;
  RawPeer peer(fixture.Context);
  fixture.run([&]() -> boost::asio::awaitable<void> {
    spawn(fixture.Context, [&] { return peer.respond(text); });
    Outcome<std::unique_ptr<ResponseStream>> stream =
        co_await fixture.TestClient->open(peer.address(), post(""),
                                          CallTimeout);
    REQUIRE(stream);
    Outcome<std::optional<std::string>> piece =
        co_await (*stream)->next(CallTimeout);
    REQUIRE(piece);
    CHECK(*piece == "part");
    piece = co_await (*stream)->next(CallTimeout);
    REQUIRE_FALSE(piece);
    CHECK(piece.failure().Code == FailureCode::ConnectionLost);
    CHECK(piece.failure().Run == Verdict::MayHaveRun);

    spawn(fixture.Context, [&] { return peer.respond(text); });
    Outcome<Response> response = co_await fixture.TestClient->call(
        peer.address(), post(""), CallTimeout);
    REQUIRE_FALSE(response);
    CHECK(response.failure().Code == FailureCode::ConnectionLost);
    CHECK(response.failure().Run == Verdict::MayHaveRun);
  });
}

TEST_CASE("A request without a response may have run, one without a connection "
          "has not",
          "[http]") {
  HttpFixture fixture;
  RawPeer peer(fixture.Context);
  fixture.run([&]() -> boost::asio::awaitable<void> {
    spawn(fixture.Context, [&] { return peer.respond(""); });
    Outcome<Response> lost = co_await fixture.TestClient->call(
        peer.address(), post(""), CallTimeout);
    REQUIRE_FALSE(lost);
    CHECK(lost.failure().Code == FailureCode::ConnectionLost);
    CHECK(lost.failure().Run == Verdict::MayHaveRun);

    // The kernel completes the connect, but no process accepts it.
    Outcome<Response> late =
        co_await fixture.TestClient->call(peer.address(), post(""), Millis(20));
    REQUIRE_FALSE(late);
    CHECK(late.failure().Code == FailureCode::TimedOut);
    CHECK(late.failure().Run == Verdict::MayHaveRun);

    Address address = peer.address();
    peer.Acceptor.close();
    Outcome<Response> none =
        co_await fixture.TestClient->call(address, post(""), CallTimeout);
    REQUIRE_FALSE(none);
    CHECK(none.failure().Code == FailureCode::Unreachable);
    CHECK(none.failure().Run == Verdict::NotRun);
  });
}

TEST_CASE("Cancelling a stream ends its reader and its writer", "[http]") {
  HttpFixture fixture;
  bool noticed = false;
  fixture.serve(
      [&](Request,
          std::shared_ptr<Responder> Reply) -> boost::asio::awaitable<void> {
        Response head;
        co_await Reply->begin(std::move(head));
        OneShotEvent disconnected(fixture.Context);
        Reply->onGone([&disconnected] { disconnected.set(); });
        co_await disconnected.wait();
        noticed = Reply->gone();
      });
  fixture.run([&]() -> boost::asio::awaitable<void> {
    Outcome<std::unique_ptr<ResponseStream>> stream =
        co_await fixture.TestClient->open(fixture.Serving->address(), post(""),
                                          CallTimeout);
    REQUIRE(stream);
    boost::asio::post(fixture.Context, [&] { (*stream)->cancel(); });
    Outcome<std::optional<std::string>> piece =
        co_await (*stream)->next(CallTimeout);
    REQUIRE_FALSE(piece);
    CHECK(piece.failure().Code == FailureCode::Cancelled);
    co_await fixture.waitUntilAllClosed();
  });
  CHECK(noticed);
}

} // namespace wasabi::http
