#include "Wasabi/Dispatch/EnginePool.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

const ModelName Red("red");
const ModelName Blue("blue");

std::shared_ptr<DispatchEngine>
engine(const std::string &Id, WeightVersion OfRed, WeightVersion OfBlue) {
  std::shared_ptr<DispatchEngine> made = std::make_shared<DispatchEngine>();
  made->Server = std::make_shared<UpstreamServer>();
  made->Server->Entry.Id = ServerName(Id);
  made->Server->Entry.Slots = 4;
  made->Versions = {{Red, OfRed}, {Blue, OfBlue}};
  return made;
}

std::uint32_t count(const EngineList &Engines, const ModelName &Model) {
  std::uint32_t n = 0;
  for (const std::shared_ptr<DispatchEngine> &it : Engines)
    n += it->Model == Model ? 1 : 0;
  return n;
}

std::shared_ptr<DispatchEngine> choose(const EngineList &Engines,
                                       const EngineRequirements &Need) {
  return chooseEngine(Engines, Need,
                      computePaceBaseline(Engines, EnginePoolSettings()),
                      EnginePoolSettings(), TimePoint() + Millis(1000));
}

} // namespace

TEST_CASE("Pools follow the demand, and each model has an engine",
          "[dispatch]") {
  CHECK(poolSizes({{Red, 1}, {Blue, 1}}, 8) ==
        std::map<ModelName, std::uint32_t>{{Red, 4}, {Blue, 4}});
  CHECK(poolSizes({{Red, 1}, {Blue, 3}}, 8) ==
        std::map<ModelName, std::uint32_t>{{Red, 2}, {Blue, 6}});
  CHECK(poolSizes({{Red, 1}, {Blue, 1000}}, 9) ==
        std::map<ModelName, std::uint32_t>{{Red, 2}, {Blue, 7}});
  CHECK(poolSizes({{Red, 1}, {Blue, 1000}}, 3) ==
        std::map<ModelName, std::uint32_t>{{Red, 1}, {Blue, 2}});
  CHECK(poolSizes({}, 8).empty());
}

TEST_CASE("Engines without a past are dealt out", "[dispatch]") {
  EngineList engines{engine("a", 1, 1), engine("b", 1, 1), engine("c", 1, 1),
                     engine("d", 1, 1)};
  CHECK(assignModels(engines, {{Red, 2}, {Blue, 2}}, {}, true));
  CHECK(count(engines, Red) == 2);
  CHECK(count(engines, Blue) == 2);
}

TEST_CASE("A successor finds each engine with the model that it served",
          "[dispatch]") {
  EngineList engines{engine("a", 5, 1), engine("b", 1, 6), engine("c", 5, 2)};
  assignModels(engines, {{Red, 2}, {Blue, 1}}, {{Red, 5}, {Blue, 6}}, true);
  CHECK(engines[0]->Model == Red);
  CHECK(engines[1]->Model == Blue);
  CHECK(engines[2]->Model == Red);
}

TEST_CASE("A model that was never named does not lose all engines",
          "[dispatch]") {
  // Only one model has a named version, and no engine has taken it yet.
  EngineList engines{engine("a", 1, 1), engine("b", 1, 1), engine("c", 1, 1),
                     engine("d", 1, 1)};
  assignModels(engines, {{Red, 2}, {Blue, 2}}, {{Red, 2}}, true);
  CHECK(count(engines, Blue) >= 2);
}

TEST_CASE("A model whose new weights no engine has yet keeps its engines",
          "[dispatch]") {
  // A dispatcher ends just after the first of two trainers has named a version:
  // all engines are behind it, and none is behind the other model.
  EngineList engines;
  for (int i = 0; i < 9; ++i)
    engines.push_back(engine("e" + std::to_string(i), 1, 1));
  // The one engine that has taken it already serves it.
  engines[0]->Versions[Red] = 2;
  CHECK(assignModels(engines, {{Red, 4}, {Blue, 5}}, {{Red, 2}}, true));
  CHECK(count(engines, Red) == 4);
  CHECK(count(engines, Blue) == 5);
  CHECK(engines[0]->Model == Red);
}

TEST_CASE("At most one engine crosses over at a time, an idle one",
          "[dispatch]") {
  EngineList engines{engine("a", 1, 1), engine("b", 1, 1), engine("c", 1, 1)};
  for (const std::shared_ptr<DispatchEngine> &it : engines)
    it->Model = Red;
  engines[0]->Running = 3;
  engines[2]->Running = 1;
  CHECK_FALSE(assignModels(engines, {{Red, 1}, {Blue, 2}}, {}, false));
  CHECK(assignModels(engines, {{Red, 1}, {Blue, 2}}, {}, true));
  CHECK(engines[1]->Model == Blue);
  CHECK(count(engines, Red) == 2);
}

TEST_CASE("A sample goes to an engine with weights that are new enough",
          "[dispatch]") {
  EngineList engines{engine("old", 2, 1), engine("new", 3, 1)};
  engines[0]->Model = Red;
  engines[1]->Model = Red;
  engines[1]->Running = 3;
  EngineRequirements need;
  need.Model = Red;
  need.MinVersion = 3;
  CHECK(choose(engines, need) == engines[1]);
  engines[1]->Running = 4;
  CHECK(choose(engines, need) == nullptr);
  engines[1]->Running = 0;
  engines[1]->Loading = true;
  CHECK(choose(engines, need) == nullptr);
  engines[1]->Loading = false;
  engines[1]->FullUntil = TimePoint() + Millis(2000);
  CHECK(choose(engines, need) == nullptr);
  engines[1]->FullUntil = TimePoint();
  engines[1]->Server->Replaced = true;
  CHECK(choose(engines, need) == nullptr);
  need.MinVersion = 0;
  need.ExactVersion = 3;
  CHECK(choose(engines, need) == nullptr);
}

TEST_CASE("A long text goes to a faster engine, a short one to its prompt",
          "[dispatch]") {
  EngineList engines{engine("near", 1, 1), engine("fast", 1, 1)};
  double ms = 98;
  for (const std::shared_ptr<DispatchEngine> &it : engines) {
    it->Model = Red;
    for (int i = 0; i < 60; ++i)
      recordEventInterval(it->Pace, ms, TimePoint(), EnginePaceSettings());
    ms = 76;
  }
  engines[1]->Running = 3;
  EngineRequirements need;
  need.Model = Red;
  need.Preferred = {ServerName("near"), 0};
  CHECK(choose(engines, need) == engines[0]);
  need.IsLong = true;
  CHECK(choose(engines, need) == engines[1]);
  engines[1]->Running = 4;
  CHECK(choose(engines, need) == engines[0]);
}

TEST_CASE("Slow and suspect engines come last, the prompt's engine first",
          "[dispatch]") {
  EngineList engines{engine("slow", 1, 1), engine("ill", 1, 1),
                     engine("far", 1, 1), engine("near", 1, 1)};
  for (const std::shared_ptr<DispatchEngine> &it : engines) {
    it->Model = Red;
    it->Pace.RecentMs = 40;
  }
  engines[0]->Pace.RecentMs = 140;
  engines[1]->Server->SuspectUntil = TimePoint() + Millis(2000);
  engines[3]->Running = 2;
  EngineRequirements need;
  need.Model = Red;
  need.Preferred = {ServerName("near"), 0};
  CHECK(choose(engines, need) == engines[3]);
  need.Avoid = {ServerName("near"), 0};
  CHECK(choose(engines, need) == engines[2]);
  engines[2]->Running = 4;
  engines[3]->Running = 4;
  CHECK(choose(engines, need) == engines[0]);
  engines[0]->Running = 4;
  CHECK(choose(engines, need) == engines[1]);
}

} // namespace wasabi
