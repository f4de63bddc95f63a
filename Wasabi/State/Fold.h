/// \file
/// The deterministic fold of the control stream: the same records in the same
/// order give every process the same state and the same verdicts.
#ifndef WASABI_STATE_FOLD_H
#define WASABI_STATE_FOLD_H

#include "Wasabi/Config/Configuration.h"
#include "Wasabi/State/Record.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace wasabi {

/// One declared object with its last accepted writer.
struct StoredObject {
  std::string Text;
  /// Offset of the record that wrote it last.
  Offset WrittenAt = 0;
  bool operator==(const StoredObject &) const = default;
};

/// A claim as the log has it. Its `Token` is the offset of its `ClaimTake`.
struct Claim {
  InstanceName Holder;
  Incarnation HolderLife = 0;
  FencingToken Token = 0;
  Millis Term{0};
  /// Offset of the last accepted take or renewal.
  Offset RenewedAt = 0;
  bool Released = false;
  bool operator==(const Claim &) const = default;
};

/// What became of one record.
enum class RecordFate : std::uint8_t {
  Accepted,
  /// Refused by the rules; the reason names the winner.
  Refused,
  /// This id was taken before; its first fate stands.
  Repeated,
  /// Not a record of ours, or malformed: skipped by all alike.
  Malformed,
  /// Of a newer schema: the fold stops before it.
  Newer,
};

/// One line of the history; kept to a bounded count.
struct HistoryLine {
  Offset At = 0;
  RecordId Id;
  RecordFate Fate = RecordFate::Accepted;
  std::string Operator;
  std::string Message;
  std::vector<std::string> Keys;
  std::string Reason;
  bool operator==(const HistoryLine &) const = default;
};

/// What the fold knows of one author.
struct AuthorMark {
  Incarnation Life = 0;
  std::uint64_t Sequence = 0;
  Offset At = 0;
  RecordFate Fate = RecordFate::Accepted;
  bool operator==(const AuthorMark &) const = default;
};

/// All that is agreed. A value; each process publishes it as an immutable
/// shared snapshot.
struct FoldState {
  /// The next offset to apply.
  Offset Next = 0;
  std::map<std::string, StoredObject> Objects;
  /// Keys removed, with the offset of the removal, for conflict checks.
  std::map<std::string, Offset> Removed;
  std::map<std::string, Claim> Claims;
  std::map<std::string, AuthorMark> Authors;
  std::deque<HistoryLine> History;
  /// Offset of the last accepted configuration change, plus one; 0 for none.
  Offset ConfigRevision = 0;
  /// Offset of the newest snapshot record, plus one; 0 for none.
  Offset SnapshotRevision = 0;
  /// Set when a record of a newer schema was met: nothing is applied from
  /// there on, and no new decision may be made.
  std::optional<Offset> BlockedAt;
  /// Built from `Objects`; never encoded.
  std::shared_ptr<const Configuration> Config =
      std::make_shared<const Configuration>();
};

/// What applying one record did.
struct Applied {
  RecordFate Fate = RecordFate::Accepted;
  /// Empty when accepted; otherwise why, naming the winner.
  std::string Reason;
  /// Set when a snapshot record's hash differs from this fold's own state: an
  /// alarm, since one of the two is wrong.
  bool Diverged = false;
  /// Whether the configuration changed.
  bool ConfigChanged = false;
  /// Whether a claim changed, and on which resource.
  std::string ClaimChanged;
};

/// Applies the record at offset `At`, which must be `State.Next`, to `State`.
/// Pure but for `State`; never fails: what is bad is skipped by all alike.
Applied apply(FoldState &State, Offset At, std::string_view Text);

/// The canonical text of a state, the same in every process; without `Config`.
std::string encodeState(const FoldState &State);
/// The reverse, with `Config` rebuilt. Errors: `BadInput`.
Result<FoldState> decodeState(std::string_view Text);
/// XXH3-128 of the canonical text, 32 hex digits.
std::string hashState(const FoldState &State);

} // namespace wasabi

#endif // WASABI_STATE_FOLD_H
