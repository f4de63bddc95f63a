#include "Wasabi/Dispatch/WeightReconciler.h"
#include "UnitTests/Batch/BatchFixture.h"

namespace wasabi::batchtest {

namespace {

const ModelName Red("red");
const ServerName Server("i-1");

/// One engine, as its calls see it.
struct FakeEngine {
  explicit FakeEngine(boost::asio::io_context &Context) : Context(Context) {}

  boost::asio::io_context &Context;
  EngineReport Now{0, {{Red, 1}}, false, 0, 0, 0};
  std::vector<WeightLoadRequest> Orders;
  /// Orders that are accepted without an answer, and carried out later.
  int Late = 0;
  bool Dark = false;
  ServerName Name = Server;

  EnginePort port() {
    EnginePort port;
    port.Report = [this](const UpstreamRegistration &, Millis) {
      return report();
    };
    port.LoadWeights = [this](UpstreamRegistration Server,
                              WeightLoadRequest What, Millis) {
      return order(std::move(Server), std::move(What));
    };
    return port;
  }
  boost::asio::awaitable<Outcome<EngineReport>> report() {
    co_await pauseFor(Context.get_executor(), Millis(1));
    if (Dark)
      co_return silence();
    co_return Now;
  }
  boost::asio::awaitable<Outcome<WeightLoadOutcome>>
  order(UpstreamRegistration Server, WeightLoadRequest What) {
    co_await pauseFor(Context.get_executor(), Millis(1));
    Orders.push_back(What);
    if (Server.Id != Name)
      co_return WeightLoadOutcome::WrongServer;
    if (Late > 0) {
      --Late;
      co_return silence();
    }
    if (What.Accepted != Now.Accepted)
      co_return WeightLoadOutcome::Busy;
    ++Now.Accepted;
    Now.Models[What.Model] = What.Version;
    co_return WeightLoadOutcome::Started;
  }
  static Failure silence() {
    return Failure{
        Verdict::MayHaveRun, FailureCode::TimedOut, "engine", "silent", {}};
  }
};

struct OrderWorld : BatchTestFixture {
  FakeEngine Engine{Context};
  std::shared_ptr<bool> Disconnected = std::make_shared<bool>(false);
  std::shared_ptr<WeightReconciler> Keeper = makeKeeper();

  std::shared_ptr<WeightReconciler> makeKeeper() {
    WeightReconciler::Settings limits;
    limits.Holder = "side-1";
    limits.PollInterval = Millis(2);
    limits.IdlePollInterval = Millis(5);
    std::shared_ptr<WeightReconciler> keeper = WeightReconciler::create(
        Context.get_executor(), Store.port(Disconnected), Engine.port(),
        Decisions, limits);
    UpstreamRegistration entry;
    entry.Id = Server;
    keeper->setRegistrations({entry});
    keeper->start();
    return keeper;
  }
  /// What the store was told last.
  std::optional<HeldWeights> lastHeld() {
    const std::vector<std::string> &all = Store.Topics[HeldTopic];
    if (all.empty())
      return std::nullopt;
    std::string text = all.back().substr(all.back().find('|') + 1);
    Outcome<HeldWeights> held =
        toOutcome<HeldWeights>([&] { return decodeHeld(text, "test"); });
    return held ? std::optional<HeldWeights>(*held) : std::nullopt;
  }
  bool comesTo(WeightVersion Version) {
    return runUntil([&] { return Engine.Now.Models[Red] == Version; });
  }
};

} // namespace

TEST_CASE("An engine is ordered to what is wanted, and once", "[dispatch]") {
  OrderWorld world;
  world.Keeper->setWanted(Server, {Red, 2, SwapMode::Continue}, 0);
  REQUIRE(world.comesTo(2));
  world.Context.run_for(Millis(50));
  CHECK(world.Engine.Orders.size() == 1);
  CHECK(world.Engine.Orders[0].Holder == "side-1");
}

TEST_CASE("An older record of what is wanted changes nothing", "[dispatch]") {
  OrderWorld world;
  world.Keeper->setWanted(Server, {Red, 3, SwapMode::Continue}, 9);
  world.Keeper->setWanted(Server, {Red, 2, SwapMode::Continue}, 4);
  REQUIRE(world.comesTo(3));
  world.Keeper->setWanted(ServerName("i-2"), {Red, 7, SwapMode::Continue}, 10);
  world.Context.run_for(Millis(50));
  CHECK(world.Engine.Now.Models[Red] == 3);
}

TEST_CASE("Tokens of a later life are greater than those of an earlier one",
          "[dispatch]") {
  OrderWorld world;
  world.Keeper->setWanted(Server, {Red, 2, SwapMode::Continue}, 50);
  REQUIRE(world.comesTo(2));
  // The next life reads what is wanted from an older answer of the store.
  world.Keeper = world.makeKeeper();
  world.Keeper->setWanted(Server, {Red, 4, SwapMode::Continue}, 20);
  REQUIRE(world.comesTo(4));
  CHECK(world.Engine.Orders.back().Token > world.Engine.Orders.front().Token);
}

TEST_CASE("A life that the store does not know yet gives no order",
          "[dispatch]") {
  OrderWorld world;
  *world.Disconnected = true;
  world.Keeper->setWanted(Server, {Red, 2, SwapMode::Continue}, 0);
  world.Context.run_for(Millis(60));
  CHECK(world.Engine.Orders.empty());
  *world.Disconnected = false;
  CHECK(world.comesTo(2));
}

TEST_CASE("An order that is not answered is given again with the same count",
          "[dispatch]") {
  OrderWorld world;
  world.Engine.Late = 2;
  world.Keeper->setWanted(Server, {Red, 2, SwapMode::Continue}, 0);
  REQUIRE(world.comesTo(2));
  // Whichever of them is carried out, the others no longer fit the count.
  for (const WeightLoadRequest &it : world.Engine.Orders)
    CHECK(it.Accepted == 0u);
}

TEST_CASE("A registration of an earlier start does not keep the engine from "
          "its weights",
          "[dispatch]") {
  OrderWorld world;
  UpstreamRegistration old;
  old.Id = ServerName("i-0");
  UpstreamRegistration now;
  now.Id = Server;
  world.Keeper->setRegistrations({old, now});
  world.Keeper->setWanted(old.Id, {Red, 2, SwapMode::Continue}, 0);
  world.Keeper->setWanted(Server, {Red, 2, SwapMode::Continue}, 1);
  CHECK(world.comesTo(2));
}

TEST_CASE("An engine that fell back is ordered forward again", "[dispatch]") {
  OrderWorld world;
  world.Keeper->setWanted(Server, {Red, 5, SwapMode::Continue}, 0);
  REQUIRE(world.comesTo(5));
  world.Engine.Now.Models[Red] = 4;
  CHECK(world.comesTo(5));
}

TEST_CASE("What an engine holds is told to the store", "[dispatch]") {
  OrderWorld world;
  world.Keeper->setWanted(Server, {Red, 2, SwapMode::Continue}, 0);
  REQUIRE(world.comesTo(2));
  CHECK(world.runUntil([&] {
    std::optional<HeldWeights> held = world.lastHeld();
    return held && held->Models.at(Red) == 2 && !held->Loading;
  }));
}

TEST_CASE("An engine that starts again under its name is told of anew",
          "[dispatch]") {
  OrderWorld world;
  world.Engine.Now.Start = 1000;
  world.Keeper->setWanted(Server, {Red, 2, SwapMode::Continue, 1000}, 0);
  REQUIRE(world.comesTo(2));
  auto told = [&](ServerStartTime Start) {
    std::optional<HeldWeights> held = world.lastHeld();
    return held && held->Models.at(Red) == 2 && held->Start == Start;
  };
  REQUIRE(world.runUntil([&] { return told(1000); }));
  // It holds what it held, and its count of orders starts anew.
  world.Engine.Now.Start = 2000;
  world.Engine.Now.Accepted = 0;
  CHECK(world.runUntil([&] { return told(2000); }));
  // What was wanted of the start before is not wanted of this one.
  std::size_t orders = world.Engine.Orders.size();
  world.Engine.Now.Models[Red] = 1;
  world.Context.run_for(Millis(50));
  CHECK(world.Engine.Orders.size() == orders);
  world.Keeper->setWanted(Server, {Red, 2, SwapMode::Continue, 2000}, 9);
  REQUIRE(world.comesTo(2));
  CHECK(world.Engine.Orders.back().Accepted == 0u);
}

TEST_CASE("An engine whose address another had is ordered when it is back",
          "[dispatch]") {
  OrderWorld world;
  UpstreamRegistration now;
  now.Id = Server;
  now.Start = 1000;
  world.Engine.Name = ServerName("another");
  world.Keeper->setRegistrations({now});
  world.Keeper->setWanted(Server, {Red, 2, SwapMode::Continue}, 0);
  REQUIRE(world.runUntil([&] { return !world.Engine.Orders.empty(); }));
  world.Engine.Name = Server;
  now.Start = 2000;
  world.Keeper->setRegistrations({now});
  CHECK(world.comesTo(2));
}

TEST_CASE("Records about engines read as they were written", "[dispatch]") {
  WantedWeights wanted{Red, 7, SwapMode::Finish, 1764000000123};
  Outcome<WantedWeights> again = toOutcome<WantedWeights>(
      [&] { return decodeWanted(encodeWanted(wanted), "test"); });
  REQUIRE(again);
  CHECK(*again == wanted);
  HeldWeights held{{{Red, 7}, {ModelName("blue"), 1}}, true, 1764000000123};
  Outcome<HeldWeights> same = toOutcome<HeldWeights>(
      [&] { return decodeHeld(encodeHeld(held), "test"); });
  REQUIRE(same);
  CHECK(*same == held);
  CHECK_FALSE(toOutcome<HeldWeights>([&] { return decodeHeld("{", "test"); }));
}

} // namespace wasabi::batchtest
