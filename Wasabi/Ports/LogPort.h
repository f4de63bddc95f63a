/// \file
/// What the core needs from the platform's append-only log.
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

/// One record as the log holds it.
struct LogEntry {
  Offset At = 0;
  std::string Text;
  bool operator==(const LogEntry &) const = default;
};

/// A stretch of a stream.
struct LogRange {
  /// The oldest offset still kept.
  Offset First = 0;
  /// One past the newest.
  Offset End = 0;
  /// Entries from the asked offset on, contiguous. Empty when there is none,
  /// or when the asked offset is below `First` (expired: `First` says so).
  std::vector<LogEntry> Entries;
};

/// The log, as plain functions; each is used on the thread that built it.
struct LogPort {
  /// Appends a record and gives its offset. Failures: `NotRun` when it was not
  /// sent or was refused (429); `MayHaveRun` when the answer was lost.
  std::function<boost::asio::awaitable<Outcome<Offset>>(std::string Stream,
                                                        std::string Text)>
      Append;
  /// Reads from `From`, at most `Max` entries, waiting up to `Wait` for one.
  std::function<boost::asio::awaitable<Outcome<LogRange>>(
      std::string Stream, Offset From, std::size_t Max, Millis Wait)>
      Read;
};

} // namespace wasabi

#endif // WASABI_PORTS_LOGPORT_H
