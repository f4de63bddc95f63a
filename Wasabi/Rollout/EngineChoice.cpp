#include "Wasabi/Rollout/EngineChoice.h"

#include <algorithm>

namespace wasabi {

namespace {

/// An engine this many times slower than the median takes one sample at once.
constexpr double SlowRatio = 4;
/// What another failure domain costs, against a whole stream's time.
constexpr double FarCost = 0.01;

bool costsMore(const Candidate &A, const Candidate &B) {
  if (A.Cost != B.Cost)
    return A.Cost > B.Cost;
  return A.At->Seen.Name > B.At->Seen.Name;
}

double costOf(const StepState &State, const EngineState &At, double Median) {
  if (State.Setup.Order == EngineOrder::RoundRobin)
    return static_cast<double>(At.LastDispatchNumber);
  double slots = std::max(1U, At.Seen.Slots);
  double load = std::max<double>(At.Own, At.Seen.Running);
  double slowness =
      At.StreamRate > 0 && Median > 0 ? Median / At.StreamRate : 1;
  double far = At.Seen.Domain == State.Setup.Domain ? 0 : FarCost;
  return slowness * (1 + load / slots) + far;
}

/// What one more stream adds to an engine's cost.
double costOfOneMore(const StepState &State, const EngineState &At) {
  if (State.Setup.Order == EngineOrder::RoundRobin)
    return static_cast<double>(State.Servers.size());
  return 1.0 / std::max(1U, At.Seen.Slots);
}

bool isSlow(const StepState &State, const EngineState &At) {
  double median =
      State.Setup.Order == EngineOrder::RoundRobin ? 0 : State.MedianRate;
  return At.StreamRate > 0 && At.StreamRate * SlowRatio < median;
}

/// Under `Finish` an outdated engine drains, so that it can swap; but not when
/// all are outdated, or nothing would run.
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

bool fits(const StepState &State, const Candidate &One,
          const SlotRequirements &Need, TimePoint Now) {
  const ReportedEngine &seen = One.At->Seen;
  if (std::find(Need.Not.begin(), Need.Not.end(), seen.Name) != Need.Not.end())
    return false;
  // Nothing fresher can be had than the newest: waiting would not help.
  if (seen.Version >= State.Fresh.Newest)
    return true;
  TimePoint finish =
      expectedFinish(Need.Tokens, expectedRate(State, *One.At), Now);
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
    // Without a chance to be fresh there is no room.
    if (!isFresh(State.Fresh, at.Seen.Version))
      continue;
    std::uint32_t free = freeSlots(at, State.Policy.Part, Now);
    if (isSlow(State, at))
      free = at.Own == 0 ? std::min(free, 1U) : 0;
    if (free > 0)
      found.push_back(
          Candidate{&at, free, costOf(State, at, State.MedianRate)});
  }
  std::make_heap(found.begin(), found.end(), costsMore);
  return found;
}

std::optional<Candidate> takeEngine(const StepState &State,
                                    std::vector<Candidate> &Heap,
                                    const SlotRequirements &Need,
                                    TimePoint Now) {
  std::vector<Candidate> unfit;
  std::optional<Candidate> taken;
  while (!Heap.empty() && !taken) {
    std::pop_heap(Heap.begin(), Heap.end(), costsMore);
    Candidate top = Heap.back();
    Heap.pop_back();
    if (!fits(State, top, Need, Now)) {
      unfit.push_back(top);
      continue;
    }
    taken = top;
    if (top.Free > 1) {
      double more = costOfOneMore(State, *top.At);
      unfit.push_back(Candidate{top.At, top.Free - 1, top.Cost + more});
    }
  }
  for (const Candidate &it : unfit) {
    Heap.push_back(it);
    std::push_heap(Heap.begin(), Heap.end(), costsMore);
  }
  return taken;
}

} // namespace wasabi
