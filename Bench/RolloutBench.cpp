#include "Bench/RolloutBench.h"

#include "Bench/Benches.h"
#include "Bench/Report.h"
#include "IntegrationTests/Harness/Waiting.h"

#include <algorithm>
#include <numeric>

namespace wasabi::bench {

namespace {

// One model with 8 servers in 3 failure domains and two trainers.
constexpr std::uint32_t EngineCount = 8;
constexpr std::uint32_t EngineSlots = 4;
constexpr double TokensPerSecond = 100;
constexpr std::uint32_t GroupCount = 8;
constexpr std::uint32_t GroupSize = 8;
constexpr std::uint32_t MaxTokens = 200;
constexpr std::uint32_t TrainMs = 500;
constexpr std::uint32_t StepCount = 8;
constexpr std::uint64_t BytesPerSecond = 100000000;
constexpr std::uint64_t BlobBytes = 10000000;
constexpr Millis RunLimit{180000};
constexpr Millis OutageTime{20000};

harness::RolloutCluster::Settings settingsOf(RolloutVariant Plan, bool Checks) {
  harness::RolloutCluster::Settings setup;
  setup.Engines = EngineCount;
  setup.EngineSlots = EngineSlots;
  setup.TokensPerSecond = TokensPerSecond;
  setup.BytesPerSecond = BytesPerSecond;
  setup.BlobBytes = BlobBytes;
  setup.Trainers.clear();
  for (const char *name : {"placements", "permits"}) {
    harness::ClusterTrainer trainer;
    trainer.Name = name;
    trainer.Groups = GroupCount;
    trainer.GroupSize = GroupSize;
    trainer.MaxTokens = MaxTokens;
    trainer.TrainMs = TrainMs;
    trainer.Steps = StepCount;
    // Both trainers publish versions of the model that they share.
    trainer.StalenessBound = 2;
    trainer.ChecksFences = Checks;
    trainer.Seed = setup.Trainers.size() + 1;
    setup.Trainers.push_back(trainer);
  }
  if (Plan == RolloutVariant::Baseline) {
    setup.PresetMembers = R"(,"hedge_tail":false,"swap_percent":100,)"
                          R"("on_version_change":"restart")";
    setup.DaemonFlags = {"--rollout_round_robin"};
  }
  return setup;
}

/// Injects the fault of the case once the first step is complete.
void bringAbout(harness::RolloutCluster &Of, RolloutCase Which) {
  if (Which == RolloutCase::Clean)
    return;
  if (!Of.waitForSteps(0, 1, RunLimit))
    return;
  if (Which == RolloutCase::Slow) {
    Of.engine(0).setFaults(R"({"slow_factor":10})");
  } else if (Which == RolloutCase::Crash) {
    Of.engine(0).setFaults(R"({"crash_after_tokens":100})");
    harness::waitUntil([&] { return !Of.engine(0).process().running(); },
                       RunLimit);
    Of.replaceEngine(0);
  } else if (Which == RolloutCase::LogOutage) {
    Of.log().setFaults(R"({"outage":true})");
    TimePoint until = monotonicNow() + OutageTime;
    harness::waitUntil([&] { return monotonicNow() >= until; }, RunLimit);
    Of.log().setFaults(R"({"outage":false})");
  }
}

double meanOf(const std::vector<double> &Of) {
  if (Of.empty())
    return 0;
  return std::accumulate(Of.begin(), Of.end(), 0.0) /
         static_cast<double>(Of.size());
}

/// Skips the first step, which includes the start of the processes.
double meanStepUs(const harness::TrainerTruth &Of) {
  std::vector<double> times;
  for (std::size_t at = 1; at < Of.StepUs.size(); ++at)
    times.push_back(static_cast<double>(Of.StepUs[at]));
  return meanOf(times);
}

/// Returns the time until a step is complete divided by its lower bound: the
/// greater of its work at half of the engines' rate (two trainers share them)
/// and its longest sample.
double stepOverBound(const harness::TrainerTruth &Of) {
  constexpr double microsPerSecond = 1e6;
  double rate = EngineCount * EngineSlots * TokensPerSecond / 2;
  double perStep = Of.StepUs.empty()
                       ? 0
                       : static_cast<double>(Of.Tokens) /
                             static_cast<double>(Of.StepUs.size());
  double longest = MaxTokens / TokensPerSecond;
  double bound = std::max(perStep / rate, longest) * microsPerSecond;
  return meanStepUs(Of) / bound;
}

void addStaleness(RolloutMeasurements &To, std::vector<std::uint64_t> All) {
  if (All.empty())
    return;
  std::sort(All.begin(), All.end());
  To.StalenessMean = static_cast<double>(std::accumulate(All.begin(), All.end(),
                                                         std::uint64_t(0))) /
                     static_cast<double>(All.size());
  To.StalenessP99 = static_cast<double>(All[All.size() * 99 / 100]);
  To.StalenessMax = static_cast<double>(All.back());
}

RolloutMeasurements readFigures(const harness::RolloutCluster &Of,
                                std::size_t Trainers) {
  RolloutMeasurements figures;
  std::vector<std::uint64_t> staleness;
  double idle = 0;
  double training = 0;
  double tokens = 0;
  std::vector<double> bounds;
  std::vector<double> perStep;
  for (std::size_t at = 0; at < Trainers; ++at) {
    Outcome<harness::TrainerTruth> truth = Of.truth(at);
    if (!truth)
      continue;
    idle += static_cast<double>(truth->IdleUs);
    training += static_cast<double>(truth->TrainingUs);
    tokens += static_cast<double>(truth->Tokens);
    bounds.push_back(stepOverBound(*truth));
    perStep.push_back(meanStepUs(*truth) / 1e6);
    staleness.insert(staleness.end(), truth->Staleness.begin(),
                     truth->Staleness.end());
    figures.Stale += truth->Stale;
    figures.Mislabelled += truth->Mislabelled;
    figures.Duplicates += truth->Duplicates;
    std::uint64_t wanted = std::uint64_t(StepCount) * GroupCount * GroupSize;
    figures.Missing += wanted - std::min(wanted, truth->Taken);
  }
  figures.IdleShare = idle / std::max(1.0, idle + training);
  figures.StepTimeToBoundRatio = meanOf(bounds);
  figures.IdleSecondsPerStep = meanOf(perStep);
  addStaleness(figures, std::move(staleness));
  double generated = static_cast<double>(Of.generatedTokens());
  figures.WastedTokenShare =
      generated > tokens ? (generated - tokens) / generated : 0;
  double bound = 1e6 * BlobBytes * EngineCount / BytesPerSecond;
  std::vector<double> swaps;
  for (std::uint64_t it : Of.weightSwapTimes())
    swaps.push_back(static_cast<double>(it) / bound);
  figures.WeightsTimeToBoundRatio = meanOf(swaps);
  return figures;
}

RolloutMeasurements runCluster(harness::RolloutCluster::Settings Setup,
                               RolloutCase Which) {
  std::size_t trainers = Setup.Trainers.size();
  Outcome<std::unique_ptr<harness::RolloutCluster>> cluster =
      toOutcome<std::unique_ptr<harness::RolloutCluster>>(
          [&] { return harness::RolloutCluster::start(std::move(Setup)); });
  if (!cluster) {
    logProgress("rollout: " + describe(cluster.failure()));
    return {};
  }
  bringAbout(**cluster, Which);
  bool finished = true;
  for (std::size_t at = 0; at < trainers; ++at)
    finished = (*cluster)->waitForSteps(at, StepCount, RunLimit) && finished;
  RolloutMeasurements figures = readFigures(**cluster, trainers);
  figures.Finished = finished;
  return figures;
}

void print(const std::string &Metric, const std::string &Unit, double Value,
           double Baseline) {
  report({"rollout", Metric, Value, Unit, Baseline});
}

void printBoth(const std::string &Case, const RolloutMeasurements &Ours,
               const RolloutMeasurements &Base) {
  print("idle_share_" + Case, "share", Ours.IdleShare, Base.IdleShare);
  print("idle_s_per_step_" + Case, "s", Ours.IdleSecondsPerStep,
        Base.IdleSecondsPerStep);
  print("staleness_mean_" + Case, "versions", Ours.StalenessMean,
        Base.StalenessMean);
  print("staleness_p99_" + Case, "versions", Ours.StalenessP99,
        Base.StalenessP99);
  print("staleness_max_" + Case, "versions", Ours.StalenessMax,
        Base.StalenessMax);
  print("step_over_bound_" + Case, "ratio", Ours.StepTimeToBoundRatio,
        Base.StepTimeToBoundRatio);
  print("wasted_token_share_" + Case, "share", Ours.WastedTokenShare,
        Base.WastedTokenShare);
  print("weights_over_bound_" + Case, "ratio", Ours.WeightsTimeToBoundRatio,
        Base.WeightsTimeToBoundRatio);
  auto count = [&Case](const char *Name, std::uint64_t N) {
    report({"rollout", std::string(Name) + "_" + Case, static_cast<double>(N),
            "samples", std::nullopt});
  };
  count("stale_samples", Ours.Stale);
  count("mislabelled", Ours.Mislabelled);
  count("duplicates", Ours.Duplicates);
  count("missing", Ours.Missing);
  if (!Ours.Finished || !Base.Finished)
    logProgress("rollout: " + Case + ": not all steps were done in time");
}

void runCase(const std::string &Name, RolloutCase Which) {
  logProgress("rollout: " + Name);
  RolloutMeasurements ours = measureRun(RolloutVariant::Product, Which, true);
  RolloutMeasurements base = measureRun(RolloutVariant::Baseline, Which, true);
  printBoth(Name, ours, base);
}

} // namespace

RolloutMeasurements measureRun(RolloutVariant Plan, RolloutCase Which,
                               bool Checks) {
  return runCluster(settingsOf(Plan, Checks), Which);
}

RolloutMeasurements measurePolicy(const std::string &OnVersionChange) {
  harness::RolloutCluster::Settings setup =
      settingsOf(RolloutVariant::Product, true);
  setup.PresetMembers = R"(,"on_version_change":")" + OnVersionChange + R"(")";
  return runCluster(std::move(setup), RolloutCase::Clean);
}

void runRolloutBench() {
  measureDecisions();
  runCase("clean", RolloutCase::Clean);
  runCase("crash", RolloutCase::Crash);
  runCase("slow", RolloutCase::Slow);
  for (const char *name : {"resume", "finish", "restart"}) {
    const std::string policy = name;
    logProgress("rollout: policy " + policy);
    RolloutMeasurements figures = measurePolicy(policy);
    report({"rollout", "idle_s_per_step_policy_" + policy,
            figures.IdleSecondsPerStep, "s", std::nullopt});
    report({"rollout", "staleness_mean_policy_" + policy, figures.StalenessMean,
            "versions", std::nullopt});
    report({"rollout", "wasted_token_share_policy_" + policy,
            figures.WastedTokenShare, "share", std::nullopt});
  }
  // Source of truth: the trainer in the run with fencing tokens, the log in the
  // run without them.
  logProgress("rollout: log outage");
  RolloutMeasurements tokens =
      measureRun(RolloutVariant::Product, RolloutCase::LogOutage, true);
  RolloutMeasurements log =
      measureRun(RolloutVariant::Product, RolloutCase::LogOutage, false);
  print("idle_share_outage_tokens", "share", tokens.IdleShare, log.IdleShare);
  report({"rollout", "duplicates_outage_log_first",
          static_cast<double>(log.Duplicates), "samples", std::nullopt});
  report({"rollout", "missing_outage_log_first",
          static_cast<double>(log.Missing), "samples", std::nullopt});
  report({"rollout", "duplicates_outage_tokens",
          static_cast<double>(tokens.Duplicates), "samples", std::nullopt});
  report({"rollout", "missing_outage_tokens",
          static_cast<double>(tokens.Missing), "samples", std::nullopt});
}

} // namespace wasabi::bench
