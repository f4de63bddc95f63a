#include "Wasabi/Node/MembershipManager.h"

#include "Wasabi/Adapters/Http/HttpClient.h"
#include "Wasabi/Core/BootTimer.h"
#include "Wasabi/Membership/Fanout.h"
#include "Wasabi/Membership/Rendezvous.h"
#include "Wasabi/Node/InstanceList.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace wasabi {
namespace {

namespace asio = boost::asio;

constexpr asio::as_tuple_t<asio::use_awaitable_t<>> Awaited;
/// Time between two checks of suspicions and between two publications of the
/// view.
constexpr Millis TickInterval(100);
constexpr Millis ListTimeout(2000);
constexpr Millis ExchangeTimeout(3000);
/// Initial delay after a failed read of the list.
constexpr Millis MinListBackOff(200);
/// Number of members per failure domain that forward urgent updates to other
/// domains.
constexpr std::uint32_t RelaysPerDomain = 2;
/// Minimum time between two digest exchanges, and the time added for each
/// member.
constexpr Millis MinDigestInterval(3000);
constexpr Millis DigestIntervalPerMember(75);
/// Processes that are not log readers spend a reader's budget divided by this
/// on the list.
constexpr std::int64_t NonReaderBudgetDivisor = 3;
/// Digest exchanges continue at the probe interval while each returns updates
/// about more than one in this many members.
constexpr std::size_t CatchUpShareDivisor = 20;
/// Time for which the same random peers receive urgent updates.
constexpr Millis PeerSelectionInterval(30000);

/// Waits for the first success among several indirect probes.
struct IndirectProbe {
  explicit IndirectProbe(const asio::any_io_executor &Executor)
      : Timer(Executor) {}
  BootTimer Timer;
  std::size_t Pending = 0;
  bool Reached = false;
  bool Answered = false;
};

} // namespace

std::shared_ptr<MembershipManager> MembershipManager::create(
    asio::any_io_executor Executor, Settings Setup,
    std::shared_ptr<PeerLinks> Links, std::shared_ptr<http::Client> Client,
    ControlCounters &Counters, Timeline &Events, Hooks Callbacks) {
  return std::shared_ptr<MembershipManager>(new MembershipManager(
      std::move(Executor), std::move(Setup), std::move(Links),
      std::move(Client), Counters, Events, std::move(Callbacks)));
}

MembershipManager::MembershipManager(asio::any_io_executor Executor,
                                     Settings Setup,
                                     std::shared_ptr<PeerLinks> Links,
                                     std::shared_ptr<http::Client> Client,
                                     ControlCounters &Counters,
                                     Timeline &Events, Hooks Callbacks)
    : Executor(std::move(Executor)), Setup(std::move(Setup)),
      Links(std::move(Links)), Client(std::move(Client)), Counters(Counters),
      Events(Events), Callbacks(std::move(Callbacks)),
      Swim(startSwim(this->Setup.Swim, this->Setup.Self, this->Setup.Seed,
                     monotonicNow())),
      PublishedView(makeMembershipView(Swim)), Random(this->Setup.Seed + 1) {}

template <typename Body> void MembershipManager::spawn(Body &&Coroutine) {
  asio::co_spawn(Executor, std::forward<Body>(Coroutine), asio::detached);
}

void MembershipManager::start() {
  std::shared_ptr<MembershipManager> self = shared_from_this();
  spawn([self]() -> asio::awaitable<void> { return self->probeLoop(); });
  spawn([self]() -> asio::awaitable<void> { return self->tickLoop(); });
  spawn([self]() -> asio::awaitable<void> { return self->digestLoop(); });
  if (!Setup.Instances.empty())
    spawn([self]() -> asio::awaitable<void> { return self->listLoop(); });
  for (const Address &it : Setup.Seeds)
    spawn([self, it]() -> asio::awaitable<void> { return self->join(it); });
}

void MembershipManager::stop() { Stopped = true; }

Millis MembershipManager::jittered(Millis Span) {
  // Returns 0.5 to 1.5 times the duration, so that processes do not act at the
  // same time.
  std::uint64_t span = static_cast<std::uint64_t>(Span.count());
  return Millis(static_cast<std::int64_t>(span / 2 + Random() % (span + 1)));
}

// ---- Loops ----

asio::awaitable<void> MembershipManager::probeLoop() {
  std::shared_ptr<MembershipManager> self = shared_from_this();
  BootTimer timer(Executor);
  while (!Stopped) {
    // An unhealthy process probes less often.
    Millis period = Setup.Swim.PeerProbeInterval;
    period += period * Swim.LocalHealth / 4;
    timer.expires_after(jittered(period));
    co_await timer.async_wait(Awaited);
    if (!Stopped)
      apply(ProbeDue());
  }
}

asio::awaitable<void> MembershipManager::tickLoop() {
  std::shared_ptr<MembershipManager> self = shared_from_this();
  BootTimer timer(Executor);
  while (!Stopped) {
    timer.expires_after(TickInterval);
    co_await timer.async_wait(Awaited);
    if (Stopped)
      break;
    apply(TimePassed());
    if (NeedsPublish)
      publish();
  }
}

asio::awaitable<void> MembershipManager::listLoop() {
  std::shared_ptr<MembershipManager> self = shared_from_this();
  BootTimer timer(Executor);
  Millis retryDelay = MinListBackOff;
  while (!Stopped) {
    bool good = true;
    if (!Announced) {
      bool leaving = Swim.Members.at(Swim.Self).HasLeft;
      good = co_await announce(leaving);
      Announced = good;
      AnnouncedAt = monotonicNow();
    }
    if (good && !Stopped)
      good = co_await readList();
    retryDelay =
        good ? MinListBackOff : std::min(retryDelay * 2, Setup.MaxListBackOff);
    timer.expires_after(jittered(good ? listReadInterval() : retryDelay));
    co_await timer.async_wait(Awaited);
  }
}

Millis MembershipManager::digestInterval() const {
  // The size of a digest exchange grows with the number of members, so it is
  // more frequent while there are few.
  std::int64_t members = static_cast<std::int64_t>(Swim.Members.size());
  Millis afforded =
      std::max(MinDigestInterval, members * DigestIntervalPerMember);
  return std::min(afforded, Setup.MaxDigestInterval);
}

Millis MembershipManager::listReadInterval() const {
  // A few processes per failure domain read the list often and distribute
  // changes. The others read it rarely, as the list grows with the number of
  // instances.
  std::shared_ptr<const View> clusterView = PublishedView.get();
  std::int64_t divisor =
      isLogReader(*clusterView, RelaysPerDomain) ? 1 : NonReaderBudgetDivisor;
  std::int64_t spent = static_cast<std::int64_t>(ListBytes) * divisor;
  constexpr std::int64_t MillisPerSecond = 1000;
  Millis afforded(spent * MillisPerSecond / Setup.ListBytesPerSecond);
  return std::max(Setup.MinListReadInterval, afforded);
}

asio::awaitable<void> MembershipManager::digestLoop() {
  std::shared_ptr<MembershipManager> self = shared_from_this();
  BootTimer timer(Executor);
  // The first exchange is early, as a new process learns the members by it.
  Millis span = Setup.Swim.PeerProbeInterval;
  while (!Stopped) {
    timer.expires_after(jittered(span));
    co_await timer.async_wait(Awaited);
    std::vector<InstanceName> peer = chooseRandomPeers(Swim, Swim.Self, 1);
    if (Stopped)
      break;
    if (peer.empty()) {
      for (const Address &it : Setup.Seeds)
        co_await join(it);
      continue;
    }
    Address where = Swim.Members.at(peer.front()).Info.Control;
    std::size_t learned = co_await exchange(where, peer.front());
    // Exchange often until the view is nearly complete.
    bool catchingUp = learned * CatchUpShareDivisor > Swim.Members.size();
    span = catchingUp ? Setup.Swim.PeerProbeInterval
                      : std::min(span * 2, digestInterval());
  }
}

asio::awaitable<void> MembershipManager::join(Address Seed) {
  std::shared_ptr<MembershipManager> self = shared_from_this();
  co_await exchange(std::move(Seed), InstanceName());
}

// ---- Probes ----

asio::awaitable<bool> MembershipManager::ping(InstanceName Target,
                                              Millis Timeout) {
  auto found = Swim.Members.find(Target);
  if (found == Swim.Members.end() || found->second.Info.Control.empty())
    co_return false;
  Address where = found->second.Info.Control;
  PingMessage ping;
  ping.Sequence = Links->nextSequence();
  ping.From = Swim.Self.Text;
  ping.Target = Target.Text;
  ping.Piggybacked = gossipTo(Target);
  ControlMessage message = std::move(ping);
  Outcome<ControlMessage> answer =
      co_await Links->ask(where, std::move(message), Timeout);
  const AckMessage *ack = answer ? std::get_if<AckMessage>(&*answer) : nullptr;
  if (ack == nullptr || Stopped)
    co_return false;
  applyGossip(ack->From, ack->Piggybacked);
  co_return true;
}

asio::awaitable<void> MembershipManager::probe(InstanceName Target) {
  std::shared_ptr<MembershipManager> self = shared_from_this();
  auto found = Swim.Members.find(Target);
  if (found == Swim.Members.end() || !Probing.insert(Target).second)
    co_return;
  Incarnation life = found->second.Info.Life;
  Counters.Probes.fetch_add(1);
  Millis timeout = Setup.ProbeTimeout;
  timeout += timeout * Swim.LocalHealth / 2;
  bool reached = co_await ping(Target, timeout);
  ProbeEnded ended{Target, life, reached, false};

  if (!reached && !Stopped) {
    // Other members may reach the target.
    std::shared_ptr<IndirectProbe> wait =
        std::make_shared<IndirectProbe>(Executor);
    wait->Timer.expires_after(3 * timeout);
    for (const InstanceName &it :
         chooseRandomPeers(Swim, Target, Setup.IndirectProbePeers)) {
      ++wait->Pending;
      Address where = Swim.Members.at(it).Info.Control;
      spawn([self, wait, where, Target, timeout]() -> asio::awaitable<void> {
        PingRequestMessage request{self->Links->nextSequence(),
                                   self->Swim.Self.Text, Target.Text};
        ControlMessage message = request;
        Outcome<ControlMessage> answer =
            co_await self->Links->ask(where, std::move(message), 3 * timeout);
        const PingAnswerMessage *got =
            answer ? std::get_if<PingAnswerMessage>(&*answer) : nullptr;
        wait->Answered = wait->Answered || got != nullptr;
        wait->Reached = wait->Reached || (got != nullptr && got->Reached);
        --wait->Pending;
        if (wait->Reached || wait->Pending == 0)
          wait->Timer.cancel();
      });
    }
    if (wait->Pending > 0)
      co_await wait->Timer.async_wait(Awaited);
    ended.Reached = wait->Reached;
    ended.PeersAnswered = wait->Answered;
  }

  Probing.erase(Target);
  if (!ended.Reached)
    Counters.ProbesFailed.fetch_add(1);
  if (!Stopped)
    apply(ended);
}

void MembershipManager::receive(const PingMessage &Ping,
                                const ControlServer::Reply &Answer) {
  // A process that reuses the port must not answer for its predecessor.
  if (!Ping.Target.empty() && Ping.Target != Swim.Self.Text)
    return;
  applyGossip(Ping.From, Ping.Piggybacked);
  if (Ping.Sequence == 0)
    return;
  AckMessage ack;
  ack.Sequence = Ping.Sequence;
  ack.From = Swim.Self.Text;
  if (Ping.Piggybacked.IsFullSync) {
    ack.Piggybacked.Updates =
        findMissingUpdates(Swim, Ping.Piggybacked.Digests);
    ack.Piggybacked.Digests = computeDigests(Swim);
    ack.Piggybacked.At = Events.now();
    Callbacks.FillLogPosition(ack.Piggybacked);
  } else {
    ack.Piggybacked = gossipTo(InstanceName(Ping.From));
  }
  Answer(ack);
}

void MembershipManager::receive(const PingRequestMessage &Request,
                                const ControlServer::Reply &Answer) {
  std::shared_ptr<MembershipManager> self = shared_from_this();
  spawn([self, Request, Answer]() -> asio::awaitable<void> {
    InstanceName target(Request.Target);
    bool reached = co_await self->ping(target, self->Setup.ProbeTimeout);
    PingAnswerMessage answer{Request.Sequence, Request.Target, reached};
    if (!self->Stopped)
      Answer(answer);
  });
}

asio::awaitable<std::size_t> MembershipManager::exchange(Address Where,
                                                         InstanceName Peer) {
  PingMessage ping;
  ping.Sequence = Links->nextSequence();
  ping.From = Swim.Self.Text;
  ping.Target = Peer.Text;
  ping.Piggybacked = gossipTo(Peer);
  ping.Piggybacked.IsFullSync = true;
  ping.Piggybacked.Digests = computeDigests(Swim);
  // Include this process, so that the other side learns of it.
  MemberUpdate self;
  self.Subject = Swim.Members.at(Swim.Self).Info;
  ping.Piggybacked.Updates.push_back(std::move(self));
  ControlMessage message = std::move(ping);
  Outcome<ControlMessage> answer =
      co_await Links->ask(Where, std::move(message), ExchangeTimeout);
  const AckMessage *ack = answer ? std::get_if<AckMessage>(&*answer) : nullptr;
  if (ack == nullptr || Stopped)
    co_return 0;
  applyGossip(ack->From, ack->Piggybacked);

  // Send the updates that the other side lacks.
  PingMessage notice;
  notice.From = Swim.Self.Text;
  notice.Target = ack->From;
  notice.Piggybacked.Updates =
      findMissingUpdates(Swim, ack->Piggybacked.Digests);
  notice.Piggybacked.At = Events.now();
  Callbacks.FillLogPosition(notice.Piggybacked);
  if (!notice.Piggybacked.Updates.empty())
    Links->send(Where, notice);
  co_return ack->Piggybacked.Updates.size();
}

// ---- The platform's list ----

asio::awaitable<bool> MembershipManager::readList() {
  Outcome<std::string> body =
      co_await readInstanceListBody(*Client, Setup.Instances, ListTimeout);
  if (!body || Stopped)
    co_return false;
  Counters.BytesIn.fetch_add(body->size());
  ListBytes = body->size();
  Outcome<std::vector<ListedInstance>> lines = parseInstanceList(*body);
  if (!lines)
    co_return false;
  ListRead event{std::move(*lines)};
  apply(event);
  co_return true;
}

asio::awaitable<bool> MembershipManager::announce(bool Leaving) {
  const Member &self = Swim.Members.at(Swim.Self).Info;
  ListedInstance line;
  line.Instance = self.Instance;
  line.Domain = self.Domain;
  line.Kind = self.Kind;
  line.ControlAddress = self.Control;
  line.AdminAddress = self.Admin;
  line.Leaving = Leaving;
  line.Life = self.Life;
  Outcome<Done> done = co_await announceInstance(*Client, Setup.Instances,
                                                 std::move(line), ListTimeout);
  if (!done)
    spdlog::warn("control: announcement to the instance list failed: {}",
                 describe(done.failure()));
  co_return static_cast<bool>(done);
}

// ---- Updates ----

Gossip MembershipManager::gossipTo(const InstanceName &Peer) {
  Gossip gossip;
  gossip.Updates = takeUpdatesFor(Swim, Peer);
  gossip.At = Events.now();
  Callbacks.FillLogPosition(gossip);
  return gossip;
}

void MembershipManager::applyGossip(const std::string &From,
                                    const Gossip &Received) {
  Events.mergeRemoteTime(Received.At);
  if (!Received.Digests.empty())
    applyPeerDigests(Swim, Received.Digests);
  if (!Received.Updates.empty())
    apply(UpdatesReceived{InstanceName(From), Received.Updates});
  Callbacks.OnPeerLogPosition(InstanceName(From), Received.Next,
                              Received.CaughtUpAge);
}

void MembershipManager::apply(const SwimEvent &Event) {
  applyEffects(applySwimEvent(Swim, Event, monotonicNow()));
}

void MembershipManager::applyEffects(const SwimEffects &Effects) {
  for (const HealthChange &it : Effects.Changes) {
    std::string kind = "member." + std::string(toText(it.State));
    Events.record(kind, {{"member", it.Instance.Text},
                         {"incarnation", std::to_string(it.Life)},
                         {"witness", it.Witness}});
  }
  NeedsPublish = NeedsPublish || Effects.ViewChanged;
  bool lagged = monotonicNow() - AnnouncedAt > Setup.ReannounceDelay;
  if (Effects.SelfMissingFromList && lagged)
    Announced = false;
  if (!Effects.Urgent.empty()) {
    publish();
    broadcastUrgent(Effects.Urgent);
  }
  std::shared_ptr<MembershipManager> self = shared_from_this();
  for (const InstanceName &it : Effects.Probes)
    spawn([self, it]() -> asio::awaitable<void> { return self->probe(it); });
}

void MembershipManager::broadcastUrgent(
    const std::vector<MemberUpdate> &Urgent) {
  std::shared_ptr<const View> clusterView = PublishedView.get();
  FanoutSettings limits;
  bool own = std::any_of(Urgent.begin(), Urgent.end(), [&](const auto &it) {
    return it.Subject.Instance == Swim.Self;
  });
  limits.OtherDomains = own || isLogReader(*clusterView, RelaysPerDomain);
  std::mt19937_64 selectionRandom(
      Setup.Seed +
      static_cast<std::uint64_t>(monotonicNow().time_since_epoch() /
                                 PeerSelectionInterval));
  for (const InstanceName &it :
       chooseFanout(*clusterView, limits, selectionRandom)) {
    const Address &where = clusterView->Members.at(it).Control;
    if (where.empty())
      continue;
    PingMessage notice;
    notice.From = Swim.Self.Text;
    notice.Target = it.Text;
    notice.Piggybacked.Updates = Urgent;
    notice.Piggybacked.At = Events.now();
    Callbacks.FillLogPosition(notice.Piggybacked);
    Links->send(where, notice);
  }
}

void MembershipManager::publish() {
  NeedsPublish = false;
  PublishedView.set(makeMembershipView(Swim));
}

void MembershipManager::setServers(std::vector<ServerStatus> Servers) {
  apply(ServersChanged{std::move(Servers)});
}

void MembershipManager::noteUnreachable(const InstanceName &Target) {
  apply(RequestFailed{Target});
}

asio::awaitable<void> MembershipManager::leave() {
  std::shared_ptr<MembershipManager> self = shared_from_this();
  apply(SelfLeaves());
  if (!Setup.Instances.empty()) {
    spawn([self]() -> asio::awaitable<void> {
      bool announced = co_await self->announce(true);
      self->Announced = announced;
    });
  }
  // Notifications may be lost; an answered probe confirms that a member knows.
  std::vector<InstanceName> peers =
      chooseRandomPeers(Swim, Swim.Self, Setup.IndirectProbePeers);
  for (const InstanceName &it : peers) {
    bool confirmed = co_await ping(it, Setup.ProbeTimeout);
    if (confirmed || Stopped)
      break;
  }
}

} // namespace wasabi
