#include "Wasabi/Quarantine/CrashLedger.h"

#include <catch2/catch.hpp>

#include <string>

namespace wasabi {

namespace {

const RequestDigest Poison("poison");
const RequestDigest Beside("beside");
const TimePoint Start = TimePoint() + Millis(1000);

ServerIncarnation server(int Number) {
  return {ServerName("s" + std::to_string(Number)), 0};
}

/// Servers `First` to `Last` end under a request.
void end(CrashLedger &Ledger, const RequestDigest &Of, int First, int Last,
         TimePoint At = Start) {
  for (int i = First; i <= Last; ++i)
    noteEnds(Ledger, Of, {server(i)}, At);
}

CrashStanding standing(const CrashLedger &Ledger, const RequestDigest &Of,
                       TimePoint At = Start) {
  return standingOf(Ledger, Of, At);
}

} // namespace

TEST_CASE("A request under which three servers end gets no more",
          "[quarantine]") {
  CrashLedger ledger;
  CHECK(standing(ledger, Poison) == CrashStanding::Clean);
  end(ledger, Poison, 1, 2);
  CHECK(standing(ledger, Poison) == CrashStanding::Suspect);
  // The same end, told again.
  CHECK_FALSE(noteEnds(ledger, Poison, {server(2)}, Start));
  CHECK(standing(ledger, Poison) == CrashStanding::Suspect);
  end(ledger, Poison, 3, 3);
  CHECK(standing(ledger, Poison) == CrashStanding::Quarantined);
}

TEST_CASE("A server that starts again under its id ends once more",
          "[quarantine]") {
  CrashLedger ledger;
  ServerName id("s");
  noteEnds(ledger, Poison, {{id, 1}, {id, 2}, {id, 3}}, Start);
  CHECK(standing(ledger, Poison) == CrashStanding::Quarantined);
}

TEST_CASE("An answer takes back what is known against a request",
          "[quarantine]") {
  CrashLedger ledger;
  end(ledger, Beside, 1, 2);
  CHECK(forgetEnds(ledger, Beside));
  CHECK_FALSE(forgetEnds(ledger, Beside));
  end(ledger, Beside, 3, 4);
  CHECK(standing(ledger, Beside) == CrashStanding::Suspect);
}

TEST_CASE("Who shares servers with a request that ends them is served on",
          "[quarantine]") {
  CrashLedger ledger;
  // On three servers in turn another request was beside it.
  end(ledger, Poison, 1, 3);
  CHECK(standing(ledger, Poison) == CrashStanding::Quarantined);
  end(ledger, Beside, 1, 3);
  // Which of the two it was can't be told yet.
  CHECK(standing(ledger, Poison) == CrashStanding::Suspect);
  CHECK(standing(ledger, Beside) == CrashStanding::Suspect);
  SECTION("since the other is answered") {
    forgetEnds(ledger, Beside);
    CHECK(standing(ledger, Poison) == CrashStanding::Quarantined);
  }
  SECTION("since one more server ends under the one") {
    end(ledger, Poison, 4, 4);
    CHECK(standing(ledger, Poison) == CrashStanding::Quarantined);
    CHECK(standing(ledger, Beside) == CrashStanding::Clean);
    // Those ends count against it no more, later ones do.
    end(ledger, Beside, 5, 5);
    CHECK(standing(ledger, Beside) == CrashStanding::Suspect);
  }
}

TEST_CASE("Requests that end servers are all convicted, side by side",
          "[quarantine]") {
  CrashLedger ledger;
  // Both on two servers at once, then each on its own.
  end(ledger, Poison, 1, 2);
  end(ledger, Beside, 1, 2);
  end(ledger, Poison, 3, 3);
  CHECK(standing(ledger, Poison) == CrashStanding::Quarantined);
  end(ledger, Beside, 4, 5);
  CHECK(standing(ledger, Beside) == CrashStanding::Suspect);
  end(ledger, Beside, 6, 6);
  CHECK(standing(ledger, Beside) == CrashStanding::Quarantined);
  CHECK(standing(ledger, Poison) == CrashStanding::Quarantined);
}

TEST_CASE("Ends that are all shared convict at the fourth", "[quarantine]") {
  CrashLedger ledger;
  end(ledger, Poison, 1, 4);
  end(ledger, Beside, 1, 3);
  RequestDigest third("third");
  end(ledger, third, 4, 4);
  CHECK(standing(ledger, Poison) == CrashStanding::Quarantined);
  CHECK(standing(ledger, Beside) == CrashStanding::Clean);
  CHECK(standing(ledger, third) == CrashStanding::Clean);
}

// Six such requests at two servers: each end was shared by some of them, one
// that was convicted explained the others, and these went on ending servers,
// 15 times and more.
TEST_CASE("Requests that share all their ends are all convicted at the fifth",
          "[quarantine]") {
  CrashLedger ledger;
  RequestDigest third("third");
  for (int i = 1; i <= 5; ++i) {
    for (const RequestDigest &it : {Poison, Beside, third})
      end(ledger, it, i, i);
  }
  for (const RequestDigest &it : {Poison, Beside, third})
    CHECK(standing(ledger, it) == CrashStanding::Quarantined);
  // A later end that they share with another changes nothing.
  end(ledger, RequestDigest("other"), 5, 5);
  for (const RequestDigest &it : {Poison, Beside, third})
    CHECK(standing(ledger, it) == CrashStanding::Quarantined);
  CHECK(standing(ledger, RequestDigest("other")) == CrashStanding::Clean);
}

TEST_CASE("A term served, one end is enough for the next", "[quarantine]") {
  CrashLedger ledger;
  end(ledger, Poison, 1, 3);
  Millis term = ledger.Limits.Term;
  CHECK(termLeft(ledger, Poison, Start + Millis(1)) == term - Millis(1));
  CHECK(standing(ledger, Poison, Start + term - Millis(1)) ==
        CrashStanding::Quarantined);
  TimePoint after = Start + term;
  CHECK(standing(ledger, Poison, after) == CrashStanding::Suspect);
  CHECK(termLeft(ledger, Poison, after) == Millis(0));
  end(ledger, Poison, 4, 4, after);
  CHECK(standing(ledger, Poison, after) == CrashStanding::Quarantined);
}

TEST_CASE("What is old or too much is forgotten, convicted requests last",
          "[quarantine]") {
  CrashLedger ledger;
  ledger.Limits.MostRequests = 2;
  end(ledger, Poison, 1, 3);
  end(ledger, Beside, 4, 4, Start + Millis(1));
  end(ledger, RequestDigest("c"), 5, 5, Start + Millis(2));
  CHECK(forgetOld(ledger, Start) == std::set<RequestDigest>{Beside});
  CHECK(standing(ledger, Poison) == CrashStanding::Quarantined);
  TimePoint later = Start + ledger.Limits.Memory + Millis(1);
  CHECK(forgetOld(ledger, later) == std::set<RequestDigest>{Poison});
  CHECK(ledger.Requests.size() == 1);
}

} // namespace wasabi
