#include "Wasabi/Membership/Swim.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace wasabi {
namespace {

/// Most steps of bad local health.
constexpr std::uint32_t MaxLocalHealth = 8;
/// Hearing news that one tells oneself saves this many tellings: who hears it
/// often enough can take it as known (Demers et al. 1987, rumours with a
/// counter).
constexpr std::uint32_t HeardAgain = 4;
/// How often a process repeats a refutation that someone missed.
constexpr std::uint32_t Reminders = 2;
/// Fewest failed targets by which a process doubts itself.
constexpr std::size_t FewestDoubtful = 2;

constexpr char ByItself[] = "itself";
constexpr char ByList[] = "list";
constexpr char ByProbe[] = "probe";
constexpr char ByPeers[] = "peers";
constexpr char ByListAndProbe[] = "list+probe";
constexpr char ByLeavingAndProbe[] = "leaving+probe";
constexpr char BySuspicion[] = "probe+peers";

/// One decision in the making.
struct Step {
  SwimState &State;
  TimePoint Now;
  SwimEffects Done;
  /// Whether the news at hand came in bulk.
  bool Bulk = false;
};

bool isSelf(const SwimState &State, const InstanceName &Name) {
  return Name == State.Self;
}

bool isPresent(const SwimMember &Held) {
  return Held.Who.State != Health::Dead;
}

std::size_t countPresent(const SwimState &State) {
  std::size_t count = 0;
  for (const auto &[name, held] : State.Members)
    count += isPresent(held) ? 1 : 0;
  return count;
}

/// What is told of a member: all when it is alive, else its health alone.
MemberUpdate newsOf(const SwimMember &Held) {
  MemberUpdate news;
  news.Subject = Held.Who;
  if (Held.Who.State == Health::Alive)
    return news;
  Member slim;
  slim.Instance = Held.Who.Instance;
  slim.Domain = Held.Who.Domain;
  slim.Kind = Held.Who.Kind;
  slim.Life = Held.Who.Life;
  slim.State = Held.Who.State;
  slim.Stamp = Held.Who.Stamp;
  news.Subject = std::move(slim);
  return news;
}

/// What is told of a member whose servers or stamp alone have changed: most
/// changes are of that kind, and addresses are most of a member's bytes.
MemberUpdate updateOf(const SwimMember &Held) {
  MemberUpdate news = newsOf(Held);
  news.Subject.Domain = DomainName();
  news.Subject.Requests = Address();
  news.Subject.Control = Address();
  news.Subject.Admin = Address();
  return news;
}

/// Whether news is of servers or the stamp alone.
bool isUpdate(const MemberUpdate &News) {
  return News.Subject.State == Health::Alive && News.Subject.Control.empty();
}

std::uint32_t timesToTell(const SwimState &State, bool Update) {
  const SwimSettings &limits = State.Limits;
  std::uint32_t factor =
      Update ? limits.ServerRetransmitFactor : limits.RetransmitFactor;
  double members = static_cast<double>(countPresent(State) + 1);
  std::uint32_t rounds =
      static_cast<std::uint32_t>(std::ceil(std::log(members)));
  return std::max(factor * rounds, 1u);
}

void tell(Step &On, MemberUpdate News) {
  InstanceName name = News.Subject.Instance;
  // Addresses that are still being told must not be lost to an update.
  auto held = On.State.PendingUpdates.find(name);
  if (isUpdate(News) && held != On.State.PendingUpdates.end() &&
      !held->second.News.Subject.Control.empty())
    News = newsOf(On.State.Members.at(name));
  std::uint32_t times = timesToTell(On.State, isUpdate(News));
  // What an exchange brings in bulk, the others get by their own exchanges.
  if (On.Bulk)
    times = 1;
  On.State.PendingUpdates[name] = PendingUpdate{std::move(News), times};
}

/// Takes note of a new health, or of new content with the same health.
void noteChange(Step &On, SwimMember &Held, Health Was, std::string Witness) {
  On.Done.ViewChanged = true;
  Health now = Held.Who.State;
  if (now != Health::Suspect)
    Held.Accusers.clear();
  if (now == Was)
    return;
  Held.Since = On.Now;
  if (now == Health::Leaving)
    Held.Left = true;
  On.Done.Changes.push_back(
      HealthChange{Held.Who.Instance, Held.Who.Life, now, std::move(Witness)});
  // Who leaves or is gone must get no more work: that does not wait for probes.
  if (now == Health::Leaving || now == Health::Dead)
    On.Done.Urgent.push_back(newsOf(Held));
}

void setHealth(Step &On, SwimMember &Held, Health Now, std::string Witness) {
  Health was = Held.Who.State;
  Held.Who.State = Now;
  noteChange(On, Held, was, std::move(Witness));
  tell(On, newsOf(Held));
}

void suspect(Step &On, SwimMember &Held, const InstanceName &Accuser,
             const char *Witness) {
  if (Held.Who.State != Health::Alive && Held.Who.State != Health::Suspect)
    return;
  bool enough = Held.Accusers.size() >= On.State.Limits.Accusers;
  bool known = Held.Accusers.contains(Accuser);
  if (Held.Who.State == Health::Suspect && (enough || known))
    return;
  if (Held.Who.State == Health::Alive)
    setHealth(On, Held, Health::Suspect, Witness);
  Held.Accusers.insert(Accuser);
  MemberUpdate news = newsOf(Held);
  news.Accuser = Accuser;
  tell(On, std::move(news));
}

/// A new member takes its place among the probes at random, so that it waits
/// half a round on average.
void insertIntoProbes(SwimState &State, const InstanceName &Name) {
  std::size_t at = State.Random() % (State.ProbeOrder.size() + 1);
  State.ProbeOrder.insert(
      State.ProbeOrder.begin() + static_cast<std::ptrdiff_t>(at), Name);
}

SwimMember &addMember(Step &On, Member Who, std::string Witness) {
  InstanceName name = Who.Instance;
  SwimMember &held = On.State.Members[name];
  held = SwimMember();
  On.State.PendingUpdates.erase(name);
  held.Who = std::move(Who);
  held.Since = On.Now;
  held.Left = held.Who.State == Health::Leaving;
  if (std::find(On.State.ProbeOrder.begin(), On.State.ProbeOrder.end(), name) ==
      On.State.ProbeOrder.end())
    insertIntoProbes(On.State, name);
  On.Done.ViewChanged = true;
  On.Done.Changes.push_back(
      HealthChange{name, held.Who.Life, held.Who.State, std::move(Witness)});
  return held;
}

// ---- self ----

Member &selfOf(SwimState &State) { return State.Members.at(State.Self).Who; }

void tellSelf(Step &On, bool Whole) {
  SwimMember &held = On.State.Members.at(On.State.Self);
  ++held.Who.Stamp;
  On.Done.ViewChanged = true;
  tell(On, Whole ? newsOf(held) : updateOf(held));
}

/// Whoever says it, to leave is final: work is no longer sent here.
void leaveSelf(Step &On, const char *Witness) {
  SwimMember &held = On.State.Members.at(On.State.Self);
  if (held.Left)
    return;
  ++held.Who.Stamp;
  setHealth(On, held, Health::Leaving, Witness);
}

/// Others say something of this process.
void hearOfSelf(Step &On, const Member &Told) {
  Member &self = selfOf(On.State);
  if (Told.Life != self.Life)
    return;
  if (Told.State == Health::Leaving) {
    leaveSelf(On, ByPeers);
    return;
  }
  bool bad = Told.State == Health::Suspect || Told.State == Health::Dead;
  if (Told.Stamp < self.Stamp) {
    // Refuted already, but the teller has missed it: the answer tells it again.
    if (bad && !On.State.PendingUpdates.contains(On.State.Self))
      On.State.PendingUpdates[On.State.Self] =
          PendingUpdate{newsOf(On.State.Members.at(On.State.Self)), Reminders};
    return;
  }
  if (bad) {
    // Only this process can refute it, by saying something newer. To have been
    // suspected is a sign that it is slow itself.
    self.Stamp = Told.Stamp;
    On.State.LocalHealth = std::min(On.State.LocalHealth + 1, MaxLocalHealth);
    tellSelf(On, true);
  } else if (Told.Stamp > self.Stamp) {
    self.Stamp = Told.Stamp;
    tellSelf(On, true);
  }
}

// ---- news ----

/// Copies what a member says of itself; slim news has none of it.
void takeContent(Member &Into, const Member &From) {
  if (From.State != Health::Alive)
    return;
  Into.Servers = From.Servers;
  if (From.Control.empty())
    return;
  Into.Domain = From.Domain;
  Into.Kind = From.Kind;
  Into.Requests = From.Requests;
  Into.Control = From.Control;
  Into.Admin = From.Admin;
}

/// News of an incarnation not known here.
void hearOfNew(Step &On, const MemberUpdate &News) {
  const Member &told = News.Subject;
  // Without addresses it is of no use; but a leaver or a dead one is kept as a
  // mark against older news.
  bool mark = told.State == Health::Leaving || told.State == Health::Dead;
  if (!mark && told.Control.empty())
    return;
  SwimMember &held = addMember(On, told, ByPeers);
  if (told.State == Health::Leaving)
    On.Done.Urgent.push_back(newsOf(held));
  tell(On, newsOf(held));
}

/// Counts one more process that knows what is being told.
void countKnown(SwimState &State,
                std::map<InstanceName, PendingUpdate>::iterator At) {
  std::uint32_t &left = At->second.TransmitsLeft;
  left -= std::min(left, HeardAgain);
  if (left == 0)
    State.PendingUpdates.erase(At);
}

/// News that is known already needs less telling.
void hearAgain(Step &On, const MemberUpdate &News) {
  auto found = On.State.PendingUpdates.find(News.Subject.Instance);
  if (found == On.State.PendingUpdates.end())
    return;
  const Member &own = found->second.News.Subject;
  const Member &told = News.Subject;
  if (own.Life != told.Life || own.Stamp != told.Stamp ||
      own.State != told.State || found->second.News.Accuser != News.Accuser)
    return;
  countKnown(On.State, found);
}

/// Leaving is final, whatever stamp it is told with.
void hearLeaving(Step &On, SwimMember &Held, const Member &Told) {
  if (Held.Left)
    return;
  Held.Who.Stamp = std::max(Held.Who.Stamp, Told.Stamp);
  if (Held.Who.State == Health::Dead)
    Held.Left = true;
  else
    setHealth(On, Held, Health::Leaving, ByPeers);
}

void hearAlive(Step &On, SwimMember &Held, const MemberUpdate &News) {
  const Member &told = News.Subject;
  if (told.Stamp <= Held.Who.Stamp) {
    hearAgain(On, News);
    return;
  }
  // An update on one known by the list alone lacks what is not known yet.
  if (Held.Who.Stamp == 0 && told.Control.empty())
    return;
  Health was = Held.Who.State;
  takeContent(Held.Who, told);
  Held.Who.Stamp = told.Stamp;
  // The member itself has spoken: suspicion and death are refuted; but a
  // leaver stays one.
  if (!Held.Left) {
    Held.Who.State = Health::Alive;
    Held.LastProbeFailed = false;
  }
  noteChange(On, Held, was, ByItself);
  if (!Held.Left)
    tell(On, told.Control.empty() ? updateOf(Held) : newsOf(Held));
}

/// Whether anything but the teller's word says that a member is gone.
bool hasOtherWitness(const SwimMember &Held, const InstanceName &Teller) {
  if (Held.LastProbeFailed || Held.Unlisted || Held.Left)
    return true;
  return std::any_of(Held.Accusers.begin(), Held.Accusers.end(),
                     [&](const InstanceName &it) { return it != Teller; });
}

/// One process alone may be wrong about all others: its word is an accusation
/// until another witness joins it.
void hearDead(Step &On, SwimMember &Held, const InstanceName &Teller) {
  if (hasOtherWitness(Held, Teller)) {
    setHealth(On, Held, Health::Dead, ByPeers);
    return;
  }
  suspect(On, Held, Teller, ByPeers);
  On.Done.Probes.push_back(Held.Who.Instance);
}

void hearBad(Step &On, SwimMember &Held, const MemberUpdate &News,
             const InstanceName &Teller) {
  const Member &told = News.Subject;
  if (told.Stamp < Held.Who.Stamp || Held.Who.State == Health::Dead) {
    hearAgain(On, News);
    return;
  }
  Held.Who.Stamp = told.Stamp;
  if (told.State == Health::Dead) {
    hearDead(On, Held, Teller);
    return;
  }
  hearAgain(On, News);
  suspect(On, Held, News.Accuser, ByPeers);
}

void hearOne(Step &On, const MemberUpdate &News, const InstanceName &Teller) {
  const Member &told = News.Subject;
  if (isSelf(On.State, told.Instance)) {
    hearOfSelf(On, told);
    return;
  }
  auto found = On.State.Members.find(told.Instance);
  if (found == On.State.Members.end() || told.Life > found->second.Who.Life) {
    hearOfNew(On, News);
    return;
  }
  SwimMember &held = found->second;
  if (told.Life < held.Who.Life)
    return;
  if (told.State == Health::Leaving)
    hearLeaving(On, held, told);
  else if (told.State == Health::Alive)
    hearAlive(On, held, News);
  else
    hearBad(On, held, News, Teller);
}

// ---- probes ----

/// The next in a round through all members in random order, so that each is
/// probed within two rounds.
void chooseProbe(Step &On) {
  SwimState &state = On.State;
  for (std::size_t n = 0; n <= state.ProbeOrder.size(); ++n) {
    if (state.ProbeAt >= state.ProbeOrder.size()) {
      std::shuffle(state.ProbeOrder.begin(), state.ProbeOrder.end(),
                   state.Random);
      state.ProbeAt = 0;
      if (state.ProbeOrder.empty())
        return;
    }
    const InstanceName &name = state.ProbeOrder[state.ProbeAt];
    ++state.ProbeAt;
    if (isPresent(state.Members.at(name))) {
      On.Done.Probes.push_back(name);
      return;
    }
  }
}

/// A random dead member, so that after a cut both sides find each other.
void chooseDeadProbe(Step &On) {
  std::vector<InstanceName> dead;
  for (const auto &[name, held] : On.State.Members) {
    if (!isPresent(held) && !held.Left && !held.Who.Control.empty())
      dead.push_back(name);
  }
  if (!dead.empty())
    On.Done.Probes.push_back(dead[On.State.Random() % dead.size()]);
}

/// Whether most of what was probed of late, or most of the view, failed.
bool judgeSelf(const SwimState &State) {
  std::map<InstanceName, bool> last;
  for (const ProbeResult &it : State.Recent)
    last[it.Target] = it.Reached;
  std::size_t failed = 0;
  for (const auto &[name, reached] : last)
    failed += reached ? 0 : 1;
  if (failed >= FewestDoubtful && 2 * failed > last.size())
    return true;

  std::size_t suspects = 0;
  for (const auto &[name, held] : State.Members)
    suspects += held.Who.State == Health::Suspect ? 1 : 0;
  std::size_t others = countPresent(State) - 1;
  return suspects >= FewestDoubtful && 2 * suspects > others;
}

void judge(Step &On) {
  bool doubt = judgeSelf(On.State);
  if (doubt == On.State.MayBeIsolated)
    return;
  On.Done.ViewChanged = true;
  On.State.MayBeIsolated = doubt;
  if (doubt)
    return;
  // What was suspected meanwhile may have been this process' own fault: the
  // others get their whole time to refute it.
  for (auto &[name, held] : On.State.Members) {
    if (held.Who.State != Health::Suspect)
      continue;
    held.Since = On.Now;
    held.Accusers.clear();
    held.LastProbeFailed = false;
  }
}

void endProbe(Step &On, const ProbeEnded &Event) {
  SwimState &state = On.State;
  auto found = state.Members.find(Event.Target);
  if (found == state.Members.end() || found->second.Who.Life != Event.Life)
    return;
  SwimMember &held = found->second;
  held.LastProbeFailed = !Event.Reached;
  if (held.Who.State == Health::Dead)
    return;
  state.Recent.push_back(ProbeResult{Event.Target, Event.Reached});
  if (state.Recent.size() > state.Limits.IsolationProbeWindow)
    state.Recent.pop_front();

  if (Event.Reached) {
    state.LocalHealth -= std::min(state.LocalHealth, 1u);
  } else {
    // Where not even the helpers answer, the fault may be here.
    if (!Event.PeersAnswered)
      state.LocalHealth = std::min(state.LocalHealth + 1, MaxLocalHealth);
    if (held.Left)
      setHealth(On, held, Health::Dead, ByLeavingAndProbe);
    else if (held.Unlisted)
      setHealth(On, held, Health::Dead, ByListAndProbe);
    else
      suspect(On, held, state.Self, ByProbe);
  }
  judge(On);
}

// ---- the platform's list ----

Member memberFrom(const ListedInstance &Line) {
  Member who;
  who.Instance = Line.Instance;
  who.Domain = Line.Domain;
  who.Kind = Line.Kind;
  who.Life = Line.Life;
  who.Control = Line.ControlAddress;
  who.Admin = Line.AdminAddress;
  who.State = Line.Leaving ? Health::Leaving : Health::Alive;
  return who;
}

void readLine(Step &On, const ListedInstance &Line) {
  auto found = On.State.Members.find(Line.Instance);
  if (found == On.State.Members.end() || Line.Life > found->second.Who.Life) {
    // Known by name only; its own news, with a stamp, takes the place of this.
    addMember(On, memberFrom(Line), ByList).Listed = true;
    return;
  }
  SwimMember &held = found->second;
  if (Line.Life < held.Who.Life)
    return;
  held.Listed = true;
  held.Unlisted = false;
  if (Line.Leaving && !held.Left && held.Who.State != Health::Dead)
    setHealth(On, held, Health::Leaving, ByList);
}

/// A member that the platform listed and no longer does.
void readRemoval(Step &On, SwimMember &Held) {
  Held.Unlisted = true;
  if (Held.Who.State == Health::Dead)
    return;
  if (Held.LastProbeFailed)
    setHealth(On, Held, Health::Dead, ByListAndProbe);
  else
    On.Done.Probes.push_back(Held.Who.Instance);
}

void readList(Step &On, const ListRead &Event) {
  std::map<InstanceName, Incarnation> listed;
  for (const ListedInstance &it : Event.Lines) {
    listed[it.Instance] = it.Life;
    if (!isSelf(On.State, it.Instance))
      readLine(On, it);
    else if (it.Leaving && it.Life == selfOf(On.State).Life)
      leaveSelf(On, ByList);
  }
  // A list that lacks even this process is no witness of removals.
  auto self = listed.find(On.State.Self);
  Incarnation life = selfOf(On.State).Life;
  On.Done.SelfMissingFromList = self == listed.end() || self->second < life;
  if (On.Done.SelfMissingFromList)
    return;
  for (auto &[name, held] : On.State.Members) {
    if (held.Listed && !held.Unlisted && !listed.contains(name) &&
        !isSelf(On.State, name))
      readRemoval(On, held);
  }
}

// ---- time ----

/// Time in which this process stood still proves nothing about others.
void skipPause(Step &On) {
  SwimState &state = On.State;
  Micros gap = On.Now - state.LastTime;
  state.LastTime = On.Now;
  if (gap <= state.Limits.ProcessPauseThreshold)
    return;
  state.LocalHealth = std::min(state.LocalHealth + 2, MaxLocalHealth);
  for (auto &[name, held] : state.Members) {
    if (held.Who.State == Health::Suspect)
      held.Since += gap;
  }
}

void endSuspicions(Step &On) {
  SwimState &state = On.State;
  if (state.MayBeIsolated)
    return;
  std::size_t members = countPresent(state);
  for (auto &[name, held] : state.Members) {
    if (held.Who.State != Health::Suspect)
      continue;
    Millis timeout = suspicionTimeout(state.Limits, members,
                                      held.Accusers.size(), state.LocalHealth);
    if (On.Now - held.Since >= timeout)
      setHealth(On, held, Health::Dead, BySuspicion);
  }
}

void forgetDead(Step &On) {
  SwimState &state = On.State;
  for (auto it = state.Members.begin(); it != state.Members.end();) {
    const SwimMember &held = it->second;
    bool old = On.Now - held.Since >= state.Limits.DeadMemberRetention;
    if (isPresent(held) || !old) {
      ++it;
      continue;
    }
    std::erase(state.ProbeOrder, it->first);
    state.PendingUpdates.erase(it->first);
    On.Done.ViewChanged = true;
    it = state.Members.erase(it);
  }
}

// ---- one function an event ----

void handle(Step &On, const ProbeDue &) {
  chooseProbe(On);
  ++On.State.ProbeCount;
  if (On.State.ProbeCount % On.State.Limits.ProbesPerDeadProbe == 0)
    chooseDeadProbe(On);
}

void handle(Step &On, const ProbeEnded &Event) { endProbe(On, Event); }

void handle(Step &On, const UpdatesReceived &Event) {
  On.Bulk = Event.Updates.size() > 2 * On.State.Limits.MaxUpdatesPerFrame;
  for (const MemberUpdate &it : Event.Updates)
    hearOne(On, it, Event.From);
  judge(On);
}

void handle(Step &On, const ListRead &Event) { readList(On, Event); }

void handle(Step &On, const RequestFailed &Event) {
  // One failed request proves little: it only hastens a probe.
  auto found = On.State.Members.find(Event.Target);
  if (found != On.State.Members.end() && isPresent(found->second) &&
      !isSelf(On.State, Event.Target))
    On.Done.Probes.push_back(Event.Target);
}

void handle(Step &On, const TimePassed &) {
  skipPause(On);
  judge(On);
  endSuspicions(On);
  forgetDead(On);
}

void handle(Step &On, const ServersChanged &Event) {
  if (selfOf(On.State).Servers == Event.Servers)
    return;
  selfOf(On.State).Servers = Event.Servers;
  tellSelf(On, false);
}

void handle(Step &On, const SelfLeaves &) { leaveSelf(On, ByItself); }

} // namespace

SwimState startSwim(SwimSettings Limits, Member Self, std::uint64_t Seed,
                    TimePoint Now) {
  SwimState state;
  state.Limits = Limits;
  state.Self = Self.Instance;
  state.Random.seed(Seed);
  state.LastTime = Now;
  Self.Stamp = 0;
  Self.State = Health::Alive;
  SwimMember &held = state.Members[state.Self];
  held.Who = std::move(Self);
  held.Since = Now;
  Step step{state, Now, {}, false};
  tellSelf(step, true);
  return state;
}

SwimEffects decide(SwimState &State, const SwimEvent &Event, TimePoint Now) {
  Step step{State, Now, {}, false};
  std::visit([&](const auto &it) { handle(step, it); }, Event);
  // Many at once would be a herd; the rest have their turn in the round.
  if (step.Done.Probes.size() > State.Limits.MaxProbes)
    step.Done.Probes.resize(State.Limits.MaxProbes);
  return std::move(step.Done);
}

std::vector<MemberUpdate> takeUpdatesFor(SwimState &State,
                                         const InstanceName &Peer) {
  std::vector<MemberUpdate> chosen;
  auto peer = State.Members.find(Peer);
  if (peer != State.Members.end() && peer->second.Who.State != Health::Alive)
    chosen.push_back(newsOf(peer->second));

  // What was told least goes first.
  std::vector<std::pair<std::uint32_t, InstanceName>> order;
  for (const auto &[name, telling] : State.PendingUpdates) {
    if (name != Peer)
      order.emplace_back(telling.TransmitsLeft, name);
  }
  std::sort(order.rbegin(), order.rend());
  for (const auto &[left, name] : order) {
    if (chosen.size() >= State.Limits.MaxUpdatesPerFrame)
      break;
    PendingUpdate &telling = State.PendingUpdates.at(name);
    chosen.push_back(telling.News);
    --telling.TransmitsLeft;
    if (telling.TransmitsLeft == 0)
      State.PendingUpdates.erase(name);
  }
  return chosen;
}

std::uint64_t digestOf(const Member &Who) {
  Health shown = Who.State == Health::Suspect ? Health::Alive : Who.State;
  std::uint64_t parts[] = {
      XXH64(Who.Instance.Text.data(), Who.Instance.Text.size(), 0), Who.Life,
      Who.Stamp, static_cast<std::uint64_t>(shown)};
  return XXH64(parts, sizeof(parts), 0);
}

void applyPeerDigests(SwimState &State,
                      const std::vector<std::uint64_t> &Digests) {
  std::unordered_set<std::uint64_t> known(Digests.begin(), Digests.end());
  for (auto it = State.PendingUpdates.begin();
       it != State.PendingUpdates.end();) {
    auto next = std::next(it);
    if (known.contains(digestOf(it->second.News.Subject)))
      countKnown(State, it);
    it = next;
  }
}

std::vector<std::uint64_t> computeDigests(const SwimState &State) {
  std::vector<std::uint64_t> digests;
  digests.reserve(State.Members.size());
  for (const auto &[name, held] : State.Members)
    digests.push_back(digestOf(held.Who));
  return digests;
}

std::vector<MemberUpdate>
findMissingUpdates(const SwimState &State,
                   const std::vector<std::uint64_t> &Digests) {
  std::unordered_set<std::uint64_t> known(Digests.begin(), Digests.end());
  std::vector<MemberUpdate> news;
  for (const auto &[name, held] : State.Members) {
    if (known.contains(digestOf(held.Who)))
      continue;
    // Alive or suspect, the other side may not know it at all: tell it whole.
    MemberUpdate whole = newsOf(held);
    if (held.Who.State == Health::Suspect) {
      whole.Subject = held.Who;
      whole.Subject.State = Health::Alive;
    }
    news.push_back(std::move(whole));
  }
  return news;
}

Millis suspicionTimeout(const SwimSettings &Limits, std::size_t Members,
                        std::size_t Accusers, std::uint32_t LocalHealth) {
  double scale = std::max(
      1.0, std::log10(static_cast<double>(std::max<std::size_t>(Members, 1))));
  double least = scale * Limits.MinSuspicionPeriods *
                 static_cast<double>(Limits.ProbePeriod.count());
  double most = least * Limits.MaxSuspicionFactor;
  // Each further accuser shortens it, the first ones most.
  double further = static_cast<double>(std::max<std::size_t>(Accusers, 1) - 1);
  double wanted = static_cast<double>(std::max(Limits.Accusers, 2u) - 1);
  double share = std::min(1.0, std::log(further + 1) / std::log(wanted + 1));
  double span = most - (most - least) * share;
  // Who is not well itself gives the others more time.
  span *= 1.0 + 0.5 * LocalHealth;
  return Millis(static_cast<std::int64_t>(span));
}

std::vector<InstanceName> chooseRandomPeers(SwimState &State,
                                            const InstanceName &Target,
                                            std::size_t Count) {
  std::vector<InstanceName> names;
  for (const auto &[name, held] : State.Members) {
    if (name != Target && name != State.Self && held.Who.State == Health::Alive)
      names.push_back(name);
  }
  std::shuffle(names.begin(), names.end(), State.Random);
  if (names.size() > Count)
    names.resize(Count);
  return names;
}

View viewOf(const SwimState &State) {
  View view;
  view.Self = State.Self;
  view.MayBeIsolated = State.MayBeIsolated;
  for (const auto &[name, held] : State.Members)
    view.Members.emplace_hint(view.Members.end(), name, held.Who);
  return view;
}

std::string_view toText(Health State) {
  switch (State) {
  case Health::Alive:
    return "alive";
  case Health::Suspect:
    return "suspect";
  case Health::Leaving:
    return "leaving";
  case Health::Dead:
    return "dead";
  }
  return "alive";
}

} // namespace wasabi
