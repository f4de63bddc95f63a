/// \file
/// How fast an engine generates, as its own runs show.
///
/// The load that this answers: engines of one service differ in speed for good,
/// and a step is whole when the last text of nine groups in ten is. A text of
/// the longest tenth has some hundred events and takes seven seconds on an
/// ordinary engine, of the eight in which its trainer stays on time; on one
/// that is 1.3 times slower it takes nine, and every such step makes the
/// trainer later.
#ifndef WASABI_DISPATCH_ENGINEPACE_H
#define WASABI_DISPATCH_ENGINEPACE_H

#include "Wasabi/Core/Clock.h"

#include <cstdint>

namespace wasabi {

/// What is known of one engine's pace. A value.
struct EnginePace {
  /// Smoothed pause between two events of a run, in milliseconds; 0 while none
  /// is known or the last ones are long past.
  double RecentMs = 0;
  /// The same over a much longer time: what the engine is, whatever slows it
  /// now; 0 before the first.
  double LongTermMs = 0;
  /// Pauses noted.
  std::uint32_t Count = 0;
  /// When the last event came.
  TimePoint LastEvent;
  bool operator==(const EnginePace &) const = default;
};

/// How paces are compared.
struct EnginePaceSettings {
  /// A moving average over some seven pauses, in which one that a neighbour's
  /// prompt has stretched is lost.
  double Smoothing = 0.15;
  /// The same for the engine's own pace: some hundred pauses, of several runs.
  /// Not the shortest recent one: events that come in a burst after a stall
  /// would make an engine look many times faster than it is.
  double LongTermSmoothing = 0.01;
  /// An engine's own pace is known after so many pauses.
  std::uint32_t MinEventCount = 50;
  /// An engine without an event for this long may be as fast again as it was:
  /// faults that slow an engine last some seconds, and a trial costs few
  /// events.
  Millis RecentTimeout{4000};
  /// An engine this many times slower than the usual one counts as slow. The
  /// engines' steps differ by a few in a hundred between empty and full.
  double SlowFactor = 1.8;
  /// Engines whose paces differ by less count as alike: a batch that is full
  /// slows the engines known by 15 in a hundred at the most.
  double TierFactor = 1.2;
  /// A text that has come so far belongs to the longer ones: of 16,200 logged
  /// on five deployments 60 to 83 in a hundred ended before, and the others had
  /// 46 to 56 events on average.
  std::uint64_t MinLongTextEvents = 24;
};

/// Notes a pause between two events of one run. Pure but for `Of`.
void recordEventInterval(EnginePace &Of, double EventIntervalMs, TimePoint Now,
                         const EnginePaceSettings &Limits);

/// Forgets what is long past, so that an engine that was slow is tried again.
/// Pure but for `Of`.
void expireRecentPace(EnginePace &Of, TimePoint Now,
                      const EnginePaceSettings &Limits);

/// The engine's own pace, in milliseconds an event; 0 if it is not known. Pure.
double longTermMs(const EnginePace &Of, const EnginePaceSettings &Limits);

/// Whether an engine is slow beside one that takes `MedianMs` (0: unknown).
/// Pure.
bool isSlow(const EnginePace &Of, double MedianMs,
            const EnginePaceSettings &Limits);

/// By how many grades an engine is slower than one that takes `FastQuartileMs`
/// (0: unknown); 0 for an engine of unknown pace. Pure.
std::uint32_t paceTier(const EnginePace &Of, double FastQuartileMs,
                       const EnginePaceSettings &Limits);

} // namespace wasabi

#endif // WASABI_DISPATCH_ENGINEPACE_H
