#include "Wasabi/Adapters/PlatformLog/LogRecovery.h"

#include "Wasabi/State/Recovery.h"

#include <algorithm>

namespace wasabi {

namespace {

namespace asio = boost::asio;

/// Maximum number of records of one read.
constexpr std::size_t MaxRecordsPerRead = 500;
/// Number of records read back at first; doubled until a snapshot is found.
constexpr Offset InitialLookback = 256;

using Entries = std::vector<LogEntry>;

Failure makeExpiredFailure(Offset At, Offset First) {
  return {Verdict::NotRun,
          FailureCode::Unavailable,
          "control stream",
          "offset " + std::to_string(At) + " has expired; the log begins at " +
              std::to_string(First),
          {}};
}

/// Returns the entries from `From` up to but excluding `Until`, or as many as
/// the log shows.
asio::awaitable<Outcome<Entries>> readAll(LogPort Log, Offset From,
                                          Offset Until) {
  Entries out;
  while (From + out.size() < Until) {
    Offset next = From + out.size();
    std::size_t maxRecords =
        std::min<std::size_t>(MaxRecordsPerRead, Until - next);
    Outcome<LogRange> range =
        co_await Log.Read(ControlStream, next, maxRecords, Millis(0));
    if (!range)
      co_return range.failure();
    if (range->First > next)
      co_return makeExpiredFailure(next, range->First);
    if (range->Entries.empty())
      break;
    std::move(range->Entries.begin(), range->Entries.end(),
              std::back_inserter(out));
  }
  co_return out;
}

} // namespace

asio::awaitable<Outcome<FoldState>>
recoverFromLog(LogPort Log, std::optional<Offset> Until) {
  Outcome<LogRange> bounds = co_await Log.Read(ControlStream, 0, 1, Millis(0));
  if (!bounds)
    co_return bounds.failure();
  Offset end = Until ? std::min(*Until, bounds->End) : bounds->End;
  Offset first = bounds->First;
  if (end < first)
    co_return makeExpiredFailure(end, first);

  Offset lookback = InitialLookback;
  while (true) {
    Offset from = end - first > lookback ? end - lookback : first;
    Outcome<Entries> entries = co_await readAll(Log, from, end);
    if (!entries)
      co_return entries.failure();
    if (!entries->empty() || first == 0) {
      Outcome<FoldState> state =
          toOutcome<FoldState>([&] { return recoverState(*entries); });
      // Reads further back unless a snapshot was found or the first record is
      // reached.
      if (state || from == first)
        co_return state;
    } else if (from == first) {
      co_return makeExpiredFailure(end, first);
    }
    lookback *= 2;
  }
}

asio::awaitable<Outcome<std::size_t>>
readAndApplyRange(LogPort Log, FoldState &State, Millis PollTimeout) {
  Offset from = State.Next;
  Outcome<LogRange> range =
      co_await Log.Read(ControlStream, from, MaxRecordsPerRead, PollTimeout);
  if (!range)
    co_return range.failure();
  if (range->First > from)
    co_return makeExpiredFailure(from, range->First);
  for (const LogEntry &entry : range->Entries)
    if (entry.At == State.Next && !State.BlockedOffset)
      apply(State, entry.At, entry.Text);
  co_return static_cast<std::size_t>(State.Next - from);
}

} // namespace wasabi
