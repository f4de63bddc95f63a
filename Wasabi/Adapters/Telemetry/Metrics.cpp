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

/// Below this many values P² has not set all its markers: the values
/// themselves are kept until then.
constexpr std::size_t ExactValues = 32;

/// The quantile of sorted values, by nearest rank.
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
  return std::all_of(Name.begin(), Name.end(), [](char Sign) {
    return (Sign >= 'a' && Sign <= 'z') || (Sign >= '0' && Sign <= '9') ||
           Sign == '_';
  });
}

[[noreturn]] void endOnMisuse(std::string_view Name) {
  std::fprintf(stderr, "metric '%.*s' is misnamed or of two kinds\n",
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

std::string_view kindText(const Counter &) { return "counter"; }
std::string_view kindText(const Gauge &) { return "gauge"; }
std::string_view kindText(const Quantiles &) { return "summary"; }

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
  QuantilesSnapshot read = Value.snapshot();
  std::string text;
  for (std::size_t i = 0; i < read.Estimates.size(); ++i) {
    std::vector<MetricLabel> labels = Labels;
    labels.push_back({"quantile", numberText(Quantiles::probabilities()[i])});
    text += sampleLine(Name, labels, numberText(read.Estimates[i]));
  }
  std::string name(Name);
  text += sampleLine(name + "_sum", Labels, numberText(read.Sum));
  text += sampleLine(name + "_count", Labels, std::to_string(read.Count));
  return text;
}

} // namespace

struct Quantiles::Estimators {
  Estimators()
      : Squares(acc::extended_p_square_probabilities = probabilities()) {}

  Estimator Squares;
  /// All values while they are few.
  std::vector<double> Few;
};

const std::vector<double> &Quantiles::probabilities() {
  static const std::vector<double> kept = {0.5, 0.9, 0.99, 0.999};
  return kept;
}

Quantiles::Quantiles() : Kept(std::make_unique<Estimators>()) {}
Quantiles::~Quantiles() = default;

void Quantiles::observe(double Value) {
  std::lock_guard<std::mutex> lock(Guard);
  Kept->Squares(Value);
  if (Kept->Few.size() < ExactValues)
    Kept->Few.push_back(Value);
}

QuantilesSnapshot Quantiles::snapshot() const {
  std::lock_guard<std::mutex> lock(Guard);
  QuantilesSnapshot read;
  read.Count = acc::count(Kept->Squares);
  read.Sum = acc::sum(Kept->Squares);
  std::vector<double> few = Kept->Few;
  std::sort(few.begin(), few.end());
  if (read.Count <= ExactValues) {
    for (double it : probabilities())
      read.Estimates.push_back(exactQuantile(few, it));
    return read;
  }
  for (double it : acc::extended_p_square(Kept->Squares))
    read.Estimates.push_back(it);
  return read;
}

template <typename T>
T &Metrics::find(std::string_view Name, std::string_view Help,
                 std::vector<MetricLabel> Labels) {
  if (!isMetricName(Name))
    endOnMisuse(Name);
  for (const MetricLabel &it : Labels) {
    if (!isMetricName(it.Key))
      endOnMisuse(Name);
  }
  std::sort(Labels.begin(), Labels.end());
  std::lock_guard<std::mutex> lock(Guard);
  Family &family = Families[std::string(Name)];
  if (family.Help.empty())
    family.Help = Help;
  // One name is one kind over all its series.
  if (!family.SeriesByLabels.empty() &&
      !std::holds_alternative<std::unique_ptr<T>>(
          family.SeriesByLabels.begin()->second))
    endOnMisuse(Name);
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
  std::lock_guard<std::mutex> lock(Guard);
  std::string text;
  for (const auto &[name, family] : Families) {
    std::string_view kind =
        std::visit([](const auto &held) { return kindText(*held); },
                   family.SeriesByLabels.begin()->second);
    text += "# HELP " + name + " " + escapedHelp(family.Help) + "\n";
    text += "# TYPE " + name + " " + std::string(kind) + "\n";
    for (const auto &[labels, series] : family.SeriesByLabels) {
      text += std::visit(
          [&, &name = name, &labels = labels](const auto &held) {
            return seriesText(name, labels, *held);
          },
          series);
    }
  }
  return text;
}

} // namespace wasabi
