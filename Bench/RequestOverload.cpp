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

/// Two entries, so that neither sees the whole load.
std::unique_ptr<RequestFleet> startDesks() {
  RequestFleet::Settings setup;
  setup.Entries = 2;
  setup.Upstreams = Upstreams;
  setup.Flags = {"--slots=" + std::to_string(Slots),
                 "--latency_ms=" + std::to_string(LatencyMillis)};
  return startFleet(std::move(setup));
}

/// Warms the fleet up, and says what its upstreams can do.
double prepare(const RequestFleet &Fleet) {
  double capacity = measureCapacity(
      plainLoad("capacity", Fleet, 0, WarmSpan, Deadline), Fleet, Slots);
  runLoad(plainLoad("warm", Fleet, capacity * 0.8, WarmSpan, Deadline));
  return capacity;
}

struct Overload {
  double Factor = 1;
  std::string Name;
};

/// Good answers within the span over what could be had at this load; what is
/// left in queues at the end does not count.
double goodputShare(const std::vector<CallResult> &Calls, double Factor,
                    double Capacity) {
  double good = 0;
  for (const CallResult &it : Calls)
    good += it.Good && it.Due + it.Took <= Span ? 1 : 0;
  double seconds = std::chrono::duration<double>(Span).count();
  return good / (Capacity * std::min(1.0, Factor) * seconds);
}

} // namespace

Faithfulness measureOverload() {
  const std::array<Overload, 4> all = {
      Overload{0.5, "0.5x"}, Overload{1.0, "1x"}, Overload{1.5, "1.5x"},
      Overload{3.0, "3x"}};
  std::unique_ptr<RequestFleet> fleet = startDesks();
  if (!fleet)
    return {};
  double capacity = prepare(*fleet);
  reportRequests("capacity", capacity, "1/s");
  Faithfulness found;
  double atOne = 0;
  for (const Overload &it : all) {
    std::string load = "overload" + it.Name;
    LoadPlan plan =
        plainLoad(load, *fleet, capacity * it.Factor, Span, Deadline);
    Decisions before = fleet->decisions();
    std::vector<CallResult> ours = runLoad(plan);
    reportDecisions(it.Name, difference(fleet->decisions(), before));
    reportEndings(it.Name, ours);
    found = found + checkPlainRuns(load, ours, *fleet);
    std::vector<CallResult> blind = runLoad(blindLoad(plan, *fleet));
    double share = goodputShare(ours, it.Factor, capacity);
    reportRequests("goodput_share_" + it.Name, share, "of what can be had",
                   goodputShare(blind, it.Factor, capacity));
    reportRequests("p99_ms_" + it.Name, goodQuantile(ours, 0.99), "ms",
                   goodQuantile(blind, 0.99));
    if (it.Factor == 1.0)
      atOne = share;
    if (it.Factor == 3.0 && atOne > 0)
      reportRequests("goodput_3x_over_1x", share / atOne, "ratio");
  }
  return found;
}

Faithfulness measureSlowUpstream() {
  std::unique_ptr<RequestFleet> fleet = startDesks();
  if (!fleet)
    return {};
  double rate = prepare(*fleet) * 0.5;
  LoadPlan even = plainLoad("even", *fleet, rate, Span, Deadline);
  LoadPlan uneven = plainLoad("slow", *fleet, rate, Span, Deadline);
  std::vector<CallResult> evenOurs = runLoad(even);
  std::vector<CallResult> evenBlind = runLoad(blindLoad(even, *fleet));

  // Nine times its time beforehand: ten times in all.
  const FleetUpstream &slow = fleet->upstreams().front();
  slow.StandIn->setFaults("{\"slow_ms\":" + std::to_string(LatencyMillis * 9) +
                          "}");
  Decisions before = fleet->decisions();
  std::vector<CallResult> ours = runLoad(uneven);
  reportDecisions("slow_upstream", difference(fleet->decisions(), before));
  reportEndings("slow_upstream", ours);
  std::vector<CallResult> blind = runLoad(blindLoad(uneven, *fleet));

  std::function<bool(const CallResult &)> rest = [&](const CallResult &Call) {
    return Call.Server != slow.Server;
  };
  double p99 = quantile(goodMillis(ours, rest), 0.99);
  double p99Blind = quantile(goodMillis(blind, rest), 0.99);
  reportRequests("p99_ms_slow_upstream", p99, "ms, of the rest", p99Blind);
  reportRequests("p99_ms_slow_upstream_all", goodQuantile(ours, 0.99), "ms",
                 goodQuantile(blind, 0.99));
  reportRequests("p99_ms_no_fault", goodQuantile(evenOurs, 0.99), "ms",
                 goodQuantile(evenBlind, 0.99));
  reportRequests("p99_raise_percent_slow_upstream",
                 (p99 / goodQuantile(evenOurs, 0.99) - 1) * 100, "%",
                 (p99Blind / goodQuantile(evenBlind, 0.99) - 1) * 100);
  reportRequests("good_share_slow_upstream", goodShare(ours), "of calls",
                 goodShare(blind));
  double toSlow =
      static_cast<double>(goodCount(ours) - goodMillis(ours, rest).size());
  reportRequests("slow_upstream_share",
                 toSlow / static_cast<double>(ours.size()), "of calls");
  return checkPlainRuns("even", evenOurs, *fleet) +
         checkPlainRuns("slow", ours, *fleet);
}

namespace {

/// Jain's index of two flows: 1 when both get the same.
double jain(double One, double Other) {
  double squares = 2 * (One * One + Other * Other);
  return squares == 0 ? 0 : (One + Other) * (One + Other) / squares;
}

/// One call in three is of the modest caller.
bool isModest(std::uint64_t Number) { return Number % 3 == 0; }

double fairnessOf(const std::vector<CallResult> &Calls) {
  double modest = 0;
  double greedy = 0;
  for (const CallResult &it : Calls) {
    if (it.Good)
      (isModest(it.Number) ? modest : greedy) += 1;
  }
  return jain(modest, greedy);
}

} // namespace

Faithfulness measureFairness() {
  // The modest caller alone asks 0.8 of the capacity, the greedy one 1.6.
  constexpr double Factor = 2.4;
  std::unique_ptr<RequestFleet> fleet = startDesks();
  if (!fleet)
    return {};
  LoadPlan plan =
      plainLoad("fair", *fleet, prepare(*fleet) * Factor, Span, Deadline);
  plan.Make = [](std::uint64_t Number) {
    return plainCall("fair", Number, Deadline,
                     isModest(Number) ? "modest" : "greedy");
  };
  std::vector<CallResult> ours = runLoad(plan);
  std::vector<CallResult> blind = runLoad(blindLoad(plan, *fleet));
  reportRequests("fairness_index", fairnessOf(ours),
                 "Jain's, of two callers that ask 0.8x and 1.6x",
                 fairnessOf(blind));
  return checkPlainRuns("fair", ours, *fleet);
}

} // namespace wasabi::bench
