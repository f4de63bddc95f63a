#include "IntegrationTests/Soak/SoakPlan.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <random>

namespace wasabi::soak {

namespace {

constexpr std::size_t Kinds = static_cast<std::size_t>(SoakFault::Count);

constexpr std::array<std::string_view, Kinds> Names{"configure",
                                                    "name-version",
                                                    "stop-edge",
                                                    "reload-edge",
                                                    "drain-server",
                                                    "kill-edge",
                                                    "pause-edge",
                                                    "kill-all-edges",
                                                    "kill-side",
                                                    "pause-side",
                                                    "store-busy",
                                                    "store-silent",
                                                    "store-resets",
                                                    "store-loses-answers",
                                                    "store-late",
                                                    "store-slow",
                                                    "store-forgets",
                                                    "registrations-lapse",
                                                    "store-link-refuses",
                                                    "store-link-silent",
                                                    "store-link-one-way",
                                                    "store-link-delays",
                                                    "server-crashes",
                                                    "server-silent",
                                                    "server-one-way",
                                                    "server-link-cut",
                                                    "server-loses-answers",
                                                    "server-slow",
                                                    "server-breaks-off",
                                                    "server-fails",
                                                    "caller-link-cut",
                                                    "caller-link-delays",
                                                    "revoke-key",
                                                    "kill-reporter",
                                                    "pause-reporter",
                                                    "stop-reporter",
                                                    "reporter-store-refuses",
                                                    "reporter-store-silent",
                                                    "reporter-store-delays",
                                                    "reports-busy",
                                                    "reports-lose-answers",
                                                    "reports-silent",
                                                    "report-link-silent",
                                                    "report-link-delays",
                                                    "config-read-lost",
                                                    "engine-crash-loop",
                                                    "server-endless"};

/// Number of kinds in every plan. It must not change, so that a seed keeps its
/// plan.
constexpr std::size_t CommonKinds =
    static_cast<std::size_t>(SoakFault::RevokeKey);

/// Random numbers that are the same with every standard library, unlike its
/// distributions, so that a seed gives the same plan everywhere.
struct RandomSource {
  std::mt19937_64 Engine;

  std::int64_t between(std::int64_t Min, std::int64_t Max) {
    auto span = static_cast<std::uint64_t>(Max - Min + 1);
    return Min + static_cast<std::int64_t>(Engine() % span);
  }
  bool oneIn(std::int64_t Count) { return between(1, Count) == 1; }
  SoakFault kind(bool PlannedOnly) {
    std::size_t kindCount =
        PlannedOnly ? static_cast<std::size_t>(SoakFault::DrainServer) + 1
                    : CommonKinds;
    return static_cast<SoakFault>(Engine() % kindCount);
  }
};

/// Parameters for drawing a plan.
struct PlanStyle {
  bool PlannedOnly = false;
  /// Longest fault, and the delays between two series.
  std::int64_t MaxDurationMs = 4500;
  std::int64_t MinGapMs = 200;
  std::int64_t MaxGapMs = 1600;
};

PlanStyle selectStyle(std::uint64_t Seed) {
  constexpr PlanStyle Dense;
  constexpr PlanStyle Planned{true, 2000, 300, 2000};
  constexpr PlanStyle Sparse{false, 2000, 2500, 7000};
  constexpr std::array<PlanStyle, 3> Styles{Dense, Planned, Sparse};
  return Styles.at(Seed % Styles.size());
}

/// Returns the steps of one kind that start at `At`: a single step or a series.
std::vector<ScheduledFault> drawSeries(RandomSource &Random,
                                       const PlanStyle &Style, Millis At) {
  constexpr std::int64_t MinDurationMs = 300;
  ScheduledFault step;
  step.At = At;
  step.Kind = Random.kind(Style.PlannedOnly);
  step.Target = static_cast<std::uint32_t>(Random.between(0, 1000));
  step.Duration = Millis(Random.between(MinDurationMs, Style.MaxDurationMs));
  std::vector<ScheduledFault> series{step};
  if (!Random.oneIn(4))
    return series;
  std::int64_t more = Random.between(1, 3);
  for (std::int64_t i = 0; i < more; ++i) {
    step.At += Millis(Random.between(200, 1600));
    step.Duration =
        Millis(Random.between(MinDurationMs, Style.MaxDurationMs / 2));
    step.Target += Random.oneIn(2) ? 1 : 0;
    series.push_back(step);
  }
  return series;
}

} // namespace

std::string_view toText(SoakFault Kind) {
  return Names.at(static_cast<std::size_t>(Kind));
}

bool isPlanned(SoakFault Kind) {
  return Kind <= SoakFault::DrainServer || Kind == SoakFault::RevokeKey;
}

std::vector<ScheduledFault> makeSoakPlan(std::uint64_t Seed, Millis Length) {
  RandomSource from{std::mt19937_64(Seed)};
  std::vector<ScheduledFault> plan;
  PlanStyle style = selectStyle(Seed);
  Millis at(from.between(300, 1200));
  while (at < Length) {
    std::vector<ScheduledFault> series = drawSeries(from, style, at);
    plan.insert(plan.end(), series.begin(), series.end());
    at += Millis(from.between(style.MinGapMs, style.MaxGapMs));
  }
  std::erase_if(plan, [Length](const ScheduledFault &It) {
    return It.At + It.Duration > Length;
  });
  std::stable_sort(plan.begin(), plan.end(),
                   [](const ScheduledFault &L, const ScheduledFault &R) {
                     return L.At < R.At;
                   });
  return plan;
}

void addStateFaults(std::vector<ScheduledFault> &Plan, std::uint64_t Seed,
                    Millis Length) {
  constexpr std::uint64_t SeedOffset = 7919;
  constexpr std::int64_t LongestMs = 2500;
  RandomSource from{std::mt19937_64(Seed + SeedOffset)};
  auto first = static_cast<std::int64_t>(SoakFault::ConfigurationReadLost);
  auto last = static_cast<std::int64_t>(SoakFault::ServerAnswersWithoutEnd);
  for (Millis at(from.between(500, 1500)); at + Millis(LongestMs) < Length;
       at += Millis(from.between(700, 2500))) {
    ScheduledFault step;
    step.At = at;
    step.Kind = static_cast<SoakFault>(from.between(first, last));
    step.Target = static_cast<std::uint32_t>(from.between(0, 1000));
    step.Duration = Millis(from.between(300, LongestMs));
    Plan.push_back(step);
    // A route that the follower has not read is used at once.
    if (step.Kind != SoakFault::ConfigurationReadLost)
      continue;
    step.Kind = SoakFault::Configure;
    step.At += Millis(from.between(50, 700));
    Plan.push_back(step);
  }
  std::stable_sort(Plan.begin(), Plan.end(),
                   [](const ScheduledFault &L, const ScheduledFault &R) {
                     return L.At < R.At;
                   });
}

std::string describe(const std::vector<ScheduledFault> &Plan) {
  std::string text;
  for (const ScheduledFault &it : Plan)
    fmt::format_to(std::back_inserter(text),
                   "step: at_ms={} for_ms={} kind={} target={}\n",
                   it.At.count(), it.Duration.count(), toText(it.Kind),
                   it.Target);
  return text;
}

} // namespace wasabi::soak
