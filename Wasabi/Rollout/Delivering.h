/// \file
/// Commits and deliveries: how a scored sample reaches its trainer once.
#ifndef WASABI_ROLLOUT_DELIVERING_H
#define WASABI_ROLLOUT_DELIVERING_H

#include "Wasabi/Rollout/StepState.h"

namespace wasabi {

/// Appends what is scored and not yet in the log: at once for a trainer that
/// does not check tokens, and for others what is still undelivered a while
/// after.
void commitReady(StepState &State, TimePoint Now, StepEffects &Out);

/// Delivers what may be delivered, one delivery at a time; repeats one whose
/// answer was lost with the same id and content.
void deliverReady(StepState &State, TimePoint Now, StepEffects &Out);

/// Tells the log which slots the trainer took, in batches.
void appendDeliveredSlots(StepState &State, TimePoint Now, StepEffects &Out);

void onScored(StepState &State, const SampleScored &What, TimePoint Now);
void onScoreFailed(StepState &State, const ScoreFailed &What, TimePoint Now);
void onCommitConfirmed(StepState &State, const CommitConfirmed &What,
                       StepEffects &Out);
void onDeliveryAnswered(StepState &State, const DeliveryAnswered &What,
                        TimePoint Now, StepEffects &Out);
void onDeliveryFailed(StepState &State, const DeliveryFailed &What,
                      TimePoint Now, StepEffects &Out);
/// Scores again what failed to be scored.
void retryScoring(StepState &State, TimePoint Now, StepEffects &Out);

/// The trainer answered what it holds after a lost answer: whatever it does not
/// hold of the pending delivery may be delivered anew.
void resolvePendingDelivery(StepState &State);

/// Closes the step once the trainer holds all of it.
void closeIfComplete(StepState &State, StepEffects &Out);

/// Takes note of the newest version that the trainer published.
void recordNewestVersion(StepState &State, WeightVersion Newest, TimePoint Now,
                         StepEffects &Out);

} // namespace wasabi

#endif // WASABI_ROLLOUT_DELIVERING_H
