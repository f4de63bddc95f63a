#include "UnitTests/State/FoldFixture.h"

#include <catch2/catch.hpp>

using Catch::Contains;
using wasabi::ClaimAcquire;
using wasabi::ClaimRelease;
using wasabi::ClaimRenew;
using wasabi::ControlStateChange;
using wasabi::FencingToken;
using wasabi::FoldState;
using wasabi::Millis;
using wasabi::Offset;
using wasabi::Outcome;
using wasabi::RecordStatus;
using wasabi::TimePoint;
using wasabi::foldtest::FoldedLog;
using wasabi::foldtest::limit;

TEST_CASE("Only the conflicting one of several concurrent changes is refused") {
  FoldedLog log;
  CHECK(log.change("anna", 0, {limit("a", 1), limit("b", 1)}).ApplyStatus ==
        RecordStatus::Accepted);
  // All three operators have read only the first change.
  CHECK(log.change("bo", 1, {limit("a", 2)}).ApplyStatus ==
        RecordStatus::Accepted);
  CHECK(log.change("carl", 1, {limit("b", 3)}).ApplyStatus ==
        RecordStatus::Accepted);
  ControlStateChange refused =
      log.change("dora", 1, {limit("c", 4), limit("a", 4)});
  CHECK(refused.ApplyStatus == RecordStatus::Refused);
  CHECK(refused.Reason == "conflict: limit/a was changed at offset 1 by bo");
  CHECK_FALSE(refused.ConfigChanged);
  CHECK(log.State.Config->Limits.at("a").Burst == 2);
  CHECK(log.State.Config->Limits.at("b").Burst == 3);
  CHECK_FALSE(log.State.Config->Limits.contains("c"));
  CHECK(log.State.ConfigRevision == 3);
  CHECK(log.State.History.size() == 4);
}

TEST_CASE(
    "A change conflicts with writes and removals of the keys that it read") {
  FoldedLog log;
  log.change("anna", 0, {limit("a", 1)});
  log.change("anna", 1, {{"limit/a", std::nullopt}});
  CHECK_THAT(log.change("bo", 1, {limit("b", 1)}, {"limit/a"}).Reason,
             Contains("limit/a was removed at offset 1 by anna"));
  CHECK(log.change("bo", 2, {limit("b", 1)}, {"limit/a"}).ApplyStatus ==
        RecordStatus::Accepted);
  CHECK_THAT(log.change("bo", 4, {{"limit/a", std::nullopt}}).Reason,
             Contains("no such object"));
  CHECK_THAT(log.change("bo", 99, {limit("d", 1)}).Reason,
             Contains("lies ahead"));
}

TEST_CASE("A change that makes the configuration invalid has no effect") {
  FoldedLog log;
  const std::string preset = R"({"kind":"preset","name":"peak"})";
  const std::string activePreset =
      R"({"kind":"switch","name":"preset","preset":"peak"})";
  log.change("anna", 0,
             {{"preset/peak", preset}, {"switch/preset", activePreset}});
  FoldState before = log.State;
  ControlStateChange refused =
      log.change("bo", 1, {limit("a", 1), {"preset/peak", std::nullopt}});
  CHECK(refused.ApplyStatus == RecordStatus::Refused);
  CHECK_THAT(refused.Reason, Contains("no preset/peak"));
  CHECK(log.State.Objects == before.Objects);
  CHECK(log.State.Removed.empty());
  CHECK_THAT(
      log.change("bo", 2, {{"limit/a", wasabi::foldtest::limitText("z", 1)}})
          .Reason,
      Contains("the object is limit/z"));
}

TEST_CASE(
    "Each record id is applied once, and duplicates return the first result") {
  FoldedLog log;
  wasabi::ConfigChange change{0, {}, {limit("a", 1)}, "anna", ""};
  CHECK(log.add({"ctl", 5, 1}, change).ApplyStatus == RecordStatus::Accepted);
  ControlStateChange again = log.add({"ctl", 5, 1}, change);
  CHECK(again.ApplyStatus == RecordStatus::Duplicate);
  CHECK(again.IsSameId);
  CHECK(again.PriorOffset == 0);
  CHECK(again.PriorStatus == RecordStatus::Accepted);

  change.Writes = {limit("a", 2)};
  CHECK(log.add({"ctl", 5, 2}, change).ApplyStatus == RecordStatus::Refused);
  CHECK(log.add({"ctl", 5, 2}, change).PriorStatus == RecordStatus::Refused);
  CHECK_FALSE(log.add({"ctl", 5, 1}, change).IsSameId);
  change.Base = 5;
  CHECK(log.add({"ctl", 4, 9}, change).ApplyStatus == RecordStatus::Duplicate);
  CHECK(log.add({"ctl", 6, 0}, change).ApplyStatus == RecordStatus::Accepted);
}

TEST_CASE("The first acquisition wins, and only the holder renews the claim") {
  FoldedLog log;
  log.appendText("not a record");
  CHECK(log.by("d1", ClaimAcquire{"trainer/t", 0, Millis(10), 0})
            .ChangedClaimResource == "trainer/t");
  CHECK_THAT(log.by("d2", ClaimAcquire{"trainer/t", 0, Millis(10), 0}).Reason,
             Contains("held by d1 since token 2"));
  CHECK(log.by("d2", ClaimRenew{"trainer/t", 2}).ApplyStatus ==
        RecordStatus::Refused);
  CHECK(log.by("d1", ClaimRenew{"trainer/t", 2}, 7).ApplyStatus ==
        RecordStatus::Refused);
  CHECK(log.by("d1", ClaimRenew{"trainer/t", 2}, 7).ApplyStatus ==
        RecordStatus::Refused);
  REQUIRE(log.claim("trainer/t"));
  CHECK(log.claim("trainer/t")->Token == 2);
  CHECK(log.claim("trainer/t")->RenewalOffset == 1);
}

TEST_CASE(
    "An acquisition by an author that has not read a renewal is refused") {
  FoldedLog log;
  log.by("d1", ClaimAcquire{"trainer/t", 0, Millis(10), 0});
  ClaimAcquire late =
      wasabi::makeClaimAcquire("trainer/t", log.claim("trainer/t"), Millis(10));
  log.by("d1", ClaimRenew{"trainer/t", 1});
  CHECK_THAT(log.by("d2", late).Reason,
             Contains("renewed by d1 since token 1"));
  CHECK(log.by("d2", wasabi::makeClaimAcquire(
                         "trainer/t", log.claim("trainer/t"), Millis(10)))
            .ApplyStatus == RecordStatus::Accepted);
  CHECK(log.claim("trainer/t")->Token == 4);
  CHECK(log.claim("trainer/t")->Holder.Text == "d2");
  CHECK(log.by("d1", ClaimRenew{"trainer/t", 1}).ApplyStatus ==
        RecordStatus::Refused);
  CHECK(log.by("d2", ClaimRelease{"trainer/t", 4}).ApplyStatus ==
        RecordStatus::Accepted);
  CHECK(log.by("d2", ClaimRenew{"trainer/t", 4}).ApplyStatus ==
        RecordStatus::Refused);
  CHECK(log.by("d3", ClaimAcquire{"trainer/t", 4, Millis(10), 0}).ApplyStatus ==
        RecordStatus::Accepted);
}

TEST_CASE("A claim at offset 0 has a non-zero token") {
  FoldedLog log;
  log.by("d1", ClaimAcquire{"snapshots", 0, Millis(10), 0});
  CHECK(log.claim("snapshots")->Token == 1);
  CHECK(log.by("d2", ClaimAcquire{"snapshots", 0, Millis(10), 0}).ApplyStatus ==
        RecordStatus::Refused);
}

TEST_CASE(
    "A holder's authority ends before a successor may acquire the claim") {
  const TimePoint sent{std::chrono::seconds(100)};
  const Millis term(10000);
  wasabi::Claim claim{wasabi::InstanceName("d1"), 1, 1, term, 0, false};
  // The successor reads the record no earlier than when it is sent.
  CHECK_FALSE(canAcquireClaim(&claim, sent, wasabi::authorityEnd(sent, term)));
  CHECK_FALSE(canAcquireClaim(&claim, sent, sent + term - Millis(1)));
  CHECK(canAcquireClaim(&claim, sent, sent + term));
  CHECK(wasabi::canAcquireClaim(nullptr, sent, sent));
  claim.Released = true;
  CHECK(canAcquireClaim(&claim, sent, sent));
}

TEST_CASE("The fold stops before a record with a newer schema") {
  FoldedLog log;
  log.change("anna", 0, {limit("a", 1)});
  std::string before = encodeState(log.State);
  CHECK(log.appendText(R"({"schema":2})").ApplyStatus ==
        RecordStatus::NewerSchema);
  CHECK(log.State.BlockedOffset == Offset(1));
  CHECK(apply(log.State, 1, "").ApplyStatus == RecordStatus::NewerSchema);
  CHECK(encodeState(log.State) == before);
  CHECK(log.State.Next == 1);
}

TEST_CASE("A decoded state equals the encoded one") {
  FoldedLog log;
  log.change("anna", 0, {limit("a", 1), limit("b", 1)});
  log.change("anna", 1, {{"limit/a", std::nullopt}});
  log.by("d1", ClaimAcquire{"weights/m", 0, Millis(10), 0});
  FoldState back = wasabi::foldtest::reloadState(log.State);
  CHECK(encodeState(back) == encodeState(log.State));
  CHECK(*back.Config == *log.State.Config);
  CHECK(back.Objects == log.State.Objects);
  CHECK(back.Removed == log.State.Removed);
  CHECK(back.Claims == log.State.Claims);
  CHECK(back.Authors == log.State.Authors);
  CHECK(back.History == log.State.History);
  CHECK(hashState(back).size() == 32);
  CHECK_FALSE(wasabi::toOutcome<FoldState>(
      [] { return wasabi::decodeState("{\"schema\":1}"); }));
}

TEST_CASE("A snapshot that differs from the process' own state is reported") {
  FoldedLog log;
  log.by("d1", ClaimAcquire{"snapshots", 0, Millis(10), 0});
  wasabi::SnapshotRecord good = makeSnapshot(log.State, 1);
  log.change("anna", 0, {limit("a", 1)});
  // With records in between, the chain hash is compared.
  CHECK_FALSE(log.by("d1", good).Diverged);
  CHECK(log.State.SnapshotRevision == 3);
  wasabi::SnapshotRecord other = makeSnapshot(log.State, 1);
  other.ChainHash += 1;
  CHECK(log.by("d1", other).Diverged);

  // Without records in between, the state's hash is compared too, even if the
  // chain hash matches.
  FoldState altered = log.State;
  altered.Objects["limit/a"].Text = wasabi::foldtest::limitText("a", 9);
  CHECK(log.by("d1", makeSnapshot(altered, 1)).Diverged);
  ControlStateChange same = log.by("d1", makeSnapshot(log.State, 1));
  CHECK(same.ApplyStatus == RecordStatus::Accepted);
  CHECK_FALSE(same.Diverged);
}

TEST_CASE("A snapshot at an eviction offset does not diverge") {
  FoldedLog log;
  log.by("d1", ClaimAcquire{"snapshots", 0, Millis(10), 0});
  log.change("anna", 1, {limit("a", 1)});
  log.change("anna", 2, {{"limit/a", std::nullopt}});
  const Offset evictionOffset =
      (wasabi::RetentionWindow / wasabi::EvictionInterval + 1) *
      wasabi::EvictionInterval;
  while (log.State.Next < evictionOffset)
    apply(log.State, log.State.Next, "");
  REQUIRE_FALSE(log.State.Removed.empty());
  std::string text =
      wasabi::encodeRecord({{"d1", 1, 99}, makeSnapshot(log.State, 1)});
  ControlStateChange done = apply(log.State, evictionOffset, text);
  CHECK(done.ApplyStatus == RecordStatus::Accepted);
  CHECK_FALSE(done.Diverged);
  CHECK(log.State.Removed.empty());
}

TEST_CASE("A snapshot by a non-holder or with a wrong hash is refused") {
  FoldedLog log;
  log.by("d1", ClaimAcquire{"snapshots", 0, Millis(10), 0});
  CHECK(log.by("d2", makeSnapshot(log.State, 1)).ApplyStatus ==
        RecordStatus::Refused);
  wasabi::SnapshotRecord bad = makeSnapshot(log.State, 1);
  bad.Hash = std::string(32, '0');
  CHECK_THAT(log.by("d1", bad).Reason, Contains("hash"));
  bad = makeSnapshot(log.State, 1);
  bad.Before = 1000;
  CHECK(log.by("d1", bad).ApplyStatus == RecordStatus::Refused);
  CHECK(log.State.SnapshotRevision == 0);
}

TEST_CASE("Recovery uses the latest valid snapshot") {
  FoldedLog log;
  log.by("d1", ClaimAcquire{"snapshots", 0, Millis(10), 0});
  log.by("d1", makeSnapshot(log.State, 1));
  log.change("anna", 2, {limit("a", 1)});
  wasabi::SnapshotRecord bad = makeSnapshot(log.State, 1);
  bad.State[10] = '9';
  log.by("d1", bad);
  log.by("d2", makeSnapshot(log.State, 1));
  log.change("anna", 3, {limit("b", 1)});

  std::vector<wasabi::LogEntry> kept(log.Log.begin() + 1, log.Log.end());
  Outcome<FoldState> state = wasabi::foldtest::tryRecoverState(kept);
  REQUIRE(state);
  CHECK(encodeState(*state) == encodeState(log.State));
  kept.erase(kept.begin());
  REQUIRE_FALSE(wasabi::foldtest::tryRecoverState(kept));
  CHECK(wasabi::foldtest::tryRecoverState(kept).failure().Code ==
        wasabi::FailureCode::Unavailable);
  CHECK(wasabi::foldtest::tryRecoverState({})->Next == 0);
}

TEST_CASE("Every process evicts old entries at the same offset") {
  FoldedLog log;
  log.change("anna", 0, {limit("a", 1)});
  log.change("anna", 1, {{"limit/a", std::nullopt}});
  log.by("d1", ClaimAcquire{"trainer/t", 0, Millis(10), 0});
  log.by("d1", ClaimRelease{"trainer/t", 3});
  FoldState restarted = wasabi::foldtest::reloadState(log.State);
  auto skip = [](FoldState &State, Offset Until) {
    while (State.Next < Until)
      apply(State, State.Next, "");
  };
  const Offset evictionOffset = wasabi::RetentionWindow /
                                    wasabi::EvictionInterval *
                                    wasabi::EvictionInterval +
                                wasabi::EvictionInterval;
  skip(log.State, evictionOffset);
  CHECK(log.State.Removed.contains("limit/a"));
  CHECK_THAT(
      apply(log.State, evictionOffset,
            wasabi::encodeRecord(
                {{"bo", 1, 1},
                 wasabi::ConfigChange{0, {}, {limit("a", 2)}, "bo", ""}}))
          .Reason,
      Contains("too old"));
  CHECK(log.State.Removed.empty());
  CHECK(log.State.Claims.empty());
  CHECK(log.State.Authors.size() == 1);
  CHECK(log.State.RecentChainHashes.size() == wasabi::MaxRecentChainHashes);

  skip(restarted, evictionOffset);
  apply(restarted, evictionOffset,
        wasabi::encodeRecord(
            {{"bo", 1, 1},
             wasabi::ConfigChange{0, {}, {limit("a", 2)}, "bo", ""}}));
  CHECK(encodeState(restarted) == encodeState(log.State));
}
