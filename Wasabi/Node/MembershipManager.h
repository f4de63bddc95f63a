/// \file
/// Drives the failure detector: sends probes and updates, requests indirect
/// probes, reads and updates the platform's list, and publishes the view.
#ifndef WASABI_NODE_MEMBERSHIPMANAGER_H
#define WASABI_NODE_MEMBERSHIPMANAGER_H

#include "Wasabi/Core/BootTimer.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Published.h"
#include "Wasabi/Core/Timeline.h"
#include "Wasabi/Membership/Swim.h"
#include "Wasabi/Membership/View.h"
#include "Wasabi/Node/ControlCounters.h"
#include "Wasabi/Node/ControlMessage.h"
#include "Wasabi/Node/ControlServer.h"
#include "Wasabi/Node/PeerLinks.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace wasabi {

namespace http {
class Client;
} // namespace http

/// Not thread-safe except for `view`: use on the executor's thread.
class MembershipManager
    : public std::enable_shared_from_this<MembershipManager> {
public:
  struct Settings {
    Member Self;
    Address Instances;
    std::vector<Address> Seeds;
    SwimSettings Swim;
    Millis ProbeTimeout{500};
    /// Number of peers that are asked to probe a member that does not answer.
    std::size_t IndirectProbePeers = 3;
    /// Minimum time between two reads of the platform's list.
    Millis MinListReadInterval{3000};
    /// Bytes per second that a log reader spends on the list; other processes
    /// spend a third of it.
    std::int64_t ListBytesPerSecond = 1000;
    /// Maximum time between two digest exchanges with a random member; shorter
    /// while there are few members.
    Millis MaxDigestInterval{30000};
    /// Maximum back-off while the list is unreachable.
    Millis MaxListBackOff{10000};
    /// Time after an announcement before a process that is missing from the
    /// list announces itself again.
    Millis ReannounceDelay{30000};
    std::uint64_t Seed = 1;
  };
  struct Hooks {
    /// Fills in this process' position in the log.
    std::function<void(Gossip &)> FillLogPosition;
    /// Called with a peer's position in the log.
    std::function<void(const InstanceName &, Offset, Millis)> OnPeerLogPosition;
  };

  static std::shared_ptr<MembershipManager>
  create(boost::asio::any_io_executor Executor, Settings Setup,
         std::shared_ptr<PeerLinks> Links, std::shared_ptr<http::Client> Client,
         ControlCounters &Counters, Timeline &Events, Hooks Callbacks);

  void start();
  void stop();

  /// Returns the membership view. Thread-safe.
  std::shared_ptr<const View> view() const { return PublishedView.get(); }

  /// Applies a probe and answers it, unless it is addressed to another process.
  void receive(const PingMessage &Ping, const ControlServer::Reply &Answer);
  /// Probes a member on behalf of another process and answers with the result.
  void receive(const PingRequestMessage &Request,
               const ControlServer::Reply &Answer);

  void setServers(std::vector<ServerStatus> Servers);
  /// A request to this member could not be delivered.
  void noteUnreachable(const InstanceName &Target);
  /// Announces that this process is leaving. Returns once a member has
  /// confirmed it, or after a bounded time.
  boost::asio::awaitable<void> leave();

private:
  MembershipManager(boost::asio::any_io_executor Executor, Settings Setup,
                    std::shared_ptr<PeerLinks> Links,
                    std::shared_ptr<http::Client> Client,
                    ControlCounters &Counters, Timeline &Events,
                    Hooks Callbacks);

  boost::asio::awaitable<void> probeLoop();
  boost::asio::awaitable<void> tickLoop();
  boost::asio::awaitable<void> listLoop();
  boost::asio::awaitable<void> digestLoop();
  boost::asio::awaitable<void> join(Address Seed);
  boost::asio::awaitable<void> probe(InstanceName Target);
  boost::asio::awaitable<bool> ping(InstanceName Target, Millis Timeout);
  /// Exchanges digests with a peer. Returns the number of updates received.
  boost::asio::awaitable<std::size_t> exchange(Address Where,
                                               InstanceName Peer);
  boost::asio::awaitable<bool> readList();
  boost::asio::awaitable<bool> announce(bool Leaving);

  void apply(const SwimEvent &Event);
  void applyEffects(const SwimEffects &Effects);
  void broadcastUrgent(const std::vector<MemberUpdate> &Urgent);
  void publish();
  Gossip gossipTo(const InstanceName &Peer);
  void applyGossip(const std::string &From, const Gossip &Received);
  Millis jittered(Millis Span);
  Millis digestInterval() const;
  Millis listReadInterval() const;
  template <typename Body> void spawn(Body &&Coroutine);

  boost::asio::any_io_executor Executor;
  const Settings Setup;
  std::shared_ptr<PeerLinks> Links;
  std::shared_ptr<http::Client> Client;
  ControlCounters &Counters;
  Timeline &Events;
  const Hooks Callbacks;
  SwimState Swim;
  Published<View> PublishedView;
  std::mt19937_64 Random;
  std::set<InstanceName> Probing;
  bool NeedsPublish = false;
  bool Announced = false;
  TimePoint AnnouncedAt;
  /// Size of the list in bytes at the last read.
  std::size_t ListBytes = 0;
  bool Stopped = false;
};

} // namespace wasabi

#endif // WASABI_NODE_MEMBERSHIPMANAGER_H
