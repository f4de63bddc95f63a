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

/// Returns the input of a successor to another holder's claim, which was read
/// at `Start`.
ClaimDecisionInput successor() {
  ClaimDecisionInput input;
  input.Current = claimOf("other");
  input.Wanted = true;
  input.ReadAt = Start;
  input.WantedAt = Start - std::chrono::seconds(60);
  return input;
}

ClaimAction at(const ClaimDecisionInput &Now, Millis Later) {
  return decideClaim(Now, ClaimSettings(), Start + Later);
}

} // namespace

TEST_CASE("A successor waits a full term after it has read the last renewal",
          "[node][claims]") {
  CHECK(at(successor(), Millis(9999)) == ClaimAction::Wait);
  CHECK(at(successor(), Millis(10000)) == ClaimAction::Acquire);
}

TEST_CASE("Members of lower rank wait longer", "[node][claims]") {
  ClaimDecisionInput input = successor();
  input.Rank = 2;
  CHECK(at(input, Millis(10900)) == ClaimAction::Wait);
  CHECK(at(input, Millis(11000)) == ClaimAction::Acquire);
  input.Rank = 300;
  CHECK(at(input, Millis(15000)) == ClaimAction::Acquire);
}

TEST_CASE("A released claim is available immediately", "[node][claims]") {
  ClaimDecisionInput input = successor();
  input.Current->Released = true;
  CHECK(at(input, Millis(0)) == ClaimAction::Acquire);
}

TEST_CASE("A claim is not acquired if not allowed, not requested or in flight",
          "[node][claims]") {
  ClaimDecisionInput input = successor();
  input.MayAcquire = false;
  CHECK(at(input, Millis(60000)) == ClaimAction::Wait);
  input = successor();
  input.AppendInFlight = true;
  CHECK(at(input, Millis(60000)) == ClaimAction::Wait);
  input = successor();
  input.Wanted = false;
  CHECK(at(input, Millis(60000)) == ClaimAction::Wait);
}

TEST_CASE("A free claim is acquired after the settle delay", "[node][claims]") {
  ClaimDecisionInput input;
  input.Wanted = true;
  input.WantedAt = Start;
  CHECK(at(input, Millis(1400)) == ClaimAction::Wait);
  CHECK(at(input, Millis(1500)) == ClaimAction::Acquire);
}

TEST_CASE("A holder renews after a third of the term and releases claims that "
          "are not requested",
          "[node][claims]") {
  ClaimDecisionInput input;
  input.Current = claimOf("self");
  input.IsHolder = true;
  input.Wanted = true;
  input.SentAt = Start;
  CHECK(at(input, Millis(3300)) == ClaimAction::Wait);
  CHECK(at(input, Millis(3400)) == ClaimAction::Renew);
  input.Wanted = false;
  CHECK(at(input, Millis(0)) == ClaimAction::Release);
}

TEST_CASE("Snapshots are written well before the records they replace expire",
          "[node][snapshot]") {
  SnapshotSettings limits;
  SnapshotDecisionInput input;
  CHECK(!snapshotDue(input, limits));
  input.Next = 999;
  CHECK(!snapshotDue(input, limits));
  input.Next = 1000;
  CHECK(snapshotDue(input, limits));
  input.Last = 1000;
  input.Age = limits.MaxAge;
  CHECK(!snapshotDue(input, limits));
  input.Next = 1001;
  CHECK(snapshotDue(input, limits));

  // A log that retains 300 records gets a snapshot every 100 records.
  input = SnapshotDecisionInput{1099, 1000, 799, Millis(0)};
  CHECK(!snapshotDue(input, limits));
  input.Next = 1100;
  input.LogFirst = 800;
  CHECK(snapshotDue(input, limits));
}

TEST_CASE("Malformed entries of the platform's list are skipped",
          "[node][list]") {
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
