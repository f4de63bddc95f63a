/// \file
/// Which slot runs next, and on which engine.
#ifndef WASABI_ROLLOUT_DISPATCHING_H
#define WASABI_ROLLOUT_DISPATCHING_H

#include "Wasabi/Rollout/StepState.h"

namespace wasabi {

/// Dispatches as many waiting slots as engines have room for: groups already
/// begun first, then the longest expected; the engine expected to be done first
/// takes it, unless the sample is expected to be too old by then.
void dispatchWaiting(StepState &State, TimePoint Now, StepEffects &Out);

/// Runs the tail twice: attempts that stalled, or run on a much slower engine
/// than one that stands idle, are copied there from their last whole position.
/// Attempts that hang are given up.
void hedgeTail(StepState &State, TimePoint Now, StepEffects &Out);

} // namespace wasabi

#endif // WASABI_ROLLOUT_DISPATCHING_H
