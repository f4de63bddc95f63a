/// \file
/// Guards against clients that make a server hold bodies, heads and
/// connections, and against limits that ordinary clients meet.
#include "UnitTests/Adapters/Http/HttpFixture.h"

#include "Wasabi/Adapters/Http/SlowReaders.h"
#include "Wasabi/Core/AsyncSignal.h"

namespace wasabi::http {

namespace {

namespace asio = boost::asio;
using Catch::Matchers::StartsWith;

constexpr std::uint64_t MaxHeldBytes = 1u << 20;
constexpr std::size_t LargeBytes = 600u << 10;
constexpr std::size_t MediumBytes = 40000;
/// Longer than the lag for which a body is given up.
constexpr Millis StallTime{400};

asio::awaitable<void> pause(HttpFixture &Fixture, Millis Time) {
  co_await pauseFor(Fixture.Context.get_executor(), Time);
}

/// Sends a request whose body lacks its last byte.
asio::awaitable<RawSocket> sendUnfinished(HttpFixture &Fixture,
                                          std::size_t BodyBytes) {
  RawSocket raw = co_await Fixture.connect();
  std::string text =
      "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(BodyBytes) +
      "\r\n\r\n" + std::string(BodyBytes - 1, 'x');
  co_await HttpFixture::sendText(raw, std::move(text));
  co_return std::move(raw);
}

asio::awaitable<Response> post(HttpFixture &Fixture, std::size_t BodyBytes) {
  Request request;
  request.Method = "POST";
  request.Target = "/";
  request.Body = std::string(BodyBytes, 'x');
  Address address = Fixture.Serving->address();
  Outcome<Response> got = co_await Fixture.TestClient->call(
      std::move(address), std::move(request), Millis(5000));
  REQUIRE(got);
  co_return *got;
}

asio::awaitable<void> answer(Request, std::shared_ptr<Responder> Reply) {
  Response response = jsonResponse(200, "{}");
  co_await Reply->send(std::move(response));
}

Server::Settings makeLimits() {
  Server::Settings limits;
  limits.MaxHeldBytes = MaxHeldBytes;
  return limits;
}

} // namespace

// Guards against bodies that are admitted by their first bytes and do not fit
// together later.
TEST_CASE("A body takes its announced room from its head on", "[http]") {
  HttpFixture fixture;
  fixture.serve(answer, makeLimits());
  fixture.run([&]() -> asio::awaitable<void> {
    RawSocket first = co_await fixture.connect();
    co_await HttpFixture::sendText(
        first, "POST / HTTP/1.1\r\nContent-Length: 614400\r\n\r\nx");
    while (fixture.Serving->held().RequestBytes == 0)
      co_await pause(fixture, Millis(1));
    CHECK(fixture.Serving->held().RequestBytes == LargeBytes);
    Response refused = co_await post(fixture, LargeBytes);
    CHECK(refused.Status == 503);
    CHECK(fixture.Serving->held().GivenUpBodies == 0);
  });
}

// Guards against a body that only waits and keeps the room from one that moves.
TEST_CASE("A body that lags is given up for one that needs its room",
          "[http]") {
  HttpFixture fixture;
  fixture.serve(answer, makeLimits());
  fixture.run([&]() -> asio::awaitable<void> {
    RawSocket stalled = co_await sendUnfinished(fixture, LargeBytes);
    co_await pause(fixture, StallTime);
    Response got = co_await post(fixture, LargeBytes);
    CHECK(got.Status == 200);
    CHECK(fixture.Serving->held().GivenUpBodies == 1);
    // It has not run and is told so.
    stalled.shutdown(RawSocket::shutdown_send);
    boost::system::error_code ended;
    std::string text = co_await HttpFixture::readAll(stalled, ended);
    CHECK_THAT(text, StartsWith("HTTP/1.1 503 "));
    CHECK(fixture.Serving->held().RequestBytes == 0);
  });
}

// Guards against a body that keeps its room by a byte now and then.
TEST_CASE("A body that drips lags", "[http]") {
  HttpFixture fixture;
  fixture.serve(answer, makeLimits());
  fixture.run([&]() -> asio::awaitable<void> {
    RawSocket dripping = co_await fixture.connect();
    co_await HttpFixture::sendText(
        dripping, "POST / HTTP/1.1\r\nContent-Length: 614400\r\n\r\n");
    for (int i = 0; i < 40; ++i) {
      co_await HttpFixture::sendText(dripping, "x");
      co_await pause(fixture, Millis(10));
    }
    Response got = co_await post(fixture, LargeBytes);
    CHECK(got.Status == 200);
  });
}

// Guards against large bodies that keep others out, and against many of a
// middle size that keep a large one out.
TEST_CASE("Large bodies leave room for others", "[http]") {
  constexpr std::uint64_t Max = MaxHeldBytes;
  HeldTotals one = addBody({0, 0, Max, 0}, Max / 2);
  CHECK(one.LargeRequestBytes == Max / 2);
  CHECK_FALSE(fitsRequestBody(one, Max / 2));
  CHECK(fitsRequestBody(one, Max / 2 - Max / 16));
  HeldTotals full = addBody(one, Max / 2 - Max / 16);
  CHECK(fitsRequestBody(full, Max / 16));
  HeldTotals alone = addBody({0, 0, Max, 0}, 8 * Max);
  CHECK(fitsRequestBody(alone, Max / 16));
  CHECK_FALSE(fitsRequestBody(addBody(alone, Max / 16), SmallBodyBytes + 1));
  CHECK(removeBody(full, Max / 2 - Max / 16) == one);
}

// Guards against bodies that are received although their request is denied.
TEST_CASE("A request is checked by its head before a large body", "[http]") {
  HttpFixture fixture;
  Server::Settings limits = makeLimits();
  std::size_t checked = 0;
  limits.CheckHead =
      [&](const Request &Head) -> asio::awaitable<std::optional<Response>> {
    ++checked;
    CHECK(Head.Body.empty());
    if (Head.path() == "/allowed")
      co_return std::nullopt;
    co_return jsonResponse(404, "{}");
  };
  std::size_t handled = 0;
  fixture.serve(
      [&](Request Req, std::shared_ptr<Responder> Reply) {
        ++handled;
        return answer(std::move(Req), std::move(Reply));
      },
      limits);
  fixture.run([&]() -> asio::awaitable<void> {
    std::string length = "Content-Length: 614400\r\n\r\n";
    std::string chunks =
        "Transfer-Encoding: chunked\r\n\r\n5000\r\n" + std::string(0x5000, 'x');
    for (const std::string &it : {length, chunks}) {
      RawSocket raw = co_await fixture.connect();
      co_await HttpFixture::sendText(raw, "POST /denied HTTP/1.1\r\n" + it);
      std::string text;
      co_await asio::async_read(raw, asio::dynamic_buffer(text),
                                asio::transfer_at_least(12),
                                asio::use_awaitable);
      CHECK_THAT(text, StartsWith("HTTP/1.1 404 "));
      // What follows is no request.
      co_await HttpFixture::sendText(raw, "GET /allowed HTTP/1.1\r\n\r\n");
      raw.shutdown(RawSocket::shutdown_send);
      boost::system::error_code ended;
      text = co_await HttpFixture::readAll(raw, ended);
      CHECK(text.find("HTTP/1.1") == std::string::npos);
    }
    CHECK(checked == 2);
    CHECK(handled == 0);
    Response small = co_await post(fixture, SmallBodyBytes);
    CHECK(small.Status == 200);
    CHECK(checked == 2);
    CHECK(fixture.Serving->held().RequestBytes == 0);
  });
}

// Guards against small bodies, heads and connections that no other limit
// counts.
TEST_CASE("All that connections hold is counted", "[http]") {
  HttpFixture fixture;
  Server::Settings limits;
  limits.Memory = PeerMemory::create({MaxHeldBytes, 0});
  fixture.serve(answer, limits);
  fixture.run([&]() -> asio::awaitable<void> {
    constexpr std::size_t Clients = 100;
    std::vector<RawSocket> clients;
    clients.reserve(Clients);
    for (std::size_t i = 0; i < Clients; ++i)
      clients.push_back(co_await sendUnfinished(fixture, SmallBodyBytes));
    co_await pause(fixture, StallTime);
    Response got = co_await post(fixture, 100);
    CHECK(got.Status == 200);
    got = co_await post(fixture, MediumBytes);
    CHECK(got.Status == 200);
    CHECK(limits.Memory->heldBytes() <= MaxHeldBytes + MaxHeldBytes / 8);
    CHECK(fixture.Serving->held().YieldedConnections > 0);
    clients.clear();
    // The connection of the ordinary client stays.
    while (fixture.Serving->connections() > 1)
      co_await pause(fixture, Millis(1));
    CHECK(limits.Memory->connections() == 1);
    CHECK(limits.Memory->heldBytes() < MaxHeldBytes / 16);
  });
}

// Guards against connections that take the descriptors of the process.
TEST_CASE("A connection that lags makes place for another one", "[http]") {
  constexpr std::size_t MaxConnections = 40;
  HttpFixture fixture;
  Server::Settings limits;
  limits.MaxConnections = MaxConnections;
  fixture.serve(answer, limits);
  fixture.run([&]() -> asio::awaitable<void> {
    // The kept connection was answered and is the last to give way.
    Response got = co_await post(fixture, 100);
    CHECK(got.Status == 200);
    std::vector<RawSocket> clients;
    clients.reserve(2 * MaxConnections);
    for (std::size_t i = 0; i < 2 * MaxConnections; ++i)
      clients.push_back(co_await fixture.connect());
    RawSocket late = co_await fixture.connect();
    co_await HttpFixture::sendText(
        late, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    boost::system::error_code ended;
    std::string text = co_await HttpFixture::readAll(late, ended);
    CHECK_THAT(text, StartsWith("HTTP/1.1 200 "));
    CHECK(fixture.Serving->connections() <= MaxConnections);
    std::uint64_t closed = fixture.Serving->held().YieldedConnections;
    CHECK(closed > 0);
    got = co_await post(fixture, 100);
    CHECK(got.Status == 200);
  });
}

// Guards against a limit of an earlier configuration that stays in force.
TEST_CASE("The bounds for clients can change while the server runs", "[http]") {
  HttpFixture fixture;
  fixture.serve(answer);
  fixture.Serving->setLimits({1000, 100, Millis(10000), Millis(60000)});
  fixture.run([&]() -> asio::awaitable<void> {
    Response got = co_await post(fixture, 101);
    CHECK(got.Status == 413);
    got = co_await post(fixture, 100);
    CHECK(got.Status == 200);
    RawSocket raw = co_await fixture.connect();
    co_await HttpFixture::sendText(raw, "GET / HTTP/1.1\r\nA: " +
                                            std::string(1000, 'x'));
    raw.shutdown(RawSocket::shutdown_send);
    boost::system::error_code ended;
    std::string text = co_await HttpFixture::readAll(raw, ended);
    CHECK_THAT(text, StartsWith("HTTP/1.1 431 "));
    fixture.Serving->setLimits({65536, 1000, Millis(10000), Millis(60000)});
    got = co_await post(fixture, 1000);
    CHECK(got.Status == 200);
  });
}

} // namespace wasabi::http
