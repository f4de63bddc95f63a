#include "Wasabi/Adapters/Telemetry/Metrics.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <thread>

using wasabi::Counter;
using wasabi::Metrics;
using wasabi::Quantiles;
using wasabi::QuantilesSnapshot;

TEST_CASE("Metrics render as Prometheus text, sorted") {
  Metrics metrics;
  metrics.gauge("queue_length", "Waiting now.").set(2.5);
  metrics.counter("answers_total", "Answers.", {{"verdict", "ran"}}).add(3);
  metrics.counter("answers_total", "Answers.", {{"verdict", "not-run"}}).add();
  metrics.quantiles("wait_seconds", "Time \\ in the\nqueue.").observe(0.25);
  CHECK(metrics.render() == "# HELP answers_total Answers.\n"
                            "# TYPE answers_total counter\n"
                            "answers_total{verdict=\"not-run\"} 1\n"
                            "answers_total{verdict=\"ran\"} 3\n"
                            "# HELP queue_length Waiting now.\n"
                            "# TYPE queue_length gauge\n"
                            "queue_length 2.5\n"
                            "# HELP wait_seconds Time \\\\ in the\\nqueue.\n"
                            "# TYPE wait_seconds summary\n"
                            "wait_seconds{quantile=\"0.5\"} 0.25\n"
                            "wait_seconds{quantile=\"0.9\"} 0.25\n"
                            "wait_seconds{quantile=\"0.99\"} 0.25\n"
                            "wait_seconds{quantile=\"0.999\"} 0.25\n"
                            "wait_seconds_sum 0.25\n"
                            "wait_seconds_count 1\n");
}

TEST_CASE("Labels in any order identify the same series") {
  Metrics metrics;
  Counter &first = metrics.counter("n_total", "N.", {{"a", "1"}, {"b", "2"}});
  Counter &second = metrics.counter("n_total", "N.", {{"b", "2"}, {"a", "1"}});
  CHECK(&first == &second);
}

TEST_CASE("Label values are escaped") {
  Metrics metrics;
  metrics.counter("n_total", "N.", {{"path", "a\"b\\c\nd"}}).add();
  CHECK_THAT(metrics.render(),
             Catch::Contains("n_total{path=\"a\\\"b\\\\c\\nd\"} 1"));
}

TEST_CASE("Quantiles of few values are exact") {
  Quantiles quantiles;
  for (int i = 10; i >= 1; --i)
    quantiles.observe(i);
  QuantilesSnapshot snapshot = quantiles.snapshot();
  CHECK(snapshot.Estimates == std::vector<double>{5, 9, 10, 10});
  CHECK(snapshot.Sum == 55);
  CHECK(snapshot.Count == 10);
}

TEST_CASE("Quantiles of many values are close to the exact ones") {
  std::mt19937_64 engine(7);
  std::lognormal_distribution<double> distribution(0, 1);
  Quantiles quantiles;
  std::vector<double> values;
  for (int i = 0; i < 100000; ++i) {
    values.push_back(distribution(engine));
    quantiles.observe(values.back());
  }
  std::sort(values.begin(), values.end());
  QuantilesSnapshot snapshot = quantiles.snapshot();
  for (std::size_t i = 0; i < snapshot.Estimates.size(); ++i) {
    std::size_t rank = static_cast<std::size_t>(
        Quantiles::probabilities()[i] * static_cast<double>(values.size()));
    CHECK(snapshot.Estimates[i] == Approx(values[rank]).epsilon(0.1));
  }
}

TEST_CASE("Metrics can be updated from several threads") {
  constexpr std::uint64_t Threads = 4;
  constexpr std::uint64_t UpdatesPerThread = 5000;
  Metrics metrics;
  std::vector<std::thread> threads;
  threads.reserve(Threads);
  for (std::uint64_t i = 0; i < Threads; ++i) {
    threads.emplace_back([&] {
      for (std::uint64_t n = 0; n < UpdatesPerThread; ++n) {
        metrics.counter("n_total", "N.").add();
        metrics.quantiles("t_seconds", "T.").observe(static_cast<double>(n));
        metrics.gauge("g", "G.").add(1);
      }
    });
  }
  for (std::thread &it : threads)
    it.join();
  CHECK(metrics.counter("n_total", "N.").value() == Threads * UpdatesPerThread);
  CHECK(metrics.quantiles("t_seconds", "T.").snapshot().Count ==
        Threads * UpdatesPerThread);
  CHECK(metrics.gauge("g", "G.").value() == Threads * UpdatesPerThread);
}
