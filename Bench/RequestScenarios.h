/// \file
/// The cases of the requests bench. Each starts its own fleet, reports its
/// results, and returns the counts of its correctness checks.
#ifndef WASABI_BENCH_REQUESTSCENARIOS_H
#define WASABI_BENCH_REQUESTSCENARIOS_H

#include "Bench/RequestChecks.h"

namespace wasabi::bench {

/// Reports a result of this bench.
void reportRequests(const std::string &Metric, double Value,
                    const std::string &Unit,
                    std::optional<double> Baseline = std::nullopt);

/// Reports the counters of entries and daemons that are not 0.
void reportCounters(const std::string &Case, const CounterTotals &Counts);

/// Reports the number of calls without a good response by status and verdict.
/// Status 0 means no response.
void reportFailedCalls(const std::string &Case,
                       const std::vector<CallResult> &Calls);

/// Starts a fleet. Returns null and logs the error on stderr on failure.
std::unique_ptr<RequestFleet> startFleet(RequestFleet::Settings Setup);

/// Returns the baseline client: random choice, fixed limits and three retries,
/// each attempt with half of the deadline.
ClientPolicy makeBaselineClient(Millis Deadline);

/// Makes a load of plain calls through the fleet's entries.
LoadPlan makePlainLoad(const std::string &Load, const RequestFleet &Fleet,
                       double Rate, Millis Span, Millis Deadline);
/// Makes the same load, sent directly to the upstreams by the baseline client.
LoadPlan makeBaselineLoad(LoadPlan Through, const RequestFleet &Fleet);

/// Returns the upstreams' capacity in responses per second, measured by keeping
/// all slots of the first one busy with calls of `Plan`.
double measureCapacity(LoadPlan Plan, const RequestFleet &Fleet,
                       std::size_t Slots);

/// Returns a quantile of the latency of good responses, in milliseconds.
double goodLatencyQuantile(const std::vector<CallResult> &Calls, double Share);
/// Returns the share of calls with a good response.
double goodShare(const std::vector<CallResult> &Calls);

/// Measures the added latency and CPU time of one entry and one daemon,
/// compared with a direct connection to the same upstream.
CorrectnessCounts measureOverhead();
/// Measures the CPU time for streamed tokens.
CorrectnessCounts measureTokens();
/// Measures goodput at 0.5, 1, 1.5 and 3 times the capacity.
CorrectnessCounts measureOverload();
/// Makes one of four upstreams ten times slower.
CorrectnessCounts measureSlowUpstream();
/// Runs two callers that together exceed the capacity, one at twice the rate of
/// the other.
CorrectnessCounts measureFairness();
/// Kills a third of the instances at once.
CorrectnessCounts measureKilledInstances();
/// Makes all upstreams reset connections, hang, or stop.
CorrectnessCounts measureOutages();
/// Delays the engines' load reports.
CorrectnessCounts measureLateLoad();
/// Sends prompts with shared prefixes.
CorrectnessCounts measureCacheHits();

} // namespace wasabi::bench

#endif // WASABI_BENCH_REQUESTSCENARIOS_H
