#include "Wasabi/Rollout/SlotMoves.h"

#include <algorithm>

namespace wasabi {

namespace {

std::size_t *countOf(StepState &State, SlotPhase Phase) {
  switch (Phase) {
  case SlotPhase::Waiting:
    return &State.WaitingCount;
  case SlotPhase::Scored:
    return &State.ScoredCount;
  case SlotPhase::Delivered:
    return &State.DeliveredCount;
  case SlotPhase::Running:
  case SlotPhase::Scoring:
    return nullptr;
  }
  return nullptr;
}

} // namespace

void setPhase(StepState &State, SlotState &Which, SlotPhase Phase) {
  if (std::size_t *n = countOf(State, Which.Phase))
    --*n;
  if (std::size_t *n = countOf(State, Phase))
    ++*n;
  Which.Phase = Phase;
}

void resetSlot(StepState &State, SlotState &Which) {
  State.TokensWasted += Which.Whole.Tokens;
  Which.Whole = Sample();
  Which.Kept = Draft();
  Which.ScoreRequested = false;
  Which.CommitAppended = false;
  Which.Committed = false;
  Which.InDelivery = false;
  setPhase(State, Which, SlotPhase::Waiting);
}

void removeAttempt(StepState &State, AttemptId Id) {
  auto it = State.Attempts.find(Id);
  if (it == State.Attempts.end())
    return;
  auto engine = State.Servers.find(it->second.On);
  if (engine != State.Servers.end() && engine->second.Own > 0) {
    --engine->second.Own;
    // Attempts that lost tell as much of an engine as those that won: a slow
    // engine would never be known by its ended ones.
    recordStreamRate(engine->second,
                     it->second.GeneratedDraft.Tokens -
                         it->second.ResumePosition,
                     it->second.LastChunk - it->second.Started);
  }
  auto slot = State.Slots.find(it->second.Place);
  if (slot != State.Slots.end())
    std::erase(slot->second.Running, Id);
  State.Attempts.erase(it);
}

void cancelAttempts(StepState &State, SlotState &Which,
                    const std::string &Reason, StepEffects &Out) {
  const std::vector<AttemptId> running = Which.Running;
  for (AttemptId id : running) {
    const AttemptState &one = State.Attempts.at(id);
    State.TokensWasted += one.GeneratedDraft.Tokens - one.ResumePosition;
    Out.emplace_back(CancelAttempt{id, one.Place, one.On, Reason});
    removeAttempt(State, id);
  }
}

void markDelivered(StepState &State, Slot Place, StepEffects &Out) {
  auto it = State.Slots.find(Place);
  if (it == State.Slots.end() || it->second.Phase == SlotPhase::Delivered)
    return;
  SlotState &which = it->second;
  cancelAttempts(State, which, "delivered", Out);
  setPhase(State, which, SlotPhase::Delivered);
  which.InDelivery = false;
  // The text is the trainer's now.
  which.Whole.Text = std::string();
  which.Kept = Draft();
  State.Untold.push_back(Place);
}

} // namespace wasabi
