#include "Wasabi/Quarantine/CrashTopic.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

const RequestDigest First("first");
const RequestDigest Second("second");
const ServerIncarnation ServerA{ServerName("a"), 1};
const ServerIncarnation ServerB{ServerName("b"), 1};
const TimePoint Start = TimePoint() + Millis(1000);

RunClaims makeClaims(const std::string &Self) {
  RunClaims claims;
  claims.Self = Self;
  return claims;
}

} // namespace

TEST_CASE("Of two claims of one server, the earlier one holds",
          "[quarantine]") {
  // Two processes claim the server at the same time and read both records.
  RunClaims left = makeClaims("left");
  RunClaims right = makeClaims("right");
  left.Own[First] = {ServerA, std::nullopt};
  right.Own[Second] = {ServerA, std::nullopt};
  CHECK(claimStatus(left, First, Start) == ClaimStatus::Pending);
  for (RunClaims *it : {&left, &right}) {
    CHECK_FALSE(applyClaim(*it, First, RunClaim{ServerA, "left"}, 5, Start));
    CHECK_FALSE(applyClaim(*it, Second, RunClaim{ServerA, "right"}, 6, Start));
  }
  CHECK(claimStatus(left, First, Start) == ClaimStatus::Held);
  CHECK(claimStatus(right, Second, Start) == ClaimStatus::Lost);
  CHECK(claimedServers(right, Start).contains(ServerA));
  SECTION("even if its record is written again") {
    for (RunClaims *it : {&left, &right})
      applyClaim(*it, First, RunClaim{ServerA, "left"}, 7, Start);
    CHECK(claimStatus(left, First, Start) == ClaimStatus::Held);
    CHECK(claimStatus(right, Second, Start) == ClaimStatus::Lost);
  }
  SECTION("until it is released") {
    applyClaim(right, First, std::nullopt, 7, Start);
    CHECK(claimStatus(right, Second, Start) == ClaimStatus::Held);
  }
  SECTION("until its process is taken for dead") {
    TimePoint later = Start + right.Limits.Validity;
    CHECK(claimStatus(right, Second, later) == ClaimStatus::Held);
  }
}

TEST_CASE("Claims of different servers do not exclude each other",
          "[quarantine]") {
  RunClaims claims = makeClaims("self");
  claims.Own[First] = {ServerA, std::nullopt};
  applyClaim(claims, Second, RunClaim{ServerB, "other"}, 5, Start);
  applyClaim(claims, First, RunClaim{ServerA, "self"}, 6, Start);
  CHECK(claimStatus(claims, First, Start) == ClaimStatus::Held);
  CHECK(claimedServers(claims, Start) ==
        std::set<ServerIncarnation>{ServerA, ServerB});
}

TEST_CASE("A request that another process runs is not run a second time",
          "[quarantine]") {
  RunClaims claims = makeClaims("self");
  applyClaim(claims, First, RunClaim{ServerA, "other"}, 5, Start);
  CHECK(isRunClaimed(claims, First, Start));
  CHECK_FALSE(isRunClaimed(claims, First, Start + claims.Limits.Validity));
  // A claim that was written before the other one was read.
  claims.Own[First] = {ServerB, std::nullopt};
  applyClaim(claims, First, RunClaim{ServerB, "self"}, 6, Start);
  CHECK(claimStatus(claims, First, Start) == ClaimStatus::Lost);
}

TEST_CASE("A claim that another process overwrites is written again",
          "[quarantine]") {
  RunClaims claims = makeClaims("self");
  claims.Own[First] = {ServerA, std::nullopt};
  // A record from before the claim.
  CHECK_FALSE(applyClaim(claims, First, std::nullopt, 4, Start));
  CHECK_FALSE(applyClaim(claims, First, RunClaim{ServerA, "self"}, 5, Start));
  CHECK(applyClaim(claims, First, std::nullopt, 6, Start));
}

TEST_CASE("Crash records survive encoding", "[quarantine]") {
  CrashTopicRecord record;
  record.Crashes = {ServerA, ServerB};
  CHECK(decodeCrashRecord(encodeCrashRecord(record), "test").value() == record);
  record.IsolatedCrashes = {ServerB};
  record.Claim = RunClaim{ServerA, "holder"};
  CHECK(decodeCrashRecord(encodeCrashRecord(record), "test").value() == record);
  record.Losses = {{ServerA, "holder", true}, {ServerB, "other", false}};
  CHECK(decodeCrashRecord(encodeCrashRecord(record), "test").value() == record);
  // A record of a process that knows no claims.
  CrashTopicRecord plain;
  plain.Crashes = {ServerA};
  CHECK(decodeCrashRecord(R"({"ends": [{"server": "a", "start": 1}]})", "test")
            .value() == plain);
  CHECK_FALSE(decodeCrashRecord(R"({"ends": [], "run": {}})", "test"));
}

} // namespace wasabi
