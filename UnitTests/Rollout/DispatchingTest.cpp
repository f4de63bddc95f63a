/// \file
/// Tests the choice of slots and engines: freshness, shares, dispatch order,
/// hedging and resuming.
#include "Wasabi/Rollout/StepState.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

constexpr TimePoint Start{Micros(1000000)};

ReportedEngine makeEngine(const std::string &Name, WeightVersion Version,
                          std::uint32_t Slots = 2) {
  ReportedEngine one;
  one.Name = ServerName(Name);
  one.Version = Version;
  one.Slots = Slots;
  return one;
}

template <typename T> std::vector<T> findEffects(const StepEffects &Effects) {
  std::vector<T> found;
  for (const StepEffect &it : Effects) {
    if (const T *one = std::get_if<T>(&it))
      found.push_back(*one);
  }
  return found;
}

WantedStep makeWantedStep(std::uint32_t Samples, WeightVersion Newest) {
  WantedStep wanted;
  wanted.Step = 1;
  wanted.Newest = Newest;
  wanted.Groups = {{0, "short", Samples, 100, 0},
                   {1, "long", Samples, 100, 50}};
  return wanted;
}

StepState makeStateWithStep(std::vector<ReportedEngine> Reported,
                            const RolloutPolicy &Policy, StepEffects &Out,
                            std::uint32_t Samples = 2) {
  StepState state;
  decide(state, PolicyChanged{Policy}, Start);
  decide(state, EnginesUpdated{std::move(Reported)}, Start);
  Out = decide(state, StepReceived{makeWantedStep(Samples, 5), false}, Start);
  return state;
}

} // namespace

TEST_CASE("only publications within a step make its samples stale",
          "[staleness]") {
  Cadence betweenSteps = withPublication({}, false, Start);
  betweenSteps = withPublication(betweenSteps, false, Start + Millis(1000));
  CHECK(expectedPublications(betweenSteps, Start, Start + Millis(60000)) == 0);
  Cadence withinStep =
      withPublication(betweenSteps, true, Start + Millis(2000));
  TimePoint now = Start + Millis(2000);
  CHECK(expectedPublications(withinStep, now, now + Millis(2500)) == 2);
  CHECK(willBeFresh({5, 2}, 5, withinStep, now, now + Millis(2500)));
  CHECK_FALSE(willBeFresh({5, 1}, 5, withinStep, now, now + Millis(2500)));
}

TEST_CASE("no sample starts on an engine with stale weights", "[dispatch]") {
  StepEffects out;
  makeStateWithStep({makeEngine("old", 3), makeEngine("new", 4)}, {}, out);
  std::vector<DispatchAttempt> begun = findEffects<DispatchAttempt>(out);
  REQUIRE(begun.size() == 2);
  for (const DispatchAttempt &it : begun)
    CHECK(it.On.Name.Text == "new");
}

TEST_CASE("without admission nothing is dispatched and nothing cancelled",
          "[dispatch]") {
  StepEffects out;
  RolloutPolicy policy;
  StepState state = makeStateWithStep({makeEngine("a", 5)}, policy, out);
  REQUIRE(findEffects<DispatchAttempt>(out).size() == 2);
  policy.AdmitRollouts = false;
  CHECK(decide(state, PolicyChanged{policy}, Start).empty());
  decide(state, ChunkReceived{1, Chunk{0, 1, "x", 5}}, Start);
  StepEffects ended = decide(state, AttemptEnded{1, 1}, Start);
  CHECK(findEffects<ScoreSample>(ended).size() == 1);
  CHECK(findEffects<DispatchAttempt>(ended).empty());
  // Dispatching continues once rollouts are admitted again.
  policy.AdmitRollouts = true;
  CHECK(
      findEffects<DispatchAttempt>(decide(state, PolicyChanged{policy}, Start))
          .size() == 1);
}

TEST_CASE("a trainer exceeds its share only on idle slots", "[dispatch]") {
  EngineState at;
  at.Seen = makeEngine("a", 1, 8);
  EngineShare half{1, 2, 100};
  CHECK(freeSlots(at, half, Start) == 8);
  at.Seen.Running = 8;
  CHECK(freeSlots(at, half, Start) == 4);
  at.Seen.Running = 0;
  at.OwnAttempts = 4;
  CHECK(freeSlots(at, half, Start) == 4);
  at.Seen.Running = 7;
  at.OwnAttemptsAtReport = 4;
  CHECK(freeSlots(at, half, Start) == 1);
  at.Seen.Queued = 1;
  CHECK(freeSlots(at, half, Start) == 0);
  at.OwnAttempts = 3;
  CHECK(freeSlots(at, half, Start) == 1);
  EngineShare quarter{1, 1, 25};
  CHECK(freeSlots(at, quarter, Start) == 0);
}

TEST_CASE("a repeated load report does not hide free slots", "[dispatch]") {
  StepEffects out;
  ReportedEngine seen = makeEngine("a", 5, 2);
  RolloutPolicy half;
  half.Part = EngineShare{1, 2, 100};
  StepState state = makeStateWithStep({seen}, half, out);
  REQUIRE(findEffects<DispatchAttempt>(out).size() == 2);
  seen.Running = 2;
  seen.Report = 1;
  decide(state, EnginesUpdated{{seen}}, Start);
  decide(state, ChunkReceived{1, Chunk{0, 1, "x", 5}}, Start);
  decide(state, ChunkReceived{2, Chunk{0, 1, "x", 5}}, Start);
  // Stops dispatching, so that both slots become free.
  RolloutPolicy notAdmitted = half;
  notAdmitted.AdmitRollouts = false;
  decide(state, PolicyChanged{notAdmitted}, Start);
  decide(state, AttemptEnded{1, 1}, Start);
  decide(state, AttemptEnded{2, 1}, Start);
  // Reads the same report again.
  decide(state, EnginesUpdated{{seen}}, Start);
  CHECK(findEffects<DispatchAttempt>(decide(state, PolicyChanged{half}, Start))
            .size() == 2);
}

TEST_CASE("samples expected to be longest are dispatched first", "[dispatch]") {
  StepState state;
  decide(state, EnginesUpdated{{makeEngine("a", 5, 1)}}, Start);
  recordLength(state.Lengths, "short", 10);
  recordLength(state.Lengths, "long", 90);
  StepEffects out =
      decide(state, StepReceived{makeWantedStep(2, 5), false}, Start);
  std::vector<DispatchAttempt> begun = findEffects<DispatchAttempt>(out);
  REQUIRE(begun.size() == 1);
  CHECK(begun[0].Place.Group == 1);
}

TEST_CASE("a failed attempt keeps its chunks and their label", "[dispatch]") {
  StepEffects out;
  StepState state = makeStateWithStep(
      {makeEngine("a", 5, 1), makeEngine("b", 4, 1)}, {}, out, 1);
  std::vector<DispatchAttempt> begun = findEffects<DispatchAttempt>(out);
  REQUIRE(begun.size() == 2);
  AttemptId id = begun[0].Attempt;
  decide(state, ChunkReceived{id, Chunk{0, 2, "xy", 5}}, Start);
  decide(state, AttemptFailed{id, Failure()}, Start);
  // The engine of the failed attempt backs off; the other engine resumes the
  // draft once it has a free slot.
  AttemptId other = begun[1].Attempt;
  decide(state, ChunkReceived{other, Chunk{0, 1, "z", 4}}, Start);
  StepEffects next = decide(state, AttemptEnded{other, 1}, Start);
  std::vector<DispatchAttempt> again = findEffects<DispatchAttempt>(next);
  REQUIRE(again.size() == 1);
  CHECK(again[0].From.Text == "xy");
  CHECK(toText(again[0].From.Spans) == "0-2@5");
  CHECK(again[0].On.Name != begun[0].On.Name);
}

TEST_CASE("a stalled attempt is hedged and the first to finish wins",
          "[hedge]") {
  StepEffects out;
  StepState state = makeStateWithStep(
      {makeEngine("a", 5, 1), makeEngine("b", 5, 1), makeEngine("c", 5, 1)}, {},
      out, 1);
  REQUIRE(findEffects<DispatchAttempt>(out).size() == 2);
  decide(state, ChunkReceived{1, Chunk{0, 3, "abc", 5}}, Start);
  TimePoint later = Start + state.Setup.StallTimeout + Millis(1);
  decide(state, ChunkReceived{2, Chunk{0, 3, "abc", 5}}, later);
  std::vector<DispatchAttempt> hedge =
      findEffects<DispatchAttempt>(decide(state, Tick(), later));
  REQUIRE(hedge.size() == 1);
  CHECK(hedge[0].Hedge);
  CHECK(hedge[0].From.Tokens == 3);
  StepEffects won = decide(state, AttemptEnded{hedge[0].Attempt, 3}, later);
  REQUIRE(findEffects<CancelAttempt>(won).size() == 1);
  CHECK(findEffects<CancelAttempt>(won)[0].Attempt == 1);
  // The end of the cancelled attempt has no effect.
  CHECK(findEffects<ScoreSample>(decide(state, AttemptEnded{1, 3}, later))
            .empty());
}

TEST_CASE("a slow engine gets one sample at a time", "[hedge]") {
  StepEffects out;
  StepState state = makeStateWithStep(
      {makeEngine("a", 5, 2), makeEngine("b", 5, 2)}, {}, out, 2);
  std::vector<DispatchAttempt> begun = findEffects<DispatchAttempt>(out);
  REQUIRE(begun.size() == 4);
  // Within one second attempts on the first engine generate 1 token, the others
  // 50.
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
  WantedStep next = makeWantedStep(2, 5);
  next.Step = 2;
  std::size_t onSlow = 0;
  for (const DispatchAttempt &it : findEffects<DispatchAttempt>(
           decide(state, StepReceived{next, false}, later)))
    onSlow += it.On.Name == slow ? 1 : 0;
  CHECK(onSlow == 1);
}

TEST_CASE("a silent engine backs off after another finished its sample",
          "[hedge]") {
  StepEffects out;
  StepState state = makeStateWithStep(
      {makeEngine("a", 5, 1), makeEngine("b", 5, 1), makeEngine("c", 5, 1)}, {},
      out, 1);
  std::vector<DispatchAttempt> begun = findEffects<DispatchAttempt>(out);
  REQUIRE(begun.size() == 2);
  TimePoint later = Start + state.Setup.StallTimeout + Millis(1);
  decide(state, ChunkReceived{2, Chunk{0, 3, "abc", 5}}, later);
  std::vector<DispatchAttempt> hedge =
      findEffects<DispatchAttempt>(decide(state, Tick(), later));
  REQUIRE(hedge.size() == 1);
  AttemptId copy = hedge[0].Attempt;
  decide(state, ChunkReceived{copy, Chunk{0, 3, "abc", 5}}, later);
  decide(state, AttemptEnded{copy, 3}, later);
  CHECK(state.Servers.at(begun[0].On.Name).NotBefore > later);
}

TEST_CASE("the preset can disable hedging", "[hedge]") {
  StepEffects out;
  RolloutPolicy policy;
  policy.HedgeTail = false;
  StepState state = makeStateWithStep({makeEngine("a", 5, 4)}, policy, out, 1);
  decide(state, EnginesUpdated{{makeEngine("a", 5, 4), makeEngine("b", 5, 4)}},
         Start);
  TimePoint later = Start + state.Setup.StallTimeout + Millis(1);
  CHECK(decide(state, Tick(), later).empty());
}

TEST_CASE("each policy for version changes is followed", "[staleness]") {
  StepEffects out;
  RolloutPolicy policy;
  policy.OnVersionChange = VersionChange::Restart;
  StepState restart = makeStateWithStep({makeEngine("a", 5)}, policy, out);
  decide(restart, ChunkReceived{1, Chunk{0, 1, "x", 5}}, Start);
  StepEffects swapped =
      decide(restart, ChunkReceived{1, Chunk{1, 1, "y", 6}}, Start);
  REQUIRE(findEffects<CancelAttempt>(swapped).size() == 1);
  CHECK(findEffects<DispatchAttempt>(swapped).at(0).From.Tokens == 0);

  StepState resume = makeStateWithStep({makeEngine("a", 5)}, {}, out);
  decide(resume, ChunkReceived{1, Chunk{0, 1, "x", 5}}, Start);
  CHECK(decide(resume, ChunkReceived{1, Chunk{1, 1, "y", 6}}, Start).empty());

  policy.OnVersionChange = VersionChange::Finish;
  makeStateWithStep({makeEngine("old", 4), makeEngine("new", 5)}, policy, out);
  for (const DispatchAttempt &it : findEffects<DispatchAttempt>(out))
    CHECK(it.On.Name.Text == "new");
}

} // namespace wasabi
