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

Member named(const std::string &Name, Incarnation Life = 1) {
  Member who;
  who.Instance = InstanceName(Name);
  who.Domain = DomainName("lulea-hall");
  who.Life = Life;
  who.Control = Address{"127.0.0.1", 1000};
  who.Stamp = 1;
  return who;
}

MemberUpdate alive(const std::string &Name, Incarnation Life = 1,
                   std::uint64_t Stamp = 1) {
  Member who = named(Name, Life);
  who.Stamp = Stamp;
  return MemberUpdate{who, {}};
}

MemberUpdate told(const std::string &Name, Health State, std::uint64_t Stamp,
                  const std::string &Accuser = "") {
  Member who;
  who.Instance = InstanceName(Name);
  who.Life = 1;
  who.State = State;
  who.Stamp = Stamp;
  return MemberUpdate{who, InstanceName(Accuser)};
}

/// The state of `self` that knows these others.
SwimState knowing(const std::vector<std::string> &Names) {
  SwimState state = startSwim(SwimSettings(), named("self"), 7, Start);
  UpdatesReceived heard;
  for (const std::string &it : Names)
    heard.Updates.push_back(alive(it));
  decide(state, heard, Start);
  return state;
}

Health healthOf(const SwimState &State, const std::string &Name) {
  return State.Members.at(InstanceName(Name)).Who.State;
}

SwimEffects hear(SwimState &State, MemberUpdate News, TimePoint At = Start,
                 const std::string &From = "b") {
  UpdatesReceived heard;
  heard.From = InstanceName(From);
  heard.Updates.push_back(std::move(News));
  return decide(State, heard, At);
}

SwimEffects probed(SwimState &State, const std::string &Name, bool Reached,
                   TimePoint At = Start) {
  return decide(State, ProbeEnded{InstanceName(Name), 1, Reached, true}, At);
}

/// Lets time pass in steps that are no pause of the process.
TimePoint pass(SwimState &State, TimePoint From, Millis Span) {
  constexpr Millis StepSpan(100);
  for (Millis n(0); n < Span; n += StepSpan) {
    From += StepSpan;
    decide(State, TimePassed(), From);
  }
  return From;
}

ListedInstance listed(const std::string &Name, bool Leaving = false) {
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

TEST_CASE("A failed probe makes a suspect, and time a dead one",
          "[membership][swim]") {
  SwimState state = knowing(Five);
  probed(state, "a", false);
  CHECK(healthOf(state, "a") == Health::Suspect);
  Millis longest = suspicionTimeout(state.Limits, 6, 1, 0);
  TimePoint now = pass(state, Start, longest - Millis(200));
  CHECK(healthOf(state, "a") == Health::Suspect);
  pass(state, now, Millis(400));
  CHECK(healthOf(state, "a") == Health::Dead);
}

TEST_CASE("Distinct accusers shorten a suspicion, one accuser does not twice",
          "[membership][swim]") {
  SwimSettings limits;
  CHECK(suspicionTimeout(limits, 10, 1, 0) == Millis(6000));
  CHECK(suspicionTimeout(limits, 10, 3, 0) == Millis(2000));
  CHECK(suspicionTimeout(limits, 10, 9, 0) == Millis(2000));
  CHECK(suspicionTimeout(limits, 10, 2, 0) < Millis(6000));
  CHECK(suspicionTimeout(limits, 10, 3, 8) == Millis(10000));
  CHECK(suspicionTimeout(limits, 1000, 3, 0) == Millis(6000));

  SwimState state = knowing(Five);
  hear(state, told("a", Health::Suspect, 1, "b"));
  hear(state, told("a", Health::Suspect, 1, "b"));
  CHECK(state.Members.at(InstanceName("a")).Accusers.size() == 1);
  hear(state, told("a", Health::Suspect, 1, "c"));
  CHECK(state.Members.at(InstanceName("a")).Accusers.size() == 2);
}

TEST_CASE("Only the member itself refutes a suspicion", "[membership][swim]") {
  SwimState state = knowing(Five);
  probed(state, "a", false);
  hear(state, alive("a", 1, 1));
  CHECK(healthOf(state, "a") == Health::Suspect);
  hear(state, alive("a", 1, 2));
  CHECK(healthOf(state, "a") == Health::Alive);
  // News that is older than the refutation changes nothing.
  hear(state, told("a", Health::Suspect, 1, "b"));
  CHECK(healthOf(state, "a") == Health::Alive);
}

TEST_CASE("A process that hears itself suspected or dead says something newer",
          "[membership][swim]") {
  for (Health said : {Health::Suspect, Health::Dead}) {
    SwimState state = knowing(Five);
    std::uint64_t before = state.Members.at(state.Self).Who.Stamp;
    hear(state, told("self", said, before, "a"));
    CHECK(healthOf(state, "self") == Health::Alive);
    CHECK(state.Members.at(state.Self).Who.Stamp > before);
    std::vector<MemberUpdate> news = takeUpdatesFor(state, InstanceName("a"));
    CHECK(std::any_of(news.begin(), news.end(), [&](const MemberUpdate &it) {
      return it.Subject.Instance == state.Self && it.Subject.Stamp > before;
    }));
  }
}

TEST_CASE("The word of one process that a member is dead only accuses it",
          "[membership][witness]") {
  SwimState state = knowing(Five);
  SwimEffects did = hear(state, told("a", Health::Dead, 1), Start, "b");
  CHECK(did.Probes == std::vector<InstanceName>{InstanceName("a")});
  CHECK(healthOf(state, "a") == Health::Suspect);
  hear(state, told("a", Health::Dead, 1), Start, "b");
  CHECK(healthOf(state, "a") == Health::Suspect);
  hear(state, told("a", Health::Dead, 1), Start, "c");
  CHECK(healthOf(state, "a") == Health::Dead);
}

TEST_CASE("A dead member comes back by its own word", "[membership][swim]") {
  SwimState state = knowing(Five);
  probed(state, "a", false);
  hear(state, told("a", Health::Dead, 1));
  CHECK(healthOf(state, "a") == Health::Dead);
  hear(state, alive("a", 1, 1));
  CHECK(healthOf(state, "a") == Health::Dead);
  hear(state, alive("a", 1, 2));
  CHECK(healthOf(state, "a") == Health::Alive);
}

TEST_CASE("Leaving is passed on at once and final for the incarnation",
          "[membership][swim]") {
  SwimState state = knowing(Five);
  SwimEffects did = hear(state, told("a", Health::Leaving, 1));
  REQUIRE(did.Urgent.size() == 1);
  CHECK(healthOf(state, "a") == Health::Leaving);
  hear(state, alive("a", 1, 99));
  CHECK(healthOf(state, "a") == Health::Leaving);
  hear(state, told("a", Health::Suspect, 99, "b"));
  CHECK(healthOf(state, "a") == Health::Leaving);
  probed(state, "a", false);
  CHECK(healthOf(state, "a") == Health::Dead);
  hear(state, alive("a", 1, 100));
  CHECK(healthOf(state, "a") == Health::Dead);
  // A new process of the same instance is another.
  hear(state, alive("a", 2, 1));
  CHECK(healthOf(state, "a") == Health::Alive);
}

TEST_CASE("An older incarnation is not heard", "[membership][swim]") {
  SwimState state = knowing({});
  hear(state, alive("a", 5));
  hear(state, told("a", Health::Leaving, 9));
  CHECK(healthOf(state, "a") == Health::Alive);
}

TEST_CASE("Any witness may say leaving", "[membership][witness]") {
  SwimState byList = knowing(Five);
  decide(byList, ListRead{{listed("self"), listed("a", true)}}, Start);
  CHECK(healthOf(byList, "a") == Health::Leaving);

  SwimState self = knowing(Five);
  decide(self, ListRead{{listed("self", true)}}, Start);
  CHECK(healthOf(self, "self") == Health::Leaving);
}

TEST_CASE("No witness alone says dead", "[membership][witness]") {
  // A request that failed only hastens a probe.
  SwimState state = knowing(Five);
  SwimEffects did = decide(state, RequestFailed{InstanceName("a")}, Start);
  CHECK(did.Probes == std::vector<InstanceName>{InstanceName("a")});
  CHECK(healthOf(state, "a") == Health::Alive);

  // A removal from the list only hastens a probe; with its failure it counts.
  decide(state, ListRead{{listed("self"), listed("a"), listed("b")}}, Start);
  did = decide(state, ListRead{{listed("self"), listed("b")}}, Start);
  CHECK(did.Probes == std::vector<InstanceName>{InstanceName("a")});
  CHECK(healthOf(state, "a") == Health::Alive);
  probed(state, "a", false);
  CHECK(healthOf(state, "a") == Health::Dead);

  // A list that lacks this process too is no witness of removals.
  did = decide(state, ListRead{{}}, Start);
  CHECK(did.SelfMissingFromList);
  CHECK(did.Probes.empty());
}

TEST_CASE("A process whose probes mostly fail doubts itself first",
          "[membership][swim]") {
  SwimState state = knowing(Five);
  for (const char *it : {"a", "b", "c"})
    probed(state, it, false);
  CHECK(viewOf(state).MayBeIsolated);
  TimePoint now = pass(state, Start, Millis(60000));
  for (const char *it : {"a", "b", "c"})
    CHECK(healthOf(state, it) == Health::Suspect);

  // Once most answer again, the rest is judged as usual, from then on.
  hear(state, alive("b", 1, 2), now);
  hear(state, alive("c", 1, 2), now);
  for (const char *it : {"b", "c", "d", "e"})
    probed(state, it, true, now);
  CHECK(!viewOf(state).MayBeIsolated);
  decide(state, TimePassed(), now);
  CHECK(healthOf(state, "a") == Health::Suspect);
  pass(state, now, Millis(20000));
  CHECK(healthOf(state, "a") == Health::Dead);
  CHECK(healthOf(state, "b") == Health::Alive);
}

TEST_CASE("Time in which this process stood still accuses nobody",
          "[membership][swim]") {
  SwimState state = knowing(Five);
  probed(state, "a", false);
  TimePoint woken = Start + std::chrono::seconds(600);
  decide(state, TimePassed(), woken);
  CHECK(healthOf(state, "a") == Health::Suspect);
}

TEST_CASE("Each member is probed once in a round", "[membership][swim]") {
  SwimState state = knowing(Five);
  decide(state, ProbeDue(), Start);
  std::multiset<InstanceName> seen;
  // From any point, two rounds hold each member at least once.
  for (std::size_t n = 0; n < 2 * Five.size(); ++n) {
    for (const InstanceName &it : decide(state, ProbeDue(), Start).Probes)
      seen.insert(it);
  }
  for (const std::string &it : Five)
    CHECK(seen.count(InstanceName(it)) >= 1);
  CHECK(seen.count(state.Self) == 0);
}

TEST_CASE("A dead member is forgotten after a time", "[membership][swim]") {
  SwimState state = knowing(Five);
  probed(state, "a", false);
  hear(state, told("a", Health::Dead, 1));
  REQUIRE(healthOf(state, "a") == Health::Dead);
  decide(state, TimePassed(), Start + state.Limits.DeadMemberRetention);
  CHECK(!state.Members.contains(InstanceName("a")));
}

TEST_CASE("News is carried a bounded number of times, few in a frame",
          "[membership][swim]") {
  SwimState state = knowing({});
  UpdatesReceived heard;
  for (int n = 0; n < 100; ++n)
    heard.Updates.push_back(alive("m" + std::to_string(n)));
  decide(state, heard, Start);
  std::map<InstanceName, int> times;
  std::size_t frames = 0;
  std::vector<MemberUpdate> news = takeUpdatesFor(state, InstanceName("peer"));
  while (!news.empty()) {
    REQUIRE(news.size() <= state.Limits.MaxUpdatesPerFrame);
    for (const MemberUpdate &it : news)
      ++times[it.Subject.Instance];
    ++frames;
    REQUIRE(frames < 10000);
    news = takeUpdatesFor(state, InstanceName("peer"));
  }
  for (const auto &[name, count] : times)
    CHECK(count <= 3 * 5);
}

TEST_CASE("An update without addresses keeps those that are known",
          "[membership][swim]") {
  SwimState sender = knowing({});
  while (!takeUpdatesFor(sender, InstanceName("peer")).empty()) {
  }
  decide(sender,
         ServersChanged{{ServerStatus{ServerName("s"), ServiceName("x"), 3}}},
         Start);
  std::vector<MemberUpdate> news = takeUpdatesFor(sender, InstanceName("peer"));
  REQUIRE(news.size() == 1);
  CHECK(news.front().Subject.Control.empty());

  SwimState stranger = startSwim(SwimSettings(), named("peer"), 3, Start);
  decide(stranger, UpdatesReceived{sender.Self, news}, Start);
  CHECK(!stranger.Members.contains(sender.Self));
  hear(stranger, alive("self"));
  decide(stranger, UpdatesReceived{sender.Self, news}, Start);
  const Member &known = stranger.Members.at(sender.Self).Who;
  CHECK(!known.Control.empty());
  REQUIRE(known.Servers.size() == 1);
  CHECK(known.Servers.front().Version == 3);
}

TEST_CASE("A list of many new instances starts no herd of probes",
          "[membership][swim]") {
  SwimState state = knowing({});
  ListRead list;
  list.Lines.push_back(listed("self"));
  for (int n = 0; n < 300; ++n)
    list.Lines.push_back(listed("m" + std::to_string(n)));
  CHECK(decide(state, list, Start).Probes.size() <= state.Limits.MaxProbes);
  ListRead none;
  none.Lines.push_back(listed("self"));
  CHECK(decide(state, none, Start).Probes.size() <= state.Limits.MaxProbes);
}

TEST_CASE("An exchange of digests tells just what the other side lacks",
          "[membership][swim]") {
  SwimState left = knowing({"a", "b", "c"});
  SwimState right = knowing({"a", "b"});
  std::vector<MemberUpdate> news =
      findMissingUpdates(left, computeDigests(right));
  REQUIRE(news.size() == 1);
  CHECK(news.front().Subject.Instance == InstanceName("c"));
  decide(right, UpdatesReceived{InstanceName("left"), news}, Start);
  CHECK(computeDigests(right) == computeDigests(left));
}

namespace {

/// Processes that exchange probes in memory, one round a period.
class Exchange {
public:
  explicit Exchange(std::size_t Count) {
    for (std::size_t n = 0; n < Count; ++n) {
      Member who = named("n" + std::to_string(n));
      States.emplace(who.Instance,
                     startSwim(SwimSettings(), who, 100 + n, Now));
    }
    // Each knows of all from the platform's list.
    ListRead list;
    for (const auto &[name, state] : States)
      list.Lines.push_back(listed(name.Text));
    for (auto &[name, state] : States)
      decide(state, list, Now);
  }

  void round() {
    for (auto &[name, state] : States) {
      if (Crashed.contains(name))
        continue;
      for (const InstanceName &it : decide(state, ProbeDue(), Now).Probes)
        probe(state, it);
    }
    constexpr int StepsPerRound = 10;
    for (int n = 0; n < StepsPerRound; ++n) {
      Now += Millis(100);
      for (auto &[name, state] : States)
        decide(state, TimePassed(), Now);
    }
  }

  void probe(SwimState &From, const InstanceName &To) {
    bool reached = !Crashed.contains(To) && !isCut(From.Self, To);
    if (reached) {
      SwimState &other = States.at(To);
      decide(other, UpdatesReceived{From.Self, takeUpdatesFor(From, To)}, Now);
      decide(From, UpdatesReceived{To, takeUpdatesFor(other, From.Self)}, Now);
    }
    decide(From, ProbeEnded{To, 1, reached, true}, Now);
  }

  /// Whether a cut lies between two processes.
  bool isCut(const InstanceName &Left, const InstanceName &Right) const {
    return CutOff.contains(Left) != CutOff.contains(Right);
  }

  /// How many of the processes at work see this of a member.
  std::size_t seen(const InstanceName &Name, Health State) const {
    std::size_t count = 0;
    for (const auto &[name, state] : States) {
      if (!Crashed.contains(name) && name != Name)
        count += state.Members.at(Name).Who.State == State ? 1 : 0;
    }
    return count;
  }

  TimePoint Now = Start;
  std::map<InstanceName, SwimState> States;
  std::set<InstanceName> Crashed;
  std::set<InstanceName> CutOff;
};

} // namespace

TEST_CASE("After a cut the greater side has buried the lesser, which doubts "
          "itself, and both find each other again",
          "[membership][gossip]") {
  constexpr std::size_t Count = 24;
  constexpr std::size_t Lesser = 6;
  Exchange all(Count);
  for (int n = 0; n < 5; ++n)
    all.round();
  for (std::size_t n = 0; n < Lesser; ++n)
    all.CutOff.insert(InstanceName("n" + std::to_string(n)));
  for (int n = 0; n < 60; ++n)
    all.round();
  InstanceName lesser("n0");
  InstanceName greater("n23");
  CHECK(all.seen(lesser, Health::Dead) == Count - Lesser);
  CHECK(all.seen(greater, Health::Dead) == 0);
  for (const InstanceName &it : all.CutOff)
    CHECK(all.States.at(it).MayBeIsolated);

  all.CutOff.clear();
  int rounds = 0;
  auto allAlive = [&]() {
    for (const auto &[name, state] : all.States) {
      if (all.seen(name, Health::Alive) != Count - 1)
        return false;
    }
    return true;
  };
  while (!allAlive() && rounds < 120) {
    all.round();
    ++rounds;
  }
  CHECK(rounds < 120);
  for (const auto &[name, state] : all.States)
    CHECK(!state.MayBeIsolated);
}

TEST_CASE("A change and a crash become known to all by probes alone",
          "[membership][gossip]") {
  constexpr std::size_t Count = 60;
  Exchange all(Count);
  for (int n = 0; n < 5; ++n)
    all.round();
  decide(all.States.at(InstanceName("n0")), SelfLeaves(), all.Now);
  InstanceName crashed("n1");
  all.Crashed.insert(crashed);
  int rounds = 0;
  while (all.seen(InstanceName("n0"), Health::Leaving) +
                 all.seen(crashed, Health::Dead) <
             2 * Count - 3 &&
         rounds < 60) {
    all.round();
    ++rounds;
  }
  CHECK(rounds < 60);
  for (std::size_t n = 2; n < Count; ++n)
    CHECK(all.seen(InstanceName("n" + std::to_string(n)), Health::Dead) == 0);
}

} // namespace wasabi
