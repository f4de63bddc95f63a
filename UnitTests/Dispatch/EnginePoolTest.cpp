#include "Wasabi/Dispatch/EnginePool.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

const ModelName Red("red");
const ModelName Blue("blue");

std::shared_ptr<DispatchEngine> makeEngine(const std::string &Id,
                                           WeightVersion RedVersion,
                                           WeightVersion BlueVersion) {
  std::shared_ptr<DispatchEngine> engine = std::make_shared<DispatchEngine>();
  engine->Server = std::make_shared<UpstreamServer>();
  engine->Server->Entry.Id = ServerName(Id);
  engine->Server->Entry.Slots = 4;
  engine->Versions = {{Red, RedVersion}, {Blue, BlueVersion}};
  return engine;
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

TEST_CASE("Pool sizes follow the demand, and each model has an engine",
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

TEST_CASE("Engines without a previous model are distributed by pool size",
          "[dispatch]") {
  EngineList engines{makeEngine("a", 1, 1), makeEngine("b", 1, 1),
                     makeEngine("c", 1, 1), makeEngine("d", 1, 1)};
  CHECK(assignModels(engines, {{Red, 2}, {Blue, 2}}, {}, true));
  CHECK(count(engines, Red) == 2);
  CHECK(count(engines, Blue) == 2);
}

TEST_CASE("A new dispatcher assigns each engine the model that it served",
          "[dispatch]") {
  EngineList engines{makeEngine("a", 5, 1), makeEngine("b", 1, 6),
                     makeEngine("c", 5, 2)};
  assignModels(engines, {{Red, 2}, {Blue, 1}}, {{Red, 5}, {Blue, 6}}, true);
  CHECK(engines[0]->Model == Red);
  CHECK(engines[1]->Model == Blue);
  CHECK(engines[2]->Model == Red);
}

TEST_CASE("A model without a named version gets its share of the engines",
          "[dispatch]") {
  // Only red has a named version, and no engine has loaded it yet.
  EngineList engines{makeEngine("a", 1, 1), makeEngine("b", 1, 1),
                     makeEngine("c", 1, 1), makeEngine("d", 1, 1)};
  assignModels(engines, {{Red, 2}, {Blue, 2}}, {{Red, 2}}, true);
  CHECK(count(engines, Blue) >= 2);
}

TEST_CASE("Pool sizes hold when hardly any engine has the newest version",
          "[dispatch]") {
  // Version 2 of red has just been named: nearly all engines lag behind it, and
  // none lags behind blue.
  EngineList engines;
  for (int i = 0; i < 9; ++i)
    engines.push_back(makeEngine("e" + std::to_string(i), 1, 1));
  // The engine that has loaded it keeps serving red.
  engines[0]->Versions[Red] = 2;
  CHECK(assignModels(engines, {{Red, 4}, {Blue, 5}}, {{Red, 2}}, true));
  CHECK(count(engines, Red) == 4);
  CHECK(count(engines, Blue) == 5);
  CHECK(engines[0]->Model == Red);
}

TEST_CASE("At most one engine moves to another model at a time, the least busy",
          "[dispatch]") {
  EngineList engines{makeEngine("a", 1, 1), makeEngine("b", 1, 1),
                     makeEngine("c", 1, 1)};
  for (const std::shared_ptr<DispatchEngine> &it : engines)
    it->Model = Red;
  engines[0]->Running = 3;
  engines[2]->Running = 1;
  CHECK_FALSE(assignModels(engines, {{Red, 1}, {Blue, 2}}, {}, false));
  CHECK(assignModels(engines, {{Red, 1}, {Blue, 2}}, {}, true));
  CHECK(engines[1]->Model == Blue);
  CHECK(count(engines, Red) == 2);
}

TEST_CASE("A sample goes to an engine with suitable weights and room",
          "[dispatch]") {
  EngineList engines{makeEngine("old", 2, 1), makeEngine("new", 3, 1)};
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

TEST_CASE("A long text prefers a faster engine, a short one its cached prompt",
          "[dispatch]") {
  EngineList engines{makeEngine("near", 1, 1), makeEngine("fast", 1, 1)};
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

TEST_CASE(
    "The engine with the cached prompt comes first, slow and suspect ones last",
    "[dispatch]") {
  EngineList engines{makeEngine("slow", 1, 1), makeEngine("ill", 1, 1),
                     makeEngine("far", 1, 1), makeEngine("near", 1, 1)};
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

TEST_CASE("A cold engine gets its samples one after the other", "[dispatch]") {
  std::shared_ptr<DispatchEngine> engine = makeEngine("a", 1, 1);
  TimePoint now = TimePoint() + Millis(1000);
  engine->LastSent = now;
  // One placement of several samples judges all of them at its start.
  CHECK(hasRoom(*engine, now - Millis(1)));
  engine->SendInterval = Millis(77);
  CHECK_FALSE(hasRoom(*engine, now + Millis(76)));
  CHECK(hasRoom(*engine, now + Millis(77)));
}

// Guards against short texts that leave only slow engines to a long one.
TEST_CASE("The last slot of a fast engine is left to a long text",
          "[dispatch]") {
  EngineList engines{makeEngine("slow", 1, 1), makeEngine("fast", 1, 1)};
  double ms = 98;
  for (const std::shared_ptr<DispatchEngine> &it : engines) {
    it->Model = Red;
    for (int i = 0; i < 60; ++i)
      recordEventInterval(it->Pace, ms, TimePoint(), EnginePaceSettings());
    ms = 76;
  }
  EngineRequirements need;
  need.Model = Red;
  need.LeaveLastFastSlot = true;
  engines[0]->Running = 3;
  engines[1]->Running = 2;
  CHECK(choose(engines, need) == engines[1]);
  engines[1]->Running = 3;
  CHECK(choose(engines, need) == engines[0]);
  engines[0]->Running = 4;
  CHECK(choose(engines, need) == nullptr);
  need.LeaveLastFastSlot = false;
  CHECK(choose(engines, need) == engines[1]);
}

// Guards against long texts on an engine only because nothing is known of it.
TEST_CASE("An engine without a known pace has the tier of the median engine",
          "[dispatch]") {
  EngineList engines{makeEngine("new", 1, 1), makeEngine("fast", 1, 1),
                     makeEngine("slow", 1, 1), makeEngine("slow2", 1, 1)};
  double paces[] = {0, 76, 98, 98};
  for (std::size_t i = 0; i < engines.size(); ++i) {
    engines[i]->Model = Red;
    for (int j = 0; j < 60 && i > 0; ++j)
      recordEventInterval(engines[i]->Pace, paces[i], TimePoint(),
                          EnginePaceSettings());
  }
  engines[1]->Running = 3;
  EngineRequirements need;
  need.Model = Red;
  need.IsLong = true;
  CHECK(choose(engines, need) == engines[1]);
}

// Guards against runs that the engine has to preempt for lack of memory, and
// against an item that no engine ever takes.
TEST_CASE("An engine gets the runs whose predicted tokens fit its memory",
          "[dispatch]") {
  EngineList engines{makeEngine("a", 1, 1)};
  engines[0]->Model = Red;
  engines[0]->KvCapacityTokens = 10000;
  engines[0]->Running = 2;
  engines[0]->PredictedTokens = 7000;
  EngineRequirements need;
  need.Model = Red;
  need.Tokens = 2000;
  CHECK(choose(engines, need) == engines[0]);
  need.Tokens = 2001;
  CHECK(choose(engines, need) == nullptr);
  // Without a known capacity nothing is counted.
  engines[0]->KvCapacityTokens = 0;
  CHECK(choose(engines, need) == engines[0]);
  engines[0]->KvCapacityTokens = 10000;
  engines[0]->Running = 0;
  engines[0]->PredictedTokens = 0;
  need.Tokens = 50000;
  CHECK(choose(engines, need) == engines[0]);
}

namespace {

/// Simulated time of the tests of loans.
constexpr TimePoint LoanTime = TimePoint() + Millis(100000);

/// Returns true if a loan changed.
bool lend(const EngineList &Engines,
          const std::map<ModelName, ModelWork> &Work) {
  EnginePoolSettings limits;
  return !lendEngines(Engines, Work, computePaceBaseline(Engines, limits),
                      limits, LoanTime)
              .empty();
}

/// Engines that have just been busy, assigned to the models in turn.
EngineList makeAssigned(const std::vector<ModelName> &Models) {
  EngineList engines;
  for (const ModelName &it : Models) {
    engines.push_back(makeEngine("e" + std::to_string(engines.size()), 1, 1));
    engines.back()->Model = it;
    engines.back()->LastBusy = LoanTime;
  }
  return engines;
}

} // namespace

// Guards against an engine that is kept for a model that nobody trains.
TEST_CASE("A model without demand keeps a single engine", "[dispatch]") {
  CHECK(poolSizes({{Red, 0}, {Blue, 5}}, 8) ==
        std::map<ModelName, std::uint32_t>{{Red, 1}, {Blue, 7}});
}

// Guards against a model whose last engine is lost, or that never had one:
// its samples reach no engine although others are free or serve other models.
TEST_CASE("A model without an engine shares that of another model",
          "[dispatch]") {
  const ModelName green("green");
  EngineList engines = makeAssigned({Red, Blue});
  engines[0]->Running = 4;
  engines[1]->Running = 3;
  std::map<ModelName, ModelWork> work{
      {Red, {9, 1}}, {Blue, {9, 1}}, {green, {5, 1}}};
  CHECK(lend(engines, work));
  // The least busy one, which has to load the weights.
  CHECK(engines[1]->serves(green));
  CHECK(engines[1]->Loans.at(green));
  CHECK_FALSE(engines[0]->serves(green));
  SECTION("One loan is enough while all engines have work") {
    CHECK_FALSE(lend(engines, work));
  }
  SECTION("An idle engine with the weights helps as well") {
    engines[1]->Versions[green] = 1;
    engines[1]->Running = 4;
    engines[0]->Versions[green] = 1;
    engines[0]->Running = 0;
    work[Red].Waiting = 0;
    work[Blue].Waiting = 0;
    CHECK(lend(engines, work));
    CHECK(engines[0]->serves(green));
  }
  SECTION("The loan outlasts a pause between two steps") {
    work[green] = {};
    CHECK_FALSE(lend(engines, work));
    work.erase(green);
    CHECK(lend(engines, work));
    CHECK(engines[1]->Loans.empty());
  }
  SECTION("A model that gets the engine for its own is served once") {
    engines[1]->Model = green;
    CHECK(lend(engines, work));
    CHECK_FALSE(engines[1]->Loans.contains(green));
  }
  SECTION("A failing lender is replaced") {
    engines[1]->Server->Failures = 2;
    engines[1]->Server->SuspectUntil = LoanTime + Millis(100);
    CHECK(lend(engines, work));
    CHECK(engines[0]->serves(green));
  }
}

// Guards against engines that idle for their model while another one's wait.
TEST_CASE("An idle engine helps a model whose engines are full", "[dispatch]") {
  EngineList engines = makeAssigned({Red, Blue});
  engines[0]->Running = 4;
  std::map<ModelName, ModelWork> work{{Red, {5, 1}}, {Blue, {0, 0}}};
  SECTION("At once if it has the weights, but without loading any") {
    CHECK(lend(engines, work));
    CHECK_FALSE(engines[1]->Loans.at(Red));
    work[Red].MinVersion = 2;
    CHECK(lend(engines, work));
    CHECK(engines[1]->Loans.empty());
  }
  SECTION("After a while otherwise, since it has to load them") {
    work[Red].MinVersion = 2;
    CHECK_FALSE(lend(engines, work));
    engines[1]->LastBusy = LoanTime - Millis(5000);
    CHECK(lend(engines, work));
    CHECK(engines[1]->Loans.at(Red));
  }
  SECTION("Not while its own model has waiting samples") {
    work[Blue].Waiting = 1;
    CHECK_FALSE(lend(engines, work));
  }
  SECTION("Until its own model has waiting samples") {
    CHECK(lend(engines, work));
    work[Blue] = {1, 1};
    CHECK(lend(engines, work));
    CHECK(engines[1]->Loans.empty());
  }
  SECTION("Not while the engines of the model have room") {
    engines[0]->Running = 3;
    CHECK_FALSE(lend(engines, work));
  }
  SECTION("Also if the engine of the model is slow") {
    engines[0]->Running = 1;
    for (const std::shared_ptr<DispatchEngine> &it : engines)
      it->Pace.RecentMs = 40;
    engines[0]->Pace.RecentMs = 400;
    CHECK(lend(engines, work));
    CHECK(engines[1]->serves(Red));
  }
}

// Guards against samples that depend on one engine that fails.
TEST_CASE("A model whose only engine fails repeatedly gets another",
          "[dispatch]") {
  EngineList engines = makeAssigned({Red, Blue});
  engines[1]->Running = 1;
  std::map<ModelName, ModelWork> work{{Red, {5, 2}}, {Blue, {0, 0}}};
  engines[0]->Versions[Red] = 2;
  engines[0]->Server->SuspectUntil = LoanTime + Millis(100);
  engines[0]->Server->Failures = 1;
  // It is tried again before another one has loaded the weights.
  CHECK_FALSE(lend(engines, work));
  engines[0]->Server->Failures = 2;
  CHECK(lend(engines, work));
  CHECK(engines[1]->Loans.at(Red));
}

TEST_CASE("Samples are placed on engines that are lent to their model",
          "[dispatch]") {
  EngineList engines = makeAssigned({Red, Blue});
  EngineRequirements need;
  need.Model = Red;
  engines[0]->Running = 4;
  CHECK(choose(engines, need) == nullptr);
  engines[1]->Loans[Red] = false;
  CHECK(choose(engines, need) == engines[1]);
  need.Model = Blue;
  CHECK(choose(engines, need) == engines[1]);
}

TEST_CASE("An engine that loads the weights of a loan is swapping",
          "[dispatch]") {
  EngineList engines = makeAssigned({Red});
  engines[0]->Versions[Red] = 7;
  engines[0]->WantedModel = Blue;
  engines[0]->Wanted = 2;
  CHECK(engines[0]->isSwapping());
  engines[0]->Versions[Blue] = 2;
  CHECK_FALSE(engines[0]->isSwapping());
}

} // namespace wasabi
