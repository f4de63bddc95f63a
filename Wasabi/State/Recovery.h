/// \file
/// A state out of what the log still keeps: the newest sound snapshot and the
/// records after it, or all records if none has expired.
#ifndef WASABI_STATE_RECOVERY_H
#define WASABI_STATE_RECOVERY_H

#include "Wasabi/Ports/LogPort.h"
#include "Wasabi/State/Fold.h"

#include <vector>

namespace wasabi {

/// The state after the last of `Kept`, which are contiguous records of the
/// control stream up to its end. A snapshot counts if its hash is that of its
/// text, its record is accepted by the fold of the records that follow its
/// state, and they are all in `Kept`. Errors: `Unavailable` when there is no
/// such snapshot and `Kept` does not begin at offset 0: read further back, or
/// ask a peer. Pure, thread-safe.
Result<FoldState> recoverState(const std::vector<LogEntry> &Kept);

} // namespace wasabi

#endif // WASABI_STATE_RECOVERY_H
