#include "UnitTests/Adapters/Http/HttpFixture.h"

namespace wasabi::http {

namespace {

constexpr Millis Patience{10000};

Request post(std::string Body) {
  return Request{"POST", "/", {}, std::move(Body)};
}

/// A peer that answers one connection with fixed text and closes it.
struct RawPeer {
  boost::asio::ip::tcp::acceptor Acceptor;
  explicit RawPeer(boost::asio::io_context &Context)
      : Acceptor(Context, {boost::asio::ip::make_address("127.0.0.1"), 0}) {}

  Address address() const {
    return Address{"127.0.0.1", Acceptor.local_endpoint().port()};
  }
  /// Takes one request without a body, and answers.
  boost::asio::awaitable<void> answer(std::string Text) {
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

TEST_CASE("Nothing of a request is written when it is too late for it",
          "[http]") {
  HttpFixture fixture;
  int asked = 0;
  fixture.serve([&asked](Request Ask, std::shared_ptr<Responder> Out) {
    ++asked;
    return echo(std::move(Ask), std::move(Out));
  });
  fixture.run([&]() -> boost::asio::awaitable<void> {
    Address where = fixture.Serving->address();
    // The second one has an open connection to go out on.
    for (Millis left : {Millis(-1), Millis(5000), Millis(0)}) {
      Request ask = post("x");
      ask.SendDeadline = monotonicNow() + left;
      Outcome<Response> answer =
          co_await fixture.TestClient->call(where, std::move(ask), Patience);
      CHECK(bool(answer) == (left > Millis(0)));
      if (!answer) {
        CHECK(answer.failure().Run == Verdict::NotRun);
        CHECK(answer.failure().Code == FailureCode::StaleFence);
      }
    }
  });
  CHECK(asked == 1);
}

TEST_CASE("A connection is reused, and a closed one replaced", "[http]") {
  HttpFixture fixture;
  fixture.serve(echo);
  fixture.run([&]() -> boost::asio::awaitable<void> {
    Address where = fixture.Serving->address();
    for (std::string body : {"one", "two", "three"}) {
      Outcome<Response> answer =
          co_await fixture.TestClient->call(where, post(body), Patience);
      REQUIRE(answer);
      CHECK(answer->Body == body);
      CHECK(fixture.Serving->connections() == 1);
    }
    // The server goes and another takes its address: the idle connection is
    // dead, and the request goes out on a fresh one.
    fixture.Serving->stop();
    co_await fixture.waitUntilAllClosed();
    Server::Settings same;
    same.Listen = where;
    fixture.serve(echo, same);
    Outcome<Response> answer =
        co_await fixture.TestClient->call(where, post("four"), Patience);
    REQUIRE(answer);
    CHECK(answer->Body == "four");
  });
}

TEST_CASE("A stream's pieces come as they are sent", "[http]") {
  HttpFixture fixture;
  Event seen(fixture.Context);
  fixture.serve(
      [&](Request,
          std::shared_ptr<Responder> Answer) -> boost::asio::awaitable<void> {
        Response head;
        co_await Answer->begin(std::move(head));
        co_await Answer->write("first");
        // The second piece waits for the reader to have had the first.
        co_await seen.wait();
        co_await Answer->write("second");
        co_await Answer->end();
      });
  fixture.run([&]() -> boost::asio::awaitable<void> {
    Outcome<std::unique_ptr<ResponseStream>> stream =
        co_await fixture.TestClient->open(fixture.Serving->address(), post(""),
                                          Patience);
    REQUIRE(stream);
    CHECK((*stream)->head().Status == 200);
    Outcome<std::optional<std::string>> piece =
        co_await (*stream)->next(Patience);
    REQUIRE(piece);
    CHECK(*piece == "first");
    seen.set();
    piece = co_await (*stream)->next(Patience);
    REQUIRE(piece);
    CHECK(*piece == "second");
    piece = co_await (*stream)->next(Patience);
    REQUIRE(piece);
    CHECK_FALSE(piece->has_value());
  });
}

TEST_CASE("A body cut short is a failure, never an end", "[http]") {
  std::string text = GENERATE(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  HttpFixture fixture;
  RawPeer peer(fixture.Context);
  fixture.run([&]() -> boost::asio::awaitable<void> {
    spawn(fixture.Context, [&] { return peer.answer(text); });
    Outcome<std::unique_ptr<ResponseStream>> stream =
        co_await fixture.TestClient->open(peer.address(), post(""), Patience);
    REQUIRE(stream);
    Outcome<std::optional<std::string>> piece =
        co_await (*stream)->next(Patience);
    REQUIRE(piece);
    CHECK(*piece == "part");
    piece = co_await (*stream)->next(Patience);
    REQUIRE_FALSE(piece);
    CHECK(piece.failure().Code == FailureCode::ConnectionLost);
    CHECK(piece.failure().Run == Verdict::MayHaveRun);

    spawn(fixture.Context, [&] { return peer.answer(text); });
    Outcome<Response> whole =
        co_await fixture.TestClient->call(peer.address(), post(""), Patience);
    REQUIRE_FALSE(whole);
    CHECK(whole.failure().Code == FailureCode::ConnectionLost);
    CHECK(whole.failure().Run == Verdict::MayHaveRun);
  });
}

TEST_CASE("A request without an answer may have run", "[http]") {
  HttpFixture fixture;
  RawPeer peer(fixture.Context);
  fixture.run([&]() -> boost::asio::awaitable<void> {
    spawn(fixture.Context, [&] { return peer.answer(""); });
    Outcome<Response> lost =
        co_await fixture.TestClient->call(peer.address(), post(""), Patience);
    REQUIRE_FALSE(lost);
    CHECK(lost.failure().Code == FailureCode::ConnectionLost);
    CHECK(lost.failure().Run == Verdict::MayHaveRun);

    // Connected by the kernel, but nobody answers.
    Outcome<Response> late =
        co_await fixture.TestClient->call(peer.address(), post(""), Millis(20));
    REQUIRE_FALSE(late);
    CHECK(late.failure().Code == FailureCode::TimedOut);
    CHECK(late.failure().Run == Verdict::MayHaveRun);

    Address where = peer.address();
    peer.Acceptor.close();
    Outcome<Response> none =
        co_await fixture.TestClient->call(where, post(""), Patience);
    REQUIRE_FALSE(none);
    CHECK(none.failure().Code == FailureCode::Unreachable);
    CHECK(none.failure().Run == Verdict::NotRun);
  });
}

TEST_CASE("A cancelled stream ends its reader and its writer", "[http]") {
  HttpFixture fixture;
  bool noticed = false;
  fixture.serve(
      [&](Request,
          std::shared_ptr<Responder> Answer) -> boost::asio::awaitable<void> {
        Response head;
        co_await Answer->begin(std::move(head));
        Event left(fixture.Context);
        Answer->onGone([&left] { left.set(); });
        co_await left.wait();
        noticed = Answer->gone();
      });
  fixture.run([&]() -> boost::asio::awaitable<void> {
    Outcome<std::unique_ptr<ResponseStream>> stream =
        co_await fixture.TestClient->open(fixture.Serving->address(), post(""),
                                          Patience);
    REQUIRE(stream);
    boost::asio::post(fixture.Context, [&] { (*stream)->cancel(); });
    Outcome<std::optional<std::string>> piece =
        co_await (*stream)->next(Patience);
    REQUIRE_FALSE(piece);
    CHECK(piece.failure().Code == FailureCode::Cancelled);
    co_await fixture.waitUntilAllClosed();
  });
  CHECK(noticed);
}

} // namespace wasabi::http
