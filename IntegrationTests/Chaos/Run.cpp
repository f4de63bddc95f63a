#include "IntegrationTests/Chaos/Run.h"

#include "IntegrationTests/Chaos/CallerLoad.h"
#include "IntegrationTests/Chaos/Injector.h"
#include "IntegrationTests/Chaos/Observer.h"
#include "IntegrationTests/Chaos/Recovery.h"
#include "IntegrationTests/Chaos/Tally.h"
#include "IntegrationTests/Harness/TestFolder.h"
#include "IntegrationTests/Harness/Waiting.h"
#include "Wasabi/Adapters/Telemetry/TimelineJson.h"
#include "Wasabi/Replay/Check.h"

#include <boost/json.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>

namespace wasabi::chaos {

namespace {

/// Most lines of what is wrong that are printed.
constexpr std::size_t MaxPrinted = 20;

std::vector<UpstreamRun> gatherRuns(Cluster &of, Tally &sum) {
  std::vector<UpstreamRun> runs;
  const auto take = [&](const harness::StandIn &from, const std::string &name) {
    const Outcome<boost::json::value> truth = from.truth();
    if (!truth) {
      sum.Violations.push_back("no truth of " + name + ": " +
                               describe(truth.failure()));
      return;
    }
    const std::vector<UpstreamRun> found = parseUpstreamRuns(*truth, name);
    runs.insert(runs.end(), found.begin(), found.end());
  };
  for (std::size_t n = 0; n < of.Plan.Engines; ++n)
    take(*of.engine(n), of.Plan.EngineService + "-" + std::to_string(n + 1));
  for (std::size_t n = 0; n < of.Services.size(); ++n)
    take(*of.Services[n], of.Plan.PlainService + "-" + std::to_string(n + 1));
  return runs;
}

/// Every link must have been used: else faults on it prove nothing.
void judgeLinks(Tally &sum, Cluster &of) {
  for (harness::StandIn *it : of.links()) {
    const Outcome<boost::json::value> truth = it->truth();
    const bool used = truth && truth->is_object() &&
                      truth->as_object().contains("connections") &&
                      truth->at("connections").to_number<std::uint64_t>() > 0;
    if (!used)
      sum.Violations.push_back("nothing went through the link at " +
                               toText(it->address()));
  }
}

void gatherTrainer(Cluster &of, Tally &sum) {
  const Outcome<boost::json::value> truth = of.Trainer->truth();
  if (truth)
    checkTrainerTruth(sum, parseTrainerTruth(*truth));
  else
    sum.Violations.push_back("no truth of the trainer");
}

/// What an operator was told is what is in force in the end: the limit has the
/// rate of the last act that was accepted.
void judgeOperators(Tally &sum, Cluster &of,
                    const std::vector<OperatorAction> &acts) {
  constexpr int Accepted = 0;
  constexpr int AcceptedNotSeen = 5;
  const Cluster::CtlCommandResult history = of.control({"history"});
  for (const OperatorAction &it : acts) {
    if (it.Code != Accepted && it.Code != AcceptedNotSeen)
      continue;
    // It was in force already: nothing was accepted.
    if (it.Output.find("nothing to change") != std::string::npos)
      continue;
    // "accepted at offset N…" is found again in the history.
    const std::size_t at = it.Output.find("offset ");
    const std::string offset =
        at == std::string::npos
            ? std::string()
            : it.Output.substr(
                  at, it.Output.find_first_not_of("0123456789", at + 7) - at);
    if (!offset.empty() &&
        history.Output.find(offset + " accepted") != std::string::npos)
      continue;
    ++sum.ConfigReverts;
    sum.Violations.push_back("an accepted change is not in the history: " +
                             it.Output);
  }
}

/// Holds the gathered time line against the promises.
void judgeTimeline(Tally &sum, const replay::Trace &trace) {
  const replay::TraceExpectations config{{"config-never-reverts"}, {}, {}};
  const std::optional<replay::TraceViolation> broken =
      replay::check(trace, config);
  if (!broken)
    return;
  ++sum.ConfigReverts;
  sum.Violations.push_back(replay::describeViolation(trace, *broken));
}

/// The other rules say where to look; the stand-ins' records decide.
void printTimelineHints(const replay::Trace &trace) {
  for (const std::string rule :
       {"sample-once", "label-true", "fresh", "answer-whole", "not-run-is-true",
        "at-most-once", "leaving-gets-no-new-work", "planned-stop-cuts-nothing",
        "fences-never-go-back"}) {
    const replay::TraceExpectations against{{rule}, {}, {}};
    const std::optional<replay::TraceViolation> broken =
        replay::check(trace, against);
    if (broken)
      std::cout << "time line: " << replay::describeViolation(trace, *broken);
  }
}

void writeTrace(const std::string &path, const replay::Trace &trace) {
  std::ofstream file(path);
  for (const TimelineEvent &it : trace.Events)
    file << encodeEvent(it) << "\n";
}

void writeCallers(const std::string &path,
                  const std::vector<CallerRecord> &records) {
  std::ofstream file(path);
  for (const CallerRecord &it : records)
    file << it.Mark << " end=" << static_cast<int>(it.End)
         << " status=" << it.Status << " begun_us=" << it.Begun
         << " ended_us=" << it.Ended << " " << it.Note << "\n";
}

CallerLoad::Settings loadOf(const ClusterPlan &plan, std::uint64_t seed) {
  CallerLoad::Settings setup;
  setup.Seed = seed;
  setup.EngineService = plan.EngineService;
  setup.Model = plan.Model;
  setup.PlainService = plan.PlainService;
  return setup;
}

std::string secondsOf(std::optional<Millis> took) {
  constexpr double MillisPerSecond = 1000;
  if (!took)
    return "none";
  char text[32];
  std::snprintf(text, sizeof(text), "%.1f",
                static_cast<double>(took->count()) / MillisPerSecond);
  return text;
}

void printFaults(const Tally &sum) {
  for (std::size_t n = 0; n < sum.Violations.size() && n < MaxPrinted; ++n)
    std::cout << "wrong: " << sum.Violations[n] << "\n";
  if (sum.Violations.size() > MaxPrinted)
    std::cout << "wrong: " << sum.Violations.size() - MaxPrinted << " more\n";
}

} // namespace

Result<ExitCode> runChaosTest(ClusterPlan Plan, std::uint64_t Seed,
                              const std::vector<Fault> &Schedule, bool Keep) {
  BOOST_LEAF_AUTO(folder, harness::TestFolder::create());
  const Outcome<std::unique_ptr<Cluster>> started =
      toOutcome<std::unique_ptr<Cluster>>([&] {
        return Cluster::start(std::move(Plan), Seed, folder->path().string());
      });
  if (!started) {
    folder->keep();
    std::cout << "logs: " << folder->path().string() << "\n";
    return boost::leaf::new_error(started.failure());
  }
  Cluster &cluster = **started;
  std::string missing;
  if (!awaitRecovery(cluster, wallMicros(), missing)) {
    folder->keep();
    std::cout << "logs: " << folder->path().string() << "\n";
    return boost::leaf::new_error(Failure{
        Verdict::NotRun, FailureCode::Unavailable, "cluster", missing, {}});
  }
  const std::unique_ptr<CallerLoad> load =
      CallerLoad::start(loadOf(cluster.Plan, Seed));
  Observer observer(cluster, *load);
  Injector injector(cluster);

  // Faults, then none, under load throughout.
  injector.run(Schedule);
  injector.restoreCluster();
  const std::uint64_t healed = wallMicros();
  const std::optional<Millis> recovered =
      awaitRecovery(cluster, healed, missing);
  const std::vector<CallerRecord> seen = load->finish();

  // The verdict.
  Tally sum;
  const std::vector<UpstreamRun> runs = gatherRuns(cluster, sum);
  checkCallers(sum, seen, runs);
  checkPlannedStops(sum, injector.stops(), seen, runs);
  judgeOperators(sum, cluster, injector.acts());
  judgeLinks(sum, cluster);
  for (const std::string &it : injector.problems())
    sum.Violations.push_back(it);
  if (!recovered)
    sum.Violations.push_back("no recovery: " + missing);
  else if (*recovered > MaxRecoveryTime)
    sum.Violations.push_back("recovery took too long");
  const replay::Trace trace = replay::makeTrace(observer.finish());
  injector.stopAll();
  gatherTrainer(cluster, sum);
  judgeTimeline(sum, trace);

  printFaults(sum);
  const bool held = hasNoViolations(sum);
  printTimelineHints(trace);
  if (!held || Keep) {
    writeTrace(folder->file("timeline.jsonl"), trace);
    writeCallers(folder->file("callers.txt"), seen);
    folder->keep();
    std::cout << "kept: " << folder->path().string() << "\n";
  }
  std::cout << "chaos: seed=" << Seed << " faults=" << Schedule.size() << " "
            << describe(sum) << " recovered_s=" << secondsOf(recovered)
            << std::endl;
  return held ? ExitCode::Success : ExitCode::OutcomeNotMet;
}

} // namespace wasabi::chaos
