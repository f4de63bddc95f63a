/// \file
/// Ranks the engines that have capacity by expected finish.
#ifndef WASABI_ROLLOUT_ENGINECHOICE_H
#define WASABI_ROLLOUT_ENGINECHOICE_H

#include "Wasabi/Rollout/StepState.h"

#include <optional>
#include <vector>

namespace wasabi {

/// An engine with capacity. The pointer is valid while the state's engines do
/// not change.
struct Candidate {
  EngineState *At = nullptr;
  std::uint32_t Free = 0;
  /// Relative expected duration of a stream.
  double Cost = 0;
};

/// Requirements of a slot on its engine.
struct SlotRequirements {
  double Tokens = 0;
  /// Engines that already run the slot.
  std::vector<ServerName> ExcludedEngines;
};

/// Returns the engines with capacity as a heap with the cheapest on top. Pure.
std::vector<Candidate> enginesWithRoom(StepState &State, TimePoint Now);

/// Takes one free slot of the cheapest engine on which the sample is expected
/// to stay fresh out of the heap. Returns nothing if there is none. Pure except
/// for `Heap`.
std::optional<Candidate> takeEngine(const StepState &State,
                                    std::vector<Candidate> &Heap,
                                    const SlotRequirements &Requirements,
                                    TimePoint Now);

/// Returns the expected rate of a stream in tokens per second; 0 if unknown.
/// Pure.
double expectedRate(const StepState &State, const EngineState &At);

} // namespace wasabi

#endif // WASABI_ROLLOUT_ENGINECHOICE_H
