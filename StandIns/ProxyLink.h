/// \file
/// One connection through the fault proxy, with fault injection.
#ifndef WASABI_STANDINS_PROXYLINK_H
#define WASABI_STANDINS_PROXYLINK_H

#include "StandIns/Signal.h"
#include "Wasabi/Core/Address.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace wasabi::standins {

/// Accessors of the faults of a link. Each is called when the fault applies.
struct ProxyFaults {
  /// Delay of bytes that arrive now.
  std::function<Micros()> Delay;
  /// Bytes per second in each direction; 0 for no limit.
  std::function<std::uint64_t()> Rate;
  /// Bytes after which the connection is cut; 0 for never.
  std::function<std::uint64_t()> CutAfterBytes;
  /// True if bytes and ends of stream are dropped.
  std::function<bool()> HalfOpen;
  /// True if only bytes from the upstream are dropped.
  std::function<bool()> OneWay;
  /// True if the upstream response that begins now is dropped.
  std::function<bool()> DropResponse;
};

/// Forwards one connection in both directions. Used on the executor's thread
/// only.
class ProxyLink : public std::enable_shared_from_this<ProxyLink> {
public:
  using Socket = boost::asio::ip::tcp::socket;

  /// \param Faults must outlive the link.
  ProxyLink(Socket Client, const ProxyFaults &Faults);

  /// Connects to the upstream and forwards bytes until both sides are closed.
  boost::asio::awaitable<void> run(Address Upstream);
  /// Resets both connections.
  void cut();
  /// Restarts the count for `CutAfterBytes`.
  void resetByteCount() { BytesSinceReset = 0; }
  /// Returns true if bytes were dropped, so that the rest of the stream is
  /// corrupt.
  bool hasDroppedBytes() const { return HasDroppedBytes; }
  bool closed() const { return Closed; }
  std::uint64_t bytesUp() const { return Up.BytesForwarded; }
  std::uint64_t bytesDown() const { return Down.BytesForwarded; }

private:
  struct QueuedChunk {
    TimePoint DueAt;
    std::string Bytes;
    /// True if the sender has closed its side.
    bool Last = false;
  };
  struct Flow {
    Flow(Socket &From, Socket &To)
        : From(From), To(To), Changed(From.get_executor()) {}
    Socket &From;
    Socket &To;
    std::deque<QueuedChunk> Queue;
    std::size_t Queued = 0;
    std::uint64_t BytesForwarded = 0;
    TimePoint LastDue;
    bool Ended = false;
    Signal Changed;
  };

  boost::asio::awaitable<void> readFrom(Flow &Direction);
  boost::asio::awaitable<void> waitForQueueSpace(Flow &Direction);
  boost::asio::awaitable<void> writeTo(Flow &Direction);
  boost::asio::awaitable<bool> deliver(Flow &Direction, std::string Bytes);
  bool dropsBytes(const Flow &Direction) const;
  void push(Flow &Direction, std::string Bytes, bool Last);
  void spawn(boost::asio::awaitable<void> (ProxyLink::*Body)(Flow &),
             Flow &Direction);

  const ProxyFaults &Faults;
  Socket Client;
  Socket Upstream;
  Flow Up;
  Flow Down;
  std::uint64_t BytesSinceReset = 0;
  bool HasDroppedBytes = false;
  bool Closed = false;
};

} // namespace wasabi::standins

#endif // WASABI_STANDINS_PROXYLINK_H
