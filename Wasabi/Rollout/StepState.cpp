#include "Wasabi/Rollout/StepState.h"

#include "Wasabi/Rollout/Attempts.h"
#include "Wasabi/Rollout/Delivering.h"
#include "Wasabi/Rollout/Dispatching.h"
#include "Wasabi/Rollout/SlotMoves.h"

namespace wasabi {

namespace {

/// Samples that a dead owner committed and the trainer does not hold are
/// delivered, not generated again.
void takeFromLog(StepState &State) {
  if (State.RecoveredState.Step != State.Step)
    return;
  for (const auto &it : State.RecoveredState.Committed) {
    auto slot = State.Slots.find(it.first);
    if (slot == State.Slots.end() || slot->second.Phase != SlotPhase::Waiting ||
        !isFresh(State.Fresh, it.second.What.Spans))
      continue;
    slot->second.Whole = it.second.What;
    slot->second.CommitAppended = true;
    slot->second.Committed = true;
    setPhase(State, slot->second, SlotPhase::Scored);
  }
  State.RecoveredState = TrainerState();
}

void makeSlots(StepState &State) {
  for (std::uint32_t at = 0; at < State.Groups.size(); ++at) {
    const WantedGroup &group = State.Groups[at];
    for (std::uint32_t i = 0; i < group.Samples; ++i) {
      SlotState slot;
      slot.GroupIndex = at;
      State.Slots.emplace(Slot{State.Step, group.Group, i}, std::move(slot));
    }
  }
  State.WaitingCount = State.Slots.size();
  State.ScoredCount = 0;
  State.DeliveredCount = 0;
}

void openStep(StepState &State, const WantedStep &Wanted, StepEffects &Out) {
  for (auto &it : State.Slots)
    cancelAttempts(State, it.second, "its step is over", Out);
  State.HasStep = true;
  State.Step = Wanted.Step;
  State.Closed = false;
  State.Groups = Wanted.Groups;
  State.Slots.clear();
  State.Delivering = false;
  State.IsQueryingTrainer = false;
  State.RetryDelivery = false;
  State.Pending = Delivery();
  State.Untold.clear();
  makeSlots(State);
  Out.emplace_back(AppendRecord{StepOpened{Wanted.Step}});
  Out.emplace_back(
      Note{"step.open",
           {field("trainer", State.Setup.Trainer.Text),
            field("step", Wanted.Step), field("samples", State.Slots.size()),
            field("newest", State.Fresh.Newest),
            field("fence", State.Setup.Fence)}});
}

/// Attempts under way on an engine that was out of sight for a while.
std::uint32_t attemptsOn(const StepState &State, const ServerName &Which) {
  std::uint32_t n = 0;
  for (const auto &it : State.Attempts)
    n += it.second.On == Which ? 1 : 0;
  return n;
}

/// One event's handling.
struct Decider {
  StepState &State;
  TimePoint Now;
  StepEffects &Out;

  void operator()(const PolicyChanged &What) const {
    bool known = State.Fresh.Bound == What.Policy.StalenessBound;
    State.Policy = What.Policy;
    State.Fresh.Bound = What.Policy.StalenessBound;
    // The fold judges by the bound that the log names.
    if (!known && State.HasStep) {
      Out.emplace_back(AppendRecord{OwnerStart{What.Policy.StalenessBound}});
      dropStale(State, Out);
    }
  }
  void operator()(const LogRecovered &What) const {
    State.RecoveredState = What.State;
    State.Fresh.Newest = std::max(State.Fresh.Newest, What.State.Fresh.Newest);
  }
  void operator()(const StepReceived &What) const {
    const WantedStep &wanted = What.Wanted;
    if (State.Policy.ChecksFences && wanted.Fence > State.Setup.Fence) {
      Out.emplace_back(StopOwning{"the trainer has seen token " +
                                  std::to_string(wanted.Fence)});
      return;
    }
    recordNewestVersion(State, wanted.Newest, Now, Out);
    // An answer that was long on its way is no news.
    if (State.HasStep && wanted.Step < State.Step)
      return;
    bool opens = !State.HasStep || wanted.Step > State.Step;
    if (opens)
      openStep(State, wanted, Out);
    for (const Slot &it : wanted.HeldSlots)
      markDelivered(State, it, Out);
    if (opens)
      takeFromLog(State);
    if (What.Asked)
      resolvePendingDelivery(State);
    closeIfComplete(State, Out);
  }
  void operator()(const EnginesUpdated &What) const {
    Engines seen;
    for (const ReportedEngine &it : What.All) {
      auto had = State.Servers.find(it.Name);
      EngineState &at = seen[it.Name];
      if (had != State.Servers.end())
        at = std::move(had->second);
      else
        at.Own = attemptsOn(State, it.Name);
      // Own attempts correct the lag since the report, not since this look.
      bool news = had == State.Servers.end() || it.Report != at.Seen.Report;
      if (news)
        at.OwnAttemptsAtReport = at.Own;
      at.Seen = it;
    }
    State.Servers = std::move(seen);
  }
  void operator()(const ChunkReceived &What) const {
    onChunk(State, What, Now, Out);
  }
  void operator()(const AttemptEnded &What) const {
    onAttemptEnded(State, What, Now, Out);
  }
  void operator()(const AttemptFailed &What) const {
    onAttemptFailed(State, What, Now, Out);
  }
  void operator()(const SampleScored &What) const {
    onScored(State, What, Now);
  }
  void operator()(const ScoreFailed &What) const {
    onScoreFailed(State, What, Now);
  }
  void operator()(const CommitConfirmed &What) const {
    onCommitConfirmed(State, What, Out);
  }
  void operator()(const DeliveryAnswered &What) const {
    onDeliveryAnswered(State, What, Now, Out);
  }
  void operator()(const DeliveryFailed &What) const {
    onDeliveryFailed(State, What, Now, Out);
  }
  void operator()(const Tick &) const {
    State.MedianRate = medianRate(State.Servers);
    retryScoring(State, Now, Out);
    hedgeTail(State, Now, Out);
  }
};

} // namespace

std::size_t missing(const StepState &State) {
  return State.Slots.size() - State.DeliveredCount;
}

StepEffects decide(StepState &State, const StepEvent &Event, TimePoint Now) {
  StepEffects out;
  std::visit(Decider{State, Now, out}, Event);
  // Chunks free no engine and make no sample: most events end here.
  if (std::holds_alternative<ChunkReceived>(Event) && out.empty())
    return out;
  commitReady(State, Now, out);
  deliverReady(State, Now, out);
  appendDeliveredSlots(State, Now, out);
  dispatchWaiting(State, Now, out);
  return out;
}

} // namespace wasabi
