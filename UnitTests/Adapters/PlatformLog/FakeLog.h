/// \file
/// In-memory log that injects faults.
#ifndef WASABI_UNITTESTS_ADAPTERS_PLATFORMLOG_FAKELOG_H
#define WASABI_UNITTESTS_ADAPTERS_PLATFORMLOG_FAKELOG_H

#include "Wasabi/Ports/LogPort.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <optional>

namespace wasabi::logtest {

/// Fake log with one stream. Used on one thread; outlives its ports.
struct FakeLog {
  std::vector<LogEntry> Entries;
  Offset First = 0;
  /// Number of appends that take effect but whose response is lost.
  int AppendAnswersToLose = 0;
  /// Number of appends that are refused without effect.
  int AppendsToRefuse = 0;
  /// Number of reads that hide the newest record.
  int StaleReadsLeft = 0;
  bool Unreachable = false;
  int Appends = 0;

  Outcome<Offset> append(std::string Text) {
    ++Appends;
    if (Unreachable)
      return Failure{
          Verdict::NotRun, FailureCode::Unreachable, "log", "down", {}};
    if (AppendsToRefuse > 0) {
      --AppendsToRefuse;
      return Failure{Verdict::NotRun, FailureCode::Overloaded, "log", "busy",
                     Millis(1)};
    }
    Offset at = First + Entries.size();
    Entries.push_back({at, std::move(Text)});
    if (AppendAnswersToLose > 0) {
      --AppendAnswersToLose;
      return Failure{Verdict::MayHaveRun,
                     FailureCode::ConnectionLost,
                     "log",
                     "answer lost",
                     {}};
    }
    return at;
  }

  Outcome<LogRange> read(Offset From, std::size_t Max) {
    if (Unreachable)
      return Failure{
          Verdict::NotRun, FailureCode::Unreachable, "log", "down", {}};
    LogRange out;
    out.First = First;
    out.End = First + Entries.size();
    if (StaleReadsLeft > 0 && out.End > out.First) {
      --StaleReadsLeft;
      --out.End;
    }
    for (Offset at = From; at >= First && at < out.End; ++at)
      if (out.Entries.size() < Max)
        out.Entries.push_back(Entries[at - First]);
    return out;
  }

  /// Removes the entries below `To`.
  void expireBelow(Offset To) {
    Entries.erase(Entries.begin(),
                  Entries.begin() + static_cast<std::ptrdiff_t>(To - First));
    First = To;
  }

  LogPort port() {
    LogPort out;
    out.Append =
        [this](std::string,
               std::string Text) -> boost::asio::awaitable<Outcome<Offset>> {
      co_return append(std::move(Text));
    };
    out.Read = [this](std::string, Offset From, std::size_t Max,
                      Millis) -> boost::asio::awaitable<Outcome<LogRange>> {
      co_return read(From, Max);
    };
    return out;
  }
};

/// Stores the result of a coroutine in `Out`.
template <typename T>
boost::asio::awaitable<void> storeResult(std::optional<T> &Out,
                                         boost::asio::awaitable<T> Body) {
  Out = co_await std::move(Body);
}

/// Runs a coroutine to completion and returns its result.
template <typename T> T runUntilComplete(boost::asio::awaitable<T> Body) {
  boost::asio::io_context context;
  std::optional<T> out;
  boost::asio::co_spawn(context, storeResult(out, std::move(Body)),
                        boost::asio::detached);
  context.run();
  return std::move(*out);
}

} // namespace wasabi::logtest

#endif // WASABI_UNITTESTS_ADAPTERS_PLATFORMLOG_FAKELOG_H
