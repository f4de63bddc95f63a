#include "UnitTests/Rollout/OwnerSimulation.h"

namespace wasabi::test {

namespace {

constexpr std::size_t Groups = 3;
constexpr std::size_t GroupSize = 3;
constexpr std::uint32_t MaxTokens = 12;
constexpr std::uint32_t EngineCount = 3;

Failure failure(Verdict Run, FailureCode Code = FailureCode::ConnectionLost) {
  Failure why;
  why.Run = Run;
  why.Code = Code;
  return why;
}

std::uint32_t lengthOf(std::uint64_t Seed) { return 1 + Seed * 7 % MaxTokens; }

} // namespace

std::string tokenText(std::uint64_t Seed, std::uint32_t At,
                      WeightVersion Version) {
  return " " + std::to_string(Seed) + "." + std::to_string(At) + "." +
         std::to_string(Version);
}

std::string textOf(std::uint64_t Seed, const Label &Spans) {
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
  Have.clear();
}

WantedStep FakeTrainer::wanted() const {
  WantedStep now = Wanted;
  now.Newest = Newest;
  now.Fence = Fence;
  for (const auto &it : Have)
    now.HeldSlots.push_back(it.first);
  return now;
}

std::optional<DeliveryResponse> FakeTrainer::take(const Delivery &What) {
  if (Checks && What.Fence < Fence)
    return std::nullopt;
  Fence = std::max(Fence, What.Fence);
  DeliveryResponse answer;
  for (const Sample &it : What.Samples) {
    if (it.Place.Step != Wanted.Step) {
      answer.Refused.push_back({it.Place, RefusalReason::Unknown});
      continue;
    }
    bool fresh = isFresh(Freshness{Newest, Bound}, it.Spans);
    bool again = Have.contains(it.Place);
    if (Checks && (again || !fresh)) {
      answer.Refused.push_back(
          {it.Place, again ? RefusalReason::Duplicate : RefusalReason::Stale});
      continue;
    }
    Duplicates += again ? 1 : 0;
    Stale += fresh ? 0 : 1;
    bool truthful = covers(it.Spans, it.Tokens) &&
                    textOf(it.Seed, it.Spans) == it.Text &&
                    it.Tokens == lengthOf(it.Seed);
    Mislabelled += truthful ? 0 : 1;
    Have.emplace(it.Place, it);
    answer.AcceptedSlots.push_back(it.Place);
  }
  if (Have.size() == Groups * GroupSize) {
    answer.StepComplete = true;
    ++StepsDone;
    ++Newest;
    openStep(Wanted.Step + 1);
  }
  answer.Newest = Newest;
  return answer;
}

World::World(std::uint64_t Seed, bool Checks, VersionChange Change,
             Faults Often)
    : Random(Seed), Rates(Often), Policy(Change) {
  Trainer.Checks = Checks;
  Trainer.openStep(1);
  for (std::uint32_t i = 0; i < EngineCount; ++i)
    EngineVersions[ServerName("e" + std::to_string(i))] = 1;
  takeOver();
}

bool World::chance(std::uint32_t Percent) { return Random() % 100 < Percent; }

void World::feed(FakeOwner &Who, const StepEvent &Event) {
  for (StepEffect &it : decide(Who.State, Event, Now)) {
    if (const auto *record = std::get_if<AppendRecord>(&it)) {
      TrainerRecord whole{RecordId{Who.Name, 1, ++Who.Sequence},
                          Who.State.Setup.Fence, record->Body};
      Who.Appends.push_back(encodeTrainerRecord(whole));
    } else if (std::holds_alternative<StopOwning>(it)) {
      Who.Stopped = true;
    } else if (const auto *gone = std::get_if<CancelAttempt>(&it)) {
      Who.Streams.erase(gone->Attempt);
    } else if (!std::holds_alternative<Note>(it)) {
      Who.Effects.push_back(std::move(it));
    }
  }
}

void World::showEngines(FakeOwner &Who) {
  EnginesUpdated seen;
  for (const auto &it : EngineVersions) {
    ReportedEngine one;
    one.Name = it.first;
    one.Version = it.second;
    one.Slots = 2;
    seen.All.push_back(one);
  }
  feed(Who, seen);
}

void World::takeOver() {
  if (!Owners.empty()) {
    ++Deaths;
    // Without tokens to check, the term of the claim has stopped the old one.
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
  feed(*owner, PolicyChanged{policy});
  Log.push_back(encodeTrainerRecord(TrainerRecord{
      RecordId{owner->Name, 1, ++owner->Sequence}, fence, OwnerStart{1}}));
  readLog(*owner);
  feed(*owner, LogRecovered{owner->Fold});
  feed(*owner, StepReceived{Trainer.wanted(), true});
  showEngines(*owner);
  Owners.push_back(std::move(owner));
}

void World::readLog(FakeOwner &Who) {
  while (Who.Fold.Next < Log.size()) {
    Offset at = Who.Fold.Next;
    const std::string &text = Log[at];
    TrainerApplyResult did = apply(Who.Fold, at, text);
    Outcome<TrainerRecord> record =
        toOutcome<TrainerRecord>([&] { return decodeTrainerRecord(text); });
    bool own = record && record->Id.Author == Who.Name &&
               std::holds_alternative<SampleCommit>(record->Body);
    if (own && did.ApplyStatus == RecordStatus::Accepted)
      feed(Who, CommitConfirmed{at, did.Filled, did.Dropped});
  }
}

void World::append(FakeOwner &Who) {
  if (Who.Appends.empty())
    return;
  Log.push_back(Who.Appends.front());
  // A lost answer: the record is there, and comes again with the same id.
  if (chance(Rates.RepeatedAppend))
    return;
  Who.Appends.pop_front();
  if (&Who == Owners.back().get())
    readLog(Who);
}

void World::deliver(FakeOwner &Who, const Delivery &What) {
  if (chance(Rates.LostRequest)) {
    feed(Who, DeliveryFailed{What.Id, failure(Verdict::NotRun)});
    return;
  }
  std::optional<DeliveryResponse> answer = Trainer.take(What);
  if (!answer) {
    feed(Who, DeliveryFailed{
                  What.Id, failure(Verdict::NotRun, FailureCode::StaleFence)});
    return;
  }
  if (chance(Rates.LostAnswer)) {
    feed(Who, DeliveryFailed{What.Id, failure(Verdict::MayHaveRun)});
    return;
  }
  feed(Who, DeliveryAnswered{What.Id, *answer});
  if (answer->StepComplete)
    feed(Who, StepReceived{Trainer.wanted(), false});
}

void World::perform(FakeOwner &Who) {
  if (Who.Effects.empty())
    return;
  // Any order: answers are late as they like.
  std::size_t at = Random() % Who.Effects.size();
  StepEffect effect = std::move(Who.Effects[at]);
  Who.Effects.erase(Who.Effects.begin() + static_cast<std::ptrdiff_t>(at));
  if (const auto *begin = std::get_if<DispatchAttempt>(&effect)) {
    Who.Streams[begin->Attempt] =
        FakeOwner::Stream{begin->Place, begin->On.Name, begin->Seed,
                          begin->From.Tokens, lengthOf(begin->Seed)};
  } else if (const auto *score = std::get_if<ScoreSample>(&effect)) {
    if (chance(Rates.ScoreFailure))
      feed(Who, ScoreFailed{score->Place, Failure{}});
    else
      feed(Who, SampleScored{score->Place, 0.5});
  } else if (const auto *delivery = std::get_if<DeliverSamples>(&effect)) {
    deliver(Who, delivery->What);
  } else if (std::holds_alternative<QueryTrainer>(effect)) {
    feed(Who, StepReceived{Trainer.wanted(), true});
  }
}

void World::advanceStream(FakeOwner &Who) {
  if (Who.Streams.empty())
    return;
  auto it = Who.Streams.begin();
  std::advance(it, static_cast<std::ptrdiff_t>(Random() % Who.Streams.size()));
  AttemptId id = it->first;
  FakeOwner::Stream &stream = it->second;
  if (chance(Rates.StreamFailure)) {
    Who.Streams.erase(it);
    feed(Who, AttemptFailed{id, Failure{}});
    return;
  }
  if (stream.At == stream.Length) {
    Who.Streams.erase(it);
    feed(Who, AttemptEnded{id, lengthOf(stream.Seed)});
    return;
  }
  WeightVersion version = EngineVersions[stream.On];
  Chunk chunk{stream.At, 1, tokenText(stream.Seed, stream.At, version),
              version};
  ++stream.At;
  if (chance(Rates.UnversionedChunk))
    chunk.Version.reset();
  feed(Who, ChunkReceived{id, chunk});
}

void World::step() {
  Now += Millis(10 + Random() % 50);
  // A paused owner wakes with what it had in hand.
  FakeOwner &who =
      *Owners[Owners.size() == 1 || chance(90) ? Owners.size() - 1
                                               : Random() % Owners.size()];
  if (chance(Rates.OwnerCrash)) {
    takeOver();
    return;
  }
  // Nobody can know of a publication that a delivery meets on its way: a
  // trainer that takes anything must not publish while its step is open.
  if (Trainer.Checks && chance(Rates.Publication))
    ++Trainer.Newest;
  if (chance(10)) {
    auto engine = EngineVersions.begin();
    std::advance(engine, static_cast<std::ptrdiff_t>(Random() % EngineCount));
    engine->second = Trainer.Newest;
  }
  if (who.Stopped)
    return;
  switch (Random() % 6) {
  case 0:
    append(who);
    break;
  case 1:
    feed(who, Tick());
    showEngines(who);
    break;
  case 2:
    // A poll; only the newest owner is awake enough for one.
    if (&who == Owners.back().get())
      feed(who, StepReceived{Trainer.wanted(), false});
    break;
  case 3:
    perform(who);
    break;
  default:
    advanceStream(who);
    break;
  }
}

bool World::finish(std::uint32_t Most) {
  Rates = Faults{0, 0, 0, 0, 0, 0, 0, 0};
  std::uint32_t goal = Trainer.StepsDone + 1;
  for (std::uint32_t i = 0; i < Most && Trainer.StepsDone < goal; ++i)
    step();
  return Trainer.StepsDone >= goal;
}

} // namespace wasabi::test
