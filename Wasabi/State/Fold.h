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
  /// Offset of the record that wrote it last, and its operator.
  Offset WriteOffset = 0;
  std::string By;
  bool operator==(const StoredObject &) const = default;
};

/// A key taken out, kept for conflict checks.
struct RemovedObject {
  /// Offset of the record that removed it, and its operator.
  Offset At = 0;
  std::string By;
  bool operator==(const RemovedObject &) const = default;
};

/// A claim as the log has it. Its `Token` is the offset of its `ClaimAcquire`
/// plus one, so that 0 is never a token.
struct Claim {
  InstanceName Holder;
  Incarnation HolderIncarnation = 0;
  FencingToken Token = 0;
  Millis Term{0};
  /// Offset of the last accepted take or renewal.
  Offset RenewalOffset = 0;
  bool Released = false;
  bool operator==(const Claim &) const = default;
};

/// What became of one record.
enum class RecordStatus : std::uint8_t {
  Accepted,
  /// Refused by the rules; the reason names the winner.
  Refused,
  /// This id was taken before; its first fate stands.
  Duplicate,
  /// Not a record of ours, or malformed: skipped by all alike.
  Malformed,
  /// Of a newer schema: the fold stops before it.
  NewerSchema,
};

/// One line of the history; kept to a bounded count.
struct HistoryEntry {
  Offset At = 0;
  RecordId Id;
  RecordStatus ApplyStatus = RecordStatus::Accepted;
  std::string Operator;
  std::string Message;
  std::vector<std::string> Keys;
  std::string Reason;
  bool operator==(const HistoryEntry &) const = default;
};

/// What the fold knows of one author.
struct AuthorLogProgress {
  Incarnation Life = 0;
  std::uint64_t Sequence = 0;
  Offset At = 0;
  RecordStatus ApplyStatus = RecordStatus::Accepted;
  bool operator==(const AuthorLogProgress &) const = default;
};

/// All that is agreed. A value; each process publishes it as an immutable
/// shared snapshot.
struct FoldState {
  /// The next offset to apply.
  Offset Next = 0;
  std::map<std::string, StoredObject> Objects;
  /// Keys removed, with the offset of the removal, for conflict checks.
  std::map<std::string, RemovedObject> Removed;
  std::map<std::string, Claim> Claims;
  std::map<std::string, AuthorLogProgress> Authors;
  std::deque<HistoryEntry> History;
  /// Offset of the last accepted configuration change, plus one; 0 for none.
  Offset ConfigRevision = 0;
  /// Offset of the newest snapshot record, plus one; 0 for none.
  Offset SnapshotRevision = 0;
  /// Digest of every record so far with its fate and what it changed. Two
  /// processes with the same `Chain` at the same `Next` have the same state.
  std::uint64_t ChainHash = 0;
  /// Set when a record of a newer schema was met: nothing is applied from
  /// there on, and no new decision may be made. Never encoded.
  std::optional<Offset> BlockedOffset;
  /// `Chain` at the offsets up to `Next`, the newest last, bounded; what a
  /// snapshot record is compared with. Never encoded.
  std::deque<std::uint64_t> RecentChainHashes;
  /// Built from `Objects`; never encoded.
  std::shared_ptr<const Configuration> Config =
      std::make_shared<const Configuration>();
};

/// What applying one record did.
struct ControlStateChange {
  RecordStatus ApplyStatus = RecordStatus::Accepted;
  /// Empty when accepted; otherwise why, naming the winner.
  std::string Reason;
  /// For `Duplicate`: where its author's newest id was taken, and its fate. It
  /// is this record's own when `IsSameId` is set.
  Offset PriorOffset = 0;
  RecordStatus PriorStatus = RecordStatus::Accepted;
  bool IsSameId = false;
  /// Set when a snapshot record's hash differs from this fold's own state: an
  /// alarm, since one of the two is wrong.
  bool Diverged = false;
  /// Whether the configuration changed.
  bool ConfigChanged = false;
  /// Whether a claim changed, and on which resource.
  std::string ChangedClaimResource;
};

/// A change is refused when its `Base` lies further back than this, and marks
/// of authors, removed keys and released claims are forgotten this far back.
inline constexpr Offset RetentionWindow = 100000;
/// Offsets at which what is older is dropped.
inline constexpr Offset EvictionInterval = 1024;
/// Most lines of history, and most bytes of their texts.
inline constexpr std::size_t MaxHistoryEntries = 512;
inline constexpr std::size_t MaxHistoryBytes = 128u << 10;
/// Most bytes of all declarations, so that a snapshot fits into one record.
inline constexpr std::size_t MaxTotalObjectBytes = 384u << 10;
/// Offsets whose `Chain` is kept.
inline constexpr std::size_t MaxRecentChainHashes = 1024;

/// Applies the record at offset `At`, which must be `State.Next`, to `State`.
/// Pure but for `State`; never fails: what is bad is skipped by all alike.
ControlStateChange apply(FoldState &State, Offset At, std::string_view Text);

/// The canonical text of a state, the same in every process; without `Config`.
std::string encodeState(const FoldState &State);
/// The reverse, with `Config` rebuilt. Errors: `BadInput`.
Result<FoldState> decodeState(std::string_view Text);
/// XXH3-128 of the canonical text, 32 hex digits.
std::string hashState(const FoldState &State);
/// XXH3-128 of a state's text, 32 hex digits.
std::string hashText(std::string_view Text);
/// The snapshot record's body for a state. Precondition: not `BlockedOffset`.
SnapshotRecord makeSnapshot(const FoldState &State, FencingToken Token);

/// The word for a fate in texts for people. Thread-safe.
std::string_view toText(RecordStatus ApplyStatus);

} // namespace wasabi

#endif // WASABI_STATE_FOLD_H
