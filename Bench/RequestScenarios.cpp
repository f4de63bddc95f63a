#include "Bench/RequestScenarios.h"

#include "Bench/LineFit.h"
#include "Bench/Report.h"

#include <algorithm>
#include <map>

namespace wasabi::bench {
namespace {

constexpr std::uint32_t BlindAttempts = 4;
constexpr std::uint32_t BlindLimit = 64;
constexpr Millis CapacitySpan{1000};

} // namespace

void reportRequests(const std::string &Metric, double Value,
                    const std::string &Unit, std::optional<double> Baseline) {
  report(Measurement{"requests", Metric, Value, Unit, Baseline});
}

void reportCounters(const std::string &Case, const CounterTotals &Counts) {
  constexpr std::string_view Prefix = "wasabi_";
  constexpr std::string_view Suffix = "_total";
  for (const std::pair<const std::string, double> &it : Counts) {
    std::string_view name = it.first;
    bool ours = name.starts_with(Prefix) && name.ends_with(Suffix);
    if (!ours || it.second == 0)
      continue;
    name.remove_prefix(Prefix.size());
    name.remove_suffix(Suffix.size());
    reportRequests("decisions_" + std::string(name) + "_" + Case, it.second,
                   "count");
  }
}

void reportFailedCalls(const std::string &Case,
                       const std::vector<CallResult> &Calls) {
  std::map<std::string, double> counts;
  for (const CallResult &it : Calls) {
    if (it.IsGood)
      continue;
    std::string verdict = it.Verdict.empty() ? "silent" : it.Verdict;
    std::replace(verdict.begin(), verdict.end(), '-', '_');
    std::string ended = it.IsCorrect ? "late" : std::to_string(it.Status);
    ended += "_";
    ended += verdict;
    counts[ended] += 1;
  }
  for (const std::pair<const std::string, double> &it : counts)
    reportRequests("ended_" + it.first + "_" + Case, it.second, "count");
}

std::unique_ptr<RequestFleet> startFleet(RequestFleet::Settings Setup) {
  Outcome<std::unique_ptr<RequestFleet>> fleet =
      toOutcome<std::unique_ptr<RequestFleet>>(
          [&] { return RequestFleet::start(std::move(Setup)); });
  if (fleet)
    return *std::move(fleet);
  logProgress("requests: " + describe(fleet.failure()));
  return nullptr;
}

ClientPolicy makeBaselineClient(Millis Deadline) {
  return ClientPolicy{BlindAttempts, BlindLimit, Deadline / 2};
}

LoadPlan makePlainLoad(const std::string &Load, const RequestFleet &Fleet,
                       double Rate, Millis Span, Millis Deadline) {
  LoadPlan plan;
  plan.Targets = Fleet.callerAddresses();
  plan.Rate = Rate;
  plan.Duration = Span;
  plan.Deadline = Deadline;
  plan.MakeRequest = [Load, Deadline](std::uint64_t Number) {
    return makePlainRequest(Load, Number, Deadline);
  };
  plan.CheckResponse = checkPlainResponse;
  return plan;
}

LoadPlan makeBaselineLoad(LoadPlan Through, const RequestFleet &Fleet) {
  Through.Targets = Fleet.upstreamAddresses();
  Through.Client = makeBaselineClient(Through.Deadline);
  // The prefix excludes these runs from the correctness checks of the product.
  std::function<http::Request(std::uint64_t)> make = Through.MakeRequest;
  Through.MakeRequest = [make](std::uint64_t Number) {
    http::Request ask = make(Number);
    for (http::Header &it : ask.Headers) {
      if (it.Name == "X-Request-Id")
        it.Value = "blind-" + it.Value;
    }
    return ask;
  };
  return Through;
}

double measureCapacity(LoadPlan Plan, const RequestFleet &Fleet,
                       std::size_t Slots) {
  Plan = makeBaselineLoad(std::move(Plan), Fleet);
  Plan.Client = ClientPolicy();
  Plan.Targets.resize(1);
  Plan.Rate = 0;
  Plan.Workers = Slots;
  Plan.Duration = CapacitySpan;
  Plan.ScheduledActions.clear();
  TimePoint began = monotonicNow();
  std::size_t good = countGoodCalls(runLoad(Plan));
  double seconds =
      std::chrono::duration<double>(monotonicNow() - began).count();
  return static_cast<double>(good) / seconds *
         static_cast<double>(Fleet.upstreamAddresses().size());
}

double goodLatencyQuantile(const std::vector<CallResult> &Calls, double Share) {
  return quantile(goodLatencyMillis(Calls), Share);
}

double goodShare(const std::vector<CallResult> &Calls) {
  return Calls.empty() ? 0
                       : static_cast<double>(countGoodCalls(Calls)) /
                             static_cast<double>(Calls.size());
}

} // namespace wasabi::bench
