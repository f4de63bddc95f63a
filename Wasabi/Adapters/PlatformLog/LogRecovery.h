/// \file
/// Reads a state from the log: tail first, and further back only as far as the
/// newest sound snapshot.
#ifndef WASABI_ADAPTERS_PLATFORMLOG_LOGRECOVERY_H
#define WASABI_ADAPTERS_PLATFORMLOG_LOGRECOVERY_H

#include "Wasabi/Ports/LogPort.h"
#include "Wasabi/State/Fold.h"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace wasabi {

/// The state at the end of the control stream, or, with `Until`, before the
/// record at that offset. Failures: those of the log; `Unavailable` when the
/// records needed have expired and no snapshot stands for them.
boost::asio::awaitable<Outcome<FoldState>>
recoverFromLog(LogPort Log, std::optional<Offset> Until);

/// Reads and applies what follows `State`, waiting up to `Wait` for a record.
/// Gives how many were applied. Failures: those of the log; `Unavailable` when
/// the next record has expired: recover anew.
boost::asio::awaitable<Outcome<std::size_t>>
readAndApplyRange(LogPort Log, FoldState &State, Millis Wait);

} // namespace wasabi

#endif // WASABI_ADAPTERS_PLATFORMLOG_LOGRECOVERY_H
