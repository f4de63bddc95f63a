#include "UnitTests/Rollout/OwnerSimulation.h"

namespace wasabi::test {

namespace {

constexpr std::size_t Groups = 3;
constexpr std::size_t GroupSize = 3;
constexpr std::uint32_t MaxTokens = 12;
constexpr std::uint32_t EngineCount = 3;

Failure makeFailure(Verdict Run,
                    FailureCode Code = FailureCode::ConnectionLost) {
  Failure why;
  why.Run = Run;
  why.Code = Code;
  return why;
}

std::uint32_t sampleLength(std::uint64_t Seed) {
  return 1 + Seed * 7 % MaxTokens;
}

} // namespace

std::string tokenText(std::uint64_t Seed, std::uint32_t At,
                      WeightVersion Version) {
  return " " + std::to_string(Seed) + "." + std::to_string(At) + "." +
         std::to_string(Version);
}

std::string textForLabel(std::uint64_t Seed, const Label &Spans) {
  std::string text;
  for (const VersionSpan &it : Spans) {
    for (std::uint32_t at = it.From; at < it.To; ++at)
      text += tokenText(Seed, at, it.Version);
  }
  return text;
}

void FakeTrainer::openStep(std::uint64_t Step) {
  Wanted.Step = Step;
  Wanted.Groups.clear();
  for (std::uint32_t g = 0; g < std::uint32_t(Groups); ++g)
    Wanted.Groups.push_back(WantedGroup{g, "p" + std::to_string(g),
                                        std::uint32_t(GroupSize), MaxTokens,
                                        Step * 100 + std::uint64_t(g) * 10});
  HeldSamples.clear();
}

WantedStep FakeTrainer::wanted() const {
  WantedStep current = Wanted;
  current.Newest = Newest;
  current.Fence = Fence;
  for (const auto &it : HeldSamples)
    current.HeldSlots.push_back(it.first);
  return current;
}

std::optional<DeliveryResponse>
FakeTrainer::acceptDelivery(const Delivery &Batch) {
  if (Checks && Batch.Fence < Fence)
    return std::nullopt;
  Fence = std::max(Fence, Batch.Fence);
  DeliveryResponse answer;
  for (const Sample &it : Batch.Samples) {
    if (it.Place.Step != Wanted.Step) {
      answer.Refused.push_back({it.Place, RefusalReason::Unknown});
      continue;
    }
    bool fresh = isFresh(Freshness{Newest, Bound}, it.Spans);
    bool duplicate = HeldSamples.contains(it.Place);
    if (Checks && (duplicate || !fresh)) {
      answer.Refused.push_back({it.Place, duplicate ? RefusalReason::Duplicate
                                                    : RefusalReason::Stale});
      continue;
    }
    Duplicates += duplicate ? 1 : 0;
    Stale += fresh ? 0 : 1;
    bool labelled = covers(it.Spans, it.Tokens) &&
                    textForLabel(it.Seed, it.Spans) == it.Text &&
                    it.Tokens == sampleLength(it.Seed);
    Mislabelled += labelled ? 0 : 1;
    HeldSamples.emplace(it.Place, it);
    answer.AcceptedSlots.push_back(it.Place);
  }
  if (HeldSamples.size() == Groups * GroupSize) {
    answer.StepComplete = true;
    ++StepsDone;
    ++Newest;
    openStep(Wanted.Step + 1);
  }
  answer.Newest = Newest;
  return answer;
}

OwnerSimulation::OwnerSimulation(std::uint64_t Seed, bool Checks,
                                 VersionChange Change, Faults FaultRates)
    : Random(Seed), Rates(FaultRates), Policy(Change) {
  Trainer.Checks = Checks;
  Trainer.openStep(1);
  for (std::uint32_t i = 0; i < EngineCount; ++i)
    EngineVersions[ServerName("e" + std::to_string(i))] = 1;
  takeOver();
}

bool OwnerSimulation::chance(std::uint32_t Percent) {
  return Random() % 100 < Percent;
}

void OwnerSimulation::handleEvent(FakeOwner &Owner, const StepEvent &Event) {
  for (StepEffect &it : decide(Owner.State, Event, Now)) {
    if (const auto *record = std::get_if<AppendRecord>(&it)) {
      TrainerRecord complete{RecordId{Owner.Name, 1, ++Owner.Sequence},
                             Owner.State.Setup.Fence, record->Body};
      Owner.Appends.push_back(encodeTrainerRecord(complete));
    } else if (std::holds_alternative<StopOwning>(it)) {
      Owner.Stopped = true;
    } else if (const auto *gone = std::get_if<CancelAttempt>(&it)) {
      Owner.Streams.erase(gone->Attempt);
    } else if (!std::holds_alternative<TimelineNote>(it)) {
      Owner.Effects.push_back(std::move(it));
    }
  }
}

void OwnerSimulation::reportEngines(FakeOwner &Owner) {
  EnginesUpdated seen;
  for (const auto &it : EngineVersions) {
    ReportedEngine one;
    one.Name = it.first;
    one.Version = it.second;
    one.Slots = 2;
    seen.All.push_back(one);
  }
  handleEvent(Owner, seen);
}

void OwnerSimulation::takeOver() {
  if (!Owners.empty()) {
    ++OwnerCrashes;
    // If the trainer checks no tokens, the previous owner has stopped at the
    // end of its claim's term.
    if (!Trainer.Checks)
      Owners.clear();
  }
  auto owner = std::make_unique<FakeOwner>();
  FencingToken fence = NextFence++;
  owner->Name = "o" + std::to_string(fence);
  owner->State.Setup.Trainer = TrainerName("t");
  owner->State.Setup.Fence = fence;
  RolloutPolicy policy;
  policy.ChecksFences = Trainer.Checks;
  policy.StalenessBound = Trainer.Bound;
  policy.OnVersionChange = Policy;
  handleEvent(*owner, PolicyChanged{policy});
  Log.push_back(encodeTrainerRecord(TrainerRecord{
      RecordId{owner->Name, 1, ++owner->Sequence}, fence, OwnerStart{1}}));
  readLog(*owner);
  handleEvent(*owner, LogRecovered{owner->Fold});
  handleEvent(*owner, StepReceived{Trainer.wanted(), true});
  reportEngines(*owner);
  Owners.push_back(std::move(owner));
}

void OwnerSimulation::readLog(FakeOwner &Owner) {
  while (Owner.Fold.Next < Log.size()) {
    Offset at = Owner.Fold.Next;
    const std::string &text = Log[at];
    TrainerApplyResult result = apply(Owner.Fold, at, text);
    Outcome<TrainerRecord> record =
        toOutcome<TrainerRecord>([&] { return decodeTrainerRecord(text); });
    bool own = record && record->Id.Author == Owner.Name &&
               std::holds_alternative<SampleCommit>(record->Body);
    if (own && result.ApplyStatus == RecordStatus::Accepted)
      handleEvent(Owner, CommitConfirmed{at, result.Filled, result.Dropped});
  }
}

void OwnerSimulation::append(FakeOwner &Owner) {
  if (Owner.Appends.empty())
    return;
  Log.push_back(Owner.Appends.front());
  // Simulates a lost response: the record is appended and will be appended
  // again under the same id.
  if (chance(Rates.RepeatedAppend))
    return;
  Owner.Appends.pop_front();
  if (&Owner == Owners.back().get())
    readLog(Owner);
}

void OwnerSimulation::deliver(FakeOwner &Owner, const Delivery &Batch) {
  if (chance(Rates.LostRequest)) {
    handleEvent(Owner, DeliveryFailed{Batch.Id, makeFailure(Verdict::NotRun)});
    return;
  }
  std::optional<DeliveryResponse> answer = Trainer.acceptDelivery(Batch);
  if (!answer) {
    handleEvent(Owner,
                DeliveryFailed{Batch.Id, makeFailure(Verdict::NotRun,
                                                     FailureCode::StaleFence)});
    return;
  }
  if (chance(Rates.LostAnswer)) {
    handleEvent(Owner,
                DeliveryFailed{Batch.Id, makeFailure(Verdict::MayHaveRun)});
    return;
  }
  handleEvent(Owner, DeliveryAnswered{Batch.Id, *answer});
  if (answer->StepComplete)
    handleEvent(Owner, StepReceived{Trainer.wanted(), false});
}

void OwnerSimulation::perform(FakeOwner &Owner) {
  if (Owner.Effects.empty())
    return;
  // Effects complete in any order.
  std::size_t at = Random() % Owner.Effects.size();
  StepEffect effect = std::move(Owner.Effects[at]);
  Owner.Effects.erase(Owner.Effects.begin() + static_cast<std::ptrdiff_t>(at));
  if (const auto *begin = std::get_if<DispatchAttempt>(&effect)) {
    Owner.Streams[begin->Attempt] =
        FakeOwner::Stream{begin->Place, begin->On.Name, begin->Seed,
                          begin->From.Tokens, sampleLength(begin->Seed)};
  } else if (const auto *score = std::get_if<ScoreSample>(&effect)) {
    if (chance(Rates.ScoreFailure))
      handleEvent(Owner, ScoreFailed{score->Place, Failure{}});
    else
      handleEvent(Owner, SampleScored{score->Place, 0.5});
  } else if (const auto *delivery = std::get_if<DeliverSamples>(&effect)) {
    deliver(Owner, delivery->Batch);
  } else if (std::holds_alternative<QueryTrainer>(effect)) {
    handleEvent(Owner, StepReceived{Trainer.wanted(), true});
  }
}

void OwnerSimulation::advanceStream(FakeOwner &Owner) {
  if (Owner.Streams.empty())
    return;
  auto it = Owner.Streams.begin();
  std::advance(it,
               static_cast<std::ptrdiff_t>(Random() % Owner.Streams.size()));
  AttemptId id = it->first;
  FakeOwner::Stream &stream = it->second;
  if (chance(Rates.StreamFailure)) {
    Owner.Streams.erase(it);
    handleEvent(Owner, AttemptFailed{id, Failure{}});
    return;
  }
  if (stream.At == stream.Length) {
    Owner.Streams.erase(it);
    handleEvent(Owner, AttemptEnded{id, sampleLength(stream.Seed)});
    return;
  }
  WeightVersion version = EngineVersions[stream.On];
  Chunk chunk{stream.At, 1, tokenText(stream.Seed, stream.At, version),
              version};
  ++stream.At;
  if (chance(Rates.UnversionedChunk))
    chunk.Version.reset();
  handleEvent(Owner, ChunkReceived{id, chunk});
}

void OwnerSimulation::step() {
  Now += Millis(10 + Random() % 50);
  // A paused owner may resume with its pending effects.
  FakeOwner &active =
      *Owners[Owners.size() == 1 || chance(90) ? Owners.size() - 1
                                               : Random() % Owners.size()];
  if (chance(Rates.OwnerCrash)) {
    takeOver();
    return;
  }
  // A trainer that does not check deliveries must not publish while its step is
  // open: a publication could make a delivery in flight stale.
  if (Trainer.Checks && chance(Rates.Publication))
    ++Trainer.Newest;
  if (chance(10)) {
    auto engine = EngineVersions.begin();
    std::advance(engine, static_cast<std::ptrdiff_t>(Random() % EngineCount));
    engine->second = Trainer.Newest;
  }
  if (active.Stopped)
    return;
  switch (Random() % 6) {
  case 0:
    append(active);
    break;
  case 1:
    handleEvent(active, Tick());
    reportEngines(active);
    break;
  case 2:
    // Polls the trainer; paused owners do not poll.
    if (&active == Owners.back().get())
      handleEvent(active, StepReceived{Trainer.wanted(), false});
    break;
  case 3:
    perform(active);
    break;
  default:
    advanceStream(active);
    break;
  }
}

bool OwnerSimulation::finish(std::uint32_t Most) {
  Rates = Faults{0, 0, 0, 0, 0, 0, 0, 0};
  std::uint32_t goal = Trainer.StepsDone + 1;
  for (std::uint32_t i = 0; i < Most && Trainer.StepsDone < goal; ++i)
    step();
  return Trainer.StepsDone >= goal;
}

} // namespace wasabi::test
