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
/// Time between two looks at suspicions; the view is published as often.
constexpr Millis TickInterval(100);
constexpr Millis ListTimeout(2000);
constexpr Millis ExchangeTimeout(3000);
/// First pause after a failed reading of the list.
constexpr Millis MinListBackOff(200);
/// Readers per domain that pass urgent news on to other domains.
constexpr std::uint32_t RelaysPerDomain = 2;
/// Time between two exchanges of digests: at least, and for each member.
constexpr Millis MinDigestPeriod(3000);
constexpr Millis DigestPeriodPerMember(75);
/// Of what a reader of the list may spend on it, the others spend this part.
constexpr std::int64_t OthersListPart = 3;
/// More news than a part of so many of the members is much.
constexpr std::size_t MuchLearned = 20;
/// How long the same random peers are told urgent news.
constexpr Millis PeerSelectionInterval(30000);

/// One wait for any of several helpers.
struct HelperWait {
  explicit HelperWait(const asio::any_io_executor &Executor)
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
    ControlCounters &Counters, Timeline &Events, Hooks Calls) {
  return std::shared_ptr<MembershipManager>(new MembershipManager(
      std::move(Executor), std::move(Setup), std::move(Links),
      std::move(Client), Counters, Events, std::move(Calls)));
}

MembershipManager::MembershipManager(asio::any_io_executor Executor,
                                     Settings Setup,
                                     std::shared_ptr<PeerLinks> Links,
                                     std::shared_ptr<http::Client> Client,
                                     ControlCounters &Counters,
                                     Timeline &Events, Hooks Calls)
    : Executor(std::move(Executor)), Setup(std::move(Setup)),
      Links(std::move(Links)), Client(std::move(Client)), Counters(Counters),
      Events(Events), Calls(std::move(Calls)),
      Swim(startSwim(this->Setup.Swim, this->Setup.Self, this->Setup.Seed,
                     monotonicNow())),
      Shown(viewOf(Swim)), Random(this->Setup.Seed + 1) {}

template <typename Body> void MembershipManager::spawn(Body &&What) {
  asio::co_spawn(Executor, std::forward<Body>(What), asio::detached);
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
  // Half of it up to one and a half: nobody keeps step with anybody.
  std::uint64_t span = static_cast<std::uint64_t>(Span.count());
  return Millis(static_cast<std::int64_t>(span / 2 + Random() % (span + 1)));
}

// ---- loops ----

asio::awaitable<void> MembershipManager::probeLoop() {
  std::shared_ptr<MembershipManager> self = shared_from_this();
  BootTimer timer(Executor);
  while (!Stopped) {
    // Who is not well probes less often.
    Millis period = Setup.Swim.ProbePeriod;
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
    if (Dirty)
      publish();
  }
}

asio::awaitable<void> MembershipManager::listLoop() {
  std::shared_ptr<MembershipManager> self = shared_from_this();
  BootTimer timer(Executor);
  Millis failing = MinListBackOff;
  while (!Stopped) {
    bool good = true;
    if (!Announced) {
      bool leaving = Swim.Members.at(Swim.Self).Left;
      good = co_await announce(leaving);
      Announced = good;
      AnnouncedAt = monotonicNow();
    }
    if (good && !Stopped)
      good = co_await readList();
    failing =
        good ? MinListBackOff : std::min(failing * 2, Setup.MaxListBackOff);
    timer.expires_after(jittered(good ? listReadInterval() : failing));
    co_await timer.async_wait(Awaited);
  }
}

Millis MembershipManager::digestInterval() const {
  // Digests cost by the member; while they are few, what gossip missed need not
  // wait for long.
  std::int64_t members = static_cast<std::int64_t>(Swim.Members.size());
  Millis afforded = std::max(MinDigestPeriod, members * DigestPeriodPerMember);
  return std::min(afforded, Setup.MaxDigestInterval);
}

Millis MembershipManager::listReadInterval() const {
  // A few in each domain read it often and tell the rest, which need it only to
  // be sure: with hundreds of lines it is the largest thing on the wire.
  std::shared_ptr<const View> seen = Shown.get();
  std::int64_t part = isLogReader(*seen, RelaysPerDomain) ? 1 : OthersListPart;
  std::int64_t spent = static_cast<std::int64_t>(ListBytes) * part;
  constexpr std::int64_t MillisPerSecond = 1000;
  Millis afforded(spent * MillisPerSecond / Setup.ListBytesPerSecond);
  return std::max(Setup.MinListReadInterval, afforded);
}

asio::awaitable<void> MembershipManager::digestLoop() {
  std::shared_ptr<MembershipManager> self = shared_from_this();
  BootTimer timer(Executor);
  // The first exchange comes early: it is how a new process learns the rest.
  Millis span = Setup.Swim.ProbePeriod;
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
    Address where = Swim.Members.at(peer.front()).Who.Control;
    std::size_t learned = co_await exchange(where, peer.front());
    // Often while there is much to learn.
    bool much = learned * MuchLearned > Swim.Members.size();
    span = much ? Setup.Swim.ProbePeriod : std::min(span * 2, digestInterval());
  }
}

asio::awaitable<void> MembershipManager::join(Address Seed) {
  std::shared_ptr<MembershipManager> self = shared_from_this();
  co_await exchange(std::move(Seed), InstanceName());
}

// ---- probes ----

asio::awaitable<bool> MembershipManager::ping(InstanceName Target,
                                              Millis Timeout) {
  auto found = Swim.Members.find(Target);
  if (found == Swim.Members.end() || found->second.Who.Control.empty())
    co_return false;
  Address where = found->second.Who.Control;
  PingMessage ping;
  ping.Sequence = Links->nextSequence();
  ping.From = Swim.Self.Text;
  ping.Target = Target.Text;
  ping.Piggybacked = gossipTo(Target);
  ControlMessage question = std::move(ping);
  Outcome<ControlMessage> answer =
      co_await Links->ask(where, std::move(question), Timeout);
  const AckMessage *ack = answer ? std::get_if<AckMessage>(&*answer) : nullptr;
  if (ack == nullptr || Stopped)
    co_return false;
  hear(ack->From, ack->Piggybacked);
  co_return true;
}

asio::awaitable<void> MembershipManager::probe(InstanceName Target) {
  std::shared_ptr<MembershipManager> self = shared_from_this();
  auto found = Swim.Members.find(Target);
  if (found == Swim.Members.end() || !Probing.insert(Target).second)
    co_return;
  Incarnation life = found->second.Who.Life;
  Counters.Probes.fetch_add(1);
  Millis timeout = Setup.ProbeTimeout;
  timeout += timeout * Swim.LocalHealth / 2;
  bool reached = co_await ping(Target, timeout);
  ProbeEnded ended{Target, life, reached, false};

  if (!reached && !Stopped) {
    // Others may reach what this process cannot.
    std::shared_ptr<HelperWait> wait = std::make_shared<HelperWait>(Executor);
    wait->Timer.expires_after(3 * timeout);
    for (const InstanceName &it :
         chooseRandomPeers(Swim, Target, Setup.IndirectProbePeers)) {
      ++wait->Pending;
      Address where = Swim.Members.at(it).Who.Control;
      spawn([self, wait, where, Target, timeout]() -> asio::awaitable<void> {
        PingRequestMessage ask{self->Links->nextSequence(),
                               self->Swim.Self.Text, Target.Text};
        ControlMessage question = ask;
        Outcome<ControlMessage> answer =
            co_await self->Links->ask(where, std::move(question), 3 * timeout);
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
  // A process that took over the port must not answer for its predecessor.
  if (!Ping.Target.empty() && Ping.Target != Swim.Self.Text)
    return;
  hear(Ping.From, Ping.Piggybacked);
  if (Ping.Sequence == 0)
    return;
  AckMessage ack;
  ack.Sequence = Ping.Sequence;
  ack.From = Swim.Self.Text;
  if (Ping.Piggybacked.Full) {
    ack.Piggybacked.Updates =
        findMissingUpdates(Swim, Ping.Piggybacked.Digests);
    ack.Piggybacked.Digests = computeDigests(Swim);
    ack.Piggybacked.At = Events.now();
    Calls.FillLogPosition(ack.Piggybacked);
  } else {
    ack.Piggybacked = gossipTo(InstanceName(Ping.From));
  }
  Answer(ack);
}

void MembershipManager::receive(const PingRequestMessage &Ask,
                                const ControlServer::Reply &Answer) {
  std::shared_ptr<MembershipManager> self = shared_from_this();
  spawn([self, Ask, Answer]() -> asio::awaitable<void> {
    InstanceName target(Ask.Target);
    bool reached = co_await self->ping(target, self->Setup.ProbeTimeout);
    PingAnswerMessage answer{Ask.Sequence, Ask.Target, reached};
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
  ping.Piggybacked.Full = true;
  ping.Piggybacked.Digests = computeDigests(Swim);
  // To be known by the other side is the first purpose of joining.
  MemberUpdate self;
  self.Subject = Swim.Members.at(Swim.Self).Who;
  ping.Piggybacked.Updates.push_back(std::move(self));
  ControlMessage question = std::move(ping);
  Outcome<ControlMessage> answer =
      co_await Links->ask(Where, std::move(question), ExchangeTimeout);
  const AckMessage *ack = answer ? std::get_if<AckMessage>(&*answer) : nullptr;
  if (ack == nullptr || Stopped)
    co_return 0;
  hear(ack->From, ack->Piggybacked);

  // What the other side lacks goes back without a question.
  PingMessage notice;
  notice.From = Swim.Self.Text;
  notice.Target = ack->From;
  notice.Piggybacked.Updates =
      findMissingUpdates(Swim, ack->Piggybacked.Digests);
  notice.Piggybacked.At = Events.now();
  Calls.FillLogPosition(notice.Piggybacked);
  if (!notice.Piggybacked.Updates.empty())
    Links->send(Where, notice);
  co_return ack->Piggybacked.Updates.size();
}

// ---- the platform's list ----

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
  const Member &self = Swim.Members.at(Swim.Self).Who;
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
    spdlog::warn("control: announcing failed: {}", describe(done.failure()));
  co_return static_cast<bool>(done);
}

// ---- news ----

Gossip MembershipManager::gossipTo(const InstanceName &Peer) {
  Gossip carried;
  carried.Updates = takeUpdatesFor(Swim, Peer);
  carried.At = Events.now();
  Calls.FillLogPosition(carried);
  return carried;
}

void MembershipManager::hear(const std::string &From, const Gossip &Carried) {
  Events.mergeRemoteTime(Carried.At);
  if (!Carried.Digests.empty())
    applyPeerDigests(Swim, Carried.Digests);
  if (!Carried.Updates.empty())
    apply(UpdatesReceived{InstanceName(From), Carried.Updates});
  Calls.OnPeerLogPosition(InstanceName(From), Carried.Next,
                          Carried.CaughtUpAge);
}

void MembershipManager::apply(const SwimEvent &Event) {
  applyEffects(decide(Swim, Event, monotonicNow()));
}

void MembershipManager::applyEffects(const SwimEffects &Effects) {
  for (const HealthChange &it : Effects.Changes) {
    std::string kind = "member." + std::string(toText(it.Now));
    Events.record(kind, {{"member", it.Instance.Text},
                         {"incarnation", std::to_string(it.Life)},
                         {"witness", it.Witness}});
  }
  Dirty = Dirty || Effects.ViewChanged;
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
  std::shared_ptr<const View> seen = Shown.get();
  FanoutSettings limits;
  bool own = std::any_of(Urgent.begin(), Urgent.end(), [&](const auto &it) {
    return it.Subject.Instance == Swim.Self;
  });
  limits.OtherDomains = own || isLogReader(*seen, RelaysPerDomain);
  std::mt19937_64 sticky(Setup.Seed + static_cast<std::uint64_t>(
                                          monotonicNow().time_since_epoch() /
                                          PeerSelectionInterval));
  for (const InstanceName &it : chooseFanout(*seen, limits, sticky)) {
    const Address &where = seen->Members.at(it).Control;
    if (where.empty())
      continue;
    PingMessage notice;
    notice.From = Swim.Self.Text;
    notice.Target = it.Text;
    notice.Piggybacked.Updates = Urgent;
    notice.Piggybacked.At = Events.now();
    Calls.FillLogPosition(notice.Piggybacked);
    Links->send(where, notice);
  }
}

void MembershipManager::publish() {
  Dirty = false;
  Shown.set(viewOf(Swim));
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
      bool told = co_await self->announce(true);
      self->Announced = told;
    });
  }
  // The notices are under way; an answered probe carries the news for certain.
  std::vector<InstanceName> helpers =
      chooseRandomPeers(Swim, Swim.Self, Setup.IndirectProbePeers);
  for (const InstanceName &it : helpers) {
    bool confirmed = co_await ping(it, Setup.ProbeTimeout);
    if (confirmed || Stopped)
      break;
  }
}

} // namespace wasabi
