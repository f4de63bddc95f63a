/// \file
/// How a bench prints its figures: one JSON object a line on stdout.
#ifndef WASABI_BENCH_REPORT_H
#define WASABI_BENCH_REPORT_H

#include <optional>
#include <string>

namespace wasabi::bench {

/// One measured figure.
struct Measurement {
  /// The bench's name: state, requests, rollout, capacity.
  std::string Bench;
  /// Lower-case words with underscores, size or case last.
  std::string Metric;
  double Value = 0;
  std::string Unit;
  /// The same figure of the baseline in the same run, where one ran.
  std::optional<double> Baseline;
};

/// Prints a figure, with `ratio` = value / baseline where there is one.
/// Thread-safe.
void report(const Measurement &What);

/// Prints progress for a person, on stderr. Thread-safe.
void progress(const std::string &Text);

} // namespace wasabi::bench

#endif // WASABI_BENCH_REPORT_H
