/// \file
/// The engines that a trainer's samples may run on, as its owner sees them.
#ifndef WASABI_ROLLOUT_ENGINES_H
#define WASABI_ROLLOUT_ENGINES_H

#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"

#include <cstdint>
#include <map>
#include <string>

namespace wasabi {

/// One engine as its daemon reported it last. An immutable value.
struct ReportedEngine {
  ServerName Name;
  ServiceName Service;
  InstanceName Daemon;
  DomainName Domain;
  /// Where its daemon takes requests.
  Address Where;
  /// As reported; 0 for unknown.
  WeightVersion Version = 0;
  /// Requests it runs at once.
  std::uint32_t Slots = 1;
  /// Requests of all callers and trainers there, as reported.
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  bool Serving = true;
  /// Counts the load reports: the same one again is no news.
  std::uint64_t Report = 0;
  bool operator==(const ReportedEngine &) const = default;
};

/// An engine and what its owner did with it. A value.
struct EngineState {
  ReportedEngine Seen;
  /// Attempts of this trainer there now, and when it was reported.
  std::uint32_t Own = 0;
  std::uint32_t OwnAttemptsAtReport = 0;
  /// No new attempt before this, after a refusal or a failure.
  TimePoint NotBefore;
  std::uint32_t Failures = 0;
  /// Counts the dispatches of its owner; the last one that went here.
  std::uint64_t LastDispatchNumber = 0;
  /// Tokens a second of one stream, a moving average; 0 until one ended.
  double StreamRate = 0;
  bool operator==(const EngineState &) const = default;
};

using Engines = std::map<ServerName, EngineState>;

/// A trainer's part of its engines.
struct EngineShare {
  /// Its share, and the sum of shares of all trainers on the service.
  std::uint32_t Share = 1;
  std::uint32_t TotalShares = 1;
  /// Most of an engine that rollouts may hold, in percent.
  std::uint32_t RolloutPercent = 100;
  bool operator==(const EngineShare &) const = default;
};

/// Attempts that may begin there now. Own dispatches since the report correct
/// its lag. Up to its share a trainer may queue behind others; beyond it, it
/// only takes what stands idle, so that others get theirs as samples end. Pure.
std::uint32_t freeSlots(const EngineState &At, const EngineShare &Part,
                        TimePoint Now);

/// Notes a refusal or failure: no attempt before a delay that doubles with each
/// further failure, or before `RetryAfter`. Pure but for `At`.
void backOff(EngineState &At, Millis RetryAfter, TimePoint Now);

/// Notes that a stream sent `Tokens` in `Took`; nothing without any.
void recordStreamRate(EngineState &At, std::uint32_t Tokens, Micros Took);

/// The median rate of a stream over the engines that have one; 0 for none.
/// Pure.
double medianRate(const Engines &All);

} // namespace wasabi

#endif // WASABI_ROLLOUT_ENGINES_H
