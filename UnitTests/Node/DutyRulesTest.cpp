#include "Wasabi/Node/ClaimRules.h"
#include "Wasabi/Node/InstanceList.h"
#include "Wasabi/Node/SnapshotRule.h"

#include <catch2/catch.hpp>

namespace wasabi {
namespace {

constexpr TimePoint Start{Micros(1000000000)};

Claim claimOf(const char *Holder) {
  Claim claim;
  claim.Holder = InstanceName(Holder);
  claim.Token = 4;
  claim.Term = Millis(10000);
  return claim;
}

/// Another's claim, read at `Start`, wanted long since.
ClaimDecisionInput successor() {
  ClaimDecisionInput now;
  now.Current = claimOf("other");
  now.Wanted = true;
  now.ReadAt = Start;
  now.WantedAt = Start - std::chrono::seconds(60);
  return now;
}

ClaimAction at(const ClaimDecisionInput &Now, Millis Later) {
  return decideClaim(Now, ClaimSettings(), Start + Later);
}

} // namespace

TEST_CASE("A successor waits a full term from when it read the renewal",
          "[node][claims]") {
  CHECK(at(successor(), Millis(9999)) == ClaimAction::Wait);
  CHECK(at(successor(), Millis(10000)) == ClaimAction::Take);
}

TEST_CASE("Those that rank later wait longer", "[node][claims]") {
  ClaimDecisionInput now = successor();
  now.Rank = 2;
  CHECK(at(now, Millis(10900)) == ClaimAction::Wait);
  CHECK(at(now, Millis(11000)) == ClaimAction::Take);
  now.Rank = 300;
  CHECK(at(now, Millis(15000)) == ClaimAction::Take);
}

TEST_CASE("A released claim is free at once", "[node][claims]") {
  ClaimDecisionInput now = successor();
  now.Current->Released = true;
  CHECK(at(now, Millis(0)) == ClaimAction::Take);
}

TEST_CASE("Who may not decide, or waits for an answer, takes nothing",
          "[node][claims]") {
  ClaimDecisionInput now = successor();
  now.MayAcquire = false;
  CHECK(at(now, Millis(60000)) == ClaimAction::Wait);
  now = successor();
  now.Busy = true;
  CHECK(at(now, Millis(60000)) == ClaimAction::Wait);
  now = successor();
  now.Wanted = false;
  CHECK(at(now, Millis(60000)) == ClaimAction::Wait);
}

TEST_CASE("A claim nobody has is taken once the view has filled",
          "[node][claims]") {
  ClaimDecisionInput now;
  now.Wanted = true;
  now.WantedAt = Start;
  CHECK(at(now, Millis(1400)) == ClaimAction::Wait);
  CHECK(at(now, Millis(1500)) == ClaimAction::Take);
}

TEST_CASE("A holder renews at a third of the term, and gives up what it does "
          "not want",
          "[node][claims]") {
  ClaimDecisionInput now;
  now.Current = claimOf("self");
  now.Mine = true;
  now.Wanted = true;
  now.SentAt = Start;
  CHECK(at(now, Millis(3300)) == ClaimAction::Wait);
  CHECK(at(now, Millis(3400)) == ClaimAction::Renew);
  now.Wanted = false;
  CHECK(at(now, Millis(0)) == ClaimAction::Release);
}

TEST_CASE("Snapshots are written well before what they stand for expires",
          "[node][snapshot]") {
  SnapshotSettings limits;
  SnapshotDecisionInput now;
  CHECK(!snapshotDue(now, limits));
  now.Next = 999;
  CHECK(!snapshotDue(now, limits));
  now.Next = 1000;
  CHECK(snapshotDue(now, limits));
  now.Last = 1000;
  now.Age = limits.MaxAge;
  CHECK(!snapshotDue(now, limits));
  now.Next = 1001;
  CHECK(snapshotDue(now, limits));

  // A log that keeps 300 records gets one for each 100.
  now = SnapshotDecisionInput{1099, 1000, 799, Millis(0)};
  CHECK(!snapshotDue(now, limits));
  now.Next = 1100;
  now.LogFirst = 800;
  CHECK(snapshotDue(now, limits));
}

TEST_CASE("The platform's list is read line by line", "[node][list]") {
  Outcome<std::vector<ListedInstance>> lines = parseInstanceList(
      R"({"as_of_us":1,"instances":[
        {"name":"a","failure_domain":"d","role":"entry",
         "frames":"127.0.0.1:5","http":"127.0.0.1:6","state":"leaving",
         "incarnation":12},
        {"failure_domain":"without a name"}, 3,
        {"name":"b","frames":"not an address","state":"live"}]})");
  REQUIRE(lines);
  REQUIRE(lines->size() == 2);
  ListedInstance first{InstanceName("a"),
                       DomainName("d"),
                       Role::Entry,
                       Address{"127.0.0.1", 5},
                       Address{"127.0.0.1", 6},
                       true,
                       12};
  CHECK(lines->front() == first);
  CHECK(lines->back().ControlAddress.empty());
  CHECK(!parseInstanceList("[]"));
  CHECK(!parseInstanceList("{"));
}

} // namespace wasabi
