#include "Ctl/Commands.h"
#include "Ctl/Fleet.h"
#include "Ctl/Folder.h"
#include "Wasabi/Adapters/PlatformLog/Commit.h"
#include "Wasabi/Adapters/PlatformLog/LogRecovery.h"
#include "Wasabi/State/ChangePlan.h"

#include <charconv>
#include <iostream>
#include <random>

namespace wasabi::ctl {

namespace {

/// A change and the state that it was planned against.
struct PreparedChange {
  FoldState State;
  ChangePlan Plan;
};

std::string formatId(const RecordId &Id) {
  return Id.Author + ":" + std::to_string(Id.Life) + ":" +
         std::to_string(Id.Sequence);
}

Result<std::uint64_t> parseNumber(std::string_view Text,
                                  const std::string &Place) {
  std::uint64_t out = 0;
  std::from_chars_result read =
      std::from_chars(Text.data(), Text.data() + Text.size(), out);
  if (Text.empty() || read.ec != std::errc() ||
      read.ptr != Text.data() + Text.size())
    return badInput(Place, "'" + std::string(Text) + "' is not a whole number");
  return out;
}

/// Parses AUTHOR:LIFE:SEQUENCE.
Result<RecordId> parseId(std::string_view Text) {
  const std::string place = "--resume";
  std::size_t lastColon = Text.rfind(':');
  std::size_t firstColon = lastColon == std::string_view::npos || lastColon == 0
                               ? std::string_view::npos
                               : Text.rfind(':', lastColon - 1);
  if (firstColon == std::string_view::npos || firstColon == 0)
    return badInput(place, "'" + std::string(Text) + "' is not an id");
  RecordId out;
  out.Author = std::string(Text.substr(0, firstColon));
  BOOST_LEAF_ASSIGN(
      out.Life,
      parseNumber(Text.substr(firstColon + 1, lastColon - firstColon - 1),
                  place));
  BOOST_LEAF_ASSIGN(out.Sequence,
                    parseNumber(Text.substr(lastColon + 1), place));
  return out;
}

/// Returns an id with an author that is unique to this run, so that concurrent
/// runs of one operator have different ids.
RecordId makeId(const std::string &Operator) {
  std::random_device random;
  RecordId out;
  out.Life = wallMicros();
  out.Author = "wasabictl/" + Operator + "/" + std::to_string(random());
  out.Sequence = 1;
  return out;
}

CommitSettings makeCommitSettings(const Session &CtlSession) {
  CommitSettings out;
  out.Deadline = CtlSession.Flags.Timeout;
  return out;
}

Result<FoldState> readState(Session &CtlSession,
                            std::optional<Offset> End = std::nullopt) {
  BOOST_LEAF_AUTO(log, CtlSession.log());
  BOOST_LEAF_AUTO(state, toResult(CtlSession.run(recoverFromLog(log, End))));
  return state;
}

/// Fails if the log has a record that this version cannot read.
Result<void> checkNotBlocked(const FoldState &State) {
  if (!State.BlockedOffset)
    return {};
  return boost::leaf::new_error(
      Failure{Verdict::NotRun,
              FailureCode::NewerSchema,
              "offset " + std::to_string(*State.BlockedOffset),
              "is a record of a newer program: use the newer wasabictl",
              {}});
}

/// Example: "lulea-1 (has applied up to offset 4), umea-2 (REASON)".
std::string describeMissing(const std::vector<InstanceStatus> &Statuses,
                            Offset At) {
  std::string out;
  for (const InstanceStatus &it : Statuses) {
    if (!it.Problem && it.NextOffset > At)
      continue;
    out += out.empty() ? "" : ", ";
    out += it.Instance.Name + (it.Problem
                                   ? " (" + describe(*it.Problem) + ")"
                                   : " (has applied up to offset " +
                                         std::to_string(it.NextOffset) + ")");
  }
  return out;
}

/// Waits until the record at `At` is in force and prints the number of
/// instances.
Result<ExitCode> reportInForce(Session &CtlSession, Offset At) {
  const std::string accepted = "accepted at offset " + std::to_string(At);
  Outcome<std::vector<KnownInstance>> known =
      toOutcome<std::vector<KnownInstance>>(
          [&] { return listInstances(CtlSession); });
  if (!known) {
    std::cout << accepted << ", in force on an unknown number of instances: "
              << known.failure().Place << " " << known.failure().Reason << "\n";
    return NotAllInstances;
  }
  std::vector<KnownInstance> staying;
  for (KnownInstance &it : *known)
    if (!it.Leaving)
      staying.push_back(std::move(it));
  std::vector<InstanceStatus> statuses = awaitApplied(CtlSession, staying, At);
  std::size_t reached = 0;
  for (const InstanceStatus &it : statuses)
    reached += !it.Problem && it.NextOffset > At ? 1 : 0;
  std::cout << accepted << ", in force on " << reached << " of "
            << statuses.size() << " instances\n";
  if (reached == statuses.size())
    return ExitCode::Success;
  std::cout << "not seen on: " << describeMissing(statuses, At) << "\n";
  return NotAllInstances;
}

Result<ExitCode> reportCommit(Session &CtlSession, const RecordId &Id,
                              const CommitResult &Commit) {
  switch (Commit.Kind) {
  case CommitStatus::Accepted:
    return reportInForce(CtlSession, Commit.At);
  case CommitStatus::Refused:
    std::cout << "refused: " << Commit.Reason << "\n";
    return ExitCode::OutcomeNotMet;
  case CommitStatus::NotAppended:
    std::cout << "not sent: " << Commit.Reason << "; nothing was changed\n";
    return ExitCode::Unavailable;
  case CommitStatus::Unknown:
    break;
  }
  std::cout << "unknown: id " << formatId(Id) << ": " << Commit.Reason
            << "; settle it with wasabictl apply --resume " << formatId(Id)
            << "\n";
  return UnknownOutcome;
}

/// Commits a change and prints the result.
Result<ExitCode> commitChange(Session &CtlSession, PreparedChange Change) {
  std::cout << describePlan(Change.Plan);
  if (Change.Plan.Writes.empty())
    return ExitCode::Success;
  if (CtlSession.Flags.Operator.empty())
    return badInput("--operator", "is required: the name of the operator");
  BOOST_LEAF_CHECK(checkNotBlocked(Change.State));
  BOOST_LEAF_CHECK(checkPlan(Change.State, Change.Plan));
  BOOST_LEAF_AUTO(log, CtlSession.log());

  Record record{makeId(CtlSession.Flags.Operator),
                makeChange(Change.Plan, CtlSession.Flags.Operator,
                           CtlSession.Flags.Message)};
  // Rejects a record that could not be decoded from the log.
  BOOST_LEAF_CHECK(decodeRecord(encodeRecord(record)));
  // Printed before the record is sent, so that an interrupted run can be
  // resumed.
  std::cerr << "id " << formatId(record.Id) << std::endl;
  CommitResult committed = CtlSession.run(
      commitRecord(log, Change.State, record, makeCommitSettings(CtlSession)));
  return reportCommit(CtlSession, record.Id, committed);
}

Result<PreparedChange> prepareFolder(Session &CtlSession,
                                     const std::string &Folder) {
  BOOST_LEAF_AUTO(wanted, readFolder(Folder));
  PreparedChange out;
  BOOST_LEAF_ASSIGN(out.State, readState(CtlSession));
  out.Plan = planApply(out.State, wanted, CtlSession.Flags.Prune);
  return out;
}

} // namespace

Result<ExitCode> validate(const std::string &Folder) {
  BOOST_LEAF_AUTO(objects, readFolder(Folder));
  BOOST_LEAF_CHECK(buildConfiguration(objects));
  std::cout << "valid: " << objects.size() << " objects\n";
  return ExitCode::Success;
}

Result<ExitCode> plan(Session &CtlSession, const std::string &Folder) {
  BOOST_LEAF_AUTO(prepared, prepareFolder(CtlSession, Folder));
  std::cout << describePlan(prepared.Plan);
  for (const std::string &key : prepared.Plan.UnmanagedKeys)
    std::cout << "  " << key << " is not in the folder and stays\n";
  BOOST_LEAF_CHECK(checkNotBlocked(prepared.State));
  BOOST_LEAF_CHECK(checkPlan(prepared.State, prepared.Plan));
  return ExitCode::Success;
}

Result<ExitCode> applyFolder(Session &CtlSession, const std::string &Folder) {
  BOOST_LEAF_AUTO(prepared, prepareFolder(CtlSession, Folder));
  return commitChange(CtlSession, std::move(prepared));
}

Result<ExitCode> resume(Session &CtlSession) {
  BOOST_LEAF_AUTO(id, parseId(CtlSession.Flags.ResumeId));
  BOOST_LEAF_AUTO(log, CtlSession.log());
  BOOST_LEAF_AUTO(state, readState(CtlSession));
  CommitResult committed = CtlSession.run(
      settleRecord(log, state, id, makeCommitSettings(CtlSession)));
  return reportCommit(CtlSession, id, committed);
}

Result<ExitCode> preset(Session &CtlSession, const std::string &Name) {
  PreparedChange prepared;
  BOOST_LEAF_ASSIGN(prepared.State, readState(CtlSession));
  BOOST_LEAF_ASSIGN(prepared.Plan,
                    planPreset(prepared.State, PresetName(Name)));
  return commitChange(CtlSession, std::move(prepared));
}

Result<ExitCode> rollback(Session &CtlSession, const std::string &At) {
  BOOST_LEAF_AUTO(offset, parseNumber(At, "OFFSET"));
  PreparedChange prepared;
  BOOST_LEAF_ASSIGN(prepared.State, readState(CtlSession));
  if (offset >= prepared.State.Next)
    return badInput("OFFSET", "the log ends before " + At);
  BOOST_LEAF_AUTO(earlier, readState(CtlSession, offset + 1));
  prepared.Plan = planRestore(prepared.State, earlier);
  return commitChange(CtlSession, std::move(prepared));
}

} // namespace wasabi::ctl
