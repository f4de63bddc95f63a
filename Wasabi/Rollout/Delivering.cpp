#include "Wasabi/Rollout/Delivering.h"

#include "Wasabi/Rollout/Attempts.h"
#include "Wasabi/Rollout/SlotMoves.h"

#include <algorithm>
#include <set>

namespace wasabi {

namespace {

constexpr Millis DeliveryRetry{100};
constexpr Millis TellPeriod{500};

/// Samples gathered up to the limits of a batch.
struct Batch {
  std::vector<Sample> Samples;
  std::size_t Bytes = 0;
};

bool hasRoom(const Batch &Of, const StepState::Settings &Limits) {
  return Of.Samples.size() < Limits.MaxBatchSamples &&
         Of.Bytes < Limits.MaxBatchBytes;
}

void add(Batch &To, const Sample &What) {
  To.Bytes += What.Text.size();
  To.Samples.push_back(What);
}

bool wantsCommit(const StepState &State, const SlotState &Which,
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

void noteDelivered(const StepState &State, Slot Place, StepEffects &Out) {
  const Delivery &by = State.Pending;
  std::string spans;
  for (const Sample &it : by.Samples) {
    if (it.Place == Place)
      spans = toText(it.Spans);
  }
  Out.emplace_back(
      Note{"sample.deliver",
           {field("trainer", State.Setup.Trainer.Text),
            field("slot", toText(Place)), field("fence", by.Fence),
            field("delivery", by.Id), field("newest", State.Fresh.Newest),
            field("bound", State.Fresh.Bound), field("spans", spans)}});
}

void onRefused(StepState &State, const RefusedSample &What, TimePoint Now,
               StepEffects &Out) {
  auto it = State.Slots.find(What.Place);
  if (it == State.Slots.end())
    return;
  switch (What.Reason) {
  case RefusalReason::Duplicate:
    markDelivered(State, What.Place, Out);
    return;
  case RefusalReason::Stale:
    if (it->second.Phase == SlotPhase::Scored)
      resetSlot(State, it->second);
    return;
  case RefusalReason::Unknown:
    // The trainer is at another step, which its next answer will say.
    State.DeliverAfter = Now + DeliveryRetry;
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
    if (!wantsCommit(State, which, Now) || !hasRoom(batch, State.Setup))
      continue;
    which.CommitAppended = true;
    add(batch, which.Whole);
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
    // It may have aged while an earlier delivery had it.
    if (!isFresh(State.Fresh, which.Whole.Spans)) {
      resetSlot(State, which);
      continue;
    }
    which.InDelivery = true;
    add(batch, which.Whole);
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
  if (State.Untold.empty() || Now < State.AppendDeliveredAfter)
    return;
  State.AppendDeliveredAfter = Now + TellPeriod;
  Out.emplace_back(AppendRecord{
      SamplesDelivered{State.Pending.Id, std::move(State.Untold)}});
  State.Untold.clear();
}

void onScored(StepState &State, const SampleScored &What, TimePoint Now) {
  auto it = State.Slots.find(What.Place);
  // A late or second answer finds the slot further on.
  if (it == State.Slots.end() || it->second.Phase != SlotPhase::Scoring ||
      !it->second.ScoreRequested)
    return;
  it->second.Whole.Score = What.Score;
  it->second.ScoredAt = Now;
  setPhase(State, it->second, SlotPhase::Scored);
}

void onScoreFailed(StepState &State, const ScoreFailed &What, TimePoint Now) {
  auto it = State.Slots.find(What.Place);
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
    Out.emplace_back(ScoreSample{it.first, which.Whole.Text});
  }
}

void onCommitConfirmed(StepState &State, const CommitConfirmed &What,
                       StepEffects &Out) {
  State.Committing = false;
  for (const Slot &it : What.Filled) {
    auto slot = State.Slots.find(it);
    if (slot == State.Slots.end() || !slot->second.CommitAppended)
      continue;
    slot->second.Committed = true;
    Out.emplace_back(Note{
        "sample.commit",
        {field("trainer", State.Setup.Trainer.Text), field("slot", toText(it)),
         field("fence", State.Setup.Fence), field("offset", What.At),
         field("spans", toText(slot->second.Whole.Spans)),
         field("newest", State.Fresh.Newest),
         field("bound", State.Fresh.Bound)}});
  }
  for (const Slot &it : What.Dropped) {
    auto slot = State.Slots.find(it);
    bool waitsForLog =
        slot != State.Slots.end() && !State.Policy.ChecksFences &&
        slot->second.CommitAppended &&
        slot->second.Phase == SlotPhase::Scored && !slot->second.InDelivery;
    if (waitsForLog)
      resetSlot(State, slot->second);
  }
}

void onDeliveryAnswered(StepState &State, const DeliveryAnswered &What,
                        TimePoint Now, StepEffects &Out) {
  if (!State.Delivering || What.Id != State.Pending.Id)
    return;
  for (const Slot &it : What.Answer.AcceptedSlots) {
    markDelivered(State, it, Out);
    noteDelivered(State, it, Out);
  }
  for (const RefusedSample &it : What.Answer.Refused)
    onRefused(State, it, Now, Out);
  releasePending(State);
  recordNewestVersion(State, What.Answer.Newest, Now, Out);
  closeIfComplete(State, Out);
}

void onDeliveryFailed(StepState &State, const DeliveryFailed &What,
                      TimePoint Now, StepEffects &Out) {
  if (!State.Delivering || What.Id != State.Pending.Id)
    return;
  if (What.Why.Code == FailureCode::StaleFence) {
    Out.emplace_back(StopOwning{What.Why.Reason});
    return;
  }
  State.DeliverAfter = Now + std::max(What.Why.RetryAfter, DeliveryRetry);
  if (What.Why.Run == Verdict::NotRun) {
    releasePending(State);
    return;
  }
  // A trainer that checks refuses what it has; one that does not must be asked
  // first, or it would take the same samples twice.
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
  if (!State.HasStep || State.Closed || missing(State) > 0)
    return;
  State.Closed = true;
  if (!State.Untold.empty())
    Out.emplace_back(AppendRecord{
        SamplesDelivered{State.Pending.Id, std::move(State.Untold)}});
  State.Untold.clear();
  Out.emplace_back(AppendRecord{StepClosed{State.Step}});
  Out.emplace_back(
      Note{"step.whole",
           {field("trainer", State.Setup.Trainer.Text),
            field("step", State.Step), field("samples", State.Slots.size()),
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
