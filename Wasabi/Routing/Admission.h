/// \file
/// Admission to one server: how many run, who waits, who is refused early. The
/// queue is bounded by what its members' deadlines allow; higher priorities go
/// first, and flows of one priority share by weight
/// (docs/design/admission.md).
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

/// One request that asks to run. An immutable value.
struct AdmissionRequest {
  /// Names it within this admission.
  std::uint64_t Id = 0;
  /// Higher goes first.
  std::int32_t Priority = 0;
  /// A sample, whose share of the server a preset bounds.
  bool Rollout = false;
  /// Who shares with whom: a trainer or a caller.
  std::string Flow;
  /// Weight of the flow against others, from 1.
  std::uint32_t FlowWeight = 1;
  /// Its deadline.
  TimePoint Deadline;
  bool operator==(const AdmissionRequest &) const = default;
};

/// One that waited and is refused after all.
struct AdmissionRefusal {
  std::uint64_t Id = 0;
  Failure Why;
  bool operator==(const AdmissionRefusal &) const = default;
};

/// What an event changed: who runs from now on, and who is refused.
struct AdmissionChange {
  std::vector<std::uint64_t> Started;
  std::vector<AdmissionRefusal> Refused;
  bool operator==(const AdmissionChange &) const = default;
};

/// Deterministic; time is passed in. Not thread-safe.
class Admission {
public:
  struct Settings {
    ConcurrencyLimit::Settings Concurrency;
    /// The queue holds this many times the limit,
    double QueueFactor = 2.0;
    /// and at least this many.
    std::uint32_t MinQueueCapacity = 16;
    /// Weight of a new sample in the average service time.
    double SampleWeight = 0.1;
    /// Assumed service time before there is a sample.
    Micros DefaultServiceTime{5000};
  };

  /// Names the server in refusals.
  Admission(std::string Server, Settings Setup, TimePoint Now);

  /// A request asks to run: it starts, waits, or is refused; another one with a
  /// lower priority, or of a flow that holds more of the queue, may be refused
  /// for it.
  AdmissionChange offer(AdmissionRequest Ask, TimePoint Now);
  /// A running request ended with a whole answer.
  AdmissionChange finish(std::uint64_t Id, TimePoint Now);
  /// A running or waiting request ended otherwise. `Overloaded` says that the
  /// server refused for overload or did not answer in time.
  AdmissionChange abandon(std::uint64_t Id, bool Overloaded, TimePoint Now);
  /// Time passed: refuses those whose deadline cannot be held any more.
  AdmissionChange tick(TimePoint Now);
  /// Most of the limit that rollouts may hold, in percent.
  AdmissionChange setRolloutPercent(std::uint32_t Percent, TimePoint Now);
  /// The server said how many it runs at once.
  AdmissionChange setSlots(std::uint32_t Slots, TimePoint Now);
  /// While held, nothing that `Rollout` marks starts: the server's weights are
  /// to be swapped after the running samples.
  AdmissionChange holdRollouts(bool Held, TimePoint Now);

  std::uint32_t running() const {
    return static_cast<std::uint32_t>(Running.size());
  }
  std::uint32_t runningRollouts() const { return RunningRollouts; }
  std::uint32_t queued() const {
    return static_cast<std::uint32_t>(Waiting.size());
  }
  std::uint32_t limit() const { return Limit.whole(); }
  /// The limit apart from a measurement at hand, which lowers it for a moment.
  std::uint32_t limitIgnoringProbe() const {
    return static_cast<std::uint32_t>(Limit.Limit);
  }
  /// The wait to be expected by one that comes now.
  Micros expectedWait(std::int32_t Priority) const;

private:
  struct RunningRequest {
    AdmissionRequest Ask;
    TimePoint Began;
    double Charged = 0;
  };
  struct Flow {
    /// Service taken so far over the weight, in microseconds.
    double Served = 0;
    std::uint32_t Members = 0;
  };
  using Queue = std::list<AdmissionRequest>;

  double serviceMicros() const;
  bool canStart(const AdmissionRequest &Ask) const;
  Queue::iterator next();
  void start(const AdmissionRequest &Ask, TimePoint Now);
  void join(const AdmissionRequest &Ask);
  void part(const AdmissionRequest &Ask);
  void end(const RunningRequest &Ended, TimePoint Now);
  void startWaiting(AdmissionChange &Change, TimePoint Now);
  Queue::iterator findLastOfLowestPriority();
  Queue::iterator findLastOfLargestFlow(const AdmissionRequest &For);
  bool makeRoom(const AdmissionRequest &For, AdmissionChange &Change);
  Failure overloaded(std::string Reason, Micros Wait) const;

  const std::string Server;
  const Settings Setup;
  ConcurrencyLimit Limit;
  std::unordered_map<std::uint64_t, RunningRequest> Running;
  std::uint32_t RunningRollouts = 0;
  std::uint32_t RolloutPercent = 100;
  bool Held = false;
  /// In the order of arrival.
  Queue Waiting;
  std::map<std::string, Flow> Flows;
  /// The least service of those that ran last: where a new flow begins.
  double VirtualTime = 0;
  double AverageMicros = 0;
};

} // namespace wasabi

#endif // WASABI_ROUTING_ADMISSION_H
