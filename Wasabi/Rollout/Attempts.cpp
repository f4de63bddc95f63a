#include "Wasabi/Rollout/Attempts.h"

#include "Wasabi/Rollout/SlotMoves.h"

namespace wasabi {

namespace {

/// How long an engine rests that sent what cannot be attested.
constexpr Millis UnattestedRest{1000};

/// Ends an attempt; the slot waits again when it was the last one.
void abandon(StepState &State, AttemptId Id, Draft Keep) {
  AttemptState gone = State.Attempts.at(Id);
  State.TokensWasted += gone.GeneratedDraft.Tokens - gone.ResumePosition;
  removeAttempt(State, Id);
  SlotState &which = State.Slots.at(gone.Place);
  if (!which.Running.empty() || which.Phase != SlotPhase::Running)
    return;
  // What is kept is not wasted: the next attempt goes on from it.
  if (Keep.Tokens > gone.ResumePosition)
    State.TokensWasted -= Keep.Tokens - gone.ResumePosition;
  which.Kept = std::move(Keep);
  setPhase(State, which, SlotPhase::Waiting);
}

void cancelAs(StepState &State, AttemptId Id, Draft Keep,
              const std::string &Reason, StepEffects &Out) {
  const AttemptState &one = State.Attempts.at(Id);
  Out.emplace_back(CancelAttempt{Id, one.Place, one.On, Reason});
  abandon(State, Id, std::move(Keep));
}

void rest(StepState &State, const ServerName &Which, Millis Atleast,
          TimePoint Now) {
  auto it = State.Servers.find(Which);
  if (it != State.Servers.end())
    backOff(it->second, Atleast, Now);
}

/// Engines that sent nothing of a slot which another one has done meanwhile.
void restSilent(StepState &State, const SlotState &Which, TimePoint Now) {
  for (AttemptId id : Which.Running) {
    const AttemptState &loser = State.Attempts.at(id);
    bool silent = loser.GeneratedDraft.Tokens == loser.ResumePosition &&
                  Now - loser.Started > State.Setup.StallTimeout;
    if (silent)
      rest(State, loser.On, State.Setup.StallTimeout, Now);
  }
}

bool changedVersion(const Draft &Of) { return Of.Spans.size() > 1; }

} // namespace

void onChunk(StepState &State, const ChunkReceived &What, TimePoint Now,
             StepEffects &Out) {
  auto it = State.Attempts.find(What.Attempt);
  if (it == State.Attempts.end())
    return;
  AttemptState &attempt = it->second;
  ChunkStatus fate = append(attempt.GeneratedDraft, What.What);
  if (fate != ChunkStatus::Taken) {
    bool unattested = fate == ChunkStatus::MissingVersion;
    ServerName on = attempt.On;
    // Whatever came before the doubtful chunk was attested in place.
    cancelAs(State, What.Attempt, attempt.GeneratedDraft,
             unattested ? "version not attested" : "chunk out of place", Out);
    rest(State, on, unattested ? UnattestedRest : Millis(0), Now);
    return;
  }
  attempt.LastChunk = Now;
  State.TokensGenerated += What.What.Tokens;
  if (!isFresh(State.Fresh, attempt.GeneratedDraft.Spans))
    cancelAs(State, What.Attempt, Draft(), "too old", Out);
  else if (State.Policy.OnVersionChange == VersionChange::Restart &&
           changedVersion(attempt.GeneratedDraft))
    cancelAs(State, What.Attempt, Draft(), "version changed", Out);
}

void onAttemptEnded(StepState &State, const AttemptEnded &What, TimePoint Now,
                    StepEffects &Out) {
  auto it = State.Attempts.find(What.Attempt);
  if (it == State.Attempts.end())
    return;
  const AttemptState won = it->second;
  // A count that does not match means that something is missing.
  if (won.GeneratedDraft.Tokens != What.Tokens || What.Tokens == 0 ||
      !covers(won.GeneratedDraft.Spans, What.Tokens)) {
    abandon(State, What.Attempt, Draft());
    rest(State, won.On, Millis(0), Now);
    return;
  }
  SlotState &which = State.Slots.at(won.Place);
  const WantedGroup &group = State.Groups[which.GroupIndex];
  removeAttempt(State, What.Attempt);
  auto engine = State.Servers.find(won.On);
  if (engine != State.Servers.end())
    engine->second.Failures = 0;
  restSilent(State, which, Now);
  observe(State.Lengths, group.Prompt, won.GeneratedDraft.Tokens);
  cancelAttempts(State, which, "another attempt was first", Out);
  which.Kept = Draft();
  which.Whole = Sample{won.Place,
                       won.GeneratedDraft.Text,
                       won.GeneratedDraft.Tokens,
                       won.GeneratedDraft.Spans,
                       0,
                       group.Seed + won.Place.Index};
  setPhase(State, which, SlotPhase::Scoring);
  which.ScoreRequested = true;
  Out.emplace_back(ScoreSample{won.Place, won.GeneratedDraft.Text});
  Out.emplace_back(Note{
      "sample.done",
      {field("trainer", State.Setup.Trainer.Text),
       field("slot", toText(won.Place)), field("attempt", What.Attempt),
       field("server", won.On.Text), field("tokens", won.GeneratedDraft.Tokens),
       field("spans", toText(won.GeneratedDraft.Spans))}});
}

void onAttemptFailed(StepState &State, const AttemptFailed &What, TimePoint Now,
                     StepEffects &Out) {
  auto it = State.Attempts.find(What.Attempt);
  if (it == State.Attempts.end())
    return;
  const AttemptState failed = it->second;
  Draft keep = isFresh(State.Fresh, failed.GeneratedDraft.Spans)
                   ? failed.GeneratedDraft
                   : Draft();
  abandon(State, What.Attempt, std::move(keep));
  rest(State, failed.On, What.Why.RetryAfter, Now);
  Out.emplace_back(
      Note{"sample.failed",
           {field("trainer", State.Setup.Trainer.Text),
            field("slot", toText(failed.Place)), field("attempt", What.Attempt),
            field("server", failed.On.Text),
            field("tokens", failed.GeneratedDraft.Tokens),
            field("reason", describe(What.Why))}});
}

void dropStale(StepState &State, StepEffects &Out) {
  std::vector<AttemptId> old;
  for (const auto &it : State.Attempts) {
    if (!isFresh(State.Fresh, it.second.GeneratedDraft.Spans))
      old.push_back(it.first);
  }
  for (AttemptId id : old)
    cancelAs(State, id, Draft(), "too old", Out);
  for (auto &it : State.Slots) {
    SlotState &which = it.second;
    bool whole =
        which.Phase == SlotPhase::Scoring || which.Phase == SlotPhase::Scored;
    // What is on its way is judged by the trainer's answer.
    if (whole && !which.InDelivery && !isFresh(State.Fresh, which.Whole.Spans))
      resetSlot(State, which);
  }
}

} // namespace wasabi
