#include "Wasabi/Routing/ConcurrencyLimit.h"

#include <algorithm>

namespace wasabi {
namespace {

/// Weight of a lightly loaded window in the average of unloaded answers.
constexpr double UnloadedWeight = 0.1;
/// A window is lightly loaded below this share of the limit.
constexpr double LightShare = 0.5;
/// The limit grows only while at least this share of it is in use.
constexpr double UsedShare = 0.8;

ConcurrencyLimit freshWindow(ConcurrencyLimit Limit, TimePoint Now) {
  Limit.WindowBegan = Now;
  Limit.WindowMicros = 0;
  Limit.WindowSamples = 0;
  Limit.WindowPeak = 0;
  return Limit;
}

void clamp(ConcurrencyLimit &Limit) {
  Limit.Limit = std::clamp(Limit.Limit, Limit.Limits.Least, Limit.Limits.Most);
}

/// Learns how long an unloaded answer takes: what is faster counts at once,
/// what is slower only while the server is little loaded.
void learnUnloaded(ConcurrencyLimit &Limit, double Average) {
  if (Limit.UnloadedMicros <= 0 || Average < Limit.UnloadedMicros) {
    Limit.UnloadedMicros = Average;
    return;
  }
  if (Limit.WindowPeak <= LightShare * Limit.Limit)
    Limit.UnloadedMicros += UnloadedWeight * (Average - Limit.UnloadedMicros);
}

void judge(ConcurrencyLimit &Limit) {
  double average = Limit.WindowMicros / Limit.WindowSamples;
  learnUnloaded(Limit, average);
  bool slow = Limit.Limits.ByLatency &&
              average > Limit.Limits.Tolerance * Limit.UnloadedMicros;
  if (slow && Limit.WindowPeak > LightShare * Limit.Limit)
    Limit.Limit *= Limit.Limits.Decrease;
  else if (!slow && Limit.WindowPeak >= UsedShare * Limit.Limit)
    Limit.Limit += 1;
  clamp(Limit);
}

} // namespace

ConcurrencyLimit makeConcurrencyLimit(ConcurrencyLimit::Settings Limits,
                                      TimePoint Now) {
  ConcurrencyLimit limit;
  limit.Limits = Limits;
  limit.Limit = Limits.Start;
  limit.WindowBegan = Now;
  clamp(limit);
  return limit;
}

ConcurrencyLimit afterAnswer(ConcurrencyLimit Limit, Micros Took,
                             std::uint32_t Running, TimePoint Now) {
  Limit.WindowMicros += static_cast<double>(Took.count());
  ++Limit.WindowSamples;
  Limit.WindowPeak = std::max(Limit.WindowPeak, Running);
  bool whole = Now - Limit.WindowBegan >= Limit.Limits.Window &&
               Limit.WindowSamples >= Limit.Limits.LeastSamples;
  if (!whole)
    return Limit;
  judge(Limit);
  return freshWindow(Limit, Now);
}

ConcurrencyLimit afterOverload(ConcurrencyLimit Limit, TimePoint Now) {
  bool again =
      Now - Limit.WindowBegan < Limit.Limits.Window && Limit.WindowSamples == 0;
  if (again)
    return Limit;
  Limit.Limit *= Limit.Limits.Decrease;
  clamp(Limit);
  return freshWindow(Limit, Now);
}

ConcurrencyLimit withSlots(ConcurrencyLimit Limit, std::uint32_t Slots) {
  double most = std::max(1.0, static_cast<double>(Slots));
  // A limit that stood at its bound follows it.
  bool follows = Limit.Limits.ByLatency || Limit.Limit >= Limit.Limits.Most;
  Limit.Limits.ByLatency = false;
  Limit.Limits.Most = most;
  if (follows)
    Limit.Limit = most;
  clamp(Limit);
  return Limit;
}

} // namespace wasabi
