/// \file
/// The parts of the bench of requests. Each starts a fleet of its own, prints
/// its figures, and gives back what it held against the upstreams' records.
#ifndef WASABI_BENCH_REQUESTSCENARIOS_H
#define WASABI_BENCH_REQUESTSCENARIOS_H

#include "Bench/RequestChecks.h"

namespace wasabi::bench {

/// Prints a figure of this bench.
void reportRequests(const std::string &Metric, double Value,
                    const std::string &Unit,
                    std::optional<double> Baseline = std::nullopt);

/// Prints the counts of what entries and daemons decided, where not 0.
void reportCounters(const std::string &Case, const Decisions &Counts);

/// Prints how calls without a good answer ended, by status and verdict; 0 is
/// for no answer.
void reportFailedCalls(const std::string &Case,
                       const std::vector<CallResult> &Calls);

/// A fleet, or none and a line on stderr.
std::unique_ptr<RequestFleet> startFleet(RequestFleet::Settings Setup);

/// The baseline: random choice, fixed limits, three blind retries, each
/// attempt with half of the deadline.
ClientPolicy makeBaselineClient(Millis Deadline);

/// A load of plain calls through the fleet's entries.
LoadPlan makePlainLoad(const std::string &Load, const RequestFleet &Fleet,
                       double Rate, Millis Span, Millis Deadline);
/// The same load, sent to the upstreams themselves by the blind client.
LoadPlan makeBaselineLoad(LoadPlan Through, const RequestFleet &Fleet);

/// What the upstreams answer in a second, by keeping the first one's slots
/// busy. `Plan` gives the calls.
double measureCapacity(LoadPlan Plan, const RequestFleet &Fleet,
                       std::size_t Slots);

/// Quantile of the good answers' time, in milliseconds.
double goodLatencyQuantile(const std::vector<CallResult> &Calls, double Share);
/// Good answers over all calls.
double goodShare(const std::vector<CallResult> &Calls);

/// Added latency and CPU of one entry and one daemon, against a direct
/// connection to the same upstream.
CorrectnessCounts measureOverhead();
/// CPU for streamed tokens.
CorrectnessCounts measureTokens();
/// Goodput at 0.5, 1, 1.5 and 3 times the capacity.
CorrectnessCounts measureOverload();
/// One of four upstreams ten times slower.
CorrectnessCounts measureSlowUpstream();
/// Two callers that together ask more than there is, one twice the other.
CorrectnessCounts measureFairness();
/// A third of the instances killed at once.
CorrectnessCounts measureKilledInstances();
/// All upstreams break off, hang, or are gone.
CorrectnessCounts measureOutages();
/// Engines whose load reports are late.
CorrectnessCounts measureLateLoad();
/// Prompts with common beginnings.
CorrectnessCounts measureCacheHits();

} // namespace wasabi::bench

#endif // WASABI_BENCH_REQUESTSCENARIOS_H
