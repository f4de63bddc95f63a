/// \file
/// Engines with room, the one expected to be done first on top.
#ifndef WASABI_ROLLOUT_ENGINECHOICE_H
#define WASABI_ROLLOUT_ENGINECHOICE_H

#include "Wasabi/Rollout/StepState.h"

#include <optional>
#include <vector>

namespace wasabi {

/// An engine with room. Valid while the state's engines do not change.
struct Candidate {
  EngineState *At = nullptr;
  std::uint32_t Free = 0;
  /// Relative time that a stream is expected to take there.
  double Cost = 0;
};

/// What may run there: a slot's needs.
struct SlotRequirements {
  double Tokens = 0;
  /// Engines that run it already; nothing is won by running twice on one.
  std::vector<ServerName> Not;
};

/// All engines with room as a heap, cheapest on top. Pure.
std::vector<Candidate> enginesWithRoom(StepState &State, TimePoint Now);

/// Takes the cheapest engine that a sample would still be fresh on, and one
/// place there, out of the heap; empty when there is none. Pure but for
/// `Heap`.
std::optional<Candidate> takeEngine(const StepState &State,
                                    std::vector<Candidate> &Heap,
                                    const SlotRequirements &Need,
                                    TimePoint Now);

/// The rate of a stream expected there, in tokens a second; 0 for unknown.
double expectedRate(const StepState &State, const EngineState &At);

} // namespace wasabi

#endif // WASABI_ROLLOUT_ENGINECHOICE_H
