#include "Wasabi/Dispatch/WeightReconciler.h"
#include "UnitTests/Batch/BatchFixture.h"

namespace wasabi::batchtest {

namespace {

const ModelName Red("red");
const ServerName Server("i-1");

/// Fake engine that loads weights as soon as it is asked to.
struct FakeEngine {
  explicit FakeEngine(boost::asio::io_context &Context) : Context(Context) {}

  boost::asio::io_context &Context;
  EngineReport Now{0, {{Red, 1}}, false, 0, 0, 0};
  std::vector<WeightLoadRequest> Requests;
  /// Number of the next load requests that time out without being executed.
  int UnansweredRequests = 0;
  bool Unresponsive = false;
  ServerName Name = Server;

  EnginePort port() {
    EnginePort port;
    port.Report = [this](const UpstreamRegistration &, Millis) {
      return report();
    };
    port.LoadWeights = [this](UpstreamRegistration Server,
                              WeightLoadRequest Request, Millis) {
      return loadWeights(std::move(Server), std::move(Request));
    };
    return port;
  }
  boost::asio::awaitable<Outcome<EngineReport>> report() {
    co_await pauseFor(Context.get_executor(), Millis(1));
    if (Unresponsive)
      co_return makeTimeout();
    co_return Now;
  }
  boost::asio::awaitable<Outcome<WeightLoadOutcome>>
  loadWeights(UpstreamRegistration Server, WeightLoadRequest Request) {
    co_await pauseFor(Context.get_executor(), Millis(1));
    Requests.push_back(Request);
    if (Server.Id != Name)
      co_return WeightLoadOutcome::WrongServer;
    if (UnansweredRequests > 0) {
      --UnansweredRequests;
      co_return makeTimeout();
    }
    if (Request.Accepted != Now.Accepted)
      co_return WeightLoadOutcome::Busy;
    ++Now.Accepted;
    Now.Models[Request.Model] = Request.Version;
    co_return WeightLoadOutcome::Started;
  }
  static Failure makeTimeout() {
    return Failure{
        Verdict::MayHaveRun, FailureCode::TimedOut, "engine", "silent", {}};
  }
};

struct ReconcilerFixture : BatchTestFixture {
  FakeEngine Engine{Context};
  std::shared_ptr<bool> Disconnected = std::make_shared<bool>(false);
  std::shared_ptr<WeightReconciler> Reconciler = startReconciler();

  std::shared_ptr<WeightReconciler> startReconciler() {
    WeightReconciler::Settings limits;
    limits.Holder = "side-1";
    limits.PollInterval = Millis(2);
    limits.IdlePollInterval = Millis(5);
    std::shared_ptr<WeightReconciler> reconciler = WeightReconciler::create(
        Context.get_executor(), Store.port(Disconnected), Engine.port(),
        Decisions, limits);
    UpstreamRegistration entry;
    entry.Id = Server;
    reconciler->setRegistrations({entry});
    reconciler->start();
    return reconciler;
  }
  /// Returns the last published weights; empty if there are none.
  std::optional<HeldWeights> lastHeld() {
    const std::vector<std::string> &all = Store.Topics[HeldTopic];
    if (all.empty())
      return std::nullopt;
    std::string text = all.back().substr(all.back().find('|') + 1);
    Outcome<HeldWeights> held =
        toOutcome<HeldWeights>([&] { return decodeHeld(text, "test"); });
    return held ? std::optional<HeldWeights>(*held) : std::nullopt;
  }
  bool reachesVersion(WeightVersion Version) {
    return runUntil([&] { return Engine.Now.Models[Red] == Version; });
  }
};

} // namespace

TEST_CASE("The wanted weights are requested once", "[dispatch]") {
  ReconcilerFixture world;
  world.Reconciler->setWanted(Server, {Red, 2, SwapMode::Continue}, 0);
  REQUIRE(world.reachesVersion(2));
  world.Context.run_for(Millis(50));
  CHECK(world.Engine.Requests.size() == 1);
  CHECK(world.Engine.Requests[0].Holder == "side-1");
}

TEST_CASE("An older record of wanted weights is ignored", "[dispatch]") {
  ReconcilerFixture world;
  world.Reconciler->setWanted(Server, {Red, 3, SwapMode::Continue}, 9);
  world.Reconciler->setWanted(Server, {Red, 2, SwapMode::Continue}, 4);
  REQUIRE(world.reachesVersion(3));
  world.Reconciler->setWanted(ServerName("i-2"), {Red, 7, SwapMode::Continue},
                              10);
  world.Context.run_for(Millis(50));
  CHECK(world.Engine.Now.Models[Red] == 3);
}

TEST_CASE(
    "Tokens of a later incarnation are greater than those of an earlier one",
    "[dispatch]") {
  ReconcilerFixture world;
  world.Reconciler->setWanted(Server, {Red, 2, SwapMode::Continue}, 50);
  REQUIRE(world.reachesVersion(2));
  // The next incarnation reads the wanted weights at a lower offset.
  world.Reconciler = world.startReconciler();
  world.Reconciler->setWanted(Server, {Red, 4, SwapMode::Continue}, 20);
  REQUIRE(world.reachesVersion(4));
  CHECK(world.Engine.Requests.back().Token >
        world.Engine.Requests.front().Token);
}

TEST_CASE("An incarnation without a record in the store requests no weights",
          "[dispatch]") {
  ReconcilerFixture world;
  *world.Disconnected = true;
  world.Reconciler->setWanted(Server, {Red, 2, SwapMode::Continue}, 0);
  world.Context.run_for(Millis(60));
  CHECK(world.Engine.Requests.empty());
  *world.Disconnected = false;
  CHECK(world.reachesVersion(2));
}

TEST_CASE("A request without a reply is repeated with the same count",
          "[dispatch]") {
  ReconcilerFixture world;
  world.Engine.UnansweredRequests = 2;
  world.Reconciler->setWanted(Server, {Red, 2, SwapMode::Continue}, 0);
  REQUIRE(world.reachesVersion(2));
  // The engine executes at most one of the requests with the same count.
  for (const WeightLoadRequest &it : world.Engine.Requests)
    CHECK(it.Accepted == 0u);
}

TEST_CASE("A stale registration does not keep the engine from loading weights",
          "[dispatch]") {
  ReconcilerFixture world;
  UpstreamRegistration old;
  old.Id = ServerName("i-0");
  UpstreamRegistration current;
  current.Id = Server;
  world.Reconciler->setRegistrations({old, current});
  world.Reconciler->setWanted(old.Id, {Red, 2, SwapMode::Continue}, 0);
  world.Reconciler->setWanted(Server, {Red, 2, SwapMode::Continue}, 1);
  CHECK(world.reachesVersion(2));
}

TEST_CASE("An engine that returns to older weights is asked to load again",
          "[dispatch]") {
  ReconcilerFixture world;
  world.Reconciler->setWanted(Server, {Red, 5, SwapMode::Continue}, 0);
  REQUIRE(world.reachesVersion(5));
  world.Engine.Now.Models[Red] = 4;
  CHECK(world.reachesVersion(5));
}

TEST_CASE("The weights that an engine holds are published", "[dispatch]") {
  ReconcilerFixture world;
  world.Reconciler->setWanted(Server, {Red, 2, SwapMode::Continue}, 0);
  REQUIRE(world.reachesVersion(2));
  CHECK(world.runUntil([&] {
    std::optional<HeldWeights> held = world.lastHeld();
    return held && held->Models.at(Red) == 2 && !held->Loading;
  }));
}

TEST_CASE(
    "The weights of a restarted engine are published with its new start time",
    "[dispatch]") {
  ReconcilerFixture world;
  world.Engine.Now.Start = 1000;
  world.Reconciler->setWanted(Server, {Red, 2, SwapMode::Continue, 1000}, 0);
  REQUIRE(world.reachesVersion(2));
  auto isPublished = [&](ServerStartTime Start) {
    std::optional<HeldWeights> held = world.lastHeld();
    return held && held->Models.at(Red) == 2 && held->Start == Start;
  };
  REQUIRE(world.runUntil([&] { return isPublished(1000); }));
  // The engine keeps its weights, and its count of requests restarts.
  world.Engine.Now.Start = 2000;
  world.Engine.Now.Accepted = 0;
  CHECK(world.runUntil([&] { return isPublished(2000); }));
  // Weights that were wanted of the previous start are not requested.
  std::size_t requests = world.Engine.Requests.size();
  world.Engine.Now.Models[Red] = 1;
  world.Context.run_for(Millis(50));
  CHECK(world.Engine.Requests.size() == requests);
  world.Reconciler->setWanted(Server, {Red, 2, SwapMode::Continue, 2000}, 9);
  REQUIRE(world.reachesVersion(2));
  CHECK(world.Engine.Requests.back().Accepted == 0u);
}

TEST_CASE("An engine gets requests again after another server had its address",
          "[dispatch]") {
  ReconcilerFixture world;
  UpstreamRegistration current;
  current.Id = Server;
  current.Start = 1000;
  world.Engine.Name = ServerName("another");
  world.Reconciler->setRegistrations({current});
  world.Reconciler->setWanted(Server, {Red, 2, SwapMode::Continue}, 0);
  REQUIRE(world.runUntil([&] { return !world.Engine.Requests.empty(); }));
  world.Engine.Name = Server;
  current.Start = 2000;
  world.Reconciler->setRegistrations({current});
  CHECK(world.reachesVersion(2));
}

TEST_CASE("Records of wanted and held weights are decoded as they were encoded",
          "[dispatch]") {
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
