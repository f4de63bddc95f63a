#include "Wasabi/Rollout/EngineChoice.h"

#include <algorithm>

namespace wasabi {

namespace {

/// An engine slower than the median by this factor runs one sample at a time.
constexpr double MaxSlowdown = 4;
/// Cost of an engine in another failure domain, relative to the duration of a
/// stream.
constexpr double RemoteDomainCost = 0.01;

bool costsMore(const Candidate &A, const Candidate &B) {
  if (A.Cost != B.Cost)
    return A.Cost > B.Cost;
  return A.At->Seen.Name > B.At->Seen.Name;
}

double engineCost(const StepState &State, const EngineState &At,
                  double Median) {
  if (State.Setup.Order == EngineOrder::RoundRobin)
    return static_cast<double>(At.LastDispatchNumber);
  double slots = std::max(1U, At.Seen.Slots);
  double load = std::max<double>(At.OwnAttempts, At.Seen.Running);
  double slowness =
      At.StreamRate > 0 && Median > 0 ? Median / At.StreamRate : 1;
  double domainCost =
      At.Seen.Domain == State.Setup.Domain ? 0 : RemoteDomainCost;
  return slowness * (1 + load / slots) + domainCost;
}

/// Returns the increase in cost per additional stream.
double costPerStream(const StepState &State, const EngineState &At) {
  if (State.Setup.Order == EngineOrder::RoundRobin)
    return static_cast<double>(State.Servers.size());
  return 1.0 / std::max(1U, At.Seen.Slots);
}

bool isSlow(const StepState &State, const EngineState &At) {
  double median =
      State.Setup.Order == EngineOrder::RoundRobin ? 0 : State.MedianRate;
  return At.StreamRate > 0 && At.StreamRate * MaxSlowdown < median;
}

/// Under the `Finish` policy outdated engines drain before they load the new
/// weights, unless all engines are outdated.
bool anyUpToDate(const StepState &State) {
  return std::any_of(State.Servers.begin(), State.Servers.end(),
                     [&State](const auto &it) {
                       return it.second.Seen.Serving &&
                              it.second.Seen.Version >= State.Fresh.Newest;
                     });
}

TimePoint expectedFinish(double Tokens, double Rate, TimePoint Now) {
  if (Rate <= 0)
    return Now;
  return Now + Micros(static_cast<std::int64_t>(Tokens / Rate * 1e6));
}

bool fits(const StepState &State, const Candidate &Engine,
          const SlotRequirements &Requirements, TimePoint Now) {
  const ReportedEngine &seen = Engine.At->Seen;
  if (std::find(Requirements.ExcludedEngines.begin(),
                Requirements.ExcludedEngines.end(),
                seen.Name) != Requirements.ExcludedEngines.end())
    return false;
  // No engine has a newer version.
  if (seen.Version >= State.Fresh.Newest)
    return true;
  TimePoint finish =
      expectedFinish(Requirements.Tokens, expectedRate(State, *Engine.At), Now);
  return willBeFresh(State.Fresh, seen.Version, State.Publishing, Now, finish);
}

} // namespace

double expectedRate(const StepState &State, const EngineState &At) {
  return At.StreamRate > 0 ? At.StreamRate : State.MedianRate;
}

std::vector<Candidate> enginesWithRoom(StepState &State, TimePoint Now) {
  bool draining = State.Policy.OnVersionChange == VersionChange::Finish &&
                  anyUpToDate(State);
  std::vector<Candidate> found;
  for (auto &it : State.Servers) {
    EngineState &at = it.second;
    if (draining && at.Seen.Version < State.Fresh.Newest)
      continue;
    // Samples of this engine would be stale already.
    if (!isFresh(State.Fresh, at.Seen.Version))
      continue;
    std::uint32_t free = freeSlots(at, State.Policy.Part, Now);
    if (isSlow(State, at))
      free = at.OwnAttempts == 0 ? std::min(free, 1U) : 0;
    if (free > 0)
      found.push_back(
          Candidate{&at, free, engineCost(State, at, State.MedianRate)});
  }
  std::make_heap(found.begin(), found.end(), costsMore);
  return found;
}

std::optional<Candidate> takeEngine(const StepState &State,
                                    std::vector<Candidate> &Heap,
                                    const SlotRequirements &Requirements,
                                    TimePoint Now) {
  std::vector<Candidate> remaining;
  std::optional<Candidate> taken;
  while (!Heap.empty() && !taken) {
    std::pop_heap(Heap.begin(), Heap.end(), costsMore);
    Candidate top = Heap.back();
    Heap.pop_back();
    if (!fits(State, top, Requirements, Now)) {
      remaining.push_back(top);
      continue;
    }
    taken = top;
    if (top.Free > 1) {
      double increase = costPerStream(State, *top.At);
      remaining.push_back(Candidate{top.At, top.Free - 1, top.Cost + increase});
    }
  }
  for (const Candidate &it : remaining) {
    Heap.push_back(it);
    std::push_heap(Heap.begin(), Heap.end(), costsMore);
  }
  return taken;
}

} // namespace wasabi
