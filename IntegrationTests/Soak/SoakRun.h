/// \file
/// One soak: the real processes on the platform's stand-ins behind fault
/// proxies, under a plan of faults, judged.
#ifndef WASABI_INTEGRATIONTESTS_SOAK_SOAKRUN_H
#define WASABI_INTEGRATIONTESTS_SOAK_SOAKRUN_H

#include "IntegrationTests/Platform/PlatformFixture.h"
#include "IntegrationTests/Soak/SoakClients.h"
#include "IntegrationTests/Soak/SoakCustomers.h"
#include "IntegrationTests/Soak/SoakJudge.h"

#include <functional>
#include <queue>
#include <set>
#include <tuple>

namespace wasabi::soak {

/// How large a soak is.
struct SoakSize {
  std::size_t Edges = 3;
  std::size_t Engines = 3;
  std::size_t Desks = 2;
  std::size_t Callers = 6;
  std::size_t Trainers = 2;
  /// Callers whose one request ends servers.
  std::size_t Crashing = 0;
  /// Customers whose usage is reported; 0 for none.
  std::size_t Customers = 0;
};

/// What came of a soak.
struct SoakResult {
  std::vector<std::string> Faults;
  std::size_t Asks = 0;
  std::size_t Served = 0;
  std::size_t Jobs = 0;
  std::size_t CompleteJobs = 0;
  /// From the last fault's end until all was served again.
  Millis RecoveryTime{0};
};

/// Carries out the steps of a plan, and undoes each at its end. Used on one
/// thread, which is not the stand-ins'.
class SoakInjector {
public:
  SoakInjector(test::PlatformFixture &World, SoakClients &Clients,
               std::size_t Customers);

  /// Returns when all steps are over and undone.
  void runPlan(const std::vector<ScheduledFault> &Plan);
  /// What was done. Call after `play`.
  const SoakGroundTruth &done() const { return Done; }

private:
  /// Something to do later.
  struct QueuedAction {
    TimePoint At;
    std::uint64_t Order = 0;
    std::function<void()> Act;
    bool operator<(const QueuedAction &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };

  void later(Millis After, std::function<void()> Act);
  void begin(const ScheduledFault &Step);
  bool injectPlannedWork(const ScheduledFault &Step);
  bool injectProcessFault(const ScheduledFault &Step);
  bool injectStoreFault(const ScheduledFault &Step);
  bool injectLinkFault(const ScheduledFault &Step);
  void injectServerFault(const ScheduledFault &Step);
  bool injectKeyFault(const ScheduledFault &Step);
  bool injectReporterFault(const ScheduledFault &Step);
  bool injectReportFault(const ScheduledFault &Step);
  std::optional<std::size_t> reporter();
  void publish();
  void pauseEdge(std::size_t Edge, Millis For);
  void setReportFault(test::ReportBehavior What, Millis For);
  void recordReportDelay(Millis After);
  void recordStoreOutage(const ScheduledFault &Step, TimePoint Now);
  void stopEdge(std::size_t Edge);
  void checkStopped(std::size_t Edge, TimePoint Until);
  void killEdge(std::size_t Edge, Millis Down);
  void restartEdge(std::size_t Edge);
  void drainServer(std::size_t Index);
  void crashServer(std::size_t Index, Millis Down);
  std::string newId();
  void restartServer(std::size_t Index, const std::string &Id);
  void writeInvalidRegistrations(std::size_t Over);
  void lapse(const ScheduledFault &Step);
  void fault(const test::PlatformFixture::Proxy &Of, const char *Name,
             const boost::json::value &Begin, const boost::json::value &End,
             Millis For);
  void mood(test::StoreBehavior What, Millis For);

  test::PlatformFixture &World;
  SoakClients &Clients;
  SoakGroundTruth Done;
  std::priority_queue<QueuedAction> Queue;
  std::uint64_t Orders = 0;
  /// Counts the starts of servers, for their names.
  std::uint64_t Starts = 0;
  /// Counts the crashes of servers.
  std::uint64_t Crashes = 0;
  /// Servers that are down or leaving.
  std::set<std::size_t> UnavailableServers;
  /// Edge processes that are down or leaving.
  std::set<std::size_t> UnavailableEdges;
  std::set<std::size_t> UnavailableSidecars;
  std::uint64_t Versions = 1;
  const std::size_t Customers;
  /// Customers without their passing key.
  std::set<std::size_t> Revoked;
};

/// Runs one soak.
SoakResult runSoakTest(const SoakSize &Size, std::uint64_t Seed,
                       const std::vector<ScheduledFault> &Plan, bool KeepLogs);

} // namespace wasabi::soak

#endif // WASABI_INTEGRATIONTESTS_SOAK_SOAKRUN_H
