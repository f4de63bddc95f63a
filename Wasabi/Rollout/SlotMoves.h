/// \file
/// Moves slots between phases and keeps the counts consistent.
#ifndef WASABI_ROLLOUT_SLOTMOVES_H
#define WASABI_ROLLOUT_SLOTMOVES_H

#include "Wasabi/Rollout/StepState.h"

namespace wasabi {

/// Sets the phase of a slot and updates the counts of the state.
void setPhase(StepState &State, SlotState &Which, SlotPhase Phase);

/// Discards the sample of a slot, so that it is generated again.
void resetSlot(StepState &State, SlotState &Which);

/// Removes an attempt from its engine and slot. Ignores unknown ids.
void removeAttempt(StepState &State, AttemptId Id);

/// Cancels all attempts of a slot and counts their tokens as wasted.
void cancelAttempts(StepState &State, SlotState &Which,
                    const std::string &Reason, StepEffects &Out);

/// Marks a slot as delivered and cancels its attempts.
void markDelivered(StepState &State, Slot Place, StepEffects &Out);

/// Creates a field of a timeline event.
inline EventField field(std::string Key, std::string Value) {
  return EventField{std::move(Key), std::move(Value)};
}
inline EventField field(std::string Key, std::uint64_t Value) {
  return EventField{std::move(Key), std::to_string(Value)};
}

} // namespace wasabi

#endif // WASABI_ROLLOUT_SLOTMOVES_H
