/// \file
/// The asking and the answering side of the request frames, joined over real
/// sockets; broken peers are played by hand with `FrameSocket`.
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

constexpr std::chrono::seconds Patience{20};
constexpr asio::as_tuple_t<asio::use_awaitable_t<>> Awaited;

/// Runs the context until the body of the test has ended.
void runUntilDone(asio::io_context &Context,
                  std::function<asio::awaitable<void>()> Body) {
  bool done = false;
  std::exception_ptr thrown;
  asio::co_spawn(Context, Body, [&](std::exception_ptr Error) {
    thrown = std::move(Error);
    done = true;
  });
  std::chrono::steady_clock::time_point end =
      std::chrono::steady_clock::now() + Patience;
  while (!done && std::chrono::steady_clock::now() < end)
    Context.run_one_for(Patience);
  if (thrown)
    std::rethrow_exception(thrown);
  REQUIRE(done);
}

/// Lets pending handlers run until a condition holds.
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

/// Answers with the request's own body.
asio::awaitable<void> echo(RequestAttempt Attempt,
                           std::shared_ptr<ResponseSink> Sink) {
  Sink->begin(http::Response{201, {{"X-Kind", "echo"}}, ""},
              ServerName("server-1"));
  Outcome<Done> written = co_await Sink->write(Attempt.Http.Body);
  if (written)
    Sink->end();
}

/// A peer that a test plays by hand: takes one connection, reads the frames
/// up to the first request, and hands the socket over.
asio::awaitable<std::shared_ptr<FrameSocket>>
acceptUntilRequest(asio::ip::tcp::acceptor &Acceptor) {
  std::tuple<boost::system::error_code, asio::ip::tcp::socket> got =
      co_await Acceptor.async_accept(Awaited);
  REQUIRE_FALSE(std::get<0>(got));
  std::shared_ptr<FrameSocket> socket =
      FrameSocket::adopt(std::move(std::get<1>(got)), FrameSocket::Settings());
  // The hello, then the request.
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

/// Plays a daemon that answers the first request with these frames, and gives
/// what a client reads of it.
Outcome<http::Response> askPeer(std::vector<FrameBytes> Frames, bool Cut) {
  asio::io_context context;
  Peer peer(context);
  std::optional<Outcome<http::Response>> read;
  runUntilDone(context, [&]() -> asio::awaitable<void> {
    std::shared_ptr<FrameSocket> held;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
          held = co_await acceptUntilRequest(peer.Acceptor);
          for (const FrameBytes &it : Frames)
            held->send(it);
          if (Cut)
            held->closeAfterSending();
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
    read.emplace(co_await readWhole(**opened, Millis(10000), 1u << 20));
  });
  return *read;
}

const http::Response PlainHead{200, {}, ""};

} // namespace

TEST_CASE("A request and its answer cross the frames whole", "[frames]") {
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
    // Larger than the credit and the largest chunk.
    sent.Http.Body = std::string(3u << 20, 'x');
    Outcome<std::unique_ptr<DaemonResponseStream>> opened =
        co_await client->open(server->address(), sent);
    REQUIRE(opened);
    CHECK((*opened)->head().Status == 201);
    CHECK((*opened)->head().header("x-kind") == "echo");
    CHECK((*opened)->server() == ServerName("server-1"));
    Outcome<http::Response> whole =
        co_await readWhole(**opened, Millis(10000), 4u << 20);
    REQUIRE(whole);
    CHECK(whole->Body == sent.Http.Body);
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

TEST_CASE("An answer that is not whole is a failure, never an end",
          "[frames]") {
  SECTION("a gap between two chunks") {
    Outcome<http::Response> read =
        askPeer({frames::head(1, PlainHead, ServerName("s")),
                 frames::chunk(1, 0, "abc"), frames::chunk(1, 4, "e"),
                 frames::end(1, 5)},
                false);
    REQUIRE_FALSE(read);
    CHECK(read.failure().Run == Verdict::MayHaveRun);
  }
  SECTION("a repeated chunk") {
    Outcome<http::Response> read =
        askPeer({frames::head(1, PlainHead, ServerName("s")),
                 frames::chunk(1, 0, "abc"), frames::chunk(1, 0, "abc"),
                 frames::end(1, 6)},
                false);
    REQUIRE_FALSE(read);
  }
  SECTION("an end that counts more than came") {
    Outcome<http::Response> read =
        askPeer({frames::head(1, PlainHead, ServerName("s")),
                 frames::chunk(1, 0, "abc"), frames::end(1, 4)},
                false);
    REQUIRE_FALSE(read);
  }
  SECTION("a connection lost before the end") {
    Outcome<http::Response> read =
        askPeer({frames::head(1, PlainHead, ServerName("s")),
                 frames::chunk(1, 0, "abc")},
                true);
    REQUIRE_FALSE(read);
    CHECK(read.failure().Code == FailureCode::ConnectionLost);
    CHECK(read.failure().Run == Verdict::MayHaveRun);
  }
  SECTION("a connection lost before the head") {
    Outcome<http::Response> read = askPeer({}, true);
    REQUIRE_FALSE(read);
    CHECK(read.failure().Run == Verdict::MayHaveRun);
  }
  SECTION("a refusal in the middle") {
    Failure why{Verdict::Ran, FailureCode::Unavailable, "engine", "crashed",
                Millis(7)};
    Outcome<http::Response> read =
        askPeer({frames::head(1, PlainHead, ServerName("s")),
                 frames::chunk(1, 0, "abc"), frames::refusal(1, why)},
                false);
    REQUIRE_FALSE(read);
    CHECK(read.failure() == why);
  }
}

TEST_CASE("Frames of answers nobody waits for are dropped", "[frames]") {
  Outcome<http::Response> read = askPeer(
      {frames::head(9, PlainHead, ServerName("late")),
       frames::chunk(9, 0, "late"), frames::end(9, 4),
       frames::head(1, PlainHead, ServerName("s")), frames::chunk(1, 0, "abc"),
       frames::end(1, 3), frames::end(1, 3), frames::chunk(1, 0, "abc")},
      false);
  REQUIRE(read);
  CHECK(read->Body == "abc");
}

TEST_CASE("What could not be sent did not run", "[frames]") {
  asio::io_context context;
  Address nobody;
  {
    Peer peer(context);
    nobody = peer.address();
  }
  runUntilDone(context, [&]() -> asio::awaitable<void> {
    std::shared_ptr<RequestClient> client =
        RequestClient::create(context.get_executor(), clientSetup());
    RequestAttempt attempt = makeAttempt("r");
    Outcome<std::unique_ptr<DaemonResponseStream>> opened =
        co_await client->open(nobody, attempt);
    REQUIRE_FALSE(opened);
    CHECK(opened.failure().Run == Verdict::NotRun);
    CHECK(opened.failure().Code == FailureCode::Unreachable);
    // While it backs off, a further attempt fails at once.
    Outcome<std::unique_ptr<DaemonResponseStream>> again =
        co_await client->open(nobody, attempt);
    REQUIRE_FALSE(again);
    CHECK(again.failure().Run == Verdict::NotRun);
  });
}

TEST_CASE("A daemon that falls silent loses its connection", "[frames]") {
  asio::io_context context;
  Peer peer(context);
  runUntilDone(context, [&]() -> asio::awaitable<void> {
    std::shared_ptr<FrameSocket> held;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
          held = co_await acceptUntilRequest(peer.Acceptor);
        },
        asio::detached);
    RequestClient::Settings setup = clientSetup();
    setup.SilenceLimit = Millis(50);
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

TEST_CASE("A repeated request frame runs nothing twice", "[frames]") {
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
    FrameBytes ask = frames::request(5, makeAttempt("r"), 1000);
    (*socket)->send(ask);
    (*socket)->send(ask);
    // The server closes the connection on the repeat.
    bool open = true;
    while (open) {
      Outcome<FrameBytes> frame = co_await (*socket)->receive();
      open = static_cast<bool>(frame);
    }
    CHECK(runs == 1);
  });
}

TEST_CASE("An asker that leaves cancels the work", "[frames]") {
  asio::io_context context;
  bool gone = false;
  std::shared_ptr<ResponseSink> kept;
  std::shared_ptr<RequestServer> server = makeServer(
      context, {},
      [&](RequestAttempt,
          std::shared_ptr<ResponseSink> Sink) -> asio::awaitable<void> {
        kept = Sink;
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

TEST_CASE("An open that waits can be cancelled by its request's name",
          "[frames]") {
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

TEST_CASE("A slow reader holds back its own answer only", "[frames]") {
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
    setup.Credit = 4096;
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
    Outcome<http::Response> whole =
        co_await readWhole(**quick, Millis(10000), 1u << 20);
    REQUIRE(whole);
    CHECK(written == 4096);

    // Once it reads on, it gets all.
    Outcome<http::Response> rest =
        co_await readWhole(**slow, Millis(10000), 1u << 20);
    REQUIRE(rest);
    CHECK(rest->Body.size() == std::size_t{64} * 1024);
  });
}

TEST_CASE("A draining server refuses new work as not run", "[frames]") {
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

TEST_CASE("Loads reach each asker", "[frames]") {
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

TEST_CASE("Whoever is answered learns the loads with the answer", "[frames]") {
  asio::io_context context;
  RequestServer::Settings setup;
  // Only an answer can bring one in the time of the test.
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

TEST_CASE("A handler that gives no answer is a truthful failure", "[frames]") {
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
