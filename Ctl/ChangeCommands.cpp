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

/// A change ready to be sent, and the state that it was made against.
struct Prepared {
  FoldState State;
  ChangePlan Plan;
};

std::string idText(const RecordId &Id) {
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

/// Reads AUTHOR:LIFE:SEQUENCE.
Result<RecordId> parseId(std::string_view Text) {
  const std::string place = "--resume";
  std::size_t last = Text.rfind(':');
  std::size_t middle = last == std::string_view::npos || last == 0
                           ? std::string_view::npos
                           : Text.rfind(':', last - 1);
  if (middle == std::string_view::npos || middle == 0)
    return badInput(place, "'" + std::string(Text) + "' is not an id");
  RecordId out;
  out.Author = std::string(Text.substr(0, middle));
  BOOST_LEAF_ASSIGN(
      out.Life, parseNumber(Text.substr(middle + 1, last - middle - 1), place));
  BOOST_LEAF_ASSIGN(out.Sequence, parseNumber(Text.substr(last + 1), place));
  return out;
}

/// An author of its own for each run: two clients of one operator must not
/// take each other's ids.
RecordId newId(const std::string &Operator) {
  std::random_device random;
  RecordId out;
  out.Life = wallMicros();
  out.Author = "wasabictl/" + Operator + "/" + std::to_string(random());
  out.Sequence = 1;
  return out;
}

CommitSettings commitSettings(const Session &With) {
  CommitSettings out;
  out.Deadline = With.Given.Wait;
  return out;
}

Result<FoldState> readState(Session &With,
                            std::optional<Offset> Until = std::nullopt) {
  BOOST_LEAF_AUTO(log, With.log());
  BOOST_LEAF_AUTO(state, toResult(With.run(recoverFromLog(log, Until))));
  return state;
}

/// No new decision is made past a record that this program does not know.
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

/// "lulea-1 (at offset 4), umea-2 (unreachable: …)".
std::string describeMissing(const std::vector<InstanceStatus> &Of, Offset At) {
  std::string out;
  for (const InstanceStatus &it : Of) {
    if (!it.Problem && it.Next > At)
      continue;
    out += out.empty() ? "" : ", ";
    out += it.Who.Name + (it.Problem ? " (" + describe(*it.Problem) + ")"
                                     : " (has applied up to offset " +
                                           std::to_string(it.Next) + ")");
  }
  return out;
}

/// Waits until the record at `At` is in force, and says where.
Result<ExitCode> reportInForce(Session &With, Offset At) {
  const std::string accepted = "accepted at offset " + std::to_string(At);
  Outcome<std::vector<KnownInstance>> known =
      toOutcome<std::vector<KnownInstance>>(
          [&] { return listInstances(With); });
  if (!known) {
    std::cout << accepted << ", in force on an unknown number of instances: "
              << known.failure().Place << " " << known.failure().Reason << "\n";
    return NotAllInstances;
  }
  std::vector<KnownInstance> staying;
  for (KnownInstance &it : *known)
    if (!it.Leaving)
      staying.push_back(std::move(it));
  std::vector<InstanceStatus> all = awaitApplied(With, staying, At);
  std::size_t reached = 0;
  for (const InstanceStatus &it : all)
    reached += !it.Problem && it.Next > At ? 1 : 0;
  std::cout << accepted << ", in force on " << reached << " of " << all.size()
            << " instances\n";
  if (reached == all.size())
    return ExitCode::Success;
  std::cout << "not seen on: " << describeMissing(all, At) << "\n";
  return NotAllInstances;
}

Result<ExitCode> reportEnd(Session &With, const RecordId &Id,
                           const CommitResult &End) {
  switch (End.Kind) {
  case CommitStatus::Accepted:
    return reportInForce(With, End.At);
  case CommitStatus::Refused:
    std::cout << "refused: " << End.Reason << "\n";
    return ExitCode::OutcomeNotMet;
  case CommitStatus::NotAppended:
    std::cout << "not sent: " << End.Reason << "; nothing was changed\n";
    return ExitCode::Unavailable;
  case CommitStatus::Unknown:
    break;
  }
  std::cout << "unknown: id " << idText(Id) << ": " << End.Reason
            << "; settle it with wasabictl apply --resume " << idText(Id)
            << "\n";
  return UnknownOutcome;
}

/// Sends a prepared change.
Result<ExitCode> commit(Session &With, Prepared What) {
  std::cout << describePlan(What.Plan);
  if (What.Plan.Writes.empty())
    return ExitCode::Success;
  if (With.Given.Operator.empty())
    return badInput("--operator", "is needed: who makes the change");
  BOOST_LEAF_CHECK(checkNotBlocked(What.State));
  BOOST_LEAF_CHECK(checkPlan(What.State, What.Plan));
  BOOST_LEAF_AUTO(log, With.log());

  Record record{newId(With.Given.Operator),
                makeChange(What.Plan, With.Given.Operator, With.Given.Message)};
  // What the fold would not read is refused here: it could not be read back.
  BOOST_LEAF_CHECK(decodeRecord(encodeRecord(record)));
  // Said before it is sent: whoever ends this program can still settle it.
  std::cerr << "id " << idText(record.Id) << std::endl;
  CommitResult end =
      With.run(commitRecord(log, What.State, record, commitSettings(With)));
  return reportEnd(With, record.Id, end);
}

Result<Prepared> prepareFolder(Session &With, const std::string &Folder) {
  BOOST_LEAF_AUTO(wanted, readFolder(Folder));
  Prepared out;
  BOOST_LEAF_ASSIGN(out.State, readState(With));
  out.Plan = planApply(out.State, wanted, With.Given.Prune);
  return out;
}

} // namespace

Result<ExitCode> validate(const std::string &Folder) {
  BOOST_LEAF_AUTO(objects, readFolder(Folder));
  BOOST_LEAF_CHECK(buildConfiguration(objects));
  std::cout << "valid: " << objects.size() << " objects\n";
  return ExitCode::Success;
}

Result<ExitCode> plan(Session &With, const std::string &Folder) {
  BOOST_LEAF_AUTO(prepared, prepareFolder(With, Folder));
  std::cout << describePlan(prepared.Plan);
  for (const std::string &key : prepared.Plan.UnmanagedKeys)
    std::cout << "  " << key << " is not in the folder and stays\n";
  BOOST_LEAF_CHECK(checkNotBlocked(prepared.State));
  BOOST_LEAF_CHECK(checkPlan(prepared.State, prepared.Plan));
  return ExitCode::Success;
}

Result<ExitCode> applyFolder(Session &With, const std::string &Folder) {
  BOOST_LEAF_AUTO(prepared, prepareFolder(With, Folder));
  return commit(With, std::move(prepared));
}

Result<ExitCode> resume(Session &With) {
  BOOST_LEAF_AUTO(id, parseId(With.Given.Resume));
  BOOST_LEAF_AUTO(log, With.log());
  BOOST_LEAF_AUTO(state, readState(With));
  CommitResult end =
      With.run(settleRecord(log, state, id, commitSettings(With)));
  return reportEnd(With, id, end);
}

Result<ExitCode> preset(Session &With, const std::string &Name) {
  Prepared prepared;
  BOOST_LEAF_ASSIGN(prepared.State, readState(With));
  BOOST_LEAF_ASSIGN(prepared.Plan,
                    planPreset(prepared.State, PresetName(Name)));
  return commit(With, std::move(prepared));
}

Result<ExitCode> rollback(Session &With, const std::string &At) {
  BOOST_LEAF_AUTO(offset, parseNumber(At, "OFFSET"));
  Prepared prepared;
  BOOST_LEAF_ASSIGN(prepared.State, readState(With));
  if (offset >= prepared.State.Next)
    return badInput("OFFSET", "the log ends before " + At);
  BOOST_LEAF_AUTO(then, readState(With, offset + 1));
  prepared.Plan = planRestore(prepared.State, then);
  return commit(With, std::move(prepared));
}

} // namespace wasabi::ctl
