#include "Wasabi/Dispatch/EnginePace.h"

#include <algorithm>

namespace wasabi {

void recordEventInterval(EnginePace &Of, double EventIntervalMs, TimePoint Now,
                         const EnginePaceSettings &Limits) {
  double share = Of.RecentMs > 0 ? Limits.Smoothing : 1.0;
  Of.RecentMs += share * (EventIntervalMs - Of.RecentMs);
  ++Of.Count;
  // The mean of the first pauses, then a moving one in which a stall counts no
  // more than a slow engine's pause.
  double own = std::max(Limits.LongTermSmoothing, 1.0 / Of.Count);
  double counted =
      Of.Count > Limits.MinEventCount
          ? std::min(EventIntervalMs, Of.LongTermMs * Limits.SlowFactor)
          : EventIntervalMs;
  Of.LongTermMs += own * (counted - Of.LongTermMs);
  Of.LastEvent = Now;
}

void expireRecentPace(EnginePace &Of, TimePoint Now,
                      const EnginePaceSettings &Limits) {
  if (Now - Of.LastEvent > Limits.RecentTimeout)
    Of.RecentMs = 0;
}

double longTermMs(const EnginePace &Of, const EnginePaceSettings &Limits) {
  return Of.Count < Limits.MinEventCount ? 0 : Of.LongTermMs;
}

bool isSlow(const EnginePace &Of, double MedianMs,
            const EnginePaceSettings &Limits) {
  return MedianMs > 0 && Of.RecentMs > MedianMs * Limits.SlowFactor;
}

std::uint32_t paceTier(const EnginePace &Of, double FastQuartileMs,
                       const EnginePaceSettings &Limits) {
  constexpr std::uint32_t MostGrades = 8;
  double ms = longTermMs(Of, Limits);
  if (FastQuartileMs <= 0)
    return 0;
  std::uint32_t grade = 0;
  for (double limit = FastQuartileMs * Limits.TierFactor;
       ms > limit && grade < MostGrades; limit *= Limits.TierFactor)
    ++grade;
  return grade;
}

} // namespace wasabi
