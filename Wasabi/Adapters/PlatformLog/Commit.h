/// \file
/// Appends one record and determines its outcome by reading it back, despite
/// lost responses and repeated appends.
#ifndef WASABI_ADAPTERS_PLATFORMLOG_COMMIT_H
#define WASABI_ADAPTERS_PLATFORMLOG_COMMIT_H

#include "Wasabi/Ports/LogPort.h"
#include "Wasabi/State/Fold.h"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace wasabi {

/// Outcome of a record as far as it is known.
enum class CommitStatus : std::uint8_t {
  /// Accepted, and in force from its offset on.
  Accepted,
  /// Read back, and refused by the rules of the state.
  Refused,
  /// The record may be on the log or may still arrive: settle it by its id.
  Unknown,
  /// The record is proven not to be on the log.
  NotAppended,
};

/// Result of a commit. An immutable value.
struct CommitResult {
  CommitStatus Kind = CommitStatus::NotAppended;
  /// Offset of the record, for `Accepted` and `Refused`.
  Offset At = 0;
  /// Reason, for all but `Accepted`.
  std::string Reason;
  bool operator==(const CommitResult &) const = default;
};

/// Time limits of a commit.
struct CommitSettings {
  /// Time limit of the whole commit.
  Millis Deadline{10000};
  /// Minimum delay before an append is repeated; the log may ask for more.
  Millis RetryDelay{200};
  /// Maximum time that one read waits at the log.
  Millis PollTimeout{500};
};

/// Appends `NewRecord`, always with the same id, until the log acknowledges it
/// or the deadline passes, and applies the stream to `State` until the id
/// shows. Stale reads of the log are retried. Preconditions: `State` is not
/// blocked, and the id is new.
boost::asio::awaitable<CommitResult> commitRecord(LogPort Log, FoldState &State,
                                                  Record NewRecord,
                                                  CommitSettings Limits);

/// Returns the result of an id if `State` has applied it and it is the newest
/// of its author.
std::optional<CommitResult> findCommitResult(const FoldState &State,
                                             const RecordId &Id);

/// Settles an id whose outcome is unknown. Reads the record back, or, if it is
/// not on the log, uses up the id with a record without effect, so that a late
/// append is ignored. `Refused` then means that the record was never applied.
boost::asio::awaitable<CommitResult>
settleRecord(LogPort Log, FoldState &State, RecordId Id, CommitSettings Limits);

} // namespace wasabi

#endif // WASABI_ADAPTERS_PLATFORMLOG_COMMIT_H
