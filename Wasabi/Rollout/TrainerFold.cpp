#include "Wasabi/Rollout/TrainerFold.h"

#include <algorithm>

namespace wasabi {

namespace {

/// Drops the undelivered commits that are stale.
void dropStale(TrainerState &State) {
  std::erase_if(State.Committed, [&State](const auto &it) {
    return !State.Delivered.contains(it.first) &&
           !isFresh(State.Fresh, it.second.Content.Spans);
  });
}

/// Applies the body of a record that passed the checks of its fence and id.
struct BodyFold {
  TrainerState &State;
  Offset At;
  TrainerApplyResult &Applied;

  void operator()(const OwnerStart &Body) const {
    State.Fresh.Bound = Body.StalenessBound;
    dropStale(State);
  }
  void operator()(const VersionPublished &Body) const {
    State.Fresh.Newest = std::max(State.Fresh.Newest, Body.Version);
    dropStale(State);
  }
  void operator()(const StepOpened &Body) const {
    if (Body.Step < State.Step) {
      refuse("the step is earlier than step " + std::to_string(State.Step));
      return;
    }
    // A new owner opens the same step again; its samples are kept.
    if (Body.Step == State.Step)
      return;
    State.Step = Body.Step;
    State.Closed = false;
    State.Committed.clear();
    State.Delivered.clear();
  }
  void operator()(const SampleCommit &Body) const {
    for (const Sample &it : Body.Samples) {
      bool fills = mayFill(it);
      (fills ? Applied.Filled : Applied.Dropped).push_back(it.Place);
      if (fills)
        State.Committed.emplace(it.Place, CommittedSample{it, At});
    }
  }
  void operator()(const SamplesDelivered &Body) const {
    for (const Slot &it : Body.Slots) {
      if (it.Step == State.Step)
        State.Delivered.insert(it);
    }
  }
  void operator()(const StepClosed &Body) const {
    if (Body.Step == State.Step)
      State.Closed = true;
  }

private:
  bool mayFill(const Sample &Candidate) const {
    return Candidate.Place.Step == State.Step && !State.Closed &&
           !State.Committed.contains(Candidate.Place) &&
           !State.Delivered.contains(Candidate.Place) &&
           isFresh(State.Fresh, Candidate.Spans);
  }
  void refuse(std::string Reason) const {
    Applied.ApplyStatus = RecordStatus::Refused;
    Applied.Reason = std::move(Reason);
  }
};

/// Returns true if this id was applied before. An author has one append in
/// flight, so a sequence number that is not above the last one is a repetition.
bool isRepeat(const TrainerState &State, const RecordId &Id) {
  auto it = State.Authors.find(Id.Author);
  if (it == State.Authors.end())
    return false;
  const AuthorProgress &last = it->second;
  return std::pair(Id.Life, Id.Sequence) <= std::pair(last.Life, last.Sequence);
}

TrainerApplyResult applyRecord(TrainerState &State, Offset At,
                               const TrainerRecord &Record) {
  TrainerApplyResult result;
  if (isRepeat(State, Record.Id)) {
    result.ApplyStatus = RecordStatus::Duplicate;
    return result;
  }
  State.Authors[Record.Id.Author] = {Record.Id.Life, Record.Id.Sequence};
  bool isStart = std::holds_alternative<OwnerStart>(Record.Body);
  // Only a start record raises the fence: an owner must append one before any
  // other record. Another start record of the same owner changes the bound.
  if (isStart ? Record.Fence < State.Fence : Record.Fence != State.Fence) {
    result.ApplyStatus = RecordStatus::Refused;
    result.Reason = "fence " + std::to_string(Record.Fence) + ", expected " +
                    std::to_string(State.Fence);
    return result;
  }
  State.Fence = Record.Fence;
  std::visit(BodyFold{State, At, result}, Record.Body);
  return result;
}

} // namespace

TrainerApplyResult apply(TrainerState &State, Offset At,
                         std::string_view Text) {
  State.Next = At + 1;
  Outcome<TrainerRecord> record =
      toOutcome<TrainerRecord>([&] { return decodeTrainerRecord(Text); });
  if (!record) {
    TrainerApplyResult result;
    result.ApplyStatus = record.failure().Code == FailureCode::NewerSchema
                             ? RecordStatus::NewerSchema
                             : RecordStatus::Malformed;
    result.Reason = describe(record.failure());
    return result;
  }
  return applyRecord(State, At, *record);
}

} // namespace wasabi
