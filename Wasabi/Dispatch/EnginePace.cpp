#include "Wasabi/Dispatch/EnginePace.h"

#include <algorithm>

namespace wasabi {

void notePause(EnginePace &Of, double PauseMs, TimePoint Now,
               const EnginePaceSettings &Limits) {
  double share = Of.RecentMs > 0 ? Limits.Smoothing : 1.0;
  Of.RecentMs += share * (PauseMs - Of.RecentMs);
  ++Of.Count;
  // The mean of the first pauses, then a moving one in which a stall counts no
  // more than a slow engine's pause.
  double own = std::max(Limits.OwnSmoothing, 1.0 / Of.Count);
  double counted = Of.Count > Limits.LeastCount
                       ? std::min(PauseMs, Of.OwnMs * Limits.SlowFactor)
                       : PauseMs;
  Of.OwnMs += own * (counted - Of.OwnMs);
  Of.LastEvent = Now;
}

void forgetRecent(EnginePace &Of, TimePoint Now,
                  const EnginePaceSettings &Limits) {
  if (Now - Of.LastEvent > Limits.RecentSpan)
    Of.RecentMs = 0;
}

double knownMs(const EnginePace &Of, const EnginePaceSettings &Limits) {
  return Of.Count < Limits.LeastCount ? 0 : Of.OwnMs;
}

bool isSlow(const EnginePace &Of, double UsualMs,
            const EnginePaceSettings &Limits) {
  return UsualMs > 0 && Of.RecentMs > UsualMs * Limits.SlowFactor;
}

std::uint32_t paceGrade(const EnginePace &Of, double FastMs,
                        const EnginePaceSettings &Limits) {
  constexpr std::uint32_t MostGrades = 8;
  double ms = knownMs(Of, Limits);
  if (FastMs <= 0)
    return 0;
  std::uint32_t grade = 0;
  for (double limit = FastMs * Limits.GradeFactor;
       ms > limit && grade < MostGrades; limit *= Limits.GradeFactor)
    ++grade;
  return grade;
}

} // namespace wasabi
