/// \file
/// The deterministic fold of one trainer's stream: the same records in the same
/// order give an owner and its successor the same samples.
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

/// The last record taken of one author.
struct AuthorProgress {
  Incarnation Life = 0;
  std::uint64_t Sequence = 0;
  bool operator==(const AuthorProgress &) const = default;
};

/// A committed sample and the record that committed it.
struct CommittedSample {
  Sample What;
  Offset At = 0;
  bool operator==(const CommittedSample &) const = default;
};

/// What a trainer's stream says. A value.
struct TrainerState {
  /// The next offset to apply.
  Offset Next = 0;
  /// The greatest token an owner began with; smaller ones are void.
  FencingToken Fence = 0;
  /// Newest version published, and the bound in force.
  Freshness Fresh;
  /// The step open, or the last one.
  std::uint64_t Step = 0;
  bool Closed = false;
  /// Samples of the open step: the first valid commit of each slot.
  std::map<Slot, CommittedSample> Committed;
  /// Slots of the open step that the trainer took.
  std::set<Slot> Delivered;
  std::map<std::string, AuthorProgress> Authors;
  bool operator==(const TrainerState &) const = default;
};

/// What became of one record of a trainer's stream.
struct TrainerApplyResult {
  RecordStatus ApplyStatus = RecordStatus::Accepted;
  /// Empty when accepted.
  std::string Reason;
  /// For commits: the slots that this record filled, and those it did not,
  /// because they were filled, delivered, too old or of another step.
  std::vector<Slot> Filled;
  std::vector<Slot> Dropped;
  bool operator==(const TrainerApplyResult &) const = default;
};

/// Applies the record at offset `At` to `State`. Pure but for `State`; never
/// fails: what is bad is skipped by all alike. An undelivered commit that a
/// published version makes too old gives its slot free again.
TrainerApplyResult apply(TrainerState &State, Offset At, std::string_view Text);

} // namespace wasabi

#endif // WASABI_ROLLOUT_TRAINERFOLD_H
