#include "Wasabi/Quarantine/CrashHistory.h"

#include <catch2/catch.hpp>

#include <string>

namespace wasabi {

namespace {

const RequestDigest Poison("poison");
const RequestDigest Neighbor("beside");
const TimePoint Start = TimePoint() + Millis(1000);

ServerIncarnation server(int Number) {
  return {ServerName("s" + std::to_string(Number)), 0};
}

/// Records crashes of the servers `First` to `Last` under a request.
void crash(CrashHistory &History, const RequestDigest &Digest, int First,
           int Last, TimePoint At = Start) {
  for (int i = First; i <= Last; ++i)
    recordCrashes(History, Digest, {server(i)}, At);
}

CrashStatus crashStatus(const CrashHistory &History,
                        const RequestDigest &Digest, TimePoint At = Start) {
  return findCrashStatus(History, Digest, At);
}

} // namespace

TEST_CASE("A request is quarantined after three server crashes",
          "[quarantine]") {
  CrashHistory history;
  CHECK(crashStatus(history, Poison) == CrashStatus::Clean);
  crash(history, Poison, 1, 2);
  CHECK(crashStatus(history, Poison) == CrashStatus::Suspect);
  // A repeated crash.
  CHECK_FALSE(recordCrashes(history, Poison, {server(2)}, Start));
  CHECK(crashStatus(history, Poison) == CrashStatus::Suspect);
  crash(history, Poison, 3, 3);
  CHECK(crashStatus(history, Poison) == CrashStatus::Quarantined);
}

TEST_CASE("Crashes of a restarted server with the same id count separately",
          "[quarantine]") {
  CrashHistory history;
  ServerName id("s");
  recordCrashes(history, Poison, {{id, 1}, {id, 2}, {id, 3}}, Start);
  CHECK(crashStatus(history, Poison) == CrashStatus::Quarantined);
}

TEST_CASE("An answer clears the crashes of a request", "[quarantine]") {
  CrashHistory history;
  crash(history, Neighbor, 1, 2);
  CHECK(clearCrashes(history, Neighbor));
  CHECK_FALSE(clearCrashes(history, Neighbor));
  crash(history, Neighbor, 3, 4);
  CHECK(crashStatus(history, Neighbor) == CrashStatus::Suspect);
}

TEST_CASE(
    "A request that shares servers with a poison request is not quarantined",
    "[quarantine]") {
  CrashHistory history;
  // Both requests ran on the same three servers.
  crash(history, Poison, 1, 3);
  CHECK(crashStatus(history, Poison) == CrashStatus::Quarantined);
  crash(history, Neighbor, 1, 3);
  // It is unknown which of the two caused the crashes.
  CHECK(crashStatus(history, Poison) == CrashStatus::Suspect);
  CHECK(crashStatus(history, Neighbor) == CrashStatus::Suspect);
  SECTION("when the other request is answered") {
    clearCrashes(history, Neighbor);
    CHECK(crashStatus(history, Poison) == CrashStatus::Quarantined);
  }
  SECTION("when one more server crashes under the poison request") {
    crash(history, Poison, 4, 4);
    CHECK(crashStatus(history, Poison) == CrashStatus::Quarantined);
    CHECK(crashStatus(history, Neighbor) == CrashStatus::Clean);
    // The explained crashes don't count against it; later ones do.
    crash(history, Neighbor, 5, 5);
    CHECK(crashStatus(history, Neighbor) == CrashStatus::Suspect);
  }
}

TEST_CASE("Two poison requests are both quarantined", "[quarantine]") {
  CrashHistory history;
  // Both run on two servers first, then each on its own.
  crash(history, Poison, 1, 2);
  crash(history, Neighbor, 1, 2);
  crash(history, Poison, 3, 3);
  CHECK(crashStatus(history, Poison) == CrashStatus::Quarantined);
  crash(history, Neighbor, 4, 5);
  CHECK(crashStatus(history, Neighbor) == CrashStatus::Suspect);
  crash(history, Neighbor, 6, 6);
  CHECK(crashStatus(history, Neighbor) == CrashStatus::Quarantined);
  CHECK(crashStatus(history, Poison) == CrashStatus::Quarantined);
}

TEST_CASE("A request is quarantined at the fourth crash if all are shared",
          "[quarantine]") {
  CrashHistory history;
  crash(history, Poison, 1, 4);
  crash(history, Neighbor, 1, 3);
  RequestDigest third("third");
  crash(history, third, 4, 4);
  CHECK(crashStatus(history, Poison) == CrashStatus::Quarantined);
  CHECK(crashStatus(history, Neighbor) == CrashStatus::Clean);
  CHECK(crashStatus(history, third) == CrashStatus::Clean);
}

// Guards against poison requests that explain the crashes of each other, so
// that some of them are never quarantined.
TEST_CASE("Requests that share all their crashes are quarantined at the fifth",
          "[quarantine]") {
  CrashHistory history;
  RequestDigest third("third");
  for (int i = 1; i <= 5; ++i) {
    for (const RequestDigest &it : {Poison, Neighbor, third})
      crash(history, it, i, i);
  }
  for (const RequestDigest &it : {Poison, Neighbor, third})
    CHECK(crashStatus(history, it) == CrashStatus::Quarantined);
  // A later crash that they share with another request has no effect.
  crash(history, RequestDigest("other"), 5, 5);
  for (const RequestDigest &it : {Poison, Neighbor, third})
    CHECK(crashStatus(history, it) == CrashStatus::Quarantined);
  CHECK(crashStatus(history, RequestDigest("other")) == CrashStatus::Clean);
}

// Guards against processes that quarantine different requests, and against an
// innocent one that stays quarantined because it was considered first.
TEST_CASE(
    "Which request is quarantined does not depend on the order of crashes",
    "[quarantine]") {
  CrashHistory first;
  CrashHistory second;
  crash(first, Poison, 1, 4);
  crash(first, Neighbor, 1, 4);
  crash(second, Neighbor, 1, 4);
  crash(second, Poison, 1, 4);
  // The fifth crash shows which of them caused the others.
  for (CrashHistory *it : {&first, &second}) {
    crash(*it, Poison, 5, 5);
    CHECK(crashStatus(*it, Poison) == CrashStatus::Quarantined);
    CHECK(crashStatus(*it, Neighbor) == CrashStatus::Clean);
  }
}

TEST_CASE("After the quarantine, one crash quarantines a request again",
          "[quarantine]") {
  CrashHistory history;
  crash(history, Poison, 1, 3);
  Millis quarantineTime = history.Limits.QuarantineTime;
  CHECK(remainingQuarantine(history, Poison, Start + Millis(1)) ==
        quarantineTime - Millis(1));
  CHECK(crashStatus(history, Poison, Start + quarantineTime - Millis(1)) ==
        CrashStatus::Quarantined);
  TimePoint after = Start + quarantineTime;
  CHECK(crashStatus(history, Poison, after) == CrashStatus::Suspect);
  CHECK(remainingQuarantine(history, Poison, after) == Millis(0));
  crash(history, Poison, 4, 4, after);
  CHECK(crashStatus(history, Poison, after) == CrashStatus::Quarantined);
}

TEST_CASE("Old and excess records are evicted, those of poison requests last",
          "[quarantine]") {
  CrashHistory history;
  history.Limits.MaxTrackedRequests = 2;
  crash(history, Poison, 1, 3);
  crash(history, Neighbor, 4, 4, Start + Millis(1));
  crash(history, RequestDigest("c"), 5, 5, Start + Millis(2));
  CHECK(evictOld(history, Start) == std::set<RequestDigest>{Neighbor});
  CHECK(crashStatus(history, Poison) == CrashStatus::Quarantined);
  TimePoint later = Start + history.Limits.RecordRetention + Millis(1);
  CHECK(evictOld(history, later) == std::set<RequestDigest>{Poison});
  CHECK(history.Requests.size() == 1);
}

} // namespace wasabi
