/// Tests of a client whose server sends bytes without end.
#include "UnitTests/Adapters/Http/RawServer.h"

#include "Wasabi/Core/AsyncSignal.h"

#include <boost/asio/detached.hpp>

#include <array>

namespace wasabi::http {

namespace {

namespace asio = boost::asio;

constexpr std::uint64_t MemoryLimit = 4u << 20;
/// Bytes that a response may hold beyond what is counted: a read.
constexpr std::uint64_t ReadSlack = 64u << 10;
constexpr Millis LongTimeout{15000};

/// Returns a chunk of the chunked transfer encoding.
std::string makeChunk(std::size_t Bytes) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", Bytes);
  return size.data() + std::string(Bytes, 'x') + "\r\n";
}

struct EndlessFixture : HttpFixture {
  std::vector<ResponseAbort> Aborts;
  std::shared_ptr<ResponseMemory> Memory = ResponseMemory::create(
      {MemoryLimit, [this](const ResponseAbort &It) { Aborts.push_back(It); }});
  RawServer Endless{Context};
  /// The bytes that precede `Endless.Repeated`.
  std::string Head;

  EndlessFixture() {
    Client::Settings settings;
    settings.Memory = Memory;
    settings.EchoHeader = "Request-Id";
    TestClient = Client::create(Context.get_executor(), settings);
    Endless.OnRequest = [this](std::size_t) { return Head; };
  }

  asio::awaitable<Outcome<Response>> callEndless(Millis Timeout) {
    Request request = makeRequest("own");
    co_return co_await TestClient->call(Endless.address(), std::move(request),
                                        Timeout);
  }
};

const std::string ChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against a server that takes the memory of the process, or holds a
// request until its time has passed, by bytes that have no end.
TEST_CASE("A response without end fails before its time limit", "[http]") {
  EndlessFixture fixture;
  RawServer &server = fixture.Endless;
  SECTION("A head") {
    fixture.Head = "HTTP/1.1 200 OK\r\n";
    server.Repeated = "Name: " + std::string(1000, 'x') + "\r\n";
  }
  SECTION("Interim responses") {
    fixture.Head = "HTTP/1.1 100 Continue\r\n\r\n";
    server.Repeated = fixture.Head;
  }
  SECTION("A chunked body") {
    fixture.Head = ChunkedHead;
    server.Repeated = makeChunk(10000);
  }
  SECTION("A body until the end of the connection") {
    fixture.Head = "HTTP/1.1 200 OK\r\n\r\n";
    server.Repeated = std::string(10000, 'x');
  }
  SECTION("A body whose length is beyond the limit") {
    fixture.Head = "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n";
    server.Repeated = std::string(10000, 'x');
  }
  SECTION("The size of a chunk") {
    fixture.Head = ChunkedHead;
    server.Repeated = std::string(10000, '0');
  }
  SECTION("The extension of a chunk") {
    fixture.Head = ChunkedHead + "1;name=";
    server.Repeated = std::string(10000, 'x');
  }
  SECTION("Trailers") {
    fixture.Head = ChunkedHead + "0\r\n";
    server.Repeated = "Name: " + std::string(1000, 'x') + "\r\n";
  }
  SECTION("A chunked response to another request") {
    fixture.Head = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n";
    server.Repeated = makeChunk(10000);
  }
  SECTION("A response to another request until the connection ends") {
    fixture.Head = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n";
    server.Repeated = std::string(10000, 'x');
  }
  SECTION("Bytes that are no response") {
    fixture.Head = "x";
    server.Repeated = std::string(10000, 'x');
  }
  fixture.run([&]() -> asio::awaitable<void> {
    Outcome<Response> got = co_await fixture.callEndless(LongTimeout);
    REQUIRE_FALSE(got);
    CHECK(got.failure().Run == Verdict::MayHaveRun);
    CHECK(got.failure().Code != FailureCode::TimedOut);
    // The connection is closed.
    while (server.Ends.empty())
      co_await pauseFor(fixture.Context.get_executor(), Millis(1));
    CHECK(fixture.Memory->heldBytes() == 0);
  });
}

// Guards against a server whose slow bytes keep a request beyond its time
// limit.
TEST_CASE("A slow response without end fails at its time limit", "[http]") {
  EndlessFixture fixture;
  RawServer &server = fixture.Endless;
  server.Pause = Millis(20);
  SECTION("A head") {
    fixture.Head = "HTTP/1.1 200 OK\r\n";
    server.Repeated = "Name: x\r\n";
  }
  SECTION("A chunked body") {
    fixture.Head = ChunkedHead;
    server.Repeated = makeChunk(10);
  }
  fixture.run([&]() -> asio::awaitable<void> {
    TimePoint start = monotonicNow();
    Outcome<Response> got = co_await fixture.callEndless(Millis(300));
    REQUIRE_FALSE(got);
    CHECK(got.failure().Code == FailureCode::TimedOut);
    CHECK(monotonicNow() - start < Millis(3000));
    while (server.Ends.empty())
      co_await pauseFor(fixture.Context.get_executor(), Millis(1));
  });
}

// Guards against many responses without end that hold too much together, and
// against a sound response that is given up for one of them.
TEST_CASE("Responses without end hold a bounded number of bytes in sum",
          "[http]") {
  constexpr int Calls = 20;
  EndlessFixture fixture;
  fixture.Head = ChunkedHead;
  fixture.Endless.Repeated = makeChunk(50000);
  fixture.serve([](const Request &,
                   std::shared_ptr<Responder> Reply) -> asio::awaitable<void> {
    Response response = jsonResponse(200, std::string(100000, 'x'));
    co_await Reply->send(std::move(response));
  });
  int failed = 0;
  std::uint64_t most = 0;
  fixture.run([&]() -> asio::awaitable<void> {
    for (int i = 0; i < Calls; ++i)
      asio::co_spawn(
          fixture.Context,
          [&]() -> asio::awaitable<void> {
            Outcome<Response> got = co_await fixture.callEndless(LongTimeout);
            CHECK_FALSE(got);
            ++failed;
          },
          asio::detached);
    while (failed < Calls) {
      Request request;
      request.Method = "GET";
      request.Target = "/";
      Outcome<Response> sound = co_await fixture.TestClient->call(
          fixture.Serving->address(), std::move(request), LongTimeout);
      REQUIRE(sound);
      CHECK(sound->Body.size() == 100000);
      most = std::max(most, fixture.Memory->heldBytes());
    }
  });
  CHECK(most <= MemoryLimit + Calls * ReadSlack);
  CHECK(fixture.Aborts.size() == Calls);
  for (const ResponseAbort &it : fixture.Aborts)
    CHECK(it.Peer == fixture.Endless.address());
}

TEST_CASE("The response that holds the most is given up", "[http]") {
  std::vector<std::string> ended;
  std::shared_ptr<ResponseMemory> memory = ResponseMemory::create({100});
  ResponseMemory::Share small(memory, {"a", 1}, [&] { ended.push_back("a"); });
  ResponseMemory::Share large(memory, {"b", 1}, [&] { ended.push_back("b"); });
  CHECK(small.hold(30));
  CHECK(large.hold(70));
  CHECK(memory->heldBytes() == 100);
  CHECK(small.hold(31));
  CHECK(ended == std::vector<std::string>{"b"});
  CHECK(large.isAborted());
  CHECK_FALSE(large.hold(1));
  CHECK(memory->heldBytes() == 31);
  // The one that grows learns it from the result.
  CHECK_FALSE(small.hold(101));
  CHECK(ended.size() == 1);
}

} // namespace wasabi::http
