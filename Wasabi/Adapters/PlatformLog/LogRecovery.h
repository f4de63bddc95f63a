/// \file
/// Recovers the state from the log, reading back only as far as the newest
/// valid snapshot.
#ifndef WASABI_ADAPTERS_PLATFORMLOG_LOGRECOVERY_H
#define WASABI_ADAPTERS_PLATFORMLOG_LOGRECOVERY_H

#include "Wasabi/Ports/LogPort.h"
#include "Wasabi/State/Fold.h"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace wasabi {

/// Returns the state at the end of the control stream, or, with `Until`, before
/// the record at that offset. Failures: those of the log; `Unavailable` if
/// required records have expired and no snapshot replaces them.
boost::asio::awaitable<Outcome<FoldState>>
recoverFromLog(LogPort Log, std::optional<Offset> Until);

/// Reads and applies the records that follow `State`, waiting up to
/// `PollTimeout` for one. Returns the number of applied records. Failures:
/// those of the log; `Unavailable` if the next record has expired, and the
/// state must be recovered from the log.
boost::asio::awaitable<Outcome<std::size_t>>
readAndApplyRange(LogPort Log, FoldState &State, Millis PollTimeout);

} // namespace wasabi

#endif // WASABI_ADAPTERS_PLATFORMLOG_LOGRECOVERY_H
