/// \file
/// Commits scored samples to the log and delivers each to its trainer once.
#ifndef WASABI_ROLLOUT_DELIVERING_H
#define WASABI_ROLLOUT_DELIVERING_H

#include "Wasabi/Rollout/StepState.h"

namespace wasabi {

/// Appends a commit of the scored samples that are not in the log: immediately
/// for a trainer that does not check fences, otherwise for samples that are
/// still undelivered after `CommitDelay`.
void commitReady(StepState &State, TimePoint Now, StepEffects &Out);

/// Starts the next delivery unless one is in flight. Repeats a delivery whose
/// response was lost with the same id and content.
void deliverReady(StepState &State, TimePoint Now, StepEffects &Out);

/// Appends the delivered slots to the log, in batches.
void appendDeliveredSlots(StepState &State, TimePoint Now, StepEffects &Out);

void onScored(StepState &State, const SampleScored &Event, TimePoint Now);
void onScoreFailed(StepState &State, const ScoreFailed &Event, TimePoint Now);
void onCommitConfirmed(StepState &State, const CommitConfirmed &Event,
                       StepEffects &Out);
void onDeliveryAnswered(StepState &State, const DeliveryAnswered &Event,
                        TimePoint Now, StepEffects &Out);
void onDeliveryFailed(StepState &State, const DeliveryFailed &Event,
                      TimePoint Now, StepEffects &Out);
/// Requests the scores that failed again, after `ScoreRetryDelay`.
void retryScoring(StepState &State, TimePoint Now, StepEffects &Out);

/// Handles the trainer's answer after a lost delivery response: samples of the
/// pending delivery that the trainer does not hold may be delivered again.
void resolvePendingDelivery(StepState &State);

/// Closes the step once the trainer holds all its samples.
void closeIfComplete(StepState &State, StepEffects &Out);

/// Records the newest version that the trainer published and drops stale
/// samples.
void recordNewestVersion(StepState &State, WeightVersion Newest, TimePoint Now,
                         StepEffects &Out);

} // namespace wasabi

#endif // WASABI_ROLLOUT_DELIVERING_H
