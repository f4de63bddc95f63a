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

/// Maximum number of violations that are printed.
constexpr std::size_t MaxPrinted = 20;

std::vector<UpstreamRun> readUpstreamRuns(Cluster &cluster, Tally &sum) {
  std::vector<UpstreamRun> runs;
  const auto addRuns = [&](const harness::StandIn &from,
                           const std::string &name) {
    const Outcome<boost::json::value> truth = from.truth();
    if (!truth) {
      sum.Violations.push_back("no truth of " + name + ": " +
                               describe(truth.failure()));
      return;
    }
    const std::vector<UpstreamRun> found = parseUpstreamRuns(*truth, name);
    runs.insert(runs.end(), found.begin(), found.end());
  };
  for (std::size_t n = 0; n < cluster.Plan.Engines; ++n)
    addRuns(*cluster.engine(n),
            cluster.Plan.EngineService + "-" + std::to_string(n + 1));
  for (std::size_t n = 0; n < cluster.Services.size(); ++n)
    addRuns(*cluster.Services[n],
            cluster.Plan.PlainService + "-" + std::to_string(n + 1));
  return runs;
}

/// Checks that every link was used; faults on an unused link test nothing.
void checkLinks(Tally &sum, Cluster &cluster) {
  for (harness::StandIn *it : cluster.links()) {
    const Outcome<boost::json::value> truth = it->truth();
    const bool used = truth && truth->is_object() &&
                      truth->as_object().contains("connections") &&
                      truth->at("connections").to_number<std::uint64_t>() > 0;
    if (!used)
      sum.Violations.push_back("nothing went through the link at " +
                               toText(it->address()));
  }
}

void checkTrainer(Cluster &cluster, Tally &sum) {
  const Outcome<boost::json::value> truth = cluster.Trainer->truth();
  if (truth)
    checkTrainerTruth(sum, parseTrainerTruth(*truth));
  else
    sum.Violations.push_back("no truth of the trainer");
}

/// Checks that the history holds every accepted operator change.
void checkOperators(Tally &sum, Cluster &cluster,
                    const std::vector<OperatorAction> &actions) {
  constexpr int Accepted = 0;
  constexpr int AcceptedNotSeen = 5;
  const Cluster::CtlCommandResult history = cluster.runCtl({"history"});
  for (const OperatorAction &it : actions) {
    if (it.Code != Accepted && it.Code != AcceptedNotSeen)
      continue;
    // The configuration was unchanged, so there is no record in the history.
    if (it.Output.find("nothing to change") != std::string::npos)
      continue;
    // Finds "accepted at offset N…" in the history.
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

/// Checks the collected timeline for violations.
void checkTimeline(Tally &sum, const replay::Trace &trace) {
  const replay::TraceExpectations config{{"config-never-reverts"}, {}, {}};
  const std::optional<replay::TraceViolation> broken =
      replay::check(trace, config);
  if (!broken)
    return;
  ++sum.ConfigReverts;
  sum.Violations.push_back(replay::describeViolation(trace, *broken));
}

/// Prints violations of the other rules as hints; the stand-ins' records decide
/// the verdict.
void printTimelineHints(const replay::Trace &trace) {
  for (const std::string rule :
       {"sample-once", "label-true", "fresh", "answer-whole", "not-run-is-true",
        "at-most-once", "leaving-gets-no-new-work", "planned-stop-cuts-nothing",
        "fences-never-go-back"}) {
    const replay::TraceExpectations expectations{{rule}, {}, {}};
    const std::optional<replay::TraceViolation> broken =
        replay::check(trace, expectations);
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

CallerLoad::Settings makeLoadSettings(const ClusterPlan &plan,
                                      std::uint64_t seed) {
  CallerLoad::Settings setup;
  setup.Seed = seed;
  setup.EngineService = plan.EngineService;
  setup.Model = plan.Model;
  setup.PlainService = plan.PlainService;
  return setup;
}

std::string formatSeconds(std::optional<Millis> took) {
  constexpr double MillisPerSecond = 1000;
  if (!took)
    return "none";
  char text[32];
  std::snprintf(text, sizeof(text), "%.1f",
                static_cast<double>(took->count()) / MillisPerSecond);
  return text;
}

void printViolations(const Tally &sum) {
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
      CallerLoad::start(makeLoadSettings(cluster.Plan, Seed));
  Observer observer(cluster, *load);
  Injector injector(cluster);

  // Injects all faults, then waits for recovery, under load throughout.
  injector.run(Schedule);
  injector.restoreCluster();
  const std::uint64_t faultsEnded = wallMicros();
  const std::optional<Millis> recovered =
      awaitRecovery(cluster, faultsEnded, missing);
  const std::vector<CallerRecord> seen = load->finish();

  Tally sum;
  const std::vector<UpstreamRun> runs = readUpstreamRuns(cluster, sum);
  checkCallers(sum, seen, runs);
  checkPlannedStops(sum, injector.stops(), seen, runs);
  checkOperators(sum, cluster, injector.operatorActions());
  checkLinks(sum, cluster);
  for (const std::string &it : injector.problems())
    sum.Violations.push_back(it);
  if (!recovered)
    sum.Violations.push_back("no recovery: " + missing);
  else if (*recovered > MaxRecoveryTime)
    sum.Violations.push_back("recovery took too long");
  const replay::Trace trace = replay::makeTrace(observer.finish());
  injector.stopAll();
  checkTrainer(cluster, sum);
  checkTimeline(sum, trace);

  printViolations(sum);
  const bool held = hasNoViolations(sum);
  printTimelineHints(trace);
  if (!held || Keep) {
    writeTrace(folder->file("timeline.jsonl"), trace);
    writeCallers(folder->file("callers.txt"), seen);
    folder->keep();
    std::cout << "kept: " << folder->path().string() << "\n";
  }
  std::cout << "chaos: seed=" << Seed << " faults=" << Schedule.size() << " "
            << describe(sum) << " recovered_s=" << formatSeconds(recovered)
            << std::endl;
  return held ? ExitCode::Success : ExitCode::OutcomeNotMet;
}

} // namespace wasabi::chaos
