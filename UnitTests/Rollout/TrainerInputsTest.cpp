/// \file
/// Tests the inputs and outputs of the dispatch decisions: policy, length
/// estimates and engine requests.
#include "Wasabi/Rollout/LengthEstimates.h"
#include "Wasabi/Rollout/RolloutPolicyOf.h"
#include "Wasabi/Rollout/SampleRequest.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

Configuration makeTwoTrainers() {
  Configuration config;
  for (const char *name : {"a", "b"}) {
    TrainerDeclaration trainer;
    trainer.Name = TrainerName(name);
    trainer.StalenessBound = 3;
    config.Trainers[trainer.Name] = trainer;
    Attachment attached;
    attached.Name = name;
    attached.Trainer = trainer.Name;
    attached.Service = ServiceName("llm");
    attached.Share = attached.Name == "a" ? 3 : 1;
    config.Attachments[name] = attached;
  }
  PresetDeclaration preset;
  preset.Name = PresetName("peak");
  preset.AdmitRollouts = false;
  preset.RolloutPercent = 50;
  preset.OnVersionChange = VersionChange::Finish;
  config.Presets[preset.Name] = preset;
  config.ActivePreset = preset.Name;
  return config;
}

} // namespace

TEST_CASE("the policy combines preset, trainer and attachments",
          "[rollout-policy]") {
  Configuration config = makeTwoTrainers();
  std::optional<RolloutPolicy> policy =
      findRolloutPolicy(config, TrainerName("a"));
  REQUIRE(policy);
  CHECK(policy->StalenessBound == 3);
  CHECK_FALSE(policy->AdmitRollouts);
  CHECK(policy->OnVersionChange == VersionChange::Finish);
  CHECK(policy->Part == EngineShare{3, 4, 50});
  CHECK(findAttachedServices(config, TrainerName("a")) ==
        std::vector<ServiceName>{ServiceName("llm")});
  CHECK_FALSE(findRolloutPolicy(config, TrainerName("c")));
}

TEST_CASE("a sample beyond its estimate is expected to go on",
          "[rollout-policy]") {
  LengthEstimates lengths;
  CHECK(expectedTokens(lengths, "p", 100) == 50);
  recordLength(lengths, "q", 20);
  CHECK(expectedTokens(lengths, "p", 100) == 20);
  recordLength(lengths, "p", 40);
  CHECK(expectedTokens(lengths, "p", 100) == 40);
  CHECK(expectedRemaining(40, 10, 100) == 30);
  CHECK(expectedRemaining(40, 60, 100) == 30);
  CHECK(expectedRemaining(40, 95, 100) == 5);
  CHECK(expectedRemaining(40, 100, 100) == 0);
}

TEST_CASE("the request has a unique id and resumes from the draft",
          "[rollout-policy]") {
  DispatchAttempt attempt;
  attempt.Attempt = 7;
  attempt.Place = Slot{2, 1, 3};
  attempt.Prompt = "say \"x\"";
  attempt.MaxTokens = 9;
  attempt.Seed = 11;
  SampleOrigin origin{TrainerName("t"), 42, ModelName("m"), -5};
  RequestAttempt fresh = makeSampleRequest(attempt, origin);
  CHECK(fresh.Request == "t:42:7");
  CHECK(fresh.Slot == "2/1/3");
  CHECK(fresh.Http.header("X-Request-Id") == fresh.Request);
  CHECK(fresh.Http.Body.find("resume") == std::string::npos);
  CHECK(fresh.Http.Body.find(R"("prompt":"say \"x\"")") != std::string::npos);
  CHECK(fresh.Http.Body.find(R"("priority":-5)") != std::string::npos);
  attempt.From = Draft{" a b", 2, {{0, 2, 5}}};
  CHECK(makeSampleRequest(attempt, origin)
            .Http.Body.find(R"("resume":{"position":2,"text":" a b"})") !=
        std::string::npos);
}

} // namespace wasabi
