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

/// A number that only grows. Thread-safe.
class Counter {
public:
  void add(std::uint64_t Count = 1) {
    Total.fetch_add(Count, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return Total.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> Total{0};
};

/// A number that goes up and down. Thread-safe.
class Gauge {
public:
  void set(double Value) { Now.store(Value, std::memory_order_relaxed); }
  void add(double Change) { Now.fetch_add(Change, std::memory_order_relaxed); }
  double value() const { return Now.load(std::memory_order_relaxed); }

private:
  std::atomic<double> Now{0};
};

/// What a `Quantiles` holds, read at one moment. An immutable value.
struct QuantilesSnapshot {
  /// One estimate per entry of `Quantiles::Probabilities`, in its order.
  std::vector<double> Estimates;
  double Sum = 0;
  std::uint64_t Count = 0;
  bool operator==(const QuantilesSnapshot &) const = default;
};

/// Quantiles of all values since the start, estimated in constant memory by the
/// extended P² algorithm of Boost.Accumulators. Thread-safe: a short lock a
/// value.
class Quantiles {
public:
  /// The quantiles kept.
  static const std::vector<double> &probabilities();

  Quantiles();
  ~Quantiles();
  Quantiles(const Quantiles &) = delete;
  Quantiles &operator=(const Quantiles &) = delete;

  /// Takes one value. Precondition: it is finite.
  void observe(double Value);
  QuantilesSnapshot snapshot() const;

private:
  struct Estimators;
  mutable std::mutex Guard;
  std::unique_ptr<Estimators> Kept;
};

/// The registry. Series live as long as it does, so that callers keep the
/// references they were given. Thread-safe.
class Metrics {
public:
  /// The series of this name and labels, made at the first call.
  /// Preconditions, for all three: the name and label keys are Prometheus names
  /// (`[a-z_][a-z0-9_]*`) and one name stands for one kind; else the program
  /// ends, since this is a slip in its source.
  Counter &counter(std::string_view Name, std::string_view Help,
                   std::vector<MetricLabel> Labels = {});
  Gauge &gauge(std::string_view Name, std::string_view Help,
               std::vector<MetricLabel> Labels = {});
  Quantiles &quantiles(std::string_view Name, std::string_view Help,
                       std::vector<MetricLabel> Labels = {});

  /// All series in the Prometheus text format 0.0.4, sorted by name and labels.
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

  mutable std::mutex Guard;
  std::map<std::string, Family, std::less<>> Families;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_TELEMETRY_METRICS_H
