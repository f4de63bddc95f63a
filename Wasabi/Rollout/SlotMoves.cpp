#include "Wasabi/Rollout/SlotMoves.h"

#include <algorithm>

namespace wasabi {

namespace {

std::size_t *findPhaseCount(StepState &State, SlotPhase Phase) {
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
  if (std::size_t *n = findPhaseCount(State, Which.Phase))
    --*n;
  if (std::size_t *n = findPhaseCount(State, Phase))
    ++*n;
  Which.Phase = Phase;
}

void resetSlot(StepState &State, SlotState &Which) {
  State.TokensWasted += Which.FinishedSample.Tokens;
  Which.FinishedSample = Sample();
  Which.ResumableDraft = Draft();
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
  if (engine != State.Servers.end() && engine->second.OwnAttempts > 0) {
    --engine->second.OwnAttempts;
    // Includes cancelled attempts: a slow engine may never finish one.
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
    const AttemptState &attempt = State.Attempts.at(id);
    State.TokensWasted +=
        attempt.GeneratedDraft.Tokens - attempt.ResumePosition;
    Out.emplace_back(CancelAttempt{id, attempt.Place, attempt.On, Reason});
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
  // The trainer holds the text now; release the memory.
  which.FinishedSample.Text = std::string();
  which.ResumableDraft = Draft();
  State.UnappendedSlots.push_back(Place);
}

} // namespace wasabi
