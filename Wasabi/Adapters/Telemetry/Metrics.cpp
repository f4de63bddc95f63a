#include "Wasabi/Adapters/Telemetry/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>

namespace wasabi {

namespace {

namespace acc = boost::accumulators;

using Estimator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                            acc::tag::extended_p_square>>;

/// Up to this count, quantiles are computed from the values themselves: P²
/// needs some values to initialize its markers.
constexpr std::size_t ExactValues = 32;

/// Returns a quantile of sorted values by the nearest-rank method.
double exactQuantile(const std::vector<double> &Sorted, double Probability) {
  if (Sorted.empty())
    return 0;
  double rank = std::ceil(Probability * static_cast<double>(Sorted.size()));
  std::size_t index = rank < 1 ? 0 : static_cast<std::size_t>(rank) - 1;
  return Sorted[std::min(index, Sorted.size() - 1)];
}

bool isMetricName(std::string_view Name) {
  if (Name.empty() || (Name.front() >= '0' && Name.front() <= '9'))
    return false;
  return std::all_of(Name.begin(), Name.end(), [](char Letter) {
    return (Letter >= 'a' && Letter <= 'z') ||
           (Letter >= '0' && Letter <= '9') || Letter == '_';
  });
}

[[noreturn]] void abortOnMisuse(std::string_view Name) {
  std::fprintf(stderr,
               "metric '%.*s' has an invalid name or label key, or series of "
               "two types\n",
               static_cast<int>(Name.size()), Name.data());
  std::abort();
}

std::string escaped(std::string_view Text) {
  std::string out;
  for (char it : Text) {
    if (it == '\\' || it == '"')
      out += '\\';
    if (it == '\n')
      out += "\\n";
    else
      out += it;
  }
  return out;
}

std::string escapedHelp(std::string_view Text) {
  std::string out;
  for (char it : Text) {
    if (it == '\n')
      out += "\\n";
    else if (it == '\\')
      out += "\\\\";
    else
      out += it;
  }
  return out;
}

std::string labelText(const std::vector<MetricLabel> &Labels) {
  std::string text;
  for (const MetricLabel &it : Labels) {
    text += text.empty() ? "{" : ",";
    text += it.Key + "=\"" + escaped(it.Value) + "\"";
  }
  return text.empty() ? text : text + "}";
}

std::string numberText(double Value) {
  if (std::isnan(Value))
    return "NaN";
  if (std::isinf(Value))
    return Value > 0 ? "+Inf" : "-Inf";
  char buf[32];
  std::snprintf(buf, sizeof buf, "%.10g", Value);
  return buf;
}

std::string sampleLine(std::string_view Name,
                       const std::vector<MetricLabel> &Labels,
                       const std::string &Value) {
  return std::string(Name) + labelText(Labels) + " " + Value + "\n";
}

std::string_view typeText(const Counter &) { return "counter"; }
std::string_view typeText(const Gauge &) { return "gauge"; }
std::string_view typeText(const Quantiles &) { return "summary"; }

std::string seriesText(std::string_view Name,
                       const std::vector<MetricLabel> &Labels,
                       const Counter &Value) {
  return sampleLine(Name, Labels, std::to_string(Value.value()));
}

std::string seriesText(std::string_view Name,
                       const std::vector<MetricLabel> &Labels,
                       const Gauge &Value) {
  return sampleLine(Name, Labels, numberText(Value.value()));
}

std::string seriesText(std::string_view Name,
                       const std::vector<MetricLabel> &Labels,
                       const Quantiles &Value) {
  QuantilesSnapshot result = Value.snapshot();
  std::string text;
  for (std::size_t i = 0; i < result.Estimates.size(); ++i) {
    std::vector<MetricLabel> labels = Labels;
    labels.push_back({"quantile", numberText(Quantiles::probabilities()[i])});
    text += sampleLine(Name, labels, numberText(result.Estimates[i]));
  }
  std::string name(Name);
  text += sampleLine(name + "_sum", Labels, numberText(result.Sum));
  text += sampleLine(name + "_count", Labels, std::to_string(result.Count));
  return text;
}

} // namespace

struct Quantiles::Estimators {
  Estimators()
      : PSquare(acc::extended_p_square_probabilities = probabilities()) {}

  Estimator PSquare;
  /// The first `ExactValues` values.
  std::vector<double> FirstValues;
};

const std::vector<double> &Quantiles::probabilities() {
  static const std::vector<double> values = {0.5, 0.9, 0.99, 0.999};
  return values;
}

Quantiles::Quantiles() : EstimatorState(std::make_unique<Estimators>()) {}
Quantiles::~Quantiles() = default;

void Quantiles::observe(double Value) {
  std::lock_guard<std::mutex> lock(Mutex);
  EstimatorState->PSquare(Value);
  if (EstimatorState->FirstValues.size() < ExactValues)
    EstimatorState->FirstValues.push_back(Value);
}

QuantilesSnapshot Quantiles::snapshot() const {
  std::lock_guard<std::mutex> lock(Mutex);
  QuantilesSnapshot result;
  result.Count = acc::count(EstimatorState->PSquare);
  result.Sum = acc::sum(EstimatorState->PSquare);
  std::vector<double> values = EstimatorState->FirstValues;
  std::sort(values.begin(), values.end());
  if (result.Count <= ExactValues) {
    for (double it : probabilities())
      result.Estimates.push_back(exactQuantile(values, it));
    return result;
  }
  for (double it : acc::extended_p_square(EstimatorState->PSquare))
    result.Estimates.push_back(it);
  return result;
}

template <typename T>
T &Metrics::find(std::string_view Name, std::string_view Help,
                 std::vector<MetricLabel> Labels) {
  if (!isMetricName(Name))
    abortOnMisuse(Name);
  for (const MetricLabel &it : Labels) {
    if (!isMetricName(it.Key))
      abortOnMisuse(Name);
  }
  std::sort(Labels.begin(), Labels.end());
  std::lock_guard<std::mutex> lock(Mutex);
  Family &family = Families[std::string(Name)];
  if (family.Help.empty())
    family.Help = Help;
  // All series of a name have the same type.
  if (!family.SeriesByLabels.empty() &&
      !std::holds_alternative<std::unique_ptr<T>>(
          family.SeriesByLabels.begin()->second))
    abortOnMisuse(Name);
  auto it = family.SeriesByLabels.find(Labels);
  if (it == family.SeriesByLabels.end())
    it = family.SeriesByLabels.emplace(std::move(Labels), std::make_unique<T>())
             .first;
  return *std::get<std::unique_ptr<T>>(it->second);
}

Counter &Metrics::counter(std::string_view Name, std::string_view Help,
                          std::vector<MetricLabel> Labels) {
  return find<Counter>(Name, Help, std::move(Labels));
}

Gauge &Metrics::gauge(std::string_view Name, std::string_view Help,
                      std::vector<MetricLabel> Labels) {
  return find<Gauge>(Name, Help, std::move(Labels));
}

Quantiles &Metrics::quantiles(std::string_view Name, std::string_view Help,
                              std::vector<MetricLabel> Labels) {
  return find<Quantiles>(Name, Help, std::move(Labels));
}

std::string Metrics::render() const {
  std::lock_guard<std::mutex> lock(Mutex);
  std::string text;
  for (const auto &[name, family] : Families) {
    std::string_view type =
        std::visit([](const auto &metric) { return typeText(*metric); },
                   family.SeriesByLabels.begin()->second);
    text += "# HELP " + name + " " + escapedHelp(family.Help) + "\n";
    text += "# TYPE " + name + " " + std::string(type) + "\n";
    for (const auto &[labels, series] : family.SeriesByLabels) {
      text += std::visit(
          [&, &name = name, &labels = labels](const auto &metric) {
            return seriesText(name, labels, *metric);
          },
          series);
    }
  }
  return text;
}

} // namespace wasabi
