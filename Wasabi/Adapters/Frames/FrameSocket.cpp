#include "Wasabi/Adapters/Frames/FrameSocket.h"

#include "Wasabi/Adapters/Frames/Generated/Wire_generated.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <spdlog/spdlog.h>

#include <array>
#include <cstring>
#include <tuple>

namespace wasabi {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t PrefixBytes = 4;
constexpr std::size_t ReadChunkBytes = 64u << 10;
/// A receive buffer larger than this is shrunk when little data remains.
constexpr std::size_t MaxRetainedBytes = 1u << 20;
/// Maximum number of frames written in one system call.
constexpr std::size_t MaxFramesPerWrite = 64;
/// Memory of an open connection, without its buffer and queue.
constexpr std::uint64_t ConnectionBytes = 8192;
constexpr asio::as_tuple_t<asio::use_awaitable_t<>> Awaited;

std::uint32_t readPrefix(const std::uint8_t *Prefix) {
  std::uint32_t size = 0;
  for (std::size_t n = 0; n < PrefixBytes; ++n)
    size |= static_cast<std::uint32_t>(Prefix[n]) << (8 * n);
  return size;
}

std::array<std::uint8_t, PrefixBytes> makePrefix(std::size_t Size) {
  std::array<std::uint8_t, PrefixBytes> prefix{};
  for (std::size_t n = 0; n < PrefixBytes; ++n)
    prefix[n] = static_cast<std::uint8_t>(Size >> (8 * n));
  return prefix;
}

bool isValid(const std::uint8_t *Bytes, std::size_t Size) {
  flatbuffers::Verifier verifier(Bytes, Size);
  return wire::VerifyFrameBuffer(verifier);
}

std::string formatPeer(const tcp::socket &Socket) {
  boost::system::error_code ec;
  tcp::endpoint remote = Socket.remote_endpoint(ec);
  if (ec)
    return "unknown peer";
  return toText(Address{remote.address().to_string(), remote.port()});
}

} // namespace

FrameSocket::FrameSocket(tcp::socket Socket, Settings Limits)
    : PeerConnection(Limits.Memory), Socket(std::move(Socket)),
      Limits(std::move(Limits)) {
  boost::system::error_code ec;
  this->Socket.set_option(tcp::no_delay(true), ec);
  Peer = formatPeer(this->Socket);
}

FrameSocket::~FrameSocket() = default;

std::shared_ptr<FrameSocket> FrameSocket::adopt(tcp::socket Socket,
                                                Settings Limits) {
  return std::shared_ptr<FrameSocket>(
      new FrameSocket(std::move(Socket), std::move(Limits)));
}

void FrameSocket::updateHeld() {
  hold(ConnectionBytes + ReceiveBuffer.size() + QueuedBytes + RequestBytes);
}

void FrameSocket::holdForRequests(std::uint64_t Bytes) {
  RequestBytes = Bytes;
  updateHeld();
}

PeerLoad FrameSocket::observe(TimePoint Now) {
  auto since = [Now](TimePoint Time) {
    return std::chrono::duration_cast<Millis>(Now - Time);
  };
  if (ReceivedBytes > ParsedBytes)
    return {PeerActivity::Pending, heldBytes(), since(PacedUntil)};
  if (QueuedBytes > 0)
    return {PeerActivity::Pending, heldBytes(), since(LastTaken)};
  if (RequestBytes > 0)
    return {PeerActivity::Working, heldBytes(), Millis(0)};
  return {HasReceived ? PeerActivity::Idle : PeerActivity::Pending, heldBytes(),
          since(PacedUntil)};
}

void FrameSocket::yield(TimePoint Now) {
  PeerLoad load = observe(Now);
  spdlog::warn("closing the connection from {}, which holds {} bytes and lags "
               "by {} ms, in favor of others",
               Peer, ReceiveBuffer.size() + QueuedBytes, load.Lag.count());
  close();
}

asio::awaitable<Outcome<std::shared_ptr<FrameSocket>>>
FrameSocket::connect(asio::any_io_executor Executor, Address Remote,
                     Settings Limits) {
  tcp::socket socket(Executor);
  boost::system::error_code ec;
  asio::ip::address host = asio::ip::make_address(Remote.Host, ec);
  if (ec)
    co_return Failure{Verdict::NotRun,
                      FailureCode::BadInput,
                      toText(Remote),
                      "not a valid IP address",
                      {}};

  // Closing the socket on timeout ends the pending connect.
  BootTimer timer(Executor, Limits.ConnectTimeout);
  timer.async_wait([&socket](boost::system::error_code TimerError) {
    boost::system::error_code ignored;
    if (!TimerError)
      socket.close(ignored);
  });
  std::tie(ec) =
      co_await socket.async_connect(tcp::endpoint(host, Remote.Port), Awaited);
  timer.cancel();
  if (ec || !socket.is_open())
    co_return Failure{Verdict::NotRun,
                      FailureCode::Unreachable,
                      toText(Remote),
                      ec.message(),
                      {}};
  co_return adopt(std::move(socket), Limits);
}

asio::awaitable<Outcome<FrameBytes>> FrameSocket::receive() {
  std::shared_ptr<FrameSocket> self = shared_from_this();
  while (Open) {
    std::size_t available = ReceivedBytes - ParsedBytes;
    std::size_t needed = PrefixBytes;
    if (available >= PrefixBytes) {
      std::uint32_t size = readPrefix(ReceiveBuffer.data() + ParsedBytes);
      if (size > Limits.MaxFrameBytes) {
        close();
        co_return Failure{Verdict::MayHaveRun,
                          FailureCode::BadInput,
                          "frame from " + Peer,
                          std::to_string(size) + " bytes are more than " +
                              std::to_string(Limits.MaxFrameBytes),
                          {}};
      }
      needed = PrefixBytes + size;
      if (available >= needed) {
        const std::uint8_t *begin =
            ReceiveBuffer.data() + ParsedBytes + PrefixBytes;
        FrameBytes frame(begin, begin + size);
        ParsedBytes += needed;
        HasReceived = true;
        if (!isValid(frame.data(), frame.size())) {
          close();
          co_return Failure{Verdict::MayHaveRun,
                            FailureCode::BadInput,
                            "frame from " + Peer,
                            "its " + std::to_string(size) +
                                " bytes are not a valid frame",
                            {}};
        }
        co_return frame;
      }
    }

    // Memory grows as bytes arrive, not with the announced frame size. The
    // buffer is reused because zero-filling a new one for each frame is
    // expensive.
    if (available > 0 && ParsedBytes > 0)
      std::memmove(ReceiveBuffer.data(), ReceiveBuffer.data() + ParsedBytes,
                   available);
    ReceivedBytes = available;
    ParsedBytes = 0;
    std::size_t old = ReceivedBytes;
    // Releases the memory of a large frame after it has been consumed.
    if (ReceiveBuffer.size() > MaxRetainedBytes && old < ReadChunkBytes) {
      ReceiveBuffer.resize(old);
      ReceiveBuffer.shrink_to_fit();
    }
    if (ReceiveBuffer.size() < old + ReadChunkBytes / 2)
      ReceiveBuffer.resize(old + ReadChunkBytes);
    updateHeld();
    std::tuple<boost::system::error_code, std::size_t> result =
        co_await Socket.async_read_some(
            asio::buffer(ReceiveBuffer.data() + old,
                         ReceiveBuffer.size() - old),
            Awaited);
    ReceivedBytes += std::get<1>(result);
    TimePoint now = monotonicNow();
    // Between two frames, the peer owes nothing.
    PacedUntil =
        old > 0 ? advancePace(PacedUntil, std::get<1>(result), now) : now;
    if (std::get<0>(result)) {
      std::string reason = std::get<0>(result).message();
      if (old > 0)
        reason += ", in the middle of a frame";
      close();
      co_return Failure{Verdict::MayHaveRun,
                        FailureCode::ConnectionLost,
                        "connection to " + Peer,
                        reason,
                        {}};
    }
  }
  co_return Failure{Verdict::MayHaveRun,
                    FailureCode::ConnectionLost,
                    "connection to " + Peer,
                    "closed",
                    {}};
}

bool FrameSocket::send(FrameBytes Frame) {
  if (!Open || Closing)
    return false;
  if (Frame.size() > Limits.MaxFrameBytes)
    return false;
  if (QueuedBytes + Frame.size() > Limits.MaxQueuedBytes) {
    // Bounds the memory used for a peer that does not read.
    close();
    return false;
  }
  if (QueuedBytes == 0)
    LastTaken = monotonicNow();
  QueuedBytes += Frame.size();
  updateHeld();
  if (!Open)
    return false;
  Queue.push_back(std::move(Frame));
  startWriting();
  return true;
}

void FrameSocket::startWriting() {
  if (Writing)
    return;
  Writing = true;
  std::shared_ptr<FrameSocket> self = shared_from_this();
  asio::co_spawn(
      Socket.get_executor(),
      [self]() -> asio::awaitable<void> { return self->writeQueued(); },
      asio::detached);
}

asio::awaitable<void> FrameSocket::writeQueued() {
  std::shared_ptr<FrameSocket> self = shared_from_this();
  while (Open && !Queue.empty()) {
    // Combines queued frames into one write; frames queued in the meantime go
    // into the next write.
    std::vector<FrameBytes> batch;
    std::size_t bytes = 0;
    while (!Queue.empty() && batch.size() < MaxFramesPerWrite) {
      bytes += Queue.front().size();
      batch.push_back(std::move(Queue.front()));
      Queue.pop_front();
    }
    std::vector<std::array<std::uint8_t, PrefixBytes>> prefixes;
    prefixes.reserve(batch.size());
    std::vector<asio::const_buffer> bufs;
    bufs.reserve(2 * batch.size());
    for (const FrameBytes &it : batch) {
      prefixes.push_back(makePrefix(it.size()));
      bufs.push_back(asio::buffer(prefixes.back()));
      bufs.push_back(asio::buffer(it));
    }
    std::tuple<boost::system::error_code, std::size_t> sent =
        co_await asio::async_write(Socket, bufs, Awaited);
    QueuedBytes -= bytes;
    LastTaken = monotonicNow();
    updateHeld();
    if (std::get<0>(sent))
      close();
  }
  Writing = false;
  if (Open && Closing)
    close();
}

void FrameSocket::close() {
  Open = false;
  Queue.clear();
  boost::system::error_code ec;
  Socket.close(ec);
}

void FrameSocket::closeAfterSending() {
  Closing = true;
  if (!Writing)
    close();
}

} // namespace wasabi
