/// \file
/// Connections that this process opens to others for control messages.
#ifndef WASABI_NODE_PEERLINKS_H
#define WASABI_NODE_PEERLINKS_H

#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/BootTimer.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Node/ControlCounters.h"
#include "Wasabi/Node/ControlMessage.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>

namespace wasabi {

/// Maintains one connection per peer, opened on demand and closed when idle, as
/// most peers are contacted rarely. Not thread-safe: use on the executor's
/// thread.
class PeerLinks : public std::enable_shared_from_this<PeerLinks> {
public:
  struct Settings {
    /// Idle time after which a connection is closed.
    Millis MaxIdle{10000};
    /// Maximum number of connections; the least recently used one is evicted.
    std::size_t MaxLinks = 256;
    /// Maximum number of frames queued for a peer while its connection is being
    /// opened.
    std::size_t MaxPendingFrames = 64;
    Millis ConnectTimeout{2000};
  };

  static std::shared_ptr<PeerLinks>
  create(boost::asio::any_io_executor Executor, Settings Limits,
         ControlCounters &Counters);
  ~PeerLinks();

  /// Returns a sequence number for the next request, unique in this process and
  /// never 0.
  std::uint64_t nextSequence() { return ++LastSequence; }

  /// Sends a request that has a sequence number and waits for its answer.
  /// Failures: `Unreachable` with `NotRun` if no connection could be opened;
  /// `ConnectionLost` or `TimedOut` with `MayHaveRun` after that.
  boost::asio::awaitable<Outcome<ControlMessage>>
  ask(Address Where, ControlMessage Message, Millis Timeout);

  /// Sends a message without waiting for an answer; it may be lost.
  void send(const Address &Where, const ControlMessage &Message);

  /// Closes all connections; pending requests fail.
  void stop();

private:
  struct PendingRequest;
  struct Link;

  PeerLinks(boost::asio::any_io_executor Executor, Settings Limits,
            ControlCounters &Counters);
  std::shared_ptr<Link> findOrOpenLink(const Address &Where);
  void evictLeastRecentlyUsed();
  void closeIdleLinks();
  boost::asio::awaitable<void> runLink(Address Where,
                                       std::shared_ptr<Link> Peer);
  void sendOrQueue(Link &Peer, std::vector<std::uint8_t> Frame);
  void closeLink(const Address &Where, const std::shared_ptr<Link> &Peer,
                 const Failure &Why);

  boost::asio::any_io_executor Executor;
  const Settings Limits;
  ControlCounters &Counters;
  BootTimer IdleTimer;
  std::map<Address, std::shared_ptr<Link>> Links;
  std::uint64_t LastSequence = 0;
  bool Stopped = false;
};

} // namespace wasabi

#endif // WASABI_NODE_PEERLINKS_H
