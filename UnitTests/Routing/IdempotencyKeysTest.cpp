/// \file
/// What is remembered of requests with a key.
#include "Wasabi/Routing/IdempotencyKeys.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

namespace wasabi {
namespace {

const TimePoint Start{std::chrono::seconds(1000)};
const Runner Self{InstanceName("me"), 1};
const Runner Other{InstanceName("other"), 1};

IdempotencyKeys::Settings settings() {
  IdempotencyKeys::Settings made;
  made.Self = Self;
  made.Capacity = 3;
  made.MaxSingleAnswerBytes = 10;
  made.Span = Millis(1000);
  return made;
}

View viewOf(const std::set<int> &Daemons) {
  View view;
  for (int n : Daemons) {
    Member member;
    member.Instance = InstanceName("d" + std::to_string(n));
    member.Requests = Address{"127.0.0.1", 1};
    view.Members[member.Instance] = member;
  }
  return view;
}

} // namespace

TEST_CASE("A repeat waits, then gets the first one's answer", "[keys]") {
  IdempotencyKeys keys(settings());
  CHECK(keys.begin("k", 7, Start).Action == KeyAction::Run);
  CHECK(keys.begin("k", 7, Start).Action == KeyAction::Wait);
  http::Response answer{201, {}, "done"};
  keys.recordAnswer("k", answer);
  KeyDecision again = keys.begin("k", 7, Start);
  CHECK(again.Action == KeyAction::Answer);
  CHECK(again.Answer.Status == answer.Status);
  CHECK(again.Answer.Body == answer.Body);
}

TEST_CASE("What is known of a key is told with its verdict", "[keys]") {
  IdempotencyKeys keys(settings());
  keys.begin("k", 7, Start);
  SECTION("another request with the same key did not run") {
    KeyDecision decision = keys.begin("k", 8, Start);
    CHECK(decision.Action == KeyAction::Refuse);
    CHECK(decision.Why.Run == Verdict::NotRun);
    CHECK(decision.Why.Code == FailureCode::Conflict);
  }
  SECTION("a first one that broke may have run") {
    Failure why{Verdict::MayHaveRun, FailureCode::ConnectionLost, "a", "b", {}};
    keys.recordFailure("k", why);
    CHECK(keys.begin("k", 7, Start).Why == why);
  }
  SECTION("a first one that did not run frees its key") {
    keys.recordFailure(
        "k", Failure{Verdict::NotRun, FailureCode::Unreachable, "", "", {}});
    CHECK(keys.begin("k", 7, Start).Action == KeyAction::Run);
  }
  SECTION("an answer too large to keep is told as run") {
    keys.recordAnswer("k", http::Response{200, {}, std::string(11, 'x')});
    KeyDecision decision = keys.begin("k", 7, Start);
    CHECK(decision.Action == KeyAction::Refuse);
    CHECK(decision.Why.Run == Verdict::Ran);
  }
}

TEST_CASE("The table is bounded and forgets with time only", "[keys]") {
  IdempotencyKeys keys(settings());
  for (const char *it : {"a", "b", "c"}) {
    CHECK(keys.begin(it, 1, Start).Action == KeyAction::Run);
    keys.recordAnswer(it, http::Response{});
  }
  KeyDecision full = keys.begin("d", 1, Start + Millis(1000));
  CHECK(full.Action == KeyAction::Refuse);
  CHECK(full.Why.Run == Verdict::NotRun);
  CHECK(keys.begin("d", 1, Start + Millis(1001)).Action == KeyAction::Run);
  CHECK(keys.size() == 1);
}

TEST_CASE("A running key outlives its span", "[keys]") {
  IdempotencyKeys keys(settings());
  keys.begin("a", 1, Start);
  CHECK(keys.begin("a", 1, Start + Millis(5000)).Action == KeyAction::Wait);
}

TEST_CASE("A witness lets the same runner ask again and no other", "[keys]") {
  IdempotencyKeys keys(settings());
  CHECK_FALSE(keys.reserve("k", 7, Other, Start));
  CHECK_FALSE(keys.reserve("k", 7, Other, Start));
  std::optional<Failure> third =
      keys.reserve("k", 7, Runner{InstanceName("third"), 1}, Start);
  REQUIRE(third);
  CHECK(third->Run == Verdict::MayHaveRun);
  // The runner's own successor has forgotten what it ran.
  std::optional<Failure> restarted =
      keys.reserve("k", 7, Runner{Other.Instance, 2}, Start);
  REQUIRE(restarted);
  CHECK(restarted->Run == Verdict::MayHaveRun);
  CHECK(keys.begin("k", 7, Start).Why.Run == Verdict::MayHaveRun);
}

TEST_CASE("A reservation given back frees the key, an older one does not",
          "[keys]") {
  IdempotencyKeys keys(settings());
  const Runner third{InstanceName("third"), 1};
  constexpr std::uint64_t First = 4;
  constexpr std::uint64_t Second = 9;
  CHECK_FALSE(keys.reserve("k", 7, Other, Start, First));
  CHECK_FALSE(keys.reserve("k", 7, Other, Start, Second));
  // The first one's release arrives late, after the second reservation.
  keys.release("k", Other, First);
  CHECK(keys.reserve("k", 7, third, Start, First));
  // Nobody gives back what another one holds.
  keys.release("k", third, Second);
  CHECK(keys.reserve("k", 7, third, Start, First));
  keys.release("k", Other, Second);
  CHECK_FALSE(keys.reserve("k", 7, third, Start, First));
}

TEST_CASE("One change of the view leaves a witness of a key in place",
          "[keys]") {
  rc::check(
      [](const std::set<int> &Daemons, int Changed, const std::string &Key) {
        RC_PRE(Daemons.size() >= 2u);
        std::set<int> after = Daemons;
        if (after.erase(Changed) == 0)
          after.insert(Changed);
        auto names = [&](const std::set<int> &Of) {
          std::set<std::string> found;
          for (const Member &it :
               findWitnesses(Key, viewOf(Of), InstanceName("nobody")))
            found.insert(it.Instance.Text);
          return found;
        };
        std::set<std::string> before = names(Daemons);
        bool met = false;
        for (const std::string &it : names(after))
          met = met || before.contains(it);
        RC_ASSERT(met);
      });
}

TEST_CASE("Who leaves stays a witness, and the next one is one too", "[keys]") {
  View view = viewOf({1, 2, 3, 4, 5});
  InstanceName nobody("nobody");
  std::vector<Member> before = findWitnesses("k", view, nobody);
  REQUIRE(before.size() == 2);
  view.Members[before[0].Instance].State = Health::Leaving;
  std::vector<Member> now = findWitnesses("k", view, nobody);
  REQUIRE(now.size() == 3);
  CHECK(now[0].Instance == before[0].Instance);
  CHECK(now[1].Instance == before[1].Instance);
  // Once it is gone the others are the witnesses, and have been told.
  view.Members[before[0].Instance].State = Health::Dead;
  std::vector<Member> after = findWitnesses("k", view, nobody);
  REQUIRE(after.size() == 2);
  CHECK(after[0].Instance == now[1].Instance);
  CHECK(after[1].Instance == now[2].Instance);
}

TEST_CASE("All that is remembered can be handed over", "[keys]") {
  IdempotencyKeys keys(settings());
  keys.begin("mine", 7, Start);
  CHECK_FALSE(keys.reserve("theirs", 8, Other, Start));
  std::vector<KeyRecord> all = keys.records();
  CHECK(all.size() == 2);
  IdempotencyKeys next(settings());
  for (const KeyRecord &it : all)
    CHECK_FALSE(next.reserve(it.Key, it.Fingerprint, it.Who, Start));
  // A third runner is refused by the one that took over.
  Runner third{InstanceName("third"), 1};
  REQUIRE(next.reserve("theirs", 8, third, Start));
  CHECK(next.reserve("theirs", 8, third, Start)->Run == Verdict::MayHaveRun);
}

TEST_CASE("Without a look-up nobody says that a key did not run", "[keys]") {
  Failure why{Verdict::NotRun, FailureCode::Unreachable, "d", "gone", {}};
  Failure told = downgradeUnprovenFailure(why);
  CHECK(told.Run == Verdict::MayHaveRun);
  CHECK(told.RetryAfter > Millis(0));
  why.Code = FailureCode::BadInput;
  CHECK(downgradeUnprovenFailure(why) == why);
  why.Code = FailureCode::Conflict;
  CHECK(downgradeUnprovenFailure(why) == why);
}

TEST_CASE("A key has one home, which moves only when it is lost", "[keys]") {
  std::vector<Candidate> all;
  for (int n = 0; n < 8; ++n) {
    Candidate made;
    made.Key = ServerKey{InstanceName("i" + std::to_string(n)),
                         ServerName("s" + std::to_string(n))};
    all.push_back(made);
  }
  std::optional<Candidate> home = findHomeCandidate("key", all);
  REQUIRE(home);
  std::vector<Candidate> fewer;
  for (const Candidate &it : all) {
    if (it.Key != home->Key && fewer.size() < 5)
      fewer.push_back(it);
  }
  fewer.push_back(*home);
  CHECK(findHomeCandidate("key", fewer) == home);
  CHECK_FALSE(findHomeCandidate("key", {}));
}

} // namespace wasabi
