#include "Wasabi/Rollout/StepState.h"

#include "Wasabi/Rollout/Attempts.h"
#include "Wasabi/Rollout/Delivering.h"
#include "Wasabi/Rollout/Dispatching.h"
#include "Wasabi/Rollout/SlotMoves.h"

namespace wasabi {

namespace {

/// Restores the samples that a previous owner committed and the trainer does
/// not hold, so that they are delivered and not generated again.
void restoreCommittedSamples(StepState &State) {
  if (State.RecoveredState.Step != State.Step)
    return;
  for (const auto &it : State.RecoveredState.Committed) {
    auto slot = State.Slots.find(it.first);
    if (slot == State.Slots.end() || slot->second.Phase != SlotPhase::Waiting ||
        !isFresh(State.Fresh, it.second.Content.Spans))
      continue;
    slot->second.FinishedSample = it.second.Content;
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
    cancelAttempts(State, it.second, "the step has ended", Out);
  State.HasStep = true;
  State.Step = Wanted.Step;
  State.Closed = false;
  State.Groups = Wanted.Groups;
  State.Slots.clear();
  State.Delivering = false;
  State.IsQueryingTrainer = false;
  State.RetryDelivery = false;
  State.Pending = Delivery();
  State.UnappendedSlots.clear();
  makeSlots(State);
  Out.emplace_back(AppendRecord{StepOpened{Wanted.Step}});
  Out.emplace_back(TimelineNote{"step.open",
                                {field("trainer", State.Setup.Trainer.Text),
                                 field("step", Wanted.Step),
                                 field("samples", State.Slots.size()),
                                 field("newest", State.Fresh.Newest),
                                 field("fence", State.Setup.Fence)}});
}

/// Returns the number of attempts in flight on an engine that was not reported
/// for some time.
std::uint32_t countAttempts(const StepState &State, const ServerName &Which) {
  std::uint32_t n = 0;
  for (const auto &it : State.Attempts)
    n += it.second.On == Which ? 1 : 0;
  return n;
}

/// Handles one event.
struct Decider {
  StepState &State;
  TimePoint Now;
  StepEffects &Out;

  void operator()(const PolicyChanged &Event) const {
    bool sameBound = State.Fresh.Bound == Event.Policy.StalenessBound;
    State.Policy = Event.Policy;
    State.Fresh.Bound = Event.Policy.StalenessBound;
    // The fold checks freshness by the bound in the log.
    if (!sameBound && State.HasStep) {
      Out.emplace_back(AppendRecord{OwnerStart{Event.Policy.StalenessBound}});
      dropStale(State, Out);
    }
  }
  void operator()(const LogRecovered &Event) const {
    State.RecoveredState = Event.State;
    State.Fresh.Newest = std::max(State.Fresh.Newest, Event.State.Fresh.Newest);
  }
  void operator()(const StepReceived &Event) const {
    const WantedStep &wanted = Event.Wanted;
    if (State.Policy.ChecksFences && wanted.Fence > State.Setup.Fence) {
      Out.emplace_back(StopOwning{"the trainer has seen fencing token " +
                                  std::to_string(wanted.Fence)});
      return;
    }
    recordNewestVersion(State, wanted.Newest, Now, Out);
    // Ignores a delayed response about an earlier step.
    if (State.HasStep && wanted.Step < State.Step)
      return;
    bool isNewStep = !State.HasStep || wanted.Step > State.Step;
    if (isNewStep)
      openStep(State, wanted, Out);
    for (const Slot &it : wanted.HeldSlots)
      markDelivered(State, it, Out);
    if (isNewStep)
      restoreCommittedSamples(State);
    if (Event.Asked)
      resolvePendingDelivery(State);
    closeIfComplete(State, Out);
  }
  void operator()(const EnginesUpdated &Event) const {
    Engines engines;
    for (const ReportedEngine &it : Event.All) {
      auto previous = State.Servers.find(it.Name);
      EngineState &at = engines[it.Name];
      if (previous != State.Servers.end())
        at = std::move(previous->second);
      else
        at.OwnAttempts = countAttempts(State, it.Name);
      // `OwnAttemptsAtReport` changes only with a new load report.
      bool isNewReport =
          previous == State.Servers.end() || it.Report != at.Seen.Report;
      if (isNewReport)
        at.OwnAttemptsAtReport = at.OwnAttempts;
      at.Seen = it;
    }
    State.Servers = std::move(engines);
  }
  void operator()(const ChunkReceived &Event) const {
    onChunk(State, Event, Now, Out);
  }
  void operator()(const AttemptEnded &Event) const {
    onAttemptEnded(State, Event, Now, Out);
  }
  void operator()(const AttemptFailed &Event) const {
    onAttemptFailed(State, Event, Now, Out);
  }
  void operator()(const SampleScored &Event) const {
    onScored(State, Event, Now);
  }
  void operator()(const ScoreFailed &Event) const {
    onScoreFailed(State, Event, Now);
  }
  void operator()(const CommitConfirmed &Event) const {
    onCommitConfirmed(State, Event, Out);
  }
  void operator()(const DeliveryAnswered &Event) const {
    onDeliveryAnswered(State, Event, Now, Out);
  }
  void operator()(const DeliveryFailed &Event) const {
    onDeliveryFailed(State, Event, Now, Out);
  }
  void operator()(const Tick &) const {
    State.MedianRate = medianRate(State.Servers);
    retryScoring(State, Now, Out);
    hedgeTail(State, Now, Out);
  }
};

} // namespace

std::size_t undeliveredCount(const StepState &State) {
  return State.Slots.size() - State.DeliveredCount;
}

StepEffects decide(StepState &State, const StepEvent &Event, TimePoint Now) {
  StepEffects out;
  std::visit(Decider{State, Now, out}, Event);
  // Chunks change neither capacity nor samples.
  if (std::holds_alternative<ChunkReceived>(Event) && out.empty())
    return out;
  commitReady(State, Now, out);
  deliverReady(State, Now, out);
  appendDeliveredSlots(State, Now, out);
  dispatchWaiting(State, Now, out);
  return out;
}

} // namespace wasabi
