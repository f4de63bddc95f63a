#include "Bench/RequestScenarios.h"

#include "Bench/LineFit.h"

#include <array>
#include <cmath>

namespace wasabi::bench {
namespace {

constexpr std::size_t Upstreams = 4;
constexpr std::size_t Slots = 4;
constexpr std::uint64_t LatencyMillis = 20;
constexpr Millis Deadline{500};
constexpr Millis WarmSpan{2500};
constexpr Millis Span{4000};

/// With two entries, each sees only part of the load.
std::unique_ptr<RequestFleet> startDesks() {
  RequestFleet::Settings setup;
  setup.Entries = 2;
  setup.Upstreams = Upstreams;
  setup.Flags = {"--slots=" + std::to_string(Slots),
                 "--latency_ms=" + std::to_string(LatencyMillis)};
  return startFleet(std::move(setup));
}

/// Warms up the fleet and returns the capacity of its upstreams.
double prepare(const RequestFleet &Fleet) {
  double capacity = measureCapacity(
      makePlainLoad("capacity", Fleet, 0, WarmSpan, Deadline), Fleet, Slots);
  runLoad(makePlainLoad("warm", Fleet, capacity * 0.8, WarmSpan, Deadline));
  return capacity;
}

struct Overload {
  double Factor = 1;
  std::string Name;
};

/// Returns the good responses within the duration divided by the maximum
/// possible at this load. Responses still queued at the end do not count.
double goodputShare(const std::vector<CallResult> &Calls, double Factor,
                    double Capacity) {
  double good = 0;
  for (const CallResult &it : Calls)
    good += it.IsGood && it.Due + it.Latency <= Span ? 1 : 0;
  double seconds = std::chrono::duration<double>(Span).count();
  return good / (Capacity * std::min(1.0, Factor) * seconds);
}

} // namespace

CorrectnessCounts measureOverload() {
  const std::array<Overload, 4> all = {
      Overload{0.5, "0.5x"}, Overload{1.0, "1x"}, Overload{1.5, "1.5x"},
      Overload{3.0, "3x"}};
  std::unique_ptr<RequestFleet> fleet = startDesks();
  if (!fleet)
    return {};
  double capacity = prepare(*fleet);
  reportRequests("capacity", capacity, "1/s");
  CorrectnessCounts found;
  double atOne = 0;
  for (const Overload &it : all) {
    std::string load = "overload" + it.Name;
    LoadPlan plan =
        makePlainLoad(load, *fleet, capacity * it.Factor, Span, Deadline);
    CounterTotals before = fleet->readCounters();
    std::vector<CallResult> ours = runLoad(plan);
    reportCounters(it.Name, subtractCounters(fleet->readCounters(), before));
    reportFailedCalls(it.Name, ours);
    found = found + checkPlainRuns(load, ours, *fleet);
    std::vector<CallResult> blind = runLoad(makeBaselineLoad(plan, *fleet));
    double share = goodputShare(ours, it.Factor, capacity);
    reportRequests("goodput_share_" + it.Name, share, "of what can be had",
                   goodputShare(blind, it.Factor, capacity));
    reportRequests("p99_ms_" + it.Name, goodLatencyQuantile(ours, 0.99), "ms",
                   goodLatencyQuantile(blind, 0.99));
    if (it.Factor == 1.0)
      atOne = share;
    if (it.Factor == 3.0 && atOne > 0)
      reportRequests("goodput_3x_over_1x", share / atOne, "ratio");
  }
  return found;
}

CorrectnessCounts measureSlowUpstream() {
  std::unique_ptr<RequestFleet> fleet = startDesks();
  if (!fleet)
    return {};
  double rate = prepare(*fleet) * 0.5;
  LoadPlan even = makePlainLoad("even", *fleet, rate, Span, Deadline);
  LoadPlan uneven = makePlainLoad("slow", *fleet, rate, Span, Deadline);
  std::vector<CallResult> evenOurs = runLoad(even);
  std::vector<CallResult> evenBlind = runLoad(makeBaselineLoad(even, *fleet));

  // Adds nine service times before each run, so that a run takes ten times as
  // long.
  const FleetUpstream &slow = fleet->upstreams().front();
  slow.StandIn->setFaults("{\"slow_ms\":" + std::to_string(LatencyMillis * 9) +
                          "}");
  CounterTotals before = fleet->readCounters();
  std::vector<CallResult> ours = runLoad(uneven);
  reportCounters("slow_upstream",
                 subtractCounters(fleet->readCounters(), before));
  reportFailedCalls("slow_upstream", ours);
  std::vector<CallResult> blind = runLoad(makeBaselineLoad(uneven, *fleet));

  std::function<bool(const CallResult &)> rest = [&](const CallResult &Call) {
    return Call.Server != slow.Server;
  };
  double p99 = quantile(goodLatencyMillis(ours, rest), 0.99);
  double p99Blind = quantile(goodLatencyMillis(blind, rest), 0.99);
  reportRequests("p99_ms_slow_upstream", p99, "ms, of the rest", p99Blind);
  reportRequests("p99_ms_slow_upstream_all", goodLatencyQuantile(ours, 0.99),
                 "ms", goodLatencyQuantile(blind, 0.99));
  reportRequests("p99_ms_no_fault", goodLatencyQuantile(evenOurs, 0.99), "ms",
                 goodLatencyQuantile(evenBlind, 0.99));
  reportRequests("p99_raise_percent_slow_upstream",
                 (p99 / goodLatencyQuantile(evenOurs, 0.99) - 1) * 100, "%",
                 (p99Blind / goodLatencyQuantile(evenBlind, 0.99) - 1) * 100);
  reportRequests("good_share_slow_upstream", goodShare(ours), "of calls",
                 goodShare(blind));
  double toSlow = static_cast<double>(countGoodCalls(ours) -
                                      goodLatencyMillis(ours, rest).size());
  reportRequests("slow_upstream_share",
                 toSlow / static_cast<double>(ours.size()), "of calls");
  return checkPlainRuns("even", evenOurs, *fleet) +
         checkPlainRuns("slow", ours, *fleet);
}

namespace {

/// Returns Jain's fairness index of two flows; 1 if both get the same share.
double computeJainIndex(double One, double Other) {
  double squares = 2 * (One * One + Other * Other);
  return squares == 0 ? 0 : (One + Other) * (One + Other) / squares;
}

/// One call in three comes from the caller with the lower rate.
bool isLowRateCaller(std::uint64_t Number) { return Number % 3 == 0; }

double fairnessOf(const std::vector<CallResult> &Calls) {
  double modest = 0;
  double greedy = 0;
  for (const CallResult &it : Calls) {
    if (it.IsGood)
      (isLowRateCaller(it.Number) ? modest : greedy) += 1;
  }
  return computeJainIndex(modest, greedy);
}

} // namespace

CorrectnessCounts measureFairness() {
  // One caller requests 0.8 of the capacity, the other 1.6.
  constexpr double Factor = 2.4;
  std::unique_ptr<RequestFleet> fleet = startDesks();
  if (!fleet)
    return {};
  LoadPlan plan =
      makePlainLoad("fair", *fleet, prepare(*fleet) * Factor, Span, Deadline);
  plan.MakeRequest = [](std::uint64_t Number) {
    return makePlainRequest("fair", Number, Deadline,
                            isLowRateCaller(Number) ? "modest" : "greedy");
  };
  std::vector<CallResult> ours = runLoad(plan);
  std::vector<CallResult> blind = runLoad(makeBaselineLoad(plan, *fleet));
  reportRequests("fairness_index", fairnessOf(ours),
                 "Jain's, of two callers that ask 0.8x and 1.6x",
                 fairnessOf(blind));
  return checkPlainRuns("fair", ours, *fleet);
}

} // namespace wasabi::bench
