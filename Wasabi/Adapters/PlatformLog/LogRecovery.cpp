#include "Wasabi/Adapters/PlatformLog/LogRecovery.h"

#include "Wasabi/State/Recovery.h"

#include <algorithm>

namespace wasabi {

namespace {

namespace asio = boost::asio;

/// Records of one read.
constexpr std::size_t ReadChunk = 500;
/// How far back the first look goes; each further one doubles it.
constexpr Offset FirstLook = 256;

using Entries = std::vector<LogEntry>;

Failure expired(Offset At, Offset First) {
  return {Verdict::NotRun,
          FailureCode::Unavailable,
          "control stream",
          "offset " + std::to_string(At) + " has expired; the log begins at " +
              std::to_string(First),
          {}};
}

/// All entries of `From` to below `Until`, or as many as the log shows.
asio::awaitable<Outcome<Entries>> readAll(LogPort Log, Offset From,
                                          Offset Until) {
  Entries out;
  while (From + out.size() < Until) {
    Offset next = From + out.size();
    std::size_t most = std::min<std::size_t>(ReadChunk, Until - next);
    Outcome<LogRange> range =
        co_await Log.Read(ControlStream, next, most, Millis(0));
    if (!range)
      co_return range.failure();
    if (range->First > next)
      co_return expired(next, range->First);
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
    co_return expired(end, first);

  Offset look = FirstLook;
  while (true) {
    Offset from = end - first > look ? end - look : first;
    Outcome<Entries> kept = co_await readAll(Log, from, end);
    if (!kept)
      co_return kept.failure();
    if (!kept->empty() || first == 0) {
      Outcome<FoldState> state =
          toOutcome<FoldState>([&] { return recoverState(*kept); });
      // Without a snapshot in sight, only the very beginning will do.
      if (state || from == first)
        co_return state;
    } else if (from == first) {
      co_return expired(end, first);
    }
    look *= 2;
  }
}

asio::awaitable<Outcome<std::size_t>>
readAndApplyRange(LogPort Log, FoldState &State, Millis Wait) {
  Offset from = State.Next;
  Outcome<LogRange> range =
      co_await Log.Read(ControlStream, from, ReadChunk, Wait);
  if (!range)
    co_return range.failure();
  if (range->First > from)
    co_return expired(from, range->First);
  for (const LogEntry &entry : range->Entries)
    if (entry.At == State.Next && !State.BlockedOffset)
      apply(State, entry.At, entry.Text);
  co_return static_cast<std::size_t>(State.Next - from);
}

} // namespace wasabi
