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
  Metrics all;
  all.gauge("queue_length", "Waiting now.").set(2.5);
  all.counter("answers_total", "Answers.", {{"verdict", "ran"}}).add(3);
  all.counter("answers_total", "Answers.", {{"verdict", "not-run"}}).add();
  all.quantiles("wait_seconds", "Time \\ in the\nqueue.").observe(0.25);
  CHECK(all.render() == "# HELP answers_total Answers.\n"
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

TEST_CASE("The same name and labels, in any order, are one series") {
  Metrics all;
  Counter &first = all.counter("n_total", "N.", {{"a", "1"}, {"b", "2"}});
  Counter &again = all.counter("n_total", "N.", {{"b", "2"}, {"a", "1"}});
  CHECK(&first == &again);
}

TEST_CASE("A label's value is escaped") {
  Metrics all;
  all.counter("n_total", "N.", {{"path", "a\"b\\c\nd"}}).add();
  CHECK_THAT(all.render(),
             Catch::Contains("n_total{path=\"a\\\"b\\\\c\\nd\"} 1"));
}

TEST_CASE("Few values give exact quantiles") {
  Quantiles few;
  for (int i = 10; i >= 1; --i)
    few.observe(i);
  QuantilesSnapshot read = few.snapshot();
  CHECK(read.Estimates == std::vector<double>{5, 9, 10, 10});
  CHECK(read.Sum == 55);
  CHECK(read.Count == 10);
}

TEST_CASE("Many values give quantiles near the exact ones") {
  std::mt19937_64 engine(7);
  std::lognormal_distribution<double> heavy(0, 1);
  Quantiles many;
  std::vector<double> values;
  for (int i = 0; i < 100000; ++i) {
    values.push_back(heavy(engine));
    many.observe(values.back());
  }
  std::sort(values.begin(), values.end());
  QuantilesSnapshot read = many.snapshot();
  for (std::size_t i = 0; i < read.Estimates.size(); ++i) {
    std::size_t rank = static_cast<std::size_t>(
        Quantiles::probabilities()[i] * static_cast<double>(values.size()));
    CHECK(read.Estimates[i] == Approx(values[rank]).epsilon(0.1));
  }
}

TEST_CASE("Metrics take values from many threads at once") {
  constexpr std::uint64_t Threads = 4;
  constexpr std::uint64_t Each = 5000;
  Metrics all;
  std::vector<std::thread> running;
  running.reserve(Threads);
  for (std::uint64_t i = 0; i < Threads; ++i) {
    running.emplace_back([&] {
      for (std::uint64_t n = 0; n < Each; ++n) {
        all.counter("n_total", "N.").add();
        all.quantiles("t_seconds", "T.").observe(static_cast<double>(n));
        all.gauge("g", "G.").add(1);
      }
    });
  }
  for (std::thread &it : running)
    it.join();
  CHECK(all.counter("n_total", "N.").value() == Threads * Each);
  CHECK(all.quantiles("t_seconds", "T.").snapshot().Count == Threads * Each);
  CHECK(all.gauge("g", "G.").value() == Threads * Each);
}
