#include "Wasabi/Membership/Swim.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace wasabi {
namespace {

constexpr TimePoint Start{Micros(1000000)};

Member makeMember(const std::string &Name, Incarnation Life = 1) {
  Member member;
  member.Instance = InstanceName(Name);
  member.Domain = DomainName("lulea-hall");
  member.Life = Life;
  member.Control = Address{"127.0.0.1", 1000};
  member.Stamp = 1;
  return member;
}

MemberUpdate aliveUpdate(const std::string &Name, Incarnation Life = 1,
                         std::uint64_t Stamp = 1) {
  Member member = makeMember(Name, Life);
  member.Stamp = Stamp;
  return MemberUpdate{member, {}};
}

MemberUpdate healthUpdate(const std::string &Name, Health State,
                          std::uint64_t Stamp,
                          const std::string &Accuser = "") {
  Member member;
  member.Instance = InstanceName(Name);
  member.Life = 1;
  member.State = State;
  member.Stamp = Stamp;
  return MemberUpdate{member, InstanceName(Accuser)};
}

/// Returns the state of `self` with these members known.
SwimState stateWith(const std::vector<std::string> &Names) {
  SwimState state = startSwim(SwimSettings(), makeMember("self"), 7, Start);
  UpdatesReceived event;
  for (const std::string &it : Names)
    event.Updates.push_back(aliveUpdate(it));
  applySwimEvent(state, event, Start);
  return state;
}

Health healthOf(const SwimState &State, const std::string &Name) {
  return State.Members.at(InstanceName(Name)).Info.State;
}

SwimEffects receive(SwimState &State, MemberUpdate Update, TimePoint At = Start,
                    const std::string &From = "b") {
  UpdatesReceived event;
  event.From = InstanceName(From);
  event.Updates.push_back(std::move(Update));
  return applySwimEvent(State, event, At);
}

SwimEffects endProbe(SwimState &State, const std::string &Name, bool Reached,
                     TimePoint At = Start) {
  return applySwimEvent(State, ProbeEnded{InstanceName(Name), 1, Reached, true},
                        At);
}

/// Advances the time in steps too short to count as a pause of the process.
TimePoint advance(SwimState &State, TimePoint From, Millis Span) {
  constexpr Millis StepSpan(100);
  for (Millis n(0); n < Span; n += StepSpan) {
    From += StepSpan;
    applySwimEvent(State, TimePassed(), From);
  }
  return From;
}

ListedInstance listLine(const std::string &Name, bool Leaving = false) {
  ListedInstance line;
  line.Instance = InstanceName(Name);
  line.Domain = DomainName("lulea-hall");
  line.ControlAddress = Address{"127.0.0.1", 1000};
  line.Leaving = Leaving;
  line.Life = 1;
  return line;
}

const std::vector<std::string> Five = {"a", "b", "c", "d", "e"};

} // namespace

TEST_CASE("A member is suspect after a failed probe and dead after the timeout",
          "[membership][swim]") {
  SwimState state = stateWith(Five);
  endProbe(state, "a", false);
  CHECK(healthOf(state, "a") == Health::Suspect);
  Millis longest = suspicionTimeout(state.Limits, 6, 1, 0);
  TimePoint now = advance(state, Start, longest - Millis(200));
  CHECK(healthOf(state, "a") == Health::Suspect);
  advance(state, now, Millis(400));
  CHECK(healthOf(state, "a") == Health::Dead);
}

TEST_CASE("Only distinct accusers shorten a suspicion", "[membership][swim]") {
  SwimSettings limits;
  CHECK(suspicionTimeout(limits, 10, 1, 0) == Millis(6000));
  CHECK(suspicionTimeout(limits, 10, 3, 0) == Millis(2000));
  CHECK(suspicionTimeout(limits, 10, 9, 0) == Millis(2000));
  CHECK(suspicionTimeout(limits, 10, 2, 0) < Millis(6000));
  CHECK(suspicionTimeout(limits, 10, 3, 8) == Millis(10000));
  CHECK(suspicionTimeout(limits, 1000, 3, 0) == Millis(6000));

  SwimState state = stateWith(Five);
  receive(state, healthUpdate("a", Health::Suspect, 1, "b"));
  receive(state, healthUpdate("a", Health::Suspect, 1, "b"));
  CHECK(state.Members.at(InstanceName("a")).Accusers.size() == 1);
  receive(state, healthUpdate("a", Health::Suspect, 1, "c"));
  CHECK(state.Members.at(InstanceName("a")).Accusers.size() == 2);
}

TEST_CASE("Only the member itself refutes a suspicion", "[membership][swim]") {
  SwimState state = stateWith(Five);
  endProbe(state, "a", false);
  receive(state, aliveUpdate("a", 1, 1));
  CHECK(healthOf(state, "a") == Health::Suspect);
  receive(state, aliveUpdate("a", 1, 2));
  CHECK(healthOf(state, "a") == Health::Alive);
  // An update older than the refutation has no effect.
  receive(state, healthUpdate("a", Health::Suspect, 1, "b"));
  CHECK(healthOf(state, "a") == Health::Alive);
}

TEST_CASE("A process refutes reports that it is suspect or dead",
          "[membership][swim]") {
  for (Health said : {Health::Suspect, Health::Dead}) {
    SwimState state = stateWith(Five);
    std::uint64_t before = state.Members.at(state.Self).Info.Stamp;
    receive(state, healthUpdate("self", said, before, "a"));
    CHECK(healthOf(state, "self") == Health::Alive);
    CHECK(state.Members.at(state.Self).Info.Stamp > before);
    std::vector<MemberUpdate> updates =
        takeUpdatesFor(state, InstanceName("a"));
    CHECK(std::any_of(
        updates.begin(), updates.end(), [&](const MemberUpdate &it) {
          return it.Subject.Instance == state.Self && it.Subject.Stamp > before;
        }));
  }
}

TEST_CASE("A single report that a member is dead only makes it suspect",
          "[membership][witness]") {
  SwimState state = stateWith(Five);
  SwimEffects effects =
      receive(state, healthUpdate("a", Health::Dead, 1), Start, "b");
  CHECK(effects.Probes == std::vector<InstanceName>{InstanceName("a")});
  CHECK(healthOf(state, "a") == Health::Suspect);
  receive(state, healthUpdate("a", Health::Dead, 1), Start, "b");
  CHECK(healthOf(state, "a") == Health::Suspect);
  receive(state, healthUpdate("a", Health::Dead, 1), Start, "c");
  CHECK(healthOf(state, "a") == Health::Dead);
}

TEST_CASE("A dead member returns to alive by a newer update of its own",
          "[membership][swim]") {
  SwimState state = stateWith(Five);
  endProbe(state, "a", false);
  receive(state, healthUpdate("a", Health::Dead, 1));
  CHECK(healthOf(state, "a") == Health::Dead);
  receive(state, aliveUpdate("a", 1, 1));
  CHECK(healthOf(state, "a") == Health::Dead);
  receive(state, aliveUpdate("a", 1, 2));
  CHECK(healthOf(state, "a") == Health::Alive);
}

TEST_CASE("Leaving is sent immediately and is final for the incarnation",
          "[membership][swim]") {
  SwimState state = stateWith(Five);
  SwimEffects effects = receive(state, healthUpdate("a", Health::Leaving, 1));
  REQUIRE(effects.Urgent.size() == 1);
  CHECK(healthOf(state, "a") == Health::Leaving);
  receive(state, aliveUpdate("a", 1, 99));
  CHECK(healthOf(state, "a") == Health::Leaving);
  receive(state, healthUpdate("a", Health::Suspect, 99, "b"));
  CHECK(healthOf(state, "a") == Health::Leaving);
  endProbe(state, "a", false);
  CHECK(healthOf(state, "a") == Health::Dead);
  receive(state, aliveUpdate("a", 1, 100));
  CHECK(healthOf(state, "a") == Health::Dead);
  // A new incarnation of the instance is a new member.
  receive(state, aliveUpdate("a", 2, 1));
  CHECK(healthOf(state, "a") == Health::Alive);
}

TEST_CASE("Updates about an older incarnation are ignored",
          "[membership][swim]") {
  SwimState state = stateWith({});
  receive(state, aliveUpdate("a", 5));
  receive(state, healthUpdate("a", Health::Leaving, 9));
  CHECK(healthOf(state, "a") == Health::Alive);
}

TEST_CASE("The list can report that a member or this process is leaving",
          "[membership][witness]") {
  SwimState byList = stateWith(Five);
  applySwimEvent(byList, ListRead{{listLine("self"), listLine("a", true)}},
                 Start);
  CHECK(healthOf(byList, "a") == Health::Leaving);

  SwimState self = stateWith(Five);
  applySwimEvent(self, ListRead{{listLine("self", true)}}, Start);
  CHECK(healthOf(self, "self") == Health::Leaving);
}

TEST_CASE("Neither a failed request nor a removal from the list alone makes a "
          "member dead",
          "[membership][witness]") {
  // A failed request only triggers a probe.
  SwimState state = stateWith(Five);
  SwimEffects effects =
      applySwimEvent(state, RequestFailed{InstanceName("a")}, Start);
  CHECK(effects.Probes == std::vector<InstanceName>{InstanceName("a")});
  CHECK(healthOf(state, "a") == Health::Alive);

  // A removal from the list only triggers a probe; a failed probe then confirms
  // it.
  applySwimEvent(
      state, ListRead{{listLine("self"), listLine("a"), listLine("b")}}, Start);
  effects =
      applySwimEvent(state, ListRead{{listLine("self"), listLine("b")}}, Start);
  CHECK(effects.Probes == std::vector<InstanceName>{InstanceName("a")});
  CHECK(healthOf(state, "a") == Health::Alive);
  endProbe(state, "a", false);
  CHECK(healthOf(state, "a") == Health::Dead);

  // A list that lacks this process is no evidence of removals.
  effects = applySwimEvent(state, ListRead{{}}, Start);
  CHECK(effects.SelfMissingFromList);
  CHECK(effects.Probes.empty());
}

TEST_CASE("A process whose probes mostly fail considers itself isolated",
          "[membership][swim]") {
  SwimState state = stateWith(Five);
  for (const char *it : {"a", "b", "c"})
    endProbe(state, it, false);
  CHECK(makeMembershipView(state).MayBeIsolated);
  TimePoint now = advance(state, Start, Millis(60000));
  for (const char *it : {"a", "b", "c"})
    CHECK(healthOf(state, it) == Health::Suspect);

  // Once most members answer again, the suspicion timeouts start over.
  receive(state, aliveUpdate("b", 1, 2), now);
  receive(state, aliveUpdate("c", 1, 2), now);
  for (const char *it : {"b", "c", "d", "e"})
    endProbe(state, it, true, now);
  CHECK(!makeMembershipView(state).MayBeIsolated);
  applySwimEvent(state, TimePassed(), now);
  CHECK(healthOf(state, "a") == Health::Suspect);
  advance(state, now, Millis(20000));
  CHECK(healthOf(state, "a") == Health::Dead);
  CHECK(healthOf(state, "b") == Health::Alive);
}

TEST_CASE("A pause of this process does not end a suspicion",
          "[membership][swim]") {
  SwimState state = stateWith(Five);
  endProbe(state, "a", false);
  TimePoint woken = Start + std::chrono::seconds(600);
  applySwimEvent(state, TimePassed(), woken);
  CHECK(healthOf(state, "a") == Health::Suspect);
}

TEST_CASE("Each member is probed at least once in two rounds",
          "[membership][swim]") {
  SwimState state = stateWith(Five);
  applySwimEvent(state, ProbeDue(), Start);
  std::multiset<InstanceName> seen;
  // Any two consecutive rounds contain each member at least once.
  for (std::size_t n = 0; n < 2 * Five.size(); ++n) {
    for (const InstanceName &it :
         applySwimEvent(state, ProbeDue(), Start).Probes)
      seen.insert(it);
  }
  for (const std::string &it : Five)
    CHECK(seen.count(InstanceName(it)) >= 1);
  CHECK(seen.count(state.Self) == 0);
}

TEST_CASE("A dead member is removed after the retention time",
          "[membership][swim]") {
  SwimState state = stateWith(Five);
  endProbe(state, "a", false);
  receive(state, healthUpdate("a", Health::Dead, 1));
  REQUIRE(healthOf(state, "a") == Health::Dead);
  applySwimEvent(state, TimePassed(), Start + state.Limits.DeadMemberRetention);
  CHECK(!state.Members.contains(InstanceName("a")));
}

TEST_CASE("Transmissions of an update and updates per frame are bounded",
          "[membership][swim]") {
  SwimState state = stateWith({});
  UpdatesReceived event;
  for (int n = 0; n < 100; ++n)
    event.Updates.push_back(aliveUpdate("m" + std::to_string(n)));
  applySwimEvent(state, event, Start);
  std::map<InstanceName, int> times;
  std::size_t frames = 0;
  std::vector<MemberUpdate> updates =
      takeUpdatesFor(state, InstanceName("peer"));
  while (!updates.empty()) {
    REQUIRE(updates.size() <= state.Limits.MaxUpdatesPerFrame);
    for (const MemberUpdate &it : updates)
      ++times[it.Subject.Instance];
    ++frames;
    REQUIRE(frames < 10000);
    updates = takeUpdatesFor(state, InstanceName("peer"));
  }
  for (const auto &[name, count] : times)
    CHECK(count <= 3 * 5);
}

TEST_CASE("An update without addresses keeps the known addresses",
          "[membership][swim]") {
  SwimState sender = stateWith({});
  while (!takeUpdatesFor(sender, InstanceName("peer")).empty()) {
  }
  applySwimEvent(
      sender,
      ServersChanged{{ServerStatus{ServerName("s"), ServiceName("x"), 3}}},
      Start);
  std::vector<MemberUpdate> updates =
      takeUpdatesFor(sender, InstanceName("peer"));
  REQUIRE(updates.size() == 1);
  CHECK(updates.front().Subject.Control.empty());

  SwimState stranger = startSwim(SwimSettings(), makeMember("peer"), 3, Start);
  applySwimEvent(stranger, UpdatesReceived{sender.Self, updates}, Start);
  CHECK(!stranger.Members.contains(sender.Self));
  receive(stranger, aliveUpdate("self"));
  applySwimEvent(stranger, UpdatesReceived{sender.Self, updates}, Start);
  const Member &known = stranger.Members.at(sender.Self).Info;
  CHECK(!known.Control.empty());
  REQUIRE(known.Servers.size() == 1);
  CHECK(known.Servers.front().Version == 3);
}

TEST_CASE("A list of many new instances starts a bounded number of probes",
          "[membership][swim]") {
  SwimState state = stateWith({});
  ListRead list;
  list.Lines.push_back(listLine("self"));
  for (int n = 0; n < 300; ++n)
    list.Lines.push_back(listLine("m" + std::to_string(n)));
  CHECK(applySwimEvent(state, list, Start).Probes.size() <=
        state.Limits.MaxProbes);
  ListRead none;
  none.Lines.push_back(listLine("self"));
  CHECK(applySwimEvent(state, none, Start).Probes.size() <=
        state.Limits.MaxProbes);
}

TEST_CASE("A digest exchange sends only the updates that the other side lacks",
          "[membership][swim]") {
  SwimState left = stateWith({"a", "b", "c"});
  SwimState right = stateWith({"a", "b"});
  std::vector<MemberUpdate> updates =
      findMissingUpdates(left, computeDigests(right));
  REQUIRE(updates.size() == 1);
  CHECK(updates.front().Subject.Instance == InstanceName("c"));
  applySwimEvent(right, UpdatesReceived{InstanceName("left"), updates}, Start);
  CHECK(computeDigests(right) == computeDigests(left));
}

namespace {

/// Simulates processes that exchange probes in memory, one round per second.
class Exchange {
public:
  explicit Exchange(std::size_t Count) {
    for (std::size_t n = 0; n < Count; ++n) {
      Member member = makeMember("n" + std::to_string(n));
      States.emplace(member.Instance,
                     startSwim(SwimSettings(), member, 100 + n, Now));
    }
    // Each process learns of all others from the platform's list.
    ListRead list;
    for (const auto &[name, state] : States)
      list.Lines.push_back(listLine(name.Text));
    for (auto &[name, state] : States)
      applySwimEvent(state, list, Now);
  }

  void round() {
    for (auto &[name, state] : States) {
      if (Crashed.contains(name))
        continue;
      for (const InstanceName &it :
           applySwimEvent(state, ProbeDue(), Now).Probes)
        probe(state, it);
    }
    constexpr int StepsPerRound = 10;
    for (int n = 0; n < StepsPerRound; ++n) {
      Now += Millis(100);
      for (auto &[name, state] : States)
        applySwimEvent(state, TimePassed(), Now);
    }
  }

  void probe(SwimState &From, const InstanceName &To) {
    bool reached = !Crashed.contains(To) && !isPartitioned(From.Self, To);
    if (reached) {
      SwimState &other = States.at(To);
      applySwimEvent(other,
                     UpdatesReceived{From.Self, takeUpdatesFor(From, To)}, Now);
      applySwimEvent(
          From, UpdatesReceived{To, takeUpdatesFor(other, From.Self)}, Now);
    }
    applySwimEvent(From, ProbeEnded{To, 1, reached, true}, Now);
  }

  /// Returns true if a network partition separates two processes.
  bool isPartitioned(const InstanceName &Left,
                     const InstanceName &Right) const {
    return Partitioned.contains(Left) != Partitioned.contains(Right);
  }

  /// Returns the number of running processes that see a member in this health.
  std::size_t countSeenAs(const InstanceName &Name, Health State) const {
    std::size_t count = 0;
    for (const auto &[name, state] : States) {
      if (!Crashed.contains(name) && name != Name)
        count += state.Members.at(Name).Info.State == State ? 1 : 0;
    }
    return count;
  }

  TimePoint Now = Start;
  std::map<InstanceName, SwimState> States;
  std::set<InstanceName> Crashed;
  std::set<InstanceName> Partitioned;
};

} // namespace

TEST_CASE("The minority of a network partition considers itself isolated, "
          "and both sides merge after it heals",
          "[membership][gossip]") {
  constexpr std::size_t Count = 24;
  constexpr std::size_t Lesser = 6;
  Exchange all(Count);
  for (int n = 0; n < 5; ++n)
    all.round();
  for (std::size_t n = 0; n < Lesser; ++n)
    all.Partitioned.insert(InstanceName("n" + std::to_string(n)));
  for (int n = 0; n < 60; ++n)
    all.round();
  InstanceName lesser("n0");
  InstanceName greater("n23");
  CHECK(all.countSeenAs(lesser, Health::Dead) == Count - Lesser);
  CHECK(all.countSeenAs(greater, Health::Dead) == 0);
  for (const InstanceName &it : all.Partitioned)
    CHECK(all.States.at(it).MayBeIsolated);

  all.Partitioned.clear();
  int rounds = 0;
  auto allSeenAlive = [&]() {
    for (const auto &[name, state] : all.States) {
      if (all.countSeenAs(name, Health::Alive) != Count - 1)
        return false;
    }
    return true;
  };
  while (!allSeenAlive() && rounds < 120) {
    all.round();
    ++rounds;
  }
  CHECK(rounds < 120);
  for (const auto &[name, state] : all.States)
    CHECK(!state.MayBeIsolated);
}

TEST_CASE("All members learn of a leave and a crash by probes alone",
          "[membership][gossip]") {
  constexpr std::size_t Count = 60;
  Exchange all(Count);
  for (int n = 0; n < 5; ++n)
    all.round();
  applySwimEvent(all.States.at(InstanceName("n0")), SelfLeaves(), all.Now);
  InstanceName crashed("n1");
  all.Crashed.insert(crashed);
  int rounds = 0;
  while (all.countSeenAs(InstanceName("n0"), Health::Leaving) +
                 all.countSeenAs(crashed, Health::Dead) <
             2 * Count - 3 &&
         rounds < 60) {
    all.round();
    ++rounds;
  }
  CHECK(rounds < 60);
  for (std::size_t n = 2; n < Count; ++n)
    CHECK(all.countSeenAs(InstanceName("n" + std::to_string(n)),
                          Health::Dead) == 0);
}

} // namespace wasabi
