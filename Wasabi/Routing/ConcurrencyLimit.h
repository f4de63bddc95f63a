/// \file
/// Adaptive limit of the concurrent requests at a server: additive increase
/// while the server keeps up, multiplicative decrease when its latency grows or
/// it refuses requests (docs/design/admission.md).
#ifndef WASABI_ROUTING_CONCURRENCYLIMIT_H
#define WASABI_ROUTING_CONCURRENCYLIMIT_H

#include "Wasabi/Core/Clock.h"

#include <cstdint>

namespace wasabi {

/// Stage of a probe, which measures the latency of the unloaded server.
enum class ProbeStage : std::uint8_t {
  /// No probe is in progress.
  None,
  /// Waiting until the requests in flight are within the lowered limit.
  Draining,
  /// Collecting samples at the lowered limit.
  Measuring,
};

/// State of one limit. A value; the functions below return the updated state.
struct ConcurrencyLimit {
  struct Settings {
    double InitialLimit = 16;
    double MinLimit = 1;
    double MaxLimit = 1024;
    /// True if higher latency lowers the limit. False for engines: the length
    /// of their answers varies, and they report their number of slots.
    bool AdaptToLatency = true;
    /// Latency above this multiple of the unloaded latency lowers the limit.
    double Tolerance = 2.0;
    /// Factor that a decrease multiplies the limit by, below 1.
    double Decrease = 0.9;
    /// True if a refusal for overload lowers the limit from the number of
    /// running requests where that is lower. For a limit that is usually far
    /// above the number of running requests.
    bool DecreaseFromRunning = false;
    /// Minimum duration of a measurement window.
    Millis Window{100};
    /// Minimum number of samples in a measurement window.
    std::uint32_t MinWindowSamples = 10;
    /// Time from the end of a probe to the next one. A probe measures the
    /// unloaded latency at a reduced limit.
    Millis LimitProbeInterval{10000};
    /// Time until the first probe; short, as the initial limit is an estimate.
    Millis FirstProbeDelay{1000};
    /// A probe that takes longer ends: without a result while it drains,
    /// otherwise with the samples that it has.
    Millis LimitProbeTimeout{2000};
    bool operator==(const Settings &) const = default;
  };

  Settings Limits;
  double Limit = Settings().InitialLimit;
  /// Mean latency of the unloaded server, in microseconds; 0 if unknown.
  double UnloadedMicros = 0;
  TimePoint WindowStartedAt;
  /// Total time that all requests have spent at the server in this window, in
  /// microseconds. Divided by the number of answers it is the mean latency by
  /// Little's law, including requests that are not answered yet.
  double WindowRequestMicros = 0;
  std::uint32_t WindowSamples = 0;
  /// Requests at the server since `RunningSince`.
  std::uint32_t Running = 0;
  TimePoint RunningSince;
  /// Maximum number of concurrent requests within the window.
  std::uint32_t WindowPeak = 0;
  ProbeStage Probe = ProbeStage::None;
  TimePoint NextProbeAt;
  TimePoint ProbeStartedAt;
  bool operator==(const ConcurrencyLimit &) const = default;

  /// Returns the number of requests that may run now; lower during a probe.
  std::uint32_t effectiveLimit() const;
};

/// Returns the initial state. Pure.
ConcurrencyLimit makeConcurrencyLimit(ConcurrencyLimit::Settings Limits,
                                      TimePoint Now);

/// Returns the state with `Running` requests at the server from `Now` on. Call
/// it after each start and end of a request. Pure.
ConcurrencyLimit withRunning(ConcurrencyLimit Limit, std::uint32_t Running,
                             TimePoint Now);

/// Returns the state after a complete answer. Precondition: `withRunning` was
/// called for the end of that request. Pure.
ConcurrencyLimit afterAnswer(ConcurrencyLimit Limit, TimePoint Now);

/// Returns the state after the server refused a request for overload or timed
/// out. Repeated calls lower the limit at most once per window until an answer
/// arrives. Pure.
ConcurrencyLimit afterOverload(ConcurrencyLimit Limit, TimePoint Now);

/// Returns the state after the server reported its number of concurrent
/// requests: latency no longer changes the limit, and `Slots` is its maximum
/// (at least 1). Pure.
ConcurrencyLimit withSlots(ConcurrencyLimit Limit, std::uint32_t Slots);

} // namespace wasabi

#endif // WASABI_ROUTING_CONCURRENCYLIMIT_H
