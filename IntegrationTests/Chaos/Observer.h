/// \file
/// Observes a running cluster: updates the balancer's list of ready entries,
/// and reads the timelines regularly, as a killed process loses its own.
#ifndef WASABI_INTEGRATIONTESTS_CHAOS_OBSERVER_H
#define WASABI_INTEGRATIONTESTS_CHAOS_OBSERVER_H

#include "IntegrationTests/Chaos/CallerLoad.h"
#include "IntegrationTests/Chaos/Cluster.h"
#include "Wasabi/Core/Timeline.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace wasabi::chaos {

/// Runs two threads. Must be destroyed before the cluster and the load.
class Observer {
public:
  Observer(Cluster &Target, CallerLoad &Load);
  ~Observer();
  Observer(const Observer &) = delete;
  Observer &operator=(const Observer &) = delete;

  /// Reads all timelines once more, stops, and returns all events.
  std::vector<TimelineEvent> finish();

private:
  void balancerLoop();
  void timelineLoop();
  void readTimeline(const ProcessSlot &Slot);
  void stop();

  Cluster &Target;
  CallerLoad &Load;
  std::atomic<bool> Ending{false};
  /// Next sequence number by admin address; each process start has its own
  /// address.
  std::map<Address, std::uint64_t> NextSequence;
  std::vector<TimelineEvent> Events;
  std::thread BalancerThread;
  std::thread TimelineThread;
};

} // namespace wasabi::chaos

#endif // WASABI_INTEGRATIONTESTS_CHAOS_OBSERVER_H
