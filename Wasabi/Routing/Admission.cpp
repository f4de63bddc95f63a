#include "Wasabi/Routing/Admission.h"

#include <algorithm>
#include <cmath>

namespace wasabi {

Admission::Admission(std::string Server, Settings Setup, TimePoint Now)
    : Server(std::move(Server)), Setup(Setup),
      Limit(makeConcurrencyLimit(Setup.Concurrency, Now)) {}

double Admission::averageServiceMicros() const {
  return AverageMicros > 0
             ? AverageMicros
             : static_cast<double>(Setup.DefaultServiceTime.count());
}

Failure Admission::makeOverloaded(std::string Reason, Micros Wait) const {
  Millis retryAfter = std::max(Millis(1), std::chrono::ceil<Millis>(Wait));
  return Failure{Verdict::NotRun, FailureCode::Overloaded, "server " + Server,
                 std::move(Reason), retryAfter};
}

Micros Admission::expectedWait(std::int32_t Priority) const {
  std::ptrdiff_t ahead = std::count_if(
      Waiting.begin(), Waiting.end(),
      [&](const AdmissionRequest &it) { return it.Priority >= Priority; });
  double limit = std::max(1.0, Limit.Limit);
  double wait =
      (static_cast<double>(ahead) + 1.0) / limit * averageServiceMicros();
  return Micros(static_cast<std::int64_t>(wait));
}

bool Admission::canStart(const AdmissionRequest &Request) const {
  if (Running.size() >= Limit.effectiveLimit())
    return false;
  if (!Request.Rollout)
    return true;
  constexpr double Hundred = 100.0;
  double maxRollouts = std::floor(Limit.Limit * RolloutPercent / Hundred);
  // A share above 0 admits at least one rollout.
  if (RolloutPercent > 0)
    maxRollouts = std::max(1.0, maxRollouts);
  return !RolloutsHeld && RunningRollouts < maxRollouts;
}

AdmissionChange Admission::offer(AdmissionRequest Request, TimePoint Now) {
  AdmissionChange change;
  bool canGoFirst = std::none_of(
      Waiting.begin(), Waiting.end(), [&](const AdmissionRequest &it) {
        return it.Priority >= Request.Priority && canStart(it);
      });
  if (canGoFirst && canStart(Request)) {
    addToFlow(Request);
    change.Started.push_back(Request.Id);
    start(Request, Now);
    return change;
  }
  // Refuse now instead of when the deadline passes in the queue.
  Micros wait = expectedWait(Request.Priority);
  if (Now + wait > Request.Deadline) {
    change.Refused.push_back(
        {Request.Id,
         makeOverloaded("the expected wait exceeds the deadline", wait)});
    return change;
  }
  if (!evictIfFull(Request, change)) {
    change.Refused.push_back(
        {Request.Id, makeOverloaded("the queue is full", wait)});
    return change;
  }
  addToFlow(Request);
  Waiting.push_back(std::move(Request));
  return change;
}

/// Returns true if the queue has room for `Incoming`. If the queue is full, a
/// request of lower priority, or of the same priority and a flow with a larger
/// share of the queue, is refused to make room.
bool Admission::evictIfFull(const AdmissionRequest &Incoming,
                            AdmissionChange &Changes) {
  double capacity = std::max(static_cast<double>(Setup.MinQueueCapacity),
                             Setup.QueueFactor * Limit.Limit);
  if (static_cast<double>(Waiting.size()) < capacity)
    return true;
  Queue::iterator victim = findLastOfLowestPriority();
  std::string reason = "displaced by a request of higher priority";
  if (victim != Waiting.end() && victim->Priority == Incoming.Priority) {
    victim = findLastOfLargestFlow(Incoming);
    reason = "the queue is full, and this flow holds the largest share";
  }
  if (victim == Waiting.end() || victim->Priority > Incoming.Priority)
    return false;
  Changes.Refused.push_back(
      {victim->Id,
       makeOverloaded(std::move(reason), expectedWait(victim->Priority))});
  removeFromFlow(*victim);
  Waiting.erase(victim);
  return true;
}

/// Returns the newest queued request of the lowest priority.
Admission::Queue::iterator Admission::findLastOfLowestPriority() {
  Queue::iterator lowest = Waiting.end();
  for (Queue::iterator it = Waiting.begin(); it != Waiting.end(); ++it) {
    if (lowest == Waiting.end() || it->Priority <= lowest->Priority)
      lowest = it;
  }
  return lowest;
}

/// Returns the newest request of the flow with the largest weighted share of
/// the queue at the priority of `Incoming`. Returns `Waiting.end()` if no flow
/// would hold more than the flow of `Incoming` with it included.
Admission::Queue::iterator
Admission::findLastOfLargestFlow(const AdmissionRequest &Incoming) {
  struct FlowShare {
    double Queued = 0;
    Queue::iterator Newest;
  };
  std::map<std::string_view, FlowShare> shares;
  for (Queue::iterator it = Waiting.begin(); it != Waiting.end(); ++it) {
    if (it->Priority != Incoming.Priority)
      continue;
    FlowShare &share = shares[it->Flow];
    share.Queued += 1.0 / std::max(1u, it->FlowWeight);
    share.Newest = it;
  }
  double own = 1.0 / std::max(1u, Incoming.FlowWeight);
  std::map<std::string_view, FlowShare>::const_iterator mine =
      shares.find(Incoming.Flow);
  if (mine != shares.end())
    own += mine->second.Queued;
  Queue::iterator victim = Waiting.end();
  for (const std::pair<const std::string_view, FlowShare> &it : shares) {
    if (it.second.Queued <= own)
      continue;
    own = it.second.Queued;
    victim = it.second.Newest;
  }
  return victim;
}

void Admission::addToFlow(const AdmissionRequest &Request) {
  Flow &flow = Flows[Request.Flow];
  // A flow that was idle gets no credit for that time.
  if (flow.Requests == 0)
    flow.ServiceUsed = std::max(flow.ServiceUsed, VirtualTime);
  ++flow.Requests;
}

void Admission::removeFromFlow(const AdmissionRequest &Request) {
  std::map<std::string, Flow>::iterator it = Flows.find(Request.Flow);
  if (it == Flows.end())
    return;
  --it->second.Requests;
  if (it->second.Requests == 0 && it->second.ServiceUsed <= VirtualTime)
    Flows.erase(it);
}

void Admission::start(const AdmissionRequest &Request, TimePoint Now) {
  Flow &flow = Flows[Request.Flow];
  VirtualTime = std::max(VirtualTime, flow.ServiceUsed);
  double charged = averageServiceMicros() / std::max(1u, Request.FlowWeight);
  flow.ServiceUsed += charged;
  if (Request.Rollout)
    ++RunningRollouts;
  std::uint64_t id = Request.Id;
  Running.emplace(id, RunningRequest{Request, Now, charged});
  Limit = withRunning(Limit, running(), Now);
}

/// Returns the queued request to start next: the highest priority that can
/// start, then the flow with the least service used, then the oldest request.
/// Returns `Waiting.end()` if none can start.
Admission::Queue::iterator Admission::findNext() {
  Queue::iterator best = Waiting.end();
  for (Queue::iterator it = Waiting.begin(); it != Waiting.end(); ++it) {
    if (!canStart(*it))
      continue;
    if (best == Waiting.end() || it->Priority > best->Priority) {
      best = it;
      continue;
    }
    if (it->Priority == best->Priority &&
        Flows[it->Flow].ServiceUsed < Flows[best->Flow].ServiceUsed)
      best = it;
  }
  return best;
}

void Admission::startWaiting(AdmissionChange &Changes, TimePoint Now) {
  for (;;) {
    Queue::iterator it = findNext();
    if (it == Waiting.end())
      return;
    AdmissionRequest request = std::move(*it);
    Waiting.erase(it);
    if (request.Deadline <= Now) {
      removeFromFlow(request);
      Changes.Refused.push_back(
          {request.Id,
           makeOverloaded("the deadline passed in the queue", Micros(0))});
      continue;
    }
    Changes.Started.push_back(request.Id);
    start(request, Now);
  }
}

void Admission::recordEnd(const RunningRequest &Completed, TimePoint Now) {
  if (Completed.Request.Rollout)
    --RunningRollouts;
  // Replace the service time assumed at the start by the actual one.
  double tookMicros = static_cast<double>((Now - Completed.StartedAt).count());
  Flows[Completed.Request.Flow].ServiceUsed +=
      tookMicros / std::max(1u, Completed.Request.FlowWeight) -
      Completed.ChargedMicros;
  removeFromFlow(Completed.Request);
}

AdmissionChange Admission::finish(std::uint64_t Id, TimePoint Now) {
  AdmissionChange change;
  std::unordered_map<std::uint64_t, RunningRequest>::iterator it =
      Running.find(Id);
  if (it == Running.end())
    return change;
  Micros took = Now - it->second.StartedAt;
  double sample = static_cast<double>(took.count());
  AverageMicros = AverageMicros <= 0
                      ? sample
                      : (1 - Setup.SampleWeight) * AverageMicros +
                            Setup.SampleWeight * sample;
  recordEnd(it->second, Now);
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
    recordEnd(it->second, Now);
    Running.erase(it);
    Limit = withRunning(Limit, running(), Now);
  } else {
    for (Queue::iterator waiting = Waiting.begin(); waiting != Waiting.end();
         ++waiting) {
      if (waiting->Id != Id)
        continue;
      removeFromFlow(*waiting);
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
        {it->Id,
         makeOverloaded("the deadline passed in the queue", Micros(0))});
    removeFromFlow(*it);
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

AdmissionChange Admission::holdRollouts(bool Held, TimePoint Now) {
  AdmissionChange change;
  RolloutsHeld = Held;
  startWaiting(change, Now);
  return change;
}

} // namespace wasabi
