/// \file
/// How many requests a server is given at once: additive increase while it
/// keeps up, multiplicative decrease when its answers slow down or it refuses
/// (docs/design/admission.md).
#ifndef WASABI_ROUTING_CONCURRENCYLIMIT_H
#define WASABI_ROUTING_CONCURRENCYLIMIT_H

#include "Wasabi/Core/Clock.h"

#include <cstdint>

namespace wasabi {

/// A value; changed by the functions below.
struct ConcurrencyLimit {
  struct Settings {
    double Start = 16;
    double Least = 1;
    double Most = 1024;
    /// Whether slower answers lower the limit. Off for engines, whose answers
    /// differ in length: they say how many they run at once.
    bool ByLatency = true;
    /// Answers slower than this many times the unloaded ones are too slow.
    double Tolerance = 2.0;
    /// Factor of a decrease.
    double Decrease = 0.9;
    /// Samples are judged together over at least this long.
    Millis Window{100};
    /// and at least this many of them.
    std::uint32_t LeastSamples = 10;
    bool operator==(const Settings &) const = default;
  };

  Settings Limits;
  double Limit = Settings().Start;
  /// Average time of an answer while the server is little loaded, in
  /// microseconds; 0 for unknown.
  double UnloadedMicros = 0;
  TimePoint WindowBegan;
  double WindowMicros = 0;
  std::uint32_t WindowSamples = 0;
  /// Most requests at once within the window.
  std::uint32_t WindowPeak = 0;
  bool operator==(const ConcurrencyLimit &) const = default;

  /// The limit in whole requests.
  std::uint32_t whole() const { return static_cast<std::uint32_t>(Limit); }
};

/// A limit as at the start. Pure.
ConcurrencyLimit makeConcurrencyLimit(ConcurrencyLimit::Settings Limits,
                                      TimePoint Now);

/// The limit after a whole answer that took `Took` while `Running` requests,
/// itself included, were at the server. Pure.
ConcurrencyLimit afterAnswer(ConcurrencyLimit Limit, Micros Took,
                             std::uint32_t Running, TimePoint Now);

/// The limit after the server refused for overload or timed out; it falls at
/// most once a window. Pure.
ConcurrencyLimit afterOverload(ConcurrencyLimit Limit, TimePoint Now);

/// The limit once the server said how many it runs at once: latency no longer
/// counts, and the limit begins at what it said. Pure.
ConcurrencyLimit withSlots(ConcurrencyLimit Limit, std::uint32_t Slots);

} // namespace wasabi

#endif // WASABI_ROUTING_CONCURRENCYLIMIT_H
