/// \file
/// One connection through the fault proxy, and what befalls it.
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

/// The faults as a link asks for them; each is asked at the moment it matters.
struct ProxyFaults {
  /// How long bytes that arrive now are held back.
  std::function<Micros()> Delay;
  /// Bytes a second and direction; 0: no limit.
  std::function<std::uint64_t()> Rate;
  /// Bytes after which the connection is cut; 0: never.
  std::function<std::uint64_t()> CutAfterBytes;
  /// Whether bytes and ends are swallowed.
  std::function<bool()> HalfOpen;
  /// Whether only what comes from the upstream is swallowed.
  std::function<bool()> OneWay;
  /// Whether the upstream's answer that begins now is to be lost.
  std::function<bool()> DropResponse;
};

/// Used on the executor's thread only.
class ProxyLink : public std::enable_shared_from_this<ProxyLink> {
public:
  using Socket = boost::asio::ip::tcp::socket;

  /// \param Faults must outlive the link.
  ProxyLink(Socket Client, const ProxyFaults &Faults);

  /// Connects to the upstream and carries bytes until both ends are closed.
  boost::asio::awaitable<void> run(Address Upstream);
  /// Resets both sides.
  void cut();
  /// Counts `CutAfterBytes` from now on.
  void resetByteCount() { Counted = 0; }
  /// Whether bytes have been swallowed, so that what follows makes no sense.
  bool broken() const { return HasDroppedBytes; }
  bool closed() const { return Closed; }
  std::uint64_t bytesUp() const { return Up.Carried; }
  std::uint64_t bytesDown() const { return Down.Carried; }

private:
  struct Piece {
    TimePoint DueAt;
    std::string Bytes;
    /// The sender has ended its side.
    bool Last = false;
  };
  struct Flow {
    Flow(Socket &From, Socket &To)
        : From(From), To(To), Changed(From.get_executor()) {}
    Socket &From;
    Socket &To;
    std::deque<Piece> Queue;
    std::size_t Queued = 0;
    std::uint64_t Carried = 0;
    TimePoint LastDue;
    bool Ended = false;
    Signal Changed;
  };

  boost::asio::awaitable<void> readFrom(Flow &Way);
  boost::asio::awaitable<void> waitForQueueSpace(Flow &Way);
  boost::asio::awaitable<void> writeTo(Flow &Way);
  boost::asio::awaitable<bool> deliver(Flow &Way, std::string Bytes);
  bool dropsBytes(const Flow &Way) const;
  void push(Flow &Way, std::string Bytes, bool Last);
  void spawn(boost::asio::awaitable<void> (ProxyLink::*Body)(Flow &),
             Flow &Way);

  const ProxyFaults &Faults;
  Socket Client;
  Socket Upstream;
  Flow Up;
  Flow Down;
  std::uint64_t Counted = 0;
  bool HasDroppedBytes = false;
  bool Closed = false;
};

} // namespace wasabi::standins

#endif // WASABI_STANDINS_PROXYLINK_H
