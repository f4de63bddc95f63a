/// \file
/// Does to a cluster what the schedule says, and undoes it.
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

/// What operators did, and what came of it. An immutable value.
struct OperatorAction {
  /// The rate that the limit `chaos` was to have; 0 for a preset.
  std::uint32_t Rate = 0;
  /// Exit code of wasabictl: 0 or 5 accepted, 1 refused, 6 unknown.
  int Code = -1;
  std::string Output;
};

/// Injects faults, each on a thread of its own. Not thread-safe itself.
class Injector {
public:
  explicit Injector(Cluster &On) : On(On) {}

  /// Injects all of a schedule, and returns once all of it is undone and every
  /// process runs again.
  void run(const std::vector<Fault> &Schedule);
  /// Whatever is still wrong is made right: faults cleared, processes started.
  void restoreCluster();
  /// Stops every process of the product as planned.
  void stopAll();

  const std::vector<PlannedStop> &stops() const { return Stops; }
  const std::vector<OperatorAction> &acts() const { return OperatorActions; }
  /// What the harness could not do.
  const std::vector<std::string> &problems() const { return Problems; }

private:
  void inject(const Fault &What, TimePoint Begin);
  void injectProcess(const Fault &What, Slot &Which);
  void injectLink(const Fault &What);
  void partitionDomain(const Fault &What);
  void injectPlatform(const Fault &What);
  void injectUpstream(const Fault &What);
  void injectOperator(const Fault &What);
  void stopSlot(Slot &Which, bool WithoutOtherFaults);
  void restartSlot(Slot &Which);
  void restorePreset();
  void killEngine(const Fault &What);
  void applyFaultsFor(harness::StandIn &Which, const std::string &Faults,
                      Millis Length, const std::string &Undo);
  void waitFor(Millis Length);
  void waitUntil(TimePoint When);
  void note(const std::string &Problem);
  void record(const OperatorAction &Act);

  Cluster &On;
  std::mutex Guard;
  std::condition_variable Never;
  std::vector<PlannedStop> Stops;
  std::vector<OperatorAction> OperatorActions;
  std::vector<std::string> Problems;
  std::uint32_t Rates = 1000;
};

} // namespace wasabi::chaos

#endif // WASABI_INTEGRATIONTESTS_CHAOS_INJECTOR_H
