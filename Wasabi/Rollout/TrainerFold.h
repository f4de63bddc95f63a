/// \file
/// Deterministic fold of one trainer's stream: an owner and its successor
/// derive the same state from the same records.
#ifndef WASABI_ROLLOUT_TRAINERFOLD_H
#define WASABI_ROLLOUT_TRAINERFOLD_H

#include "Wasabi/Rollout/Staleness.h"
#include "Wasabi/Rollout/TrainerRecord.h"
#include "Wasabi/State/Fold.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wasabi {

/// The last applied record of an author.
struct AuthorProgress {
  Incarnation Life = 0;
  std::uint64_t Sequence = 0;
  bool operator==(const AuthorProgress &) const = default;
};

/// A committed sample and the offset of its commit record.
struct CommittedSample {
  Sample Content;
  Offset At = 0;
  bool operator==(const CommittedSample &) const = default;
};

/// State of a trainer's stream. A value.
struct TrainerState {
  /// The next offset to apply.
  Offset Next = 0;
  /// Token of the current owner, the greatest of all start records. Records
  /// with another token are refused, except for a start with a greater one.
  FencingToken Fence = 0;
  /// Newest published version and current staleness bound.
  Freshness Fresh;
  /// The open step, or the last one if `Closed`.
  std::uint64_t Step = 0;
  bool Closed = false;
  /// The first valid commit of each slot of the open step.
  std::map<Slot, CommittedSample> Committed;
  /// Slots of the open step that the trainer accepted.
  std::set<Slot> Delivered;
  std::map<std::string, AuthorProgress> Authors;
  bool operator==(const TrainerState &) const = default;
};

/// Result of applying a record of a trainer's stream.
struct TrainerApplyResult {
  RecordStatus ApplyStatus = RecordStatus::Accepted;
  /// Empty if the record was accepted.
  std::string Reason;
  /// For commits: the slots that the record filled, and those that it did not,
  /// because they were filled, delivered, stale or of another step.
  std::vector<Slot> Filled;
  std::vector<Slot> Dropped;
  bool operator==(const TrainerApplyResult &) const = default;
};

/// Applies the record at offset `At`. Invalid records are skipped
/// deterministically. A published version removes the undelivered commits that
/// it makes stale. Never fails; pure except for `State`.
TrainerApplyResult apply(TrainerState &State, Offset At, std::string_view Text);

} // namespace wasabi

#endif // WASABI_ROLLOUT_TRAINERFOLD_H
