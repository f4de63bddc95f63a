#include "Wasabi/Rollout/Dispatching.h"

#include "Wasabi/Rollout/EngineChoice.h"
#include "Wasabi/Rollout/SlotMoves.h"

#include <algorithm>
#include <tuple>

namespace wasabi {

namespace {

/// A slot that wants an engine, with what orders it among the others.
struct Waiter {
  Slot Place;
  SlotState *Which = nullptr;
  bool GroupBegun = false;
  double Tokens = 0;
};

bool goesFirst(const Waiter &A, const Waiter &B) {
  // Begun groups first: a group with a missing member is worth nothing. Then
  // the longest, since the step waits for its slowest member.
  if (A.GroupBegun != B.GroupBegun)
    return A.GroupBegun;
  if (A.Tokens != B.Tokens)
    return A.Tokens > B.Tokens;
  return A.Place < B.Place;
}

double tokensLeft(const StepState &State, const SlotState &Which,
                  std::uint32_t SoFar) {
  const WantedGroup &group = State.Groups[Which.GroupIndex];
  return expectedRemaining(
      expectedTokens(State.Lengths, group.Prompt, group.MaxTokens), SoFar,
      group.MaxTokens);
}

std::vector<Waiter> waiters(StepState &State, TimePoint Now) {
  std::vector<bool> begun(State.Groups.size(), false);
  std::vector<Waiter> all;
  for (auto &it : State.Slots) {
    SlotState &which = it.second;
    if (which.Phase != SlotPhase::Waiting)
      begun[which.GroupIndex] = true;
    else if (which.NotBefore <= Now)
      all.push_back(Waiter{it.first, &which, false,
                           tokensLeft(State, which, which.Kept.Tokens)});
  }
  // By turns, slots go in their own order.
  if (State.Setup.Order == EngineOrder::RoundRobin) {
    for (Waiter &it : all)
      it.Tokens = 0;
    return all;
  }
  for (Waiter &it : all)
    it.GroupBegun = begun[it.Which->GroupIndex];
  return all;
}

/// What an attempt on this engine may go on from.
Draft draftFor(const StepState &State, const Draft &Kept,
               const EngineState &On) {
  if (Kept.Spans.empty() || !isFresh(State.Fresh, Kept.Spans))
    return Draft();
  bool sameVersion = Kept.Spans.back().Version == On.Seen.Version;
  if (State.Policy.OnVersionChange == VersionChange::Restart && !sameVersion)
    return Draft();
  return Kept;
}

void dispatch(StepState &State, Slot Place, SlotState &Which,
              const Candidate &On, const Draft &Kept, bool Hedge, TimePoint Now,
              StepEffects &Out) {
  const WantedGroup &group = State.Groups[Which.GroupIndex];
  AttemptId id = State.NextAttempt++;
  AttemptState attempt;
  attempt.Place = Place;
  attempt.On = On.At->Seen.Name;
  attempt.Started = Now;
  attempt.LastChunk = Now;
  attempt.GeneratedDraft = draftFor(State, Kept, *On.At);
  attempt.ResumePosition = attempt.GeneratedDraft.Tokens;
  attempt.Hedge = Hedge;
  ++On.At->Own;
  On.At->LastDispatchNumber = ++State.Dispatches;
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

/// Whether a copy on an engine of `Rate` would end well before the attempt.
bool isWorthHedging(const StepState &State, const AttemptState &Of, double Rate,
                    TimePoint Now) {
  if (Now - Of.LastChunk > State.Setup.StallTimeout)
    return true;
  Micros ran = Now - Of.Started;
  if (ran < State.Setup.StallTimeout || Rate <= 0)
    return false;
  double own = (Of.GeneratedDraft.Tokens - Of.ResumePosition) * 1e6 /
               static_cast<double>(ran.count());
  return own * State.Setup.MinHedgeSpeedup < Rate;
}

void giveUpHanging(StepState &State, TimePoint Now, StepEffects &Out) {
  std::vector<AttemptId> hanging;
  for (const auto &it : State.Attempts) {
    if (Now - it.second.LastChunk > State.Setup.HangTimeout)
      hanging.push_back(it.first);
  }
  for (AttemptId id : hanging) {
    AttemptState attempt = State.Attempts.at(id);
    Out.emplace_back(
        CancelAttempt{id, attempt.Place, attempt.On, "no chunk in time"});
    State.TokensWasted +=
        attempt.GeneratedDraft.Tokens - attempt.ResumePosition;
    removeAttempt(State, id);
    auto engine = State.Servers.find(attempt.On);
    if (engine != State.Servers.end())
      backOff(engine->second, State.Setup.StallTimeout, Now);
    SlotState &which = State.Slots.at(attempt.Place);
    if (which.Running.empty()) {
      which.Kept = attempt.GeneratedDraft;
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
  std::vector<Waiter> waiting = waiters(State, Now);
  std::size_t room = 0;
  for (const Candidate &it : heap)
    room += it.Free;
  // Only those that find room need an order.
  auto last = waiting.begin() +
              static_cast<std::ptrdiff_t>(std::min(room, waiting.size()));
  std::partial_sort(waiting.begin(), last, waiting.end(), goesFirst);
  for (auto it = waiting.begin(); it != last; ++it) {
    std::optional<Candidate> on =
        takeEngine(State, heap, SlotRequirements{it->Tokens, {}}, Now);
    if (!on)
      return;
    dispatch(State, it->Place, *it->Which, *on, it->Which->Kept, false, Now,
             Out);
  }
}

void hedgeTail(StepState &State, TimePoint Now, StepEffects &Out) {
  giveUpHanging(State, Now, Out);
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
    double left = tokensLeft(State, which, running.GeneratedDraft.Tokens);
    std::optional<Candidate> on =
        takeEngine(State, heap, SlotRequirements{left, {running.On}}, Now);
    if (on)
      dispatch(State, it.first, which, *on, running.GeneratedDraft, true, Now,
               Out);
  }
}

} // namespace wasabi
