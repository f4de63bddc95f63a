#include "Wasabi/State/Recovery.h"

#include <algorithm>

namespace wasabi {

namespace {

/// What `encodeRecord` writes for a snapshot; spares decoding the others.
constexpr std::string_view SnapshotMark = "\"kind\":\"snapshot\"";

/// Folds the records at `State.Next` and after.
void foldRest(FoldState &State, const std::vector<LogEntry> &Kept) {
  for (const LogEntry &entry : Kept)
    if (entry.At == State.Next && !State.BlockedOffset)
      apply(State, entry.At, entry.Text);
}

/// The state that the snapshot at `Index` gives; a failure if it is unsound.
Result<FoldState> recoverFrom(const std::vector<LogEntry> &Kept,
                              std::size_t Index) {
  const LogEntry &entry = Kept[Index];
  BOOST_LEAF_AUTO(record, decodeRecord(entry.Text));
  const SnapshotRecord *snapshot = std::get_if<SnapshotRecord>(&record.Body);
  if (!snapshot || hashText(snapshot->State) != snapshot->Hash)
    return badInput("snapshot", "its hash is not that of its state");
  BOOST_LEAF_AUTO(state, decodeState(snapshot->State));
  if (state.Next != snapshot->Before || state.ChainHash != snapshot->ChainHash)
    return badInput("snapshot", "its state is of another offset");
  if (state.Next < Kept.front().At || state.Next > entry.At)
    return badInput("snapshot", "the records after it are not at hand");

  std::vector<LogEntry> until(
      Kept.begin() + static_cast<std::ptrdiff_t>(state.Next - Kept.front().At),
      Kept.begin() + static_cast<std::ptrdiff_t>(Index) + 1);
  foldRest(state, until);
  if (state.SnapshotRevision != entry.At + 1)
    return badInput("snapshot", "its record is not accepted");
  foldRest(state, Kept);
  return state;
}

} // namespace

Result<FoldState> recoverState(const std::vector<LogEntry> &Kept) {
  for (std::size_t i = Kept.size(); i-- > 0;) {
    if (Kept[i].Text.find(SnapshotMark) == std::string::npos)
      continue;
    Outcome<FoldState> state =
        toOutcome<FoldState>([&] { return recoverFrom(Kept, i); });
    if (state)
      return std::move(*state);
  }
  if (!Kept.empty() && Kept.front().At != 0)
    return boost::leaf::new_error(Failure{Verdict::NotRun,
                                          FailureCode::Unavailable,
                                          "control stream",
                                          "no sound snapshot since offset " +
                                              std::to_string(Kept.front().At),
                                          {}});
  FoldState state;
  foldRest(state, Kept);
  return state;
}

} // namespace wasabi
