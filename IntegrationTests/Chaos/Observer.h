/// \file
/// Watches a running cluster from outside: keeps the balancer's list of ready
/// entries, and gathers the time lines before a process that is killed takes
/// its own with it.
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

/// Two threads. Destroy it before the cluster and the load.
class Observer {
public:
  Observer(Cluster &Of, CallerLoad &Load);
  ~Observer();
  Observer(const Observer &) = delete;
  Observer &operator=(const Observer &) = delete;

  /// Stops watching, after one last look, and gives all events seen.
  std::vector<TimelineEvent> finish();

private:
  void balancerLoop();
  void timelineLoop();
  void gather(const Slot &Which);
  void stop();

  Cluster &Of;
  CallerLoad &Load;
  std::atomic<bool> Ending{false};
  /// The next sequence number, by admin address: each start has its own.
  std::map<Address, std::uint64_t> Next;
  std::vector<TimelineEvent> Events;
  std::thread Balancer;
  std::thread TimelineThread;
};

} // namespace wasabi::chaos

#endif // WASABI_INTEGRATIONTESTS_CHAOS_OBSERVER_H
