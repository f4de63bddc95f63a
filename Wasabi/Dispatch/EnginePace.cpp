#include "Wasabi/Dispatch/EnginePace.h"

#include <algorithm>

namespace wasabi {

void recordEventInterval(EnginePace &Pace, double EventIntervalMs,
                         TimePoint Now, const EnginePaceSettings &Limits) {
  double recentWeight = Pace.RecentMs > 0 ? Limits.Smoothing : 1.0;
  Pace.RecentMs += recentWeight * (EventIntervalMs - Pace.RecentMs);
  ++Pace.Count;
  // The arithmetic mean at first, then a moving average in which the interval
  // of a stall is capped.
  double longTermWeight = std::max(Limits.LongTermSmoothing, 1.0 / Pace.Count);
  double cappedMs =
      Pace.Count > Limits.MinEventCount
          ? std::min(EventIntervalMs, Pace.LongTermMs * Limits.SlowFactor)
          : EventIntervalMs;
  Pace.LongTermMs += longTermWeight * (cappedMs - Pace.LongTermMs);
  Pace.LastEvent = Now;
}

void expireRecentPace(EnginePace &Pace, TimePoint Now,
                      const EnginePaceSettings &Limits) {
  if (Now - Pace.LastEvent > Limits.RecentTimeout)
    Pace.RecentMs = 0;
}

double longTermMs(const EnginePace &Pace, const EnginePaceSettings &Limits) {
  return Pace.Count < Limits.MinEventCount ? 0 : Pace.LongTermMs;
}

bool isSlow(const EnginePace &Pace, double MedianMs,
            const EnginePaceSettings &Limits) {
  return MedianMs > 0 && Pace.RecentMs > MedianMs * Limits.SlowFactor;
}

std::uint32_t paceTier(const EnginePace &Pace, double FastQuartileMs,
                       const EnginePaceSettings &Limits) {
  constexpr std::uint32_t MaxTier = 8;
  double ms = longTermMs(Pace, Limits);
  // The long-term pace hides for long that a fast engine has become slow.
  if (isSlow(Pace, ms, Limits))
    ms = Pace.RecentMs;
  if (FastQuartileMs <= 0)
    return 0;
  std::uint32_t tier = 0;
  for (double limit = FastQuartileMs * Limits.TierFactor;
       ms > limit && tier < MaxTier; limit *= Limits.TierFactor)
    ++tier;
  return tier;
}

} // namespace wasabi
