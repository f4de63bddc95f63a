/// \file
/// When the state is written onto the log again. A pure decision.
#ifndef WASABI_NODE_SNAPSHOTRULE_H
#define WASABI_NODE_SNAPSHOTRULE_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"

namespace wasabi {

struct SnapshotSettings {
  /// Records after which a snapshot is due.
  Offset MaxRecordsBetween = 1000;
  /// Time after which one is due, if any record came.
  Millis MaxAge{600000};
  /// Where the log has begun to drop records: this part of what it keeps.
  Offset RetentionDivisor = 3;
  bool operator==(const SnapshotSettings &) const = default;
};

struct SnapshotDecisionInput {
  /// The next offset here.
  Offset Next = 0;
  /// Offset after the newest snapshot, 0 for none.
  Offset Last = 0;
  /// The oldest offset that the log keeps, as read last.
  Offset LogFirst = 0;
  /// Since the newest snapshot was seen.
  Millis Age{0};
  bool operator==(const SnapshotDecisionInput &) const = default;
};

/// Whether to write one now. Pure.
inline bool snapshotDue(const SnapshotDecisionInput &Now,
                        const SnapshotSettings &Limits) {
  Offset since = Now.Next > Now.Last ? Now.Next - Now.Last : 0;
  if (since == 0)
    return false;
  if (since >= Limits.MaxRecordsBetween || Now.Age >= Limits.MaxAge)
    return true;
  // Well before the last one expires.
  bool drops = Now.LogFirst > 0 && Now.Next > Now.LogFirst;
  return drops && since >= (Now.Next - Now.LogFirst) / Limits.RetentionDivisor;
}

} // namespace wasabi

#endif // WASABI_NODE_SNAPSHOTRULE_H
