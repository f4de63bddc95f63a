#include "Wasabi/Rollout/Dispatching.h"

#include "Wasabi/Rollout/EngineChoice.h"
#include "Wasabi/Rollout/SlotMoves.h"

#include <algorithm>
#include <tuple>

namespace wasabi {

namespace {

/// A waiting slot and its sort keys.
struct WaitingSlot {
  Slot Place;
  SlotState *Which = nullptr;
  bool GroupBegun = false;
  double Tokens = 0;
};

bool goesFirst(const WaitingSlot &A, const WaitingSlot &B) {
  // Groups that have begun go first, because an incomplete group is useless to
  // the trainer. Then the longest samples, because the step ends with its last
  // sample.
  if (A.GroupBegun != B.GroupBegun)
    return A.GroupBegun;
  if (A.Tokens != B.Tokens)
    return A.Tokens > B.Tokens;
  return A.Place < B.Place;
}

double expectedTokensLeft(const StepState &State, const SlotState &Which,
                          std::uint32_t SoFar) {
  const WantedGroup &group = State.Groups[Which.GroupIndex];
  return expectedRemaining(
      expectedTokens(State.Lengths, group.Prompt, group.MaxTokens), SoFar,
      group.MaxTokens);
}

std::vector<WaitingSlot> findWaitingSlots(StepState &State, TimePoint Now) {
  std::vector<bool> begun(State.Groups.size(), false);
  std::vector<WaitingSlot> all;
  for (auto &it : State.Slots) {
    SlotState &which = it.second;
    if (which.Phase != SlotPhase::Waiting)
      begun[which.GroupIndex] = true;
    else if (which.NotBefore <= Now)
      all.push_back(WaitingSlot{
          it.first, &which, false,
          expectedTokensLeft(State, which, which.ResumableDraft.Tokens)});
  }
  // Round robin keeps the order of the slots.
  if (State.Setup.Order == EngineOrder::RoundRobin) {
    for (WaitingSlot &it : all)
      it.Tokens = 0;
    return all;
  }
  for (WaitingSlot &it : all)
    it.GroupBegun = begun[it.Which->GroupIndex];
  return all;
}

/// Returns the draft that an attempt on this engine may resume from, or an
/// empty one.
Draft findResumeDraft(const StepState &State, const Draft &ResumableDraft,
                      const EngineState &On) {
  if (ResumableDraft.Spans.empty() ||
      !isFresh(State.Fresh, ResumableDraft.Spans))
    return Draft();
  bool sameVersion = ResumableDraft.Spans.back().Version == On.Seen.Version;
  if (State.Policy.OnVersionChange == VersionChange::Restart && !sameVersion)
    return Draft();
  return ResumableDraft;
}

void dispatch(StepState &State, Slot Place, SlotState &Which,
              const Candidate &On, const Draft &ResumableDraft, bool Hedge,
              TimePoint Now, StepEffects &Out) {
  const WantedGroup &group = State.Groups[Which.GroupIndex];
  AttemptId id = State.NextAttempt++;
  AttemptState attempt;
  attempt.Place = Place;
  attempt.On = On.At->Seen.Name;
  attempt.Started = Now;
  attempt.LastChunk = Now;
  attempt.GeneratedDraft = findResumeDraft(State, ResumableDraft, *On.At);
  attempt.ResumePosition = attempt.GeneratedDraft.Tokens;
  attempt.Hedge = Hedge;
  ++On.At->OwnAttempts;
  On.At->LastDispatchNumber = ++State.DispatchCount;
  ++Which.Attempts;
  Which.Running.push_back(id);
  if (Which.Phase == SlotPhase::Waiting)
    setPhase(State, Which, SlotPhase::Running);
  Out.emplace_back(DispatchAttempt{
      id, Place, Which.Attempts, On.At->Seen, group.Prompt, group.MaxTokens,
      group.Seed + Place.Index, attempt.GeneratedDraft, Hedge});
  State.Attempts.emplace(id, std::move(attempt));
}

bool mayDispatch(const StepState &State) {
  return State.HasStep && !State.Closed && State.Policy.AdmitRollouts;
}

/// Returns true if the attempt has stalled, or is much slower than a stream on
/// an engine of `Rate` tokens per second.
bool isWorthHedging(const StepState &State, const AttemptState &Attempt,
                    double Rate, TimePoint Now) {
  if (Now - Attempt.LastChunk > State.Setup.StallTimeout)
    return true;
  Micros ran = Now - Attempt.Started;
  if (ran < State.Setup.StallTimeout || Rate <= 0)
    return false;
  double own = (Attempt.GeneratedDraft.Tokens - Attempt.ResumePosition) * 1e6 /
               static_cast<double>(ran.count());
  return own * State.Setup.MinHedgeSpeedup < Rate;
}

void cancelHanging(StepState &State, TimePoint Now, StepEffects &Out) {
  std::vector<AttemptId> hanging;
  for (const auto &it : State.Attempts) {
    if (Now - it.second.LastChunk > State.Setup.HangTimeout)
      hanging.push_back(it.first);
  }
  for (AttemptId id : hanging) {
    AttemptState attempt = State.Attempts.at(id);
    Out.emplace_back(CancelAttempt{id, attempt.Place, attempt.On,
                                   "no chunk within the time limit"});
    State.TokensWasted +=
        attempt.GeneratedDraft.Tokens - attempt.ResumePosition;
    removeAttempt(State, id);
    auto engine = State.Servers.find(attempt.On);
    if (engine != State.Servers.end())
      backOff(engine->second, State.Setup.StallTimeout, Now);
    SlotState &which = State.Slots.at(attempt.Place);
    if (which.Running.empty()) {
      which.ResumableDraft = attempt.GeneratedDraft;
      setPhase(State, which, SlotPhase::Waiting);
    }
  }
}

} // namespace

void dispatchWaiting(StepState &State, TimePoint Now, StepEffects &Out) {
  if (!mayDispatch(State) || State.WaitingCount == 0)
    return;
  std::vector<Candidate> heap = enginesWithRoom(State, Now);
  if (heap.empty())
    return;
  std::vector<WaitingSlot> waiting = findWaitingSlots(State, Now);
  std::size_t room = 0;
  for (const Candidate &it : heap)
    room += it.Free;
  // Sorts only as many slots as there is capacity for.
  auto last = waiting.begin() +
              static_cast<std::ptrdiff_t>(std::min(room, waiting.size()));
  std::partial_sort(waiting.begin(), last, waiting.end(), goesFirst);
  for (auto it = waiting.begin(); it != last; ++it) {
    std::optional<Candidate> on =
        takeEngine(State, heap, SlotRequirements{it->Tokens, {}}, Now);
    if (!on)
      return;
    dispatch(State, it->Place, *it->Which, *on, it->Which->ResumableDraft,
             false, Now, Out);
  }
}

void hedgeTail(StepState &State, TimePoint Now, StepEffects &Out) {
  cancelHanging(State, Now, Out);
  if (!mayDispatch(State) || !State.Policy.HedgeTail || State.WaitingCount > 0)
    return;
  std::vector<Candidate> heap = enginesWithRoom(State, Now);
  if (heap.empty())
    return;
  for (auto &it : State.Slots) {
    SlotState &which = it.second;
    if (which.Phase != SlotPhase::Running || which.Running.size() != 1)
      continue;
    const AttemptState running = State.Attempts.at(which.Running.front());
    double rate = heap.empty() ? 0 : expectedRate(State, *heap.front().At);
    if (heap.empty() || !isWorthHedging(State, running, rate, Now))
      continue;
    double left =
        expectedTokensLeft(State, which, running.GeneratedDraft.Tokens);
    std::optional<Candidate> on =
        takeEngine(State, heap, SlotRequirements{left, {running.On}}, Now);
    if (on)
      dispatch(State, it.first, which, *on, running.GeneratedDraft, true, Now,
               Out);
  }
}

} // namespace wasabi
