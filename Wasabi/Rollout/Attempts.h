/// \file
/// Handles the chunks, the end and the failure of attempts.
#ifndef WASABI_ROLLOUT_ATTEMPTS_H
#define WASABI_ROLLOUT_ATTEMPTS_H

#include "Wasabi/Rollout/StepState.h"

namespace wasabi {

/// Appends a chunk to the attempt's draft. Cancels the attempt if the chunk has
/// an unexpected position, no version or a stale version, or if the version
/// changed under the `Restart` policy.
void onChunk(StepState &State, const ChunkReceived &Event, TimePoint Now,
             StepEffects &Out);

/// Requests the score of a complete sample and cancels the other attempts of
/// its slot. An incomplete attempt is dropped.
void onAttemptEnded(StepState &State, const AttemptEnded &Event, TimePoint Now,
                    StepEffects &Out);

/// Keeps the draft, if it is fresh, for the next attempt and backs off the
/// engine.
void onAttemptFailed(StepState &State, const AttemptFailed &Event,
                     TimePoint Now, StepEffects &Out);

/// Cancels the attempts, and drops the undelivered samples, that are stale
/// under the newest version.
void dropStale(StepState &State, StepEffects &Out);

} // namespace wasabi

#endif // WASABI_ROLLOUT_ATTEMPTS_H
