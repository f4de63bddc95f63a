/// \file
/// Tests of the client and the server of the request frames over real sockets.
/// Faulty peers are simulated with `FrameSocket`.
#include "Wasabi/Adapters/Frames/RequestFrames.h"
#include "Wasabi/Adapters/Frames/FrameSocket.h"
#include "Wasabi/Adapters/Frames/RequestClient.h"
#include "Wasabi/Adapters/Frames/RequestServer.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <catch2/catch.hpp>

#include <optional>
#include <tuple>

namespace wasabi {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::seconds TestTimeout{20};
constexpr asio::as_tuple_t<asio::use_awaitable_t<>> Awaited;

/// Runs the context until `Body` has ended.
void runUntilDone(asio::io_context &Context,
                  std::function<asio::awaitable<void>()> Body) {
  bool done = false;
  std::exception_ptr thrown;
  asio::co_spawn(Context, Body, [&](std::exception_ptr Error) {
    thrown = std::move(Error);
    done = true;
  });
  std::chrono::steady_clock::time_point end =
      std::chrono::steady_clock::now() + TestTimeout;
  while (!done && std::chrono::steady_clock::now() < end)
    Context.run_one_for(TestTimeout);
  if (thrown)
    std::rethrow_exception(thrown);
  REQUIRE(done);
}

/// Runs pending handlers until `Holds` returns true or the wait times out.
asio::awaitable<bool> eventually(asio::io_context &Context,
                                 std::function<bool()> Holds) {
  BootTimer timer(Context);
  for (int n = 0; n < 4000 && !Holds(); ++n) {
    timer.expires_after(Millis(1));
    co_await timer.async_wait(Awaited);
  }
  co_return Holds();
}

std::shared_ptr<RequestServer> makeServer(asio::io_context &Context,
                                          RequestServer::Settings Setup,
                                          RequestServer::Handler Handle) {
  Setup.Instance = InstanceName("daemon-1");
  Outcome<std::shared_ptr<RequestServer>> made =
      toOutcome<std::shared_ptr<RequestServer>>(
          [&] { return RequestServer::create(Context, Setup, Handle); });
  REQUIRE(made);
  return *made;
}

RequestAttempt makeAttempt(std::string Name) {
  RequestAttempt attempt;
  attempt.Request = std::move(Name);
  attempt.Service = ServiceName("drafting-llm");
  attempt.Http.Method = "POST";
  attempt.Http.Target = "/v1/completions?x=1";
  attempt.Http.Headers = {{"X-Request-Id", attempt.Request}};
  attempt.Http.Body = "body of " + attempt.Request;
  attempt.Idempotent = false;
  attempt.Key = "key";
  attempt.Deadline = Millis(10000);
  attempt.Priority = -3;
  attempt.Caller = "planner";
  attempt.Trainer = TrainerName("placements");
  attempt.Slot = "1/2/3";
  return attempt;
}

RequestClient::Settings clientSetup() {
  RequestClient::Settings setup;
  setup.Instance = InstanceName("entry-1");
  return setup;
}

/// Responds with the body of the request.
asio::awaitable<void> echo(RequestAttempt Attempt,
                           std::shared_ptr<ResponseSink> Sink) {
  Sink->begin(http::Response{201, {{"X-Kind", "echo"}}, ""},
              ServerName("server-1"));
  Outcome<Done> written = co_await Sink->write(Attempt.Http.Body);
  if (written)
    Sink->end();
}

/// Accepts one connection, reads its frames up to the first request, and
/// returns its socket.
asio::awaitable<std::shared_ptr<FrameSocket>>
acceptUntilRequest(asio::ip::tcp::acceptor &Acceptor) {
  std::tuple<boost::system::error_code, asio::ip::tcp::socket> accepted =
      co_await Acceptor.async_accept(Awaited);
  REQUIRE_FALSE(std::get<0>(accepted));
  std::shared_ptr<FrameSocket> socket = FrameSocket::adopt(
      std::move(std::get<1>(accepted)), FrameSocket::Settings());
  for (int n = 0; n < 2; ++n) {
    Outcome<FrameBytes> frame = co_await socket->receive();
    REQUIRE(frame);
  }
  co_return socket;
}

struct Peer {
  explicit Peer(asio::io_context &Context)
      : Acceptor(Context, asio::ip::tcp::endpoint(
                              asio::ip::make_address("127.0.0.1"), 0)) {}
  Address address() const {
    return Address{"127.0.0.1", Acceptor.local_endpoint().port()};
  }
  asio::ip::tcp::acceptor Acceptor;
};

/// Simulates a daemon that responds to the first request with `Frames`. Returns
/// the response that a client reads.
Outcome<http::Response> readFromPeer(std::vector<FrameBytes> Frames,
                                     bool CloseAfterFrames) {
  asio::io_context context;
  Peer peer(context);
  std::optional<Outcome<http::Response>> read;
  runUntilDone(context, [&]() -> asio::awaitable<void> {
    std::shared_ptr<FrameSocket> socket;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
          socket = co_await acceptUntilRequest(peer.Acceptor);
          for (const FrameBytes &it : Frames)
            socket->send(it);
          if (CloseAfterFrames)
            socket->closeAfterSending();
        },
        asio::detached);
    std::shared_ptr<RequestClient> client =
        RequestClient::create(context.get_executor(), clientSetup());
    RequestAttempt attempt = makeAttempt("r");
    Outcome<std::unique_ptr<DaemonResponseStream>> opened =
        co_await client->open(peer.address(), attempt);
    if (!opened) {
      read.emplace(opened.failure());
      co_return;
    }
    read.emplace(co_await readWholeResponse(**opened, Millis(10000), 1u << 20));
  });
  return *read;
}

const http::Response PlainHead{200, {}, ""};

} // namespace

TEST_CASE("Requests and responses are transferred completely", "[frames]") {
  asio::io_context context;
  std::optional<RequestAttempt> seen;
  std::shared_ptr<RequestServer> server = makeServer(
      context, {},
      [&](RequestAttempt Attempt,
          std::shared_ptr<ResponseSink> Sink) -> asio::awaitable<void> {
        seen = Attempt;
        return echo(std::move(Attempt), std::move(Sink));
      });
  runUntilDone(context, [&]() -> asio::awaitable<void> {
    std::shared_ptr<RequestClient> client =
        RequestClient::create(context.get_executor(), clientSetup());
    RequestAttempt sent = makeAttempt("r-1");
    // Larger than the credit and the maximum chunk size.
    sent.Http.Body = std::string(3u << 20, 'x');
    Outcome<std::unique_ptr<DaemonResponseStream>> opened =
        co_await client->open(server->address(), sent);
    REQUIRE(opened);
    CHECK((*opened)->head().Status == 201);
    CHECK((*opened)->head().header("x-kind") == "echo");
    CHECK((*opened)->server() == ServerName("server-1"));
    Outcome<http::Response> response =
        co_await readWholeResponse(**opened, Millis(10000), 4u << 20);
    REQUIRE(response);
    CHECK(response->Body == sent.Http.Body);
    CHECK(client->inFlight() == 0);

    REQUIRE(seen);
    CHECK(seen->Request == sent.Request);
    CHECK(seen->Http.Method == sent.Http.Method);
    CHECK(seen->Http.Target == sent.Http.Target);
    CHECK(seen->Http.Headers == sent.Http.Headers);
    CHECK(seen->Idempotent == sent.Idempotent);
    CHECK(seen->Key == sent.Key);
    CHECK(seen->Priority == sent.Priority);
    CHECK(seen->Caller == sent.Caller);
    CHECK(seen->Trainer == sent.Trainer);
    CHECK(seen->Slot == sent.Slot);
  });
}

TEST_CASE("An incomplete response is a failure", "[frames]") {
  SECTION("a gap between two chunks") {
    Outcome<http::Response> read =
        readFromPeer({frames::head(1, PlainHead, ServerName("s")),
                      frames::chunk(1, 0, "abc"), frames::chunk(1, 4, "e"),
                      frames::end(1, 5)},
                     false);
    REQUIRE_FALSE(read);
    CHECK(read.failure().Run == Verdict::MayHaveRun);
  }
  SECTION("a repeated chunk") {
    Outcome<http::Response> read =
        readFromPeer({frames::head(1, PlainHead, ServerName("s")),
                      frames::chunk(1, 0, "abc"), frames::chunk(1, 0, "abc"),
                      frames::end(1, 6)},
                     false);
    REQUIRE_FALSE(read);
  }
  SECTION("an end frame that counts more bytes than were received") {
    Outcome<http::Response> read =
        readFromPeer({frames::head(1, PlainHead, ServerName("s")),
                      frames::chunk(1, 0, "abc"), frames::end(1, 4)},
                     false);
    REQUIRE_FALSE(read);
  }
  SECTION("a connection lost before the end") {
    Outcome<http::Response> read =
        readFromPeer({frames::head(1, PlainHead, ServerName("s")),
                      frames::chunk(1, 0, "abc")},
                     true);
    REQUIRE_FALSE(read);
    CHECK(read.failure().Code == FailureCode::ConnectionLost);
    CHECK(read.failure().Run == Verdict::MayHaveRun);
  }
  SECTION("a connection lost before the head") {
    Outcome<http::Response> read = readFromPeer({}, true);
    REQUIRE_FALSE(read);
    CHECK(read.failure().Run == Verdict::MayHaveRun);
  }
  SECTION("a refusal after the first chunk") {
    Failure failure{Verdict::Ran, FailureCode::Unavailable, "engine", "crashed",
                    Millis(7)};
    Outcome<http::Response> read =
        readFromPeer({frames::head(1, PlainHead, ServerName("s")),
                      frames::chunk(1, 0, "abc"), frames::refusal(1, failure)},
                     false);
    REQUIRE_FALSE(read);
    CHECK(read.failure() == failure);
  }
}

TEST_CASE("Frames of unknown or ended responses are dropped", "[frames]") {
  Outcome<http::Response> read = readFromPeer(
      {frames::head(9, PlainHead, ServerName("late")),
       frames::chunk(9, 0, "late"), frames::end(9, 4),
       frames::head(1, PlainHead, ServerName("s")), frames::chunk(1, 0, "abc"),
       frames::end(1, 3), frames::end(1, 3), frames::chunk(1, 0, "abc")},
      false);
  REQUIRE(read);
  CHECK(read->Body == "abc");
}

TEST_CASE("A request that could not be sent is reported as not run",
          "[frames]") {
  asio::io_context context;
  Address unused;
  {
    Peer peer(context);
    unused = peer.address();
  }
  runUntilDone(context, [&]() -> asio::awaitable<void> {
    std::shared_ptr<RequestClient> client =
        RequestClient::create(context.get_executor(), clientSetup());
    RequestAttempt attempt = makeAttempt("r");
    Outcome<std::unique_ptr<DaemonResponseStream>> opened =
        co_await client->open(unused, attempt);
    REQUIRE_FALSE(opened);
    CHECK(opened.failure().Run == Verdict::NotRun);
    CHECK(opened.failure().Code == FailureCode::Unreachable);
    // During the back-off, a further attempt fails immediately.
    Outcome<std::unique_ptr<DaemonResponseStream>> again =
        co_await client->open(unused, attempt);
    REQUIRE_FALSE(again);
    CHECK(again.failure().Run == Verdict::NotRun);
  });
}

TEST_CASE("The connection to an unresponsive daemon is closed", "[frames]") {
  asio::io_context context;
  Peer peer(context);
  runUntilDone(context, [&]() -> asio::awaitable<void> {
    std::shared_ptr<FrameSocket> socket;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
          socket = co_await acceptUntilRequest(peer.Acceptor);
        },
        asio::detached);
    RequestClient::Settings setup = clientSetup();
    setup.HeartbeatTimeout = Millis(50);
    setup.HeartbeatInterval = Millis(10);
    std::shared_ptr<RequestClient> client =
        RequestClient::create(context.get_executor(), setup);
    RequestAttempt attempt = makeAttempt("r");
    Outcome<std::unique_ptr<DaemonResponseStream>> opened =
        co_await client->open(peer.address(), attempt);
    REQUIRE_FALSE(opened);
    CHECK(opened.failure().Run == Verdict::MayHaveRun);
    CHECK(opened.failure().Code == FailureCode::ConnectionLost);
  });
}

TEST_CASE("A repeated request frame does not run the request again",
          "[frames]") {
  asio::io_context context;
  int runs = 0;
  std::shared_ptr<RequestServer> server = makeServer(
      context, {},
      [&](RequestAttempt Attempt,
          std::shared_ptr<ResponseSink> Sink) -> asio::awaitable<void> {
        ++runs;
        return echo(std::move(Attempt), std::move(Sink));
      });
  runUntilDone(context, [&]() -> asio::awaitable<void> {
    FrameSocket::Settings limits;
    Outcome<std::shared_ptr<FrameSocket>> socket =
        co_await FrameSocket::connect(context.get_executor(), server->address(),
                                      limits);
    REQUIRE(socket);
    FrameBytes request = frames::request(5, makeAttempt("r"), 1000);
    (*socket)->send(request);
    (*socket)->send(request);
    // The server closes the connection on the repeated id.
    bool open = true;
    while (open) {
      Outcome<FrameBytes> frame = co_await (*socket)->receive();
      open = static_cast<bool>(frame);
    }
    CHECK(runs == 1);
  });
}

TEST_CASE("Destroying the response stream cancels the request", "[frames]") {
  asio::io_context context;
  bool gone = false;
  std::shared_ptr<ResponseSink> sink;
  std::shared_ptr<RequestServer> server = makeServer(
      context, {},
      [&](RequestAttempt,
          std::shared_ptr<ResponseSink> Sink) -> asio::awaitable<void> {
        sink = Sink;
        Sink->onGone([&gone] { gone = true; });
        Sink->begin(PlainHead, ServerName("s"));
        bool left = co_await eventually(context, [&] { return gone; });
        CHECK(left);
        Outcome<Done> written = co_await Sink->write("late");
        CHECK_FALSE(written);
      });
  runUntilDone(context, [&]() -> asio::awaitable<void> {
    std::shared_ptr<RequestClient> client =
        RequestClient::create(context.get_executor(), clientSetup());
    RequestAttempt attempt = makeAttempt("r");
    {
      Outcome<std::unique_ptr<DaemonResponseStream>> opened =
          co_await client->open(server->address(), attempt);
      REQUIRE(opened);
    }
    CHECK(co_await eventually(context, [&] { return gone; }));
    CHECK(
        co_await eventually(context, [&] { return server->inFlight() == 0; }));
  });
}

TEST_CASE("A pending open can be cancelled by its request id", "[frames]") {
  asio::io_context context;
  bool gone = false;
  std::shared_ptr<RequestServer> server = makeServer(
      context, {},
      [&](RequestAttempt,
          std::shared_ptr<ResponseSink> Sink) -> asio::awaitable<void> {
        Sink->onGone([&gone] { gone = true; });
        co_await eventually(context, [&] { return gone; });
      });
  runUntilDone(context, [&]() -> asio::awaitable<void> {
    std::shared_ptr<RequestClient> client =
        RequestClient::create(context.get_executor(), clientSetup());
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
          bool running = co_await eventually(
              context, [&] { return server->inFlight() == 1; });
          CHECK(running);
          client->cancel("r");
        },
        asio::detached);
    RequestAttempt attempt = makeAttempt("r");
    Outcome<std::unique_ptr<DaemonResponseStream>> opened =
        co_await client->open(server->address(), attempt);
    REQUIRE_FALSE(opened);
    CHECK(opened.failure().Code == FailureCode::Cancelled);
    CHECK(co_await eventually(context, [&] { return gone; }));
  });
}

TEST_CASE("A slow reader delays only its own response", "[frames]") {
  asio::io_context context;
  std::size_t written = 0;
  std::shared_ptr<RequestServer> server = makeServer(
      context, {},
      [&](RequestAttempt Attempt,
          std::shared_ptr<ResponseSink> Sink) -> asio::awaitable<void> {
        if (Attempt.Request == "quick") {
          co_await echo(std::move(Attempt), std::move(Sink));
          co_return;
        }
        Sink->begin(PlainHead, ServerName("s"));
        for (int n = 0; n < 64; ++n) {
          Outcome<Done> sent = co_await Sink->write(std::string(1024, 'x'));
          if (!sent)
            co_return;
          written += 1024;
        }
        Sink->end();
      });
  runUntilDone(context, [&]() -> asio::awaitable<void> {
    RequestClient::Settings setup = clientSetup();
    setup.InitialCreditBytes = 4096;
    std::shared_ptr<RequestClient> client =
        RequestClient::create(context.get_executor(), setup);
    RequestAttempt attempt = makeAttempt("slow");
    Outcome<std::unique_ptr<DaemonResponseStream>> slow =
        co_await client->open(server->address(), attempt);
    REQUIRE(slow);
    CHECK(co_await eventually(context, [&] { return written == 4096; }));

    RequestAttempt other = makeAttempt("quick");
    Outcome<std::unique_ptr<DaemonResponseStream>> quick =
        co_await client->open(server->address(), other);
    REQUIRE(quick);
    Outcome<http::Response> response =
        co_await readWholeResponse(**quick, Millis(10000), 1u << 20);
    REQUIRE(response);
    CHECK(written == 4096);

    // After the reader continues, it receives the rest.
    Outcome<http::Response> rest =
        co_await readWholeResponse(**slow, Millis(10000), 1u << 20);
    REQUIRE(rest);
    CHECK(rest->Body.size() == std::size_t{64} * 1024);
  });
}

TEST_CASE("A draining server refuses new requests as not run", "[frames]") {
  asio::io_context context;
  std::shared_ptr<RequestServer> server = makeServer(context, {}, echo);
  runUntilDone(context, [&]() -> asio::awaitable<void> {
    std::shared_ptr<RequestClient> client =
        RequestClient::create(context.get_executor(), clientSetup());
    bool leaving = false;
    client->onLoad([&](const Address &, const std::vector<ReportedLoad> &,
                       bool Leaving) { leaving = Leaving; });
    client->connectAhead(server->address());
    server->drain();
    server->setLoads({}, true);
    CHECK(co_await eventually(context, [&] { return leaving; }));
    RequestAttempt attempt = makeAttempt("r");
    Outcome<std::unique_ptr<DaemonResponseStream>> opened =
        co_await client->open(server->address(), attempt);
    REQUIRE_FALSE(opened);
    CHECK(opened.failure().Run == Verdict::NotRun);
    CHECK(opened.failure().Code == FailureCode::Leaving);
  });
}

TEST_CASE("Load reports reach a connected client", "[frames]") {
  asio::io_context context;
  RequestServer::Settings setup;
  setup.LoadReportInterval = Millis(5);
  std::shared_ptr<RequestServer> server = makeServer(context, setup, echo);
  ReportedLoad load{ServerName("s"), ServiceName("v"), 3, 4, 5, 6, true};
  runUntilDone(context, [&]() -> asio::awaitable<void> {
    std::shared_ptr<RequestClient> client =
        RequestClient::create(context.get_executor(), clientSetup());
    std::vector<ReportedLoad> seen;
    client->onLoad([&](const Address &, const std::vector<ReportedLoad> &Loads,
                       bool) { seen = Loads; });
    client->connectAhead(server->address());
    server->setLoads({load}, false);
    CHECK(co_await eventually(context, [&] { return !seen.empty(); }));
    CHECK(seen == std::vector<ReportedLoad>{load});
  });
}

TEST_CASE("A response is accompanied by a load report", "[frames]") {
  asio::io_context context;
  RequestServer::Settings setup;
  // Long enough that no periodic report is sent during the test.
  setup.LoadReportInterval = Millis(3600000);
  setup.MinLoadReportInterval = Millis(0);
  std::shared_ptr<RequestServer> server = makeServer(context, setup, echo);
  ReportedLoad load{ServerName("s"), ServiceName("v"), 3, 4, 5, 6, true};
  server->setLoadSource([&] { return std::vector<ReportedLoad>{load}; });
  runUntilDone(context, [&]() -> asio::awaitable<void> {
    std::shared_ptr<RequestClient> client =
        RequestClient::create(context.get_executor(), clientSetup());
    std::vector<ReportedLoad> seen;
    client->onLoad([&](const Address &, const std::vector<ReportedLoad> &Loads,
                       bool) { seen = Loads; });
    Outcome<std::unique_ptr<DaemonResponseStream>> opened =
        co_await client->open(server->address(), makeAttempt("r"));
    REQUIRE(opened);
    CHECK(co_await eventually(context, [&] { return !seen.empty(); }));
    CHECK(seen == std::vector<ReportedLoad>{load});
  });
}

TEST_CASE("An exception in a handler is reported to the client as a failure",
          "[frames]") {
  asio::io_context context;
  std::shared_ptr<RequestServer> server =
      makeServer(context, {},
                 [](RequestAttempt,
                    std::shared_ptr<ResponseSink>) -> asio::awaitable<void> {
                   throw std::runtime_error("handler broke");
                   co_return;
                 });
  runUntilDone(context, [&]() -> asio::awaitable<void> {
    std::shared_ptr<RequestClient> client =
        RequestClient::create(context.get_executor(), clientSetup());
    RequestAttempt attempt = makeAttempt("r");
    Outcome<std::unique_ptr<DaemonResponseStream>> opened =
        co_await client->open(server->address(), attempt);
    REQUIRE_FALSE(opened);
    CHECK(opened.failure().Run == Verdict::MayHaveRun);
    CHECK(opened.failure().Reason == "handler broke");
  });
}

} // namespace wasabi
