/// \file
/// Tests of load balancing, prefix hints and the retry budget.
#include "Wasabi/Routing/LoadBalancing.h"
#include "Wasabi/Routing/PrefixHints.h"
#include "Wasabi/Routing/RetryBudget.h"

#include <catch2/catch.hpp>

namespace wasabi {
namespace {

const TimePoint Start{std::chrono::seconds(10000)};

Candidate makeCandidate(const std::string &Name,
                        std::string Domain = "lulea-hall") {
  Candidate result;
  result.Key = ServerKey{InstanceName("i-" + Name), ServerName(Name)};
  result.Life = 1;
  result.Domain = DomainName(std::move(Domain));
  result.Where = Address{"127.0.0.1", 1};
  result.Slots = 8;
  return result;
}

BalancerState makeState(const std::vector<Candidate> &Known) {
  BalancerState state;
  state.Own = DomainName("lulea-hall");
  retainServers(state, {{ServiceName("s"), Known}}, Start - Millis(3600000));
  return state;
}

Failure makeFailure() {
  return Failure{
      Verdict::MayHaveRun, FailureCode::ConnectionLost, "there", "broke", {}};
}

/// Counts how often each server is chosen in 1,000 choices on the same state.
std::map<std::string, int>
countChoices(const BalancerState &State,
             const std::vector<Candidate> &Candidates, TimePoint Now) {
  std::mt19937_64 random(7);
  std::map<std::string, int> counts;
  for (int n = 0; n < 1000; ++n) {
    std::optional<Candidate> chosen =
        chooseCandidate(State, Candidates, {}, std::nullopt, Now, random);
    REQUIRE(chosen);
    ++counts[chosen->Key.Server.Text];
  }
  return counts;
}

} // namespace

TEST_CASE("A slow server is not chosen while faster ones are idle",
          "[choice]") {
  std::vector<Candidate> all = {makeCandidate("a"), makeCandidate("b"),
                                makeCandidate("c")};
  BalancerState state = makeState(all);
  for (const Candidate &it : all) {
    noteStart(state, it, Start);
    noteSuccess(state, it, Micros(it.Key.Server.Text == "a" ? 50000 : 5000),
                Start);
  }
  std::map<std::string, int> counts = countChoices(state, all, Start);
  CHECK(counts["a"] == 0);
  CHECK(counts["b"] > 300);
  CHECK(counts["c"] > 300);
}

TEST_CASE("A slow server is tried again later, and its recovery noticed soon",
          "[choice]") {
  std::vector<Candidate> all = {makeCandidate("a"), makeCandidate("b")};
  BalancerState state = makeState(all);
  TimePoint now = Start;
  auto answer = [&](const Candidate &Server, Micros Took) {
    noteStart(state, Server, now);
    noteSuccess(state, Server, Took, now);
  };
  answer(all[0], Micros(50000));
  answer(all[1], Micros(5000));
  int waitedSeconds = 0;
  for (; countChoices(state, all, now)["a"] == 0 && waitedSeconds < 120;
       ++waitedSeconds) {
    now += Millis(1000);
    answer(all[1], Micros(5000));
  }
  CHECK(waitedSeconds >= 10);
  CHECK(waitedSeconds <= 40);
  // Two fast answers show its recovery.
  answer(all[0], Micros(5000));
  answer(all[0], Micros(5000));
  CHECK(expectedWait(state, all[0], now) <
        3 * expectedWait(state, all[1], now));
}

TEST_CASE("Own attempts in flight count immediately and only once",
          "[choice]") {
  std::vector<Candidate> all = {makeCandidate("a"), makeCandidate("b")};
  BalancerState state = makeState(all);
  for (int n = 0; n < 4; ++n)
    noteStart(state, all[0], Start);
  CHECK(expectedWait(state, all[0], Start) >
        expectedWait(state, all[1], Start));
  // A load report that includes the own attempts does not change the wait.
  double before = expectedWait(state, all[0], Start);
  ReportedLoad load{ServerName("a"), ServiceName("s"), 4, 0, 8, 0, true};
  noteLoad(state, all[0].Key, load);
  CHECK(expectedWait(state, all[0], Start) == Approx(before));
  // After their end, the old report counts only the attempts of others.
  for (int n = 0; n < 4; ++n)
    noteAbandoned(state, all[0]);
  CHECK(expectedWait(state, all[0], Start) ==
        Approx(expectedWait(state, all[1], Start)));
}

TEST_CASE("The own failure domain is preferred until its wait is longer",
          "[choice]") {
  std::vector<Candidate> all = {makeCandidate("near"),
                                makeCandidate("far", "umea-hall")};
  BalancerState state = makeState(all);
  for (const Candidate &it : all) {
    noteStart(state, it, Start);
    noteSuccess(state, it, Micros(8000), Start);
  }
  CHECK(countChoices(state, all, Start)["near"] == 1000);
  for (int n = 0; n < 8; ++n)
    noteStart(state, all[0], Start);
  CHECK(countChoices(state, all, Start)["far"] == 1000);
}

TEST_CASE("A retry prefers another failure domain", "[choice]") {
  std::vector<Candidate> all = {makeCandidate("a"), makeCandidate("b"),
                                makeCandidate("c", "umea-hall")};
  BalancerState state = makeState(all);
  std::mt19937_64 random(1);
  std::optional<Candidate> second =
      chooseCandidate(state, all, {all[0]}, std::nullopt, Start, random);
  REQUIRE(second);
  CHECK(second->Key == all[2].Key);
  std::optional<Candidate> third = chooseCandidate(state, all, {all[0], all[2]},
                                                   std::nullopt, Start, random);
  REQUIRE(third);
  CHECK(third->Key == all[1].Key);
  CHECK_FALSE(chooseCandidate(state, all, all, std::nullopt, Start, random));
}

TEST_CASE("Ejection of outliers is bounded in number and time", "[choice]") {
  std::vector<Candidate> all = {makeCandidate("a"), makeCandidate("b"),
                                makeCandidate("c"), makeCandidate("d")};
  BalancerState state = makeState(all);
  for (const Candidate &it : all) {
    for (int n = 0; n < 5; ++n) {
      noteStart(state, it, Start);
      noteFailure(state, it, makeFailure(), all, Start);
    }
  }
  std::map<std::string, int> counts = countChoices(state, all, Start);
  // At most two of the four are ejected, although all failed.
  CHECK(counts["a"] + counts["b"] == 0);
  CHECK(counts["c"] + counts["d"] == 1000);
  CHECK(timeUntilAvailable(state, all, Start) == Millis(1000));
  std::map<std::string, int> later =
      countChoices(state, all, Start + Millis(1000));
  CHECK(later["a"] > 0);
}

TEST_CASE("Refusals for overload do not eject a server", "[choice]") {
  std::vector<Candidate> all = {makeCandidate("a"), makeCandidate("b")};
  BalancerState state = makeState(all);
  Failure full{Verdict::NotRun, FailureCode::Overloaded, "a", "full",
               Millis(60000)};
  for (int n = 0; n < 20; ++n) {
    noteStart(state, all[0], Start);
    noteFailure(state, all[0], full, all, Start);
  }
  CHECK(countChoices(state, all, Start)["a"] == 0);
  CHECK(countChoices(state, all, Start + Millis(21))["a"] > 0);
}

TEST_CASE("A server that refused one flow for overload serves others",
          "[choice]") {
  std::vector<Candidate> all = {makeCandidate("a")};
  BalancerState state = makeState(all);
  Failure full{Verdict::NotRun, FailureCode::Overloaded, "a", "full",
               Millis(60000)};
  noteStart(state, all[0], Start);
  noteFailure(state, all[0], full, all, Start, "greedy");
  std::mt19937_64 random(1);
  CHECK_FALSE(
      chooseCandidate(state, all, {}, std::nullopt, Start, random, "greedy"));
  CHECK(timeUntilAvailable(state, all, Start, "greedy") == Millis(20));
  CHECK(chooseCandidate(state, all, {}, std::nullopt, Start, random, "modest"));
  CHECK(timeUntilAvailable(state, all, Start, "modest") == Millis(0));
  // With too many refused flows the server is avoided for all, for a short
  // time.
  for (int n = 0; n < 100; ++n) {
    noteStart(state, all[0], Start);
    noteFailure(state, all[0], full, all, Start, std::to_string(n));
  }
  CHECK(state.Servers[all[0].Key].OverloadedUntil.size() <= 64);
  CHECK_FALSE(
      chooseCandidate(state, all, {}, std::nullopt, Start, random, "modest"));
  CHECK(chooseCandidate(state, all, {}, std::nullopt, Start + Millis(21),
                        random, "greedy"));
}

TEST_CASE("A slow server in the own failure domain is not chosen", "[choice]") {
  std::vector<Candidate> all = {makeCandidate("slow"), makeCandidate("near"),
                                makeCandidate("far", "umea-hall"),
                                makeCandidate("full", "umea-hall")};
  BalancerState state = makeState(all);
  for (const Candidate &it : all) {
    noteStart(state, it, Start);
    bool slow = it.Key.Server.Text == "slow";
    noteSuccess(state, it, Micros(slow ? 200000 : 20000), Start);
  }
  for (int n = 0; n < 8; ++n)
    noteStart(state, all[3], Start);
  std::map<std::string, int> counts = countChoices(state, all, Start);
  CHECK(counts["slow"] == 0);
  CHECK(counts["full"] == 0);
}

TEST_CASE("A leaving daemon gets no requests, its next incarnation does",
          "[choice]") {
  std::vector<Candidate> all = {makeCandidate("a"), makeCandidate("b")};
  BalancerState state = makeState(all);
  noteLeaving(state, InstanceName("i-a"));
  CHECK(countChoices(state, all, Start)["a"] == 0);
  all[0].Life = 2;
  retainServers(state, {{ServiceName("s"), all}}, Start);
  CHECK(countChoices(state, all, Start + Millis(60000))["a"] > 0);
}

TEST_CASE("A new server starts slowly", "[choice]") {
  std::vector<Candidate> all = {makeCandidate("old"), makeCandidate("new")};
  BalancerState state = makeState({all[0]});
  retainServers(state, {{ServiceName("s"), all}}, Start);
  double fresh = expectedWait(state, all[1], Start);
  double warm = expectedWait(state, all[1], Start + Millis(10000));
  CHECK(fresh == Approx(10 * warm));
  CHECK(warm == Approx(expectedWait(state, all[0], Start)));
}

TEST_CASE("The server with a cached prefix is preferred until it is busy",
          "[choice]") {
  std::vector<Candidate> all = {makeCandidate("a"), makeCandidate("b"),
                                makeCandidate("c")};
  BalancerState state = makeState(all);
  std::mt19937_64 random(3);
  for (int n = 0; n < 100; ++n)
    CHECK(chooseCandidate(state, all, {}, all[1].Key, Start, random)->Key ==
          all[1].Key);
  for (int n = 0; n < 8; ++n)
    noteStart(state, all[1], Start);
  for (int n = 0; n < 100; ++n)
    CHECK(chooseCandidate(state, all, {}, all[1].Key, Start, random)->Key !=
          all[1].Key);
}

TEST_CASE("Candidates are the serving servers of daemons that take work",
          "[choice]") {
  View view;
  Member member;
  member.Instance = InstanceName("i");
  member.Requests = Address{"127.0.0.1", 9};
  member.Servers = {{ServerName("a"), ServiceName("s"), 1, 4, true},
                    {ServerName("b"), ServiceName("s"), 1, 4, false}};
  for (Health health :
       {Health::Alive, Health::Suspect, Health::Leaving, Health::Dead}) {
    member.State = health;
    view.Members[member.Instance] = member;
    bool takes = health == Health::Alive || health == Health::Suspect;
    CHECK(findCandidates(view)[ServiceName("s")].size() == (takes ? 1u : 0u));
  }
}

TEST_CASE("Each declared service with placements needs a candidate",
          "[choice]") {
  Configuration declared;
  ServiceDeclaration service;
  service.Name = ServiceName("s");
  service.Placements = {{DomainName("d"), 1}};
  declared.Services[service.Name] = service;
  View view;
  CHECK_FALSE(hasAllCandidates(declared, view));

  Member member;
  member.Instance = InstanceName("daemon-1");
  member.Requests = Address{"127.0.0.1", 7};
  ServerStatus server;
  server.Name = ServerName("s-1");
  server.Service = ServiceName("s");
  member.Servers = {server};
  view.Members[member.Instance] = member;
  CHECK(hasAllCandidates(declared, view));

  // A service without placements needs no candidate.
  service.Name = ServiceName("later");
  service.Placements.clear();
  declared.Services[service.Name] = service;
  CHECK(hasAllCandidates(declared, view));
  service.Placements = {{DomainName("d"), 1}};
  declared.Services[service.Name] = service;
  CHECK_FALSE(hasAllCandidates(declared, view));
}

TEST_CASE("Prefix hints are bounded and expire", "[choice]") {
  PrefixHints::Settings limits;
  limits.Capacity = 2;
  limits.HintLifetime = Millis(100);
  PrefixHints hints(limits);
  ServerKey a = makeCandidate("a").Key;
  hints.place(1, a, Start);
  hints.place(2, a, Start);
  hints.place(1, a, Start + Millis(1));
  hints.place(3, a, Start + Millis(1));
  CHECK(hints.size() == 2);
  CHECK(hints.find(1, Start + Millis(2)) == a);
  CHECK_FALSE(hints.find(2, Start + Millis(2)));
  CHECK_FALSE(hints.find(1, Start + Millis(102)));
  CHECK(hashPromptPrefix(std::string(64, 'x') + "a") ==
        hashPromptPrefix(std::string(64, 'x') + "b"));
}

TEST_CASE("Retries are limited to a share of the successes", "[choice]") {
  RetryBudget budget = makeRetryBudget(RetryBudget::Settings{0.1, 2.0});
  int retries = 0;
  for (int n = 0; n < 100; ++n) {
    if (!canSpend(budget))
      continue;
    budget = spend(budget);
    ++retries;
  }
  CHECK(retries == 2);
  for (int n = 0; n < 100; ++n)
    budget = addSuccess(budget);
  CHECK(budget.Tokens == Approx(2.0));
}

} // namespace wasabi
