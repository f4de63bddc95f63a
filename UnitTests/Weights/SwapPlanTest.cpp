/// \file
/// Waves of weight swaps.
#include "Wasabi/Weights/SwapPlan.h"

#include <catch2/catch.hpp>

#include <deque>

namespace wasabi {

namespace {

constexpr TimePoint Start{Micros(1000000)};

std::vector<SwapTarget> servers(std::uint32_t Count, WeightVersion Version) {
  std::vector<SwapTarget> all;
  for (std::uint32_t i = 0; i < Count; ++i)
    all.push_back(SwapTarget{ServerName("s" + std::to_string(i)),
                             ServiceName("llm"), InstanceName("d"), Version, 0,
                             1});
  return all;
}

} // namespace

TEST_CASE("a wave leaves most of a service serving", "[weights]") {
  SwapPlanState state;
  state.Newest = 2;
  PresetDeclaration preset;
  CHECK(planSwaps(state, servers(9, 1), preset, Start).size() == 3);
  CHECK(planSwaps(state, servers(9, 1), preset, Start).empty());
  SwapPlanState all;
  all.Newest = 2;
  preset.SwapPercent = 100;
  CHECK(planSwaps(all, servers(3, 1), preset, Start).size() == 2);
  SwapPlanState single;
  single.Newest = 2;
  CHECK(planSwaps(single, servers(1, 1), preset, Start).size() == 1);
}

TEST_CASE("the nearest to too old go first, then the least busy", "[weights]") {
  SwapPlanState state;
  state.Newest = 5;
  std::vector<SwapTarget> all = servers(9, 4);
  all[7].Headroom = -1;
  all[2].Unfinished = 0;
  for (std::size_t i : {0, 1, 3, 4, 5, 6, 8})
    all[i].Unfinished = 4;
  std::vector<SwapOrder> orders =
      planSwaps(state, all, PresetDeclaration(), Start);
  REQUIRE(orders.size() == 3);
  CHECK(orders[0].Server.Text == "s7");
  CHECK(orders[1].Server.Text == "s2");
  CHECK(orders[2].Server.Text == "s0");
}

TEST_CASE("an engine that hangs does not hold back the others", "[weights]") {
  SwapPlanState state;
  state.Newest = 2;
  std::vector<SwapTarget> all = servers(4, 1);
  PresetDeclaration preset;
  REQUIRE(planSwaps(state, all, preset, Start).size() == 1);
  // Nothing is known of how long a swap takes: it may be under way.
  TimePoint later = Start + state.Setup.InitialLateThreshold;
  CHECK(planSwaps(state, all, preset, later).empty());
  // Then the next goes, and takes half a second.
  later += Millis(1);
  std::vector<SwapOrder> next = planSwaps(state, all, preset, later);
  REQUIRE(next.size() == 1);
  CHECK(next[0].Server.Text == "s1");
  later += Millis(500);
  REQUIRE(noteAnswer(state, next[0].Server, 2, later));
  all[1].Version = 2;
  // One more hangs; it is late after four times as long.
  REQUIRE(planSwaps(state, all, preset, later).size() == 1);
  CHECK(planSwaps(state, all, preset, later + Millis(2000)).empty());
  CHECK(planSwaps(state, all, preset, later + Millis(2001)).size() == 1);
  // The last one that serves never goes while the others are away.
  all[1].Version = 1;
  state.Servers[all[1].Server] = SwapState();
  CHECK(planSwaps(state, all, preset, later + Millis(60000)).empty());
}

TEST_CASE("a swap that is proved is not ordered again by an old report",
          "[weights]") {
  SwapPlanState state;
  state.Newest = 2;
  std::vector<SwapTarget> all = servers(1, 1);
  PresetDeclaration preset;
  REQUIRE(planSwaps(state, all, preset, Start).size() == 1);
  TimePoint later = Start + Millis(100);
  REQUIRE(noteAnswer(state, all[0].Server, 2, later));
  // The load report still shows the old version.
  CHECK(planSwaps(state, all, preset, later).empty());
  CHECK(planSwaps(state, all, preset, later + Millis(999)).empty());
  // A later one says that the engine lost it: it was started anew, say.
  TimePoint lost = later + state.Setup.MaxReportDelay;
  CHECK(planSwaps(state, all, preset, lost).size() == 1);
  // A newer version does not wait for the report.
  REQUIRE(noteAnswer(state, all[0].Server, 2, lost));
  state.Newest = 3;
  REQUIRE(planSwaps(state, all, preset, lost).size() == 1);
  // But a failure makes it wait, also after a success.
  noteFailure(state, all[0].Server, lost);
  CHECK(planSwaps(state, all, preset, lost).empty());
}

TEST_CASE("a swap counts by the engine's report only", "[weights]") {
  SwapPlanState state;
  state.Newest = 2;
  std::vector<SwapTarget> all = servers(1, 1);
  REQUIRE(planSwaps(state, all, PresetDeclaration(), Start).size() == 1);
  CHECK_FALSE(noteAnswer(state, all[0].Server, 1, Start));
  CHECK(planSwaps(state, all, PresetDeclaration(), Start).empty());
  TimePoint later = Start + state.Setup.FirstBackOff;
  REQUIRE(planSwaps(state, all, PresetDeclaration(), later).size() == 1);
  // Its answer is lost, but the next report shows the version.
  noteFailure(state, all[0].Server, later);
  all[0].Version = 2;
  CHECK(planSwaps(state, all, PresetDeclaration(), later + Millis(60000))
            .empty());
}

TEST_CASE("an engine on a version nobody expected is ordered again",
          "[weights]") {
  SwapPlanState state;
  state.Newest = 4;
  CHECK(planSwaps(state, servers(1, 9), PresetDeclaration(), Start).size() ==
        1);
}

TEST_CASE("under finish a busy server waits until it is too old", "[weights]") {
  SwapPlanState state;
  state.Newest = 2;
  PresetDeclaration preset;
  preset.OnVersionChange = VersionChange::Finish;
  std::vector<SwapTarget> all = servers(1, 1);
  all[0].Unfinished = 1;
  CHECK(planSwaps(state, all, preset, Start).empty());
  all[0].Headroom = -1;
  CHECK(planSwaps(state, all, preset, Start).size() == 1);
}

TEST_CASE("600 servers swap as fast as the store's fetches allow",
          "[weights]") {
  // 64 fetches at once of 2.5 s each: 600 / 64 * 2.5 s = 23.4 s at best.
  constexpr Millis FetchTime{2500};
  SwapPlanState state;
  state.Newest = 2;
  std::vector<SwapTarget> all = servers(600, 1);
  std::deque<std::pair<TimePoint, std::size_t>> running;
  TimePoint now = Start;
  std::size_t done = 0;
  while (done < all.size()) {
    for (const SwapOrder &it : planSwaps(state, all, PresetDeclaration(), now))
      running.emplace_back(now + FetchTime,
                           std::stoul(it.Server.Text.substr(1)));
    REQUIRE_FALSE(running.empty());
    REQUIRE(running.size() <= 204);
    now = running.front().first;
    std::size_t which = running.front().second;
    running.pop_front();
    all[which].Version = 2;
    CHECK(noteAnswer(state, all[which].Server, 2, now));
    ++done;
  }
  CHECK(now - Start <= Millis(29000));
}

} // namespace wasabi
