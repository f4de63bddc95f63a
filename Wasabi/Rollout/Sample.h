/// \file
/// A complete sample, and the step that a trainer requests.
#ifndef WASABI_ROLLOUT_SAMPLE_H
#define WASABI_ROLLOUT_SAMPLE_H

#include "Wasabi/Core/Ids.h"
#include "Wasabi/Rollout/Label.h"
#include "Wasabi/Rollout/Slot.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wasabi {

/// A generated and scored sample. An immutable value.
struct Sample {
  Slot Place;
  std::string Text;
  std::uint32_t Tokens = 0;
  Label Spans;
  double Score = 0;
  std::uint64_t Seed = 0;
  bool operator==(const Sample &) const = default;
};

/// Samples of the same prompt. The trainer can use only complete groups.
struct WantedGroup {
  std::uint32_t Group = 0;
  std::string Prompt;
  std::uint32_t Samples = 0;
  std::uint32_t MaxTokens = 0;
  /// Sample I has the seed `Seed + I`.
  std::uint64_t Seed = 0;
  bool operator==(const WantedGroup &) const = default;
};

/// A step as requested by its trainer.
struct WantedStep {
  std::uint64_t Step = 0;
  ModelName Model;
  /// The newest version that the trainer has published.
  WeightVersion Newest = 0;
  std::vector<WantedGroup> Groups;
  /// Slots that the trainer holds; authoritative for the delivered samples.
  std::vector<Slot> HeldSlots;
  /// The greatest fencing token that the trainer has seen.
  FencingToken Fence = 0;
  bool operator==(const WantedStep &) const = default;
};

} // namespace wasabi

#endif // WASABI_ROLLOUT_SAMPLE_H
