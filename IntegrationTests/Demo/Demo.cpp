#include "IntegrationTests/Demo/Demo.h"

#include "IntegrationTests/Demo/Highlights.h"
#include "IntegrationTests/Harness/Waiting.h"

#include <boost/json/value.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>

namespace wasabi::demo {

namespace {

constexpr Millis AnswersTimeout{60000};
constexpr Millis StepsTimeout{120000};
constexpr Millis StopTimeout{30000};
constexpr Millis ReadyTimeout{20000};
constexpr Millis DrainTimeout{30000};
/// Maximum time until a change is in force on all processes.
constexpr Millis InForceTimeout{13000};
/// Maximum number of repeats of a request that was refused as not run.
constexpr std::uint32_t MaxDelayedRetries = 10;
/// Maximum number of characters shown of a refusal's reason.
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

/// Returns the example's service of a kind; each example has one.
const ServiceDeclaration &findService(const Configuration &Declared,
                                      ServiceKind Kind) {
  auto it = std::find_if(
      Declared.Services.begin(), Declared.Services.end(),
      [&](const std::pair<const ServiceName, ServiceDeclaration> &Entry) {
        return Entry.second.Kind == Kind;
      });
  return it->second;
}

void print(const std::string &Text) { std::cout << Text << std::endl; }

/// Returns the `detail` of a refusal, which explains it.
std::string findReason(const chaos::CallerRecord &Record) {
  constexpr std::string_view Key = "\"detail\":\"";
  std::size_t detail = Record.Note.find(Key);
  if (detail == std::string::npos)
    return Record.Note.substr(0, MaxReason);
  std::size_t from = detail + Key.size();
  return Record.Note.substr(from, Record.Note.find('"', from) - from);
}

using Sends = std::vector<chaos::CallerRecord>;

/// Groups the sends by request, in the order in which they were sent.
std::map<std::string, Sends> groupByRequest(const Sends &Records) {
  std::map<std::string, Sends> requests;
  for (const chaos::CallerRecord &it : Records)
    requests[it.Mark].push_back(it);
  return requests;
}

/// Prints a request that never got its whole answer, with the responses that
/// its caller received.
void printIncomplete(const std::string &Mark, const Sends &Answers) {
  print("FAULT: never whole: " + Mark);
  for (const chaos::CallerRecord &it : Answers)
    print("  " + std::to_string(it.Begun) + " to " + std::to_string(it.Ended) +
          " us, status " + std::to_string(it.Status) + ": " + it.Note);
}

/// Returns the sends that a stop may have cut off: the last send of each
/// request, and all that failed without an answer. A keyed write that was
/// answered "may have run" and got a whole answer when repeated was not cut
/// off.
Sends findCutOffSends(const Sends &Records) {
  Sends ends;
  for (const std::pair<const std::string, Sends> &request :
       groupByRequest(Records)) {
    for (const chaos::CallerRecord &it : request.second) {
      if (it.Status == 0 || &it == &request.second.back())
        ends.push_back(it);
    }
  }
  return ends;
}

/// Prints the number of refusals of callers by reason.
void printRefusals(const std::vector<chaos::CallerRecord> &Records) {
  std::map<std::string, std::uint64_t> reasons;
  for (const chaos::CallerRecord &it : Records) {
    if (it.End == chaos::CallOutcome::NotRun)
      ++reasons[findReason(it)];
  }
  for (const std::pair<const std::string, std::uint64_t> &it : reasons)
    print("refused, not run, " + std::to_string(it.second) +
          " times: " + it.first);
}

} // namespace

bool holds(const DemoReport &Report) {
  bool answered = Report.Requests > 0 && Report.Whole == Report.Requests;
  bool delivered =
      Report.Samples > 0 && Report.Trainer.Samples == Report.Samples;
  bool spread = Report.MaxInForceTime <= InForceTimeout;
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
               static_cast<std::uint64_t>(Report.MaxInForceTime.count()));
}

Result<std::unique_ptr<Demo>> Demo::start(Settings Setup) {
  harness::Deployment::Settings deployment;
  deployment.Example = Setup.Example;
  deployment.Flags = standInFlags(Setup);
  BOOST_LEAF_AUTO(running, harness::Deployment::start(std::move(deployment)));
  return std::unique_ptr<Demo>(new Demo(std::move(Setup), std::move(running)));
}

Demo::Demo(Settings Setup, std::unique_ptr<harness::Deployment> System)
    : Setup(std::move(Setup)), System(std::move(System)) {}

DemoReport Demo::run() {
  print("started: " + std::to_string(System->upstreams().size()) +
        " upstreams, " + std::to_string(System->nodes().size()) +
        " processes of the system");
  publish();
  startCallerLoad();
  waitForFirstStep();
  runOperatorCommands();
  restartEachProcess();
  waitForAllSteps();
  enterMaintenance();
  showTimeline();
  checkOutcome();
  return Report;
}

bool Demo::waitWithCallers(const std::function<bool()> &Condition,
                           Millis Timeout) {
  return harness::waitUntil(
      [&] {
        if (Load)
          Load->setEntries(System->readyEntries());
        return Condition();
      },
      Timeout);
}

harness::CtlResult Demo::control(const std::vector<std::string> &Arguments) {
  harness::CtlResult run = System->control(Arguments);
  std::string command;
  for (const std::string &it : Arguments)
    command += " " + it;
  expect(run.Code == 0, "wasabictl" + command + ": code " +
                            std::to_string(run.Code) + "\n" + run.Output +
                            run.Errors);
  return run;
}

void Demo::expect(bool Condition, const std::string &Description) {
  if (Condition)
    return;
  print("FAULT: " + Description);
  Report.Faults.push_back(Description);
}

chaos::TrainerTruth Demo::trainerTruth() const {
  Outcome<boost::json::value> truth =
      System->trainers().begin()->second->truth();
  return truth ? chaos::parseTrainerTruth(*truth) : chaos::TrainerTruth{};
}

void Demo::publish() {
  harness::CtlResult run = control({"apply", System->declarations()});
  Report.MaxInForceTime = std::max(Report.MaxInForceTime, run.Duration);
  bool known = waitWithCallers([&] { return System->areAllUpstreamsKnown(); },
                               ReadyTimeout);
  expect(known, "not all processes know all upstreams");
  print("published: declarations in force everywhere after " +
        std::to_string(run.Duration.count()) + " ms");
}

void Demo::startCallerLoad() {
  const Configuration &declared = System->example().Declared;
  const ServiceDeclaration &engines =
      findService(declared, ServiceKind::Engines);
  chaos::CallerLoad::Settings load;
  load.Seed = Setup.Seed;
  load.Callers = Setup.Callers;
  load.EngineService = engines.Name.Text;
  load.Model = engines.Model.Text;
  load.PlainService = findService(declared, ServiceKind::Plain).Name.Text;
  load.MaxDelayedRetries = MaxDelayedRetries;
  Load = chaos::CallerLoad::start(load);
  bool enough = waitWithCallers(
      [&] { return Load->completeAnswerCount() >= Setup.FirstAnswers; },
      AnswersTimeout);
  expect(enough, "callers got too few answers");
  print("path 1, callers: " + std::to_string(Load->completeAnswerCount()) +
        " whole answers from " + load.EngineService + " and " +
        load.PlainService);
}

void Demo::waitForFirstStep() {
  bool whole = waitWithCallers(
      [&] { return trainerTruth().StepsComplete >= 1; }, StepsTimeout);
  expect(whole, "the trainer's first step did not become whole");
  print("path 2, trainer: first step whole, " +
        std::to_string(trainerTruth().Samples) + " samples delivered");
}

void Demo::runOperatorCommands() {
  for (const std::string preset : {"peak", "ordinary"}) {
    harness::CtlResult run = control({"preset", preset});
    Report.MaxInForceTime = std::max(Report.MaxInForceTime, run.Duration);
    print("path 3, operator: preset " + preset + " in force everywhere after " +
          std::to_string(run.Duration.count()) + " ms");
  }
  control({"plan", System->declarations()});
  control({"status"});
  control({"history"});
}

void Demo::restartEachProcess() {
  for (harness::WasabiProcess &it : System->nodes())
    restartOne(it);
  print("path 4, planned stops: " + std::to_string(Stops.size()) +
        " processes stopped and replaced under load");
}

void Demo::restartOne(harness::WasabiProcess &Node) {
  chaos::PlannedStop stop;
  stop.WithoutOtherFaults = true;
  stop.SignalMicros = wallMicros();
  if (!Node.isEntry())
    stop.Servers.push_back(System->upstreams()[*Node.Upstream].Name);
  Node.Child->signal(SIGTERM);
  bool ended =
      waitWithCallers([&] { return !Node.Child->running(); }, StopTimeout);
  stop.Ended = wallMicros();
  std::optional<harness::ProcessExit> end = Node.Child->wait(Millis(0));
  stop.ExitedCleanly = ended && end && end->Code == 0;
  Stops.push_back(stop);
  expect(stop.ExitedCleanly, Node.Name + " did not end in order");
  print("  " + Node.Name + " ended after " +
        std::to_string((stop.Ended - stop.SignalMicros) / 1000) + " ms");
  if (!ended)
    System->kill(Node);

  Outcome<Done> again = toOutcome<Done>([&] { return System->restart(Node); });
  expect(static_cast<bool>(again),
         again ? "" : wasabi::describe(again.failure()));
  bool ready = waitWithCallers(
      [&] { return harness::Deployment::isReady(Node); }, ReadyTimeout);
  expect(ready, Node.Name + " did not become ready again");
  // Replace the next process only after the last one is back.
  bool known = waitWithCallers([&] { return System->areAllUpstreamsKnown(); },
                               ReadyTimeout);
  expect(known, Node.Name + " is not known to all others:\n" +
                    (known ? "" : System->describeIncompleteViews()));
}

void Demo::waitForAllSteps() {
  bool whole = waitWithCallers(
      [&] { return trainerTruth().StepsComplete >= Setup.Steps; },
      StepsTimeout);
  expect(whole, "the trainer has " +
                    std::to_string(trainerTruth().StepsComplete) +
                    " whole steps of " + std::to_string(Setup.Steps));
  print("path 2, trainer: " + std::to_string(trainerTruth().StepsComplete) +
        " steps whole");
}

void Demo::enterMaintenance() {
  // Stop the callers first, so that they see no refusals of the shutdown.
  Records = Load->finish();
  Load.reset();
  harness::CtlResult run = control({"preset", "maintenance"});
  Report.MaxInForceTime = std::max(Report.MaxInForceTime, run.Duration);
  bool drained = waitWithCallers(
      [&] { return System->control({"drain-check"}).Code == 0; }, DrainTimeout);
  expect(drained, "the maintenance preset did not drain");
  print("path 3, operator: maintenance in force, nothing in flight");
}

void Demo::checkOutcome() {
  std::vector<chaos::UpstreamRun> runs;
  for (const harness::UpstreamProcess &it : System->upstreams()) {
    Outcome<boost::json::value> truth = it.Server->truth();
    expect(static_cast<bool>(truth), it.Name + " tells no truth");
    if (!truth)
      continue;
    std::vector<chaos::UpstreamRun> found =
        chaos::parseUpstreamRuns(*truth, it.Name);
    runs.insert(runs.end(), found.begin(), found.end());
  }
  chaos::checkCallers(Report.Callers, Records, runs);
  chaos::checkPlannedStops(Report.Callers, Stops, findCutOffSends(Records),
                           runs);
  Report.Trainer = trainerTruth();
  chaos::checkTrainerTruth(Report.Callers, Report.Trainer);
  checkRequests();
  printRefusals(Records);
  Report.Samples = Setup.Steps * Setup.Groups * Setup.GroupSize;
  for (const std::string &it : Report.Callers.Violations)
    print("FAULT: " + it);
}

void Demo::checkRequests() {
  for (const std::pair<const std::string, Sends> &it :
       groupByRequest(Records)) {
    ++Report.Requests;
    if (it.second.back().End == chaos::CallOutcome::Whole)
      ++Report.Whole;
    else
      printIncomplete(it.first, it.second);
  }
  Report.Refused = Report.Callers.NotRun;
}

void Demo::showTimeline() {
  harness::CtlResult run = control({"timeline"});
  print("time line, highlights:");
  for (const std::string &it : selectHighlights(run.Output))
    print("  " + it);
}

} // namespace wasabi::demo
