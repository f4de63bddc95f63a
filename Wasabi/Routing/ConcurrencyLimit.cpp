#include "Wasabi/Routing/ConcurrencyLimit.h"

#include <algorithm>

namespace wasabi {
namespace {

/// Weight of a window whose latency is below the known unloaded latency.
constexpr double FasterWeight = 0.3;
/// A slow window lowers the limit only if more than this share of it was in
/// use.
constexpr double MinDecreaseUse = 0.5;
/// The limit grows only if at least this share of it was in use.
constexpr double MinIncreaseUse = 0.8;
/// Share of the limit that a probe admits. It is below the server's capacity
/// even if the limit is `Tolerance` times that capacity.
constexpr double ProbeShare = 0.25;

ConcurrencyLimit startWindow(ConcurrencyLimit Limit, TimePoint Now) {
  Limit.WindowStartedAt = Now;
  Limit.WindowRequestMicros = 0;
  Limit.WindowSamples = 0;
  Limit.WindowPeak = Limit.Running;
  return Limit;
}

void clampLimit(ConcurrencyLimit &Limit) {
  Limit.Limit =
      std::clamp(Limit.Limit, Limit.Limits.MinLimit, Limit.Limits.MaxLimit);
}

/// Moves the unloaded latency towards a lower measured one. Only a probe raises
/// it, as overload would otherwise count as normal latency.
void lowerUnloadedTime(ConcurrencyLimit &Limit, double Average) {
  if (Limit.UnloadedMicros <= 0)
    Limit.UnloadedMicros = Average;
  else if (Average < Limit.UnloadedMicros)
    Limit.UnloadedMicros += FasterWeight * (Average - Limit.UnloadedMicros);
}

ConcurrencyLimit endProbe(ConcurrencyLimit Limit, TimePoint Now) {
  Limit.Probe = ProbeStage::None;
  Limit.NextProbeAt = Now + Limit.Limits.LimitProbeInterval;
  return startWindow(Limit, Now);
}

bool isWindowComplete(const ConcurrencyLimit &Limit, TimePoint Now) {
  return Now - Limit.WindowStartedAt >= Limit.Limits.Window &&
         Limit.WindowSamples >= Limit.Limits.MinWindowSamples;
}

double meanMicros(const ConcurrencyLimit &Limit) {
  return Limit.WindowRequestMicros / std::max(1u, Limit.WindowSamples);
}

/// Handles an answer that arrives during a probe.
ConcurrencyLimit updateProbe(ConcurrencyLimit Limit, TimePoint Now) {
  bool hasTimedOut =
      Now - Limit.ProbeStartedAt > Limit.Limits.LimitProbeTimeout;
  if (Limit.Probe == ProbeStage::Draining) {
    if (hasTimedOut)
      return endProbe(Limit, Now);
    if (Limit.Running > Limit.effectiveLimit())
      return Limit;
    Limit.Probe = ProbeStage::Measuring;
    return startWindow(Limit, Now);
  }
  ++Limit.WindowSamples;
  // After the timeout, fewer samples are sufficient.
  if (!hasTimedOut && !isWindowComplete(Limit, Now))
    return Limit;
  Limit.UnloadedMicros = meanMicros(Limit);
  return endProbe(Limit, Now);
}

void adjustLimit(ConcurrencyLimit &Limit) {
  double average = meanMicros(Limit);
  lowerUnloadedTime(Limit, average);
  bool slow = Limit.Limits.AdaptToLatency &&
              average > Limit.Limits.Tolerance * Limit.UnloadedMicros;
  if (slow && Limit.WindowPeak > MinDecreaseUse * Limit.Limit)
    Limit.Limit *= Limit.Limits.Decrease;
  else if (!slow && Limit.WindowPeak >= MinIncreaseUse * Limit.Limit)
    Limit.Limit += 1;
  clampLimit(Limit);
}

} // namespace

std::uint32_t ConcurrencyLimit::effectiveLimit() const {
  double limit = Probe == ProbeStage::None ? Limit : Limit * ProbeShare;
  return static_cast<std::uint32_t>(std::max(Limits.MinLimit, limit));
}

ConcurrencyLimit makeConcurrencyLimit(ConcurrencyLimit::Settings Limits,
                                      TimePoint Now) {
  ConcurrencyLimit limit;
  limit.Limits = Limits;
  limit.Limit = Limits.InitialLimit;
  limit.WindowStartedAt = Now;
  limit.RunningSince = Now;
  limit.NextProbeAt = Now + Limits.FirstProbeDelay;
  clampLimit(limit);
  return limit;
}

ConcurrencyLimit withRunning(ConcurrencyLimit Limit, std::uint32_t Running,
                             TimePoint Now) {
  double elapsedMicros =
      static_cast<double>((Now - Limit.RunningSince).count());
  Limit.WindowRequestMicros += elapsedMicros * Limit.Running;
  Limit.Running = Running;
  Limit.RunningSince = Now;
  Limit.WindowPeak = std::max(Limit.WindowPeak, Running);
  return Limit;
}

ConcurrencyLimit afterAnswer(ConcurrencyLimit Limit, TimePoint Now) {
  if (Limit.Probe != ProbeStage::None)
    return updateProbe(Limit, Now);
  if (Limit.Limits.AdaptToLatency && Now >= Limit.NextProbeAt) {
    Limit.Probe = ProbeStage::Draining;
    Limit.ProbeStartedAt = Now;
    return Limit;
  }
  ++Limit.WindowSamples;
  if (!isWindowComplete(Limit, Now))
    return Limit;
  adjustLimit(Limit);
  return startWindow(Limit, Now);
}

ConcurrencyLimit afterOverload(ConcurrencyLimit Limit, TimePoint Now) {
  bool isSameWindow = Now - Limit.WindowStartedAt < Limit.Limits.Window &&
                      Limit.WindowSamples == 0;
  if (isSameWindow)
    return Limit;
  if (Limit.Limits.DecreaseFromRunning)
    Limit.Limit = std::min(Limit.Limit, static_cast<double>(Limit.Running));
  Limit.Limit *= Limit.Limits.Decrease;
  clampLimit(Limit);
  return startWindow(Limit, Now);
}

ConcurrencyLimit withSlots(ConcurrencyLimit Limit, std::uint32_t Slots) {
  double slots = std::max(1.0, static_cast<double>(Slots));
  // A limit at its maximum follows the new maximum.
  bool followsSlots =
      Limit.Limits.AdaptToLatency || Limit.Limit >= Limit.Limits.MaxLimit;
  Limit.Limits.AdaptToLatency = false;
  Limit.Probe = ProbeStage::None;
  Limit.Limits.MaxLimit = slots;
  if (followsSlots)
    Limit.Limit = slots;
  clampLimit(Limit);
  return Limit;
}

} // namespace wasabi
