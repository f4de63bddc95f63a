#include "Wasabi/Rollout/Engines.h"

#include <algorithm>
#include <vector>

namespace wasabi {

namespace {

constexpr Millis FirstBackOff{100};
constexpr std::uint32_t MaxBackOffDoublings = 5;

std::uint32_t computeShare(std::uint32_t Total, std::uint32_t Part,
                           std::uint32_t TotalParts) {
  std::uint64_t dividend = std::uint64_t(Total) * Part + TotalParts - 1;
  return static_cast<std::uint32_t>(dividend / TotalParts);
}

std::uint32_t subtractOrZero(std::uint32_t A, std::uint32_t B) {
  return A > B ? A - B : 0;
}

} // namespace

std::uint32_t freeSlots(const EngineState &At, const EngineShare &Part,
                        TimePoint Now) {
  const ReportedEngine &seen = At.Seen;
  if (!seen.Serving || Now < At.NotBefore || Part.RolloutPercent == 0)
    return 0;
  std::uint32_t limit = std::max(1U, seen.Slots * Part.RolloutPercent / 100);
  if (At.OwnAttempts >= limit)
    return 0;
  std::uint32_t share = std::min(
      limit, computeShare(limit, Part.Share, std::max(1U, Part.TotalShares)));
  std::uint32_t others = subtractOrZero(seen.Running, At.OwnAttemptsAtReport);
  // Leaves idle capacity to the requests that are queued.
  std::uint32_t idle =
      seen.Queued > 0 ? 0 : subtractOrZero(limit, At.OwnAttempts + others);
  return std::max(subtractOrZero(share, At.OwnAttempts), idle);
}

void backOff(EngineState &At, Millis RetryAfter, TimePoint Now) {
  std::uint32_t doublings = std::min(At.Failures, MaxBackOffDoublings);
  Millis wait = std::max(RetryAfter, FirstBackOff * (1 << doublings));
  At.NotBefore = std::max(At.NotBefore, Now + wait);
  ++At.Failures;
}

void recordStreamRate(EngineState &At, std::uint32_t Tokens, Micros Duration) {
  if (Tokens == 0 || Duration.count() <= 0)
    return;
  double rate = Tokens * 1e6 / static_cast<double>(Duration.count());
  At.StreamRate = At.StreamRate == 0 ? rate : (At.StreamRate * 3 + rate) / 4;
}

double medianRate(const Engines &Servers) {
  std::vector<double> rates;
  for (const auto &it : Servers) {
    if (it.second.StreamRate > 0)
      rates.push_back(it.second.StreamRate);
  }
  if (rates.empty())
    return 0;
  auto middle = rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
  std::nth_element(rates.begin(), middle, rates.end());
  return *middle;
}

} // namespace wasabi
