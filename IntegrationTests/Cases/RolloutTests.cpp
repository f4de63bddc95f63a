/// \file
/// Checks by the trainers' own records that rollouts with real daemons and
/// stand-ins deliver each sample once, fresh and correctly labelled under
/// faults.
#include "IntegrationTests/Harness/RolloutCluster.h"
#include "IntegrationTests/Harness/TestFolder.h"
#include "IntegrationTests/Harness/Waiting.h"

#include <catch2/catch.hpp>

#include <csignal>

namespace wasabi::harness {

namespace {

constexpr Millis WaitTimeout{60000};
constexpr std::uint64_t SamplesPerStep = 12;

std::unique_ptr<RolloutCluster> startCluster(RolloutCluster::Settings Setup) {
  Outcome<std::unique_ptr<RolloutCluster>> started =
      toOutcome<std::unique_ptr<RolloutCluster>>(
          [&] { return RolloutCluster::start(std::move(Setup)); });
  if (!started)
    FAIL(describe(started.failure()));
  return std::move(*started);
}

RolloutCluster::Settings makeSettings(const ClusterTrainer &Cluster) {
  RolloutCluster::Settings setup;
  setup.Trainers = {Cluster};
  return setup;
}

/// Checks the invariants of every run.
void checkTruth(const RolloutCluster &Cluster, std::size_t Trainer) {
  Outcome<TrainerTruth> truth = Cluster.truth(Trainer);
  REQUIRE(truth);
  CHECK(truth->Duplicates == 0);
  CHECK(truth->Stale == 0);
  CHECK(truth->Mislabelled == 0);
  CHECK(truth->Unknown == 0);
  CHECK(truth->Taken >= truth->StepsTrained * SamplesPerStep);
}

bool waitForSamples(const RolloutCluster &Cluster, std::uint64_t Count) {
  return waitUntil(
      [&] {
        Outcome<TrainerTruth> now = Cluster.truth(0);
        return now && now->Taken >= Count;
      },
      WaitTimeout);
}

} // namespace

TEST_CASE("Steps complete and new weights are published", "[rollout]") {
  for (bool checks : {true, false}) {
    DYNAMIC_SECTION((checks ? "tokens checked" : "nothing checked")) {
      ClusterTrainer trainer;
      trainer.ChecksFences = checks;
      std::unique_ptr<RolloutCluster> cluster =
          startCluster(makeSettings(trainer));
      CHECK(cluster->waitForSteps(0, 3, WaitTimeout));
      checkTruth(*cluster, 0);
    }
  }
}

TEST_CASE("A killed owner is replaced during a step", "[rollout]") {
  for (bool checks : {true, false}) {
    DYNAMIC_SECTION((checks ? "tokens checked" : "nothing checked")) {
      ClusterTrainer trainer;
      trainer.ChecksFences = checks;
      std::unique_ptr<RolloutCluster> cluster =
          startCluster(makeSettings(trainer));
      REQUIRE(waitForSamples(*cluster, SamplesPerStep + 2));
      std::optional<std::size_t> owner = cluster->findOwner("t");
      REQUIRE(owner);
      std::uint64_t before = cluster->truth(0)->StepsTrained;
      cluster->killDaemon(*owner);
      CHECK(cluster->waitForSteps(0, before + 2, WaitTimeout));
      checkTruth(*cluster, 0);
    }
  }
}

TEST_CASE("A paused owner that wakes after its term changes nothing",
          "[rollout]") {
  std::unique_ptr<RolloutCluster> cluster =
      startCluster(makeSettings(ClusterTrainer()));
  REQUIRE(waitForSamples(*cluster, SamplesPerStep + 2));
  std::optional<std::size_t> owner = cluster->findOwner("t");
  REQUIRE(owner);
  std::uint64_t before = cluster->truth(0)->StepsTrained;
  cluster->daemon(*owner).signal(SIGSTOP);
  CHECK(cluster->waitForSteps(0, before + 2, WaitTimeout));
  cluster->daemon(*owner).signal(SIGCONT);
  CHECK(cluster->waitForSteps(0, before + 4, WaitTimeout));
  checkTruth(*cluster, 0);
}

TEST_CASE("A crashed engine's samples continue on other engines", "[rollout]") {
  std::unique_ptr<RolloutCluster> cluster =
      startCluster(makeSettings(ClusterTrainer()));
  REQUIRE(waitForSamples(*cluster, 2));
  REQUIRE(cluster->engine(0).setFaults(R"({"crash_after_tokens":20})"));
  CHECK(cluster->waitForSteps(0, 3, WaitTimeout));
  cluster->replaceEngine(0);
  std::uint64_t before = cluster->truth(0)->StepsTrained;
  CHECK(cluster->waitForSteps(0, before + 2, WaitTimeout));
  checkTruth(*cluster, 0);
}

TEST_CASE("Lost delivery answers cause no duplicates", "[rollout]") {
  for (bool checks : {true, false}) {
    DYNAMIC_SECTION((checks ? "tokens checked" : "nothing checked")) {
      ClusterTrainer trainer;
      trainer.ChecksFences = checks;
      std::unique_ptr<RolloutCluster> cluster =
          startCluster(makeSettings(trainer));
      REQUIRE(cluster->trainer(0).setFaults(R"({"lose_answers":6})"));
      CHECK(cluster->waitForSteps(0, 3, WaitTimeout));
      checkTruth(*cluster, 0);
    }
  }
}

TEST_CASE("An engine on a wrong version yields true labels or nothing",
          "[rollout]") {
  std::unique_ptr<RolloutCluster> cluster =
      startCluster(makeSettings(ClusterTrainer()));
  REQUIRE(cluster->engine(0).setFaults(R"({"wrong_version_next_load":2})"));
  REQUIRE(cluster->engine(1).setFaults(R"({"fail_next_load":1})"));
  REQUIRE(cluster->engine(2).setFaults(R"({"lose_order_answers":1})"));
  CHECK(cluster->waitForSteps(0, 4, WaitTimeout));
  checkTruth(*cluster, 0);
}

TEST_CASE("Unattested samples are generated on other engines", "[rollout]") {
  std::unique_ptr<RolloutCluster> cluster =
      startCluster(makeSettings(ClusterTrainer()));
  REQUIRE(cluster->engine(0).setFaults(R"({"no_version_report":true})"));
  CHECK(cluster->waitForSteps(0, 3, WaitTimeout));
  checkTruth(*cluster, 0);
}

TEST_CASE("A log outage does not stop a trainer that checks tokens",
          "[rollout]") {
  std::unique_ptr<RolloutCluster> cluster =
      startCluster(makeSettings(ClusterTrainer()));
  REQUIRE(cluster->waitForSteps(0, 1, WaitTimeout));
  REQUIRE(cluster->log().setFaults(R"({"outage":true})"));
  std::uint64_t before = cluster->truth(0)->StepsTrained;
  // A further version would exceed the staleness bound and need new weights,
  // whose orders wait for the claim. Within the bound, steps continue without
  // the log.
  CHECK(cluster->waitForSteps(0, before + 2, WaitTimeout));
  REQUIRE(cluster->log().setFaults(R"({"outage":false})"));
  CHECK(cluster->waitForSteps(0, before + 4, WaitTimeout));
  checkTruth(*cluster, 0);
}

TEST_CASE("Several trainers share the engines", "[rollout]") {
  RolloutCluster::Settings setup;
  ClusterTrainer other;
  other.Name = "u";
  other.Seed = 2;
  other.ChecksFences = false;
  setup.Trainers = {ClusterTrainer(), other};
  std::unique_ptr<RolloutCluster> cluster = startCluster(std::move(setup));
  CHECK(cluster->waitForSteps(0, 2, WaitTimeout));
  CHECK(cluster->waitForSteps(1, 2, WaitTimeout));
  checkTruth(*cluster, 0);
  checkTruth(*cluster, 1);
}

TEST_CASE("A preset without rollouts drains, and switching back resumes",
          "[rollout]") {
  std::unique_ptr<RolloutCluster> cluster =
      startCluster(makeSettings(ClusterTrainer()));
  REQUIRE(cluster->waitForSteps(0, 1, WaitTimeout));
  REQUIRE(cluster->declarePreset(R"(,"admit_rollouts":false)"));
  REQUIRE(waitUntil([&] { return cluster->runningSamples("t") == 0; },
                    WaitTimeout));
  std::uint64_t drained = cluster->truth(0)->StepsTrained;
  REQUIRE(cluster->declarePreset(""));
  CHECK(cluster->waitForSteps(0, drained + 2, WaitTimeout));
  checkTruth(*cluster, 0);
}

TEST_CASE("A planned stop of an owner hands the trainer over", "[rollout]") {
  std::unique_ptr<RolloutCluster> cluster =
      startCluster(makeSettings(ClusterTrainer()));
  REQUIRE(waitForSamples(*cluster, SamplesPerStep + 2));
  std::optional<std::size_t> owner = cluster->findOwner("t");
  REQUIRE(owner);
  cluster->daemon(*owner).signal(SIGTERM);
  std::optional<ProcessExit> end = cluster->daemon(*owner).wait(WaitTimeout);
  REQUIRE(end);
  CHECK(end->Code == 0);
  std::uint64_t before = cluster->truth(0)->StepsTrained;
  CHECK(cluster->waitForSteps(0, before + 2, WaitTimeout));
  checkTruth(*cluster, 0);
}

TEST_CASE("Without checked tokens deliveries wait for the log and follow",
          "[rollout]") {
  ClusterTrainer trainer;
  trainer.ChecksFences = false;
  std::unique_ptr<RolloutCluster> cluster = startCluster(makeSettings(trainer));
  REQUIRE(cluster->waitForSteps(0, 1, WaitTimeout));
  REQUIRE(cluster->log().setFaults(R"({"outage":true})"));
  // All work that is possible without the log is done.
  REQUIRE(waitUntil([&] { return cluster->runningSamples("t") == 0; },
                    WaitTimeout));
  std::uint64_t before = cluster->truth(0)->StepsTrained;
  REQUIRE(cluster->log().setFaults(R"({"outage":false})"));
  CHECK(cluster->waitForSteps(0, before + 2, WaitTimeout));
  checkTruth(*cluster, 0);
}

TEST_CASE("Lost log answers and a stale tail cause no duplicates",
          "[rollout]") {
  ClusterTrainer trainer;
  trainer.ChecksFences = false;
  std::unique_ptr<RolloutCluster> cluster = startCluster(makeSettings(trainer));
  REQUIRE(cluster->waitForSteps(0, 1, WaitTimeout));
  REQUIRE(cluster->log().setFaults(R"({"lose_answers":10,"slow_ms":20})"));
  std::uint64_t before = cluster->truth(0)->StepsTrained;
  CHECK(cluster->waitForSteps(0, before + 2, WaitTimeout));
  checkTruth(*cluster, 0);
}

TEST_CASE("Failed scorer calls are retried", "[rollout]") {
  std::unique_ptr<RolloutCluster> cluster =
      startCluster(makeSettings(ClusterTrainer()));
  REQUIRE(cluster->scorer().setFaults(
      R"({"fail_next":5,"lose_answers":5,"slow_ms":20})"));
  CHECK(cluster->waitForSteps(0, 3, WaitTimeout));
  checkTruth(*cluster, 0);
}

TEST_CASE("Fetches are retried after a weight store outage", "[rollout]") {
  std::unique_ptr<RolloutCluster> cluster =
      startCluster(makeSettings(ClusterTrainer()));
  REQUIRE(cluster->waitForSteps(0, 1, WaitTimeout));
  REQUIRE(cluster->weights().setFaults(R"({"outage":true})"));
  REQUIRE(waitForSamples(*cluster, 2 * SamplesPerStep));
  REQUIRE(cluster->weights().setFaults(R"({"outage":false})"));
  std::uint64_t before = cluster->truth(0)->StepsTrained;
  CHECK(cluster->waitForSteps(0, before + 3, WaitTimeout));
  checkTruth(*cluster, 0);
}

TEST_CASE("A hung engine's samples are copied elsewhere", "[rollout]") {
  std::unique_ptr<RolloutCluster> cluster =
      startCluster(makeSettings(ClusterTrainer()));
  REQUIRE(waitForSamples(*cluster, 2));
  REQUIRE(cluster->engine(0).setFaults(R"({"hang":true})"));
  std::uint64_t before = cluster->truth(0)->StepsTrained;
  CHECK(cluster->waitForSteps(0, before + 3, WaitTimeout));
  checkTruth(*cluster, 0);
}

} // namespace wasabi::harness
