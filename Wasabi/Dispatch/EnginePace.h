/// \file
/// Estimates how fast an engine generates from the intervals between the events
/// of its runs. Engines differ in speed permanently, and long texts on slow
/// engines delay their step: a text of some hundred events takes 7 s on an
/// ordinary engine, of the 8 s in which its trainer stays on time, and 9 s on
/// one that is 1.3 times slower.
#ifndef WASABI_DISPATCH_ENGINEPACE_H
#define WASABI_DISPATCH_ENGINEPACE_H

#include "Wasabi/Core/Clock.h"

#include <cstdint>

namespace wasabi {

/// Estimated pace of one engine.
struct EnginePace {
  /// Moving average of the interval between two events of a run, in
  /// milliseconds; 0 if unknown or expired.
  double RecentMs = 0;
  /// Average over a much longer time, in milliseconds, hardly affected by
  /// temporary faults; 0 before the first interval.
  double LongTermMs = 0;
  /// Number of recorded intervals.
  std::uint32_t Count = 0;
  /// Time of the last event.
  TimePoint LastEvent;
  bool operator==(const EnginePace &) const = default;
};

/// Parameters of the estimate and of comparisons between engines.
struct EnginePaceSettings {
  /// Weight of a new interval in `RecentMs`. Small enough that a single
  /// interval stretched by the prompt of another run has little effect.
  double Smoothing = 0.15;
  /// Minimum weight of a new interval in `LongTermMs`. An average, not a
  /// minimum: a burst of events after a stall must not make an engine look
  /// faster.
  double LongTermSmoothing = 0.01;
  /// Number of intervals from which on the long-term pace is known.
  std::uint32_t MinEventCount = 50;
  /// The recent pace expires if there was no event for this long, so that an
  /// engine that was slow gets runs again.
  Millis RecentTimeout{4000};
  /// An engine is slow if its recent interval exceeds the median by this
  /// factor.
  double SlowFactor = 1.8;
  /// Ratio between the paces of two successive tiers. Greater than the slowdown
  /// by a full batch, which is 15% at the most.
  double TierFactor = 1.2;
  /// Number of events from which on a text counts as long. Of 16,200 texts on
  /// five deployments 60 to 83% were shorter, and the others had 46 to 56
  /// events on average.
  std::uint64_t MinLongTextEvents = 24;
};

/// Records the interval between two events of one run, which ended at `Now`.
void recordEventInterval(EnginePace &Pace, double EventIntervalMs,
                         TimePoint Now, const EnginePaceSettings &Limits);

/// Resets the recent pace if it has expired.
void expireRecentPace(EnginePace &Pace, TimePoint Now,
                      const EnginePaceSettings &Limits);

/// Returns the long-term pace in milliseconds per event; 0 if unknown. Pure.
double longTermMs(const EnginePace &Pace, const EnginePaceSettings &Limits);

/// Returns true if the recent pace is slow compared with `MedianMs`, the median
/// of all engines in milliseconds per event (0: unknown). Pure.
bool isSlow(const EnginePace &Pace, double MedianMs,
            const EnginePaceSettings &Limits);

/// Returns by how many tiers the engine is slower than `FastQuartileMs`, in
/// milliseconds per event (0: unknown). Judged by its long-term pace, or by its
/// recent one if it is slow compared with its own long-term pace. 0 if the
/// engine's pace is unknown. Pure.
std::uint32_t paceTier(const EnginePace &Pace, double FastQuartileMs,
                       const EnginePaceSettings &Limits);

} // namespace wasabi

#endif // WASABI_DISPATCH_ENGINEPACE_H
