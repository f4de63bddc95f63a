/// \file
/// Interface to the platform's append-only log.
#ifndef WASABI_PORTS_LOGPORT_H
#define WASABI_PORTS_LOGPORT_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Verdict.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <vector>

namespace wasabi {

/// One record of a log stream.
struct LogEntry {
  Offset At = 0;
  std::string Text;
  bool operator==(const LogEntry &) const = default;
};

/// A contiguous range of a stream.
struct LogRange {
  /// Oldest retained offset.
  Offset First = 0;
  /// One past the newest offset.
  Offset End = 0;
  /// Contiguous entries from the requested offset on. Empty if there are none
  /// yet or if the requested offset has expired, that is, is below `First`.
  std::vector<LogEntry> Entries;
};

/// Calls to the log as function objects. Use a port on the thread that created
/// it.
struct LogPort {
  /// Appends a record and returns its offset. Failures: `NotRun` if the record
  /// was not sent or was rejected (429); `MayHaveRun` if the response was lost.
  std::function<boost::asio::awaitable<Outcome<Offset>>(std::string Stream,
                                                        std::string Text)>
      Append;
  /// Reads at most `MaxEntries` entries from `FirstOffset` on; waits up to
  /// `PollTimeout` for the first one.
  std::function<boost::asio::awaitable<Outcome<LogRange>>(
      std::string Stream, Offset FirstOffset, std::size_t MaxEntries,
      Millis PollTimeout)>
      Read;
};

} // namespace wasabi

#endif // WASABI_PORTS_LOGPORT_H
