/// \file
/// The records of the control stream: what is agreed upon. JSON on the log, so
/// that operators can read it.
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

/// The stream that configuration and claims are on.
inline constexpr char ControlStream[] = "control";
/// The newest record schema this program understands. What the fold accepts,
/// and the reasons it gives, are part of the schema: they enter the state.
inline constexpr std::uint32_t RecordSchema = 1;

/// Identifies a record through lost answers and repeats. The fold takes each
/// id once; an author has one append in flight.
struct RecordId {
  /// The instance, or the operator's client.
  std::string Author;
  Incarnation Life = 0;
  std::uint64_t Sequence = 0;
  auto operator<=>(const RecordId &) const = default;
};

/// One object written, or removed when there is no text.
struct ObjectWrite {
  /// `kind/name`.
  std::string Key;
  std::optional<std::string> Text;
  bool operator==(const ObjectWrite &) const = default;
};

/// A change of configuration, committed optimistically.
struct ConfigChange {
  /// The author had folded all records before this offset.
  Offset Base = 0;
  /// Keys the author's decision depended on, beyond those written.
  std::vector<std::string> Reads;
  std::vector<ObjectWrite> Writes;
  /// Who, and why, for the history.
  std::string Operator;
  std::string Message;
  bool operator==(const ConfigChange &) const = default;
};

/// Takes a claim on a resource; first in the log wins.
struct ClaimAcquire {
  /// `trainer/NAME`, `weights/MODEL`, `snapshots`.
  std::string Resource;
  /// Token of the claim it replaces; 0 when there was none.
  FencingToken ReplacedToken = 0;
  /// How long the claim binds after a renewal.
  Millis Term{10000};
  /// `RenewalOffset` of the claim it replaces, as the author waited it out; 0
  /// when there was none. A renewal that the author has not read refuses the
  /// take, since the holder counts on it. Not looked at after a release.
  Offset Seen = 0;
  bool operator==(const ClaimAcquire &) const = default;
};

/// Renews a claim its author holds.
struct ClaimRenew {
  std::string Resource;
  FencingToken Token = 0;
  bool operator==(const ClaimRenew &) const = default;
};

/// Gives a claim up, so that a successor need not wait.
struct ClaimRelease {
  std::string Resource;
  FencingToken Token = 0;
  bool operator==(const ClaimRelease &) const = default;
};

/// The fold's whole state up to `Before`.
struct SnapshotRecord {
  /// State after every record below this offset.
  Offset Before = 0;
  /// XXH3-128 of `State`, 32 hex digits.
  std::string Hash;
  /// `Chain` of that state, compared by every process with its own.
  std::uint64_t ChainHash = 0;
  /// The state's canonical text.
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

/// The record's JSON text. Pure.
std::string encodeRecord(const Record &What);

/// Longest operator's name and message, in bytes.
inline constexpr std::size_t MaxOperatorBytes = 128;
inline constexpr std::size_t MaxMessageBytes = 1024;
/// Most keys that one change may write or read.
inline constexpr std::size_t MaxChangeKeys = 2000;

/// Reads a record. A schema's members are closed: an unknown one is malformed,
/// so that programs of all ages agree on it. Errors: `BadInput` with the JSON
/// path for what is malformed or cut short; `NewerSchema` for a schema or kind
/// beyond this program's.
Result<Record> decodeRecord(std::string_view Text);

} // namespace wasabi

#endif // WASABI_STATE_RECORD_H
