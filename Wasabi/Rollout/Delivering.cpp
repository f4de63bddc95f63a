#include "Wasabi/Rollout/Delivering.h"

#include "Wasabi/Rollout/Attempts.h"
#include "Wasabi/Rollout/SlotMoves.h"

#include <algorithm>
#include <set>

namespace wasabi {

namespace {

constexpr Millis DeliveryRetryDelay{100};
constexpr Millis AppendDeliveredInterval{500};

/// Samples of one commit or delivery.
struct Batch {
  std::vector<Sample> Samples;
  std::size_t Bytes = 0;
};

bool hasRoom(const Batch &Current, const StepState::Settings &Limits) {
  return Current.Samples.size() < Limits.MaxBatchSamples &&
         Current.Bytes < Limits.MaxBatchBytes;
}

void add(Batch &Target, const Sample &Added) {
  Target.Bytes += Added.Text.size();
  Target.Samples.push_back(Added);
}

bool needsCommit(const StepState &State, const SlotState &Which,
                 TimePoint Now) {
  if (Which.Phase != SlotPhase::Scored || Which.CommitAppended)
    return false;
  if (!State.Policy.ChecksFences)
    return true;
  return Now >= Which.ScoredAt + State.Setup.CommitDelay;
}

bool mayDeliver(const StepState &State, const SlotState &Which) {
  return Which.Phase == SlotPhase::Scored && !Which.InDelivery &&
         (State.Policy.ChecksFences || Which.Committed);
}

void releasePending(StepState &State) {
  for (const Sample &it : State.Pending.Samples) {
    auto slot = State.Slots.find(it.Place);
    if (slot != State.Slots.end())
      slot->second.InDelivery = false;
  }
  State.Delivering = false;
  State.RetryDelivery = false;
  State.IsQueryingTrainer = false;
  State.Pending = Delivery();
}

void recordDelivery(const StepState &State, Slot Place, StepEffects &Out) {
  const Delivery &pending = State.Pending;
  std::string spans;
  for (const Sample &it : pending.Samples) {
    if (it.Place == Place)
      spans = toText(it.Spans);
  }
  Out.emplace_back(TimelineNote{
      "sample.deliver",
      {field("trainer", State.Setup.Trainer.Text), field("slot", toText(Place)),
       field("fence", pending.Fence), field("delivery", pending.Id),
       field("newest", State.Fresh.Newest), field("bound", State.Fresh.Bound),
       field("spans", spans)}});
}

void onRefused(StepState &State, const RefusedSample &Refusal, TimePoint Now,
               StepEffects &Out) {
  auto it = State.Slots.find(Refusal.Place);
  if (it == State.Slots.end())
    return;
  switch (Refusal.Reason) {
  case RefusalReason::Duplicate:
    markDelivered(State, Refusal.Place, Out);
    return;
  case RefusalReason::Stale:
    if (it->second.Phase == SlotPhase::Scored)
      resetSlot(State, it->second);
    return;
  case RefusalReason::Unknown:
    // The trainer is at another step; query it for the current one.
    State.DeliverAfter = Now + DeliveryRetryDelay;
    Out.emplace_back(QueryTrainer());
    return;
  }
}

void sendPending(StepState &State, StepEffects &Out) {
  State.Delivering = true;
  State.RetryDelivery = false;
  Out.emplace_back(DeliverSamples{State.Pending});
}

} // namespace

void commitReady(StepState &State, TimePoint Now, StepEffects &Out) {
  if (State.Committing || State.Closed || State.ScoredCount == 0)
    return;
  Batch batch;
  for (auto &it : State.Slots) {
    SlotState &which = it.second;
    if (!needsCommit(State, which, Now) || !hasRoom(batch, State.Setup))
      continue;
    which.CommitAppended = true;
    add(batch, which.FinishedSample);
  }
  if (batch.Samples.empty())
    return;
  State.Committing = true;
  Out.emplace_back(AppendRecord{SampleCommit{std::move(batch.Samples)}});
}

void deliverReady(StepState &State, TimePoint Now, StepEffects &Out) {
  if (State.Delivering) {
    if (State.RetryDelivery && Now >= State.DeliverAfter)
      sendPending(State, Out);
    return;
  }
  if (State.Closed || State.ScoredCount == 0 || Now < State.DeliverAfter)
    return;
  Batch batch;
  for (auto &it : State.Slots) {
    SlotState &which = it.second;
    if (!mayDeliver(State, which) || !hasRoom(batch, State.Setup))
      continue;
    // A version may have been published since it was scored.
    if (!isFresh(State.Fresh, which.FinishedSample.Spans)) {
      resetSlot(State, which);
      continue;
    }
    which.InDelivery = true;
    add(batch, which.FinishedSample);
  }
  if (batch.Samples.empty())
    return;
  ++State.DeliveryCount;
  State.Pending = Delivery{
      State.Setup.Trainer.Text + "/" + std::to_string(State.Setup.Fence) + "/" +
          std::to_string(State.DeliveryCount),
      State.Setup.Fence, State.Step, std::move(batch.Samples)};
  sendPending(State, Out);
}

void appendDeliveredSlots(StepState &State, TimePoint Now, StepEffects &Out) {
  if (State.UnappendedSlots.empty() || Now < State.AppendDeliveredAfter)
    return;
  State.AppendDeliveredAfter = Now + AppendDeliveredInterval;
  Out.emplace_back(AppendRecord{
      SamplesDelivered{State.Pending.Id, std::move(State.UnappendedSlots)}});
  State.UnappendedSlots.clear();
}

void onScored(StepState &State, const SampleScored &Event, TimePoint Now) {
  auto it = State.Slots.find(Event.Place);
  // Ignores late and repeated responses.
  if (it == State.Slots.end() || it->second.Phase != SlotPhase::Scoring ||
      !it->second.ScoreRequested)
    return;
  it->second.FinishedSample.Score = Event.Score;
  it->second.ScoredAt = Now;
  setPhase(State, it->second, SlotPhase::Scored);
}

void onScoreFailed(StepState &State, const ScoreFailed &Event, TimePoint Now) {
  auto it = State.Slots.find(Event.Place);
  if (it == State.Slots.end() || it->second.Phase != SlotPhase::Scoring)
    return;
  it->second.ScoreRequested = false;
  it->second.NotBefore = Now + State.Setup.ScoreRetryDelay;
}

void retryScoring(StepState &State, TimePoint Now, StepEffects &Out) {
  for (auto &it : State.Slots) {
    SlotState &which = it.second;
    if (which.Phase != SlotPhase::Scoring || which.ScoreRequested ||
        Now < which.NotBefore)
      continue;
    which.ScoreRequested = true;
    Out.emplace_back(ScoreSample{it.first, which.FinishedSample.Text});
  }
}

void onCommitConfirmed(StepState &State, const CommitConfirmed &Event,
                       StepEffects &Out) {
  State.Committing = false;
  for (const Slot &it : Event.Filled) {
    auto slot = State.Slots.find(it);
    if (slot == State.Slots.end() || !slot->second.CommitAppended)
      continue;
    slot->second.Committed = true;
    Out.emplace_back(TimelineNote{
        "sample.commit",
        {field("trainer", State.Setup.Trainer.Text), field("slot", toText(it)),
         field("fence", State.Setup.Fence), field("offset", Event.At),
         field("spans", toText(slot->second.FinishedSample.Spans)),
         field("newest", State.Fresh.Newest),
         field("bound", State.Fresh.Bound)}});
  }
  for (const Slot &it : Event.Dropped) {
    auto slot = State.Slots.find(it);
    bool waitsForLog =
        slot != State.Slots.end() && !State.Policy.ChecksFences &&
        slot->second.CommitAppended &&
        slot->second.Phase == SlotPhase::Scored && !slot->second.InDelivery;
    if (waitsForLog)
      resetSlot(State, slot->second);
  }
}

void onDeliveryAnswered(StepState &State, const DeliveryAnswered &Event,
                        TimePoint Now, StepEffects &Out) {
  if (!State.Delivering || Event.Id != State.Pending.Id)
    return;
  for (const Slot &it : Event.Answer.AcceptedSlots) {
    markDelivered(State, it, Out);
    recordDelivery(State, it, Out);
  }
  for (const RefusedSample &it : Event.Answer.Refused)
    onRefused(State, it, Now, Out);
  releasePending(State);
  recordNewestVersion(State, Event.Answer.Newest, Now, Out);
  closeIfComplete(State, Out);
}

void onDeliveryFailed(StepState &State, const DeliveryFailed &Event,
                      TimePoint Now, StepEffects &Out) {
  if (!State.Delivering || Event.Id != State.Pending.Id)
    return;
  if (Event.Why.Code == FailureCode::StaleFence) {
    Out.emplace_back(StopOwning{Event.Why.Reason});
    return;
  }
  State.DeliverAfter = Now + std::max(Event.Why.RetryAfter, DeliveryRetryDelay);
  if (Event.Why.Run == Verdict::NotRun) {
    releasePending(State);
    return;
  }
  // A trainer that checks fences refuses duplicates, so the delivery can be
  // repeated. Any other trainer would accept a sample twice, so it is queried
  // first.
  if (State.Policy.ChecksFences) {
    State.RetryDelivery = true;
    return;
  }
  State.IsQueryingTrainer = true;
  Out.emplace_back(QueryTrainer());
}

void resolvePendingDelivery(StepState &State) {
  if (State.Delivering && State.IsQueryingTrainer)
    releasePending(State);
}

void closeIfComplete(StepState &State, StepEffects &Out) {
  if (!State.HasStep || State.Closed || undeliveredCount(State) > 0)
    return;
  State.Closed = true;
  if (!State.UnappendedSlots.empty())
    Out.emplace_back(AppendRecord{
        SamplesDelivered{State.Pending.Id, std::move(State.UnappendedSlots)}});
  State.UnappendedSlots.clear();
  Out.emplace_back(AppendRecord{StepClosed{State.Step}});
  Out.emplace_back(TimelineNote{"step.whole",
                                {field("trainer", State.Setup.Trainer.Text),
                                 field("step", State.Step),
                                 field("samples", State.Slots.size()),
                                 field("newest", State.Fresh.Newest),
                                 field("fence", State.Setup.Fence)}});
}

void recordNewestVersion(StepState &State, WeightVersion Newest, TimePoint Now,
                         StepEffects &Out) {
  if (Newest <= State.Fresh.Newest)
    return;
  State.Publishing =
      withPublication(State.Publishing, State.HasStep && !State.Closed, Now);
  State.Fresh.Newest = Newest;
  Out.emplace_back(AppendRecord{VersionPublished{Newest}});
  dropStale(State, Out);
}

} // namespace wasabi
