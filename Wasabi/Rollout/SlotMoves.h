/// \file
/// The moves of one slot between its phases, with the counts kept right.
#ifndef WASABI_ROLLOUT_SLOTMOVES_H
#define WASABI_ROLLOUT_SLOTMOVES_H

#include "Wasabi/Rollout/StepState.h"

namespace wasabi {

/// Sets a slot's phase and adjusts the state's counts.
void setPhase(StepState &State, SlotState &Which, SlotPhase Phase);

/// Forgets the slot's sample, so that it is generated again.
void resetSlot(StepState &State, SlotState &Which);

/// Ends an attempt's books: its engine, its slot. Its id is unknown afterwards.
void removeAttempt(StepState &State, AttemptId Id);

/// Cancels every attempt of a slot, with their tokens counted as wasted.
void cancelAttempts(StepState &State, SlotState &Which,
                    const std::string &Reason, StepEffects &Out);

/// The trainer holds the slot: whatever else was under way for it ends.
void markDelivered(StepState &State, Slot Place, StepEffects &Out);

/// A field of a time line event.
inline EventField field(std::string Key, std::string Value) {
  return EventField{std::move(Key), std::move(Value)};
}
inline EventField field(std::string Key, std::uint64_t Value) {
  return EventField{std::move(Key), std::to_string(Value)};
}

} // namespace wasabi

#endif // WASABI_ROLLOUT_SLOTMOVES_H
