/// \file
/// Orders at a daemon, before an engine that a test plays by HTTP.
#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Adapters/Proxy/DaemonProxy.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <catch2/catch.hpp>

namespace wasabi {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::seconds Patience{20};
constexpr asio::as_tuple_t<asio::use_awaitable_t<>> Awaited;

/// What the engine does with the next order.
enum class FakeEngineBehavior {
  LoadsOrdered,
  LoadsOtherVersion,
  Fails,
  DropsConnection
};

/// An engine that ignores fencing tokens, and a daemon before it.
class OrderWorld {
public:
  explicit OrderWorld(VersionChange Change) {
    Configuration config;
    ServiceDeclaration service;
    service.Name = ServiceName("llm");
    config.Services[service.Name] = service;
    PresetDeclaration preset;
    preset.Name = PresetName("p");
    preset.OnVersionChange = Change;
    config.Presets[preset.Name] = preset;
    config.ActivePreset = preset.Name;
    State = std::make_shared<FoldState>();
    State->Config = std::make_shared<const Configuration>(config);

    http::Server::Settings limits;
    Engine = http::Server::create(
                 Context, limits,
                 [this](http::Request Ask, std::shared_ptr<http::Responder> Out)
                     -> asio::awaitable<void> {
                   return serve(std::move(Ask), std::move(Out));
                 })
                 .value();
    DaemonProxy::Settings setup;
    setup.Instance = InstanceName("d");
    setup.Upstreams = {
        {ServerName("e"), ServiceName("llm"), Engine->address()}};
    setup.StatePollInterval = Millis(5);
    setup.TickInterval = Millis(5);
    Proxy = DaemonProxy::create(Context, setup, Events, Counts);
    Proxy->attach(
        ControlPlaneReader{
            [this] { return State; }, [this] { return Members; }, {}},
        [this](std::vector<ServerStatus> Now) { Told = std::move(Now); });
    REQUIRE(runUntil([this] { return !Told.empty() && Told[0].Version == 1; }));
  }
  ~OrderWorld() {
    Proxy->stop();
    Engine->stop();
  }

  bool runUntil(const std::function<bool()> &Holds) {
    std::chrono::steady_clock::time_point end =
        std::chrono::steady_clock::now() + Patience;
    while (!Holds() && std::chrono::steady_clock::now() < end)
      Context.run_one_for(Millis(50));
    return Holds();
  }

  void send(FencingToken Token, WeightVersion Version) {
    Answer.reset();
    Order order{ServerName("e"), "weights/m", Token, ModelName("m"), Version};
    Proxy->order(order,
                 [this](const Outcome<OrderAnswer> &Given) { Answer = Given; });
  }

  Outcome<OrderAnswer> order(FencingToken Token, WeightVersion Version) {
    send(Token, Version);
    REQUIRE(runUntil([this] { return Answer.has_value(); }));
    return *Answer;
  }

  /// A sample that runs until `FinishSamples`.
  void startSample() {
    RequestAttempt attempt;
    attempt.Request = "sample";
    attempt.Service = ServiceName("llm");
    attempt.Server = ServerName("e");
    attempt.Trainer = TrainerName("t");
    attempt.Http.Method = "POST";
    attempt.Http.Target = "/v1/completions";
    attempt.Http.Body = "{}";
    Sink = std::make_shared<RecordingSink>();
    asio::co_spawn(Context, Proxy->handle(attempt, Sink), asio::detached);
    REQUIRE(runUntil([this] { return SampleRuns; }));
  }

  struct RecordingSink final : ResponseSink {
    void begin(http::Response, ServerName) override {}
    asio::awaitable<Outcome<Done>> write(std::string) override {
      co_return Done{};
    }
    void end() override { Ended = true; }
    void fail(Failure Why) override { Failed = std::move(Why); }
    bool gone() const override { return false; }
    void onGone(std::function<void()>) override {}
    bool Ended = false;
    std::optional<Failure> Failed;
  };

  asio::io_context Context;
  FakeEngineBehavior Behavior = FakeEngineBehavior::LoadsOrdered;
  WeightVersion Version = 1;
  int Orders = 0;
  bool SampleRuns = false;
  bool FinishSamples = false;
  std::shared_ptr<RecordingSink> Sink;
  std::optional<Outcome<OrderAnswer>> Answer;
  std::vector<ServerStatus> Told;

private:
  asio::awaitable<void> serve(http::Request Ask,
                              std::shared_ptr<http::Responder> Out) {
    http::Response answer =
        http::jsonResponse(200, "{\"model\":\"m\",\"slots\":4,\"version\":" +
                                    std::to_string(Version) + "}");
    if (Ask.path() == "/v1/completions") {
      SampleRuns = true;
      BootTimer timer(Context);
      while (!FinishSamples && !Out->gone()) {
        timer.expires_after(Millis(1));
        co_await timer.async_wait(Awaited);
      }
      SampleRuns = false;
    }
    if (Ask.path() == "/v1/orders") {
      ++Orders;
      Version =
          Behavior == FakeEngineBehavior::LoadsOtherVersion ? 99 : Version + 1;
      if (Behavior == FakeEngineBehavior::Fails)
        answer = http::jsonResponse(500, "{}");
      if (Behavior == FakeEngineBehavior::DropsConnection) {
        Out->abort();
        co_return;
      }
    }
    co_await Out->send(std::move(answer));
  }

  std::shared_ptr<FoldState> State;
  std::shared_ptr<View> Members = std::make_shared<View>();
  Timeline Events{"d", Timeline::Settings()};
  Metrics Counts;
  std::shared_ptr<http::Server> Engine;
  std::shared_ptr<DaemonProxy> Proxy;
};

} // namespace

TEST_CASE("An order is answered with the version the engine reports",
          "[order]") {
  OrderWorld world(VersionChange::Resume);
  CHECK(world.order(10, 2)->Version == 2);
  world.Behavior = FakeEngineBehavior::Fails;
  CHECK(world.order(10, 3)->Version == 3);
  world.Behavior = FakeEngineBehavior::DropsConnection;
  CHECK(world.order(10, 4)->Version == 4);
  world.Behavior = FakeEngineBehavior::LoadsOtherVersion;
  CHECK(world.order(10, 5)->Version == 99);
  CHECK(world.runUntil([&] { return world.Told[0].Version == 99; }));
}

TEST_CASE("A daemon guards an engine that ignores fencing tokens", "[order]") {
  OrderWorld world(VersionChange::Resume);
  REQUIRE(world.order(10, 2));
  Outcome<OrderAnswer> stale = world.order(9, 3);
  REQUIRE_FALSE(stale);
  CHECK(stale.failure().Code == FailureCode::StaleFence);
  CHECK(stale.failure().Run == Verdict::NotRun);
  CHECK(world.Orders == 1);
  CHECK(world.order(11, 3)->Version == 3);
}

TEST_CASE("An order waits for running samples where the preset says so",
          "[order]") {
  OrderWorld world(VersionChange::Finish);
  world.startSample();
  world.send(10, 2);
  // It has looked at the engine many times meanwhile.
  int turns = 0;
  world.runUntil([&] { return ++turns > 200; });
  CHECK(world.Orders == 0);
  world.FinishSamples = true;
  REQUIRE(world.runUntil([&] { return world.Answer.has_value(); }));
  CHECK((*world.Answer)->Version == 2);
  CHECK(world.Sink->Ended);
}

TEST_CASE("An order breaks samples off where the preset says so", "[order]") {
  OrderWorld world(VersionChange::Restart);
  world.startSample();
  CHECK(world.order(10, 2)->Version == 2);
  REQUIRE(world.Sink->Failed);
  CHECK(world.Sink->Failed->Run != Verdict::NotRun);
  CHECK(world.runUntil([&] { return !world.SampleRuns; }));
}

TEST_CASE("Samples go on across a swap where the preset says so", "[order]") {
  OrderWorld world(VersionChange::Resume);
  world.startSample();
  CHECK(world.order(10, 2)->Version == 2);
  CHECK(world.SampleRuns);
  world.FinishSamples = true;
  CHECK(world.runUntil([&] { return world.Sink->Ended; }));
}

TEST_CASE("Upstreams are read from their setting", "[order]") {
  Outcome<std::vector<ProxiedServer>> good =
      toOutcome<std::vector<ProxiedServer>>([] {
        return parseUpstreams("a=s@127.0.0.1:1,b=t@127.0.0.1:2", "--upstreams");
      });
  REQUIRE(good);
  REQUIRE(good->size() == 2);
  CHECK((*good)[1].Service == ServiceName("t"));
  for (const char *it : {"a", "a=s", "=s@127.0.0.1:1", "a=@127.0.0.1:1",
                         "a=s@host:1", "a=s@127.0.0.1:1,a=s@127.0.0.1:2"}) {
    INFO(it);
    CHECK_FALSE(toOutcome<std::vector<ProxiedServer>>(
        [&] { return parseUpstreams(it, "--upstreams"); }));
  }
}

} // namespace wasabi
