#include "Wasabi/Upstream/Hedging.h"

#include <algorithm>
#include <cmath>

namespace wasabi {

Hedging makeHedging(const Hedging::Settings &Limits) {
  return Hedging{Limits, RetryBudget{Limits.Budget, 0}, {}};
}

bool isHedgeable(const UpstreamRoute &Route) {
  return Route.Kind == RouteKind::Idempotent && Route.MaxAttempts > 1;
}

bool mayHedge(const UpstreamRoute &Route, std::uint32_t Runs,
              CrashStatus Status) {
  return isHedgeable(Route) && Runs < Route.MaxAttempts &&
         Status == CrashStatus::Clean;
}

void addRequest(Hedging &State) { State.Budget = addSuccess(State.Budget); }

void addLatency(Hedging &State, const std::string &Route,
                const ServiceName &Service, double LatencyMs) {
  RecentLatencies &recent = State.Latencies[{Route, Service}];
  if (recent.Samples.size() < State.Limits.MaxSamples) {
    recent.Samples.push_back(LatencyMs);
    return;
  }
  recent.Samples[recent.Oldest] = LatencyMs;
  recent.Oldest = (recent.Oldest + 1) % recent.Samples.size();
}

Micros hedgeDelay(const Hedging &State, const UpstreamRoute &Route,
                  const ServiceName &Service) {
  Micros limit = std::chrono::duration_cast<Micros>(Route.LatencyTarget *
                                                    State.Limits.MaxDelayShare);
  auto known = State.Latencies.find({Route.Name, Service});
  if (known == State.Latencies.end() || known->second.Samples.empty() ||
      known->second.Samples.size() < State.Limits.MinSamples)
    return limit;
  std::vector<double> samples = known->second.Samples;
  // The nearest rank: the smallest sample that the given fraction of the
  // samples does not exceed.
  double rank = std::ceil(State.Limits.LatencyQuantile *
                          static_cast<double>(samples.size()));
  std::size_t index = std::clamp<std::size_t>(static_cast<std::size_t>(rank), 1,
                                              samples.size()) -
                      1;
  auto quantile = samples.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(samples.begin(), quantile, samples.end());
  Micros delay = std::chrono::duration_cast<Micros>(
      std::chrono::duration<double, std::milli>(*quantile));
  return std::min(std::max<Micros>(delay, State.Limits.MinDelay), limit);
}

Micros trialHedgeDelay(double TypicalMs) {
  constexpr double TypicalFactor = 2;
  return std::chrono::duration_cast<Micros>(
      std::chrono::duration<double, std::milli>(TypicalMs * TypicalFactor));
}

bool isHedgeUseful(const HedgeCandidate &Candidate) {
  double firstRemainingMs =
      std::max(Candidate.FirstExpectedMs - Candidate.AgeMs, Candidate.AgeMs);
  return Candidate.SecondExpectedMs < firstRemainingMs &&
         Candidate.SecondExpectedMs < Candidate.RemainingMs;
}

} // namespace wasabi
