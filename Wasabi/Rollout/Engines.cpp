#include "Wasabi/Rollout/Engines.h"

#include <algorithm>
#include <vector>

namespace wasabi {

namespace {

constexpr Millis FirstBackOff{100};
constexpr std::uint32_t MaxBackOffDoublings = 5;

std::uint32_t partOf(std::uint32_t Whole, std::uint32_t Part,
                     std::uint32_t Sum) {
  std::uint64_t up = std::uint64_t(Whole) * Part + Sum - 1;
  return static_cast<std::uint32_t>(up / Sum);
}

std::uint32_t lessOrZero(std::uint32_t A, std::uint32_t B) {
  return A > B ? A - B : 0;
}

} // namespace

std::uint32_t freeSlots(const EngineState &At, const EngineShare &Part,
                        TimePoint Now) {
  const ReportedEngine &seen = At.Seen;
  if (!seen.Serving || Now < At.NotBefore || Part.RolloutPercent == 0)
    return 0;
  std::uint32_t limit = std::max(1U, seen.Slots * Part.RolloutPercent / 100);
  if (At.Own >= limit)
    return 0;
  std::uint32_t fair = std::min(
      limit, partOf(limit, Part.Share, std::max(1U, Part.TotalShares)));
  std::uint32_t others = lessOrZero(seen.Running, At.OwnAttemptsAtReport);
  // Where someone waits, what stands idle is theirs.
  std::uint32_t idle = seen.Queued > 0 ? 0 : lessOrZero(limit, At.Own + others);
  return std::max(lessOrZero(fair, At.Own), idle);
}

void backOff(EngineState &At, Millis RetryAfter, TimePoint Now) {
  std::uint32_t doublings = std::min(At.Failures, MaxBackOffDoublings);
  Millis wait = std::max(RetryAfter, FirstBackOff * (1 << doublings));
  At.NotBefore = std::max(At.NotBefore, Now + wait);
  ++At.Failures;
}

void recordStreamRate(EngineState &At, std::uint32_t Tokens, Micros Took) {
  if (Tokens == 0 || Took.count() <= 0)
    return;
  double rate = Tokens * 1e6 / static_cast<double>(Took.count());
  At.StreamRate = At.StreamRate == 0 ? rate : (At.StreamRate * 3 + rate) / 4;
}

double medianRate(const Engines &All) {
  std::vector<double> rates;
  for (const auto &it : All) {
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
