#include "Wasabi/Rollout/TrainerFold.h"

#include <algorithm>

namespace wasabi {

namespace {

/// Drops the undelivered commits that are too old by now.
void dropStale(TrainerState &State) {
  std::erase_if(State.Committed, [&State](const auto &it) {
    return !State.Delivered.contains(it.first) &&
           !isFresh(State.Fresh, it.second.What.Spans);
  });
}

/// Applies one body that passed the checks of fence and id.
struct BodyFold {
  TrainerState &State;
  Offset At;
  TrainerApplyResult &Did;

  void operator()(const OwnerStart &What) const {
    State.Fresh.Bound = What.StalenessBound;
    dropStale(State);
  }
  void operator()(const VersionPublished &What) const {
    State.Fresh.Newest = std::max(State.Fresh.Newest, What.Version);
    dropStale(State);
  }
  void operator()(const StepOpened &What) const {
    if (What.Step < State.Step) {
      refuse("an earlier step than " + std::to_string(State.Step));
      return;
    }
    // A new owner opens the same step again; its samples stay.
    if (What.Step == State.Step)
      return;
    State.Step = What.Step;
    State.Closed = false;
    State.Committed.clear();
    State.Delivered.clear();
  }
  void operator()(const SampleCommit &What) const {
    for (const Sample &it : What.Samples) {
      bool fills = mayFill(it);
      (fills ? Did.Filled : Did.Dropped).push_back(it.Place);
      if (fills)
        State.Committed.emplace(it.Place, CommittedSample{it, At});
    }
  }
  void operator()(const SamplesDelivered &What) const {
    for (const Slot &it : What.Slots) {
      if (it.Step == State.Step)
        State.Delivered.insert(it);
    }
  }
  void operator()(const StepClosed &What) const {
    if (What.Step == State.Step)
      State.Closed = true;
  }

private:
  bool mayFill(const Sample &What) const {
    return What.Place.Step == State.Step && !State.Closed &&
           !State.Committed.contains(What.Place) &&
           !State.Delivered.contains(What.Place) &&
           isFresh(State.Fresh, What.Spans);
  }
  void refuse(std::string Why) const {
    Did.ApplyStatus = RecordStatus::Refused;
    Did.Reason = std::move(Why);
  }
};

/// Whether this id was taken before. An author has one append in flight, so a
/// sequence number not above the last one is a repeat.
bool isRepeat(const TrainerState &State, const RecordId &Id) {
  auto it = State.Authors.find(Id.Author);
  if (it == State.Authors.end())
    return false;
  const AuthorProgress &last = it->second;
  return std::pair(Id.Life, Id.Sequence) <= std::pair(last.Life, last.Sequence);
}

TrainerApplyResult applyRecord(TrainerState &State, Offset At,
                               const TrainerRecord &What) {
  TrainerApplyResult did;
  if (isRepeat(State, What.Id)) {
    did.ApplyStatus = RecordStatus::Duplicate;
    return did;
  }
  State.Authors[What.Id.Author] = {What.Id.Life, What.Id.Sequence};
  bool starts = std::holds_alternative<OwnerStart>(What.Body);
  // Only a start raises the token: nobody acts before saying so. A second
  // start of the same owner changes the bound.
  if (starts ? What.Fence < State.Fence : What.Fence != State.Fence) {
    did.ApplyStatus = RecordStatus::Refused;
    did.Reason = "fence " + std::to_string(What.Fence) + " against " +
                 std::to_string(State.Fence);
    return did;
  }
  State.Fence = What.Fence;
  std::visit(BodyFold{State, At, did}, What.Body);
  return did;
}

} // namespace

TrainerApplyResult apply(TrainerState &State, Offset At,
                         std::string_view Text) {
  State.Next = At + 1;
  Outcome<TrainerRecord> record =
      toOutcome<TrainerRecord>([&] { return decodeTrainerRecord(Text); });
  if (!record) {
    TrainerApplyResult did;
    did.ApplyStatus = record.failure().Code == FailureCode::NewerSchema
                          ? RecordStatus::NewerSchema
                          : RecordStatus::Malformed;
    did.Reason = describe(record.failure());
    return did;
  }
  return applyRecord(State, At, *record);
}

} // namespace wasabi
