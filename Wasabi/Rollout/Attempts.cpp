#include "Wasabi/Rollout/Attempts.h"

#include "Wasabi/Rollout/SlotMoves.h"

namespace wasabi {

namespace {

/// Back-off of an engine after a chunk without a weight version.
constexpr Millis UnversionedBackOff{1000};

/// Ends an attempt without a sample. The slot returns to `Waiting` if this was
/// its last attempt; the next one resumes from `Keep`.
void abandonAttempt(StepState &State, AttemptId Id, Draft Keep) {
  AttemptState ended = State.Attempts.at(Id);
  State.TokensWasted += ended.GeneratedDraft.Tokens - ended.ResumePosition;
  removeAttempt(State, Id);
  SlotState &which = State.Slots.at(ended.Place);
  if (!which.Running.empty() || which.Phase != SlotPhase::Running)
    return;
  // Tokens of the kept draft are reused, so they are not wasted.
  if (Keep.Tokens > ended.ResumePosition)
    State.TokensWasted -= Keep.Tokens - ended.ResumePosition;
  which.ResumableDraft = std::move(Keep);
  setPhase(State, which, SlotPhase::Waiting);
}

void cancelAttempt(StepState &State, AttemptId Id, Draft Keep,
                   const std::string &Reason, StepEffects &Out) {
  const AttemptState &attempt = State.Attempts.at(Id);
  Out.emplace_back(CancelAttempt{Id, attempt.Place, attempt.On, Reason});
  abandonAttempt(State, Id, std::move(Keep));
}

void backOffEngine(StepState &State, const ServerName &Which, Millis RetryAfter,
                   TimePoint Now) {
  auto it = State.Servers.find(Which);
  if (it != State.Servers.end())
    backOff(it->second, RetryAfter, Now);
}

/// Backs off the engines that generated no token of a slot before another
/// engine finished it.
void backOffSilentEngines(StepState &State, const SlotState &Which,
                          TimePoint Now) {
  for (AttemptId id : Which.Running) {
    const AttemptState &attempt = State.Attempts.at(id);
    bool silent = attempt.GeneratedDraft.Tokens == attempt.ResumePosition &&
                  Now - attempt.Started > State.Setup.StallTimeout;
    if (silent)
      backOffEngine(State, attempt.On, State.Setup.StallTimeout, Now);
  }
}

bool hasSeveralVersions(const Draft &Generated) {
  return Generated.Spans.size() > 1;
}

} // namespace

void onChunk(StepState &State, const ChunkReceived &Event, TimePoint Now,
             StepEffects &Out) {
  auto it = State.Attempts.find(Event.Attempt);
  if (it == State.Attempts.end())
    return;
  AttemptState &attempt = it->second;
  ChunkStatus status = append(attempt.GeneratedDraft, Event.Received);
  if (status != ChunkStatus::Appended) {
    bool unversioned = status == ChunkStatus::MissingVersion;
    ServerName server = attempt.On;
    // The draft before the rejected chunk remains valid.
    cancelAttempt(State, Event.Attempt, attempt.GeneratedDraft,
                  unversioned ? "chunk has no weights version"
                              : "unexpected chunk position",
                  Out);
    backOffEngine(State, server, unversioned ? UnversionedBackOff : Millis(0),
                  Now);
    return;
  }
  attempt.LastChunk = Now;
  State.TokensGenerated += Event.Received.Tokens;
  if (!isFresh(State.Fresh, attempt.GeneratedDraft.Spans))
    cancelAttempt(State, Event.Attempt, Draft(), "stale weights version", Out);
  else if (State.Policy.OnVersionChange == VersionChange::Restart &&
           hasSeveralVersions(attempt.GeneratedDraft))
    cancelAttempt(State, Event.Attempt, Draft(), "weights version changed",
                  Out);
}

void onAttemptEnded(StepState &State, const AttemptEnded &Event, TimePoint Now,
                    StepEffects &Out) {
  auto it = State.Attempts.find(Event.Attempt);
  if (it == State.Attempts.end())
    return;
  const AttemptState winner = it->second;
  // A mismatch means that chunks are missing.
  if (winner.GeneratedDraft.Tokens != Event.Tokens || Event.Tokens == 0 ||
      !covers(winner.GeneratedDraft.Spans, Event.Tokens)) {
    abandonAttempt(State, Event.Attempt, Draft());
    backOffEngine(State, winner.On, Millis(0), Now);
    return;
  }
  SlotState &which = State.Slots.at(winner.Place);
  const WantedGroup &group = State.Groups[which.GroupIndex];
  removeAttempt(State, Event.Attempt);
  auto engine = State.Servers.find(winner.On);
  if (engine != State.Servers.end())
    engine->second.Failures = 0;
  backOffSilentEngines(State, which, Now);
  recordLength(State.Lengths, group.Prompt, winner.GeneratedDraft.Tokens);
  cancelAttempts(State, which, "another attempt finished first", Out);
  which.ResumableDraft = Draft();
  which.FinishedSample = Sample{winner.Place,
                                winner.GeneratedDraft.Text,
                                winner.GeneratedDraft.Tokens,
                                winner.GeneratedDraft.Spans,
                                0,
                                group.Seed + winner.Place.Index};
  setPhase(State, which, SlotPhase::Scoring);
  which.ScoreRequested = true;
  Out.emplace_back(ScoreSample{winner.Place, winner.GeneratedDraft.Text});
  Out.emplace_back(TimelineNote{
      "sample.done",
      {field("trainer", State.Setup.Trainer.Text),
       field("slot", toText(winner.Place)), field("attempt", Event.Attempt),
       field("server", winner.On.Text),
       field("tokens", winner.GeneratedDraft.Tokens),
       field("spans", toText(winner.GeneratedDraft.Spans))}});
}

void onAttemptFailed(StepState &State, const AttemptFailed &Event,
                     TimePoint Now, StepEffects &Out) {
  auto it = State.Attempts.find(Event.Attempt);
  if (it == State.Attempts.end())
    return;
  const AttemptState failed = it->second;
  Draft keep = isFresh(State.Fresh, failed.GeneratedDraft.Spans)
                   ? failed.GeneratedDraft
                   : Draft();
  abandonAttempt(State, Event.Attempt, std::move(keep));
  backOffEngine(State, failed.On, Event.Why.RetryAfter, Now);
  Out.emplace_back(TimelineNote{"sample.failed",
                                {field("trainer", State.Setup.Trainer.Text),
                                 field("slot", toText(failed.Place)),
                                 field("attempt", Event.Attempt),
                                 field("server", failed.On.Text),
                                 field("tokens", failed.GeneratedDraft.Tokens),
                                 field("reason", describe(Event.Why))}});
}

void dropStale(StepState &State, StepEffects &Out) {
  std::vector<AttemptId> stale;
  for (const auto &it : State.Attempts) {
    if (!isFresh(State.Fresh, it.second.GeneratedDraft.Spans))
      stale.push_back(it.first);
  }
  for (AttemptId id : stale)
    cancelAttempt(State, id, Draft(), "stale weights version", Out);
  for (auto &it : State.Slots) {
    SlotState &which = it.second;
    bool generated =
        which.Phase == SlotPhase::Scoring || which.Phase == SlotPhase::Scored;
    // The trainer's response decides about samples in delivery.
    if (generated && !which.InDelivery &&
        !isFresh(State.Fresh, which.FinishedSample.Spans))
      resetSlot(State, which);
  }
}

} // namespace wasabi
