#include "UnitTests/Adapters/Http/HttpFixture.h"

#include "Wasabi/Adapters/Http/SlowReaders.h"
#include "Wasabi/Core/AsyncSignal.h"

#include <boost/asio/error.hpp>

#include <netinet/tcp.h>

#include <algorithm>

namespace wasabi::http {

namespace {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

/// Segment size of clients. A small one keeps the buffers of the kernel small
/// and lets the server observe progress in small steps.
constexpr int SegmentBytes = 1000;
constexpr int ReceiveBufferBytes = 4096;
/// More than the kernel buffers for a client with these settings.
constexpr std::size_t LargeBytes = 512u << 10;
/// More than the size of a response's head.
constexpr std::size_t HeadBytes = 1024;
constexpr Millis Never{60000};

/// Connects with small buffers.
asio::awaitable<RawSocket> connectSmall(HttpFixture &Fixture) {
  RawSocket raw(Fixture.Context);
  Address address = Fixture.Serving->address();
  asio::ip::tcp::endpoint peer(asio::ip::make_address(address.Host),
                               address.Port);
  raw.open(peer.protocol());
  raw.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
  raw.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>(
      SegmentBytes));
  co_await raw.async_connect(peer, asio::use_awaitable);
  co_return std::move(raw);
}

/// Sends a request for a large response and reads none of it.
asio::awaitable<RawSocket> requestLarge(HttpFixture &Fixture) {
  RawSocket raw = co_await connectSmall(Fixture);
  co_await HttpFixture::sendText(raw, "GET /large HTTP/1.1\r\n\r\n");
  co_return std::move(raw);
}

asio::awaitable<void> pause(HttpFixture &Fixture, Millis Time) {
  co_await pauseFor(Fixture.Context.get_executor(), Time);
}

/// Waits until `Condition` holds; the time limit of the fixture applies.
asio::awaitable<void> waitFor(HttpFixture &Fixture,
                              std::function<bool()> Condition) {
  while (!Condition())
    co_await pause(Fixture, Millis(1));
}

/// Answers `/large` with a large body and other paths with the request's body.
asio::awaitable<void> respond(Request Req, std::shared_ptr<Responder> Reply) {
  std::string body = Req.path() == "/large" ? std::string(LargeBytes, 'x')
                                            : std::move(Req.Body);
  Response response = jsonResponse(200, std::move(body));
  co_await Reply->send(std::move(response));
}

asio::awaitable<Response> callSmall(HttpFixture &Fixture,
                                    std::string Body = "{}") {
  Request request;
  request.Method = "POST";
  request.Target = "/small";
  request.Body = std::move(Body);
  Address address = Fixture.Serving->address();
  Outcome<Response> got = co_await Fixture.TestClient->call(
      std::move(address), std::move(request), Millis(5000));
  REQUIRE(got);
  co_return *got;
}

} // namespace

// Guards against stalled clients that occupy the server's thread or memory, or
// keep their connections: the page allows no effect on others. The bound for a
// request of another client is the latency target of lookups, 150 ms.
TEST_CASE("A hundred stalled clients do not delay others and are reset",
          "[http]") {
  constexpr std::size_t Stalled = 100;
  constexpr Millis LatencyTarget{150};
  HttpFixture fixture;
  Server::Settings limits;
  limits.ReadStallTimeout = Millis(1000);
  std::vector<SlowReaderReport> reports;
  limits.OnSlowReaders = [&](const SlowReaderReport &Report) {
    reports.push_back(Report);
  };
  fixture.serve(respond, limits);
  fixture.run([&]() -> asio::awaitable<void> {
    std::vector<RawSocket> clients;
    for (std::size_t i = 0; i < Stalled; ++i)
      clients.push_back(co_await requestLarge(fixture));
    std::uint64_t expected = Stalled * LargeBytes;
    co_await waitFor(fixture, [&] {
      return fixture.Serving->held().ResponseBytes >= expected;
    });
    CHECK(fixture.Serving->held().ResponseBytes <=
          expected + Stalled * HeadBytes);
    Millis longest{0};
    for (int i = 0; i < 20; ++i) {
      TimePoint start = monotonicNow();
      Response got = co_await callSmall(fixture);
      CHECK(got.Status == 200);
      longest = std::max(
          longest, std::chrono::duration_cast<Millis>(monotonicNow() - start));
    }
    CHECK(longest < LatencyTarget);
    CHECK(fixture.Serving->held().StalledResets == 0);
    // The connection of the other client is idle and stays open.
    co_await waitFor(fixture,
                     [&] { return fixture.Serving->connections() == 1; });
    HeldCounts held = fixture.Serving->held();
    CHECK(held.StalledResets == Stalled);
    CHECK(held.MemoryResets == 0);
    CHECK(held.ResponseBytes == 0);
    CHECK(fixture.Serving->inFlight() == 0);
    for (RawSocket &it : clients) {
      ErrorCode ended;
      co_await HttpFixture::readAll(it, ended);
      CHECK(ended == asio::error::connection_reset);
    }
    std::uint64_t reported = 0;
    co_await waitFor(fixture, [&] {
      reported = 0;
      for (const SlowReaderReport &it : reports)
        reported += it.StalledResets;
      return reported == Stalled;
    });
    // A report for each reset would flood the log.
    CHECK(reports.size() <= 3);
    CHECK(reports.front().LongestStall >= limits.ReadStallTimeout);
    CHECK_FALSE(reports.front().LastPeer.empty());
  });
}

// Guards against a limit on the whole response, and against one that sees
// progress only when the kernel has room for more.
TEST_CASE("A client that reads slowly but steadily gets its whole response",
          "[http]") {
  constexpr std::size_t ReadBytes = 6000;
  HttpFixture fixture;
  Server::Settings limits;
  limits.ReadStallTimeout = Millis(500);
  fixture.serve(respond, limits);
  fixture.run([&]() -> asio::awaitable<void> {
    RawSocket raw = co_await requestLarge(fixture);
    TimePoint start = monotonicNow();
    std::size_t total = 0;
    std::string buffer(ReadBytes, ' ');
    while (total < LargeBytes) {
      auto [ec, n] = co_await raw.async_read_some(
          asio::buffer(buffer), asio::as_tuple(asio::use_awaitable));
      REQUIRE_FALSE(ec);
      total += n;
      co_await pause(fixture, Millis(15));
    }
    // The test is void if the client was fast.
    CHECK(monotonicNow() - start > 2 * limits.ReadStallTimeout);
    CHECK(fixture.Serving->held().StalledResets == 0);
    Response got = co_await callSmall(fixture);
    CHECK(got.Status == 200);
    co_await waitFor(fixture, [&] { return fixture.Serving->inFlight() == 0; });
    CHECK(fixture.Serving->held().ResponseBytes == 0);
  });
}

// Guards against a process that is killed for its memory before the time limit
// of stalled clients is reached.
TEST_CASE("The held bytes stay under the maximum; the longest without progress "
          "is reset first",
          "[http]") {
  constexpr std::size_t Clients = 24;
  constexpr std::size_t Fitting = 6;
  HttpFixture fixture;
  Server::Settings limits;
  limits.ReadStallTimeout = Never;
  limits.MaxHeldBytes = Fitting * (LargeBytes + HeadBytes);
  // Sets the interval at which progress is observed, to 5 ms.
  limits.DrainGracePeriod = Millis(20);
  fixture.serve(respond, limits);
  fixture.run([&]() -> asio::awaitable<void> {
    std::vector<RawSocket> clients;
    for (std::size_t i = 0; i < Clients; ++i) {
      clients.push_back(co_await requestLarge(fixture));
      co_await pause(fixture, Millis(20));
      CHECK(fixture.Serving->held().ResponseBytes <= limits.MaxHeldBytes);
    }
    co_await waitFor(fixture, [&] {
      return fixture.Serving->held().MemoryResets == Clients - Fitting;
    });
    HeldCounts held = fixture.Serving->held();
    CHECK(held.ResponseBytes >= Fitting * LargeBytes);
    CHECK(held.MaxResponseBytes <= limits.MaxHeldBytes);
    CHECK(held.ShedRequests == 0);
    co_await waitFor(fixture,
                     [&] { return fixture.Serving->inFlight() == Fitting; });
    ErrorCode ended;
    co_await HttpFixture::readAll(clients.front(), ended);
    CHECK(ended == asio::error::connection_reset);
    // The last one still gets its whole response.
    std::string text;
    co_await asio::async_read(clients.back(), asio::dynamic_buffer(text),
                              asio::transfer_at_least(LargeBytes),
                              asio::use_awaitable);
    CHECK(text.size() >= LargeBytes);
    clients.clear();
    co_await fixture.waitUntilAllClosed();
    CHECK(fixture.Serving->held().ResponseBytes == 0);
  });
}

// Guards against work that is begun while the memory is used up, and against a
// refusal that outlasts the shortage or ends the caller's connection.
TEST_CASE("Requests are refused with a retry time while too much is held",
          "[http]") {
  HttpFixture fixture;
  Server::Settings limits;
  limits.ReadStallTimeout = Never;
  limits.MaxHeldBytes = LargeBytes / 2;
  unsigned handled = 0;
  fixture.serve(
      [&](Request Req, std::shared_ptr<Responder> Reply) {
        ++handled;
        return respond(std::move(Req), std::move(Reply));
      },
      limits);
  fixture.run([&]() -> asio::awaitable<void> {
    RawSocket raw = co_await requestLarge(fixture);
    co_await waitFor(fixture,
                     [&] { return fixture.Serving->held().ResponseBytes > 0; });
    CHECK(handled == 1);
    const std::vector<std::string> bodies{"{}",
                                          std::string(4 * SmallBodyBytes, 'x')};
    for (const std::string &body : bodies) {
      Response refused = co_await callSmall(fixture, body);
      CHECK(refused.Status == 503);
      CHECK(refused.header("Retry-After") == "0.250");
    }
    CHECK(handled == 1);
    CHECK(fixture.Serving->held().ShedRequests == 2);
    std::string text;
    co_await asio::async_read(raw, asio::dynamic_buffer(text),
                              asio::transfer_at_least(LargeBytes),
                              asio::use_awaitable);
    co_await waitFor(
        fixture, [&] { return fixture.Serving->held().ResponseBytes == 0; });
    Response got = co_await callSmall(fixture);
    CHECK(got.Status == 200);
    CHECK(handled == 2);
    CHECK(fixture.Serving->held().MemoryResets == 0);
  });
}

// Guards against one client that reads a large response so slowly that all
// other requests are refused for as long as it likes.
TEST_CASE("A single response above the maximum ends after the time limit",
          "[http]") {
  HttpFixture fixture;
  Server::Settings limits;
  limits.ReadStallTimeout = Millis(300);
  limits.MaxHeldBytes = LargeBytes / 2;
  fixture.serve(respond, limits);
  fixture.run([&]() -> asio::awaitable<void> {
    RawSocket raw = co_await requestLarge(fixture);
    std::string buffer(2000, ' ');
    ErrorCode ended;
    while (!ended) {
      auto [ec, n] = co_await raw.async_read_some(
          asio::buffer(buffer), asio::as_tuple(asio::use_awaitable));
      ended = ec;
      co_await pause(fixture, Millis(15));
    }
    CHECK(ended == asio::error::connection_reset);
    HeldCounts held = fixture.Serving->held();
    CHECK(held.MemoryResets == 1);
    CHECK(held.StalledResets == 0);
    CHECK(held.ResponseBytes == 0);
    Response got = co_await callSmall(fixture);
    CHECK(got.Status == 200);
  });
}

// Guards against bodies of requests that a slowly reading server makes the
// process hold, in any number, until it is killed for its memory.
TEST_CASE("Large request bodies that do not fit are refused and small ones run",
          "[http]") {
  constexpr std::size_t BodyBytes = 80000;
  HttpFixture fixture;
  bool finish = false;
  Server::Settings limits;
  limits.MaxHeldBytes = BodyBytes;
  unsigned large = 0;
  fixture.serve(
      [&](Request Req,
          std::shared_ptr<Responder> Reply) -> asio::awaitable<void> {
        if (Req.Body.size() > SmallBodyBytes) {
          ++large;
          co_await waitFor(fixture, [&] { return finish; });
        }
        Response response = jsonResponse(200, "{}");
        co_await Reply->send(std::move(response));
      },
      limits);
  fixture.run([&]() -> asio::awaitable<void> {
    // The only large body is accepted although it exceeds the maximum.
    std::string body(BodyBytes + 1, 'x');
    RawSocket first = co_await fixture.connect();
    co_await HttpFixture::sendText(
        first, "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
    co_await waitFor(fixture, [&] { return large == 1; });
    CHECK(fixture.Serving->held().RequestBytes == body.size());
    Response refused = co_await callSmall(fixture, body);
    CHECK(refused.Status == 503);
    CHECK_FALSE(refused.header("Retry-After").empty());
    RawSocket chunked = co_await fixture.connect();
    co_await HttpFixture::sendText(
        chunked, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "8000\r\n" +
                     std::string(0x8000, 'x') + "\r\n");
    ErrorCode ended;
    chunked.shutdown(RawSocket::shutdown_send);
    std::string text = co_await HttpFixture::readAll(chunked, ended);
    CHECK_THAT(text, Catch::Matchers::StartsWith("HTTP/1.1 503 "));
    Response small = co_await callSmall(fixture);
    CHECK(small.Status == 200);
    CHECK(large == 1);
    finish = true;
    text = co_await HttpFixture::readAll(first, ended);
    CHECK_THAT(text, Catch::Matchers::StartsWith("HTTP/1.1 200 "));
    CHECK(fixture.Serving->held().RequestBytes == 0);
    Response again = co_await callSmall(fixture, body);
    CHECK(again.Status == 200);
    CHECK(large == 2);
    CHECK(fixture.Serving->held().ShedRequests == 2);
  });
}

// Guards against a stream that is read from its upstream server while its
// client does not read, so that the process holds all of it.
TEST_CASE("A stream is read no further than one piece ahead of its client",
          "[http]") {
  constexpr std::size_t ChunkBytes = 16384;
  constexpr std::size_t Chunks = 1024;
  HttpFixture fixture;
  std::uint64_t produced = 0;
  Handler produce =
      [&](Request, std::shared_ptr<Responder> Reply) -> asio::awaitable<void> {
    Response head = jsonResponse(200, "");
    co_await Reply->begin(std::move(head));
    for (std::size_t i = 0; i < Chunks && !Reply->gone(); ++i) {
      std::string chunk(ChunkBytes, 'x');
      co_await Reply->write(std::move(chunk));
      produced += ChunkBytes;
    }
    co_await Reply->end();
  };
  Server::Settings limits;
  limits.ReadStallTimeout = Never;
  Result<std::shared_ptr<Server>> upstream =
      Server::create(fixture.Context, limits, produce);
  REQUIRE(upstream);
  std::uint64_t received = 0;
  std::uint64_t written = 0;
  std::uint64_t furthest = 0;
  fixture.serve(
      [&](Request Req,
          std::shared_ptr<Responder> Reply) -> asio::awaitable<void> {
        Address address = (*upstream)->address();
        Outcome<std::unique_ptr<ResponseStream>> stream =
            co_await fixture.TestClient->open(std::move(address),
                                              std::move(Req), Millis(5000));
        REQUIRE(stream);
        Response head = (*stream)->head();
        co_await Reply->begin(std::move(head));
        for (;;) {
          Outcome<std::optional<std::string>> piece =
              co_await (*stream)->next(Millis(20000));
          REQUIRE(piece);
          if (!*piece)
            break;
          std::uint64_t size = (*piece)->size();
          received += size;
          furthest = std::max(furthest, received - written);
          co_await Reply->write(std::move(**piece));
          written += size;
        }
        co_await Reply->end();
      },
      limits);
  fixture.run([&]() -> asio::awaitable<void> {
    RawSocket raw = co_await connectSmall(fixture);
    co_await HttpFixture::sendText(
        raw, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    // Production ends when the buffers of the kernel are full.
    std::uint64_t before = 0;
    while (produced == 0 || produced != before) {
      before = produced;
      co_await pause(fixture, Millis(100));
    }
    CHECK(produced < ChunkBytes * Chunks);
    CHECK(fixture.Serving->held().ResponseBytes > 0);
    CHECK(fixture.Serving->held().ResponseBytes <= ChunkBytes + HeadBytes);
    ErrorCode ended;
    std::string text = co_await HttpFixture::readAll(raw, ended);
    CHECK(ended == asio::error::eof);
    CHECK(text.size() > ChunkBytes * Chunks);
    CHECK(written == ChunkBytes * Chunks);
    CHECK(furthest <= ChunkBytes);
    CHECK(fixture.Serving->held().ResponseBytes == 0);
  });
}

} // namespace wasabi::http
