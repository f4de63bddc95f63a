/// \file
/// Requests to a service none of whose servers responds. Time is simulated.
#include "UnitTests/Batch/BatchFixture.h"
#include "Wasabi/Upstream/Forwarder.h"

namespace wasabi::batchtest {

namespace {

namespace asio = boost::asio;

const ServiceName Desk("desk");
constexpr Millis CallerTimeout{2000};
constexpr Millis RunTime{5};

/// What a server does with a request.
enum class ServerState : std::uint8_t {
  Answers,
  /// It is down, and something at its address still accepts connections.
  LosesConnections,
  /// It is down, and nothing listens at its address.
  RefusesConnections,
};

/// A stream that ends after its head.
class EmptyStream final : public EngineStream {
public:
  EmptyStream() {
    Head.Proof = AnswerProof::Ran;
    Head.Response.Status = 200;
  }
  const StreamHead &head() const override { return Head; }
  asio::awaitable<Outcome<std::optional<EngineEvent>>> next(Millis) override {
    co_return std::optional<EngineEvent>();
  }
  void cancel() override {}

private:
  StreamHead Head;
};

/// A caller of streams that counts those that end.
class StreamCaller final : public http::Responder {
public:
  explicit StreamCaller(int &Ended) : Ended(Ended) {}
  asio::awaitable<Outcome<Done>> send(http::Response) override {
    co_return Done{};
  }
  asio::awaitable<Outcome<Done>> begin(http::Response) override {
    co_return Done{};
  }
  asio::awaitable<Outcome<Done>> write(std::string) override {
    co_return Done{};
  }
  asio::awaitable<Outcome<Done>> end() override {
    ++Ended;
    co_return Done{};
  }
  void abort() override {}
  bool gone() const override { return false; }
  void onGone(std::function<void()>) override {}

private:
  int &Ended;
};

struct OutageFixture : SimulatedTestFixture {
  FleetView View;
  Metrics Counts;
  std::map<ServerName, ServerState> States;
  /// Requests that may have run at a server without an answer.
  int LostRuns = 0;
  int LostOnceRuns = 0;
  std::shared_ptr<Forwarder> TestedForwarder;
  int Sent = 0;
  std::vector<Outcome<UpstreamResponse>> Results;
  std::vector<Millis> Durations;
  int StreamsEnded = 0;

  OutageFixture() {
    noteAnswer(View.Contact, monotonicNow());
    EnginePort port;
    port.Call = [this](UpstreamRegistration Server, const http::Request &Call,
                       const SendOptions &, Millis) {
      return call(std::move(Server), Call.Target == "/once");
    };
    port.Open = [this](UpstreamRegistration Server, const http::Request &,
                       const SendOptions &,
                       Millis) { return open(std::move(Server)); };
    port.Probe = [](const UpstreamRegistration &,
                    Millis) -> asio::awaitable<Outcome<ServerProbeResult>> {
      co_return ServerProbeResult::Listens;
    };
    FeedContext feed{Context.get_executor(), Store.port(), Decisions, View};
    std::shared_ptr<Quarantine> crashes =
        Quarantine::create(feed, port, Counts, Quarantine::Settings());
    crashes->start();
    TestedForwarder = Forwarder::create(
        {Context.get_executor(), View, port, crashes, Decisions, Counts},
        Forwarder::Settings());
  }
  void addServer(const std::string &Id, ServerState State,
                 ServerStartTime Start = 1) {
    UpstreamRegistration entry;
    entry.Id = ServerName(Id);
    entry.Start = Start;
    entry.Service = Desk;
    entry.Slots = 4;
    registerServer(View.Servers, entry);
    States[entry.Id] = State;
  }
  asio::awaitable<Outcome<UpstreamResponse>> call(UpstreamRegistration Server,
                                                  bool Once) {
    co_await pauseFor(Context.get_executor(), RunTime);
    if (States[Server.Id] == ServerState::RefusesConnections)
      co_return Failure{Verdict::NotRun,
                        FailureCode::Unreachable,
                        Server.Id.Text,
                        "connection refused",
                        {}};
    if (States[Server.Id] == ServerState::LosesConnections) {
      ++LostRuns;
      LostOnceRuns += Once ? 1 : 0;
      co_return Failure{Verdict::MayHaveRun,
                        FailureCode::ConnectionLost,
                        Server.Id.Text,
                        "end of stream",
                        {}};
    }
    UpstreamResponse answer;
    answer.Proof = AnswerProof::Ran;
    answer.Response.Status = 200;
    co_return answer;
  }
  asio::awaitable<Outcome<std::unique_ptr<EngineStream>>>
  open(UpstreamRegistration Server) {
    Outcome<UpstreamResponse> got = co_await call(std::move(Server), false);
    if (!got)
      co_return got.failure();
    std::unique_ptr<EngineStream> stream = std::make_unique<EmptyStream>();
    co_return stream;
  }
  void sendStream() {
    ForwardRequest request;
    request.Id = "stream";
    request.ArrivedAt = monotonicNow();
    request.CallerTimeout = CallerTimeout;
    UpstreamRoute route;
    route.Kind = RouteKind::Streaming;
    route.Services = {{Desk, 1}};
    asio::co_spawn(Context,
                   TestedForwarder->forwardStream(
                       std::move(request), std::move(route),
                       std::make_shared<StreamCaller>(StreamsEnded)),
                   asio::detached);
  }
  /// Starts a request; its outcome is appended to `Results`.
  void send(RouteKind Kind = RouteKind::Idempotent) {
    ++Sent;
    std::string id = "r" + std::to_string(Sent);
    asio::co_spawn(
        Context,
        [this, id, Kind]() -> asio::awaitable<void> {
          UpstreamRoute route;
          route.Kind = Kind;
          route.MaxAttempts = 3;
          route.Services = {{Desk, 1}};
          ForwardRequest request;
          request.Id = id;
          request.HttpRequest.Method = "POST";
          request.HttpRequest.Target =
              Kind == RouteKind::NonIdempotent ? "/once" : "/desk";
          request.HttpRequest.Body = id;
          TimePoint sent = monotonicNow();
          request.ArrivedAt = sent;
          request.CallerTimeout = CallerTimeout;
          asio::cancellation_signal stop;
          Outcome<UpstreamResponse> got = co_await TestedForwarder->answer(
              std::move(request), std::move(route), stop);
          Results.push_back(std::move(got));
          Durations.push_back(
              std::chrono::duration_cast<Millis>(monotonicNow() - sent));
        },
        asio::detached);
  }
  /// Sends a request every 10 ms for `Span`; each third one may run only once.
  void sendFor(Millis Span) {
    constexpr Millis Interval{10};
    TimePoint end = monotonicNow() + Span;
    while (monotonicNow() < end) {
      send(Sent % 3 == 2 ? RouteKind::NonIdempotent : RouteKind::Idempotent);
      Clock.runFor(Context, Interval);
    }
  }
  void finish() {
    REQUIRE(Clock.runUntil(
        Context,
        [&] { return Results.size() == static_cast<std::size_t>(Sent); },
        3 * CallerTimeout));
  }
  int countServed() const {
    return static_cast<int>(std::count_if(
        Results.begin(), Results.end(),
        [](const Outcome<UpstreamResponse> &It) { return bool(It); }));
  }
};

} // namespace

// Guards against requests that are sent to a server after it was lost, one
// after another, until its registration is replaced: each of them fails.
TEST_CASE("Requests wait for the restart of the servers of their service",
          "[upstream]") {
  constexpr Millis RestartTime{400};
  ServerState down =
      GENERATE(ServerState::LosesConnections, ServerState::RefusesConnections);
  OutageFixture fixture;
  fixture.addServer("a", ServerState::Answers);
  fixture.addServer("b", ServerState::Answers);
  fixture.sendFor(Millis(100));
  fixture.States[ServerName("a")] = down;
  fixture.States[ServerName("b")] = down;
  fixture.sendFor(RestartTime);
  SECTION("under a new start time") {
    fixture.addServer("a", ServerState::Answers, 2);
  }
  SECTION("under the same registration") {
    fixture.States[ServerName("a")] = ServerState::Answers;
  }
  fixture.sendFor(Millis(300));
  fixture.finish();
  // At each server, the first request, one more, and one per retry interval.
  constexpr int MaxLostRuns = 2 * (2 + 2);
  INFO(fixture.countServed() << " of " << fixture.Sent << " served, "
                             << fixture.LostRuns << " lost runs");
  CHECK(fixture.LostRuns <= MaxLostRuns);
  CHECK(fixture.LostOnceRuns <= 2);
  CHECK(fixture.countServed() * 100 >= fixture.Sent * 95);
}

TEST_CASE("Streams wait for the restart of the servers of their service",
          "[upstream]") {
  constexpr int Streams = 10;
  OutageFixture fixture;
  fixture.addServer("a", ServerState::RefusesConnections);
  for (int i = 0; i < Streams; ++i)
    fixture.sendStream();
  fixture.Clock.runFor(fixture.Context, Millis(400));
  CHECK(fixture.StreamsEnded == 0);
  fixture.addServer("a", ServerState::Answers, 2);
  fixture.Clock.runFor(fixture.Context, Millis(100));
  CHECK(fixture.StreamsEnded == Streams);
}

TEST_CASE("A service whose connections were cut is served at once",
          "[upstream]") {
  OutageFixture fixture;
  fixture.addServer("a", ServerState::LosesConnections);
  fixture.addServer("b", ServerState::LosesConnections);
  for (int i = 0; i < 10; ++i)
    fixture.send();
  fixture.Clock.runFor(fixture.Context, RunTime);
  for (const char *id : {"a", "b"})
    fixture.States[ServerName(id)] = ServerState::Answers;
  fixture.finish();
  CHECK(fixture.countServed() == fixture.Sent);
  for (Millis it : fixture.Durations)
    CHECK(it < Millis(100));
}

TEST_CASE("Requests to a service that stays down are refused as not run",
          "[upstream]") {
  OutageFixture fixture;
  fixture.addServer("a", ServerState::RefusesConnections);
  fixture.send();
  fixture.send(RouteKind::NonIdempotent);
  fixture.finish();
  for (std::size_t i = 0; i < fixture.Results.size(); ++i) {
    REQUIRE_FALSE(fixture.Results[i]);
    CHECK(fixture.Results[i].failure().Run == Verdict::NotRun);
    // The caller has time left for a retry at another process.
    CHECK(fixture.Durations[i] <= CallerTimeout / 2);
  }
  // Known to be down for longer than a restart takes: no wait.
  fixture.sendFor(Millis(3500));
  fixture.finish();
  std::size_t before = fixture.Durations.size();
  fixture.Clock.runFor(fixture.Context, Millis(250));
  fixture.send();
  fixture.finish();
  CHECK(fixture.Durations[before] < Millis(50));
}

} // namespace wasabi::batchtest
