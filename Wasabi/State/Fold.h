/// \file
/// Deterministic fold of the control stream: the same records in the same order
/// give every process the same state and the same results.
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

/// One declared object and its last accepted write.
struct StoredObject {
  std::string Text;
  /// Offset of the record that last wrote the object.
  Offset WriteOffset = 0;
  std::string Operator;
  bool operator==(const StoredObject &) const = default;
};

/// Last removal of a key, kept for conflict checks.
struct RemovedObject {
  /// Offset of the record that removed the object.
  Offset At = 0;
  std::string Operator;
  bool operator==(const RemovedObject &) const = default;
};

/// State of a claim. Its `Token` is the offset of its `ClaimAcquire` plus one,
/// so that 0 is never a valid token.
struct Claim {
  InstanceName Holder;
  Incarnation HolderIncarnation = 0;
  FencingToken Token = 0;
  Millis Term{0};
  /// Offset of the last accepted acquisition or renewal.
  Offset RenewalOffset = 0;
  bool Released = false;
  bool operator==(const Claim &) const = default;
};

/// Result of applying one record.
enum class RecordStatus : std::uint8_t {
  Accepted,
  /// Refused by the rules; the reason names the conflicting record or holder.
  Refused,
  /// The id, or a later one of the same author, was already applied; the first
  /// result remains valid.
  Duplicate,
  /// Not a valid record; every process skips it.
  Malformed,
  /// The record has a newer schema: the fold stops before it.
  NewerSchema,
};

/// One entry of the bounded change history.
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

/// Last record of one author.
struct AuthorLogProgress {
  Incarnation Life = 0;
  std::uint64_t Sequence = 0;
  Offset At = 0;
  RecordStatus ApplyStatus = RecordStatus::Accepted;
  bool operator==(const AuthorLogProgress &) const = default;
};

/// The replicated state. Each process publishes it as an immutable shared
/// snapshot.
struct FoldState {
  /// Next offset to apply.
  Offset Next = 0;
  std::map<std::string, StoredObject> Objects;
  /// Removed keys, kept for conflict checks.
  std::map<std::string, RemovedObject> Removed;
  std::map<std::string, Claim> Claims;
  std::map<std::string, AuthorLogProgress> Authors;
  std::deque<HistoryEntry> History;
  /// Offset of the last accepted configuration change plus one; 0 if there is
  /// none.
  Offset ConfigRevision = 0;
  /// Offset of the latest accepted snapshot record plus one; 0 if there is
  /// none.
  Offset SnapshotRevision = 0;
  /// Digest of every record so far, its result and the entries it changed. Two
  /// processes with equal `ChainHash` at the same `Next` have the same state.
  std::uint64_t ChainHash = 0;
  /// Set at a record with a newer schema: no later record is applied, and no
  /// new decision may be made. Never encoded.
  std::optional<Offset> BlockedOffset;
  /// `ChainHash` at the latest offsets up to `Next`, newest last, at most
  /// `MaxRecentChainHashes`. Snapshot records are compared with them. Never
  /// encoded.
  std::deque<std::uint64_t> RecentChainHashes;
  /// Derived from `Objects`; never encoded.
  std::shared_ptr<const Configuration> Config =
      std::make_shared<const Configuration>();
};

/// Effect of applying one record.
struct ControlStateChange {
  RecordStatus ApplyStatus = RecordStatus::Accepted;
  /// Reason for a refusal, naming the conflicting record or holder; empty if
  /// accepted.
  std::string Reason;
  /// For `Duplicate`: offset and result of the author's latest record. They are
  /// this record's own if `IsSameId` is set.
  Offset PriorOffset = 0;
  RecordStatus PriorStatus = RecordStatus::Accepted;
  bool IsSameId = false;
  /// True if a snapshot record's hash differs from this process' own state.
  /// Raises an alarm, since one of the two is wrong.
  bool Diverged = false;
  /// True if the configuration changed.
  bool ConfigChanged = false;
  /// Resource of the claim that changed; empty if none did.
  std::string ChangedClaimResource;
};

/// Age in offsets from which author entries, removed keys and released claims
/// are evicted. A change whose `Base` is older is refused.
inline constexpr Offset RetentionWindow = 100000;
/// Interval between evictions, in offsets.
inline constexpr Offset EvictionInterval = 1024;
/// Maximum number of history entries and of bytes of their texts.
inline constexpr std::size_t MaxHistoryEntries = 512;
inline constexpr std::size_t MaxHistoryBytes = 128u << 10;
/// Maximum total size of all declarations, so that a snapshot fits into one
/// record.
inline constexpr std::size_t MaxTotalObjectBytes = 384u << 10;
/// Maximum number of retained chain hashes.
inline constexpr std::size_t MaxRecentChainHashes = 1024;

/// Applies the record at offset `At`, which must be `State.Next`, to `State`.
/// Never fails: every process skips an invalid record. No side effects other
/// than on `State`.
ControlStateChange apply(FoldState &State, Offset At, std::string_view Text);

/// Returns the canonical text of a state, identical in every process; `Config`
/// is not included.
std::string encodeState(const FoldState &State);
/// Decodes a state and rebuilds `Config`. Errors: `BadInput`; `NewerSchema` if
/// the schema is newer than this program's.
Result<FoldState> decodeState(std::string_view Text);
/// Returns the XXH3-128 hash of a state's canonical text, 32 hex digits.
std::string hashState(const FoldState &State);
/// Returns the XXH3-128 hash of a text, 32 hex digits.
std::string hashText(std::string_view Text);
/// Makes the snapshot record body of a state. Precondition: `BlockedOffset` is
/// not set.
SnapshotRecord makeSnapshot(const FoldState &State, FencingToken Token);

/// Returns the name of a status. Thread-safe.
std::string_view toText(RecordStatus ApplyStatus);

} // namespace wasabi

#endif // WASABI_STATE_FOLD_H
