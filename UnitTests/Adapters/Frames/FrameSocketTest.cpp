#include "Wasabi/Adapters/Frames/FrameSocket.h"

#include "Wasabi/Adapters/Frames/Generated/Wire_generated.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <optional>

namespace wasabi {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

FrameBytes cancelFrame(std::uint64_t Id) {
  flatbuffers::FlatBufferBuilder builder;
  flatbuffers::Offset<wire::Cancel> body = wire::CreateCancel(builder, Id);
  builder.Finish(wire::CreateFrame(builder, wire::Body::Cancel, body.Union()));
  return FrameBytes(builder.GetBufferPointer(),
                    builder.GetBufferPointer() + builder.GetSize());
}

/// A frame socket that listens to a plain socket of the test's.
struct Pair {
  asio::io_context Context;
  tcp::socket Raw{Context};
  std::shared_ptr<FrameSocket> Framed;

  explicit Pair(FrameSocket::Settings Limits = {}) {
    tcp::acceptor acceptor(Context,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    Raw.connect(acceptor.local_endpoint());
    Framed = FrameSocket::adopt(acceptor.accept(), Limits);
  }

  Outcome<FrameBytes> receive() {
    std::optional<Outcome<FrameBytes>> got;
    asio::co_spawn(
        Context,
        [&]() -> asio::awaitable<void> {
          got.emplace(co_await Framed->receive());
        },
        asio::detached);
    Context.restart();
    Context.run();
    return *got;
  }

  void write(const std::vector<std::uint8_t> &Bytes) {
    asio::write(Raw, asio::buffer(Bytes));
  }
};

std::vector<std::uint8_t> prefixed(const FrameBytes &Frame) {
  std::vector<std::uint8_t> bytes;
  bytes.reserve(4 + Frame.size());
  for (int n = 0; n < 4; ++n)
    bytes.push_back(static_cast<std::uint8_t>(Frame.size() >> (8 * n)));
  bytes.insert(bytes.end(), Frame.begin(), Frame.end());
  return bytes;
}

} // namespace

TEST_CASE("frames arrive whole and in order, however the bytes are cut",
          "[frames]") {
  Pair pair;
  std::vector<std::uint8_t> bytes = prefixed(cancelFrame(1));
  std::vector<std::uint8_t> second = prefixed(cancelFrame(2));
  bytes.insert(bytes.end(), second.begin(), second.end());
  pair.write(bytes);
  for (std::uint64_t id : {1u, 2u}) {
    Outcome<FrameBytes> got = pair.receive();
    REQUIRE(got);
    CHECK(wire::GetFrame(got->data())->body_as_Cancel()->id() == id);
  }
}

TEST_CASE("a frame cut short is a lost connection that says so", "[frames]") {
  Pair pair;
  std::vector<std::uint8_t> bytes = prefixed(cancelFrame(1));
  bytes.pop_back();
  pair.write(bytes);
  pair.Raw.close();
  Outcome<FrameBytes> got = pair.receive();
  REQUIRE_FALSE(got);
  CHECK(got.failure().Code == FailureCode::ConnectionLost);
  CHECK(got.failure().Reason.find("middle of a frame") != std::string::npos);
}

TEST_CASE("an oversized frame is refused before its bytes are taken",
          "[frames]") {
  Pair pair(FrameSocket::Settings{64, 1024, Millis(1000)});
  pair.write({0xff, 0xff, 0, 0});
  Outcome<FrameBytes> got = pair.receive();
  REQUIRE_FALSE(got);
  CHECK(got.failure().Code == FailureCode::BadInput);
  CHECK(got.failure().Reason == "65535 bytes are more than 64");
  CHECK_FALSE(pair.Framed->isOpen());
}

TEST_CASE("a malformed frame ends its connection with a reason", "[frames]") {
  Pair pair;
  FrameBytes frame = cancelFrame(1);
  frame[0] = 0xf0;
  pair.write(prefixed(frame));
  Outcome<FrameBytes> got = pair.receive();
  REQUIRE_FALSE(got);
  CHECK(got.failure().Code == FailureCode::BadInput);
  CHECK(got.failure().Reason.find("not a valid frame") != std::string::npos);
}

TEST_CASE("a peer that does not read costs bounded memory", "[frames]") {
  Pair pair(FrameSocket::Settings{1u << 20, 256u << 10, Millis(1000)});
  int sent = 0;
  FrameBytes frame(64u << 10, 0);
  // Nothing runs the context, so nothing leaves the queue.
  while (pair.Framed->send(frame))
    ++sent;
  CHECK(sent == 4);
  CHECK_FALSE(pair.Framed->isOpen());
  CHECK(pair.Framed->queued() <= (256u << 10));
}

} // namespace wasabi
