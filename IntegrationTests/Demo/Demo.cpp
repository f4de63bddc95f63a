#include "IntegrationTests/Demo/Demo.h"

#include "IntegrationTests/Demo/Highlights.h"
#include "IntegrationTests/Harness/Waiting.h"

#include <boost/json/value.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>

namespace wasabi::demo {

namespace {

constexpr Millis AnswersLimit{60000};
constexpr Millis StepsLimit{120000};
constexpr Millis StopLimit{30000};
constexpr Millis ReadyLimit{20000};
constexpr Millis DrainLimit{30000};
/// Within this a change must be in force everywhere.
constexpr Millis InForceLimit{13000};
/// How often a caller sends again what was refused as not run.
constexpr std::uint32_t MaxDelayedRetries = 10;
/// Characters of a refusal's reason that are shown.
constexpr std::size_t MaxReason = 120;

std::string flag(const std::string &Name, std::uint64_t Value) {
  return "--" + Name + "=" + std::to_string(Value);
}

std::map<std::string, std::vector<std::string>>
standInFlags(const Demo::Settings &Setup) {
  return {{"engine", {"--tokens_per_s=200", "--slots=16"}},
          {"service", {"--latency_ms=2"}},
          {"weights", {"--blob_bytes=1000000"}},
          {"trainer",
           {flag("steps", Setup.Steps), flag("groups", Setup.Groups),
            flag("group_size", Setup.GroupSize), "--train_ms=500",
            "--max_tokens=64"}}};
}

/// The example's service of a kind; each has one.
const ServiceDeclaration &serviceOf(const Configuration &Declared,
                                    ServiceKind Kind) {
  auto it = std::find_if(
      Declared.Services.begin(), Declared.Services.end(),
      [&](const std::pair<const ServiceName, ServiceDeclaration> &Entry) {
        return Entry.second.Kind == Kind;
      });
  return it->second;
}

void say(const std::string &Text) { std::cout << Text << std::endl; }

/// A refusal's `detail`, which says why.
std::string reasonOf(const chaos::CallerRecord &Record) {
  constexpr std::string_view Key = "\"detail\":\"";
  std::size_t detail = Record.Note.find(Key);
  if (detail == std::string::npos)
    return Record.Note.substr(0, MaxReason);
  std::size_t from = detail + Key.size();
  return Record.Note.substr(from, Record.Note.find('"', from) - from);
}

using Sends = std::vector<chaos::CallerRecord>;

/// Each request with its sends, in their order.
std::map<std::string, Sends> byRequest(const Sends &Records) {
  std::map<std::string, Sends> requests;
  for (const chaos::CallerRecord &it : Records)
    requests[it.Mark].push_back(it);
  return requests;
}

/// A request that never got its whole answer, with what its caller was told.
void sayLost(const std::string &Mark, const Sends &Told) {
  say("FAULT: never whole: " + Mark);
  for (const chaos::CallerRecord &it : Told)
    say("  " + std::to_string(it.Begun) + " to " + std::to_string(it.Ended) +
        " us, status " + std::to_string(it.Status) + ": " + it.Note);
}

/// Sends that a stop may have cut off: the last of each request, and all that
/// broke without an answer. A keyed write that was answered "may have run" and
/// then, sent again, answered whole was not cut off.
Sends endsOf(const Sends &Records) {
  Sends ends;
  for (const std::pair<const std::string, Sends> &request :
       byRequest(Records)) {
    for (const chaos::CallerRecord &it : request.second) {
      if (it.Status == 0 || &it == &request.second.back())
        ends.push_back(it);
    }
  }
  return ends;
}

/// Why callers were refused, and how often.
void sayRefusals(const std::vector<chaos::CallerRecord> &Records) {
  std::map<std::string, std::uint64_t> reasons;
  for (const chaos::CallerRecord &it : Records) {
    if (it.End == chaos::CallOutcome::NotRun)
      ++reasons[reasonOf(it)];
  }
  for (const std::pair<const std::string, std::uint64_t> &it : reasons)
    say("refused, not run, " + std::to_string(it.second) +
        " times: " + it.first);
}

} // namespace

bool holds(const DemoReport &Report) {
  bool answered = Report.Requests > 0 && Report.Whole == Report.Requests;
  bool delivered =
      Report.Samples > 0 && Report.Trainer.Samples == Report.Samples;
  bool spread = Report.InForce <= InForceLimit;
  return answered && delivered && spread &&
         chaos::hasNoViolations(Report.Callers) && Report.Faults.empty();
}

std::string describe(const DemoReport &Report) {
  auto field = [](const std::string &Name, std::uint64_t Value) {
    return " " + Name + "=" + std::to_string(Value);
  };
  return "demo:" + field("requests", Report.Requests) +
         field("whole", Report.Whole) +
         field("refused_not_run", Report.Refused) +
         field("samples", Report.Samples) +
         field("delivered", Report.Trainer.Samples) +
         field("duplicates", Report.Trainer.Duplicates) +
         field("mislabelled", Report.Trainer.Mislabelled) +
         field("stale", Report.Trainer.Stale) +
         field("config_in_force_ms",
               static_cast<std::uint64_t>(Report.InForce.count()));
}

Result<std::unique_ptr<Demo>> Demo::start(Settings Setup) {
  harness::Deployment::Settings deployment;
  deployment.Example = Setup.Example;
  deployment.Flags = standInFlags(Setup);
  BOOST_LEAF_AUTO(running, harness::Deployment::start(std::move(deployment)));
  return std::unique_ptr<Demo>(new Demo(std::move(Setup), std::move(running)));
}

Demo::Demo(Settings Setup, std::unique_ptr<harness::Deployment> Running)
    : Setup(std::move(Setup)), Running(std::move(Running)) {}

DemoReport Demo::run() {
  say("started: " + std::to_string(Running->upstreams().size()) +
      " upstreams, " + std::to_string(Running->nodes().size()) +
      " processes of the system");
  publish();
  startCallerLoad();
  waitForFirstStep();
  runOperatorCommands();
  restartEachProcess();
  waitForAllSteps();
  enterMaintenance();
  showTimeline();
  judge();
  return Report;
}

bool Demo::await(const std::function<bool()> &Condition, Millis Limit) {
  return harness::waitUntil(
      [&] {
        if (Load)
          Load->setEntries(Running->readyEntries());
        return Condition();
      },
      Limit);
}

harness::CtlResult Demo::control(const std::vector<std::string> &Arguments) {
  harness::CtlResult run = Running->control(Arguments);
  std::string command;
  for (const std::string &it : Arguments)
    command += " " + it;
  expect(run.Code == 0, "wasabictl" + command + ": code " +
                            std::to_string(run.Code) + "\n" + run.Output +
                            run.Errors);
  return run;
}

void Demo::expect(bool Holds, const std::string &What) {
  if (Holds)
    return;
  say("FAULT: " + What);
  Report.Faults.push_back(What);
}

chaos::TrainerTruth Demo::trainerTruth() const {
  Outcome<boost::json::value> truth =
      Running->trainers().begin()->second->truth();
  return truth ? chaos::parseTrainerTruth(*truth) : chaos::TrainerTruth{};
}

void Demo::publish() {
  harness::CtlResult run = control({"apply", Running->declarations()});
  Report.InForce = std::max(Report.InForce, run.Took);
  bool known =
      await([&] { return Running->areAllUpstreamsKnown(); }, ReadyLimit);
  expect(known, "not all processes know all upstreams");
  say("published: declarations in force everywhere after " +
      std::to_string(run.Took.count()) + " ms");
}

void Demo::startCallerLoad() {
  const Configuration &declared = Running->example().Declared;
  const ServiceDeclaration &engines = serviceOf(declared, ServiceKind::Engines);
  chaos::CallerLoad::Settings load;
  load.Seed = Setup.Seed;
  load.Callers = Setup.Callers;
  load.EngineService = engines.Name.Text;
  load.Model = engines.Model.Text;
  load.PlainService = serviceOf(declared, ServiceKind::Plain).Name.Text;
  load.MaxDelayedRetries = MaxDelayedRetries;
  Load = chaos::CallerLoad::start(load);
  bool enough =
      await([&] { return Load->completeAnswerCount() >= Setup.FirstAnswers; },
            AnswersLimit);
  expect(enough, "callers got too few answers");
  say("path 1, callers: " + std::to_string(Load->completeAnswerCount()) +
      " whole answers from " + load.EngineService + " and " +
      load.PlainService);
}

void Demo::waitForFirstStep() {
  bool whole =
      await([&] { return trainerTruth().StepsComplete >= 1; }, StepsLimit);
  expect(whole, "the trainer's first step did not become whole");
  say("path 2, trainer: first step whole, " +
      std::to_string(trainerTruth().Samples) + " samples delivered");
}

void Demo::runOperatorCommands() {
  for (const std::string preset : {"peak", "ordinary"}) {
    harness::CtlResult run = control({"preset", preset});
    Report.InForce = std::max(Report.InForce, run.Took);
    say("path 3, operator: preset " + preset + " in force everywhere after " +
        std::to_string(run.Took.count()) + " ms");
  }
  control({"plan", Running->declarations()});
  control({"status"});
  control({"history"});
}

void Demo::restartEachProcess() {
  for (harness::WasabiProcess &it : Running->nodes())
    restartOne(it);
  say("path 4, planned stops: " + std::to_string(Stops.size()) +
      " processes stopped and replaced under load");
}

void Demo::restartOne(harness::WasabiProcess &Node) {
  chaos::PlannedStop stop;
  stop.WithoutOtherFaults = true;
  stop.SignalMicros = wallMicros();
  if (!Node.isEntry())
    stop.Servers.push_back(Running->upstreams()[*Node.Upstream].Name);
  Node.Running->signal(SIGTERM);
  bool ended = await([&] { return !Node.Running->running(); }, StopLimit);
  stop.Ended = wallMicros();
  std::optional<harness::ProcessExit> end = Node.Running->wait(Millis(0));
  stop.ExitedCleanly = ended && end && end->Code == 0;
  Stops.push_back(stop);
  expect(stop.ExitedCleanly, Node.Name + " did not end in order");
  say("  " + Node.Name + " ended after " +
      std::to_string((stop.Ended - stop.SignalMicros) / 1000) + " ms");
  if (!ended)
    Running->kill(Node);

  Outcome<Done> again = toOutcome<Done>([&] { return Running->restart(Node); });
  expect(static_cast<bool>(again),
         again ? "" : wasabi::describe(again.failure()));
  bool ready =
      await([&] { return harness::Deployment::isReady(Node); }, ReadyLimit);
  expect(ready, Node.Name + " did not become ready again");
  // An operator replaces the next one when the last one is back.
  bool known =
      await([&] { return Running->areAllUpstreamsKnown(); }, ReadyLimit);
  expect(known, Node.Name + " is not known to all others:\n" +
                    (known ? "" : Running->describeIncompleteViews()));
}

void Demo::waitForAllSteps() {
  bool whole = await(
      [&] { return trainerTruth().StepsComplete >= Setup.Steps; }, StepsLimit);
  expect(whole, "the trainer has " +
                    std::to_string(trainerTruth().StepsComplete) +
                    " whole steps of " + std::to_string(Setup.Steps));
  say("path 2, trainer: " + std::to_string(trainerTruth().StepsComplete) +
      " steps whole");
}

void Demo::enterMaintenance() {
  // Callers go home first, so that what is refused then is not their concern.
  Records = Load->finish();
  Load.reset();
  harness::CtlResult run = control({"preset", "maintenance"});
  Report.InForce = std::max(Report.InForce, run.Took);
  bool drained = await(
      [&] { return Running->control({"drain-check"}).Code == 0; }, DrainLimit);
  expect(drained, "the maintenance preset did not drain");
  say("path 3, operator: maintenance in force, nothing in flight");
}

void Demo::judge() {
  std::vector<chaos::UpstreamRun> runs;
  for (const harness::UpstreamProcess &it : Running->upstreams()) {
    Outcome<boost::json::value> truth = it.Server->truth();
    expect(static_cast<bool>(truth), it.Name + " tells no truth");
    if (!truth)
      continue;
    std::vector<chaos::UpstreamRun> found =
        chaos::parseUpstreamRuns(*truth, it.Name);
    runs.insert(runs.end(), found.begin(), found.end());
  }
  chaos::checkCallers(Report.Callers, Records, runs);
  chaos::checkPlannedStops(Report.Callers, Stops, endsOf(Records), runs);
  Report.Trainer = trainerTruth();
  chaos::checkTrainerTruth(Report.Callers, Report.Trainer);
  checkRequests();
  sayRefusals(Records);
  Report.Samples = Setup.Steps * Setup.Groups * Setup.GroupSize;
  for (const std::string &it : Report.Callers.Violations)
    say("FAULT: " + it);
}

void Demo::checkRequests() {
  for (const std::pair<const std::string, Sends> &it : byRequest(Records)) {
    ++Report.Requests;
    if (it.second.back().End == chaos::CallOutcome::Whole)
      ++Report.Whole;
    else
      sayLost(it.first, it.second);
  }
  Report.Refused = Report.Callers.NotRun;
}

void Demo::showTimeline() {
  harness::CtlResult run = control({"timeline"});
  say("time line, highlights:");
  for (const std::string &it : selectHighlights(run.Output))
    say("  " + it);
}

} // namespace wasabi::demo
