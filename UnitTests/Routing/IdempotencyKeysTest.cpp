/// \file
/// Tests of the records of requests with an idempotency key.
#include "Wasabi/Routing/IdempotencyKeys.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

namespace wasabi {
namespace {

const TimePoint Start{std::chrono::seconds(1000)};
const Runner Self{InstanceName("me"), 1};
const Runner Other{InstanceName("other"), 1};

IdempotencyKeys::Settings makeSettings() {
  IdempotencyKeys::Settings result;
  result.Self = Self;
  result.Capacity = 3;
  result.MaxSingleAnswerBytes = 10;
  result.KeyRetention = Millis(1000);
  return result;
}

View makeView(const std::set<int> &Daemons) {
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

TEST_CASE("A repeated request waits for the first one and gets its answer",
          "[keys]") {
  IdempotencyKeys keys(makeSettings());
  CHECK(keys.begin("k", 7, Start).Action == KeyAction::Run);
  CHECK(keys.begin("k", 7, Start).Action == KeyAction::Wait);
  http::Response answer{201, {}, "done"};
  keys.recordAnswer("k", answer);
  KeyDecision again = keys.begin("k", 7, Start);
  CHECK(again.Action == KeyAction::Answer);
  CHECK(again.Answer.Status == answer.Status);
  CHECK(again.Answer.Body == answer.Body);
}

TEST_CASE("The decision on a used key carries the right verdict", "[keys]") {
  IdempotencyKeys keys(makeSettings());
  keys.begin("k", 7, Start);
  SECTION("another request with the same key did not run") {
    KeyDecision decision = keys.begin("k", 8, Start);
    CHECK(decision.Action == KeyAction::Refuse);
    CHECK(decision.Why.Run == Verdict::NotRun);
    CHECK(decision.Why.Code == FailureCode::Conflict);
  }
  SECTION("a first request that failed may have run") {
    Failure why{Verdict::MayHaveRun, FailureCode::ConnectionLost, "a", "b", {}};
    keys.recordFailure("k", why);
    CHECK(keys.begin("k", 7, Start).Why == why);
  }
  SECTION("a first request that did not run frees its key") {
    keys.recordFailure(
        "k", Failure{Verdict::NotRun, FailureCode::Unreachable, "", "", {}});
    CHECK(keys.begin("k", 7, Start).Action == KeyAction::Run);
  }
  SECTION("a request whose answer is too large to store has run") {
    keys.recordAnswer("k", http::Response{200, {}, std::string(11, 'x')});
    KeyDecision decision = keys.begin("k", 7, Start);
    CHECK(decision.Action == KeyAction::Refuse);
    CHECK(decision.Why.Run == Verdict::Ran);
  }
}

TEST_CASE("The table is bounded and removes keys only by age", "[keys]") {
  IdempotencyKeys keys(makeSettings());
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

TEST_CASE("The key of a running request does not expire", "[keys]") {
  IdempotencyKeys keys(makeSettings());
  keys.begin("a", 1, Start);
  CHECK(keys.begin("a", 1, Start + Millis(5000)).Action == KeyAction::Wait);
}

TEST_CASE("A witness lets only the same runner reserve a key again", "[keys]") {
  IdempotencyKeys keys(makeSettings());
  CHECK_FALSE(keys.reserve("k", 7, Other, Start));
  CHECK_FALSE(keys.reserve("k", 7, Other, Start));
  std::optional<Failure> third =
      keys.reserve("k", 7, Runner{InstanceName("third"), 1}, Start);
  REQUIRE(third);
  CHECK(third->Run == Verdict::MayHaveRun);
  // A restarted runner has lost its records.
  std::optional<Failure> restarted =
      keys.reserve("k", 7, Runner{Other.Instance, 2}, Start);
  REQUIRE(restarted);
  CHECK(restarted->Run == Verdict::MayHaveRun);
  CHECK(keys.begin("k", 7, Start).Why.Run == Verdict::MayHaveRun);
}

TEST_CASE("Only the release of the newest reservation frees the key",
          "[keys]") {
  IdempotencyKeys keys(makeSettings());
  const Runner third{InstanceName("third"), 1};
  constexpr std::uint64_t First = 4;
  constexpr std::uint64_t Second = 9;
  CHECK_FALSE(keys.reserve("k", 7, Other, Start, First));
  CHECK_FALSE(keys.reserve("k", 7, Other, Start, Second));
  // The first release arrives after the second reservation.
  keys.release("k", Other, First);
  CHECK(keys.reserve("k", 7, third, Start, First));
  // A runner cannot release a reservation of another runner.
  keys.release("k", third, Second);
  CHECK(keys.reserve("k", 7, third, Start, First));
  keys.release("k", Other, Second);
  CHECK_FALSE(keys.reserve("k", 7, third, Start, First));
}

TEST_CASE("A single change of the view keeps a witness of a key", "[keys]") {
  rc::check(
      [](const std::set<int> &Daemons, int Changed, const std::string &Key) {
        RC_PRE(Daemons.size() >= 2u);
        std::set<int> after = Daemons;
        if (after.erase(Changed) == 0)
          after.insert(Changed);
        auto names = [&](const std::set<int> &DaemonIds) {
          std::set<std::string> found;
          for (const Member &it :
               findWitnesses(Key, makeView(DaemonIds), InstanceName("nobody")))
            found.insert(it.Instance.Text);
          return found;
        };
        std::set<std::string> before = names(Daemons);
        bool keepsWitness = false;
        for (const std::string &it : names(after))
          keepsWitness = keepsWitness || before.contains(it);
        RC_ASSERT(keepsWitness);
      });
}

TEST_CASE("A leaving daemon stays a witness, and the next one is added",
          "[keys]") {
  View view = makeView({1, 2, 3, 4, 5});
  InstanceName nobody("nobody");
  std::vector<Member> before = findWitnesses("k", view, nobody);
  REQUIRE(before.size() == 2);
  view.Members[before[0].Instance].State = Health::Leaving;
  std::vector<Member> now = findWitnesses("k", view, nobody);
  REQUIRE(now.size() == 3);
  CHECK(now[0].Instance == before[0].Instance);
  CHECK(now[1].Instance == before[1].Instance);
  // When the leaving daemon is dead, the other two remain the witnesses.
  view.Members[before[0].Instance].State = Health::Dead;
  std::vector<Member> after = findWitnesses("k", view, nobody);
  REQUIRE(after.size() == 2);
  CHECK(after[0].Instance == now[1].Instance);
  CHECK(after[1].Instance == now[2].Instance);
}

TEST_CASE("All records can be handed over", "[keys]") {
  IdempotencyKeys keys(makeSettings());
  keys.begin("mine", 7, Start);
  CHECK_FALSE(keys.reserve("theirs", 8, Other, Start));
  std::vector<KeyRecord> records = keys.records();
  CHECK(records.size() == 2);
  IdempotencyKeys next(makeSettings());
  for (const KeyRecord &it : records)
    CHECK_FALSE(next.reserve(it.Key, it.Fingerprint, it.Who, Start));
  // The new holder of the records refuses a third runner.
  Runner third{InstanceName("third"), 1};
  REQUIRE(next.reserve("theirs", 8, third, Start));
  CHECK(next.reserve("theirs", 8, third, Start)->Run == Verdict::MayHaveRun);
}

TEST_CASE("A refusal without a lookup of the key is not a proof of not run",
          "[keys]") {
  Failure why{Verdict::NotRun, FailureCode::Unreachable, "d", "gone", {}};
  Failure downgraded = downgradeUnprovenFailure(why);
  CHECK(downgraded.Run == Verdict::MayHaveRun);
  CHECK(downgraded.RetryAfter > Millis(0));
  why.Code = FailureCode::BadInput;
  CHECK(downgradeUnprovenFailure(why) == why);
  why.Code = FailureCode::Conflict;
  CHECK(downgradeUnprovenFailure(why) == why);
}

TEST_CASE("The home of a key changes only when it is removed", "[keys]") {
  std::vector<Candidate> candidates;
  for (int n = 0; n < 8; ++n) {
    Candidate result;
    result.Key = ServerKey{InstanceName("i" + std::to_string(n)),
                           ServerName("s" + std::to_string(n))};
    candidates.push_back(result);
  }
  std::optional<Candidate> home = findHomeCandidate("key", candidates);
  REQUIRE(home);
  std::vector<Candidate> fewer;
  for (const Candidate &it : candidates) {
    if (it.Key != home->Key && fewer.size() < 5)
      fewer.push_back(it);
  }
  fewer.push_back(*home);
  CHECK(findHomeCandidate("key", fewer) == home);
  CHECK_FALSE(findHomeCandidate("key", {}));
}

} // namespace wasabi
