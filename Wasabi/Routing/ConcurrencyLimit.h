/// \file
/// How many requests a server is given at once: additive increase while it
/// keeps up, multiplicative decrease when its answers slow down or it refuses
/// (docs/design/admission.md).
#ifndef WASABI_ROUTING_CONCURRENCYLIMIT_H
#define WASABI_ROUTING_CONCURRENCYLIMIT_H

#include "Wasabi/Core/Clock.h"

#include <cstdint>

namespace wasabi {

/// How far a measurement of the unloaded time is.
enum class ProbeStage : std::uint8_t {
  /// None is under way.
  None,
  /// Waiting until no more than the lowered limit are at the server.
  Draining,
  /// Taking samples.
  Measuring,
};

/// A value; changed by the functions below.
struct ConcurrencyLimit {
  struct Settings {
    double InitialLimit = 16;
    double MinLimit = 1;
    double MaxLimit = 1024;
    /// Whether slower answers lower the limit. Off for engines, whose answers
    /// differ in length: they say how many they run at once.
    bool AdaptToLatency = true;
    /// Answers slower than this many times the unloaded ones are too slow.
    double Tolerance = 2.0;
    /// Factor of a decrease.
    double Decrease = 0.9;
    /// Whether a refusal for overload lowers the limit from what runs, if that
    /// is less: for a limit that is far above what runs as long as all is well.
    bool DecreaseFromRunning = false;
    /// Samples are judged together over at least this long.
    Millis Window{100};
    /// and at least this many of them.
    std::uint32_t MinWindowSamples = 10;
    /// How often the unloaded time is measured anew, at a quarter of the limit.
    Millis ProbePeriod{10000};
    /// The first time, since the limit at the start is a guess.
    Millis FirstProbeDelay{1000};
    /// A measurement that takes longer ends with what it has.
    Millis LimitProbeTimeout{2000};
    bool operator==(const Settings &) const = default;
  };

  Settings Limits;
  double Limit = Settings().InitialLimit;
  /// Average time of an answer from an unloaded server, in microseconds; 0 for
  /// unknown.
  double UnloadedMicros = 0;
  TimePoint WindowBegan;
  /// Time spent at the server by all requests together, in microseconds. Over
  /// the answers it is an answer's mean time by Little's law, which counts also
  /// those that an unfair server lets wait and never answers.
  double WindowRequestMicros = 0;
  std::uint32_t WindowSamples = 0;
  /// Requests at the server, and since when.
  std::uint32_t Running = 0;
  TimePoint RunningSince;
  /// Most requests at once within the window.
  std::uint32_t WindowPeak = 0;
  ProbeStage Probe = ProbeStage::None;
  TimePoint NextProbe;
  TimePoint ProbeBegan;
  bool operator==(const ConcurrencyLimit &) const = default;

  /// How many may run now, in whole requests.
  std::uint32_t whole() const;
};

/// A limit as at the start. Pure.
ConcurrencyLimit makeConcurrencyLimit(ConcurrencyLimit::Settings Limits,
                                      TimePoint Now);

/// The limit from now on with `Running` requests at the server. Call it after
/// each start and end. Pure.
ConcurrencyLimit withRunning(ConcurrencyLimit Limit, std::uint32_t Running,
                             TimePoint Now);

/// The limit after a whole answer. Precondition: `withRunning` has told of its
/// end. Pure.
ConcurrencyLimit afterAnswer(ConcurrencyLimit Limit, TimePoint Now);

/// The limit after the server refused for overload or timed out; it falls at
/// most once a window. Pure.
ConcurrencyLimit afterOverload(ConcurrencyLimit Limit, TimePoint Now);

/// The limit once the server said how many it runs at once: latency no longer
/// counts, and the limit begins at what it said. Pure.
ConcurrencyLimit withSlots(ConcurrencyLimit Limit, std::uint32_t Slots);

} // namespace wasabi

#endif // WASABI_ROUTING_CONCURRENCYLIMIT_H
