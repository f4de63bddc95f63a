/// Tests of event streams of engines that send bytes without end.
#include "UnitTests/Adapters/Http/HttpFixture.h"
#include "Wasabi/Core/AsyncSignal.h"
#include "platform/EngineClient.h"

namespace wasabi::platform {

namespace {

namespace asio = boost::asio;

/// A server that answers each request with the pieces of `Body` in turn,
/// without end.
struct EndlessStreamFixture : http::HttpFixture {
  std::string ContentType = "text/event-stream";
  std::string First;
  std::string Repeated;
  Millis Pause{0};
  std::shared_ptr<http::ResponseMemory> Memory =
      http::ResponseMemory::create({8u << 20});
  EnginePort Engines = makeEnginePort(Context.get_executor(), Memory);

  EndlessStreamFixture() {
    serve([this](const http::Request &, std::shared_ptr<http::Responder> Reply)
              -> asio::awaitable<void> { co_await answer(std::move(Reply)); });
  }

  asio::awaitable<void> answer(std::shared_ptr<http::Responder> Reply) {
    http::Response head;
    head.Headers.push_back({"Content-Type", ContentType});
    head.Headers.push_back({"Wasabisail-Server-Stamp", "stamp"});
    head.Headers.push_back({"Wasabisail-Weight-Versions", "1"});
    co_await Reply->begin(std::move(head));
    std::string text = First + Repeated;
    while (!Reply->gone()) {
      // Named, since GCC 12 destroys temporaries of a `co_await` twice.
      std::string piece = text;
      Outcome<Done> sent = co_await Reply->write(std::move(piece));
      if (!sent)
        co_return;
      text = Repeated;
      co_await pauseFor(Context.get_executor(), Pause);
    }
  }

  asio::awaitable<Outcome<std::unique_ptr<EngineStream>>> open(Millis Timeout) {
    UpstreamRegistration server;
    server.Id = ServerName("e1");
    server.Endpoint = Serving->address();
    http::Request request;
    request.Method = "POST";
    request.Target = "/";
    SendOptions options;
    co_return co_await Engines.Open(std::move(server), std::move(request),
                                    std::move(options), Timeout);
  }
};

} // namespace

// Guards against an event that grows until the process has no memory left.
TEST_CASE("An event without end breaks its stream", "[platform]") {
  EndlessStreamFixture fixture;
  fixture.First = "id: 1\ndata: whole\n\nid: 2\ndata: ";
  fixture.Repeated = std::string(20000, 'x');
  fixture.run([&]() -> asio::awaitable<void> {
    Outcome<std::unique_ptr<EngineStream>> stream =
        co_await fixture.open(Millis(5000));
    REQUIRE(stream);
    Outcome<std::optional<EngineEvent>> event =
        co_await (*stream)->next(Millis(5000));
    REQUIRE(event);
    CHECK((*event)->Data == "whole");
    event = co_await (*stream)->next(Millis(15000));
    REQUIRE_FALSE(event);
    CHECK(event.failure().Code == FailureCode::BadInput);
    CHECK(fixture.Memory->heldBytes() <= 4u << 20);
    stream->reset();
    CHECK(fixture.Memory->heldBytes() == 0);
    co_await fixture.waitUntilAllClosed();
  });
}

// Guards against bytes that keep a stream waiting beyond its time limit.
TEST_CASE("Comments and parts of an event do not extend the time limit",
          "[platform]") {
  EndlessStreamFixture fixture;
  fixture.Pause = Millis(10);
  SECTION("Comments") { fixture.Repeated = ": still there\n\n"; }
  SECTION("Parts of an event") { fixture.Repeated = "data: x\n"; }
  fixture.run([&]() -> asio::awaitable<void> {
    Outcome<std::unique_ptr<EngineStream>> stream =
        co_await fixture.open(Millis(5000));
    REQUIRE(stream);
    TimePoint start = monotonicNow();
    Outcome<std::optional<EngineEvent>> event =
        co_await (*stream)->next(Millis(200));
    REQUIRE_FALSE(event);
    CHECK(event.failure().Code == FailureCode::TimedOut);
    CHECK(monotonicNow() - start < Millis(3000));
  });
}

// Guards against a refusal without end where a stream was asked for.
TEST_CASE("A response without events has a bounded size and time",
          "[platform]") {
  EndlessStreamFixture fixture;
  fixture.ContentType = "application/json";
  SECTION("At full speed") {
    fixture.Repeated = std::string(20000, 'x');
    fixture.run([&]() -> asio::awaitable<void> {
      Outcome<std::unique_ptr<EngineStream>> stream =
          co_await fixture.open(Millis(15000));
      REQUIRE_FALSE(stream);
      CHECK(stream.failure().Code == FailureCode::BadInput);
    });
  }
  SECTION("Slowly") {
    fixture.Repeated = "x";
    fixture.Pause = Millis(10);
    fixture.run([&]() -> asio::awaitable<void> {
      TimePoint start = monotonicNow();
      Outcome<std::unique_ptr<EngineStream>> stream =
          co_await fixture.open(Millis(200));
      REQUIRE_FALSE(stream);
      CHECK(stream.failure().Code == FailureCode::TimedOut);
      CHECK(monotonicNow() - start < Millis(3000));
    });
  }
}

// Guards against a report without end, and against a report that is late for
// it.
TEST_CASE("A report without end fails", "[platform]") {
  EndlessStreamFixture fixture;
  fixture.ContentType = "application/json";
  fixture.Repeated = std::string(20000, ' ');
  fixture.run([&]() -> asio::awaitable<void> {
    UpstreamRegistration server;
    server.Id = ServerName("e1");
    server.Endpoint = fixture.Serving->address();
    Outcome<EngineReport> report =
        co_await fixture.Engines.Report(std::move(server), Millis(15000));
    REQUIRE_FALSE(report);
    CHECK(report.failure().Code == FailureCode::BadInput);
  });
}

} // namespace wasabi::platform
