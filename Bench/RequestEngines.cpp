#include "Bench/RequestScenarios.h"

#include "StandIns/TokenText.h"

#include <boost/json.hpp>

#include <algorithm>
#include <list>
#include <random>

namespace wasabi::bench {
namespace {

constexpr std::size_t Upstreams = 4;
constexpr std::size_t Slots = 4;
constexpr std::uint64_t MaxTokens = 100;
constexpr std::size_t CacheEntries = 32;
constexpr Millis Deadline{3000};
constexpr Millis WarmSpan{2000};
constexpr Millis Span{5000};

std::unique_ptr<RequestFleet> startEngines(Millis LoadReportDelay) {
  RequestFleet::Settings setup;
  setup.Entries = 2;
  setup.Upstreams = Upstreams;
  setup.Role = "engine";
  setup.Flags = {"--model=" + std::string(FleetModel),
                 "--slots=" + std::to_string(Slots), "--tokens_per_s=1000",
                 "--cache_entries=" + std::to_string(CacheEntries),
                 "--load_lag_ms=" + std::to_string(LoadReportDelay.count())};
  return startFleet(std::move(setup));
}

using Prompts = std::function<std::string(std::uint64_t Number)>;

LoadPlan engineLoad(const std::string &Load, const RequestFleet &Fleet,
                    double Rate, Millis Span, Prompts Prompt) {
  LoadPlan plan = makePlainLoad(Load, Fleet, Rate, Span, Deadline);
  plan.MakeRequest = [Load, Prompt = std::move(Prompt)](std::uint64_t Number) {
    return makeCompletionRequest(Load, Number, Prompt(Number), MaxTokens, false,
                                 Deadline);
  };
  plan.CheckResponse = checkCompletionResponse;
  return plan;
}

CorrectnessCounts wrongOf(const std::vector<CallResult> &Calls) {
  CorrectnessCounts found;
  for (const CallResult &it : Calls) {
    ++found.Checked;
    if (it.Status == 200 && !it.IsCorrect)
      ++found.WrongAnswers;
  }
  return found;
}

/// Makes prompts without a common prefix.
std::string lonePrompt(std::uint64_t Number) {
  return "lone prompt " + std::to_string(Number);
}

/// Makes prompts of families drawn from a heavy-tailed distribution. Prompts of
/// a family share a prefix.
std::string familyPrompt(std::uint64_t Number) {
  constexpr double Families = 200;
  constexpr std::size_t CommonBytes = 1500;
  std::mt19937_64 random(Number);
  std::uniform_real_distribution<double> share(0, 1);
  double draw = share(random);
  std::uint64_t family = static_cast<std::uint64_t>(Families * draw * draw);
  std::string prompt = "family " + std::to_string(family) + " ";
  prompt.resize(CommonBytes, '.');
  return prompt + std::to_string(Number);
}

/// An LRU cache of prompt prefixes that models an engine's cache.
class HeldPrefixes {
public:
  explicit HeldPrefixes(std::size_t Most) : Most(Most) {}
  /// Returns true if the prompt's prefix was cached.
  bool use(const std::string &Prompt) {
    std::string name = standins::prefixName(Prompt);
    std::list<std::string>::iterator it =
        std::find(Held.begin(), Held.end(), name);
    bool hit = it != Held.end();
    if (hit)
      Held.erase(it);
    Held.push_front(std::move(name));
    if (Held.size() > Most)
      Held.pop_back();
    return hit;
  }

private:
  const std::size_t Most;
  std::list<std::string> Held;
};

struct Started {
  std::uint64_t At = 0;
  std::string Request;
  std::string Prompt;
};

std::vector<Started> fetchStartTimes(const FleetUpstream &Upstream) {
  std::vector<Started> all;
  Outcome<boost::json::value> truth = Upstream.StandIn->truth();
  if (!truth)
    return all;
  for (const boost::json::value &it : truth->at("completions").as_array())
    all.push_back({it.at("started_us").to_number<std::uint64_t>(),
                   std::string(it.at("request").as_string()),
                   std::string(it.at("prompt").as_string())});
  return all;
}

/// Cache hit rate of the prompts of a load.
struct HitShares {
  double Engines = 0;
  /// Hit rate of one cache as large as those of all engines together.
  double Oracle = 0;
};

HitShares hitShares(RequestFleet &Fleet, const std::string &Load) {
  std::vector<Started> all;
  double hits = 0;
  double calls = 0;
  for (const FleetUpstream &it : Fleet.upstreams()) {
    HeldPrefixes held(CacheEntries);
    for (const Started &one : fetchStartTimes(it)) {
      bool hit = held.use(one.Prompt);
      if (!one.Request.starts_with(Load))
        continue;
      calls += 1;
      hits += hit ? 1 : 0;
      all.push_back(one);
    }
  }
  std::sort(all.begin(), all.end(),
            [](const Started &Left, const Started &Right) {
              return Left.At < Right.At;
            });
  HeldPrefixes pooled(CacheEntries * Upstreams);
  double best = 0;
  for (const Started &it : all)
    best += pooled.use(it.Prompt) ? 1 : 0;
  calls = std::max(1.0, calls);
  return HitShares{hits / calls, best / calls};
}

struct LateLoad {
  double P99 = 0;
  double Blind = 0;
  CorrectnessCounts Found;
};

LateLoad measureLag(Millis Lag, const std::string &Name) {
  LateLoad result;
  std::unique_ptr<RequestFleet> fleet = startEngines(Lag);
  if (!fleet)
    return result;
  LoadPlan plan = engineLoad(Name, *fleet, 0, WarmSpan, lonePrompt);
  plan.Rate = measureCapacity(plan, *fleet, Slots) * 0.7;
  runLoad(plan);
  plan.Duration = Span;
  // Uses prompts that the engines have not cached yet.
  plan.FirstNumber = 1000000;
  CounterTotals before = fleet->readCounters();
  std::vector<CallResult> ours = runLoad(plan);
  reportCounters(Name, subtractCounters(fleet->readCounters(), before));
  plan.FirstNumber = 2000000;
  std::vector<CallResult> blind = runLoad(makeBaselineLoad(plan, *fleet));
  result.P99 = goodLatencyQuantile(ours, 0.99);
  result.Blind = goodLatencyQuantile(blind, 0.99);
  result.Found = wrongOf(ours);
  return result;
}

} // namespace

CorrectnessCounts measureLateLoad() {
  LateLoad fresh = measureLag(Millis(0), "fresh_load");
  LateLoad late = measureLag(Millis(2000), "late_load");
  reportRequests("p99_ms_late_load", late.P99, "ms, reports 2 s late",
                 late.Blind);
  reportRequests("p99_ms_fresh_load", fresh.P99, "ms", fresh.Blind);
  return fresh.Found + late.Found;
}

CorrectnessCounts measureCacheHits() {
  std::unique_ptr<RequestFleet> fleet = startEngines(Millis(0));
  if (!fleet)
    return {};
  LoadPlan plan = engineLoad("cache", *fleet, 0, Span, familyPrompt);
  plan.Rate = measureCapacity(plan, *fleet, Slots) * 0.5;
  CounterTotals before = fleet->readCounters();
  std::vector<CallResult> ours = runLoad(plan);
  reportCounters("cache", subtractCounters(fleet->readCounters(), before));
  runLoad(makeBaselineLoad(plan, *fleet));
  HitShares hits = hitShares(*fleet, "cache");
  HitShares blind = hitShares(*fleet, "blind-cache");
  reportRequests("cache_hit_share", hits.Engines, "of completions",
                 blind.Engines);
  reportRequests("cache_hit_share_oracle", hits.Oracle, "of completions");
  return wrongOf(ours);
}

} // namespace wasabi::bench
