/// \file
/// One soak: the real processes on the platform's stand-ins behind fault
/// proxies, under a plan of faults, judged.
#ifndef WASABI_INTEGRATIONTESTS_SOAK_SOAKRUN_H
#define WASABI_INTEGRATIONTESTS_SOAK_SOAKRUN_H

#include "IntegrationTests/Platform/PlatformWorld.h"
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
  std::size_t WholeJobs = 0;
  /// From the last fault's end until all was served again.
  Millis Recovered{0};
};

/// Carries out the steps of a plan, and undoes each at its end. Used on one
/// thread, which is not the stand-ins'.
class SoakInjector {
public:
  SoakInjector(test::PlatformWorld &World, SoakClients &Clients,
               std::size_t Customers);

  /// Returns when all steps are over and undone.
  void play(const std::vector<SoakStep> &Plan);
  /// What was done. Call after `play`.
  const SoakTruth &done() const { return Done; }

private:
  /// Something to do later.
  struct Timed {
    TimePoint At;
    std::uint64_t Order = 0;
    std::function<void()> Act;
    bool operator<(const Timed &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };

  void later(Millis After, std::function<void()> Act);
  void begin(const SoakStep &Step);
  bool beginPlanned(const SoakStep &Step);
  bool beginOnProcess(const SoakStep &Step);
  bool beginOnStore(const SoakStep &Step);
  bool beginOnLink(const SoakStep &Step);
  void beginOnServer(const SoakStep &Step);
  bool beginOnKeys(const SoakStep &Step);
  bool beginOnReporter(const SoakStep &Step);
  bool beginOnReports(const SoakStep &Step);
  std::optional<std::size_t> reporter();
  void publish();
  void pauseEdge(std::size_t Edge, Millis For);
  void reportMood(test::ReportMood What, Millis For);
  void heldUpUntil(Millis After);
  void noteStoreCut(const SoakStep &Step, TimePoint Now);
  void stopEdge(std::size_t Edge);
  void awaitStop(std::size_t Edge, TimePoint Until);
  void killEdge(std::size_t Edge, Millis Down);
  void restartEdge(std::size_t Edge);
  void drainServer(std::size_t Index);
  void crashServer(std::size_t Index, Millis Down);
  std::string newId();
  void returnServer(std::size_t Index, const std::string &Id);
  void writeForeignEntries(std::size_t Over);
  void lapse(const SoakStep &Step);
  void fault(const test::PlatformWorld::Proxy &Of, const char *Name,
             const boost::json::value &Begin, const boost::json::value &End,
             Millis For);
  void mood(test::StoreMood What, Millis For);

  test::PlatformWorld &World;
  SoakClients &Clients;
  SoakTruth Done;
  std::priority_queue<Timed> Queue;
  std::uint64_t Orders = 0;
  /// Counts the starts of servers, for their names.
  std::uint64_t Starts = 0;
  /// Counts the crashes of servers.
  std::uint64_t Crashes = 0;
  /// Servers that are down or leaving.
  std::set<std::size_t> Away;
  /// Edge processes that are down or leaving.
  std::set<std::size_t> EdgesAway;
  std::set<std::size_t> SidesAway;
  std::uint64_t Versions = 1;
  const std::size_t Customers;
  /// Customers without their passing key.
  std::set<std::size_t> Revoked;
};

/// Runs one soak.
SoakResult soakOnce(const SoakSize &Size, std::uint64_t Seed,
                    const std::vector<SoakStep> &Plan, bool KeepLogs);

} // namespace wasabi::soak

#endif // WASABI_INTEGRATIONTESTS_SOAK_SOAKRUN_H
