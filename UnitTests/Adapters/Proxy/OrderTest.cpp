/// \file
/// Tests how a daemon executes orders on a fake engine.
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

constexpr std::chrono::seconds WaitTimeout{20};
constexpr asio::as_tuple_t<asio::use_awaitable_t<>> Awaited;

/// Behavior of the fake engine for the next order.
enum class FakeEngineBehavior {
  LoadsOrdered,
  LoadsOtherVersion,
  Fails,
  DropsConnection
};

/// Fixture with a daemon and an engine that ignores fencing tokens.
class DaemonOrderFixture {
public:
  explicit DaemonOrderFixture(VersionChange Change) {
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
    Engine =
        http::Server::create(
            Context, limits,
            [this](http::Request Request, std::shared_ptr<http::Responder> Out)
                -> asio::awaitable<void> {
              return serve(std::move(Request), std::move(Out));
            })
            .value();
    DaemonProxy::Settings setup;
    setup.Instance = InstanceName("d");
    setup.Upstreams = {
        {ServerName("e"), ServiceName("llm"), Engine->address()}};
    setup.StatePollInterval = Millis(5);
    setup.TickInterval = Millis(5);
    Proxy = DaemonProxy::create(Context, setup, Events, Counts);
    Proxy->attach(ControlPlaneReader{
                      [this] { return State; }, [this] { return Members; }, {}},
                  [this](std::vector<ServerStatus> Servers) {
                    Reported = std::move(Servers);
                  });
    REQUIRE(runUntil(
        [this] { return !Reported.empty() && Reported[0].Version == 1; }));
  }
  ~DaemonOrderFixture() {
    Proxy->stop();
    Engine->stop();
  }

  bool runUntil(const std::function<bool()> &Condition) {
    std::chrono::steady_clock::time_point end =
        std::chrono::steady_clock::now() + WaitTimeout;
    while (!Condition() && std::chrono::steady_clock::now() < end)
      Context.run_one_for(Millis(50));
    return Condition();
  }

  void send(FencingToken Token, WeightVersion Version) {
    Answer.reset();
    Order order{ServerName("e"), "weights/m", Token, ModelName("m"), Version};
    Proxy->executeOrder(
        order, [this](const Outcome<OrderAnswer> &Result) { Answer = Result; });
  }

  Outcome<OrderAnswer> order(FencingToken Token, WeightVersion Version) {
    send(Token, Version);
    REQUIRE(runUntil([this] { return Answer.has_value(); }));
    return *Answer;
  }

  /// Starts a sample that runs until `FinishSamples` is set.
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
  std::vector<ServerStatus> Reported;

private:
  asio::awaitable<void> serve(http::Request Request,
                              std::shared_ptr<http::Responder> Out) {
    http::Response answer =
        http::jsonResponse(200, "{\"model\":\"m\",\"slots\":4,\"version\":" +
                                    std::to_string(Version) + "}");
    if (Request.path() == "/v1/completions") {
      SampleRuns = true;
      BootTimer timer(Context);
      while (!FinishSamples && !Out->gone()) {
        timer.expires_after(Millis(1));
        co_await timer.async_wait(Awaited);
      }
      SampleRuns = false;
    }
    if (Request.path() == "/v1/orders") {
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

TEST_CASE("An order returns the version that the engine reports", "[order]") {
  DaemonOrderFixture fixture(VersionChange::Resume);
  CHECK(fixture.order(10, 2)->Version == 2);
  fixture.Behavior = FakeEngineBehavior::Fails;
  CHECK(fixture.order(10, 3)->Version == 3);
  fixture.Behavior = FakeEngineBehavior::DropsConnection;
  CHECK(fixture.order(10, 4)->Version == 4);
  fixture.Behavior = FakeEngineBehavior::LoadsOtherVersion;
  CHECK(fixture.order(10, 5)->Version == 99);
  CHECK(fixture.runUntil([&] { return fixture.Reported[0].Version == 99; }));
}

TEST_CASE(
    "A daemon refuses a stale order for an engine that ignores fencing tokens",
    "[order]") {
  DaemonOrderFixture fixture(VersionChange::Resume);
  REQUIRE(fixture.order(10, 2));
  Outcome<OrderAnswer> stale = fixture.order(9, 3);
  REQUIRE_FALSE(stale);
  CHECK(stale.failure().Code == FailureCode::StaleFence);
  CHECK(stale.failure().Run == Verdict::NotRun);
  CHECK(fixture.Orders == 1);
  CHECK(fixture.order(11, 3)->Version == 3);
}

TEST_CASE("An order waits for running samples if the preset finishes them",
          "[order]") {
  DaemonOrderFixture fixture(VersionChange::Finish);
  fixture.startSample();
  fixture.send(10, 2);
  // The daemon polls the engine many times meanwhile.
  int iterations = 0;
  fixture.runUntil([&] { return ++iterations > 200; });
  CHECK(fixture.Orders == 0);
  fixture.FinishSamples = true;
  REQUIRE(fixture.runUntil([&] { return fixture.Answer.has_value(); }));
  CHECK((*fixture.Answer)->Version == 2);
  CHECK(fixture.Sink->Ended);
}

TEST_CASE("An order cancels running samples if the preset restarts them",
          "[order]") {
  DaemonOrderFixture fixture(VersionChange::Restart);
  fixture.startSample();
  CHECK(fixture.order(10, 2)->Version == 2);
  REQUIRE(fixture.Sink->Failed);
  CHECK(fixture.Sink->Failed->Run != Verdict::NotRun);
  CHECK(fixture.runUntil([&] { return !fixture.SampleRuns; }));
}

TEST_CASE("Samples continue across a version change if the preset resumes them",
          "[order]") {
  DaemonOrderFixture fixture(VersionChange::Resume);
  fixture.startSample();
  CHECK(fixture.order(10, 2)->Version == 2);
  CHECK(fixture.SampleRuns);
  fixture.FinishSamples = true;
  CHECK(fixture.runUntil([&] { return fixture.Sink->Ended; }));
}

TEST_CASE("Upstreams are parsed from their flag", "[order]") {
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
