#include "IntegrationTests/Soak/SoakRun.h"

#include <csignal>
#include <fstream>
#include <thread>

namespace wasabi::soak {

namespace {

/// An engine's usual pause between events, and a slow one's.
constexpr Millis UsualPace{15};
constexpr Millis SlowPace{120};
/// A registration outlives its server by this.
constexpr Millis RegistrationLag{1000};
/// How long a stopped process may take.
constexpr Millis StopLimit{12000};
/// A leaving server goes on serving for this long after its report.
constexpr Millis DrainTime{3500};

} // namespace

SoakInjector::SoakInjector(test::PlatformFixture &World, SoakClients &Clients,
                           std::size_t Customers)
    : World(World), Clients(Clients), Customers(Customers) {}

void SoakInjector::later(Millis After, std::function<void()> Act) {
  Queue.push(QueuedAction{monotonicNow() + After, Orders++, std::move(Act)});
}

void SoakInjector::runPlan(const std::vector<ScheduledFault> &Plan) {
  for (const ScheduledFault &it : Plan)
    later(it.At, [this, it] { begin(it); });
  while (!Queue.empty()) {
    QueuedAction next = Queue.top();
    Queue.pop();
    std::this_thread::sleep_until(next.At);
    next.Act();
  }
}

void SoakInjector::begin(const ScheduledFault &Step) {
  TimePoint now = monotonicNow();
  Done.Faults.push_back({Step.Kind, now, now + Step.Duration});
  recordStoreOutage(Step, now);
  if (injectPlannedWork(Step) || injectProcessFault(Step) ||
      injectStoreFault(Step) || injectLinkFault(Step) || injectKeyFault(Step) ||
      injectReporterFault(Step) || injectReportFault(Step))
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
    World.nameVersion(Clients.Named + 1);
    ++Clients.Named;
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
  Done.Publications.push_back({Versions, monotonicNow()});
  Clients.LatestConfigVersion = Versions;
}

/// A stop of the only process that is left is no planned work, so it is left
/// out.
void SoakInjector::stopEdge(std::size_t Edge) {
  if (UnavailableEdges.contains(Edge) ||
      UnavailableEdges.size() + 1 >= World.edges())
    return;
  UnavailableEdges.insert(Edge);
  Done.Stops.push_back({Edge, Clients.Lives[Edge], monotonicNow()});
  World.edge(Edge).Running->signal(SIGTERM);
  later(Millis(0),
        [this, Edge] { checkStopped(Edge, monotonicNow() + StopLimit); });
}

void SoakInjector::checkStopped(std::size_t Edge, TimePoint Until) {
  constexpr Millis Look{50};
  harness::Process &process = *World.edge(Edge).Running;
  if (process.running() && monotonicNow() < Until) {
    later(Look, [this, Edge, Until] { checkStopped(Edge, Until); });
    return;
  }
  if (process.running())
    Done.UnstoppedEdges.push_back(Edge);
  restartEdge(Edge);
}

void SoakInjector::drainServer(std::size_t Index) {
  if (UnavailableServers.contains(Index) ||
      UnavailableServers.size() + 2 >= World.servers())
    return;
  UnavailableServers.insert(Index);
  std::string id = World.server(Index).id();
  World.registerServer(Index, true);
  Done.Drains.push_back({id, monotonicNow()});
  later(DrainTime, [this, Index, id] {
    World.unregisterServer(id);
    restartServer(Index, newId());
  });
}

//===--- Processes --------------------------------------------------------===//

bool SoakInjector::injectProcessFault(const ScheduledFault &Step) {
  std::size_t edge = Step.Target % World.edges();
  std::size_t side = Step.Target % World.size().Engines;
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
    if (!UnavailableSidecars.insert(side).second)
      return true;
    World.sidecar(side).signal(SIGKILL);
    later(Step.Duration, [this, side] {
      UnavailableSidecars.erase(side);
      World.startSidecar(side);
    });
    return true;
  case SoakFault::PauseSidecar:
    World.sidecar(side).signal(SIGSTOP);
    later(Step.Duration, [this, side] { World.sidecar(side).signal(SIGCONT); });
    return true;
  default:
    return false;
  }
}

/// What it has written before may arrive when it goes on.
void SoakInjector::pauseEdge(std::size_t Edge, Millis For) {
  if (UnavailableEdges.contains(Edge))
    return;
  World.edge(Edge).Running->signal(SIGSTOP);
  later(For, [this, Edge] {
    World.edge(Edge).Running->signal(SIGCONT);
    recordReportDelay(Millis(0));
  });
}

void SoakInjector::killEdge(std::size_t Edge, Millis Down) {
  if (!UnavailableEdges.insert(Edge).second)
    return;
  Done.Kills.push_back({Edge, Clients.Lives[Edge], monotonicNow()});
  World.edge(Edge).Running->signal(SIGKILL);
  later(Down, [this, Edge] { restartEdge(Edge); });
}

void SoakInjector::restartEdge(std::size_t Edge) {
  Done.Output += World.edge(Edge).Running->output();
  ++Clients.Lives[Edge];
  World.startEdge(Edge);
  UnavailableEdges.erase(Edge);
}

//===--- The store --------------------------------------------------------===//

void SoakInjector::mood(test::StoreBehavior What, Millis For) {
  World.runOnPlatformThread([&] { World.store().setBehavior(What); });
  later(For, [this] {
    World.runOnPlatformThread(
        [&] { World.store().setBehavior(test::StoreBehavior::Normal); });
  });
}

bool SoakInjector::injectStoreFault(const ScheduledFault &Step) {
  using test::StoreBehavior;
  switch (Step.Kind) {
  case SoakFault::StoreBusy:
    mood(StoreBehavior::Busy, Step.Duration);
    return true;
  case SoakFault::StoreSilent:
    mood(StoreBehavior::Unresponsive, Step.Duration);
    return true;
  case SoakFault::StoreResets:
    mood(StoreBehavior::Reset, Step.Duration);
    return true;
  case SoakFault::StoreLosesAnswers:
    mood(StoreBehavior::LosesAnswers, Step.Duration);
    return true;
  case SoakFault::StoreLate:
    mood(StoreBehavior::Late, Step.Duration);
    return true;
  case SoakFault::StoreSlow:
    mood(StoreBehavior::Slow, Step.Duration);
    return true;
  case SoakFault::StoreCompacts:
    World.runOnPlatformThread([&] {
      World.store().compact("keyed.op");
      World.store().compact("keyed.servers");
    });
    writeInvalidRegistrations(Step.Target % World.servers());
    return true;
  case SoakFault::RegistrationsExpire:
    lapse(Step);
    return true;
  default:
    return false;
  }
}

/// Another writer puts entries among the registrations, one over that of a
/// server, which registers again a heartbeat later.
void SoakInjector::writeInvalidRegistrations(std::size_t Over) {
  constexpr Millis Heartbeat{600};
  const std::string entries[] = {
      "{", R"({"service":"desk"})", "\xff\xfe bytes",
      R"({"service":"desk","address":"127.0.0.1:9","zone":"hall",)"
      R"("version":"v1","slots":4,"state":"warming","sequence":1})"};
  World.runOnPlatformThread([&] {
    for (std::size_t i = 0; i < std::size(entries); ++i)
      World.store().write("keyed.servers", "x-" + std::to_string(i),
                          entries[i]);
    if (!UnavailableServers.contains(Over))
      World.store().write("keyed.servers", World.server(Over).id(), "{}");
  });
  later(Heartbeat, [this, Over] {
    if (!UnavailableServers.contains(Over))
      World.registerServer(Over, false);
  });
}

/// The store is away, and registrations lapse meanwhile; the servers are back
/// in it within two seconds of its return.
void SoakInjector::lapse(const ScheduledFault &Step) {
  constexpr Millis BackAfter{1200};
  mood(test::StoreBehavior::Busy, Step.Duration);
  std::vector<std::size_t> lapsed;
  for (std::size_t i = 0; i < World.servers(); ++i) {
    if (!UnavailableServers.contains(i))
      lapsed.push_back(i);
  }
  later(Step.Duration / 2, [this, lapsed] {
    for (std::size_t it : lapsed)
      World.unregisterServer(World.server(it).id());
  });
  later(Step.Duration + BackAfter, [this, lapsed] {
    for (std::size_t it : lapsed) {
      if (!UnavailableServers.contains(it))
        World.registerServer(it, false);
    }
  });
}

//===--- Links ------------------------------------------------------------===//

void SoakInjector::fault(const test::PlatformFixture::Proxy &Of,
                         const char *Name, const boost::json::value &Begin,
                         const boost::json::value &End, Millis For) {
  World.setFaults(Of, {{Name, Begin}});
  later(For, [this, Of, Name, End] { World.setFaults(Of, {{Name, End}}); });
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
    fault(store, "refuse", true, false, Step.Duration);
    return true;
  case SoakFault::StoreLinkSilent:
    fault(store, "half_open", true, false, Step.Duration);
    return true;
  case SoakFault::StoreLinkOneWay:
    fault(store, "one_way", true, false, Step.Duration);
    return true;
  case SoakFault::StoreLinkDelays:
    fault(store, "delay_ms", DelayMs, 0.0, Step.Duration);
    return true;
  case SoakFault::CallerLinkCut:
    World.setFaults(caller, {{"cut_now", true}});
    return true;
  case SoakFault::CallerLinkDelays:
    fault(caller, "delay_ms", DelayMs, 0.0, Step.Duration);
    return true;
  default:
    return false;
  }
}

//===--- Keys and the reporter
//---------------------------------------------===//

bool SoakInjector::injectKeyFault(const ScheduledFault &Step) {
  if (Step.Kind != SoakFault::RevokeKey)
    return false;
  std::size_t customer = Step.Target % Customers;
  if (!Revoked.insert(customer).second)
    return true;
  World.setCustomers(makeSoakCustomers(Customers, Revoked));
  publish();
  Done.KeyChanges.push_back({customer, true, monotonicNow()});
  later(Step.Duration + Millis(3000), [this, customer] {
    Revoked.erase(customer);
    World.setCustomers(makeSoakCustomers(Customers, Revoked));
    Done.KeyChanges.push_back({customer, false, monotonicNow()});
    publish();
  });
  return true;
}

/// Notes for whom the store is out of reach during a step.
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
    edge = reporter();
  if (ofLink)
    edge = Step.Target % (World.edges() + World.size().Engines);
  if (ofAll || edge)
    Done.StoreOutagePeriods.push_back({edge, {Now, Now + Step.Duration}});
}

/// The edge process that reported last; empty if none has.
std::optional<std::size_t> SoakInjector::reporter() {
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
  std::optional<std::size_t> found = reporter();
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
    fault(store, "refuse", true, false, Step.Duration);
    break;
  case SoakFault::ReporterStoreSilent:
    fault(store, "half_open", true, false, Step.Duration);
    break;
  default:
    fault(store, "delay_ms", DelayMs, 0.0, Step.Duration);
  }
  return true;
}

void SoakInjector::setReportFault(test::ReportBehavior What, Millis For) {
  World.runOnPlatformThread([&] { World.reports().setBehavior(What); });
  later(For, [this] {
    World.runOnPlatformThread(
        [&] { World.reports().setBehavior(test::ReportBehavior::Normal); });
  });
}

/// Calls that were held up may arrive until shortly after `After` from now.
void SoakInjector::recordReportDelay(Millis After) {
  constexpr Millis Thaw{300};
  TimePoint now = monotonicNow();
  Done.ReportDelaySpans.push_back({now, now + After + Thaw});
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
    fault(link, "half_open", true, false, Step.Duration);
    later(Step.Duration, [this] { recordReportDelay(Millis(0)); });
    return true;
  case SoakFault::ReportLinkDelays:
    fault(link, "delay_ms", DelayMs, 0.0, Step.Duration);
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
  constexpr int Few = 3;
  switch (Step.Kind) {
  case SoakFault::ServerCrashes:
    crashServer(index, Step.Duration);
    return;
  case SoakFault::ServerSilent:
    fault(link, "half_open", true, false, Step.Duration);
    return;
  case SoakFault::ServerOneWay:
    fault(link, "one_way", true, false, Step.Duration);
    return;
  case SoakFault::ServerLinkCut:
    World.setFaults(link, {{"cut_now", true}});
    return;
  case SoakFault::ServerLosesAnswers:
    fault(link, "answer_loss", Few, 0, Step.Duration);
    return;
  case SoakFault::ServerSlow:
    World.runOnPlatformThread([&] { server.EventDelay = SlowPace; });
    later(Step.Duration, [this, &server] {
      World.runOnPlatformThread([&] { server.EventDelay = UsualPace; });
    });
    return;
  case SoakFault::ServerBreaksStreams:
    World.runOnPlatformThread([&] { server.StreamsToBreak = Few; });
    return;
  case SoakFault::ServerFails:
    World.runOnPlatformThread([&] { server.RequestsToFail = Few; });
    return;
  default:
    return;
  }
}

void SoakInjector::crashServer(std::size_t Index, Millis Down) {
  if (!UnavailableServers.insert(Index).second)
    return;
  std::string id = World.server(Index).id();
  World.setFaults(World.serverLink(Index), {{"cut_now", true}});
  World.setFaults(World.serverLink(Index), {{"refuse", true}});
  // One that is back sooner finds its registration as it was.
  if (Down > RegistrationLag)
    later(RegistrationLag, [this, id] { World.unregisterServer(id); });
  // By turns it starts again under a new id and under the one that it had.
  std::string next = ++Crashes % 2 == 0 ? newId() : id;
  later(Down, [this, Index, next] { restartServer(Index, next); });
}

std::string SoakInjector::newId() {
  return "i-again-" + std::to_string(++Starts);
}

/// The server starts anew, as another incarnation at the same address.
void SoakInjector::restartServer(std::size_t Index, const std::string &Id) {
  // A request may have ended it meanwhile, and it registered under a new id.
  std::string before = World.server(Index).id();
  if (before != Id)
    World.unregisterServer(before);
  World.runOnPlatformThread([&] { World.server(Index).restart(Id); });
  World.setFaults(World.serverLink(Index), {{"refuse", false}});
  World.registerServer(Index, false);
  UnavailableServers.erase(Index);
}

} // namespace wasabi::soak
