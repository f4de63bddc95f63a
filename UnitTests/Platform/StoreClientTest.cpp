#include "platform/StoreClient.h"
#include "Wasabi/Core/AsyncSignal.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <functional>

namespace wasabi::platform {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/// A store that sends the pieces of a snapshot with pauses in between.
struct SlowStore {
  asio::io_context Context;
  Tcp::acceptor Acceptor{Context, Tcp::endpoint(Tcp::v4(), 0)};
  Millis Pause{0};
  std::string Status = "200 OK";
  std::vector<std::string> Pieces{R"({"items":[{"key":"a",)",
                                  R"("value":"eA==","offset":3}],)",
                                  R"("has_more":false,)", R"("end":4})"};

  asio::awaitable<void> serve() {
    Tcp::socket socket = co_await Acceptor.async_accept(asio::use_awaitable);
    std::array<char, 4096> buf{};
    co_await socket.async_read_some(asio::buffer(buf), asio::use_awaitable);
    std::size_t size = 0;
    for (const std::string &it : Pieces)
      size += it.size();
    std::string head = "HTTP/1.1 " + Status +
                       "\r\nContent-Length: " + std::to_string(size) +
                       "\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(head), asio::use_awaitable);
    for (const std::string &it : Pieces) {
      co_await pauseFor(Context.get_executor(), Pause);
      co_await asio::async_write(socket, asio::buffer(it), asio::use_awaitable);
    }
  }

  /// Returns the result of a call.
  template <typename T>
  Outcome<T>
  ask(std::function<asio::awaitable<Outcome<T>>(const RecordStore &)> Call) {
    asio::co_spawn(
        Context, [this] { return serve(); }, asio::detached);
    RecordStore store =
        makeRecordStore(Context.get_executor(),
                        Address{"127.0.0.1", Acceptor.local_endpoint().port()});
    std::optional<Outcome<T>> result;
    asio::co_spawn(
        Context,
        [&]() -> asio::awaitable<void> {
          result.emplace(co_await Call(store));
          Context.stop();
        },
        asio::detached);
    Context.run_for(std::chrono::seconds(10));
    REQUIRE(result);
    return *result;
  }

  Outcome<KeyedRange> readSnapshot(Millis Timeout) {
    return ask<KeyedRange>([Timeout](const RecordStore &Store) {
      return Store.Newest("topic", Timeout);
    });
  }
};

} // namespace

TEST_CASE("A snapshot that arrives slowly but steadily is read whole",
          "[platform]") {
  SlowStore store;
  store.Pause = Millis(100);
  Outcome<KeyedRange> got = store.readSnapshot(Millis(250));
  REQUIRE(got);
  REQUIRE(got->Records.size() == 1);
  CHECK(got->Records[0].Value == "x");
}

TEST_CASE("A snapshot that stops arriving fails", "[platform]") {
  SlowStore store;
  store.Pause = Millis(2000);
  TimePoint start = monotonicNow();
  Outcome<KeyedRange> got = store.readSnapshot(Millis(100));
  REQUIRE_FALSE(got);
  CHECK(got.failure().Code == FailureCode::TimedOut);
  CHECK(monotonicNow() - start < Millis(1500));
}

// Guards against expired records that look like a topic that ends there.
TEST_CASE("A read of expired records tells where the retained ones begin",
          "[platform]") {
  SlowStore store;
  store.Status = "410 Gone";
  SECTION("Beyond the requested offset") {
    store.Pieces = {R"({"first":5000})"};
    Outcome<LogRead> got = store.ask<LogRead>([](const RecordStore &Store) {
      return Store.Read("topic", 4, Millis(0), 1000);
    });
    REQUIRE(got);
    CHECK(std::get<ExpiredOffset>(*got) == ExpiredOffset{5000});
  }
  SECTION("In a keyed topic") {
    store.Pieces = {R"({"first":5000})"};
    Outcome<KeyedRead> got = store.ask<KeyedRead>([](const RecordStore &Store) {
      return Store.ReadKeyed("keyed.topic", 4, Millis(0));
    });
    REQUIRE(got);
    CHECK(std::get<ExpiredOffset>(*got) == ExpiredOffset{5000});
  }
  SECTION("A first offset that is not later is malformed") {
    store.Pieces = {R"({"first":4})"};
    Outcome<LogRead> got = store.ask<LogRead>([](const RecordStore &Store) {
      return Store.Read("topic", 4, Millis(0), 1000);
    });
    CHECK_FALSE(got);
  }
}

} // namespace wasabi::platform
