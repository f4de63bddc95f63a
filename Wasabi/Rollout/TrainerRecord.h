/// \file
/// Records of a trainer's log stream. Only the trainer's owner writes the
/// stream and only successors read it, which keeps the control stream small.
#ifndef WASABI_ROLLOUT_TRAINERRECORD_H
#define WASABI_ROLLOUT_TRAINERRECORD_H

#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Rollout/Sample.h"
#include "Wasabi/State/Record.h"

#include <string>
#include <variant>
#include <vector>

namespace wasabi {

/// Returns the stream of a trainer, `trainer.NAME`.
std::string trainerStream(const TrainerName &Trainer);

/// A new owner starts. Later records with a smaller fencing token are refused.
struct OwnerStart {
  /// Staleness bound in versions.
  std::uint32_t StalenessBound = 1;
  bool operator==(const OwnerStart &) const = default;
};

/// The trainer published a version.
struct VersionPublished {
  WeightVersion Version = 0;
  bool operator==(const VersionPublished &) const = default;
};

/// The trainer opened a step; earlier steps have ended.
struct StepOpened {
  std::uint64_t Step = 0;
  bool operator==(const StepOpened &) const = default;
};

/// Complete samples with their content, so that a successor can deliver them.
struct SampleCommit {
  std::vector<Sample> Samples;
  bool operator==(const SampleCommit &) const = default;
};

/// The trainer accepted these slots.
struct SamplesDelivered {
  std::string Delivery;
  std::vector<Slot> Slots;
  bool operator==(const SamplesDelivered &) const = default;
};

/// The trainer holds all samples of the step.
struct StepClosed {
  std::uint64_t Step = 0;
  bool operator==(const StepClosed &) const = default;
};

using TrainerBody = std::variant<OwnerStart, VersionPublished, StepOpened,
                                 SampleCommit, SamplesDelivered, StepClosed>;

/// A record of a trainer's stream. An immutable value.
struct TrainerRecord {
  /// Applied once, however often it is appended.
  RecordId Id;
  /// Fencing token of the author's claim.
  FencingToken Fence = 0;
  TrainerBody Body;
  bool operator==(const TrainerRecord &) const = default;
};

/// Returns the record as JSON text. Pure.
std::string encodeTrainerRecord(const TrainerRecord &Record);

/// Parses a record. Errors: `BadInput` naming the member; `NewerSchema` for a
/// schema or kind that this program does not know.
Result<TrainerRecord> decodeTrainerRecord(std::string_view Text);

} // namespace wasabi

#endif // WASABI_ROLLOUT_TRAINERRECORD_H
