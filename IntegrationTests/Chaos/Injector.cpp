#include "IntegrationTests/Chaos/Injector.h"

#include <csignal>
#include <thread>
#include <utility>

namespace wasabi::chaos {

using harness::Process;
using harness::StandIn;

namespace {

/// How long a planned stop may take before it counts as out of order.
constexpr Millis StopLimit{30000};

constexpr char ClearLink[] =
    R"({"delay_ms":0,"jitter_ms":0,"refuse":false,"half_open":false,)"
    R"("answer_loss":0,"bytes_per_s":0,"loss_percent":0})";

template <typename List>
decltype(std::declval<List &>()[0]) pick(List &from, std::uint32_t target) {
  return from[target % from.size()];
}

} // namespace

void Injector::waitUntil(TimePoint When) {
  std::unique_lock<std::mutex> lock(Guard);
  Never.wait_until(lock, When, [] { return false; });
}

void Injector::waitFor(Millis Length) { waitUntil(monotonicNow() + Length); }

void Injector::note(const std::string &Problem) {
  std::lock_guard<std::mutex> lock(Guard);
  Problems.push_back(Problem);
}

void Injector::record(const OperatorAction &Act) {
  std::lock_guard<std::mutex> lock(Guard);
  OperatorActions.push_back(Act);
}

void Injector::run(const std::vector<Fault> &Schedule) {
  const TimePoint begin = monotonicNow();
  std::vector<std::thread> threads;
  threads.reserve(Schedule.size());
  for (const Fault &it : Schedule)
    threads.emplace_back([this, it, begin] { inject(it, begin); });
  for (std::thread &it : threads)
    it.join();
}

void Injector::inject(const Fault &What, TimePoint Begin) {
  waitUntil(Begin + What.At);
  switch (What.Kind) {
  case FaultKind::KillDaemon:
  case FaultKind::PauseDaemon:
  case FaultKind::PauseDaemonLong:
  case FaultKind::StopDaemon:
    return injectProcess(What, *pick(On.Daemons, What.Target));
  case FaultKind::KillEntry:
  case FaultKind::PauseEntry:
  case FaultKind::StopEntry:
    return injectProcess(What, *pick(On.Entries, What.Target));
  case FaultKind::KillEngine:
    return killEngine(What);
  case FaultKind::EngineHang:
  case FaultKind::EngineSlow:
  case FaultKind::EngineSwapFails:
  case FaultKind::EngineWrongVersion:
  case FaultKind::EngineLosesOrderAnswer:
  case FaultKind::ServiceHang:
  case FaultKind::ServiceResetsBeforeAnswer:
  case FaultKind::ServiceResetsMidAnswer:
    return injectUpstream(What);
  case FaultKind::LinkDelay:
  case FaultKind::LinkCut:
  case FaultKind::LinkHalfOpen:
  case FaultKind::LinkRefuses:
  case FaultKind::LinkLosesAnswers:
  case FaultKind::LinkSlow:
    return injectLink(What);
  case FaultKind::DomainPartitioned:
    return partitionDomain(What);
  case FaultKind::ConcurrentOperators:
  case FaultKind::SwitchPreset:
    return injectOperator(What);
  default:
    return injectPlatform(What);
  }
}

void Injector::injectProcess(const Fault &What, Slot &Which) {
  // Two faults of one process come one after the other.
  std::lock_guard<std::mutex> busy(Which.Busy);
  const std::shared_ptr<Process> process = Cluster::currentProcess(Which);
  if (!process)
    return restartSlot(Which);
  switch (What.Kind) {
  case FaultKind::PauseDaemon:
  case FaultKind::PauseDaemonLong:
  case FaultKind::PauseEntry:
    process->signal(SIGSTOP);
    waitFor(What.For);
    process->signal(SIGCONT);
    return;
  case FaultKind::StopDaemon:
  case FaultKind::StopEntry:
    stopSlot(Which, What.WithoutOtherFaults);
    break;
  default:
    On.killSlot(Which);
    break;
  }
  waitFor(What.For);
  restartSlot(Which);
}

void Injector::stopSlot(Slot &Which, bool WithoutOtherFaults) {
  const std::shared_ptr<Process> process = Cluster::currentProcess(Which);
  PlannedStop stop;
  stop.WithoutOtherFaults = WithoutOtherFaults;
  if (!Which.Server.empty())
    stop.Servers.push_back(Which.Server);
  stop.SignalMicros = wallMicros();
  process->signal(SIGTERM);
  const std::optional<harness::ProcessExit> end = process->wait(StopLimit);
  stop.Ended = wallMicros();
  stop.ExitedCleanly = end && end->Code == 0;
  if (!stop.ExitedCleanly)
    note(Which.Instance + " did not stop in order: " +
         (end ? "exit code " + std::to_string(end->Code) : "still runs"));
  On.killSlot(Which);
  std::lock_guard<std::mutex> lock(Guard);
  Stops.push_back(stop);
}

void Injector::restartSlot(Slot &Which) {
  const Outcome<Done> started = toOutcome<Done>([&]() -> Result<Done> {
    BOOST_LEAF_CHECK(On.startSlot(Which));
    return Done{};
  });
  if (!started)
    note(Which.Instance + " can't be started: " + describe(started.failure()));
}

void Injector::killEngine(const Fault &What) {
  const std::size_t which = What.Target % On.Plan.Engines;
  On.killEngine(which);
  waitFor(What.For);
  const Outcome<Done> started = toOutcome<Done>([&]() -> Result<Done> {
    BOOST_LEAF_CHECK(On.startEngine(which));
    return Done{};
  });
  if (!started)
    note("an engine can't be started: " + describe(started.failure()));
}

void Injector::applyFaultsFor(StandIn &Which, const std::string &Faults,
                              Millis Length, const std::string &Undo) {
  const Outcome<Done> set = Which.setFaults(Faults);
  if (!set)
    note("fault " + Faults + ": " + describe(set.failure()));
  waitFor(Length);
  if (!Undo.empty())
    Which.setFaults(Undo);
}

void Injector::injectUpstream(const Fault &What) {
  const std::shared_ptr<StandIn> held =
      On.engine(What.Target % On.Plan.Engines);
  StandIn &engine = *held;
  StandIn &service = *pick(On.Services, What.Target);
  switch (What.Kind) {
  case FaultKind::EngineHang:
    return applyFaultsFor(engine, R"({"hang":true})", What.For,
                          R"({"hang":false})");
  case FaultKind::EngineSlow:
    return applyFaultsFor(engine, R"({"slow_factor":10})", What.For,
                          R"({"slow_factor":1})");
  case FaultKind::EngineSwapFails:
    return applyFaultsFor(engine, R"({"fail_next_load":1})", What.For, "");
  case FaultKind::EngineWrongVersion:
    return applyFaultsFor(engine, R"({"wrong_version_next_load":1})", What.For,
                          "");
  case FaultKind::EngineLosesOrderAnswer:
    return applyFaultsFor(engine, R"({"lose_order_answers":1})", What.For, "");
  case FaultKind::ServiceHang:
    return applyFaultsFor(service, R"({"hang":true})", What.For,
                          R"({"hang":false})");
  case FaultKind::ServiceResetsBeforeAnswer:
    return applyFaultsFor(service, R"({"reset_before_answer":3})", What.For,
                          "");
  default:
    return applyFaultsFor(service, R"({"reset_mid_answer":3})", What.For, "");
  }
}

void Injector::injectPlatform(const Fault &What) {
  switch (What.Kind) {
  case FaultKind::LogOutage:
  case FaultKind::LogOutageLong:
    return applyFaultsFor(*On.Log, R"({"outage":true})", What.For,
                          R"({"outage":false})");
  case FaultKind::LogSlow:
    return applyFaultsFor(*On.Log, R"({"slow_ms":400})", What.For,
                          R"({"slow_ms":0})");
  case FaultKind::LogLosesAnswers:
    return applyFaultsFor(*On.Log, R"({"lose_answers":3})", What.For,
                          R"({"lose_answers":0})");
  case FaultKind::LogStaleTail:
    return applyFaultsFor(*On.Log, R"({"stale_tail":2})", What.For,
                          R"({"stale_tail":0})");
  case FaultKind::StoreOutage:
    return applyFaultsFor(*On.Weights, R"({"outage":true})", What.For,
                          R"({"outage":false})");
  case FaultKind::InstancesOutage:
    return applyFaultsFor(*On.Instances, R"({"outage":true})", What.For,
                          R"({"outage":false})");
  case FaultKind::TrainerOutage:
    return applyFaultsFor(*On.Trainer, R"({"outage":true})", What.For,
                          R"({"outage":false})");
  case FaultKind::TrainerLosesAnswers:
    return applyFaultsFor(*On.Trainer, R"({"lose_answers":2})", What.For,
                          R"({"lose_answers":0})");
  default:
    return applyFaultsFor(*On.Scorer, R"({"fail_next":3})", What.For, "");
  }
}

void Injector::injectLink(const Fault &What) {
  std::vector<StandIn *> links = On.links();
  StandIn &link = *pick(links, What.Target);
  switch (What.Kind) {
  case FaultKind::LinkDelay:
    return applyFaultsFor(link, R"({"delay_ms":60,"jitter_ms":60})", What.For,
                          ClearLink);
  case FaultKind::LinkCut:
    return applyFaultsFor(link, R"({"cut_now":true})", What.For, "");
  case FaultKind::LinkHalfOpen:
    return applyFaultsFor(link, R"({"half_open":true})", What.For, ClearLink);
  case FaultKind::LinkRefuses:
    return applyFaultsFor(link, R"({"refuse":true,"cut_now":true})", What.For,
                          ClearLink);
  case FaultKind::LinkLosesAnswers:
    return applyFaultsFor(link, R"({"answer_loss":2,"cut_now":true})", What.For,
                          ClearLink);
  default:
    return applyFaultsFor(link, R"({"bytes_per_s":20000})", What.For,
                          ClearLink);
  }
}

void Injector::partitionDomain(const Fault &What) {
  const std::string &domain = pick(On.Plan.Domains, What.Target);
  std::vector<StandIn *> links;
  for (const std::vector<std::unique_ptr<Slot>> *of :
       {&On.Daemons, &On.Entries}) {
    for (const std::unique_ptr<Slot> &it : *of) {
      if (it->Domain != domain)
        continue;
      links.push_back(it->ControlLink.get());
      if (it->FramesLink)
        links.push_back(it->FramesLink.get());
    }
  }
  for (StandIn *it : links)
    it->setFaults(R"({"refuse":true,"cut_now":true})");
  waitFor(What.For);
  for (StandIn *it : links)
    it->setFaults(ClearLink);
}

void Injector::injectOperator(const Fault &What) {
  if (What.Kind == FaultKind::SwitchPreset) {
    const std::string preset = What.Target % 2 == 0 ? "peak" : "maintenance";
    const Cluster::CtlCommandResult end =
        On.control({"preset", preset, "--operator=chaos"});
    record({0, end.Code, end.Output});
    waitFor(What.For);
    restorePreset();
    return;
  }
  // Two operators change the same object from the same state.
  std::vector<std::thread> operators;
  for (const std::string name : {"anna", "benigno"}) {
    std::uint32_t rate = 0;
    {
      std::lock_guard<std::mutex> lock(Guard);
      rate = ++Rates;
    }
    operators.emplace_back([this, name, rate] {
      const std::string folder =
          On.writeDeclarations("declarations-" + std::to_string(rate), rate);
      const Cluster::CtlCommandResult end =
          On.control({"apply", folder, "--operator=" + name});
      record({rate, end.Code, end.Output});
    });
  }
  for (std::thread &it : operators)
    it.join();
}

/// An operator whose switch back meets an outage tries again.
void Injector::restorePreset() {
  constexpr int Tries = 40;
  constexpr Millis Pause{500};
  constexpr int AcceptedNotSeen = 5;
  for (int n = 0; n < Tries; ++n) {
    const Cluster::CtlCommandResult end =
        On.control({"preset", "ordinary", "--operator=chaos"});
    record({0, end.Code, end.Output});
    if (end.Code == 0 || end.Code == AcceptedNotSeen)
      return;
    waitFor(Pause);
  }
  note("the preset can't be switched back");
}

void Injector::restoreCluster() {
  for (StandIn *it : On.links())
    it->setFaults(ClearLink);
  On.Log->setFaults(R"({"outage":false,"slow_ms":0,"lose_answers":0,)"
                    R"("stale_tail":0})");
  On.Weights->setFaults(R"({"outage":false})");
  On.Instances->setFaults(R"({"outage":false})");
  On.Trainer->setFaults(R"({"outage":false,"lose_answers":0})");
  On.Scorer->setFaults(R"({"fail_next":0})");
  for (const std::unique_ptr<StandIn> &it : On.Services)
    it->setFaults(R"({"hang":false,"reset_before_answer":0,)"
                  R"("reset_mid_answer":0})");
  for (std::size_t n = 0; n < On.Plan.Engines; ++n)
    On.engine(n)->setFaults(
        R"({"hang":false,"slow_factor":1,"fail_next_load":0,)"
        R"("wrong_version_next_load":0,"lose_order_answers":0})");
  restorePreset();
  for (std::vector<std::unique_ptr<Slot>> *of : {&On.Daemons, &On.Entries}) {
    for (const std::unique_ptr<Slot> &it : *of) {
      const std::shared_ptr<Process> process = Cluster::currentProcess(*it);
      if (process && process->running())
        continue;
      // It should not have ended: what it said last is in its log.
      if (process)
        note(it->Instance + " ended by itself");
      On.killSlot(*it);
      restartSlot(*it);
    }
  }
}

void Injector::stopAll() {
  std::vector<std::thread> threads;
  for (std::vector<std::unique_ptr<Slot>> *of : {&On.Daemons, &On.Entries}) {
    for (const std::unique_ptr<Slot> &it : *of) {
      if (Cluster::currentProcess(*it))
        threads.emplace_back([this, &it] { stopSlot(*it, false); });
    }
  }
  for (std::thread &it : threads)
    it.join();
}

} // namespace wasabi::chaos
