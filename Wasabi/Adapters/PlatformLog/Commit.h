/// \file
/// Appends one record and learns its fate by reading it back, through lost
/// answers and repeats.
#ifndef WASABI_ADAPTERS_PLATFORMLOG_COMMIT_H
#define WASABI_ADAPTERS_PLATFORMLOG_COMMIT_H

#include "Wasabi/Ports/LogPort.h"
#include "Wasabi/State/Fold.h"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace wasabi {

/// What is known of a record at the end of `commitRecord`.
enum class CommitStatus : std::uint8_t {
  /// Taken, and in force from its offset on.
  Accepted,
  /// Read back, and refused by the rules.
  Refused,
  /// It may be on the log, or come to be: settle it by its id.
  Unknown,
  /// Proved not to be on the log.
  NotAppended,
};

/// How a commit ended. An immutable value.
struct CommitResult {
  CommitStatus Kind = CommitStatus::NotAppended;
  /// Where it stands, for `Accepted` and `Refused`.
  Offset At = 0;
  /// Why, for all but `Accepted`.
  std::string Reason;
  bool operator==(const CommitResult &) const = default;
};

/// Limits of a commit.
struct CommitSettings {
  /// How long to try, in all.
  Millis Deadline{10000};
  /// Wait before an append is repeated; the log may ask for more.
  Millis RetryDelay{200};
  /// Longest wait of one read.
  Millis ReadWait{500};
};

/// Appends `What` until an answer or the deadline, always with the same id, and
/// applies the stream to `State` until the id shows. The log may show an older
/// tail for a while; that is waited out. Precondition: `State` is not blocked,
/// and the id is new.
boost::asio::awaitable<CommitResult>
commitRecord(LogPort Log, FoldState &State, Record What, CommitSettings Limits);

/// The fate of an id, if the fold has taken it and it is its author's newest.
std::optional<CommitResult> findCommitResult(const FoldState &State,
                                             const RecordId &Id);

/// Settles an id whose fate is unknown: reads it back, or, when it is not on
/// the log, takes the id with a record that does nothing, so that a late
/// append of it never counts. `Refused` then says that it was never applied.
boost::asio::awaitable<CommitResult>
settleRecord(LogPort Log, FoldState &State, RecordId Id, CommitSettings Limits);

} // namespace wasabi

#endif // WASABI_ADAPTERS_PLATFORMLOG_COMMIT_H
