/// \file
/// Decides when a request that is in flight at one server is sent to a second
/// one as well (a hedged request).
#ifndef WASABI_UPSTREAM_HEDGING_H
#define WASABI_UPSTREAM_HEDGING_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Quarantine/CrashHistory.h"
#include "Wasabi/Routing/RetryBudget.h"
#include "Wasabi/Upstream/RouteTable.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace wasabi {

/// The most recent latencies of a route at a service.
struct RecentLatencies {
  /// In milliseconds; in no particular order once the window is full.
  std::vector<double> Samples;
  /// Index of the sample that is replaced next.
  std::size_t Oldest = 0;
  bool operator==(const RecentLatencies &) const = default;
};

/// Latencies and budget of one process's hedged requests. Owned by one thread.
struct Hedging {
  struct Settings {
    /// A request is hedged once it is older than this quantile of the recent
    /// latencies of its route at its service.
    double LatencyQuantile = 0.95;
    /// Minimum delay of the second attempt. Shorter delays are within the
    /// jitter of a busy process.
    Millis MinDelay{10};
    /// Maximum delay as a fraction of the route's latency target; leaves the
    /// second attempt the rest of it.
    double MaxDelayShare = 0.5;
    /// Number of latencies that must be known before their quantile is used. A
    /// 95th percentile of fewer samples is their maximum.
    std::size_t MinSamples = 20;
    /// Number of latencies that are kept.
    std::size_t MaxSamples = 100;
    /// Bounds hedges to 1 in 20 requests over time.
    RetryBudget::Settings Budget{.TokensPerSuccess = 0.05, .MaxTokens = 3.0};
    bool operator==(const Settings &) const = default;
  };

  Settings Limits;
  RetryBudget Budget;
  std::map<std::pair<std::string, ServiceName>, RecentLatencies> Latencies;
};

/// Returns the state of a process that has seen no request. Its budget is
/// empty: a process may see fewer requests than a full budget allows hedges.
/// Pure.
Hedging makeHedging(const Hedging::Settings &Limits);

/// Returns true if requests of a route may be hedged at all: they may run more
/// than once, and on more than one server. Pure.
bool isHedgeable(const UpstreamRoute &Route);

/// Returns true if a request may be sent to one more server while an attempt is
/// in flight. `Runs` is the number of attempts that a server may have run,
/// including those in flight. Pure.
bool mayHedge(const UpstreamRoute &Route, std::uint32_t Runs,
              CrashStatus Status);

/// Adds the budget of one new request of a hedgeable route.
void addRequest(Hedging &State);

/// Records the latency of an attempt, in milliseconds.
void addLatency(Hedging &State, const std::string &Route,
                const ServiceName &Service, double LatencyMs);

/// Returns the age at which an attempt is hedged: the quantile of the recent
/// latencies within the limits of the settings, or the maximum delay while too
/// few latencies are known. Pure.
Micros hedgeDelay(const Hedging &State, const UpstreamRoute &Route,
                  const ServiceName &Service);

/// Returns the age at which a trial request to a server that looks slow is
/// hedged: twice the typical latency of the service, in milliseconds. The
/// caller should not pay for finding out whether the server has recovered.
/// Pure.
Micros trialHedgeDelay(double TypicalMs);

/// An attempt in flight and the best server for a second one. All times are in
/// milliseconds. An immutable value.
struct HedgeCandidate {
  /// Age of the attempt in flight.
  double AgeMs = 0;
  /// Expected completion time of a request at the server of the attempt in
  /// flight, counted from its start.
  double FirstExpectedMs = 0;
  /// Expected completion time of one more request at the other server.
  double SecondExpectedMs = 0;
  /// Time until the deadline of the request.
  double RemainingMs = 0;
  bool operator==(const HedgeCandidate &) const = default;
};

/// Returns true if the second attempt is expected to be answered in time and
/// before the first one. An attempt that is older than expected is assumed to
/// take as long again, since the cause of its delay is unknown. Pure.
bool isHedgeUseful(const HedgeCandidate &Candidate);

} // namespace wasabi

#endif // WASABI_UPSTREAM_HEDGING_H
