/// \file
/// Freshness, shares, order of dispatch, hedges and resumes.
#include "Wasabi/Rollout/StepState.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

constexpr TimePoint Start{Micros(1000000)};

ReportedEngine engine(const std::string &Name, WeightVersion Version,
                      std::uint32_t Slots = 2) {
  ReportedEngine one;
  one.Name = ServerName(Name);
  one.Version = Version;
  one.Slots = Slots;
  return one;
}

template <typename T> std::vector<T> only(const StepEffects &Of) {
  std::vector<T> found;
  for (const StepEffect &it : Of) {
    if (const T *one = std::get_if<T>(&it))
      found.push_back(*one);
  }
  return found;
}

WantedStep wantedStep(std::uint32_t Samples, WeightVersion Newest) {
  WantedStep wanted;
  wanted.Step = 1;
  wanted.Newest = Newest;
  wanted.Groups = {{0, "short", Samples, 100, 0},
                   {1, "long", Samples, 100, 50}};
  return wanted;
}

StepState withStep(std::vector<ReportedEngine> All, const RolloutPolicy &Policy,
                   StepEffects &Out, std::uint32_t Samples = 2) {
  StepState state;
  decide(state, PolicyChanged{Policy}, Start);
  decide(state, EnginesUpdated{std::move(All)}, Start);
  Out = decide(state, StepReceived{wantedStep(Samples, 5), false}, Start);
  return state;
}

} // namespace

TEST_CASE("only publications within a step age its samples", "[staleness]") {
  Cadence never = withPublication({}, false, Start);
  never = withPublication(never, false, Start + Millis(1000));
  CHECK(expectedPublications(never, Start, Start + Millis(60000)) == 0);
  Cadence often = withPublication(never, true, Start + Millis(2000));
  TimePoint now = Start + Millis(2000);
  CHECK(expectedPublications(often, now, now + Millis(2500)) == 2);
  CHECK(willBeFresh({5, 2}, 5, often, now, now + Millis(2500)));
  CHECK_FALSE(willBeFresh({5, 1}, 5, often, now, now + Millis(2500)));
}

TEST_CASE("no sample begins where it would be too old", "[dispatch]") {
  StepEffects out;
  withStep({engine("old", 3), engine("new", 4)}, {}, out);
  std::vector<DispatchAttempt> begun = only<DispatchAttempt>(out);
  REQUIRE(begun.size() == 2);
  for (const DispatchAttempt &it : begun)
    CHECK(it.On.Name.Text == "new");
}

TEST_CASE("maintenance dispatches nothing and cuts nothing off", "[dispatch]") {
  StepEffects out;
  RolloutPolicy policy;
  StepState state = withStep({engine("a", 5)}, policy, out);
  REQUIRE(only<DispatchAttempt>(out).size() == 2);
  policy.AdmitRollouts = false;
  CHECK(decide(state, PolicyChanged{policy}, Start).empty());
  decide(state, ChunkReceived{1, Chunk{0, 1, "x", 5}}, Start);
  StepEffects ended = decide(state, AttemptEnded{1, 1}, Start);
  CHECK(only<ScoreSample>(ended).size() == 1);
  CHECK(only<DispatchAttempt>(ended).empty());
  // Switching back goes on where it was.
  policy.AdmitRollouts = true;
  CHECK(only<DispatchAttempt>(decide(state, PolicyChanged{policy}, Start))
            .size() == 1);
}

TEST_CASE("beyond its share a trainer leaves what others wait for",
          "[dispatch]") {
  EngineState at;
  at.Seen = engine("a", 1, 8);
  EngineShare half{1, 2, 100};
  CHECK(freeSlots(at, half, Start) == 8);
  at.Seen.Running = 8;
  CHECK(freeSlots(at, half, Start) == 4);
  at.Seen.Running = 0;
  at.Own = 4;
  CHECK(freeSlots(at, half, Start) == 4);
  at.Seen.Running = 7;
  at.OwnAttemptsAtReport = 4;
  CHECK(freeSlots(at, half, Start) == 1);
  at.Seen.Queued = 1;
  CHECK(freeSlots(at, half, Start) == 0);
  at.Own = 3;
  CHECK(freeSlots(at, half, Start) == 1);
  EngineShare quarter{1, 1, 25};
  CHECK(freeSlots(at, quarter, Start) == 0);
}

TEST_CASE("an old load report does not hide a slot that became free",
          "[dispatch]") {
  StepEffects out;
  ReportedEngine seen = engine("a", 5, 2);
  RolloutPolicy half;
  half.Part = EngineShare{1, 2, 100};
  StepState state = withStep({seen}, half, out);
  REQUIRE(only<DispatchAttempt>(out).size() == 2);
  seen.Running = 2;
  seen.Report = 1;
  decide(state, EnginesUpdated{{seen}}, Start);
  decide(state, ChunkReceived{1, Chunk{0, 1, "x", 5}}, Start);
  decide(state, ChunkReceived{2, Chunk{0, 1, "x", 5}}, Start);
  // Nothing may begin for the moment, so both slots become free.
  RolloutPolicy none = half;
  none.AdmitRollouts = false;
  decide(state, PolicyChanged{none}, Start);
  decide(state, AttemptEnded{1, 1}, Start);
  decide(state, AttemptEnded{2, 1}, Start);
  // The same report is looked at again.
  decide(state, EnginesUpdated{{seen}}, Start);
  CHECK(
      only<DispatchAttempt>(decide(state, PolicyChanged{half}, Start)).size() ==
      2);
}

TEST_CASE("the longest expected go first", "[dispatch]") {
  StepState state;
  decide(state, EnginesUpdated{{engine("a", 5, 1)}}, Start);
  observe(state.Lengths, "short", 10);
  observe(state.Lengths, "long", 90);
  StepEffects out = decide(state, StepReceived{wantedStep(2, 5), false}, Start);
  std::vector<DispatchAttempt> begun = only<DispatchAttempt>(out);
  REQUIRE(begun.size() == 1);
  CHECK(begun[0].Place.Group == 1);
}

TEST_CASE("a crash keeps the whole chunks and their label", "[dispatch]") {
  StepEffects out;
  StepState state =
      withStep({engine("a", 5, 1), engine("b", 4, 1)}, {}, out, 1);
  std::vector<DispatchAttempt> begun = only<DispatchAttempt>(out);
  REQUIRE(begun.size() == 2);
  AttemptId id = begun[0].Attempt;
  decide(state, ChunkReceived{id, Chunk{0, 2, "xy", 5}}, Start);
  decide(state, AttemptFailed{id, Failure()}, Start);
  // Its engine rests; the other one goes on from there when it has room.
  AttemptId other = begun[1].Attempt;
  decide(state, ChunkReceived{other, Chunk{0, 1, "z", 4}}, Start);
  StepEffects next = decide(state, AttemptEnded{other, 1}, Start);
  std::vector<DispatchAttempt> again = only<DispatchAttempt>(next);
  REQUIRE(again.size() == 1);
  CHECK(again[0].From.Text == "xy");
  CHECK(toText(again[0].From.Spans) == "0-2@5");
  CHECK(again[0].On.Name != begun[0].On.Name);
}

TEST_CASE("a stalled attempt is copied, and the first whole one wins",
          "[hedge]") {
  StepEffects out;
  StepState state = withStep(
      {engine("a", 5, 1), engine("b", 5, 1), engine("c", 5, 1)}, {}, out, 1);
  REQUIRE(only<DispatchAttempt>(out).size() == 2);
  decide(state, ChunkReceived{1, Chunk{0, 3, "abc", 5}}, Start);
  TimePoint later = Start + state.Setup.StallTimeout + Millis(1);
  decide(state, ChunkReceived{2, Chunk{0, 3, "abc", 5}}, later);
  std::vector<DispatchAttempt> hedge =
      only<DispatchAttempt>(decide(state, Tick(), later));
  REQUIRE(hedge.size() == 1);
  CHECK(hedge[0].Hedge);
  CHECK(hedge[0].From.Tokens == 3);
  StepEffects won = decide(state, AttemptEnded{hedge[0].Attempt, 3}, later);
  REQUIRE(only<CancelAttempt>(won).size() == 1);
  CHECK(only<CancelAttempt>(won)[0].Attempt == 1);
  // The loser's late end changes nothing.
  CHECK(only<ScoreSample>(decide(state, AttemptEnded{1, 3}, later)).empty());
}

TEST_CASE("an engine that lost for slowness gets one sample at a time",
          "[hedge]") {
  StepEffects out;
  StepState state =
      withStep({engine("a", 5, 2), engine("b", 5, 2)}, {}, out, 2);
  std::vector<DispatchAttempt> begun = only<DispatchAttempt>(out);
  REQUIRE(begun.size() == 4);
  // In one second the engine of the first attempt sends 1 token, others 50.
  ServerName slow = begun[0].On.Name;
  TimePoint later = Start + Millis(1000);
  for (const DispatchAttempt &it : begun) {
    std::uint32_t tokens = it.On.Name == slow ? 1 : 50;
    decide(state, ChunkReceived{it.Attempt, Chunk{0, tokens, "x", 5}}, later);
  }
  for (const DispatchAttempt &it : begun)
    decide(state, AttemptEnded{it.Attempt, it.On.Name == slow ? 1U : 50U},
           later);
  decide(state, Tick(), later);
  WantedStep next = wantedStep(2, 5);
  next.Step = 2;
  std::size_t onSlow = 0;
  for (const DispatchAttempt &it :
       only<DispatchAttempt>(decide(state, StepReceived{next, false}, later)))
    onSlow += it.On.Name == slow ? 1 : 0;
  CHECK(onSlow == 1);
}

TEST_CASE("a silent engine rests once another did its sample", "[hedge]") {
  StepEffects out;
  StepState state = withStep(
      {engine("a", 5, 1), engine("b", 5, 1), engine("c", 5, 1)}, {}, out, 1);
  std::vector<DispatchAttempt> begun = only<DispatchAttempt>(out);
  REQUIRE(begun.size() == 2);
  TimePoint later = Start + state.Setup.StallTimeout + Millis(1);
  decide(state, ChunkReceived{2, Chunk{0, 3, "abc", 5}}, later);
  std::vector<DispatchAttempt> hedge =
      only<DispatchAttempt>(decide(state, Tick(), later));
  REQUIRE(hedge.size() == 1);
  AttemptId copy = hedge[0].Attempt;
  decide(state, ChunkReceived{copy, Chunk{0, 3, "abc", 5}}, later);
  decide(state, AttemptEnded{copy, 3}, later);
  CHECK(state.Servers.at(begun[0].On.Name).NotBefore > later);
}

TEST_CASE("no hedge where the preset has none", "[hedge]") {
  StepEffects out;
  RolloutPolicy policy;
  policy.HedgeTail = false;
  StepState state = withStep({engine("a", 5, 4)}, policy, out, 1);
  decide(state, EnginesUpdated{{engine("a", 5, 4), engine("b", 5, 4)}}, Start);
  TimePoint later = Start + state.Setup.StallTimeout + Millis(1);
  CHECK(decide(state, Tick(), later).empty());
}

TEST_CASE("each version change policy does as it says", "[staleness]") {
  StepEffects out;
  RolloutPolicy policy;
  policy.OnVersionChange = VersionChange::Restart;
  StepState restart = withStep({engine("a", 5)}, policy, out);
  decide(restart, ChunkReceived{1, Chunk{0, 1, "x", 5}}, Start);
  StepEffects swapped =
      decide(restart, ChunkReceived{1, Chunk{1, 1, "y", 6}}, Start);
  REQUIRE(only<CancelAttempt>(swapped).size() == 1);
  CHECK(only<DispatchAttempt>(swapped).at(0).From.Tokens == 0);

  StepState resume = withStep({engine("a", 5)}, {}, out);
  decide(resume, ChunkReceived{1, Chunk{0, 1, "x", 5}}, Start);
  CHECK(decide(resume, ChunkReceived{1, Chunk{1, 1, "y", 6}}, Start).empty());

  policy.OnVersionChange = VersionChange::Finish;
  withStep({engine("old", 4), engine("new", 5)}, policy, out);
  for (const DispatchAttempt &it : only<DispatchAttempt>(out))
    CHECK(it.On.Name.Text == "new");
}

} // namespace wasabi
