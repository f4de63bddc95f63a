/// \file
/// Prints bench results as one JSON object per line on stdout.
#ifndef WASABI_BENCH_REPORT_H
#define WASABI_BENCH_REPORT_H

#include <optional>
#include <string>

namespace wasabi::bench {

/// One measured value.
struct Measurement {
  /// Name of the bench: state, requests, rollout or capacity.
  std::string Bench;
  /// Lower-case words joined by underscores, with the size or case last.
  std::string Metric;
  double Value = 0;
  std::string Unit;
  /// The baseline's value in the same run, if one ran.
  std::optional<double> Baseline;
};

/// Prints a result, with `ratio` = value / baseline if there is a baseline.
/// Thread-safe.
void report(const Measurement &Result);

/// Prints a progress message on stderr. Thread-safe.
void logProgress(const std::string &Text);

} // namespace wasabi::bench

#endif // WASABI_BENCH_REPORT_H
