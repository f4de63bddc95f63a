#include "Wasabi/Adapters/PlatformLog/Commit.h"

#include "Wasabi/Adapters/PlatformLog/LogRecovery.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace wasabi {

namespace {

namespace asio = boost::asio;

/// Least time between two reads that give nothing.
constexpr Millis EmptyPause{20};

asio::awaitable<void> sleepFor(Millis Time) {
  BootTimer timer(co_await asio::this_coro::executor);
  timer.expires_after(Time);
  co_await timer.async_wait(asio::use_awaitable);
}

/// What is known of the append so far.
struct Progress {
  /// Whether it may be on the log.
  bool MaySent = false;
  /// Whether the log said that it is.
  bool Sent = false;
  std::string LastProblem;
  Millis Pause{0};
};

asio::awaitable<void> appendOnce(LogPort &Log, const std::string &Text,
                                 Progress &So, Millis RetryDelay) {
  Outcome<Offset> at = co_await Log.Append(ControlStream, Text);
  if (at) {
    So.Sent = true;
    So.MaySent = true;
    So.Pause = Millis(0);
    co_return;
  }
  So.MaySent = So.MaySent || at.failure().Run != Verdict::NotRun;
  So.LastProblem = describe(at.failure());
  So.Pause = std::max(RetryDelay, at.failure().RetryAfter);
}

Millis timeLeft(TimePoint Until) {
  return std::max(Millis(0),
                  std::chrono::duration_cast<Millis>(Until - monotonicNow()));
}

/// The end of a commit whose id has not shown.
CommitResult unsettled(const Progress &So, const FoldState &State) {
  if (State.BlockedOffset)
    return {So.MaySent ? CommitStatus::Unknown : CommitStatus::NotAppended, 0,
            "the record at offset " + std::to_string(*State.BlockedOffset) +
                " is of a newer program"};
  if (!So.MaySent)
    return {CommitStatus::NotAppended, 0, So.LastProblem};
  return {CommitStatus::Unknown, 0,
          So.LastProblem.empty() ? "it was not read back in time"
                                 : So.LastProblem};
}

/// The reason that the history keeps for a refused change.
std::string reasonAt(const FoldState &State, Offset At) {
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
  return CommitResult{CommitStatus::Refused, mark.At, reasonAt(State, mark.At)};
}

asio::awaitable<CommitResult> commitRecord(LogPort Log, FoldState &State,
                                           Record What, CommitSettings Limits) {
  const std::string text = encodeRecord(What);
  const TimePoint until = monotonicNow() + Limits.Deadline;
  Progress so;
  while (!State.BlockedOffset && timeLeft(until) > Millis(0)) {
    if (!so.Sent)
      co_await appendOnce(Log, text, so, Limits.RetryDelay);

    Millis wait = so.Sent ? Limits.ReadWait : Millis(0);
    Outcome<std::size_t> read =
        co_await readAndApplyRange(Log, State, std::min(wait, timeLeft(until)));
    if (std::optional<CommitResult> fate = findCommitResult(State, What.Id))
      co_return *fate;
    if (!read) {
      so.LastProblem = describe(read.failure());
      so.Pause = std::max(so.Pause, Limits.RetryDelay);
    }
    // A log that shows an older tail may answer at once; a full chunk means
    // that there is more to read at once.
    if (read && *read == 0)
      so.Pause = std::max(so.Pause, EmptyPause);
    if (so.Pause > Millis(0))
      co_await sleepFor(std::min(so.Pause, timeLeft(until)));
    so.Pause = Millis(0);
  }
  co_return unsettled(so, State);
}

asio::awaitable<CommitResult> settleRecord(LogPort Log, FoldState &State,
                                           RecordId Id, CommitSettings Limits) {
  // Reads what is there first, as the id may show without more ado.
  Outcome<std::size_t> read = co_await readAndApplyRange(Log, State, Millis(0));
  while (read && *read > 0)
    read = co_await readAndApplyRange(Log, State, Millis(0));
  if (std::optional<CommitResult> fate = findCommitResult(State, Id))
    co_return *fate;
  // A release with no token changes nothing, but takes the id. (It is a local,
  // since GCC 12 destroys aggregates within a co_await expression twice.)
  Record nothing{Id, ClaimRelease{"snapshots", 0}};
  CommitResult end =
      co_await commitRecord(Log, State, std::move(nothing), Limits);
  if (end.Kind == CommitStatus::Refused && end.Reason.empty())
    end.Reason = "it was never applied, and now never will be";
  co_return end;
}

} // namespace wasabi
