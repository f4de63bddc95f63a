#include "Wasabi/Adapters/PlatformLog/Commit.h"

#include "Wasabi/Adapters/PlatformLog/LogRecovery.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace wasabi {

namespace {

namespace asio = boost::asio;

/// Minimum delay after a read without new records.
constexpr Millis EmptyReadDelay{20};

asio::awaitable<void> sleepFor(Millis Time) {
  BootTimer timer(co_await asio::this_coro::executor);
  timer.expires_after(Time);
  co_await timer.async_wait(asio::use_awaitable);
}

/// Progress of the append.
struct AppendProgress {
  /// True if the record may be on the log.
  bool MayBeAppended = false;
  /// True if the log has acknowledged the record.
  bool Appended = false;
  std::string LastError;
  Millis Delay{0};
};

asio::awaitable<void> appendOnce(LogPort &Log, const std::string &Text,
                                 AppendProgress &Progress, Millis RetryDelay) {
  Outcome<Offset> at = co_await Log.Append(ControlStream, Text);
  if (at) {
    Progress.Appended = true;
    Progress.MayBeAppended = true;
    Progress.Delay = Millis(0);
    co_return;
  }
  Progress.MayBeAppended =
      Progress.MayBeAppended || at.failure().Run != Verdict::NotRun;
  Progress.LastError = describe(at.failure());
  Progress.Delay = std::max(RetryDelay, at.failure().RetryAfter);
}

Millis timeLeft(TimePoint Until) {
  return std::max(Millis(0),
                  std::chrono::duration_cast<Millis>(Until - monotonicNow()));
}

/// Returns the result of a commit whose id was not read back.
CommitResult makeUnsettledResult(const AppendProgress &Progress,
                                 const FoldState &State) {
  if (State.BlockedOffset)
    return {Progress.MayBeAppended ? CommitStatus::Unknown
                                   : CommitStatus::NotAppended,
            0,
            "the record at offset " + std::to_string(*State.BlockedOffset) +
                " was written by a newer version"};
  if (!Progress.MayBeAppended)
    return {CommitStatus::NotAppended, 0, Progress.LastError};
  return {CommitStatus::Unknown, 0,
          Progress.LastError.empty()
              ? "the record was not read back within the deadline"
              : Progress.LastError};
}

/// Returns the reason in the history for the refused change at this offset.
std::string findRefusalReason(const FoldState &State, Offset At) {
  for (const HistoryEntry &line : State.History)
    if (line.At == At)
      return line.Reason;
  return {};
}

} // namespace

std::optional<CommitResult> findCommitResult(const FoldState &State,
                                             const RecordId &Id) {
  auto it = State.Authors.find(Id.Author);
  if (it == State.Authors.end() || it->second.Life != Id.Life ||
      it->second.Sequence != Id.Sequence)
    return std::nullopt;
  const AuthorLogProgress &mark = it->second;
  if (mark.ApplyStatus == RecordStatus::Accepted)
    return CommitResult{CommitStatus::Accepted, mark.At, ""};
  return CommitResult{CommitStatus::Refused, mark.At,
                      findRefusalReason(State, mark.At)};
}

asio::awaitable<CommitResult> commitRecord(LogPort Log, FoldState &State,
                                           Record NewRecord,
                                           CommitSettings Limits) {
  const std::string text = encodeRecord(NewRecord);
  const TimePoint until = monotonicNow() + Limits.Deadline;
  AppendProgress progress;
  while (!State.BlockedOffset && timeLeft(until) > Millis(0)) {
    if (!progress.Appended)
      co_await appendOnce(Log, text, progress, Limits.RetryDelay);

    Millis pollTimeout = progress.Appended ? Limits.PollTimeout : Millis(0);
    Outcome<std::size_t> read = co_await readAndApplyRange(
        Log, State, std::min(pollTimeout, timeLeft(until)));
    if (std::optional<CommitResult> known =
            findCommitResult(State, NewRecord.Id))
      co_return *known;
    if (!read) {
      progress.LastError = describe(read.failure());
      progress.Delay = std::max(progress.Delay, Limits.RetryDelay);
    }
    // A stale read may return at once, so an empty read is followed by a delay.
    // After other reads, more records may be available.
    if (read && *read == 0)
      progress.Delay = std::max(progress.Delay, EmptyReadDelay);
    if (progress.Delay > Millis(0))
      co_await sleepFor(std::min(progress.Delay, timeLeft(until)));
    progress.Delay = Millis(0);
  }
  co_return makeUnsettledResult(progress, State);
}

asio::awaitable<CommitResult> settleRecord(LogPort Log, FoldState &State,
                                           RecordId Id, CommitSettings Limits) {
  // Catches up first, as the record may already be on the log.
  Outcome<std::size_t> read = co_await readAndApplyRange(Log, State, Millis(0));
  while (read && *read > 0)
    read = co_await readAndApplyRange(Log, State, Millis(0));
  if (std::optional<CommitResult> known = findCommitResult(State, Id))
    co_return *known;
  // A release without a token changes nothing but uses up the id. (It is a
  // local variable, since GCC 12 destroys aggregates within a co_await
  // expression twice.)
  Record noOp{Id, ClaimRelease{"snapshots", 0}};
  CommitResult result =
      co_await commitRecord(Log, State, std::move(noOp), Limits);
  if (result.Kind == CommitStatus::Refused && result.Reason.empty())
    result.Reason = "it was never applied, and now never will be";
  co_return result;
}

} // namespace wasabi
