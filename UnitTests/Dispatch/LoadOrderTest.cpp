#include "Wasabi/Dispatch/LoadOrder.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

const ModelName Red("red");
const ModelName Blue("blue");

std::shared_ptr<DispatchEngine> makeEngine(const ModelName &Model,
                                           WeightVersion Version,
                                           std::uint32_t Running = 0) {
  std::shared_ptr<DispatchEngine> engine = std::make_shared<DispatchEngine>();
  engine->Server = std::make_shared<UpstreamServer>();
  engine->Model = Model;
  engine->Versions = {{Model, Version}};
  engine->Running = Running;
  return engine;
}

} // namespace

TEST_CASE("An engine that can serve a step loads after its samples are placed",
          "[dispatch]") {
  // Version 5 has been named; the expected step allows version 4 and newer.
  ModelDemand before{5, 0, 4};
  CHECK_FALSE(shouldLoadWeights(*makeEngine(Red, 4), before));
  CHECK(shouldLoadWeights(*makeEngine(Red, 3), before));
  // The step has arrived, and some of its samples are waiting.
  ModelDemand arrived{5, 4, 0};
  CHECK_FALSE(shouldLoadWeights(*makeEngine(Red, 4), arrived));
  CHECK(shouldLoadWeights(*makeEngine(Red, 3), arrived));
  // All samples are placed.
  ModelDemand placed{5, 0, 0};
  CHECK(shouldLoadWeights(*makeEngine(Red, 4), placed));
  CHECK_FALSE(shouldLoadWeights(*makeEngine(Red, 5), placed));
}

TEST_CASE("Samples that an engine cannot serve do not keep it from loading",
          "[dispatch]") {
  // The waiting samples need a newer version than the engine has.
  ModelDemand next{6, 5, 0};
  CHECK(shouldLoadWeights(*makeEngine(Red, 4), next));
}

TEST_CASE("Engines that cannot serve the waiting samples load first",
          "[dispatch]") {
  // Samples of red that need version 4 are waiting, and none of blue.
  std::map<ModelName, ModelDemand> models{{Red, {5, 4, 0}}, {Blue, {9, 0, 0}}};
  EngineList due{makeEngine(Blue, 6), makeEngine(Red, 3, 2),
                 makeEngine(Blue, 8), makeEngine(Red, 3, 0),
                 makeEngine(Red, 2, 5)};
  EngineList order = sortForLoading(due, models);
  CHECK(order == EngineList{due[4], due[3], due[1], due[0], due[2]});
}

TEST_CASE("Engines that were asked before and have not loaded come last",
          "[dispatch]") {
  std::map<ModelName, ModelDemand> models{{Red, {5, 4, 0}}};
  EngineList due{makeEngine(Red, 1), makeEngine(Red, 1), makeEngine(Red, 4)};
  due[0]->Wanted = 5;
  due[0]->WantedAt = TimePoint() + Millis(20);
  due[1]->Wanted = 5;
  due[1]->WantedAt = TimePoint() + Millis(10);
  CHECK(sortForLoading(due, models) == EngineList{due[2], due[1], due[0]});
}

} // namespace wasabi
