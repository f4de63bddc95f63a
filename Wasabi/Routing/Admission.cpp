#include "Wasabi/Routing/Admission.h"

#include <algorithm>
#include <cmath>

namespace wasabi {

Admission::Admission(std::string Server, Settings Setup, TimePoint Now)
    : Server(std::move(Server)), Setup(Setup),
      Limit(makeConcurrencyLimit(Setup.Concurrency, Now)) {}

double Admission::serviceMicros() const {
  return AverageMicros > 0
             ? AverageMicros
             : static_cast<double>(Setup.DefaultServiceTime.count());
}

Failure Admission::overloaded(std::string Reason, Micros Wait) const {
  Millis back = std::max(Millis(1), std::chrono::ceil<Millis>(Wait));
  return Failure{Verdict::NotRun, FailureCode::Overloaded, "server " + Server,
                 std::move(Reason), back};
}

Micros Admission::expectedWait(std::int32_t Priority) const {
  std::ptrdiff_t ahead = std::count_if(
      Waiting.begin(), Waiting.end(),
      [&](const AdmissionRequest &it) { return it.Priority >= Priority; });
  double limit = std::max(1.0, Limit.Limit);
  double wait = (static_cast<double>(ahead) + 1.0) / limit * serviceMicros();
  return Micros(static_cast<std::int64_t>(wait));
}

bool Admission::canStart(const AdmissionRequest &Ask) const {
  if (Running.size() >= Limit.whole())
    return false;
  if (!Ask.Rollout)
    return true;
  constexpr double Hundred = 100.0;
  double most = std::floor(Limit.Limit * RolloutPercent / Hundred);
  // A share that is not nothing lets at least one run.
  if (RolloutPercent > 0)
    most = std::max(1.0, most);
  return !Held && RunningRollouts < most;
}

AdmissionChange Admission::offer(AdmissionRequest Ask, TimePoint Now) {
  AdmissionChange change;
  bool first = std::none_of(
      Waiting.begin(), Waiting.end(), [&](const AdmissionRequest &it) {
        return it.Priority >= Ask.Priority && canStart(it);
      });
  if (first && canStart(Ask)) {
    join(Ask);
    change.Started.push_back(Ask.Id);
    start(Ask, Now);
    return change;
  }
  // Refused early rather than late: it could not be answered in time.
  Micros wait = expectedWait(Ask.Priority);
  if (Now + wait > Ask.Deadline) {
    change.Refused.push_back(
        {Ask.Id, overloaded("its wait would outlast its deadline", wait)});
    return change;
  }
  if (!makeRoom(Ask, change)) {
    change.Refused.push_back({Ask.Id, overloaded("its queue is full", wait)});
    return change;
  }
  join(Ask);
  Waiting.push_back(std::move(Ask));
  return change;
}

/// True when the queue has a place, which one of lower priority, or of a flow
/// that holds more than its part, may have lost.
bool Admission::makeRoom(const AdmissionRequest &For, AdmissionChange &Change) {
  double most = std::max(static_cast<double>(Setup.MinQueueCapacity),
                         Setup.QueueFactor * Limit.Limit);
  if (static_cast<double>(Waiting.size()) < most)
    return true;
  Queue::iterator loser = findLastOfLowestPriority();
  std::string reason = "it gave way to a higher priority";
  if (loser != Waiting.end() && loser->Priority == For.Priority) {
    loser = findLastOfLargestFlow(For);
    reason = "its queue is full, and others have less of it";
  }
  if (loser == Waiting.end() || loser->Priority > For.Priority)
    return false;
  Change.Refused.push_back(
      {loser->Id,
       overloaded(std::move(reason), expectedWait(loser->Priority))});
  part(*loser);
  Waiting.erase(loser);
  return true;
}

/// The last to come of the lowest priority.
Admission::Queue::iterator Admission::findLastOfLowestPriority() {
  Queue::iterator lowest = Waiting.end();
  for (Queue::iterator it = Waiting.begin(); it != Waiting.end(); ++it) {
    if (lowest == Waiting.end() || it->Priority <= lowest->Priority)
      lowest = it;
  }
  return lowest;
}

/// The last to come of the flow that holds most of the queue over its weight,
/// in the priority of `For`; none if `For`'s own would then hold as much.
Admission::Queue::iterator
Admission::findLastOfLargestFlow(const AdmissionRequest &For) {
  struct Part {
    double Held = 0;
    Queue::iterator Last;
  };
  std::map<std::string_view, Part> parts;
  for (Queue::iterator it = Waiting.begin(); it != Waiting.end(); ++it) {
    if (it->Priority != For.Priority)
      continue;
    Part &part = parts[it->Flow];
    part.Held += 1.0 / std::max(1u, it->FlowWeight);
    part.Last = it;
  }
  double own = 1.0 / std::max(1u, For.FlowWeight);
  std::map<std::string_view, Part>::const_iterator mine = parts.find(For.Flow);
  if (mine != parts.end())
    own += mine->second.Held;
  Queue::iterator greediest = Waiting.end();
  for (const std::pair<const std::string_view, Part> &it : parts) {
    if (it.second.Held <= own)
      continue;
    own = it.second.Held;
    greediest = it.second.Last;
  }
  return greediest;
}

void Admission::join(const AdmissionRequest &Ask) {
  Flow &flow = Flows[Ask.Flow];
  // Service not asked for earlier is not owed later.
  if (flow.Members == 0)
    flow.Served = std::max(flow.Served, VirtualTime);
  ++flow.Members;
}

void Admission::part(const AdmissionRequest &Ask) {
  std::map<std::string, Flow>::iterator it = Flows.find(Ask.Flow);
  if (it == Flows.end())
    return;
  --it->second.Members;
  if (it->second.Members == 0 && it->second.Served <= VirtualTime)
    Flows.erase(it);
}

void Admission::start(const AdmissionRequest &Ask, TimePoint Now) {
  Flow &flow = Flows[Ask.Flow];
  VirtualTime = std::max(VirtualTime, flow.Served);
  double charged = serviceMicros() / std::max(1u, Ask.FlowWeight);
  flow.Served += charged;
  if (Ask.Rollout)
    ++RunningRollouts;
  std::uint64_t id = Ask.Id;
  Running.emplace(id, RunningRequest{Ask, Now, charged});
  Limit = withRunning(Limit, running(), Now);
}

/// The next to start: of the highest priority that may, the flow that had the
/// least, and in it the first to come.
Admission::Queue::iterator Admission::next() {
  Queue::iterator best = Waiting.end();
  for (Queue::iterator it = Waiting.begin(); it != Waiting.end(); ++it) {
    if (!canStart(*it))
      continue;
    if (best == Waiting.end() || it->Priority > best->Priority) {
      best = it;
      continue;
    }
    if (it->Priority == best->Priority &&
        Flows[it->Flow].Served < Flows[best->Flow].Served)
      best = it;
  }
  return best;
}

void Admission::startWaiting(AdmissionChange &Change, TimePoint Now) {
  for (;;) {
    Queue::iterator it = next();
    if (it == Waiting.end())
      return;
    AdmissionRequest ask = std::move(*it);
    Waiting.erase(it);
    if (ask.Deadline <= Now) {
      part(ask);
      Change.Refused.push_back(
          {ask.Id, overloaded("it waited until its deadline", Micros(0))});
      continue;
    }
    Change.Started.push_back(ask.Id);
    start(ask, Now);
  }
}

void Admission::end(const RunningRequest &Ended, TimePoint Now) {
  if (Ended.Ask.Rollout)
    --RunningRollouts;
  // What it really took replaces what was assumed.
  double took = static_cast<double>((Now - Ended.Began).count());
  Flows[Ended.Ask.Flow].Served +=
      took / std::max(1u, Ended.Ask.FlowWeight) - Ended.Charged;
  part(Ended.Ask);
}

AdmissionChange Admission::finish(std::uint64_t Id, TimePoint Now) {
  AdmissionChange change;
  std::unordered_map<std::uint64_t, RunningRequest>::iterator it =
      Running.find(Id);
  if (it == Running.end())
    return change;
  Micros took = Now - it->second.Began;
  double sample = static_cast<double>(took.count());
  AverageMicros = AverageMicros <= 0
                      ? sample
                      : (1 - Setup.SampleWeight) * AverageMicros +
                            Setup.SampleWeight * sample;
  end(it->second, Now);
  Running.erase(it);
  Limit = afterAnswer(withRunning(Limit, running(), Now), Now);
  startWaiting(change, Now);
  return change;
}

AdmissionChange Admission::abandon(std::uint64_t Id, bool Overloaded,
                                   TimePoint Now) {
  AdmissionChange change;
  if (Overloaded)
    Limit = afterOverload(Limit, Now);
  std::unordered_map<std::uint64_t, RunningRequest>::iterator it =
      Running.find(Id);
  if (it != Running.end()) {
    end(it->second, Now);
    Running.erase(it);
    Limit = withRunning(Limit, running(), Now);
  } else {
    for (Queue::iterator waiting = Waiting.begin(); waiting != Waiting.end();
         ++waiting) {
      if (waiting->Id != Id)
        continue;
      part(*waiting);
      Waiting.erase(waiting);
      break;
    }
  }
  startWaiting(change, Now);
  return change;
}

AdmissionChange Admission::tick(TimePoint Now) {
  AdmissionChange change;
  for (Queue::iterator it = Waiting.begin(); it != Waiting.end();) {
    if (it->Deadline > Now) {
      ++it;
      continue;
    }
    change.Refused.push_back(
        {it->Id, overloaded("it waited until its deadline", Micros(0))});
    part(*it);
    it = Waiting.erase(it);
  }
  startWaiting(change, Now);
  return change;
}

AdmissionChange Admission::setRolloutPercent(std::uint32_t Percent,
                                             TimePoint Now) {
  AdmissionChange change;
  RolloutPercent = Percent;
  startWaiting(change, Now);
  return change;
}

AdmissionChange Admission::setSlots(std::uint32_t Slots, TimePoint Now) {
  AdmissionChange change;
  Limit = withSlots(Limit, Slots);
  startWaiting(change, Now);
  return change;
}

AdmissionChange Admission::holdRollouts(bool Hold, TimePoint Now) {
  AdmissionChange change;
  Held = Hold;
  startWaiting(change, Now);
  return change;
}

} // namespace wasabi
