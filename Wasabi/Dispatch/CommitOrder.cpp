#include "Wasabi/Dispatch/CommitOrder.h"

#include <algorithm>
#include <numeric>

namespace wasabi {

CommitRank commitRank(const CommitEntry &Entry, TimePoint Now) {
  return CommitRank{Entry.Due < Now, Entry.Due, Entry.Step};
}

std::vector<std::size_t> sortForCommit(const std::vector<CommitEntry> &Pending,
                                       TimePoint Now) {
  std::vector<std::size_t> order(Pending.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(
      order.begin(), order.end(), [&](std::size_t Left, std::size_t Right) {
        return commitRank(Pending[Left], Now) < commitRank(Pending[Right], Now);
      });
  return order;
}

std::size_t commitBatchSize(const std::vector<CommitEntry> &Sorted,
                            std::size_t MaxBytes) {
  std::size_t bytes = 0;
  std::size_t count = 0;
  while (count < Sorted.size() &&
         (count == 0 || bytes + Sorted[count].Bytes <= MaxBytes)) {
    bytes += Sorted[count].Bytes;
    ++count;
  }
  if (count == Sorted.size())
    return count;
  std::size_t boundary = count;
  while (boundary > 0 && Sorted[boundary - 1].Step == Sorted[boundary].Step)
    --boundary;
  // A step that does not fit into one batch needs several.
  return boundary > 0 ? boundary : count;
}

bool hasCommitBacklog(const std::vector<CommitEntry> &Pending, Millis MaxDelay,
                      TimePoint Now) {
  return std::any_of(
      Pending.begin(), Pending.end(),
      [&](const CommitEntry &It) { return Now - It.FinishedAt > MaxDelay; });
}

} // namespace wasabi
