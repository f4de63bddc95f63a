/// \file
/// Carries out what the membership decides: sends probes and news, asks others
/// to probe, reads and feeds the platform's list, and publishes the view.
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

/// Not thread-safe: use on the executor's thread, but for `view`.
class MembershipManager
    : public std::enable_shared_from_this<MembershipManager> {
public:
  struct Settings {
    Member Self;
    Address Instances;
    std::vector<Address> Seeds;
    SwimSettings Swim;
    Millis ProbeTimeout{500};
    /// Peers asked to probe a member that does not answer.
    std::size_t IndirectProbePeers = 3;
    /// Time between two readings of the platform's list.
    Millis MinListReadInterval{3000};
    /// What a reader of the list spends on it, however long the list is.
    std::int64_t ListBytesPerSecond = 1000;
    /// Time between two exchanges of digests with a random member, at most;
    /// less while members are few.
    Millis MaxDigestInterval{30000};
    /// Bound of the back-off while the list does not answer.
    Millis MaxListBackOff{10000};
    /// A process that the list lacks for longer than its lag announces itself
    /// again.
    Millis ReannounceDelay{30000};
    std::uint64_t Seed = 1;
  };
  struct Hooks {
    /// Fills in how far this process has folded the log.
    std::function<void(Gossip &)> FillLogPosition;
    /// Told how far a peer has folded it.
    std::function<void(const InstanceName &, Offset, Millis)> OnPeerLogPosition;
  };

  static std::shared_ptr<MembershipManager>
  create(boost::asio::any_io_executor Executor, Settings Setup,
         std::shared_ptr<PeerLinks> Links, std::shared_ptr<http::Client> Client,
         ControlCounters &Counters, Timeline &Events, Hooks Calls);

  void start();
  void stop();

  /// The members. Thread-safe.
  std::shared_ptr<const View> view() const { return Shown.get(); }

  /// A probe from another; answers unless it means another process.
  void receive(const PingMessage &Ping, const ControlServer::Reply &Answer);
  /// Probes a member for another process, and answers.
  void receive(const PingRequestMessage &Ask,
               const ControlServer::Reply &Answer);

  void setServers(std::vector<ServerStatus> Servers);
  /// A request to this member could not be delivered.
  void noteUnreachable(const InstanceName &Target);
  /// Tells everyone that this process is leaving; returns once a member has
  /// confirmed it, or after a bounded time.
  boost::asio::awaitable<void> leave();

private:
  MembershipManager(boost::asio::any_io_executor Executor, Settings Setup,
                    std::shared_ptr<PeerLinks> Links,
                    std::shared_ptr<http::Client> Client,
                    ControlCounters &Counters, Timeline &Events, Hooks Calls);

  boost::asio::awaitable<void> probeLoop();
  boost::asio::awaitable<void> tickLoop();
  boost::asio::awaitable<void> listLoop();
  boost::asio::awaitable<void> digestLoop();
  boost::asio::awaitable<void> join(Address Seed);
  boost::asio::awaitable<void> probe(InstanceName Target);
  boost::asio::awaitable<bool> ping(InstanceName Target, Millis Timeout);
  /// Exchanges digests; gives how many news came back.
  boost::asio::awaitable<std::size_t> exchange(Address Where,
                                               InstanceName Peer);
  boost::asio::awaitable<bool> readList();
  boost::asio::awaitable<bool> announce(bool Leaving);

  void apply(const SwimEvent &Event);
  void applyEffects(const SwimEffects &Effects);
  void broadcastUrgent(const std::vector<MemberUpdate> &Urgent);
  void publish();
  Gossip gossipTo(const InstanceName &Peer);
  void hear(const std::string &From, const Gossip &Carried);
  Millis jittered(Millis Span);
  Millis digestInterval() const;
  Millis listReadInterval() const;
  template <typename Body> void spawn(Body &&What);

  boost::asio::any_io_executor Executor;
  const Settings Setup;
  std::shared_ptr<PeerLinks> Links;
  std::shared_ptr<http::Client> Client;
  ControlCounters &Counters;
  Timeline &Events;
  const Hooks Calls;
  SwimState Swim;
  Published<View> Shown;
  std::mt19937_64 Random;
  std::set<InstanceName> Probing;
  bool Dirty = false;
  bool Announced = false;
  TimePoint AnnouncedAt;
  /// Size of the list when it was read last.
  std::size_t ListBytes = 0;
  bool Stopped = false;
};

} // namespace wasabi

#endif // WASABI_NODE_MEMBERSHIPMANAGER_H
