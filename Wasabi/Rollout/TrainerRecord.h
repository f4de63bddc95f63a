/// \file
/// The records of one trainer's own log stream. Only the trainer's owner writes
/// it and only a successor reads it back, so the control stream stays small.
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

/// The stream of a trainer: `trainer.NAME`.
std::string trainerStream(const TrainerName &Trainer);

/// A new owner begins; every record of a smaller token after it is void.
struct OwnerStart {
  /// The bound in force, in versions.
  std::uint32_t StalenessBound = 1;
  bool operator==(const OwnerStart &) const = default;
};

/// The trainer published a version.
struct VersionPublished {
  WeightVersion Version = 0;
  bool operator==(const VersionPublished &) const = default;
};

/// The trainer opened a step; the slots of earlier steps are over.
struct StepOpened {
  std::uint64_t Step = 0;
  bool operator==(const StepOpened &) const = default;
};

/// Whole samples with their content, so that a successor can deliver them.
struct SampleCommit {
  std::vector<Sample> Samples;
  bool operator==(const SampleCommit &) const = default;
};

/// The trainer took these slots.
struct SamplesDelivered {
  std::string Delivery;
  std::vector<Slot> Slots;
  bool operator==(const SamplesDelivered &) const = default;
};

/// The trainer holds the whole step.
struct StepClosed {
  std::uint64_t Step = 0;
  bool operator==(const StepClosed &) const = default;
};

using TrainerBody = std::variant<OwnerStart, VersionPublished, StepOpened,
                                 SampleCommit, SamplesDelivered, StepClosed>;

/// One record of a trainer's stream. An immutable value.
struct TrainerRecord {
  /// Taken once by the fold, however often it is appended.
  RecordId Id;
  /// The claim that its author acts under.
  FencingToken Fence = 0;
  TrainerBody Body;
  bool operator==(const TrainerRecord &) const = default;
};

/// The record's JSON text. Pure.
std::string encodeTrainerRecord(const TrainerRecord &What);

/// Reads a record. Errors: `BadInput` naming the member; `NewerSchema` for a
/// schema or kind beyond this program's.
Result<TrainerRecord> decodeTrainerRecord(std::string_view Text);

} // namespace wasabi

#endif // WASABI_ROLLOUT_TRAINERRECORD_H
