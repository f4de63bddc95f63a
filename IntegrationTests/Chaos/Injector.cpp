#include "IntegrationTests/Chaos/Injector.h"

#include <csignal>
#include <thread>
#include <utility>

namespace wasabi::chaos {

using harness::Process;
using harness::StandIn;

namespace {

/// Maximum duration of a planned stop.
constexpr Millis StopTimeout{30000};

constexpr char ClearLink[] =
    R"({"delay_ms":0,"jitter_ms":0,"refuse":false,"half_open":false,)"
    R"("answer_loss":0,"bytes_per_s":0,"loss_percent":0})";

template <typename List>
decltype(std::declval<List &>()[0]) pick(List &from, std::uint32_t target) {
  return from[target % from.size()];
}

} // namespace

void Injector::waitUntil(TimePoint When) {
  std::unique_lock<std::mutex> lock(Mutex);
  SleepCondition.wait_until(lock, When, [] { return false; });
}

void Injector::waitFor(Millis Length) { waitUntil(monotonicNow() + Length); }

void Injector::recordProblem(const std::string &Problem) {
  std::lock_guard<std::mutex> lock(Mutex);
  Problems.push_back(Problem);
}

void Injector::record(const OperatorAction &Act) {
  std::lock_guard<std::mutex> lock(Mutex);
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

void Injector::inject(const Fault &Step, TimePoint Begin) {
  waitUntil(Begin + Step.At);
  switch (Step.Kind) {
  case FaultKind::KillDaemon:
  case FaultKind::PauseDaemon:
  case FaultKind::PauseDaemonLong:
  case FaultKind::StopDaemon:
    return injectProcess(Step, *pick(Target.Daemons, Step.Target));
  case FaultKind::KillEntry:
  case FaultKind::PauseEntry:
  case FaultKind::StopEntry:
    return injectProcess(Step, *pick(Target.Entries, Step.Target));
  case FaultKind::KillEngine:
    return killEngine(Step);
  case FaultKind::EngineHang:
  case FaultKind::EngineSlow:
  case FaultKind::EngineSwapFails:
  case FaultKind::EngineWrongVersion:
  case FaultKind::EngineLosesOrderAnswer:
  case FaultKind::ServiceHang:
  case FaultKind::ServiceResetsBeforeAnswer:
  case FaultKind::ServiceResetsMidAnswer:
    return injectUpstream(Step);
  case FaultKind::LinkDelay:
  case FaultKind::LinkCut:
  case FaultKind::LinkHalfOpen:
  case FaultKind::LinkRefuses:
  case FaultKind::LinkLosesAnswers:
  case FaultKind::LinkSlow:
    return injectLink(Step);
  case FaultKind::DomainPartitioned:
    return partitionDomain(Step);
  case FaultKind::ConcurrentOperators:
  case FaultKind::SwitchPreset:
    return injectOperator(Step);
  default:
    return injectPlatform(Step);
  }
}

void Injector::injectProcess(const Fault &Step, ProcessSlot &Slot) {
  // Faults of the same process are applied one after the other.
  std::lock_guard<std::mutex> busy(Slot.FaultMutex);
  const std::shared_ptr<Process> process = Cluster::currentProcess(Slot);
  if (!process)
    return restartSlot(Slot);
  switch (Step.Kind) {
  case FaultKind::PauseDaemon:
  case FaultKind::PauseDaemonLong:
  case FaultKind::PauseEntry:
    process->signal(SIGSTOP);
    waitFor(Step.Duration);
    process->signal(SIGCONT);
    return;
  case FaultKind::StopDaemon:
  case FaultKind::StopEntry:
    stopSlot(Slot, Step.WithoutOtherFaults);
    break;
  default:
    Target.killSlot(Slot);
    break;
  }
  waitFor(Step.Duration);
  restartSlot(Slot);
}

void Injector::stopSlot(ProcessSlot &Slot, bool WithoutOtherFaults) {
  const std::shared_ptr<Process> process = Cluster::currentProcess(Slot);
  PlannedStop stop;
  stop.WithoutOtherFaults = WithoutOtherFaults;
  if (!Slot.Server.empty())
    stop.Servers.push_back(Slot.Server);
  stop.SignalMicros = wallMicros();
  process->signal(SIGTERM);
  const std::optional<harness::ProcessExit> end = process->wait(StopTimeout);
  stop.Ended = wallMicros();
  stop.ExitedCleanly = end && end->Code == 0;
  if (!stop.ExitedCleanly)
    recordProblem(
        Slot.Instance + " did not stop in order: " +
        (end ? "exit code " + std::to_string(end->Code) : "still runs"));
  Target.killSlot(Slot);
  std::lock_guard<std::mutex> lock(Mutex);
  Stops.push_back(stop);
}

void Injector::restartSlot(ProcessSlot &Slot) {
  const Outcome<Done> started = toOutcome<Done>([&]() -> Result<Done> {
    BOOST_LEAF_CHECK(Target.startSlot(Slot));
    return Done{};
  });
  if (!started)
    recordProblem(Slot.Instance +
                  " can't be started: " + describe(started.failure()));
}

void Injector::killEngine(const Fault &Step) {
  const std::size_t which = Step.Target % Target.Plan.Engines;
  Target.killEngine(which);
  waitFor(Step.Duration);
  const Outcome<Done> started = toOutcome<Done>([&]() -> Result<Done> {
    BOOST_LEAF_CHECK(Target.startEngine(which));
    return Done{};
  });
  if (!started)
    recordProblem("an engine can't be started: " + describe(started.failure()));
}

void Injector::applyFaultsFor(StandIn &Server, const std::string &Faults,
                              Millis Length, const std::string &UndoFaults) {
  const Outcome<Done> set = Server.setFaults(Faults);
  if (!set)
    recordProblem("fault " + Faults + ": " + describe(set.failure()));
  waitFor(Length);
  if (!UndoFaults.empty())
    Server.setFaults(UndoFaults);
}

void Injector::injectUpstream(const Fault &Step) {
  const std::shared_ptr<StandIn> held =
      Target.engine(Step.Target % Target.Plan.Engines);
  StandIn &engine = *held;
  StandIn &service = *pick(Target.Services, Step.Target);
  switch (Step.Kind) {
  case FaultKind::EngineHang:
    return applyFaultsFor(engine, R"({"hang":true})", Step.Duration,
                          R"({"hang":false})");
  case FaultKind::EngineSlow:
    return applyFaultsFor(engine, R"({"slow_factor":10})", Step.Duration,
                          R"({"slow_factor":1})");
  case FaultKind::EngineSwapFails:
    return applyFaultsFor(engine, R"({"fail_next_load":1})", Step.Duration, "");
  case FaultKind::EngineWrongVersion:
    return applyFaultsFor(engine, R"({"wrong_version_next_load":1})",
                          Step.Duration, "");
  case FaultKind::EngineLosesOrderAnswer:
    return applyFaultsFor(engine, R"({"lose_order_answers":1})", Step.Duration,
                          "");
  case FaultKind::ServiceHang:
    return applyFaultsFor(service, R"({"hang":true})", Step.Duration,
                          R"({"hang":false})");
  case FaultKind::ServiceResetsBeforeAnswer:
    return applyFaultsFor(service, R"({"reset_before_answer":3})",
                          Step.Duration, "");
  default:
    return applyFaultsFor(service, R"({"reset_mid_answer":3})", Step.Duration,
                          "");
  }
}

void Injector::injectPlatform(const Fault &Step) {
  switch (Step.Kind) {
  case FaultKind::LogOutage:
  case FaultKind::LogOutageLong:
    return applyFaultsFor(*Target.Log, R"({"outage":true})", Step.Duration,
                          R"({"outage":false})");
  case FaultKind::LogSlow:
    return applyFaultsFor(*Target.Log, R"({"slow_ms":400})", Step.Duration,
                          R"({"slow_ms":0})");
  case FaultKind::LogLosesAnswers:
    return applyFaultsFor(*Target.Log, R"({"lose_answers":3})", Step.Duration,
                          R"({"lose_answers":0})");
  case FaultKind::LogStaleTail:
    return applyFaultsFor(*Target.Log, R"({"stale_tail":2})", Step.Duration,
                          R"({"stale_tail":0})");
  case FaultKind::StoreOutage:
    return applyFaultsFor(*Target.Weights, R"({"outage":true})", Step.Duration,
                          R"({"outage":false})");
  case FaultKind::InstancesOutage:
    return applyFaultsFor(*Target.Instances, R"({"outage":true})",
                          Step.Duration, R"({"outage":false})");
  case FaultKind::TrainerOutage:
    return applyFaultsFor(*Target.Trainer, R"({"outage":true})", Step.Duration,
                          R"({"outage":false})");
  case FaultKind::TrainerLosesAnswers:
    return applyFaultsFor(*Target.Trainer, R"({"lose_answers":2})",
                          Step.Duration, R"({"lose_answers":0})");
  default:
    return applyFaultsFor(*Target.Scorer, R"({"fail_next":3})", Step.Duration,
                          "");
  }
}

void Injector::injectLink(const Fault &Step) {
  std::vector<StandIn *> links = Target.links();
  StandIn &link = *pick(links, Step.Target);
  switch (Step.Kind) {
  case FaultKind::LinkDelay:
    return applyFaultsFor(link, R"({"delay_ms":60,"jitter_ms":60})",
                          Step.Duration, ClearLink);
  case FaultKind::LinkCut:
    return applyFaultsFor(link, R"({"cut_now":true})", Step.Duration, "");
  case FaultKind::LinkHalfOpen:
    return applyFaultsFor(link, R"({"half_open":true})", Step.Duration,
                          ClearLink);
  case FaultKind::LinkRefuses:
    return applyFaultsFor(link, R"({"refuse":true,"cut_now":true})",
                          Step.Duration, ClearLink);
  case FaultKind::LinkLosesAnswers:
    return applyFaultsFor(link, R"({"answer_loss":2,"cut_now":true})",
                          Step.Duration, ClearLink);
  default:
    return applyFaultsFor(link, R"({"bytes_per_s":20000})", Step.Duration,
                          ClearLink);
  }
}

void Injector::partitionDomain(const Fault &Step) {
  const std::string &domain = pick(Target.Plan.Domains, Step.Target);
  std::vector<StandIn *> links;
  for (const std::vector<std::unique_ptr<ProcessSlot>> *slots :
       {&Target.Daemons, &Target.Entries}) {
    for (const std::unique_ptr<ProcessSlot> &it : *slots) {
      if (it->Domain != domain)
        continue;
      links.push_back(it->ControlLink.get());
      if (it->FramesLink)
        links.push_back(it->FramesLink.get());
    }
  }
  for (StandIn *it : links)
    it->setFaults(R"({"refuse":true,"cut_now":true})");
  waitFor(Step.Duration);
  for (StandIn *it : links)
    it->setFaults(ClearLink);
}

void Injector::injectOperator(const Fault &Step) {
  if (Step.Kind == FaultKind::SwitchPreset) {
    const std::string preset = Step.Target % 2 == 0 ? "peak" : "maintenance";
    const Cluster::CtlCommandResult end =
        Target.runCtl({"preset", preset, "--operator=chaos"});
    record({0, end.Code, end.Output});
    waitFor(Step.Duration);
    restorePreset();
    return;
  }
  // Two operators change the same object from the same revision.
  std::vector<std::thread> operators;
  for (const std::string name : {"anna", "benigno"}) {
    std::uint32_t rate = 0;
    {
      std::lock_guard<std::mutex> lock(Mutex);
      rate = ++LastRate;
    }
    operators.emplace_back([this, name, rate] {
      const std::string folder = Target.writeDeclarations(
          "declarations-" + std::to_string(rate), rate);
      const Cluster::CtlCommandResult end =
          Target.runCtl({"apply", folder, "--operator=" + name});
      record({rate, end.Code, end.Output});
    });
  }
  for (std::thread &it : operators)
    it.join();
}

/// Retries, because the switch back may fail during an outage.
void Injector::restorePreset() {
  constexpr int MaxAttempts = 40;
  constexpr Millis RetryDelay{500};
  constexpr int AcceptedNotSeen = 5;
  for (int n = 0; n < MaxAttempts; ++n) {
    const Cluster::CtlCommandResult end =
        Target.runCtl({"preset", "ordinary", "--operator=chaos"});
    record({0, end.Code, end.Output});
    if (end.Code == 0 || end.Code == AcceptedNotSeen)
      return;
    waitFor(RetryDelay);
  }
  recordProblem("the preset can't be switched back");
}

void Injector::restoreCluster() {
  for (StandIn *it : Target.links())
    it->setFaults(ClearLink);
  Target.Log->setFaults(R"({"outage":false,"slow_ms":0,"lose_answers":0,)"
                        R"("stale_tail":0})");
  Target.Weights->setFaults(R"({"outage":false})");
  Target.Instances->setFaults(R"({"outage":false})");
  Target.Trainer->setFaults(R"({"outage":false,"lose_answers":0})");
  Target.Scorer->setFaults(R"({"fail_next":0})");
  for (const std::unique_ptr<StandIn> &it : Target.Services)
    it->setFaults(R"({"hang":false,"reset_before_answer":0,)"
                  R"("reset_mid_answer":0})");
  for (std::size_t n = 0; n < Target.Plan.Engines; ++n)
    Target.engine(n)->setFaults(
        R"({"hang":false,"slow_factor":1,"fail_next_load":0,)"
        R"("wrong_version_next_load":0,"lose_order_answers":0})");
  restorePreset();
  for (std::vector<std::unique_ptr<ProcessSlot>> *slots :
       {&Target.Daemons, &Target.Entries}) {
    for (const std::unique_ptr<ProcessSlot> &it : *slots) {
      const std::shared_ptr<Process> process = Cluster::currentProcess(*it);
      if (process && process->running())
        continue;
      // Unexpected exit: the log holds the last output.
      if (process)
        recordProblem(it->Instance + " ended by itself");
      Target.killSlot(*it);
      restartSlot(*it);
    }
  }
}

void Injector::stopAll() {
  std::vector<std::thread> threads;
  for (std::vector<std::unique_ptr<ProcessSlot>> *slots :
       {&Target.Daemons, &Target.Entries}) {
    for (const std::unique_ptr<ProcessSlot> &it : *slots) {
      if (Cluster::currentProcess(*it))
        threads.emplace_back([this, &it] { stopSlot(*it, false); });
    }
  }
  for (std::thread &it : threads)
    it.join();
}

} // namespace wasabi::chaos
