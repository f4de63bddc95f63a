#include "IntegrationTests/Soak/SoakRun.h"

#include <csignal>
#include <fstream>
#include <thread>

namespace wasabi::soak {

namespace {

/// Delay between events of a normal engine and of a slow one.
constexpr Millis NormalEventDelay{15};
constexpr Millis SlowEventDelay{120};
/// Time after which the registration of a crashed server expires.
constexpr Millis RegistrationExpiryDelay{1000};
/// Maximum duration of a planned stop.
constexpr Millis StopTimeout{12000};
/// Time for which a draining server continues to serve.
constexpr Millis DrainTime{3500};

} // namespace

SoakInjector::SoakInjector(test::PlatformFixture &World, SoakClients &Clients,
                           std::size_t Customers)
    : World(World), Clients(Clients), Customers(Customers) {}

void SoakInjector::scheduleAction(Millis After, std::function<void()> Run) {
  Queue.push(QueuedAction{monotonicNow() + After, NextOrder++, std::move(Run)});
}

void SoakInjector::runPlan(const std::vector<ScheduledFault> &Plan) {
  for (const ScheduledFault &it : Plan)
    scheduleAction(it.At, [this, it] { inject(it); });
  while (!Queue.empty()) {
    QueuedAction next = Queue.top();
    Queue.pop();
    std::this_thread::sleep_until(next.At);
    next.Run();
  }
}

void SoakInjector::inject(const ScheduledFault &Step) {
  TimePoint now = monotonicNow();
  GroundTruth.Faults.push_back({Step.Kind, now, now + Step.Duration});
  recordStoreOutage(Step, now);
  if (injectPlannedWork(Step) || injectProcessFault(Step) ||
      injectStoreFault(Step) || injectLinkFault(Step) || injectKeyFault(Step) ||
      injectReporterFault(Step) || injectReportFault(Step) ||
      injectStateFault(Step))
    return;
  injectServerFault(Step);
}

//===--- Planned work -----------------------------------------------------===//

bool SoakInjector::injectPlannedWork(const ScheduledFault &Step) {
  std::size_t edge = Step.Target % World.edges();
  switch (Step.Kind) {
  case SoakFault::Configure:
    publish();
    return true;
  case SoakFault::NameVersion:
    World.nameVersion(Clients.LatestNamedVersion + 1);
    ++Clients.LatestNamedVersion;
    return true;
  case SoakFault::StopEdge:
    stopEdge(edge);
    return true;
  case SoakFault::ReloadEdge:
    if (!UnavailableEdges.contains(edge))
      World.edge(edge).Running->signal(SIGHUP);
    return true;
  case SoakFault::DrainServer:
    drainServer(Step.Target % World.servers());
    return true;
  default:
    return false;
  }
}

void SoakInjector::publish() {
  World.configure(++Versions);
  GroundTruth.Publications.push_back({Versions, monotonicNow()});
  Clients.LatestConfigVersion = Versions;
}

/// Does nothing if it would stop the last available process, which would not be
/// planned work.
void SoakInjector::stopEdge(std::size_t Edge) {
  if (UnavailableEdges.contains(Edge) ||
      UnavailableEdges.size() + 1 >= World.edges())
    return;
  UnavailableEdges.insert(Edge);
  GroundTruth.Stops.push_back(
      {Edge, Clients.Incarnations[Edge], monotonicNow()});
  World.edge(Edge).Running->signal(SIGTERM);
  scheduleAction(Millis(0), [this, Edge] {
    checkStopped(Edge, monotonicNow() + StopTimeout);
  });
}

void SoakInjector::checkStopped(std::size_t Edge, TimePoint Until) {
  constexpr Millis CheckInterval{50};
  harness::Process &process = *World.edge(Edge).Running;
  if (process.running() && monotonicNow() < Until) {
    scheduleAction(CheckInterval,
                   [this, Edge, Until] { checkStopped(Edge, Until); });
    return;
  }
  if (process.running())
    GroundTruth.UnstoppedEdges.push_back(Edge);
  restartEdge(Edge);
}

void SoakInjector::drainServer(std::size_t Index) {
  if (UnavailableServers.contains(Index) ||
      UnavailableServers.size() + 2 >= World.servers())
    return;
  UnavailableServers.insert(Index);
  std::string id = World.server(Index).id();
  World.registerServer(Index, true);
  GroundTruth.Drains.push_back({id, monotonicNow()});
  scheduleAction(DrainTime, [this, Index, id] {
    World.unregisterServer(id);
    restartServer(Index, makeServerId());
  });
}

//===--- Processes --------------------------------------------------------===//

bool SoakInjector::injectProcessFault(const ScheduledFault &Step) {
  std::size_t edge = Step.Target % World.edges();
  std::size_t sidecar = Step.Target % World.size().Engines;
  switch (Step.Kind) {
  case SoakFault::KillEdge:
    killEdge(edge, Step.Duration);
    return true;
  case SoakFault::KillAllEdges:
    for (std::size_t i = 0; i < World.edges(); ++i)
      killEdge(i, Step.Duration);
    return true;
  case SoakFault::PauseEdge:
    pauseEdge(edge, Step.Duration);
    return true;
  case SoakFault::KillSidecar:
    if (!UnavailableSidecars.insert(sidecar).second)
      return true;
    World.sidecar(sidecar).signal(SIGKILL);
    scheduleAction(Step.Duration, [this, sidecar] {
      UnavailableSidecars.erase(sidecar);
      World.startSidecar(sidecar);
    });
    return true;
  case SoakFault::PauseSidecar:
    World.sidecar(sidecar).signal(SIGSTOP);
    scheduleAction(Step.Duration,
                   [this, sidecar] { World.sidecar(sidecar).signal(SIGCONT); });
    return true;
  default:
    return false;
  }
}

/// Reports sent before the pause may arrive after the process resumes.
void SoakInjector::pauseEdge(std::size_t Edge, Millis Duration) {
  if (UnavailableEdges.contains(Edge))
    return;
  World.edge(Edge).Running->signal(SIGSTOP);
  scheduleAction(Duration, [this, Edge] {
    World.edge(Edge).Running->signal(SIGCONT);
    recordReportDelay(Millis(0));
  });
}

void SoakInjector::killEdge(std::size_t Edge, Millis Down) {
  if (!UnavailableEdges.insert(Edge).second)
    return;
  GroundTruth.Kills.push_back(
      {Edge, Clients.Incarnations[Edge], monotonicNow()});
  World.edge(Edge).Running->signal(SIGKILL);
  scheduleAction(Down, [this, Edge] { restartEdge(Edge); });
}

void SoakInjector::restartEdge(std::size_t Edge) {
  GroundTruth.Output += World.edge(Edge).Running->output();
  ++Clients.Incarnations[Edge];
  World.startEdge(Edge);
  UnavailableEdges.erase(Edge);
}

//===--- The store --------------------------------------------------------===//

void SoakInjector::setStoreFault(test::StoreBehavior Behavior,
                                 Millis Duration) {
  World.runOnPlatformThread([&] { World.store().setBehavior(Behavior); });
  scheduleAction(Duration, [this] {
    World.runOnPlatformThread(
        [&] { World.store().setBehavior(test::StoreBehavior::Normal); });
  });
}

bool SoakInjector::injectStoreFault(const ScheduledFault &Step) {
  using test::StoreBehavior;
  switch (Step.Kind) {
  case SoakFault::StoreBusy:
    setStoreFault(StoreBehavior::Busy, Step.Duration);
    return true;
  case SoakFault::StoreSilent:
    setStoreFault(StoreBehavior::Unresponsive, Step.Duration);
    return true;
  case SoakFault::StoreResets:
    setStoreFault(StoreBehavior::Reset, Step.Duration);
    return true;
  case SoakFault::StoreLosesAnswers:
    setStoreFault(StoreBehavior::LosesAnswers, Step.Duration);
    return true;
  case SoakFault::StoreLate:
    setStoreFault(StoreBehavior::Late, Step.Duration);
    return true;
  case SoakFault::StoreSlow:
    setStoreFault(StoreBehavior::Slow, Step.Duration);
    return true;
  case SoakFault::StoreCompacts:
    World.runOnPlatformThread([&] {
      World.store().compact("keyed.op");
      World.store().compact("keyed.servers");
    });
    writeInvalidRegistrations(Step.Target % World.servers());
    return true;
  case SoakFault::RegistrationsExpire:
    expireRegistrations(Step);
    return true;
  default:
    return false;
  }
}

/// Simulates another writer that adds invalid entries to the registrations and
/// overwrites one server, which registers again after a heartbeat.
void SoakInjector::writeInvalidRegistrations(std::size_t ServerIndex) {
  constexpr Millis Heartbeat{600};
  const std::string entries[] = {
      "{", R"({"service":"desk"})", "\xff\xfe bytes",
      R"({"service":"desk","address":"127.0.0.1:9","zone":"hall",)"
      R"("version":"v1","slots":4,"state":"warming","sequence":1})"};
  World.runOnPlatformThread([&] {
    for (std::size_t i = 0; i < std::size(entries); ++i)
      World.store().write("keyed.servers", "x-" + std::to_string(i),
                          entries[i]);
    if (!UnavailableServers.contains(ServerIndex))
      World.store().write("keyed.servers", World.server(ServerIndex).id(),
                          "{}");
  });
  scheduleAction(Heartbeat, [this, ServerIndex] {
    if (!UnavailableServers.contains(ServerIndex))
      World.registerServer(ServerIndex, false);
  });
}

/// Registrations expire while the store is unreachable; the servers register
/// again within two seconds of its return.
void SoakInjector::expireRegistrations(const ScheduledFault &Step) {
  constexpr Millis ReturnDelay{1200};
  setStoreFault(test::StoreBehavior::Busy, Step.Duration);
  std::vector<std::size_t> expired;
  for (std::size_t i = 0; i < World.servers(); ++i) {
    if (!UnavailableServers.contains(i))
      expired.push_back(i);
  }
  scheduleAction(Step.Duration / 2, [this, expired] {
    for (std::size_t it : expired)
      World.unregisterServer(World.server(it).id());
  });
  scheduleAction(Step.Duration + ReturnDelay, [this, expired] {
    for (std::size_t it : expired) {
      if (!UnavailableServers.contains(it))
        World.registerServer(it, false);
    }
  });
}

//===--- Links ------------------------------------------------------------===//

void SoakInjector::setLinkFault(const test::PlatformFixture::Proxy &Link,
                                const char *Name,
                                const boost::json::value &Begin,
                                const boost::json::value &End,
                                Millis Duration) {
  World.setFaults(Link, {{Name, Begin}});
  scheduleAction(Duration, [this, Link, Name, End] {
    World.setFaults(Link, {{Name, End}});
  });
}

bool SoakInjector::injectLinkFault(const ScheduledFault &Step) {
  constexpr double DelayMs = 250;
  std::size_t process = Step.Target % (World.edges() + World.size().Engines);
  test::PlatformFixture::Proxy store = World.storeLink(process);
  test::PlatformFixture::Proxy caller =
      World.callerLink(Step.Target % World.edges());
  switch (Step.Kind) {
  case SoakFault::StoreLinkRefuses:
    World.setFaults(store, {{"cut_now", true}});
    setLinkFault(store, "refuse", true, false, Step.Duration);
    return true;
  case SoakFault::StoreLinkSilent:
    setLinkFault(store, "half_open", true, false, Step.Duration);
    return true;
  case SoakFault::StoreLinkOneWay:
    setLinkFault(store, "one_way", true, false, Step.Duration);
    return true;
  case SoakFault::StoreLinkDelays:
    setLinkFault(store, "delay_ms", DelayMs, 0.0, Step.Duration);
    return true;
  case SoakFault::CallerLinkCut:
    World.setFaults(caller, {{"cut_now", true}});
    return true;
  case SoakFault::CallerLinkDelays:
    setLinkFault(caller, "delay_ms", DelayMs, 0.0, Step.Duration);
    return true;
  default:
    return false;
  }
}

//===--- Keys and the reporter --------------------------------------------===//

bool SoakInjector::injectKeyFault(const ScheduledFault &Step) {
  if (Step.Kind != SoakFault::RevokeKey)
    return false;
  std::size_t customer = Step.Target % Customers;
  if (!Revoked.insert(customer).second)
    return true;
  World.setCustomers(makeSoakCustomers(Customers, Revoked));
  publish();
  GroundTruth.KeyChanges.push_back({customer, true, monotonicNow()});
  scheduleAction(Step.Duration + Millis(3000), [this, customer] {
    Revoked.erase(customer);
    World.setCustomers(makeSoakCustomers(Customers, Revoked));
    GroundTruth.KeyChanges.push_back({customer, false, monotonicNow()});
    publish();
  });
  return true;
}

/// Records which processes can't reach the store during a step.
void SoakInjector::recordStoreOutage(const ScheduledFault &Step,
                                     TimePoint Now) {
  bool ofReporter = Step.Kind >= SoakFault::ReporterStoreRefuses &&
                    Step.Kind <= SoakFault::ReporterStoreDelays;
  bool ofLink = Step.Kind >= SoakFault::StoreLinkRefuses &&
                Step.Kind <= SoakFault::StoreLinkDelays;
  bool ofAll = Step.Kind >= SoakFault::StoreBusy &&
               Step.Kind <= SoakFault::RegistrationsExpire;
  std::optional<std::size_t> edge;
  if (ofReporter)
    edge = findLastReporter();
  if (ofLink)
    edge = Step.Target % (World.edges() + World.size().Engines);
  if (ofAll || edge)
    GroundTruth.StoreOutagePeriods.push_back(
        {edge, {Now, Now + Step.Duration}});
}

/// Returns the edge process that reported last; empty if none has.
std::optional<std::size_t> SoakInjector::findLastReporter() {
  std::string holder = World.runOnPlatformThread<std::string>([&] {
    const std::vector<test::ReportCall> &calls = World.reports().Calls;
    return calls.empty() ? std::string() : calls.back().Holder;
  });
  constexpr std::string_view Prefix = "edge-";
  if (!holder.starts_with(Prefix))
    return std::nullopt;
  return std::stoul(holder.substr(Prefix.size()));
}

bool SoakInjector::injectReporterFault(const ScheduledFault &Step) {
  constexpr double DelayMs = 400;
  if (Step.Kind < SoakFault::KillReporter ||
      Step.Kind > SoakFault::ReporterStoreDelays)
    return false;
  std::optional<std::size_t> found = findLastReporter();
  if (!found)
    return true;
  test::PlatformFixture::Proxy store = World.storeLink(*found);
  switch (Step.Kind) {
  case SoakFault::KillReporter:
    killEdge(*found, Step.Duration);
    break;
  case SoakFault::PauseReporter:
    pauseEdge(*found, Step.Duration);
    break;
  case SoakFault::StopReporter:
    stopEdge(*found);
    break;
  case SoakFault::ReporterStoreRefuses:
    World.setFaults(store, {{"cut_now", true}});
    setLinkFault(store, "refuse", true, false, Step.Duration);
    break;
  case SoakFault::ReporterStoreSilent:
    setLinkFault(store, "half_open", true, false, Step.Duration);
    break;
  default:
    setLinkFault(store, "delay_ms", DelayMs, 0.0, Step.Duration);
  }
  return true;
}

void SoakInjector::setReportFault(test::ReportBehavior Behavior,
                                  Millis Duration) {
  World.runOnPlatformThread([&] { World.reports().setBehavior(Behavior); });
  scheduleAction(Duration, [this] {
    World.runOnPlatformThread(
        [&] { World.reports().setBehavior(test::ReportBehavior::Normal); });
  });
}

/// Records that delayed calls may arrive until shortly after `After` from now.
void SoakInjector::recordReportDelay(Millis After) {
  constexpr Millis ResumeTime{300};
  TimePoint now = monotonicNow();
  GroundTruth.ReportDelaySpans.push_back({now, now + After + ResumeTime});
}

bool SoakInjector::injectReportFault(const ScheduledFault &Step) {
  constexpr double DelayMs = 700;
  test::PlatformFixture::Proxy link =
      World.reportLink(Step.Target % World.edges());
  switch (Step.Kind) {
  case SoakFault::ReportsBusy:
    setReportFault(test::ReportBehavior::Busy, Step.Duration);
    return true;
  case SoakFault::ReportsLoseAnswers:
    setReportFault(test::ReportBehavior::LosesAnswers, Step.Duration);
    return true;
  case SoakFault::ReportsSilent:
    setReportFault(test::ReportBehavior::Unresponsive, Step.Duration);
    return true;
  case SoakFault::ReportLinkSilent:
    setLinkFault(link, "half_open", true, false, Step.Duration);
    scheduleAction(Step.Duration, [this] { recordReportDelay(Millis(0)); });
    return true;
  case SoakFault::ReportLinkDelays:
    setLinkFault(link, "delay_ms", DelayMs, 0.0, Step.Duration);
    return true;
  default:
    return false;
  }
}

//===--- Servers ----------------------------------------------------------===//

void SoakInjector::injectServerFault(const ScheduledFault &Step) {
  std::size_t index = Step.Target % World.servers();
  test::PlatformServer &server = World.server(index);
  test::PlatformFixture::Proxy link = World.serverLink(index);
  constexpr int FaultCount = 3;
  switch (Step.Kind) {
  case SoakFault::ServerCrashes:
    crashServer(index, Step.Duration);
    return;
  case SoakFault::ServerSilent:
    setLinkFault(link, "half_open", true, false, Step.Duration);
    return;
  case SoakFault::ServerOneWay:
    setLinkFault(link, "one_way", true, false, Step.Duration);
    return;
  case SoakFault::ServerLinkCut:
    World.setFaults(link, {{"cut_now", true}});
    return;
  case SoakFault::ServerLosesAnswers:
    setLinkFault(link, "answer_loss", FaultCount, 0, Step.Duration);
    return;
  case SoakFault::ServerSlow:
    World.runOnPlatformThread([&] { server.EventDelay = SlowEventDelay; });
    scheduleAction(Step.Duration, [this, &server] {
      World.runOnPlatformThread([&] { server.EventDelay = NormalEventDelay; });
    });
    return;
  case SoakFault::ServerBreaksStreams:
    World.runOnPlatformThread([&] { server.StreamsToBreak = FaultCount; });
    return;
  case SoakFault::ServerFails:
    World.runOnPlatformThread([&] { server.RequestsToFail = FaultCount; });
    return;
  default:
    return;
  }
}

bool SoakInjector::injectStateFault(const ScheduledFault &Step) {
  constexpr int CrashesPerLoop = 4;
  constexpr Millis CrashInterval{600};
  constexpr Millis CrashDownTime{200};
  std::size_t index = Step.Target % World.servers();
  switch (Step.Kind) {
  case SoakFault::ConfigurationReadLost:
    World.runOnPlatformThread(
        [&] { World.store().loseNextWaitingRead("keyed.op"); });
    return true;
  case SoakFault::EngineCrashLoop:
    for (int i = 0; i < CrashesPerLoop; ++i)
      scheduleAction(i * CrashInterval, [this, CrashDownTime] {
        for (std::size_t j = 0; j < World.size().Engines; ++j)
          crashServer(j, CrashDownTime);
      });
    return true;
  case SoakFault::ServerAnswersWithoutEnd:
    World.runOnPlatformThread(
        [&] { World.server(index).AnswersWithoutEnd = true; });
    scheduleAction(Step.Duration, [this, index] {
      World.runOnPlatformThread(
          [&] { World.server(index).AnswersWithoutEnd = false; });
    });
    return true;
  default:
    return false;
  }
}

void SoakInjector::crashServer(std::size_t Index, Millis Down) {
  if (!UnavailableServers.insert(Index).second)
    return;
  std::string id = World.server(Index).id();
  World.setFaults(World.serverLink(Index), {{"cut_now", true}});
  World.setFaults(World.serverLink(Index), {{"refuse", true}});
  // A server that returns sooner finds its registration unchanged.
  if (Down > RegistrationExpiryDelay)
    scheduleAction(RegistrationExpiryDelay,
                   [this, id] { World.unregisterServer(id); });
  // Alternates between a new id and the previous one.
  std::string next = ++Crashes % 2 == 0 ? makeServerId() : id;
  scheduleAction(Down, [this, Index, next] { restartServer(Index, next); });
}

std::string SoakInjector::makeServerId() {
  return "i-again-" + std::to_string(++Starts);
}

/// Restarts the server as another incarnation at the same address.
void SoakInjector::restartServer(std::size_t Index, const std::string &Id) {
  // A request may have crashed the server meanwhile, so that it registered
  // under a new id.
  std::string before = World.server(Index).id();
  if (before != Id)
    World.unregisterServer(before);
  World.runOnPlatformThread([&] { World.server(Index).restart(Id); });
  World.setFaults(World.serverLink(Index), {{"refuse", false}});
  World.registerServer(Index, false);
  UnavailableServers.erase(Index);
}

} // namespace wasabi::soak
