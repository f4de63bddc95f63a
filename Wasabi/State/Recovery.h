/// \file
/// Recovers the state from the retained log: from the latest valid snapshot and
/// the records after it, or from all records if none has expired.
#ifndef WASABI_STATE_RECOVERY_H
#define WASABI_STATE_RECOVERY_H

#include "Wasabi/Ports/LogPort.h"
#include "Wasabi/State/Fold.h"

#include <vector>

namespace wasabi {

/// Returns the state after the last of `Records`, which are contiguous and end
/// at the end of the control stream. A snapshot is valid if its hash matches
/// its text, all records after its state are in `Records`, and the fold of
/// these accepts the snapshot record. Errors: `Unavailable` if there is no
/// valid snapshot and `Records` does not begin at offset 0; the caller can read
/// further back or ask a peer. Pure, thread-safe.
Result<FoldState> recoverState(const std::vector<LogEntry> &Records);

} // namespace wasabi

#endif // WASABI_STATE_RECOVERY_H
