#include "Wasabi/Quarantine/CrashHistory.h"

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
void end(CrashHistory &Ledger, const RequestDigest &Of, int First, int Last,
         TimePoint At = Start) {
  for (int i = First; i <= Last; ++i)
    recordCrashes(Ledger, Of, {server(i)}, At);
}

CrashStatus crashStatus(const CrashHistory &Ledger, const RequestDigest &Of,
                        TimePoint At = Start) {
  return findCrashStatus(Ledger, Of, At);
}

} // namespace

TEST_CASE("A request under which three servers end gets no more",
          "[quarantine]") {
  CrashHistory ledger;
  CHECK(crashStatus(ledger, Poison) == CrashStatus::Clean);
  end(ledger, Poison, 1, 2);
  CHECK(crashStatus(ledger, Poison) == CrashStatus::Suspect);
  // The same end, told again.
  CHECK_FALSE(recordCrashes(ledger, Poison, {server(2)}, Start));
  CHECK(crashStatus(ledger, Poison) == CrashStatus::Suspect);
  end(ledger, Poison, 3, 3);
  CHECK(crashStatus(ledger, Poison) == CrashStatus::Quarantined);
}

TEST_CASE("A server that starts again under its id ends once more",
          "[quarantine]") {
  CrashHistory ledger;
  ServerName id("s");
  recordCrashes(ledger, Poison, {{id, 1}, {id, 2}, {id, 3}}, Start);
  CHECK(crashStatus(ledger, Poison) == CrashStatus::Quarantined);
}

TEST_CASE("An answer takes back what is known against a request",
          "[quarantine]") {
  CrashHistory ledger;
  end(ledger, Beside, 1, 2);
  CHECK(clearCrashes(ledger, Beside));
  CHECK_FALSE(clearCrashes(ledger, Beside));
  end(ledger, Beside, 3, 4);
  CHECK(crashStatus(ledger, Beside) == CrashStatus::Suspect);
}

TEST_CASE("Who shares servers with a request that ends them is served on",
          "[quarantine]") {
  CrashHistory ledger;
  // On three servers in turn another request was beside it.
  end(ledger, Poison, 1, 3);
  CHECK(crashStatus(ledger, Poison) == CrashStatus::Quarantined);
  end(ledger, Beside, 1, 3);
  // Which of the two it was can't be told yet.
  CHECK(crashStatus(ledger, Poison) == CrashStatus::Suspect);
  CHECK(crashStatus(ledger, Beside) == CrashStatus::Suspect);
  SECTION("since the other is answered") {
    clearCrashes(ledger, Beside);
    CHECK(crashStatus(ledger, Poison) == CrashStatus::Quarantined);
  }
  SECTION("since one more server ends under the one") {
    end(ledger, Poison, 4, 4);
    CHECK(crashStatus(ledger, Poison) == CrashStatus::Quarantined);
    CHECK(crashStatus(ledger, Beside) == CrashStatus::Clean);
    // Those ends count against it no more, later ones do.
    end(ledger, Beside, 5, 5);
    CHECK(crashStatus(ledger, Beside) == CrashStatus::Suspect);
  }
}

TEST_CASE("Requests that end servers are all convicted, side by side",
          "[quarantine]") {
  CrashHistory ledger;
  // Both on two servers at once, then each on its own.
  end(ledger, Poison, 1, 2);
  end(ledger, Beside, 1, 2);
  end(ledger, Poison, 3, 3);
  CHECK(crashStatus(ledger, Poison) == CrashStatus::Quarantined);
  end(ledger, Beside, 4, 5);
  CHECK(crashStatus(ledger, Beside) == CrashStatus::Suspect);
  end(ledger, Beside, 6, 6);
  CHECK(crashStatus(ledger, Beside) == CrashStatus::Quarantined);
  CHECK(crashStatus(ledger, Poison) == CrashStatus::Quarantined);
}

TEST_CASE("Ends that are all shared convict at the fourth", "[quarantine]") {
  CrashHistory ledger;
  end(ledger, Poison, 1, 4);
  end(ledger, Beside, 1, 3);
  RequestDigest third("third");
  end(ledger, third, 4, 4);
  CHECK(crashStatus(ledger, Poison) == CrashStatus::Quarantined);
  CHECK(crashStatus(ledger, Beside) == CrashStatus::Clean);
  CHECK(crashStatus(ledger, third) == CrashStatus::Clean);
}

// Six such requests at two servers: each end was shared by some of them, one
// that was convicted explained the others, and these went on ending servers,
// 15 times and more.
TEST_CASE("Requests that share all their ends are all convicted at the fifth",
          "[quarantine]") {
  CrashHistory ledger;
  RequestDigest third("third");
  for (int i = 1; i <= 5; ++i) {
    for (const RequestDigest &it : {Poison, Beside, third})
      end(ledger, it, i, i);
  }
  for (const RequestDigest &it : {Poison, Beside, third})
    CHECK(crashStatus(ledger, it) == CrashStatus::Quarantined);
  // A later end that they share with another changes nothing.
  end(ledger, RequestDigest("other"), 5, 5);
  for (const RequestDigest &it : {Poison, Beside, third})
    CHECK(crashStatus(ledger, it) == CrashStatus::Quarantined);
  CHECK(crashStatus(ledger, RequestDigest("other")) == CrashStatus::Clean);
}

TEST_CASE("A term served, one end is enough for the next", "[quarantine]") {
  CrashHistory ledger;
  end(ledger, Poison, 1, 3);
  Millis term = ledger.Limits.Term;
  CHECK(remainingQuarantine(ledger, Poison, Start + Millis(1)) ==
        term - Millis(1));
  CHECK(crashStatus(ledger, Poison, Start + term - Millis(1)) ==
        CrashStatus::Quarantined);
  TimePoint after = Start + term;
  CHECK(crashStatus(ledger, Poison, after) == CrashStatus::Suspect);
  CHECK(remainingQuarantine(ledger, Poison, after) == Millis(0));
  end(ledger, Poison, 4, 4, after);
  CHECK(crashStatus(ledger, Poison, after) == CrashStatus::Quarantined);
}

TEST_CASE("What is old or too much is forgotten, convicted requests last",
          "[quarantine]") {
  CrashHistory ledger;
  ledger.Limits.MaxTrackedRequests = 2;
  end(ledger, Poison, 1, 3);
  end(ledger, Beside, 4, 4, Start + Millis(1));
  end(ledger, RequestDigest("c"), 5, 5, Start + Millis(2));
  CHECK(evictOld(ledger, Start) == std::set<RequestDigest>{Beside});
  CHECK(crashStatus(ledger, Poison) == CrashStatus::Quarantined);
  TimePoint later = Start + ledger.Limits.Memory + Millis(1);
  CHECK(evictOld(ledger, later) == std::set<RequestDigest>{Poison});
  CHECK(ledger.Requests.size() == 1);
}

} // namespace wasabi
