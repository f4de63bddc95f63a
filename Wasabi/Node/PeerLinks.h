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

/// One connection per peer, opened when first needed and closed when idle: with
/// hundreds of peers most are spoken to once in minutes.
/// Not thread-safe: use on the executor's thread.
class PeerLinks : public std::enable_shared_from_this<PeerLinks> {
public:
  struct Settings {
    /// A connection unused for this long is closed.
    Millis MaxIdle{10000};
    /// Connections at once; the least recently used one makes room.
    std::size_t MaxLinks = 256;
    /// Frames kept for a peer while its connection is being opened.
    std::size_t MaxWaitingFrames = 64;
    Millis ConnectTimeout{2000};
  };

  static std::shared_ptr<PeerLinks>
  create(boost::asio::any_io_executor Executor, Settings Limits,
         ControlCounters &Counters);
  ~PeerLinks();

  /// A number for the next question, unique in this process and never 0.
  std::uint64_t nextSequence() { return ++LastSequence; }

  /// Sends a question that has a sequence number and waits for its answer.
  /// Failures: `Unreachable` with `NotRun` when there was no connection;
  /// `ConnectionLost` or `TimedOut` with `MayHaveRun` after that.
  boost::asio::awaitable<Outcome<ControlMessage>>
  ask(Address Where, ControlMessage What, Millis Timeout);

  /// Sends a message that has no answer; it may get lost.
  void send(const Address &Where, const ControlMessage &What);

  /// Closes everything; pending questions fail.
  void stop();

private:
  struct PendingRequest;
  struct Link;

  PeerLinks(boost::asio::any_io_executor Executor, Settings Limits,
            ControlCounters &Counters);
  std::shared_ptr<Link> linkTo(const Address &Where);
  void makeRoom();
  void sweep();
  boost::asio::awaitable<void> run(Address Where, std::shared_ptr<Link> Peer);
  void put(Link &Peer, std::vector<std::uint8_t> Frame);
  void drop(const Address &Where, const std::shared_ptr<Link> &Peer,
            const Failure &Why);

  boost::asio::any_io_executor Executor;
  const Settings Limits;
  ControlCounters &Counters;
  BootTimer SweepTimer;
  std::map<Address, std::shared_ptr<Link>> Links;
  std::uint64_t LastSequence = 0;
  bool Stopped = false;
};

} // namespace wasabi

#endif // WASABI_NODE_PEERLINKS_H
