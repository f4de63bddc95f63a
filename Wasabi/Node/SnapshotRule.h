/// \file
/// When the state is written onto the log again. A pure decision.
#ifndef WASABI_NODE_SNAPSHOTRULE_H
#define WASABI_NODE_SNAPSHOTRULE_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"

namespace wasabi {

struct SnapshotSettings {
  /// Records after which a snapshot is due.
  Offset EveryRecords = 1000;
  /// Time after which one is due, if any record came.
  Millis MaxAge{600000};
  /// Where the log has begun to drop records: this part of what it keeps.
  Offset RetentionParts = 3;
  bool operator==(const SnapshotSettings &) const = default;
};

struct SnapshotSituation {
  /// The next offset here.
  Offset Next = 0;
  /// Offset after the newest snapshot, 0 for none.
  Offset Last = 0;
  /// The oldest offset that the log keeps, as read last.
  Offset LogFirst = 0;
  /// Since the newest snapshot was seen.
  Millis Age{0};
  bool operator==(const SnapshotSituation &) const = default;
};

/// Whether to write one now. Pure.
inline bool snapshotDue(const SnapshotSituation &Now,
                        const SnapshotSettings &Limits) {
  Offset since = Now.Next > Now.Last ? Now.Next - Now.Last : 0;
  if (since == 0)
    return false;
  if (since >= Limits.EveryRecords || Now.Age >= Limits.MaxAge)
    return true;
  // Well before the last one expires.
  bool drops = Now.LogFirst > 0 && Now.Next > Now.LogFirst;
  return drops && since >= (Now.Next - Now.LogFirst) / Limits.RetentionParts;
}

} // namespace wasabi

#endif // WASABI_NODE_SNAPSHOTRULE_H
