#include "Wasabi/State/Recovery.h"

#include <algorithm>

namespace wasabi {

namespace {

/// Text that `encodeRecord` writes for a snapshot. Used to skip decoding other
/// records.
constexpr std::string_view SnapshotMarker = "\"kind\":\"snapshot\"";

/// Applies the records from `State.Next` on.
void applyRemaining(FoldState &State, const std::vector<LogEntry> &Records) {
  for (const LogEntry &entry : Records)
    if (entry.At == State.Next && !State.BlockedOffset)
      apply(State, entry.At, entry.Text);
}

/// Recovers the state from the snapshot at `Index`; fails if the snapshot is
/// invalid.
Result<FoldState> recoverFromSnapshot(const std::vector<LogEntry> &Records,
                                      std::size_t Index) {
  const LogEntry &entry = Records[Index];
  BOOST_LEAF_AUTO(record, decodeRecord(entry.Text));
  const SnapshotRecord *snapshot = std::get_if<SnapshotRecord>(&record.Body);
  if (!snapshot || hashText(snapshot->State) != snapshot->Hash)
    return badInput("snapshot", "the hash does not match the state");
  BOOST_LEAF_AUTO(state, decodeState(snapshot->State));
  if (state.Next != snapshot->Before || state.ChainHash != snapshot->ChainHash)
    return badInput("snapshot",
                    "its state does not match its offset and chain hash");
  if (state.Next < Records.front().At || state.Next > entry.At)
    return badInput("snapshot", "the records after its state are not retained");

  std::vector<LogEntry> throughSnapshot(
      Records.begin() +
          static_cast<std::ptrdiff_t>(state.Next - Records.front().At),
      Records.begin() + static_cast<std::ptrdiff_t>(Index) + 1);
  applyRemaining(state, throughSnapshot);
  if (state.SnapshotRevision != entry.At + 1)
    return badInput("snapshot", "the fold refused the record");
  applyRemaining(state, Records);
  return state;
}

} // namespace

Result<FoldState> recoverState(const std::vector<LogEntry> &Records) {
  for (std::size_t i = Records.size(); i-- > 0;) {
    if (Records[i].Text.find(SnapshotMarker) == std::string::npos)
      continue;
    Outcome<FoldState> state =
        toOutcome<FoldState>([&] { return recoverFromSnapshot(Records, i); });
    if (state)
      return std::move(*state);
  }
  if (!Records.empty() && Records.front().At != 0)
    return boost::leaf::new_error(Failure{
        Verdict::NotRun,
        FailureCode::Unavailable,
        "control stream",
        "no valid snapshot since offset " + std::to_string(Records.front().At),
        {}});
  FoldState state;
  applyRemaining(state, Records);
  return state;
}

} // namespace wasabi
