/// \file
/// What an owner's decisions start from: the configuration, the lengths seen,
/// and the request that an attempt becomes.
#include "Wasabi/Rollout/LengthEstimates.h"
#include "Wasabi/Rollout/RolloutPolicyOf.h"
#include "Wasabi/Rollout/SampleRequest.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

Configuration twoTrainers() {
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

TEST_CASE("the policy is what preset, trainer and attachments say",
          "[rollout-policy]") {
  Configuration config = twoTrainers();
  std::optional<RolloutPolicy> policy = policyOf(config, TrainerName("a"));
  REQUIRE(policy);
  CHECK(policy->StalenessBound == 3);
  CHECK_FALSE(policy->AdmitRollouts);
  CHECK(policy->OnVersionChange == VersionChange::Finish);
  CHECK(policy->Part == EngineShare{3, 4, 50});
  CHECK(findAttachedServices(config, TrainerName("a")) ==
        std::vector<ServiceName>{ServiceName("llm")});
  CHECK_FALSE(policyOf(config, TrainerName("c")));
}

TEST_CASE("an outgrown estimate expects more to come", "[rollout-policy]") {
  LengthEstimates lengths;
  CHECK(expectedTokens(lengths, "p", 100) == 50);
  observe(lengths, "q", 20);
  CHECK(expectedTokens(lengths, "p", 100) == 20);
  observe(lengths, "p", 40);
  CHECK(expectedTokens(lengths, "p", 100) == 40);
  CHECK(expectedRemaining(40, 10, 100) == 30);
  CHECK(expectedRemaining(40, 60, 100) == 30);
  CHECK(expectedRemaining(40, 95, 100) == 5);
  CHECK(expectedRemaining(40, 100, 100) == 0);
}

TEST_CASE("an attempt's request names it once and resumes where it was",
          "[rollout-policy]") {
  DispatchAttempt attempt;
  attempt.Attempt = 7;
  attempt.Place = Slot{2, 1, 3};
  attempt.Prompt = "say \"x\"";
  attempt.MaxTokens = 9;
  attempt.Seed = 11;
  SampleOrigin from{TrainerName("t"), 42, ModelName("m"), -5};
  RequestAttempt fresh = makeSampleRequest(attempt, from);
  CHECK(fresh.Request == "t:42:7");
  CHECK(fresh.Slot == "2/1/3");
  CHECK(fresh.Http.header("X-Request-Id") == fresh.Request);
  CHECK(fresh.Http.Body.find("resume") == std::string::npos);
  CHECK(fresh.Http.Body.find(R"("prompt":"say \"x\"")") != std::string::npos);
  CHECK(fresh.Http.Body.find(R"("priority":-5)") != std::string::npos);
  attempt.From = Draft{" a b", 2, {{0, 2, 5}}};
  CHECK(makeSampleRequest(attempt, from)
            .Http.Body.find(R"("resume":{"position":2,"text":" a b"})") !=
        std::string::npos);
}

} // namespace wasabi
