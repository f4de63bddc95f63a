/// \file
/// Runs a soak test: real processes on the platform's stand-ins, behind fault
/// proxies, under a plan of faults.
#ifndef WASABI_INTEGRATIONTESTS_SOAK_SOAKRUN_H
#define WASABI_INTEGRATIONTESTS_SOAK_SOAKRUN_H

#include "IntegrationTests/Platform/PlatformFixture.h"
#include "IntegrationTests/Soak/SoakClients.h"
#include "IntegrationTests/Soak/SoakCustomers.h"
#include "IntegrationTests/Soak/SoakJudge.h"

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <tuple>
#include <utility>

namespace wasabi::soak {

/// Size of a soak test.
struct SoakSize {
  std::size_t Edges = 3;
  std::size_t Engines = 3;
  std::size_t Desks = 2;
  std::size_t Callers = 6;
  std::size_t Trainers = 2;
  /// Number of callers whose request crashes servers.
  std::size_t CrashingCallers = 0;
  /// Number of customers whose usage is reported; 0 for none.
  std::size_t Customers = 0;
  /// Number of models, trained in turn by the trainers.
  std::size_t Models = 1;
};

/// Result of a soak test.
struct SoakResult {
  std::vector<std::string> Violations;
  std::size_t Requests = 0;
  std::size_t Served = 0;
  /// Requests that crash no server, and how many of them were served.
  std::size_t InnocentRequests = 0;
  std::size_t InnocentServed = 0;
  /// Requests among them that were not served, by kind and status; a status of
  /// 0 means that there was no complete response.
  std::map<std::pair<ClientRequestKind, unsigned>, std::size_t>
      InnocentFailures;
  std::size_t Jobs = 0;
  std::size_t CompleteJobs = 0;
  /// Time from the end of the last fault until all is served again.
  Millis RecoveryTime{0};
};

/// Applies the steps of a plan and reverts each at its end. Used on one thread
/// other than the stand-ins' thread.
class SoakInjector {
public:
  SoakInjector(test::PlatformFixture &World, SoakClients &Clients,
               std::size_t Customers);

  /// Returns when all steps are finished and reverted.
  void runPlan(const std::vector<ScheduledFault> &Plan);
  /// Returns the record of the applied faults. Call after `runPlan`.
  const SoakGroundTruth &groundTruth() const { return GroundTruth; }

private:
  /// An action that is run at a later time.
  struct QueuedAction {
    TimePoint At;
    std::uint64_t Order = 0;
    std::function<void()> Run;
    bool operator<(const QueuedAction &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };

  void scheduleAction(Millis After, std::function<void()> Run);
  void inject(const ScheduledFault &Step);
  bool injectPlannedWork(const ScheduledFault &Step);
  bool injectProcessFault(const ScheduledFault &Step);
  bool injectStoreFault(const ScheduledFault &Step);
  bool injectLinkFault(const ScheduledFault &Step);
  void injectServerFault(const ScheduledFault &Step);
  bool injectStateFault(const ScheduledFault &Step);
  bool injectKeyFault(const ScheduledFault &Step);
  bool injectReporterFault(const ScheduledFault &Step);
  bool injectReportFault(const ScheduledFault &Step);
  std::optional<std::size_t> findLastReporter();
  void publish();
  void pauseEdge(std::size_t Edge, Millis Duration);
  void setReportFault(test::ReportBehavior Behavior, Millis Duration);
  void recordReportDelay(Millis After);
  void recordStoreOutage(const ScheduledFault &Step, TimePoint Now);
  void stopEdge(std::size_t Edge);
  void checkStopped(std::size_t Edge, TimePoint Until);
  void killEdge(std::size_t Edge, Millis Down);
  void restartEdge(std::size_t Edge);
  void drainServer(std::size_t Index);
  void crashServer(std::size_t Index, Millis Down);
  std::string makeServerId();
  void restartServer(std::size_t Index, const std::string &Id);
  void writeInvalidRegistrations(std::size_t ServerIndex);
  void expireRegistrations(const ScheduledFault &Step);
  void setLinkFault(const test::PlatformFixture::Proxy &Link, const char *Name,
                    const boost::json::value &Begin,
                    const boost::json::value &End, Millis Duration);
  void setStoreFault(test::StoreBehavior Behavior, Millis Duration);

  test::PlatformFixture &World;
  SoakClients &Clients;
  SoakGroundTruth GroundTruth;
  std::priority_queue<QueuedAction> Queue;
  std::uint64_t NextOrder = 0;
  /// Number of new server ids.
  std::uint64_t Starts = 0;
  /// Number of server crashes.
  std::uint64_t Crashes = 0;
  /// Servers that are down or draining.
  std::set<std::size_t> UnavailableServers;
  /// Edge processes that are down or stopping.
  std::set<std::size_t> UnavailableEdges;
  std::set<std::size_t> UnavailableSidecars;
  std::uint64_t Versions = 1;
  const std::size_t Customers;
  /// Customers whose revocable key is revoked.
  std::set<std::size_t> Revoked;
};

/// Runs one soak test and returns its result.
SoakResult runSoakTest(const SoakSize &Size, std::uint64_t Seed,
                       const std::vector<ScheduledFault> &Plan, bool KeepLogs);

} // namespace wasabi::soak

#endif // WASABI_INTEGRATIONTESTS_SOAK_SOAKRUN_H
