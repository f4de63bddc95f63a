#include "Bench/Report.h"
#include "Bench/RolloutBench.h"
#include "Wasabi/Rollout/StepState.h"
#include "Wasabi/Weights/SwapPlan.h"

#include <algorithm>
#include <random>
#include <vector>

namespace wasabi::bench {

namespace {

constexpr std::uint32_t TrainerCount = 4;
constexpr std::uint32_t GroupCount = 128;
constexpr std::uint32_t GroupSize = 8;
constexpr std::uint32_t MaxTokens = 2000;
constexpr std::uint32_t ServerCount = 600;
constexpr std::uint32_t ServerSlots = 8;
constexpr std::uint64_t Rounds = 20000;
constexpr WeightVersion Version = 5;

std::vector<ReportedEngine> generatedEngines() {
  std::vector<ReportedEngine> all;
  for (std::uint32_t i = 0; i < ServerCount; ++i) {
    ReportedEngine one;
    one.Name = ServerName("server-" + std::to_string(i));
    one.Service = ServiceName("llm");
    one.Daemon = InstanceName("node-" + std::to_string(i));
    one.Domain = DomainName("domain-" + std::to_string(i % 7));
    one.Version = Version;
    one.Slots = ServerSlots;
    all.push_back(one);
  }
  return all;
}

WantedStep generatedStep(std::uint64_t Step, std::uint64_t Seed) {
  WantedStep wanted;
  wanted.Step = Step;
  wanted.Newest = Version;
  for (std::uint32_t g = 0; g < GroupCount; ++g)
    wanted.Groups.push_back(WantedGroup{g, "prompt-" + std::to_string(g),
                                        GroupSize, MaxTokens, Seed + g * 8ULL});
  return wanted;
}

/// Decision times of one kind of event, in microseconds.
struct Times {
  std::vector<double> All;
  void add(std::chrono::steady_clock::duration Took) {
    All.push_back(std::chrono::duration<double, std::micro>(Took).count());
  }
};

StepEffects timed(Times &Into, StepState &State, const StepEvent &Event,
                  TimePoint Now) {
  std::chrono::steady_clock::time_point from = std::chrono::steady_clock::now();
  StepEffects effects = decide(State, Event, Now);
  Into.add(std::chrono::steady_clock::now() - from);
  return effects;
}

void print(const std::string &Metric, Times &Of) {
  if (Of.All.empty())
    return;
  std::sort(Of.All.begin(), Of.All.end());
  double sum = 0;
  for (double it : Of.All)
    sum += it;
  report({"rollout", Metric + "_mean_n600",
          sum / static_cast<double>(Of.All.size()), "us", std::nullopt});
  report({"rollout", Metric + "_p99_n600", Of.All[Of.All.size() * 99 / 100],
          "us", std::nullopt});
  report({"rollout", Metric + "_max_n600", Of.All.back(), "us", std::nullopt});
}

/// Tracks the attempts started by effects until they end.
void follow(const StepEffects &Effects,
            std::vector<std::pair<AttemptId, Slot>> &Running) {
  for (const StepEffect &it : Effects) {
    if (const auto *begun = std::get_if<DispatchAttempt>(&it))
      Running.emplace_back(begun->Attempt, begun->Place);
  }
}

struct DecisionTimes {
  Times Open;
  Times ChunkTimes;
  Times End;
  Times Score;
  Times TickTimes;
  Times Engine;
  Times Every;
};

void runOne(StepState &State, DecisionTimes &Into, std::uint64_t Seed) {
  std::mt19937_64 random(Seed);
  TimePoint now{Micros(1000000)};
  std::vector<std::pair<AttemptId, Slot>> running;
  decide(State, EnginesUpdated{generatedEngines()}, now);
  follow(
      timed(Into.Open, State, StepReceived{generatedStep(1, Seed), false}, now),
      running);
  for (std::uint64_t i = 0; i < Rounds / TrainerCount && !running.empty();
       ++i) {
    now += Micros(100);
    std::size_t at = random() % running.size();
    auto [attempt, slot] = running[at];
    auto found = State.Attempts.find(attempt);
    std::uint32_t have =
        found == State.Attempts.end() ? 0 : found->second.GeneratedDraft.Tokens;
    constexpr std::uint64_t endOdds = 8;
    if (random() % endOdds != 0 || have == 0) {
      timed(Into.ChunkTimes, State,
            ChunkReceived{attempt, Chunk{have, 8, " some text", Version}}, now);
    } else {
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(at));
      follow(timed(Into.End, State, AttemptEnded{attempt, have}, now), running);
      timed(Into.Score, State, SampleScored{slot, 0.5}, now);
    }
    constexpr std::uint64_t tickEvery = 64;
    if (i % tickEvery == 0) {
      timed(Into.TickTimes, State, Tick(), now);
      timed(Into.Engine, State, EnginesUpdated{generatedEngines()}, now);
    }
  }
}

void measureWave() {
  Times times;
  constexpr std::uint32_t runs = 200;
  for (std::uint32_t i = 0; i < runs; ++i) {
    SwapPlanState state;
    state.Newest = Version + 1;
    std::vector<SwapTarget> all;
    for (const ReportedEngine &it : generatedEngines())
      all.push_back(
          SwapTarget{it.Name, it.Service, it.Daemon, Version, i % 7, 1});
    std::chrono::steady_clock::time_point from =
        std::chrono::steady_clock::now();
    planSwaps(state, all, PresetDeclaration(), TimePoint{Micros(1000000)});
    times.add(std::chrono::steady_clock::now() - from);
  }
  print("decision_us_wave", times);
}

} // namespace

void measureDecisions() {
  DecisionTimes times;
  for (std::uint32_t i = 0; i < TrainerCount; ++i) {
    StepState state;
    RolloutPolicy policy;
    policy.Part.TotalShares = TrainerCount;
    decide(state, PolicyChanged{policy}, TimePoint{Micros(1)});
    runOne(state, times, i + 1);
  }
  for (const Times *it : {&times.ChunkTimes, &times.End, &times.Score,
                          &times.TickTimes, &times.Engine, &times.Open})
    times.Every.All.insert(times.Every.All.end(), it->All.begin(),
                           it->All.end());
  print("decision_us", times.Every);
  print("decision_us_chunk", times.ChunkTimes);
  print("decision_us_end", times.End);
  print("decision_us_score", times.Score);
  print("decision_us_tick", times.TickTimes);
  print("decision_us_engines", times.Engine);
  print("decision_us_open", times.Open);
  measureWave();
}

} // namespace wasabi::bench
