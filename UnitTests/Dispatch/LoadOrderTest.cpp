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

DueLoad makeLoad(const ModelName &Model, WeightVersion Version,
                 std::uint32_t Running = 0) {
  return {makeEngine(Model, Version, Running), Model};
}

} // namespace

TEST_CASE("An engine that can serve a step loads after its samples are placed",
          "[dispatch]") {
  // Version 5 has been named; the expected step allows version 4 and newer.
  ModelDemand before{5, 0, 4};
  CHECK_FALSE(shouldLoadWeights(*makeEngine(Red, 4), Red, before));
  CHECK(shouldLoadWeights(*makeEngine(Red, 3), Red, before));
  // The step has arrived, and some of its samples are waiting.
  ModelDemand arrived{5, 4, 0};
  CHECK_FALSE(shouldLoadWeights(*makeEngine(Red, 4), Red, arrived));
  CHECK(shouldLoadWeights(*makeEngine(Red, 3), Red, arrived));
  // All samples are placed.
  ModelDemand placed{5, 0, 0};
  CHECK(shouldLoadWeights(*makeEngine(Red, 4), Red, placed));
  CHECK_FALSE(shouldLoadWeights(*makeEngine(Red, 5), Red, placed));
}

TEST_CASE("Samples that an engine cannot serve do not keep it from loading",
          "[dispatch]") {
  // The waiting samples need a newer version than the engine has.
  ModelDemand next{6, 5, 0};
  CHECK(shouldLoadWeights(*makeEngine(Red, 4), Red, next));
}

TEST_CASE("Engines that cannot serve the waiting samples load first",
          "[dispatch]") {
  // Samples of red that need version 4 are waiting, and none of blue.
  std::map<ModelName, ModelDemand> models{{Red, {5, 4, 0}}, {Blue, {9, 0, 0}}};
  std::vector<DueLoad> due{makeLoad(Blue, 6), makeLoad(Red, 3, 2),
                           makeLoad(Blue, 8), makeLoad(Red, 3, 0),
                           makeLoad(Red, 2, 5)};
  std::vector<DueLoad> order = sortForLoading(due, models);
  CHECK(order == std::vector<DueLoad>{due[4], due[3], due[1], due[0], due[2]});
}

TEST_CASE("Engines that were asked before and have not loaded come last",
          "[dispatch]") {
  std::map<ModelName, ModelDemand> models{{Red, {5, 4, 0}}};
  std::vector<DueLoad> due{makeLoad(Red, 1), makeLoad(Red, 1),
                           makeLoad(Red, 4)};
  for (int i : {0, 1}) {
    due[i].Engine->Wanted = 5;
    due[i].Engine->WantedModel = Red;
  }
  due[0].Engine->WantedAt = TimePoint() + Millis(20);
  due[1].Engine->WantedAt = TimePoint() + Millis(10);
  CHECK(sortForLoading(due, models) ==
        std::vector<DueLoad>{due[2], due[1], due[0]});
}

} // namespace wasabi
