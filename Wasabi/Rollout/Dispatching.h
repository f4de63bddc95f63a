/// \file
/// Chooses the slots to run next and their engines.
#ifndef WASABI_ROLLOUT_DISPATCHING_H
#define WASABI_ROLLOUT_DISPATCHING_H

#include "Wasabi/Rollout/StepState.h"

namespace wasabi {

/// Dispatches as many waiting slots as the engines have capacity for: first
/// those of groups that have begun, then those with the longest expected
/// samples. Each goes to the engine that is expected to finish it first, among
/// those on which it is expected to stay fresh.
void dispatchWaiting(StepState &State, TimePoint Now, StepEffects &Out);

/// Starts a second attempt for slots whose only attempt has stalled, or is much
/// slower than a free engine. It resumes from the draft of the first. Cancels
/// the attempts without a chunk for `HangTimeout`.
void hedgeTail(StepState &State, TimePoint Now, StepEffects &Out);

} // namespace wasabi

#endif // WASABI_ROLLOUT_DISPATCHING_H
