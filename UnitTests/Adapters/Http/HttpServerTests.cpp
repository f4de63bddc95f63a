#include "UnitTests/Adapters/Http/HttpFixture.h"

#include <boost/asio/error.hpp>

#include <array>
#include <thread>

namespace wasabi::http {

namespace {

using Catch::Matchers::Contains;
using Catch::Matchers::StartsWith;

boost::asio::awaitable<std::string> exchange(HttpFixture &Fixture,
                                             std::string Text) {
  RawSocket raw = co_await Fixture.connect();
  co_await HttpFixture::sendText(raw, std::move(Text));
  boost::system::error_code ended;
  std::string response = co_await HttpFixture::readAll(raw, ended);
  CHECK(ended == boost::asio::error::eof);
  co_return response;
}

} // namespace

TEST_CASE("Malformed and oversized requests get an error response", "[http]") {
  HttpFixture fixture;
  Server::Settings limits;
  limits.MaxBody = 8;
  fixture.serve(echo, limits);
  fixture.run([&]() -> boost::asio::awaitable<void> {
    std::string malformed =
        co_await exchange(fixture, "GET / HTTP/1.1\r\nno colon\r\n\r\n");
    CHECK_THAT(malformed, StartsWith("HTTP/1.1 400 "));
    CHECK_THAT(malformed, Contains("{\"error\":\"malformed HTTP: bad"));
    std::string large = co_await exchange(
        fixture, "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n123456789");
    CHECK_THAT(large, StartsWith("HTTP/1.1 413 "));
    std::string chunked = co_await exchange(
        fixture, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "9\r\n123456789\r\n0\r\n\r\n");
    CHECK_THAT(chunked, StartsWith("HTTP/1.1 413 "));
    std::string both = co_await exchange(
        fixture, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                 "Content-Length: 3\r\n\r\n0\r\n\r\n");
    CHECK_THAT(both, StartsWith("HTTP/1.1 400 "));
  });
}

// Guards against a request that takes the memory of the process by bytes that
// do not count as its body.
TEST_CASE("The head of a chunk and the trailers of a request are bounded",
          "[http]") {
  constexpr std::size_t TooLong = 200000;
  HttpFixture fixture;
  fixture.serve(echo, Server::Settings());
  std::string text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  SECTION("The size of a chunk") { text += std::string(TooLong, '0'); }
  SECTION("The extension of a chunk") {
    text += "1;name=" + std::string(TooLong, 'x');
  }
  SECTION("Trailers") { text += "0\r\nName: " + std::string(TooLong, 'x'); }
  fixture.run([&]() -> boost::asio::awaitable<void> {
    std::string response = co_await exchange(fixture, text);
    CHECK_THAT(response, StartsWith("HTTP/1.1 413 "));
  });
}

TEST_CASE("Slow and idle connections are closed", "[http]") {
  HttpFixture fixture;
  Server::Settings limits;
  limits.HeadTimeout = Millis(20);
  limits.IdleTimeout = Millis(20);
  fixture.serve(echo, limits);
  fixture.run([&]() -> boost::asio::awaitable<void> {
    std::string half = co_await exchange(fixture, "GET / HT");
    CHECK(half.empty());
    std::string none = co_await exchange(fixture, "");
    CHECK(none.empty());
  });
}

TEST_CASE("Pipelined requests are answered in order", "[http]") {
  HttpFixture fixture;
  fixture.serve(echo);
  fixture.run([&]() -> boost::asio::awaitable<void> {
    std::string text = co_await exchange(
        fixture, "POST /1 HTTP/1.1\r\nContent-Length: 3\r\n\r\none"
                 "POST /2 HTTP/1.1\r\nContent-Length: 3\r\n"
                 "Connection: close\r\n\r\ntwo");
    CHECK(text.find("one") < text.find("two"));
    CHECK_THAT(text, Contains("two"));
  });
}

TEST_CASE("A handler is notified when its peer disconnects", "[http]") {
  std::string more = GENERATE("", "GET /next HTTP/1.1\r\n\r\n");
  HttpFixture fixture;
  OneShotEvent disconnected(fixture.Context);
  OneShotEvent began(fixture.Context);
  unsigned notifications = 0;
  fixture.serve(
      [&](Request,
          std::shared_ptr<Responder> Reply) -> boost::asio::awaitable<void> {
        CHECK_FALSE(Reply->gone());
        Reply->onGone([&] {
          ++notifications;
          disconnected.set();
        });
        began.set();
        co_await disconnected.wait();
        CHECK(Reply->gone());
        Outcome<Done> sent = co_await Reply->send(jsonResponse(200, "{}"));
        CHECK_FALSE(sent);
        CHECK(sent.failure().Code == FailureCode::Cancelled);
      });
  fixture.run([&]() -> boost::asio::awaitable<void> {
    RawSocket raw = co_await fixture.connect();
    co_await HttpFixture::sendText(raw, "GET / HTTP/1.1\r\n\r\n" + more);
    co_await began.wait();
    raw.close();
    // The connection is removed only after the handler has ended.
    co_await fixture.waitUntilAllClosed();
  });
  CHECK(notifications == 1);
}

TEST_CASE("Aborting a response resets the connection", "[http]") {
  HttpFixture fixture;
  fixture.serve(
      [&](Request,
          std::shared_ptr<Responder> Reply) -> boost::asio::awaitable<void> {
        Response head = jsonResponse(200, "");
        co_await Reply->begin(std::move(head));
        co_await Reply->write("part");
        Reply->abort();
      });
  fixture.run([&]() -> boost::asio::awaitable<void> {
    RawSocket raw = co_await fixture.connect();
    co_await HttpFixture::sendText(raw, "GET / HTTP/1.1\r\n\r\n");
    boost::system::error_code ended;
    co_await HttpFixture::readAll(raw, ended);
    CHECK(ended == boost::asio::error::connection_reset);
  });
}

TEST_CASE("A handler that fails or does not respond results in status 500",
          "[http]") {
  bool fails = GENERATE(false, true);
  HttpFixture fixture;
  fixture.serve(
      [&](Request, std::shared_ptr<Responder>) -> boost::asio::awaitable<void> {
        if (fails)
          throw std::runtime_error("broken");
        co_return;
      });
  fixture.run([&]() -> boost::asio::awaitable<void> {
    std::string text = co_await exchange(
        fixture, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK_THAT(text, StartsWith("HTTP/1.1 500 "));
  });
}

TEST_CASE("Draining serves running and queued requests", "[http]") {
  HttpFixture fixture;
  OneShotEvent release(fixture.Context);
  OneShotEvent began(fixture.Context);
  Server::Settings limits;
  limits.DrainGracePeriod = Millis(50);
  // The second connection waits in the queue of the kernel.
  limits.MaxConnections = 1;
  fixture.serve(
      [&](Request Req,
          std::shared_ptr<Responder> Reply) -> boost::asio::awaitable<void> {
        if (Req.Target == "/wait") {
          began.set();
          co_await release.wait();
        }
        co_await Reply->send(jsonResponse(200, "{}"));
      },
      limits);
  fixture.run([&]() -> boost::asio::awaitable<void> {
    RawSocket running = co_await fixture.connect();
    co_await HttpFixture::sendText(running, "GET /wait HTTP/1.1\r\n\r\n");
    co_await began.wait();
    RawSocket queued = co_await fixture.connect();
    co_await HttpFixture::sendText(queued, "GET / HTTP/1.1\r\n\r\n");
    CHECK(fixture.Serving->connections() == 1);

    fixture.Serving->drain();
    boost::system::error_code ended;
    std::string queuedResponse = co_await HttpFixture::readAll(queued, ended);
    CHECK_THAT(queuedResponse, StartsWith("HTTP/1.1 200 "));
    CHECK_THAT(queuedResponse, Contains("Connection: close"));
    CHECK(fixture.Serving->inFlight() == 1);
    release.set();
    std::string runningResponse = co_await HttpFixture::readAll(running, ended);
    CHECK_THAT(runningResponse, StartsWith("HTTP/1.1 200 "));
    CHECK_THAT(runningResponse, Contains("Connection: close"));

    RawSocket refused(fixture.Context);
    Address address = fixture.Serving->address();
    boost::asio::ip::tcp::endpoint peer(
        boost::asio::ip::make_address(address.Host), address.Port);
    auto [ec] = co_await refused.async_connect(
        peer, boost::asio::as_tuple(boost::asio::use_awaitable));
    CHECK(ec == boost::asio::error::connection_refused);
  });
}

TEST_CASE(
    "A request that arrives as its connection is due to close is answered",
    "[http]") {
  HttpFixture fixture;
  Server::Settings limits;
  limits.DrainGracePeriod = Millis(20);
  fixture.serve(echo, limits);
  fixture.run([&]() -> boost::asio::awaitable<void> {
    RawSocket raw = co_await fixture.connect();
    co_await HttpFixture::sendText(
        raw, "POST /1 HTTP/1.1\r\nContent-Length: 3\r\n\r\none");
    std::string first;
    while (!Contains("one").match(first)) {
      std::array<char, 512> buf{};
      std::size_t n = co_await raw.async_read_some(boost::asio::buffer(buf),
                                                   boost::asio::use_awaitable);
      first.append(buf.data(), n);
    }

    // Simulates a paused process: the request arrives and the grace period of
    // the draining server ends before the event loop runs again.
    fixture.Serving->drain();
    boost::asio::write(raw, boost::asio::buffer(std::string(
                                "POST /2 HTTP/1.1\r\nContent-Length: 3\r\n"
                                "\r\ntwo")));
    std::this_thread::sleep_for(limits.DrainGracePeriod * 2);

    boost::system::error_code ended;
    std::string second = co_await HttpFixture::readAll(raw, ended);
    CHECK_THAT(second, StartsWith("HTTP/1.1 200 "));
    CHECK_THAT(second, Contains("two"));
    co_await fixture.waitUntilAllClosed();
  });
}

TEST_CASE(
    "Stopping the server truncates a response but lets its handler finish",
    "[http]") {
  HttpFixture fixture;
  OneShotEvent began(fixture.Context);
  OneShotEvent release(fixture.Context);
  OneShotEvent ended(fixture.Context);
  fixture.serve(
      [&](Request,
          std::shared_ptr<Responder> Reply) -> boost::asio::awaitable<void> {
        Response head = jsonResponse(200, "");
        co_await Reply->begin(std::move(head));
        began.set();
        co_await release.wait();
        CHECK(Reply->gone());
        Outcome<Done> written = co_await Reply->write("late");
        CHECK_FALSE(written);
        ended.set();
      });
  fixture.run([&]() -> boost::asio::awaitable<void> {
    RawSocket raw = co_await fixture.connect();
    co_await HttpFixture::sendText(raw, "GET / HTTP/1.1\r\n\r\n");
    co_await began.wait();
    fixture.Serving->stop();
    fixture.Serving.reset();
    boost::system::error_code closed;
    std::string text = co_await HttpFixture::readAll(raw, closed);
    CHECK_THAT(text, !Contains("0\r\n\r\n"));
    release.set();
    co_await ended.wait();
  });
}

TEST_CASE("A failure to listen names the address", "[http]") {
  HttpFixture fixture;
  fixture.serve(echo);
  Server::Settings same;
  same.Listen = fixture.Serving->address();
  Outcome<Done> created = toOutcome<Done>([&]() -> Result<Done> {
    BOOST_LEAF_CHECK(Server::create(fixture.Context, same, echo));
    return Done{};
  });
  REQUIRE_FALSE(created);
  CHECK(created.failure().Code == FailureCode::Unavailable);
  CHECK_THAT(created.failure().Place, Contains(toText(same.Listen)));
}

TEST_CASE("Request headers and query values can be looked up", "[http]") {
  Request request{"GET", "/p?a=1%2F2&b=x+y&c", {{"X-Id", "7"}}, ""};
  CHECK(request.path() == "/p");
  CHECK(request.query("a") == "1/2");
  CHECK(request.query("b") == "x y");
  CHECK(request.query("c").empty());
  CHECK(request.header("x-ID") == "7");
}

} // namespace wasabi::http
