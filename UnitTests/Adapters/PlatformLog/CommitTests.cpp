#include "UnitTests/Adapters/PlatformLog/FakeLog.h"
#include "UnitTests/State/FoldFixture.h"
#include "Wasabi/Adapters/PlatformLog/Commit.h"
#include "Wasabi/Adapters/PlatformLog/LogRecovery.h"

#include <catch2/catch.hpp>

using wasabi::CommitResult;
using wasabi::CommitSettings;
using wasabi::CommitStatus;
using wasabi::ConfigChange;
using wasabi::FoldState;
using wasabi::Millis;
using wasabi::Outcome;
using wasabi::Record;
using wasabi::RecordId;
using wasabi::foldtest::FoldedLog;
using wasabi::foldtest::limit;
using wasabi::logtest::FakeLog;
using wasabi::logtest::runUntilComplete;

namespace {

const RecordId Mine{"anna-1", 1, 1};

Record change(RecordId Id, int Burst) {
  return {std::move(Id),
          ConfigChange{0, {}, {limit("a", Burst)}, "anna", "test"}};
}

/// Deadlines for commits that complete, and for commits that time out.
CommitSettings longDeadline() { return {Millis(20000), Millis(1), Millis(1)}; }
CommitSettings shortDeadline() { return {Millis(30), Millis(1), Millis(1)}; }

CommitResult commit(FakeLog &Log, FoldState &State, const Record &NewRecord,
                    CommitSettings Limits) {
  return runUntilComplete(
      wasabi::commitRecord(Log.port(), State, NewRecord, Limits));
}

Outcome<FoldState> recover(FakeLog &Log,
                           std::optional<wasabi::Offset> Until = {}) {
  return runUntilComplete(wasabi::recoverFromLog(Log.port(), Until));
}

FakeLog makeFakeLog(const FoldedLog &Log) {
  FakeLog out;
  out.Entries = Log.Log;
  return out;
}

} // namespace

TEST_CASE(
    "A commit reads its record back, and a conflicting one names the winner") {
  FakeLog log;
  FoldState anna;
  FoldState bo;
  CHECK(commit(log, anna, change(Mine, 1), longDeadline()) ==
        CommitResult{CommitStatus::Accepted, 0, ""});
  CommitResult lost =
      commit(log, bo, change({"bo-1", 1, 1}, 2), longDeadline());
  CHECK(lost.Kind == CommitStatus::Refused);
  CHECK(lost.At == 1);
  CHECK_THAT(lost.Reason,
             Catch::Contains("limit/a was changed at offset 0 by anna"));
}

TEST_CASE("An append with a lost response is repeated but applied once") {
  FakeLog log;
  log.AppendAnswersToLose = 2;
  log.AppendsToRefuse = 1;
  log.StaleReadsLeft = 3;
  FoldState state;
  CommitResult end = commit(log, state, change(Mine, 1), longDeadline());
  CHECK(end == CommitResult{CommitStatus::Accepted, 0, ""});
  CHECK(log.Appends >= 2);
  // Duplicates of the record have no effect.
  runUntilComplete(wasabi::readAndApplyRange(log.port(), state, Millis(0)));
  CHECK(state.History.size() == 1);
}

TEST_CASE(
    "A commit to an unreachable or stale log is not appended or unknown") {
  FakeLog log;
  log.Unreachable = true;
  FoldState state;
  CHECK(commit(log, state, change(Mine, 1), shortDeadline()).Kind ==
        CommitStatus::NotAppended);
  log.Unreachable = false;
  log.StaleReadsLeft = 1 << 30;
  CHECK(commit(log, state, change(Mine, 1), shortDeadline()).Kind ==
        CommitStatus::Unknown);
}

TEST_CASE("An unknown id is settled by reading it back or using it up") {
  FakeLog log;
  FoldState first;
  commit(log, first, change(Mine, 1), longDeadline());
  FoldState reader;
  CommitResult end = runUntilComplete(
      wasabi::settleRecord(log.port(), reader, Mine, longDeadline()));
  CHECK(end == CommitResult{CommitStatus::Accepted, 0, ""});

  const RecordId late{"bo-1", 1, 1};
  end = runUntilComplete(
      wasabi::settleRecord(log.port(), reader, late, longDeadline()));
  CHECK(end.Kind == CommitStatus::Refused);
  CHECK_THAT(end.Reason, Catch::Contains("never"));
  // Appends the record late.
  Record record = change(late, 5);
  std::get<ConfigChange>(record.Body).Base = reader.Next;
  log.append(encodeRecord(record));
  runUntilComplete(wasabi::readAndApplyRange(log.port(), reader, Millis(0)));
  CHECK(reader.Config->Limits.at("a").Burst == 1);
}

TEST_CASE("A blocked state commits nothing") {
  FakeLog log;
  log.append(R"({"schema":2})");
  FoldState state;
  runUntilComplete(wasabi::readAndApplyRange(log.port(), state, Millis(0)));
  CHECK(commit(log, state, change(Mine, 1), longDeadline()).Kind ==
        CommitStatus::NotAppended);
  CHECK(log.Appends == 1);
}

TEST_CASE("A state is recovered from the first record or a snapshot") {
  FoldedLog written;
  written.by("d1", wasabi::ClaimAcquire{"snapshots", 0, Millis(10), 0});
  for (int i = 0; i < 700; ++i)
    written.change("anna", written.State.Next, {limit("a", i + 1)});
  FakeLog log = makeFakeLog(written);
  CHECK(encodeState(*recover(log)) == encodeState(written.State));
  CHECK(recover(log, 11)->Config->Limits.at("a").Burst == 10);

  // Recovery fails if records have expired without a snapshot.
  log.expireBelow(5);
  REQUIRE_FALSE(recover(log));
  CHECK(recover(log).failure().Code == wasabi::FailureCode::Unavailable);
  FoldState behind;
  CHECK_FALSE(runUntilComplete(
      wasabi::readAndApplyRange(log.port(), behind, Millis(0))));

  written.by("d1", makeSnapshot(written.State, 1));
  for (int i = 0; i < 700; ++i)
    written.change("bo", written.State.Next, {limit("b", i + 1)});
  log = makeFakeLog(written);
  log.expireBelow(600);
  CHECK(encodeState(*recover(log)) == encodeState(written.State));
  CHECK_FALSE(recover(log, 650));
  CHECK(recover(log, 702)->Next == 702);

  FakeLog empty;
  CHECK(recover(empty)->Next == 0);
}
