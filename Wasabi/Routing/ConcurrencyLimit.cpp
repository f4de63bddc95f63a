#include "Wasabi/Routing/ConcurrencyLimit.h"

#include <algorithm>

namespace wasabi {
namespace {

/// Weight of a window that was faster than an unloaded one is believed to be.
constexpr double FasterWeight = 0.3;
/// A slow window lowers the limit only while at least this share is in use.
constexpr double BusyShare = 0.5;
/// The limit grows only while at least this share of it is in use.
constexpr double UsedShare = 0.8;
/// Share of the limit at which the unloaded time is measured. A limit that
/// stands at `Tolerance` times what the server runs at once is well below it.
constexpr double ProbeShare = 0.25;

ConcurrencyLimit freshWindow(ConcurrencyLimit Limit, TimePoint Now) {
  Limit.WindowBegan = Now;
  Limit.WindowRequestMicros = 0;
  Limit.WindowSamples = 0;
  Limit.WindowPeak = Limit.Running;
  return Limit;
}

void clamp(ConcurrencyLimit &Limit) {
  Limit.Limit =
      std::clamp(Limit.Limit, Limit.Limits.MinLimit, Limit.Limits.MaxLimit);
}

/// What is faster than the unloaded time corrects it; that it has become slower
/// only a measurement may tell, or overload would pass for normal.
void learnFaster(ConcurrencyLimit &Limit, double Average) {
  if (Limit.UnloadedMicros <= 0)
    Limit.UnloadedMicros = Average;
  else if (Average < Limit.UnloadedMicros)
    Limit.UnloadedMicros += FasterWeight * (Average - Limit.UnloadedMicros);
}

ConcurrencyLimit endProbe(ConcurrencyLimit Limit, TimePoint Now) {
  Limit.Probe = ProbeStage::None;
  Limit.NextProbe = Now + Limit.Limits.ProbePeriod;
  return freshWindow(Limit, Now);
}

bool windowIsWhole(const ConcurrencyLimit &Limit, TimePoint Now) {
  return Now - Limit.WindowBegan >= Limit.Limits.Window &&
         Limit.WindowSamples >= Limit.Limits.MinWindowSamples;
}

double meanMicros(const ConcurrencyLimit &Limit) {
  return Limit.WindowRequestMicros / std::max(1u, Limit.WindowSamples);
}

/// One answer while the unloaded time is measured.
ConcurrencyLimit probe(ConcurrencyLimit Limit, TimePoint Now) {
  bool late = Now - Limit.ProbeBegan > Limit.Limits.LimitProbeTimeout;
  if (Limit.Probe == ProbeStage::Draining) {
    if (late)
      return endProbe(Limit, Now);
    if (Limit.Running > Limit.whole())
      return Limit;
    Limit.Probe = ProbeStage::Measuring;
    return freshWindow(Limit, Now);
  }
  ++Limit.WindowSamples;
  // A server that answers seldom is believed by fewer answers.
  if (!late && !windowIsWhole(Limit, Now))
    return Limit;
  Limit.UnloadedMicros = meanMicros(Limit);
  return endProbe(Limit, Now);
}

void judge(ConcurrencyLimit &Limit) {
  double average = meanMicros(Limit);
  learnFaster(Limit, average);
  bool slow = Limit.Limits.AdaptToLatency &&
              average > Limit.Limits.Tolerance * Limit.UnloadedMicros;
  if (slow && Limit.WindowPeak > BusyShare * Limit.Limit)
    Limit.Limit *= Limit.Limits.Decrease;
  else if (!slow && Limit.WindowPeak >= UsedShare * Limit.Limit)
    Limit.Limit += 1;
  clamp(Limit);
}

} // namespace

std::uint32_t ConcurrencyLimit::whole() const {
  double now = Probe == ProbeStage::None ? Limit : Limit * ProbeShare;
  return static_cast<std::uint32_t>(std::max(Limits.MinLimit, now));
}

ConcurrencyLimit makeConcurrencyLimit(ConcurrencyLimit::Settings Limits,
                                      TimePoint Now) {
  ConcurrencyLimit limit;
  limit.Limits = Limits;
  limit.Limit = Limits.InitialLimit;
  limit.WindowBegan = Now;
  limit.RunningSince = Now;
  limit.NextProbe = Now + Limits.FirstProbeDelay;
  clamp(limit);
  return limit;
}

ConcurrencyLimit withRunning(ConcurrencyLimit Limit, std::uint32_t Running,
                             TimePoint Now) {
  double passed = static_cast<double>((Now - Limit.RunningSince).count());
  Limit.WindowRequestMicros += passed * Limit.Running;
  Limit.Running = Running;
  Limit.RunningSince = Now;
  Limit.WindowPeak = std::max(Limit.WindowPeak, Running);
  return Limit;
}

ConcurrencyLimit afterAnswer(ConcurrencyLimit Limit, TimePoint Now) {
  if (Limit.Probe != ProbeStage::None)
    return probe(Limit, Now);
  if (Limit.Limits.AdaptToLatency && Now >= Limit.NextProbe) {
    Limit.Probe = ProbeStage::Draining;
    Limit.ProbeBegan = Now;
    return Limit;
  }
  ++Limit.WindowSamples;
  if (!windowIsWhole(Limit, Now))
    return Limit;
  judge(Limit);
  return freshWindow(Limit, Now);
}

ConcurrencyLimit afterOverload(ConcurrencyLimit Limit, TimePoint Now) {
  bool again =
      Now - Limit.WindowBegan < Limit.Limits.Window && Limit.WindowSamples == 0;
  if (again)
    return Limit;
  if (Limit.Limits.DecreaseFromRunning)
    Limit.Limit = std::min(Limit.Limit, static_cast<double>(Limit.Running));
  Limit.Limit *= Limit.Limits.Decrease;
  clamp(Limit);
  return freshWindow(Limit, Now);
}

ConcurrencyLimit withSlots(ConcurrencyLimit Limit, std::uint32_t Slots) {
  double most = std::max(1.0, static_cast<double>(Slots));
  // A limit that stood at its bound follows it.
  bool follows =
      Limit.Limits.AdaptToLatency || Limit.Limit >= Limit.Limits.MaxLimit;
  Limit.Limits.AdaptToLatency = false;
  Limit.Probe = ProbeStage::None;
  Limit.Limits.MaxLimit = most;
  if (follows)
    Limit.Limit = most;
  clamp(Limit);
  return Limit;
}

} // namespace wasabi
