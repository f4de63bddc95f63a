/// \file
/// Tests of the planning of weight swaps.
#include "Wasabi/Weights/SwapPlan.h"

#include <catch2/catch.hpp>

#include <deque>

namespace wasabi {

namespace {

constexpr TimePoint Start{Micros(1000000)};

std::vector<SwapTarget> makeTargets(std::uint32_t Count,
                                    WeightVersion Version) {
  std::vector<SwapTarget> targets;
  for (std::uint32_t i = 0; i < Count; ++i)
    targets.push_back(SwapTarget{ServerName("s" + std::to_string(i)),
                                 ServiceName("llm"), InstanceName("d"), Version,
                                 0, 1});
  return targets;
}

} // namespace

TEST_CASE("a wave is bounded by the preset and keeps one of several serving",
          "[weights]") {
  SwapPlanState state;
  state.Newest = 2;
  PresetDeclaration preset;
  CHECK(planSwaps(state, makeTargets(9, 1), preset, Start).size() == 3);
  CHECK(planSwaps(state, makeTargets(9, 1), preset, Start).empty());
  SwapPlanState unbounded;
  unbounded.Newest = 2;
  preset.SwapPercent = 100;
  CHECK(planSwaps(unbounded, makeTargets(3, 1), preset, Start).size() == 2);
  SwapPlanState single;
  single.Newest = 2;
  CHECK(planSwaps(single, makeTargets(1, 1), preset, Start).size() == 1);
}

TEST_CASE("servers with the least headroom go first, then the least busy",
          "[weights]") {
  SwapPlanState state;
  state.Newest = 5;
  std::vector<SwapTarget> targets = makeTargets(9, 4);
  targets[7].Headroom = -1;
  targets[2].Unfinished = 0;
  for (std::size_t i : {0, 1, 3, 4, 5, 6, 8})
    targets[i].Unfinished = 4;
  std::vector<SwapOrder> orders =
      planSwaps(state, targets, PresetDeclaration(), Start);
  REQUIRE(orders.size() == 3);
  CHECK(orders[0].Server.Text == "s7");
  CHECK(orders[1].Server.Text == "s2");
  CHECK(orders[2].Server.Text == "s0");
}

TEST_CASE("a hanging engine does not delay the others", "[weights]") {
  SwapPlanState state;
  state.Newest = 2;
  std::vector<SwapTarget> targets = makeTargets(4, 1);
  PresetDeclaration preset;
  REQUIRE(planSwaps(state, targets, preset, Start).size() == 1);
  // Without a known swap time, the swap may still be in progress.
  TimePoint later = Start + state.Setup.InitialLateThreshold;
  CHECK(planSwaps(state, targets, preset, later).empty());
  // The first swap is late, so the next one starts; it takes half a second.
  later += Millis(1);
  std::vector<SwapOrder> next = planSwaps(state, targets, preset, later);
  REQUIRE(next.size() == 1);
  CHECK(next[0].Server.Text == "s1");
  later += Millis(500);
  REQUIRE(noteAnswer(state, next[0].Server, 2, later));
  targets[1].Version = 2;
  // Another engine hangs; its swap is late after four times the swap time.
  REQUIRE(planSwaps(state, targets, preset, later).size() == 1);
  CHECK(planSwaps(state, targets, preset, later + Millis(2000)).empty());
  CHECK(planSwaps(state, targets, preset, later + Millis(2001)).size() == 1);
  // The last serving server does not swap while the others are swapping.
  targets[1].Version = 1;
  state.Servers[targets[1].Server] = SwapState();
  CHECK(planSwaps(state, targets, preset, later + Millis(60000)).empty());
}

TEST_CASE("a confirmed swap is not ordered again because of an old report",
          "[weights]") {
  SwapPlanState state;
  state.Newest = 2;
  std::vector<SwapTarget> targets = makeTargets(1, 1);
  PresetDeclaration preset;
  REQUIRE(planSwaps(state, targets, preset, Start).size() == 1);
  TimePoint later = Start + Millis(100);
  REQUIRE(noteAnswer(state, targets[0].Server, 2, later));
  // The load report still shows the old version.
  CHECK(planSwaps(state, targets, preset, later).empty());
  CHECK(planSwaps(state, targets, preset, later + Millis(999)).empty());
  // A newer report shows the old version again, for example after a restart.
  TimePoint lost = later + state.Setup.MaxReportDelay;
  CHECK(planSwaps(state, targets, preset, lost).size() == 1);
  // A newer version is ordered without waiting for a report.
  REQUIRE(noteAnswer(state, targets[0].Server, 2, lost));
  state.Newest = 3;
  REQUIRE(planSwaps(state, targets, preset, lost).size() == 1);
  // After a failure the server waits, even if a swap succeeded before.
  noteFailure(state, targets[0].Server, lost);
  CHECK(planSwaps(state, targets, preset, lost).empty());
}

TEST_CASE("a swap succeeds only if the engine reports the version",
          "[weights]") {
  SwapPlanState state;
  state.Newest = 2;
  std::vector<SwapTarget> targets = makeTargets(1, 1);
  REQUIRE(planSwaps(state, targets, PresetDeclaration(), Start).size() == 1);
  CHECK_FALSE(noteAnswer(state, targets[0].Server, 1, Start));
  CHECK(planSwaps(state, targets, PresetDeclaration(), Start).empty());
  TimePoint later = Start + state.Setup.InitialBackOff;
  REQUIRE(planSwaps(state, targets, PresetDeclaration(), later).size() == 1);
  // The answer is lost, but the next report shows the version.
  noteFailure(state, targets[0].Server, later);
  targets[0].Version = 2;
  CHECK(planSwaps(state, targets, PresetDeclaration(), later + Millis(60000))
            .empty());
}

TEST_CASE("an engine with an unexpected version is ordered again",
          "[weights]") {
  SwapPlanState state;
  state.Newest = 4;
  CHECK(
      planSwaps(state, makeTargets(1, 9), PresetDeclaration(), Start).size() ==
      1);
}

TEST_CASE("under finish a busy server waits until its version is too old",
          "[weights]") {
  SwapPlanState state;
  state.Newest = 2;
  PresetDeclaration preset;
  preset.OnVersionChange = VersionChange::Finish;
  std::vector<SwapTarget> targets = makeTargets(1, 1);
  targets[0].Unfinished = 1;
  CHECK(planSwaps(state, targets, preset, Start).empty());
  targets[0].Headroom = -1;
  CHECK(planSwaps(state, targets, preset, Start).size() == 1);
}

TEST_CASE("600 servers swap close to the speed of the store's fetches",
          "[weights]") {
  // The lower bound is 23.4 s: 600 servers in batches of 64 fetches of 2.5 s.
  constexpr Millis FetchTime{2500};
  SwapPlanState state;
  state.Newest = 2;
  std::vector<SwapTarget> targets = makeTargets(600, 1);
  std::deque<std::pair<TimePoint, std::size_t>> running;
  TimePoint now = Start;
  std::size_t done = 0;
  while (done < targets.size()) {
    for (const SwapOrder &it :
         planSwaps(state, targets, PresetDeclaration(), now))
      running.emplace_back(now + FetchTime,
                           std::stoul(it.Server.Text.substr(1)));
    REQUIRE_FALSE(running.empty());
    REQUIRE(running.size() <= 204);
    now = running.front().first;
    std::size_t index = running.front().second;
    running.pop_front();
    targets[index].Version = 2;
    CHECK(noteAnswer(state, targets[index].Server, 2, now));
    ++done;
  }
  CHECK(now - Start <= Millis(29000));
}

} // namespace wasabi
