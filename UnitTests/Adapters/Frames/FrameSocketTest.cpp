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

/// A frame socket connected to a plain socket of the test.
struct SocketPair {
  asio::io_context Context;
  tcp::socket Raw{Context};
  std::shared_ptr<FrameSocket> Framed;

  explicit SocketPair(FrameSocket::Settings Limits = {}) {
    tcp::acceptor acceptor(Context,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    Raw.connect(acceptor.local_endpoint());
    Framed = FrameSocket::adopt(acceptor.accept(), std::move(Limits));
  }

  Outcome<FrameBytes> receive() {
    std::optional<Outcome<FrameBytes>> received;
    asio::co_spawn(
        Context,
        [&]() -> asio::awaitable<void> {
          received.emplace(co_await Framed->receive());
        },
        asio::detached);
    Context.restart();
    Context.run();
    return *received;
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

TEST_CASE("frames sent in one write are received whole and in order",
          "[frames]") {
  SocketPair pair;
  std::vector<std::uint8_t> bytes = prefixed(cancelFrame(1));
  std::vector<std::uint8_t> second = prefixed(cancelFrame(2));
  bytes.insert(bytes.end(), second.begin(), second.end());
  pair.write(bytes);
  for (std::uint64_t id : {1u, 2u}) {
    Outcome<FrameBytes> received = pair.receive();
    REQUIRE(received);
    CHECK(wire::GetFrame(received->data())->body_as_Cancel()->id() == id);
  }
}

TEST_CASE("a truncated frame is reported as a lost connection", "[frames]") {
  SocketPair pair;
  std::vector<std::uint8_t> bytes = prefixed(cancelFrame(1));
  bytes.pop_back();
  pair.write(bytes);
  pair.Raw.close();
  Outcome<FrameBytes> received = pair.receive();
  REQUIRE_FALSE(received);
  CHECK(received.failure().Code == FailureCode::ConnectionLost);
  CHECK(received.failure().Reason.find("middle of a frame") !=
        std::string::npos);
}

TEST_CASE("an oversized frame is refused before its body is read", "[frames]") {
  SocketPair pair(FrameSocket::Settings{64, 1024, Millis(1000)});
  pair.write({0xff, 0xff, 0, 0});
  Outcome<FrameBytes> received = pair.receive();
  REQUIRE_FALSE(received);
  CHECK(received.failure().Code == FailureCode::BadInput);
  CHECK(received.failure().Reason == "65535 bytes are more than 64");
  CHECK_FALSE(pair.Framed->isOpen());
}

TEST_CASE("a malformed frame fails with a reason", "[frames]") {
  SocketPair pair;
  FrameBytes frame = cancelFrame(1);
  frame[0] = 0xf0;
  pair.write(prefixed(frame));
  Outcome<FrameBytes> received = pair.receive();
  REQUIRE_FALSE(received);
  CHECK(received.failure().Code == FailureCode::BadInput);
  CHECK(received.failure().Reason.find("not a valid frame") !=
        std::string::npos);
}

TEST_CASE("the send queue of a peer that does not read is bounded",
          "[frames]") {
  SocketPair pair(FrameSocket::Settings{1u << 20, 256u << 10, Millis(1000)});
  int sent = 0;
  FrameBytes frame(64u << 10, 0);
  // The context does not run, so the queue only grows.
  while (pair.Framed->send(frame))
    ++sent;
  CHECK(sent == 4);
  CHECK_FALSE(pair.Framed->isOpen());
  CHECK(pair.Framed->queuedBytes() <= (256u << 10));
}

} // namespace wasabi
