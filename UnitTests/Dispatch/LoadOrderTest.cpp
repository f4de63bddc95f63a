#include "Wasabi/Dispatch/LoadOrder.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

const ModelName Red("red");
const ModelName Blue("blue");

std::shared_ptr<DispatchEngine> engineOf(const ModelName &Model,
                                         WeightVersion Version,
                                         std::uint32_t Running = 0) {
  std::shared_ptr<DispatchEngine> made = std::make_shared<DispatchEngine>();
  made->Server = std::make_shared<UpstreamServer>();
  made->Model = Model;
  made->Versions = {{Model, Version}};
  made->Running = Running;
  return made;
}

} // namespace

TEST_CASE("An engine that serves a step as it arrives loads after it",
          "[dispatch]") {
  // Version 5 was just named; its step will allow 4 and newer.
  ModelDemand before{5, 0, 4};
  CHECK_FALSE(shouldLoadWeights(*engineOf(Red, 4), before));
  CHECK(shouldLoadWeights(*engineOf(Red, 3), before));
  // The step is here, and some of its samples wait.
  ModelDemand arrived{5, 4, 0};
  CHECK_FALSE(shouldLoadWeights(*engineOf(Red, 4), arrived));
  CHECK(shouldLoadWeights(*engineOf(Red, 3), arrived));
  // All of them have places.
  ModelDemand placed{5, 0, 0};
  CHECK(shouldLoadWeights(*engineOf(Red, 4), placed));
  CHECK_FALSE(shouldLoadWeights(*engineOf(Red, 5), placed));
}

TEST_CASE("Samples that wait for ever keep no engine from new weights",
          "[dispatch]") {
  // The next step allows only what the engines do not hold.
  ModelDemand next{6, 5, 0};
  CHECK(shouldLoadWeights(*engineOf(Red, 4), next));
}

TEST_CASE("Engines that cannot serve what waits load first", "[dispatch]") {
  // Of red samples wait that need version 4; of blue none.
  std::map<ModelName, ModelDemand> models{{Red, {5, 4, 0}}, {Blue, {9, 0, 0}}};
  EngineList due{engineOf(Blue, 6), engineOf(Red, 3, 2), engineOf(Blue, 8),
                 engineOf(Red, 3, 0), engineOf(Red, 2, 5)};
  EngineList order = sortForLoading(due, models);
  CHECK(order == EngineList{due[4], due[3], due[1], due[0], due[2]});
}

TEST_CASE("An engine that was asked in vain does not hold up the others",
          "[dispatch]") {
  std::map<ModelName, ModelDemand> models{{Red, {5, 4, 0}}};
  EngineList due{engineOf(Red, 1), engineOf(Red, 1), engineOf(Red, 4)};
  due[0]->Wanted = 5;
  due[0]->WantedAt = TimePoint() + Millis(20);
  due[1]->Wanted = 5;
  due[1]->WantedAt = TimePoint() + Millis(10);
  CHECK(sortForLoading(due, models) == EngineList{due[2], due[1], due[0]});
}

} // namespace wasabi
