/// \file
/// Counters, gauges and quantiles of one process, rendered as Prometheus text.
#ifndef WASABI_ADAPTERS_TELEMETRY_METRICS_H
#define WASABI_ADAPTERS_TELEMETRY_METRICS_H

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wasabi {

/// One label of a time series. An immutable value.
struct MetricLabel {
  std::string Key;
  std::string Value;
  auto operator<=>(const MetricLabel &) const = default;
};

/// A monotonically increasing number. Thread-safe.
class Counter {
public:
  void add(std::uint64_t Count = 1) {
    Total.fetch_add(Count, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return Total.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> Total{0};
};

/// A number that can increase and decrease. Thread-safe.
class Gauge {
public:
  void set(double Value) { Current.store(Value, std::memory_order_relaxed); }
  void add(double Change) {
    Current.fetch_add(Change, std::memory_order_relaxed);
  }
  double value() const { return Current.load(std::memory_order_relaxed); }

private:
  std::atomic<double> Current{0};
};

/// A snapshot of a `Quantiles`. An immutable value.
struct QuantilesSnapshot {
  /// One estimate per entry of `Quantiles::probabilities`, in the same order.
  std::vector<double> Estimates;
  double Sum = 0;
  std::uint64_t Count = 0;
  bool operator==(const QuantilesSnapshot &) const = default;
};

/// Quantiles of all values since the start, estimated in constant memory by the
/// extended P² algorithm of Boost.Accumulators. Thread-safe; each access takes
/// a lock.
class Quantiles {
public:
  /// The probabilities for which quantiles are estimated.
  static const std::vector<double> &probabilities();

  Quantiles();
  ~Quantiles();
  Quantiles(const Quantiles &) = delete;
  Quantiles &operator=(const Quantiles &) = delete;

  /// Adds one value. Precondition: it is finite.
  void observe(double Value);
  QuantilesSnapshot snapshot() const;

private:
  struct Estimators;
  mutable std::mutex Mutex;
  std::unique_ptr<Estimators> EstimatorState;
};

/// The registry of all series of a process. References to series stay valid as
/// long as the registry exists. Thread-safe.
class Metrics {
public:
  /// Returns the series with this name and these labels; creates it at the
  /// first call. Preconditions, for all three functions: the name and the label
  /// keys match `[a-z_][a-z0-9_]*`, and all series of a name have the same
  /// type. Violations abort the program.
  Counter &counter(std::string_view Name, std::string_view Help,
                   std::vector<MetricLabel> Labels = {});
  Gauge &gauge(std::string_view Name, std::string_view Help,
               std::vector<MetricLabel> Labels = {});
  Quantiles &quantiles(std::string_view Name, std::string_view Help,
                       std::vector<MetricLabel> Labels = {});

  /// Returns all series in the Prometheus text format 0.0.4, sorted by name and
  /// labels.
  std::string render() const;

private:
  using Series = std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>,
                              std::unique_ptr<Quantiles>>;
  struct Family {
    std::string Help;
    std::map<std::vector<MetricLabel>, Series> SeriesByLabels;
  };

  template <typename T>
  T &find(std::string_view Name, std::string_view Help,
          std::vector<MetricLabel> Labels);

  mutable std::mutex Mutex;
  std::map<std::string, Family, std::less<>> Families;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_TELEMETRY_METRICS_H
