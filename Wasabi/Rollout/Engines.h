/// \file
/// The engines available to a trainer, as its owner sees them.
#ifndef WASABI_ROLLOUT_ENGINES_H
#define WASABI_ROLLOUT_ENGINES_H

#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"

#include <cstdint>
#include <map>
#include <string>

namespace wasabi {

/// An engine as last reported by its daemon. An immutable value.
struct ReportedEngine {
  ServerName Name;
  ServiceName Service;
  InstanceName Daemon;
  DomainName Domain;
  /// Address for requests to the daemon.
  Address Where;
  /// 0 if unknown.
  WeightVersion Version = 0;
  /// Maximum number of concurrent requests.
  std::uint32_t Slots = 1;
  /// Reported requests of all callers and trainers.
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  bool Serving = true;
  /// Number of load reports received; unchanged if there is no newer report.
  std::uint64_t Report = 0;
  bool operator==(const ReportedEngine &) const = default;
};

/// An engine with the owner's statistics. A value.
struct EngineState {
  ReportedEngine Seen;
  /// Attempts of this trainer, now and at the time of the last report.
  std::uint32_t OwnAttempts = 0;
  std::uint32_t OwnAttemptsAtReport = 0;
  /// No attempt starts before this time, after a refusal or failure.
  TimePoint NotBefore;
  std::uint32_t Failures = 0;
  /// Number of the owner's last dispatch to this engine.
  std::uint64_t LastDispatchNumber = 0;
  /// Moving average of a stream's rate in tokens per second; 0 if unknown.
  double StreamRate = 0;
  bool operator==(const EngineState &) const = default;
};

using Engines = std::map<ServerName, EngineState>;

/// A trainer's share of its engines.
struct EngineShare {
  /// The trainer's share, and the sum of the shares of all trainers on the
  /// service.
  std::uint32_t Share = 1;
  std::uint32_t TotalShares = 1;
  /// Maximum part of an engine's slots for rollouts, in percent.
  std::uint32_t RolloutPercent = 100;
  bool operator==(const EngineShare &) const = default;
};

/// Returns the number of attempts that may start on the engine. Takes the
/// dispatches since the last report into account. Up to its share a trainer may
/// queue behind others; beyond its share it uses only idle slots. Pure.
std::uint32_t freeSlots(const EngineState &At, const EngineShare &Part,
                        TimePoint Now);

/// Records a refusal or failure: attempts are delayed by `RetryAfter`, or by a
/// back-off that doubles with each failure, whichever is longer. Pure except
/// for `At`.
void backOff(EngineState &At, Millis RetryAfter, TimePoint Now);

/// Adds a stream that generated `Tokens` within `Duration` to the average rate.
/// Ignores empty streams.
void recordStreamRate(EngineState &At, std::uint32_t Tokens, Micros Duration);

/// Returns the median stream rate of the engines with a known rate, in tokens
/// per second; 0 if there are none. Pure.
double medianRate(const Engines &Servers);

} // namespace wasabi

#endif // WASABI_ROLLOUT_ENGINES_H
