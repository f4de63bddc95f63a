/// \file
/// Decides when a snapshot of the state is appended to the log. A pure
/// function.
#ifndef WASABI_NODE_SNAPSHOTRULE_H
#define WASABI_NODE_SNAPSHOTRULE_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"

namespace wasabi {

struct SnapshotSettings {
  /// Number of records after which a snapshot is due.
  Offset MaxRecordsBetween = 1000;
  /// Time after which a snapshot is due, if there are new records.
  Millis MaxAge{600000};
  /// Once the log has begun to drop records, a snapshot is due after the number
  /// of retained records divided by this.
  Offset RetentionDivisor = 3;
  bool operator==(const SnapshotSettings &) const = default;
};

struct SnapshotDecisionInput {
  /// The next offset to fold.
  Offset Next = 0;
  /// Offset after the newest snapshot, 0 for none.
  Offset Last = 0;
  /// The oldest offset that the log retained at the last read.
  Offset LogFirst = 0;
  /// Time since the newest snapshot was applied.
  Millis Age{0};
  bool operator==(const SnapshotDecisionInput &) const = default;
};

/// Returns true if a snapshot is due. Pure.
inline bool snapshotDue(const SnapshotDecisionInput &Input,
                        const SnapshotSettings &Limits) {
  Offset since = Input.Next > Input.Last ? Input.Next - Input.Last : 0;
  if (since == 0)
    return false;
  if (since >= Limits.MaxRecordsBetween || Input.Age >= Limits.MaxAge)
    return true;
  // Take a snapshot well before the previous one expires.
  bool drops = Input.LogFirst > 0 && Input.Next > Input.LogFirst;
  return drops &&
         since >= (Input.Next - Input.LogFirst) / Limits.RetentionDivisor;
}

} // namespace wasabi

#endif // WASABI_NODE_SNAPSHOTRULE_H
