/// \file
/// Applies the faults of a schedule to a cluster and reverts them.
#ifndef WASABI_INTEGRATIONTESTS_CHAOS_INJECTOR_H
#define WASABI_INTEGRATIONTESTS_CHAOS_INJECTOR_H

#include "IntegrationTests/Chaos/Cluster.h"
#include "IntegrationTests/Chaos/Schedule.h"
#include "IntegrationTests/Chaos/Tally.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace wasabi::chaos {

/// A change by an operator and its result. An immutable value.
struct OperatorAction {
  /// Requested rate of the limit `chaos`; 0 for a preset.
  std::uint32_t Rate = 0;
  /// Exit code of wasabictl: 0 or 5 accepted, 1 refused, 6 unknown.
  int Code = -1;
  std::string Output;
};

/// Injects each fault on its own thread. Not thread-safe.
class Injector {
public:
  explicit Injector(Cluster &Target) : Target(Target) {}

  /// Injects all faults of a schedule. Returns once they are reverted and every
  /// process is restarted.
  void run(const std::vector<Fault> &Schedule);
  /// Clears all faults and restarts all processes that are down.
  void restoreCluster();
  /// Stops every process of the product as planned.
  void stopAll();

  const std::vector<PlannedStop> &stops() const { return Stops; }
  const std::vector<OperatorAction> &operatorActions() const {
    return OperatorActions;
  }
  /// Returns the errors of the harness.
  const std::vector<std::string> &problems() const { return Problems; }

private:
  void inject(const Fault &Step, TimePoint Begin);
  void injectProcess(const Fault &Step, ProcessSlot &Slot);
  void injectLink(const Fault &Step);
  void partitionDomain(const Fault &Step);
  void injectPlatform(const Fault &Step);
  void injectUpstream(const Fault &Step);
  void injectOperator(const Fault &Step);
  void stopSlot(ProcessSlot &Slot, bool WithoutOtherFaults);
  void restartSlot(ProcessSlot &Slot);
  void restorePreset();
  void killEngine(const Fault &Step);
  void applyFaultsFor(harness::StandIn &Server, const std::string &Faults,
                      Millis Length, const std::string &UndoFaults);
  void waitFor(Millis Length);
  void waitUntil(TimePoint When);
  void recordProblem(const std::string &Problem);
  void record(const OperatorAction &Act);

  Cluster &Target;
  std::mutex Mutex;
  std::condition_variable SleepCondition;
  std::vector<PlannedStop> Stops;
  std::vector<OperatorAction> OperatorActions;
  std::vector<std::string> Problems;
  std::uint32_t LastRate = 1000;
};

} // namespace wasabi::chaos

#endif // WASABI_INTEGRATIONTESTS_CHAOS_INJECTOR_H
