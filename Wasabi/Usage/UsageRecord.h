/// \file
/// The records of the usage topic: what each process has counted, what was
/// decided to be reported of each window, and what has been.
#ifndef WASABI_USAGE_USAGERECORD_H
#define WASABI_USAGE_USAGERECORD_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Verdict.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wasabi {

/// Milliseconds of wall time: of the clock of whoever says it.
using WallTime = std::chrono::sys_time<Millis>;

/// A stretch of wall time for which customers' requests are counted together:
/// its number counts the stretches since 1970.
using UsageWindow = std::uint64_t;

/// Requests by customer.
using UsageCounts = std::map<CustomerName, std::uint64_t>;

/// A process that counts. An immutable value.
struct UsageSource {
  InstanceName Instance;
  /// Tells a restarted process from its predecessor.
  Incarnation Life = 0;
  auto operator<=>(const UsageSource &) const = default;
};

/// Requests of one customer that servers began to run.
struct UsageEntry {
  CustomerName Of;
  WallTime At;
  /// Negative for what was counted before and proved not to have run.
  std::int64_t Count = 0;
  bool operator==(const UsageEntry &) const = default;
};

/// What a process has counted since its last such record.
struct UsageBatch {
  UsageSource From;
  /// Counts the batches of a process, from 1. One may stand in the topic twice,
  /// when the answer to its first append was lost.
  std::uint64_t Sequence = 0;
  /// All that the process counted before this time is in this batch or in an
  /// earlier one.
  WallTime Through;
  std::vector<UsageEntry> Entries;
  bool operator==(const UsageBatch &) const = default;
};

/// The process counts no more: all that it counted stands before.
struct UsageLeave {
  UsageSource From;
  bool operator==(const UsageLeave &) const = default;
};

/// What is reported of a window, whoever reports it. The first decision counts.
struct UsageDecision {
  UsageWindow Window = 0;
  UsageCounts Counts;
  bool operator==(const UsageDecision &) const = default;
};

/// The platform has taken the report of a window.
struct UsageReported {
  UsageWindow Window = 0;
  bool operator==(const UsageReported &) const = default;
};

using UsageRecord =
    std::variant<UsageBatch, UsageLeave, UsageDecision, UsageReported>;

/// The text of a record as it is appended. Thread-safe.
std::string encodeUsage(const UsageRecord &What);

/// The reverse. Errors: `BadInput` at `Place` for a malformed record,
/// `NewerSchema` for one that a later release wrote. Thread-safe.
Result<UsageRecord> decodeUsage(std::string_view Text,
                                const std::string &Place);

/// The window of a time, and the time at which a window ends. Pure.
UsageWindow windowOf(WallTime At, Millis Length);
WallTime windowEnd(UsageWindow Of, Millis Length);

} // namespace wasabi

#endif // WASABI_USAGE_USAGERECORD_H
