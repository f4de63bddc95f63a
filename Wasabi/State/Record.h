/// \file
/// Records of the control stream. They are JSON, so that operators can read the
/// log.
#ifndef WASABI_STATE_RECORD_H
#define WASABI_STATE_RECORD_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wasabi {

/// Stream of configuration changes, claims and snapshots.
inline constexpr char ControlStream[] = "control";
/// Latest record schema that this program understands. The rules and reasons of
/// the fold are part of the schema, because they enter the state.
inline constexpr std::uint32_t RecordSchema = 1;

/// Identifies a record across retries. The fold applies each id once; an author
/// has at most one append in flight.
struct RecordId {
  /// The instance or the operator's client.
  std::string Author;
  Incarnation Life = 0;
  std::uint64_t Sequence = 0;
  auto operator<=>(const RecordId &) const = default;
};

/// One object to write, or to remove if there is no text.
struct ObjectWrite {
  /// `kind/name`.
  std::string Key;
  std::optional<std::string> Text;
  bool operator==(const ObjectWrite &) const = default;
};

/// A configuration change with optimistic concurrency control.
struct ConfigChange {
  /// The author had folded all records before this offset.
  Offset Base = 0;
  /// Keys that the author's decision depends on in addition to those written.
  std::vector<std::string> Reads;
  std::vector<ObjectWrite> Writes;
  /// Operator and reason, for the history.
  std::string Operator;
  std::string Message;
  bool operator==(const ConfigChange &) const = default;
};

/// Acquires a claim on a resource; the first record in the log wins.
struct ClaimAcquire {
  /// `trainer/NAME`, `weights/MODEL`, `snapshots`.
  std::string Resource;
  /// Token of the claim that it replaces; 0 if there is none.
  FencingToken ReplacedToken = 0;
  /// Time for which the claim remains valid after a renewal.
  Millis Term{10000};
  /// `RenewalOffset` of the replaced claim, as read by the author before it
  /// waited for the claim's term; 0 if there is none. The acquisition is
  /// refused if the claim was renewed after that. Ignored if the claim was
  /// released.
  Offset SeenRenewalOffset = 0;
  bool operator==(const ClaimAcquire &) const = default;
};

/// Renews a claim that the author holds.
struct ClaimRenew {
  std::string Resource;
  FencingToken Token = 0;
  bool operator==(const ClaimRenew &) const = default;
};

/// Releases a claim, so that a successor need not wait for its expiry.
struct ClaimRelease {
  std::string Resource;
  FencingToken Token = 0;
  bool operator==(const ClaimRelease &) const = default;
};

/// Snapshot of the fold's state.
struct SnapshotRecord {
  /// The state includes all records below this offset.
  Offset Before = 0;
  /// XXH3-128 of `State`, 32 hex digits.
  std::string Hash;
  /// `ChainHash` of that state. Every process compares it with its own.
  std::uint64_t ChainHash = 0;
  /// Canonical text of the state.
  std::string State;
  FencingToken Token = 0;
  bool operator==(const SnapshotRecord &) const = default;
};

using RecordBody = std::variant<ConfigChange, ClaimAcquire, ClaimRenew,
                                ClaimRelease, SnapshotRecord>;

/// One record of the control stream. An immutable value.
struct Record {
  RecordId Id;
  RecordBody Body;
  bool operator==(const Record &) const = default;
};

/// Returns the JSON text of a record. Pure.
std::string encodeRecord(const Record &Value);

/// Maximum size of an operator's name and of a message, in bytes.
inline constexpr std::size_t MaxOperatorBytes = 128;
inline constexpr std::size_t MaxMessageBytes = 1024;
/// Maximum number of keys that one change may write, and that it may read.
inline constexpr std::size_t MaxChangeKeys = 2000;

/// Decodes a record. A schema has a fixed set of members: a record with an
/// unknown one is malformed, so that programs of all versions treat it alike.
/// Errors: `BadInput` with the JSON path for a malformed or truncated record;
/// `NewerSchema` for a schema or kind that is newer than this program.
Result<Record> decodeRecord(std::string_view Text);

} // namespace wasabi

#endif // WASABI_STATE_RECORD_H
