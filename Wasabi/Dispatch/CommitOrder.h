/// \file
/// Decides in which order results are appended to the rollout topic. After an
/// outage of the store the backlog holds the results of several steps, and the
/// step that is due first must not wait for the others.
#ifndef WASABI_DISPATCH_COMMITORDER_H
#define WASABI_DISPATCH_COMMITORDER_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"

#include <compare>
#include <cstddef>
#include <vector>

namespace wasabi {

/// Properties of a pending result that determine when it is appended. An
/// immutable value.
struct CommitEntry {
  /// Time at which the results of its step are due.
  TimePoint Due;
  /// Offset of the step's submission, which identifies the step.
  Offset Step = 0;
  /// Time at which the result was complete.
  TimePoint FinishedAt;
  /// Size of the output in bytes.
  std::size_t Bytes = 0;
  bool operator==(const CommitEntry &) const = default;
};

/// The position of a step in the order of appends; lesser ones come first.
struct CommitRank {
  /// Steps whose due time has passed come last.
  bool Overdue = false;
  TimePoint Due;
  Offset Step = 0;
  auto operator<=>(const CommitRank &) const = default;
};

/// Returns the rank of a result. Pure, thread-safe.
CommitRank commitRank(const CommitEntry &Entry, TimePoint Now);

/// Returns the indices of `Pending` in the order in which they should be
/// appended. Results of one step keep their order. Pure, thread-safe.
std::vector<std::size_t> sortForCommit(const std::vector<CommitEntry> &Pending,
                                       TimePoint Now);

/// Returns how many of `Sorted` to append at once: as many as fit into
/// `MaxBytes`, at least one. A batch that does not hold all of them ends
/// between two steps where it can, so that one append completes a step. Pure,
/// thread-safe.
std::size_t commitBatchSize(const std::vector<CommitEntry> &Sorted,
                            std::size_t MaxBytes);

/// Returns true if a result has waited longer than `MaxDelay` for its append,
/// as it does during and after an outage of the store. Pure, thread-safe.
bool hasCommitBacklog(const std::vector<CommitEntry> &Pending, Millis MaxDelay,
                      TimePoint Now);

} // namespace wasabi

#endif // WASABI_DISPATCH_COMMITORDER_H
