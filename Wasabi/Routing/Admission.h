/// \file
/// Admission control for one server: decides which requests run, wait in the
/// queue or are refused. Higher priorities go first, and flows of the same
/// priority share the server by weight (docs/design/admission.md).
#ifndef WASABI_ROUTING_ADMISSION_H
#define WASABI_ROUTING_ADMISSION_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Routing/ConcurrencyLimit.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace wasabi {

/// A request for admission. An immutable value.
struct AdmissionRequest {
  /// Unique among the running and queued requests of one `Admission`.
  std::uint64_t Id = 0;
  /// Higher values go first.
  std::int32_t Priority = 0;
  /// True for a sample of a rollout; the preset limits their share of the
  /// server.
  bool Rollout = false;
  /// Fair-queueing key: the trainer or caller that the request belongs to.
  std::string Flow;
  /// Weight of the flow relative to other flows, at least 1.
  std::uint32_t FlowWeight = 1;
  TimePoint Deadline;
  bool operator==(const AdmissionRequest &) const = default;
};

/// A refused request and the reason.
struct AdmissionRefusal {
  std::uint64_t Id = 0;
  Failure Why;
  bool operator==(const AdmissionRefusal &) const = default;
};

/// The requests that an event started or refused.
struct AdmissionChange {
  std::vector<std::uint64_t> Started;
  std::vector<AdmissionRefusal> Refused;
  bool operator==(const AdmissionChange &) const = default;
};

/// Queue and concurrency limit of one server. Deterministic: the caller passes
/// the time. Not thread-safe.
class Admission {
public:
  struct Settings {
    ConcurrencyLimit::Settings Concurrency;
    /// Queue capacity as a multiple of the concurrency limit.
    double QueueFactor = 2.0;
    /// Lower bound of the queue capacity, in requests.
    std::uint32_t MinQueueCapacity = 16;
    /// Weight of a new sample in the moving average of the service time, from 0
    /// to 1.
    double SampleWeight = 0.1;
    /// Service time assumed until the first request has finished.
    Micros DefaultServiceTime{5000};
  };

  /// `Server` is the name given in refusals.
  Admission(std::string Server, Settings Setup, TimePoint Now);

  /// Starts, queues or refuses a new request. If the queue is full, a queued
  /// request of lower priority, or of a flow that holds a larger share of the
  /// queue, may be refused in its place.
  AdmissionChange offer(AdmissionRequest Request, TimePoint Now);
  /// Records that a running request ended with a complete answer.
  AdmissionChange finish(std::uint64_t Id, TimePoint Now);
  /// Records that a running or queued request ended without a complete answer.
  /// `Overloaded` is true if the server refused it for overload or timed out;
  /// this lowers the concurrency limit.
  AdmissionChange abandon(std::uint64_t Id, bool Overloaded, TimePoint Now);
  /// Refuses the queued requests whose deadline has passed, and starts those
  /// that can start.
  AdmissionChange tick(TimePoint Now);
  /// Sets the maximum share of the limit that rollouts may use, in percent.
  AdmissionChange setRolloutPercent(std::uint32_t Percent, TimePoint Now);
  /// Sets the number of requests that the server reports to run concurrently.
  AdmissionChange setSlots(std::uint32_t Slots, TimePoint Now);
  /// While `Held` is true, no request with `Rollout` set starts, so that the
  /// running samples drain before the server's weights are swapped.
  AdmissionChange holdRollouts(bool Held, TimePoint Now);

  std::uint32_t running() const {
    return static_cast<std::uint32_t>(Running.size());
  }
  std::uint32_t runningRollouts() const { return RunningRollouts; }
  std::uint32_t queued() const {
    return static_cast<std::uint32_t>(Waiting.size());
  }
  std::uint32_t limit() const { return Limit.effectiveLimit(); }
  /// Returns the limit without its temporary reduction during a probe.
  std::uint32_t limitIgnoringProbe() const {
    return static_cast<std::uint32_t>(Limit.Limit);
  }
  /// Returns the expected wait of a request that arrives now with `Priority`.
  Micros expectedWait(std::int32_t Priority) const;

private:
  struct RunningRequest {
    AdmissionRequest Request;
    TimePoint StartedAt;
    double ChargedMicros = 0;
  };
  struct Flow {
    /// Service time used so far, divided by the weight, in microseconds.
    double ServiceUsed = 0;
    std::uint32_t Requests = 0;
  };
  using Queue = std::list<AdmissionRequest>;

  double averageServiceMicros() const;
  bool canStart(const AdmissionRequest &Request) const;
  Queue::iterator findNext();
  void start(const AdmissionRequest &Request, TimePoint Now);
  void addToFlow(const AdmissionRequest &Request);
  void removeFromFlow(const AdmissionRequest &Request);
  void recordEnd(const RunningRequest &Completed, TimePoint Now);
  void startWaiting(AdmissionChange &Changes, TimePoint Now);
  Queue::iterator findLastOfLowestPriority();
  Queue::iterator findLastOfLargestFlow(const AdmissionRequest &Incoming);
  bool evictIfFull(const AdmissionRequest &Incoming, AdmissionChange &Changes);
  Failure makeOverloaded(std::string Reason, Micros Wait) const;

  const std::string Server;
  const Settings Setup;
  ConcurrencyLimit Limit;
  std::unordered_map<std::uint64_t, RunningRequest> Running;
  std::uint32_t RunningRollouts = 0;
  std::uint32_t RolloutPercent = 100;
  bool RolloutsHeld = false;
  /// Queued requests in the order of arrival.
  Queue Waiting;
  std::map<std::string, Flow> Flows;
  /// `ServiceUsed` at which a flow that was idle starts, in microseconds.
  double VirtualTime = 0;
  double AverageMicros = 0;
};

} // namespace wasabi

#endif // WASABI_ROUTING_ADMISSION_H
