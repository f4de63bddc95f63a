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
void reportDecisions(const std::string &Case, const Decisions &Counts);

/// Added latency and CPU of one entry and one daemon, against a direct
/// connection to the same upstream.
Faithfulness measureOverhead();

/// CPU for streamed tokens.
Faithfulness measureTokens();

} // namespace wasabi::bench

#endif // WASABI_BENCH_REQUESTSCENARIOS_H
