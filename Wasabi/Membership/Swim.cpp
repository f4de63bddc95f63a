#include "Wasabi/Membership/Swim.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace wasabi {
namespace {

/// Maximum local health score.
constexpr std::uint32_t MaxLocalHealth = 8;
/// Number of transmissions saved when a peer is found to know an update already
/// (Demers et al. 1987, rumor mongering with a counter).
constexpr std::uint32_t TransmitsSavedPerEcho = 4;
/// Number of transmissions of a refutation that a peer has missed.
constexpr std::uint32_t RefutationTransmits = 2;
/// Minimum number of unreachable members at which this process may consider
/// itself isolated.
constexpr std::size_t MinUnreachableMembers = 2;

constexpr char ByItself[] = "itself";
constexpr char ByList[] = "list";
constexpr char ByProbe[] = "probe";
constexpr char ByPeers[] = "peers";
constexpr char ByListAndProbe[] = "list+probe";
constexpr char ByLeavingAndProbe[] = "leaving+probe";
constexpr char BySuspicion[] = "probe+peers";

/// State of applying one event.
struct EventContext {
  SwimState &State;
  TimePoint Now;
  SwimEffects Effects;
  /// True if the number of updates indicates a digest exchange.
  bool IsBulk = false;
};

bool isSelf(const SwimState &State, const InstanceName &Name) {
  return Name == State.Self;
}

bool isPresent(const SwimMember &Entry) {
  return Entry.Info.State != Health::Dead;
}

std::size_t countPresent(const SwimState &State) {
  std::size_t count = 0;
  for (const auto &[name, entry] : State.Members)
    count += isPresent(entry) ? 1 : 0;
  return count;
}

/// Returns the complete state of an alive member; for other members only
/// identity and health.
MemberUpdate makeUpdate(const SwimMember &Entry) {
  MemberUpdate update;
  update.Subject = Entry.Info;
  if (Entry.Info.State == Health::Alive)
    return update;
  Member healthOnly;
  healthOnly.Instance = Entry.Info.Instance;
  healthOnly.Domain = Entry.Info.Domain;
  healthOnly.Kind = Entry.Info.Kind;
  healthOnly.Life = Entry.Info.Life;
  healthOnly.State = Entry.Info.State;
  healthOnly.Stamp = Entry.Info.Stamp;
  update.Subject = std::move(healthOnly);
  return update;
}

/// Returns an update without addresses and failure domain, for changes of
/// servers or stamp only. These changes are the most frequent, and addresses
/// are most of a member's size.
MemberUpdate makePartialUpdate(const SwimMember &Entry) {
  MemberUpdate update = makeUpdate(Entry);
  update.Subject.Domain = DomainName();
  update.Subject.Requests = Address();
  update.Subject.Control = Address();
  update.Subject.Admin = Address();
  return update;
}

/// Returns true if an update covers only servers and stamp.
bool isPartialUpdate(const MemberUpdate &Update) {
  return Update.Subject.State == Health::Alive &&
         Update.Subject.Control.empty();
}

std::uint32_t transmitCount(const SwimState &State, bool Partial) {
  const SwimSettings &limits = State.Limits;
  std::uint32_t factor =
      Partial ? limits.ServerRetransmitFactor : limits.RetransmitFactor;
  double members = static_cast<double>(countPresent(State) + 1);
  std::uint32_t rounds =
      static_cast<std::uint32_t>(std::ceil(std::log(members)));
  return std::max(factor * rounds, 1u);
}

void queueUpdate(EventContext &Context, MemberUpdate Update) {
  InstanceName name = Update.Subject.Instance;
  // A pending update with addresses must not be replaced by one without.
  auto entry = Context.State.PendingUpdates.find(name);
  if (isPartialUpdate(Update) && entry != Context.State.PendingUpdates.end() &&
      !entry->second.Update.Subject.Control.empty())
    Update = makeUpdate(Context.State.Members.at(name));
  std::uint32_t times = transmitCount(Context.State, isPartialUpdate(Update));
  // Other members obtain the result of a digest exchange by their own
  // exchanges.
  if (Context.IsBulk)
    times = 1;
  Context.State.PendingUpdates[name] = PendingUpdate{std::move(Update), times};
}

/// Records a change of health, or of other state with the same health.
void recordChange(EventContext &Context, SwimMember &Entry, Health Was,
                  std::string Witness) {
  Context.Effects.ViewChanged = true;
  Health now = Entry.Info.State;
  if (now != Health::Suspect)
    Entry.Accusers.clear();
  if (now == Was)
    return;
  Entry.HealthSince = Context.Now;
  if (now == Health::Leaving)
    Entry.HasLeft = true;
  Context.Effects.Changes.push_back(HealthChange{
      Entry.Info.Instance, Entry.Info.Life, now, std::move(Witness)});
  // Leaving and dead members must receive no more work, so this is sent
  // immediately.
  if (now == Health::Leaving || now == Health::Dead)
    Context.Effects.Urgent.push_back(makeUpdate(Entry));
}

void setHealth(EventContext &Context, SwimMember &Entry, Health NewHealth,
               std::string Witness) {
  Health was = Entry.Info.State;
  Entry.Info.State = NewHealth;
  recordChange(Context, Entry, was, std::move(Witness));
  queueUpdate(Context, makeUpdate(Entry));
}

void suspect(EventContext &Context, SwimMember &Entry,
             const InstanceName &Accuser, const char *Witness) {
  if (Entry.Info.State != Health::Alive && Entry.Info.State != Health::Suspect)
    return;
  bool enough =
      Entry.Accusers.size() >= Context.State.Limits.MinSuspicionAccusers;
  bool known = Entry.Accusers.contains(Accuser);
  if (Entry.Info.State == Health::Suspect && (enough || known))
    return;
  if (Entry.Info.State == Health::Alive)
    setHealth(Context, Entry, Health::Suspect, Witness);
  Entry.Accusers.insert(Accuser);
  MemberUpdate update = makeUpdate(Entry);
  update.Accuser = Accuser;
  queueUpdate(Context, std::move(update));
}

/// Inserts a new member at a random position, so that it waits half a round on
/// average.
void insertIntoProbes(SwimState &State, const InstanceName &Name) {
  std::size_t at = State.Random() % (State.ProbeOrder.size() + 1);
  State.ProbeOrder.insert(
      State.ProbeOrder.begin() + static_cast<std::ptrdiff_t>(at), Name);
}

SwimMember &addMember(EventContext &Context, Member Info, std::string Witness) {
  InstanceName name = Info.Instance;
  SwimMember &entry = Context.State.Members[name];
  entry = SwimMember();
  Context.State.PendingUpdates.erase(name);
  entry.Info = std::move(Info);
  entry.HealthSince = Context.Now;
  entry.HasLeft = entry.Info.State == Health::Leaving;
  if (std::find(Context.State.ProbeOrder.begin(),
                Context.State.ProbeOrder.end(),
                name) == Context.State.ProbeOrder.end())
    insertIntoProbes(Context.State, name);
  Context.Effects.ViewChanged = true;
  Context.Effects.Changes.push_back(HealthChange{
      name, entry.Info.Life, entry.Info.State, std::move(Witness)});
  return entry;
}

// ---- This process ----

Member &selfOf(SwimState &State) { return State.Members.at(State.Self).Info; }

void announceSelf(EventContext &Context, bool IsComplete) {
  SwimMember &entry = Context.State.Members.at(Context.State.Self);
  ++entry.Info.Stamp;
  Context.Effects.ViewChanged = true;
  queueUpdate(Context,
              IsComplete ? makeUpdate(entry) : makePartialUpdate(entry));
}

/// Leaving is final, whatever its source: no more work is sent here.
void leaveSelf(EventContext &Context, const char *Witness) {
  SwimMember &entry = Context.State.Members.at(Context.State.Self);
  if (entry.HasLeft)
    return;
  ++entry.Info.Stamp;
  setHealth(Context, entry, Health::Leaving, Witness);
}

/// Applies an update about this process.
void applyUpdateAboutSelf(EventContext &Context, const Member &Reported) {
  Member &self = selfOf(Context.State);
  if (Reported.Life != self.Life)
    return;
  if (Reported.State == Health::Leaving) {
    leaveSelf(Context, ByPeers);
    return;
  }
  bool accused =
      Reported.State == Health::Suspect || Reported.State == Health::Dead;
  if (Reported.Stamp < self.Stamp) {
    // The sender has missed an earlier refutation; send it again.
    if (accused && !Context.State.PendingUpdates.contains(Context.State.Self))
      Context.State.PendingUpdates[Context.State.Self] = PendingUpdate{
          makeUpdate(Context.State.Members.at(Context.State.Self)),
          RefutationTransmits};
    return;
  }
  if (accused) {
    // Only this process can refute the report, with a greater stamp. A
    // suspicion also indicates that this process is slow.
    self.Stamp = Reported.Stamp;
    Context.State.LocalHealth =
        std::min(Context.State.LocalHealth + 1, MaxLocalHealth);
    announceSelf(Context, true);
  } else if (Reported.Stamp > self.Stamp) {
    self.Stamp = Reported.Stamp;
    announceSelf(Context, true);
  }
}

// ---- Updates ----

/// Copies the state that a member reports of itself; health-only updates have
/// none.
void copySelfReported(Member &Target, const Member &Source) {
  if (Source.State != Health::Alive)
    return;
  Target.Servers = Source.Servers;
  if (Source.Control.empty())
    return;
  Target.Domain = Source.Domain;
  Target.Kind = Source.Kind;
  Target.Requests = Source.Requests;
  Target.Control = Source.Control;
  Target.Admin = Source.Admin;
}

/// Applies an update about an unknown incarnation.
void applyNewIncarnation(EventContext &Context, const MemberUpdate &Update) {
  const Member &reported = Update.Subject;
  // A member without addresses is ignored, except that a leaving or dead one is
  // kept to reject older updates.
  bool isTombstone =
      reported.State == Health::Leaving || reported.State == Health::Dead;
  if (!isTombstone && reported.Control.empty())
    return;
  SwimMember &entry = addMember(Context, reported, ByPeers);
  if (reported.State == Health::Leaving)
    Context.Effects.Urgent.push_back(makeUpdate(entry));
  queueUpdate(Context, makeUpdate(entry));
}

/// Reduces the remaining transmissions, as one more process knows the update.
void reduceTransmits(SwimState &State,
                     std::map<InstanceName, PendingUpdate>::iterator At) {
  std::uint32_t &left = At->second.TransmitsLeft;
  left -= std::min(left, TransmitsSavedPerEcho);
  if (left == 0)
    State.PendingUpdates.erase(At);
}

/// A known update needs fewer transmissions.
void countRedundantUpdate(EventContext &Context, const MemberUpdate &Update) {
  auto found = Context.State.PendingUpdates.find(Update.Subject.Instance);
  if (found == Context.State.PendingUpdates.end())
    return;
  const Member &own = found->second.Update.Subject;
  const Member &reported = Update.Subject;
  if (own.Life != reported.Life || own.Stamp != reported.Stamp ||
      own.State != reported.State ||
      found->second.Update.Accuser != Update.Accuser)
    return;
  reduceTransmits(Context.State, found);
}

/// Leaving is final, regardless of the stamp.
void applyLeaving(EventContext &Context, SwimMember &Entry,
                  const Member &Reported) {
  if (Entry.HasLeft)
    return;
  Entry.Info.Stamp = std::max(Entry.Info.Stamp, Reported.Stamp);
  if (Entry.Info.State == Health::Dead)
    Entry.HasLeft = true;
  else
    setHealth(Context, Entry, Health::Leaving, ByPeers);
}

void applyAlive(EventContext &Context, SwimMember &Entry,
                const MemberUpdate &Update) {
  const Member &reported = Update.Subject;
  if (reported.Stamp <= Entry.Info.Stamp) {
    countRedundantUpdate(Context, Update);
    return;
  }
  // A partial update about a member that is known only from the list lacks its
  // addresses.
  if (Entry.Info.Stamp == 0 && reported.Control.empty())
    return;
  Health was = Entry.Info.State;
  copySelfReported(Entry.Info, reported);
  Entry.Info.Stamp = reported.Stamp;
  // A greater stamp comes from the member itself and refutes suspicion and
  // death, but not leaving.
  if (!Entry.HasLeft) {
    Entry.Info.State = Health::Alive;
    Entry.LastProbeFailed = false;
  }
  recordChange(Context, Entry, was, ByItself);
  if (!Entry.HasLeft)
    queueUpdate(Context, reported.Control.empty() ? makePartialUpdate(Entry)
                                                  : makeUpdate(Entry));
}

/// Returns true if there is evidence other than the sender's report that a
/// member is gone.
bool hasOtherWitness(const SwimMember &Entry, const InstanceName &Sender) {
  if (Entry.LastProbeFailed || Entry.RemovedFromList || Entry.HasLeft)
    return true;
  return std::any_of(Entry.Accusers.begin(), Entry.Accusers.end(),
                     [&](const InstanceName &it) { return it != Sender; });
}

/// A single process may be isolated: its report that a member is dead counts as
/// a suspicion until there is other evidence.
void applyDead(EventContext &Context, SwimMember &Entry,
               const InstanceName &Sender) {
  if (hasOtherWitness(Entry, Sender)) {
    setHealth(Context, Entry, Health::Dead, ByPeers);
    return;
  }
  suspect(Context, Entry, Sender, ByPeers);
  Context.Effects.Probes.push_back(Entry.Info.Instance);
}

void applySuspectOrDead(EventContext &Context, SwimMember &Entry,
                        const MemberUpdate &Update,
                        const InstanceName &Sender) {
  const Member &reported = Update.Subject;
  if (reported.Stamp < Entry.Info.Stamp || Entry.Info.State == Health::Dead) {
    countRedundantUpdate(Context, Update);
    return;
  }
  Entry.Info.Stamp = reported.Stamp;
  if (reported.State == Health::Dead) {
    applyDead(Context, Entry, Sender);
    return;
  }
  countRedundantUpdate(Context, Update);
  suspect(Context, Entry, Update.Accuser, ByPeers);
}

void applyUpdate(EventContext &Context, const MemberUpdate &Update,
                 const InstanceName &Sender) {
  const Member &reported = Update.Subject;
  if (isSelf(Context.State, reported.Instance)) {
    applyUpdateAboutSelf(Context, reported);
    return;
  }
  auto found = Context.State.Members.find(reported.Instance);
  if (found == Context.State.Members.end() ||
      reported.Life > found->second.Info.Life) {
    applyNewIncarnation(Context, Update);
    return;
  }
  SwimMember &entry = found->second;
  if (reported.Life < entry.Info.Life)
    return;
  if (reported.State == Health::Leaving)
    applyLeaving(Context, entry, reported);
  else if (reported.State == Health::Alive)
    applyAlive(Context, entry, Update);
  else
    applySuspectOrDead(Context, entry, Update, Sender);
}

// ---- Probes ----

/// Selects the next member of a round in random order, so that each member is
/// probed at least once in two rounds.
void chooseProbe(EventContext &Context) {
  SwimState &state = Context.State;
  for (std::size_t n = 0; n <= state.ProbeOrder.size(); ++n) {
    if (state.NextProbeIndex >= state.ProbeOrder.size()) {
      std::shuffle(state.ProbeOrder.begin(), state.ProbeOrder.end(),
                   state.Random);
      state.NextProbeIndex = 0;
      if (state.ProbeOrder.empty())
        return;
    }
    const InstanceName &name = state.ProbeOrder[state.NextProbeIndex];
    ++state.NextProbeIndex;
    if (isPresent(state.Members.at(name))) {
      Context.Effects.Probes.push_back(name);
      return;
    }
  }
}

/// Selects a random dead member, so that both sides of a network partition find
/// each other after it heals.
void chooseDeadProbe(EventContext &Context) {
  std::vector<InstanceName> dead;
  for (const auto &[name, entry] : Context.State.Members) {
    if (!isPresent(entry) && !entry.HasLeft && !entry.Info.Control.empty())
      dead.push_back(name);
  }
  if (!dead.empty())
    Context.Effects.Probes.push_back(
        dead[Context.State.Random() % dead.size()]);
}

/// Returns true if most of the recently probed members failed, or most of the
/// view is suspect.
bool detectIsolation(const SwimState &State) {
  std::map<InstanceName, bool> last;
  for (const ProbeResult &it : State.RecentProbes)
    last[it.Target] = it.Reached;
  std::size_t failed = 0;
  for (const auto &[name, reached] : last)
    failed += reached ? 0 : 1;
  if (failed >= MinUnreachableMembers && 2 * failed > last.size())
    return true;

  std::size_t suspects = 0;
  for (const auto &[name, entry] : State.Members)
    suspects += entry.Info.State == Health::Suspect ? 1 : 0;
  std::size_t others = countPresent(State) - 1;
  return suspects >= MinUnreachableMembers && 2 * suspects > others;
}

void updateIsolation(EventContext &Context) {
  bool isolated = detectIsolation(Context.State);
  if (isolated == Context.State.MayBeIsolated)
    return;
  Context.Effects.ViewChanged = true;
  Context.State.MayBeIsolated = isolated;
  if (isolated)
    return;
  // Suspicions raised during the isolation may be wrong: restart their
  // timeouts.
  for (auto &[name, entry] : Context.State.Members) {
    if (entry.Info.State != Health::Suspect)
      continue;
    entry.HealthSince = Context.Now;
    entry.Accusers.clear();
    entry.LastProbeFailed = false;
  }
}

void endProbe(EventContext &Context, const ProbeEnded &Event) {
  SwimState &state = Context.State;
  auto found = state.Members.find(Event.Target);
  if (found == state.Members.end() || found->second.Info.Life != Event.Life)
    return;
  SwimMember &entry = found->second;
  entry.LastProbeFailed = !Event.Reached;
  if (entry.Info.State == Health::Dead)
    return;
  state.RecentProbes.push_back(ProbeResult{Event.Target, Event.Reached});
  if (state.RecentProbes.size() > state.Limits.IsolationProbeWindow)
    state.RecentProbes.pop_front();

  if (Event.Reached) {
    state.LocalHealth -= std::min(state.LocalHealth, 1u);
  } else {
    // If no helper answers either, the fault may be local.
    if (!Event.PeersAnswered)
      state.LocalHealth = std::min(state.LocalHealth + 1, MaxLocalHealth);
    if (entry.HasLeft)
      setHealth(Context, entry, Health::Dead, ByLeavingAndProbe);
    else if (entry.RemovedFromList)
      setHealth(Context, entry, Health::Dead, ByListAndProbe);
    else
      suspect(Context, entry, state.Self, ByProbe);
  }
  updateIsolation(Context);
}

// ---- The platform's list ----

Member makeMember(const ListedInstance &Line) {
  Member member;
  member.Instance = Line.Instance;
  member.Domain = Line.Domain;
  member.Kind = Line.Kind;
  member.Life = Line.Life;
  member.Control = Line.ControlAddress;
  member.Admin = Line.AdminAddress;
  member.State = Line.Leaving ? Health::Leaving : Health::Alive;
  return member;
}

void applyListLine(EventContext &Context, const ListedInstance &Line) {
  auto found = Context.State.Members.find(Line.Instance);
  if (found == Context.State.Members.end() ||
      Line.Life > found->second.Info.Life) {
    // The list has no stamp, so any update by the member itself replaces this
    // entry.
    addMember(Context, makeMember(Line), ByList).WasListed = true;
    return;
  }
  SwimMember &entry = found->second;
  if (Line.Life < entry.Info.Life)
    return;
  entry.WasListed = true;
  entry.RemovedFromList = false;
  if (Line.Leaving && !entry.HasLeft && entry.Info.State != Health::Dead)
    setHealth(Context, entry, Health::Leaving, ByList);
}

/// Handles a member that the platform no longer lists.
void applyRemoval(EventContext &Context, SwimMember &Entry) {
  Entry.RemovedFromList = true;
  if (Entry.Info.State == Health::Dead)
    return;
  if (Entry.LastProbeFailed)
    setHealth(Context, Entry, Health::Dead, ByListAndProbe);
  else
    Context.Effects.Probes.push_back(Entry.Info.Instance);
}

void applyList(EventContext &Context, const ListRead &Event) {
  std::map<InstanceName, Incarnation> listed;
  for (const ListedInstance &it : Event.Lines) {
    listed[it.Instance] = it.Life;
    if (!isSelf(Context.State, it.Instance))
      applyListLine(Context, it);
    else if (it.Leaving && it.Life == selfOf(Context.State).Life)
      leaveSelf(Context, ByList);
  }
  // A list that lacks this process is no evidence of removals.
  auto self = listed.find(Context.State.Self);
  Incarnation life = selfOf(Context.State).Life;
  Context.Effects.SelfMissingFromList =
      self == listed.end() || self->second < life;
  if (Context.Effects.SelfMissingFromList)
    return;
  for (auto &[name, entry] : Context.State.Members) {
    if (entry.WasListed && !entry.RemovedFromList && !listed.contains(name) &&
        !isSelf(Context.State, name))
      applyRemoval(Context, entry);
  }
}

// ---- Time ----

/// Excludes a pause of this process from the suspicion timeouts.
void excludeProcessPause(EventContext &Context) {
  SwimState &state = Context.State;
  Micros gap = Context.Now - state.LastTickTime;
  state.LastTickTime = Context.Now;
  if (gap <= state.Limits.ProcessPauseThreshold)
    return;
  state.LocalHealth = std::min(state.LocalHealth + 2, MaxLocalHealth);
  for (auto &[name, entry] : state.Members) {
    if (entry.Info.State == Health::Suspect)
      entry.HealthSince += gap;
  }
}

void expireSuspicions(EventContext &Context) {
  SwimState &state = Context.State;
  if (state.MayBeIsolated)
    return;
  std::size_t members = countPresent(state);
  for (auto &[name, entry] : state.Members) {
    if (entry.Info.State != Health::Suspect)
      continue;
    Millis timeout = suspicionTimeout(state.Limits, members,
                                      entry.Accusers.size(), state.LocalHealth);
    if (Context.Now - entry.HealthSince >= timeout)
      setHealth(Context, entry, Health::Dead, BySuspicion);
  }
}

void removeExpiredMembers(EventContext &Context) {
  SwimState &state = Context.State;
  for (auto it = state.Members.begin(); it != state.Members.end();) {
    const SwimMember &entry = it->second;
    bool old =
        Context.Now - entry.HealthSince >= state.Limits.DeadMemberRetention;
    if (isPresent(entry) || !old) {
      ++it;
      continue;
    }
    std::erase(state.ProbeOrder, it->first);
    state.PendingUpdates.erase(it->first);
    Context.Effects.ViewChanged = true;
    it = state.Members.erase(it);
  }
}

// ---- Event handlers ----

void handle(EventContext &Context, const ProbeDue &) {
  chooseProbe(Context);
  ++Context.State.ProbeCount;
  if (Context.State.ProbeCount % Context.State.Limits.ProbesPerDeadProbe == 0)
    chooseDeadProbe(Context);
}

void handle(EventContext &Context, const ProbeEnded &Event) {
  endProbe(Context, Event);
}

void handle(EventContext &Context, const UpdatesReceived &Event) {
  Context.IsBulk =
      Event.Updates.size() > 2 * Context.State.Limits.MaxUpdatesPerFrame;
  for (const MemberUpdate &it : Event.Updates)
    applyUpdate(Context, it, Event.From);
  updateIsolation(Context);
}

void handle(EventContext &Context, const ListRead &Event) {
  applyList(Context, Event);
}

void handle(EventContext &Context, const RequestFailed &Event) {
  // A failed request is weak evidence, so the member is only probed earlier.
  auto found = Context.State.Members.find(Event.Target);
  if (found != Context.State.Members.end() && isPresent(found->second) &&
      !isSelf(Context.State, Event.Target))
    Context.Effects.Probes.push_back(Event.Target);
}

void handle(EventContext &Context, const TimePassed &) {
  excludeProcessPause(Context);
  updateIsolation(Context);
  expireSuspicions(Context);
  removeExpiredMembers(Context);
}

void handle(EventContext &Context, const ServersChanged &Event) {
  if (selfOf(Context.State).Servers == Event.Servers)
    return;
  selfOf(Context.State).Servers = Event.Servers;
  announceSelf(Context, false);
}

void handle(EventContext &Context, const SelfLeaves &) {
  leaveSelf(Context, ByItself);
}

} // namespace

SwimState startSwim(SwimSettings Limits, Member Self, std::uint64_t Seed,
                    TimePoint Now) {
  SwimState state;
  state.Limits = Limits;
  state.Self = Self.Instance;
  state.Random.seed(Seed);
  state.LastTickTime = Now;
  Self.Stamp = 0;
  Self.State = Health::Alive;
  SwimMember &entry = state.Members[state.Self];
  entry.Info = std::move(Self);
  entry.HealthSince = Now;
  EventContext context{state, Now, {}, false};
  announceSelf(context, true);
  return state;
}

SwimEffects applySwimEvent(SwimState &State, const SwimEvent &Event,
                           TimePoint Now) {
  EventContext context{State, Now, {}, false};
  std::visit([&](const auto &it) { handle(context, it); }, Event);
  // Limits the burst; the remaining members are probed in their regular turn.
  if (context.Effects.Probes.size() > State.Limits.MaxProbes)
    context.Effects.Probes.resize(State.Limits.MaxProbes);
  return std::move(context.Effects);
}

std::vector<MemberUpdate> takeUpdatesFor(SwimState &State,
                                         const InstanceName &Peer) {
  std::vector<MemberUpdate> chosen;
  auto peer = State.Members.find(Peer);
  if (peer != State.Members.end() && peer->second.Info.State != Health::Alive)
    chosen.push_back(makeUpdate(peer->second));

  // The least transmitted updates go first.
  std::vector<std::pair<std::uint32_t, InstanceName>> order;
  for (const auto &[name, pending] : State.PendingUpdates) {
    if (name != Peer)
      order.emplace_back(pending.TransmitsLeft, name);
  }
  std::sort(order.rbegin(), order.rend());
  for (const auto &[left, name] : order) {
    if (chosen.size() >= State.Limits.MaxUpdatesPerFrame)
      break;
    PendingUpdate &pending = State.PendingUpdates.at(name);
    chosen.push_back(pending.Update);
    --pending.TransmitsLeft;
    if (pending.TransmitsLeft == 0)
      State.PendingUpdates.erase(name);
  }
  return chosen;
}

std::uint64_t computeMemberDigest(const Member &Info) {
  Health shown = Info.State == Health::Suspect ? Health::Alive : Info.State;
  std::uint64_t parts[] = {
      XXH64(Info.Instance.Text.data(), Info.Instance.Text.size(), 0), Info.Life,
      Info.Stamp, static_cast<std::uint64_t>(shown)};
  return XXH64(parts, sizeof(parts), 0);
}

void applyPeerDigests(SwimState &State,
                      const std::vector<std::uint64_t> &Digests) {
  std::unordered_set<std::uint64_t> known(Digests.begin(), Digests.end());
  for (auto it = State.PendingUpdates.begin();
       it != State.PendingUpdates.end();) {
    auto next = std::next(it);
    if (known.contains(computeMemberDigest(it->second.Update.Subject)))
      reduceTransmits(State, it);
    it = next;
  }
}

std::vector<std::uint64_t> computeDigests(const SwimState &State) {
  std::vector<std::uint64_t> digests;
  digests.reserve(State.Members.size());
  for (const auto &[name, entry] : State.Members)
    digests.push_back(computeMemberDigest(entry.Info));
  return digests;
}

std::vector<MemberUpdate>
findMissingUpdates(const SwimState &State,
                   const std::vector<std::uint64_t> &Digests) {
  std::unordered_set<std::uint64_t> known(Digests.begin(), Digests.end());
  std::vector<MemberUpdate> updates;
  for (const auto &[name, entry] : State.Members) {
    if (known.contains(computeMemberDigest(entry.Info)))
      continue;
    // The other side may not know an alive or suspect member, so send its
    // complete state.
    MemberUpdate whole = makeUpdate(entry);
    if (entry.Info.State == Health::Suspect) {
      whole.Subject = entry.Info;
      whole.Subject.State = Health::Alive;
    }
    updates.push_back(std::move(whole));
  }
  return updates;
}

Millis suspicionTimeout(const SwimSettings &Limits, std::size_t Members,
                        std::size_t Accusers, std::uint32_t LocalHealth) {
  double scale = std::max(
      1.0, std::log10(static_cast<double>(std::max<std::size_t>(Members, 1))));
  double least = scale * Limits.MinSuspicionPeriods *
                 static_cast<double>(Limits.PeerProbeInterval.count());
  double most = least * Limits.MaxSuspicionFactor;
  // Each further accuser shortens the timeout, with a decreasing effect.
  double further = static_cast<double>(std::max<std::size_t>(Accusers, 1) - 1);
  double needed =
      static_cast<double>(std::max(Limits.MinSuspicionAccusers, 2u) - 1);
  double share = std::min(1.0, std::log(further + 1) / std::log(needed + 1));
  double span = most - (most - least) * share;
  // An unhealthy process allows the others more time.
  span *= 1.0 + 0.5 * LocalHealth;
  return Millis(static_cast<std::int64_t>(span));
}

std::vector<InstanceName> chooseRandomPeers(SwimState &State,
                                            const InstanceName &Target,
                                            std::size_t Count) {
  std::vector<InstanceName> names;
  for (const auto &[name, entry] : State.Members) {
    if (name != Target && name != State.Self &&
        entry.Info.State == Health::Alive)
      names.push_back(name);
  }
  std::shuffle(names.begin(), names.end(), State.Random);
  if (names.size() > Count)
    names.resize(Count);
  return names;
}

View makeMembershipView(const SwimState &State) {
  View view;
  view.Self = State.Self;
  view.MayBeIsolated = State.MayBeIsolated;
  for (const auto &[name, entry] : State.Members)
    view.Members.emplace_hint(view.Members.end(), name, entry.Info);
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
