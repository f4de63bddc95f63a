/// \file
/// The records of the usage topic: the requests that each process has counted,
/// the counts that were decided for each window, and the windows that were
/// reported.
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

/// Wall time in milliseconds, by the clock of the process that records it.
using WallTime = std::chrono::sys_time<Millis>;

/// The number of a window, an interval of wall time over which requests are
/// summed by customer. Windows are numbered from the Unix epoch.
using UsageWindow = std::uint64_t;

/// Number of requests by customer.
using UsageCounts = std::map<CustomerName, std::uint64_t>;

/// A process that counts requests. An immutable value.
struct UsageSource {
  InstanceName Instance;
  /// Distinguishes a restarted process from its predecessor.
  Incarnation Life = 0;
  auto operator<=>(const UsageSource &) const = default;
};

/// Requests of one customer that servers started to run.
struct UsageEntry {
  CustomerName Of;
  WallTime At;
  /// Negative to withdraw requests that were counted before but did not run.
  std::int64_t Count = 0;
  bool operator==(const UsageEntry &) const = default;
};

/// The requests that a process has counted since its last batch.
struct UsageBatch {
  UsageSource Source;
  /// Number of the batch, from 1 for each process. A batch may be in the topic
  /// twice if the response to its first append was lost.
  std::uint64_t Sequence = 0;
  /// Requests that the process counted before this time are in this batch or in
  /// an earlier one.
  WallTime Through;
  std::vector<UsageEntry> Entries;
  bool operator==(const UsageBatch &) const = default;
};

/// The process has stopped counting; all its batches precede this record.
struct UsageLeave {
  UsageSource Source;
  bool operator==(const UsageLeave &) const = default;
};

/// The counts to report for a window, independent of the reporting process. The
/// first decision for a window is the valid one.
struct UsageDecision {
  UsageWindow Window = 0;
  UsageCounts Counts;
  bool operator==(const UsageDecision &) const = default;
};

/// The platform has accepted the report of a window.
struct UsageReported {
  UsageWindow Window = 0;
  bool operator==(const UsageReported &) const = default;
};

using UsageRecord =
    std::variant<UsageBatch, UsageLeave, UsageDecision, UsageReported>;

/// Encodes a record as it is appended to the topic. Thread-safe.
std::string encodeUsage(const UsageRecord &Record);

/// Decodes a record. Errors: `BadInput` at `Place` for a malformed record,
/// `NewerSchema` for a record of a later release. Thread-safe.
Result<UsageRecord> decodeUsage(std::string_view Text,
                                const std::string &Place);

/// Returns the window that contains a time, and the time at which a window
/// ends. Pure.
UsageWindow windowOf(WallTime At, Millis Length);
WallTime windowEnd(UsageWindow Window, Millis Length);

} // namespace wasabi

#endif // WASABI_USAGE_USAGERECORD_H
