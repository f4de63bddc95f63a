/// \file
/// What follows from an attempt's chunks, end and failure.
#ifndef WASABI_ROLLOUT_ATTEMPTS_H
#define WASABI_ROLLOUT_ATTEMPTS_H

#include "Wasabi/Rollout/StepState.h"

namespace wasabi {

/// Takes a chunk into the attempt's draft, or gives the attempt up: when the
/// chunk is out of place, names no version, is too old, or is of another
/// version than the first under `Restart`.
void onChunk(StepState &State, const ChunkReceived &What, TimePoint Now,
             StepEffects &Out);

/// The first whole attempt wins; the others of its slot are cancelled.
void onAttemptEnded(StepState &State, const AttemptEnded &What, TimePoint Now,
                    StepEffects &Out);

/// Its whole chunks are kept to go on from; its engine rests a while.
void onAttemptFailed(StepState &State, const AttemptFailed &What, TimePoint Now,
                     StepEffects &Out);

/// Ends whatever a newly published version made too old.
void dropStale(StepState &State, StepEffects &Out);

} // namespace wasabi

#endif // WASABI_ROLLOUT_ATTEMPTS_H
