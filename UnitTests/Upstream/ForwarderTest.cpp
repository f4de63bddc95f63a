#include "Wasabi/Upstream/Forwarder.h"
#include "UnitTests/Batch/BatchFixture.h"

namespace wasabi::batchtest {

namespace {

namespace asio = boost::asio;

const ServiceName Desk("desk");

/// How a fake server responds to a request.
enum class ServerBehavior : std::uint8_t {
  Answers,
  Refuses,
  /// Its process crashes while it runs the request.
  Crashes,
  LosesAnswer,
  Unreachable,
  ReturnsError,
  Misdirected
};

struct ForwarderFixture : BatchTestFixture {
  FleetView View;
  Metrics Counts;
  std::map<ServerName, ServerBehavior> Servers;
  std::vector<std::string> RequestedServers;
  std::vector<Millis> Deadlines;
  /// Customer names that were sent to the servers.
  std::set<std::string> SentCustomers;
  /// Duration of a connection probe, and the number of probes.
  Millis ProbeDuration{1};
  int ProbeCount = 0;
  EnginePort Engines;
  std::string Target = "/desk/x";
  std::shared_ptr<Quarantine> CrashQuarantine;
  std::shared_ptr<UsageMeter> Usage;
  std::shared_ptr<Forwarder> TestedForwarder;
  UpstreamRoute Route;
  std::optional<Customer> Caller;

  ForwarderFixture() {
    noteAnswer(View.Contact, monotonicNow());
    Route.Kind = RouteKind::Idempotent;
    Route.MaxAttempts = 2;
    Route.Services = {{Desk, 1}};
    EnginePort port;
    port.Call = [this](UpstreamRegistration Server, const http::Request &,
                       SendOptions Options, Millis) {
      return call(std::move(Server), std::move(Options));
    };
    port.Probe = [this](UpstreamRegistration Server, Millis) {
      return probe(std::move(Server));
    };
    Engines = port;
    CrashQuarantine = startQuarantine(Store.port());
    TestedForwarder = Forwarder::create({Context.get_executor(), View, port,
                                         CrashQuarantine, Decisions, Counts},
                                        Forwarder::Settings());
  }
  /// Replaces the forwarder by one that meters usage.
  void enableUsageMeter() {
    UsageMeter::Settings settings;
    settings.Self = {InstanceName("edge"), 1};
    settings.Pace = Millis(1);
    settings.AppendIntervalFactor = 0;
    Usage = UsageMeter::create({Context.get_executor(), Store.port(), Decisions,
                                Counts, WallClock::create(), View.Contact},
                               settings);
    Usage->start();
    TestedForwarder =
        Forwarder::create({Context.get_executor(), View, Engines,
                           CrashQuarantine, Decisions, Counts, Usage},
                          Forwarder::Settings());
    REQUIRE(runUntil([this] { return Usage->known(); }));
  }
  /// Returns the usage of a customer that is recorded in the topic.
  std::int64_t recordedUsage(const CustomerName &Customer) {
    std::int64_t sum = 0;
    for (const std::string &it : Store.Topics[UsageTopic]) {
      UsageRecord record = decodeUsage(it, "test").value();
      const UsageBatch *batch = std::get_if<UsageBatch>(&record);
      for (std::size_t i = 0; batch != nullptr && i < batch->Entries.size();
           ++i)
        sum += batch->Entries[i].Of == Customer ? batch->Entries[i].Count : 0;
    }
    return sum;
  }
  /// Starts the quarantine of one more process.
  std::shared_ptr<Quarantine> startQuarantine(RecordStore Port) {
    FeedContext feed{Context.get_executor(), std::move(Port), Decisions, View};
    Quarantine::Settings settings;
    settings.CrashWatchInterval = Millis(5);
    settings.RetryDelay = Millis(5);
    std::shared_ptr<Quarantine> started =
        Quarantine::create(feed, Engines, Counts, settings);
    started->start();
    return started;
  }
  std::shared_ptr<UpstreamServer> server(const std::string &Id) {
    return View.Servers.Servers[ServerName(Id)];
  }
  http::Request makeRequest() const {
    http::Request request;
    request.Method = "POST";
    request.Target = Target;
    return request;
  }
  void addServer(const std::string &Id, ServerBehavior Behavior) {
    UpstreamRegistration entry;
    entry.Id = ServerName(Id);
    entry.Service = Desk;
    registerServer(View.Servers, entry);
    Servers[entry.Id] = Behavior;
  }
  asio::awaitable<Outcome<UpstreamResponse>> call(UpstreamRegistration Server,
                                                  SendOptions Options) {
    co_await pauseFor(Context.get_executor(), Millis(5));
    ServerBehavior behavior = Servers[Server.Id];
    if (behavior != ServerBehavior::Unreachable)
      RequestedServers.push_back(Server.Id.Text);
    Deadlines.push_back(*Options.Deadline);
    SentCustomers.insert(Options.Customer.Text);
    UpstreamResponse answer;
    answer.Proof = AnswerProof::Ran;
    answer.Response.Status =
        behavior == ServerBehavior::ReturnsError ? 500 : 200;
    answer.Signature = Server.Id.Text;
    if (behavior == ServerBehavior::Refuses ||
        behavior == ServerBehavior::Misdirected)
      answer.Proof = AnswerProof::NotRun;
    if (behavior == ServerBehavior::Misdirected)
      answer.Response.Status = MisdirectedStatus;
    if (behavior == ServerBehavior::LosesAnswer ||
        behavior == ServerBehavior::Crashes)
      co_return makeFailure(Verdict::MayHaveRun);
    if (behavior == ServerBehavior::Unreachable)
      co_return makeFailure(Verdict::NotRun);
    co_return answer;
  }
  /// A server that loses its answers still accepts connections.
  asio::awaitable<Outcome<ServerProbeResult>>
  probe(UpstreamRegistration Server) {
    ++ProbeCount;
    co_await pauseFor(Context.get_executor(), ProbeDuration);
    ServerBehavior behavior = Servers[Server.Id];
    bool refuses = behavior == ServerBehavior::Crashes ||
                   behavior == ServerBehavior::Unreachable;
    co_return refuses ? ServerProbeResult::RefusesConnections
                      : ServerProbeResult::Listens;
  }
  static Failure makeFailure(Verdict Run) {
    return Failure{
        Run, FailureCode::ConnectionLost, "server", "injected failure", {}};
  }
  Outcome<UpstreamResponse> sendRequest(Millis CallerTimeout = Millis(1500)) {
    std::optional<Outcome<UpstreamResponse>> got;
    asio::cancellation_signal stop;
    run([&]() -> asio::awaitable<void> {
      ForwardRequest request;
      request.Id = "r1";
      request.HttpRequest = makeRequest();
      request.ArrivedAt = monotonicNow();
      request.CallerTimeout = CallerTimeout;
      request.Caller = Caller;
      Outcome<UpstreamResponse> answer =
          co_await TestedForwarder->answer(std::move(request), Route, stop);
      got.emplace(std::move(answer));
    });
    return *got;
  }
};

} // namespace

TEST_CASE("A request that a full server refuses is sent to the next one",
          "[upstream]") {
  ForwarderFixture fixture;
  fixture.addServer("a", ServerBehavior::Refuses);
  fixture.addServer("b", ServerBehavior::Answers);
  Outcome<UpstreamResponse> got = fixture.sendRequest();
  REQUIRE(got);
  CHECK(got->Signature == "b");
}

TEST_CASE("A request is metered once if a server began to run it",
          "[upstream]") {
  struct Case {
    std::vector<ServerBehavior> Servers;
    std::int64_t ExpectedUsage;
  };
  const Case cases[] = {
      {{ServerBehavior::Answers}, 1},
      {{ServerBehavior::Refuses, ServerBehavior::Answers}, 1},
      {{ServerBehavior::Refuses, ServerBehavior::Refuses}, 0},
      {{ServerBehavior::Unreachable}, 0},
      {{ServerBehavior::Misdirected}, 0},
      {{ServerBehavior::ReturnsError}, 1},
      // Runs twice, but is one request.
      {{ServerBehavior::LosesAnswer, ServerBehavior::Answers}, 1},
      {{ServerBehavior::LosesAnswer, ServerBehavior::Refuses,
        ServerBehavior::Unreachable},
       1},
  };
  for (const Case &it : cases) {
    ForwarderFixture fixture;
    fixture.enableUsageMeter();
    fixture.Caller = Customer{CustomerName("anna"), std::nullopt};
    char id = 'a';
    for (ServerBehavior behavior : it.Servers)
      fixture.addServer(std::string(1, id++), behavior);
    fixture.sendRequest();
    fixture.Context.run_for(Millis(20));
    CHECK(fixture.recordedUsage(CustomerName("anna")) == it.ExpectedUsage);
    CHECK(fixture.SentCustomers == std::set<std::string>{"anna"});
  }
  // Anonymous requests are not metered.
  ForwarderFixture anonymous;
  anonymous.enableUsageMeter();
  anonymous.addServer("a", ServerBehavior::Answers);
  CHECK(anonymous.sendRequest());
  CHECK(anonymous.recordedUsage(CustomerName("")) == 0);
}

TEST_CASE("A request with a lost answer is repeated only if it is idempotent",
          "[upstream]") {
  ForwarderFixture fixture;
  fixture.addServer("a", ServerBehavior::LosesAnswer);
  fixture.addServer("b", ServerBehavior::Answers);
  CHECK(fixture.sendRequest());
  fixture.RequestedServers.clear();
  fixture.View.Servers.Servers[ServerName("a")]->SuspectUntil = TimePoint();
  fixture.View.Servers.Servers[ServerName("a")]->SmoothedLatencyMs = 1;
  fixture.Route.Kind = RouteKind::NonIdempotent;
  Outcome<UpstreamResponse> got = fixture.sendRequest();
  REQUIRE_FALSE(got);
  CHECK(got.failure().Run == Verdict::MayHaveRun);
  CHECK(fixture.RequestedServers == std::vector<std::string>{"a"});
}

TEST_CASE("A non-idempotent request is retried while it has not run",
          "[upstream]") {
  ForwarderFixture fixture;
  fixture.Route.Kind = RouteKind::NonIdempotent;
  fixture.addServer("a", ServerBehavior::Unreachable);
  fixture.addServer("b", ServerBehavior::Refuses);
  fixture.addServer("c", ServerBehavior::Answers);
  CHECK(fixture.sendRequest());
}

TEST_CASE("No request runs on more servers than its route allows",
          "[upstream]") {
  ForwarderFixture fixture;
  for (const char *id : {"a", "b", "c", "d"})
    fixture.addServer(id, ServerBehavior::LosesAnswer);
  Outcome<UpstreamResponse> got = fixture.sendRequest();
  REQUIRE_FALSE(got);
  CHECK(got.failure().Run == Verdict::MayHaveRun);
  CHECK(fixture.RequestedServers.size() == 2);
}

TEST_CASE("A request that no server accepted fails as not run", "[upstream]") {
  ForwarderFixture fixture;
  fixture.addServer("a", ServerBehavior::Refuses);
  fixture.addServer("b", ServerBehavior::Unreachable);
  Outcome<UpstreamResponse> got = fixture.sendRequest();
  REQUIRE_FALSE(got);
  CHECK(got.failure().Run == Verdict::NotRun);
  ForwarderFixture empty;
  got = empty.sendRequest();
  REQUIRE_FALSE(got);
  CHECK(got.failure().Run == Verdict::NotRun);
}

TEST_CASE("A server error is returned if all servers fail", "[upstream]") {
  ForwarderFixture fixture;
  fixture.addServer("a", ServerBehavior::ReturnsError);
  fixture.addServer("b", ServerBehavior::ReturnsError);
  Outcome<UpstreamResponse> got = fixture.sendRequest();
  REQUIRE(got);
  CHECK(got->Response.Status == 500);
}

TEST_CASE("Server deadlines do not exceed the time of the caller",
          "[upstream]") {
  ForwarderFixture fixture;
  fixture.addServer("a", ServerBehavior::LosesAnswer);
  fixture.addServer("b", ServerBehavior::Answers);
  CHECK(fixture.sendRequest(Millis(700)));
  REQUIRE(fixture.Deadlines.size() == 2);
  CHECK(fixture.Deadlines[0] <= Millis(700));
  CHECK(fixture.Deadlines[1] < fixture.Deadlines[0]);
}

TEST_CASE("A server whose address belongs to another one gets one request",
          "[upstream]") {
  ForwarderFixture fixture;
  fixture.addServer("a", ServerBehavior::Misdirected);
  fixture.addServer("b", ServerBehavior::Answers);
  CHECK(fixture.sendRequest());
  CHECK(fixture.sendRequest());
  CHECK(fixture.RequestedServers == std::vector<std::string>{"a", "b", "b"});
}

TEST_CASE("A request that crashes servers is quarantined after three",
          "[upstream][quarantine]") {
  ForwarderFixture fixture;
  for (const char *id : {"a", "b", "c", "d", "e", "f"})
    fixture.addServer(id, ServerBehavior::Crashes);
  Outcome<UpstreamResponse> got = fixture.sendRequest();
  REQUIRE_FALSE(got);
  CHECK(fixture.RequestedServers.size() == 2);
  // The second request crashes a third server, which may have run it.
  got = fixture.sendRequest();
  REQUIRE_FALSE(got);
  CHECK(got.failure().Run == Verdict::MayHaveRun);
  CHECK(fixture.RequestedServers.size() == 3);
  for (int i = 0; i < 3; ++i) {
    got = fixture.sendRequest();
    REQUIRE_FALSE(got);
    CHECK(got.failure().Run == Verdict::NotRun);
    CHECK(got.failure().Code == FailureCode::Quarantined);
    CHECK(got.failure().RetryAfter > Millis(60000));
  }
  CHECK(fixture.RequestedServers.size() == 3);
  // Other requests of the route are still served.
  for (auto &[id, behavior] : fixture.Servers)
    behavior = ServerBehavior::Answers;
  fixture.Target = "/desk/other";
  CHECK(fixture.sendRequest());
}

TEST_CASE("Quarantine and its end reach all processes",
          "[upstream][quarantine]") {
  ForwarderFixture fixture;
  for (const char *id : {"a", "b", "c", "d"})
    fixture.addServer(id, ServerBehavior::Crashes);
  // The store is down while servers crash; then one append is lost and one is
  // refused.
  fixture.Store.Down = true;
  fixture.sendRequest();
  fixture.sendRequest();
  fixture.Store.Down = false;
  fixture.Store.AppendFaults = {AppendFault::Lost, AppendFault::Refused};
  std::shared_ptr<Quarantine> otherQuarantine =
      fixture.startQuarantine(fixture.Store.port());
  RequestDigest digest = digestOf(fixture.makeRequest());
  CHECK(fixture.runUntil([&] {
    return otherQuarantine->crashStatus(digest) == CrashStatus::Quarantined;
  }));
  // A process that starts later reads a snapshot of the topic.
  std::shared_ptr<Quarantine> laterQuarantine =
      fixture.startQuarantine(fixture.Store.port());
  CHECK(fixture.runUntil([&] {
    return laterQuarantine->crashStatus(digest) == CrashStatus::Quarantined;
  }));
  // An answer at one process ends the quarantine at all of them.
  GuardedRequest guarded{digest, "r"};
  otherQuarantine->answered(guarded);
  CHECK(fixture.runUntil([&] {
    return laterQuarantine->crashStatus(digest) == CrashStatus::Clean &&
           fixture.CrashQuarantine->crashStatus(digest) == CrashStatus::Clean;
  }));
}

TEST_CASE("Crashes recorded concurrently by two processes are all kept",
          "[quarantine]") {
  ForwarderFixture fixture;
  for (const char *id : {"a", "b", "c"})
    fixture.addServer(id, ServerBehavior::Crashes);
  std::shared_ptr<Quarantine> otherQuarantine =
      fixture.startQuarantine(fixture.Store.port());
  std::shared_ptr<GuardedRequest> guarded = std::make_shared<GuardedRequest>(
      GuardedRequest{digestOf(fixture.makeRequest()), "r"});
  fixture.run([&]() -> asio::awaitable<void> {
    co_await fixture.CrashQuarantine->onConnectionLost(guarded,
                                                       fixture.server("a"));
    co_await otherQuarantine->onConnectionLost(guarded, fixture.server("b"));
    co_await fixture.CrashQuarantine->onConnectionLost(guarded,
                                                       fixture.server("c"));
  });
  std::shared_ptr<Quarantine> thirdQuarantine =
      fixture.startQuarantine(fixture.Store.port());
  CHECK(fixture.runUntil([&] {
    return thirdQuarantine->crashStatus(guarded->Digest) ==
           CrashStatus::Quarantined;
  }));
}

// Guards against suspects that can't have caused a crash: behind a proxy a dead
// server accepts connections and resets them until its registration lapses.
TEST_CASE("A request that begins after its server was lost is not suspect",
          "[upstream][quarantine]") {
  ForwarderFixture fixture;
  fixture.addServer("a", ServerBehavior::LosesAnswer);
  fixture.sendRequest();
  RequestDigest first = digestOf(fixture.makeRequest());
  fixture.Target = "/desk/later";
  fixture.sendRequest();
  RequestDigest later = digestOf(fixture.makeRequest());
  unregisterServer(fixture.View.Servers, ServerName("a"), monotonicNow());
  CHECK(fixture.runUntil([&] {
    return fixture.CrashQuarantine->crashStatus(first) == CrashStatus::Suspect;
  }));
  // Longer than the interval in which registrations are checked.
  fixture.run([&]() -> asio::awaitable<void> {
    co_await pauseFor(fixture.Context.get_executor(), Millis(30));
  });
  CHECK(fixture.CrashQuarantine->crashStatus(later) == CrashStatus::Clean);
}

// Guards against crashes that are not counted, since a restarted server answers
// at the address of the crashed one before the registration lapses.
TEST_CASE("A server whose address another one has taken over has crashed",
          "[upstream][quarantine]") {
  ForwarderFixture fixture;
  fixture.Route.MaxAttempts = 1;
  fixture.addServer("a", ServerBehavior::LosesAnswer);
  fixture.sendRequest();
  RequestDigest digest = digestOf(fixture.makeRequest());
  fixture.Servers[ServerName("a")] = ServerBehavior::Misdirected;
  fixture.Target = "/desk/later";
  fixture.sendRequest();
  CHECK(fixture.runUntil([&] {
    return fixture.CrashQuarantine->crashStatus(digest) == CrashStatus::Suspect;
  }));
}

TEST_CASE("Only a response to a later request shows that a server is alive",
          "[upstream]") {
  UpstreamServer server;
  TimePoint lost = TimePoint() + Millis(1000);
  noteConnectionLost(server, lost);
  noteConnectionLost(server, lost + Millis(5));
  CHECK(server.LostSince == lost);
  // The response was on its way when the server crashed.
  noteResponse(server, lost - Millis(1), 200);
  CHECK(server.LostSince == lost);
  noteResponse(server, lost + Millis(1), MisdirectedStatus);
  CHECK(server.LostSince == lost);
  noteResponse(server, lost + Millis(1), 503);
  CHECK_FALSE(server.LostSince);
}

TEST_CASE("A request whose caller disconnects during a probe is not retried",
          "[upstream][quarantine]") {
  ForwarderFixture fixture;
  fixture.addServer("a", ServerBehavior::Crashes);
  fixture.addServer("b", ServerBehavior::Answers);
  fixture.ProbeDuration = Millis(60000);
  asio::cancellation_signal stop;
  std::optional<Outcome<UpstreamResponse>> got;
  asio::co_spawn(
      fixture.Context,
      [&]() -> asio::awaitable<void> {
        ForwardRequest request;
        request.ArrivedAt = monotonicNow();
        request.HttpRequest = fixture.makeRequest();
        Outcome<UpstreamResponse> answer =
            co_await fixture.TestedForwarder->answer(std::move(request),
                                                     fixture.Route, stop);
        got.emplace(std::move(answer));
      },
      asio::detached);
  REQUIRE(fixture.runUntil([&] { return fixture.ProbeCount == 1; }));
  stop.emit(asio::cancellation_type::terminal);
  REQUIRE(fixture.runUntil([&] { return got.has_value(); }));
  REQUIRE_FALSE(*got);
  CHECK(got->failure().Code == FailureCode::Cancelled);
  CHECK(fixture.RequestedServers == std::vector<std::string>{"a"});
}

TEST_CASE("A lost answer of a live server does not make a request suspect",
          "[upstream][quarantine]") {
  ForwarderFixture fixture;
  for (const char *id : {"a", "b"})
    fixture.addServer(id, ServerBehavior::LosesAnswer);
  for (int i = 0; i < 4; ++i)
    fixture.sendRequest();
  CHECK(fixture.RequestedServers.size() == 8);
  CHECK(fixture.CrashQuarantine->crashStatus(digestOf(fixture.makeRequest())) ==
        CrashStatus::Clean);
}

TEST_CASE("A server whose registration is removed counts as crashed",
          "[quarantine]") {
  ForwarderFixture fixture;
  fixture.addServer("a", ServerBehavior::LosesAnswer);
  std::shared_ptr<GuardedRequest> guarded = std::make_shared<GuardedRequest>(
      GuardedRequest{digestOf(fixture.makeRequest()), "r"});
  std::shared_ptr<UpstreamServer> server = fixture.server("a");
  fixture.run([&]() -> asio::awaitable<void> {
    co_await fixture.CrashQuarantine->onConnectionLost(guarded, server);
  });
  CHECK(fixture.CrashQuarantine->crashStatus(guarded->Digest) ==
        CrashStatus::Clean);
  server->UnregisteredAt = monotonicNow();
  CHECK(fixture.runUntil([&] {
    return fixture.CrashQuarantine->crashStatus(guarded->Digest) ==
           CrashStatus::Suspect;
  }));
}

TEST_CASE("Other requests avoid servers that run a suspect",
          "[upstream][quarantine]") {
  ForwarderFixture fixture;
  fixture.addServer("a", ServerBehavior::Answers);
  fixture.addServer("b", ServerBehavior::Answers);
  std::shared_ptr<GuardedRequest> guarded = std::make_shared<GuardedRequest>(
      GuardedRequest{RequestDigest("suspect"), "s"});
  CHECK_FALSE(fixture.CrashQuarantine->trackSuspectRun(guarded->Digest,
                                                       {ServerName("a"), 0}));
  fixture.addServer("gone", ServerBehavior::Crashes);
  fixture.run([&]() -> asio::awaitable<void> {
    co_await fixture.CrashQuarantine->onConnectionLost(guarded,
                                                       fixture.server("gone"));
  });
  fixture.View.Servers.Servers.erase(ServerName("gone"));
  std::unique_ptr<Quarantine::SuspectRun> suspectRun =
      fixture.CrashQuarantine->trackSuspectRun(guarded->Digest,
                                               {ServerName("a"), 0});
  REQUIRE(suspectRun);
  for (int i = 0; i < 3; ++i)
    CHECK(fixture.sendRequest());
  CHECK(fixture.RequestedServers == std::vector<std::string>{"b", "b", "b"});
  // Unless there is no other server.
  fixture.View.Servers.Servers.erase(ServerName("b"));
  CHECK(fixture.sendRequest());
  suspectRun.reset();
  CHECK(fixture.CrashQuarantine->suspectServers().empty());
}

TEST_CASE("A refusal has a Retry-After header", "[upstream]") {
  http::Response answer = makeRefusalResponse("full", Millis(250));
  CHECK(answer.Status == 503);
  CHECK(answer.header("Retry-After") == "0.250");
}

// Guards against attempts that count as in flight forever, and so make a server
// look full and ever slower.
TEST_CASE("No attempt is in flight after its end", "[upstream]") {
  for (ServerBehavior behavior :
       {ServerBehavior::Answers, ServerBehavior::Refuses,
        ServerBehavior::Crashes, ServerBehavior::LosesAnswer,
        ServerBehavior::Unreachable, ServerBehavior::ReturnsError,
        ServerBehavior::Misdirected}) {
    ForwarderFixture fixture;
    fixture.addServer("a", behavior);
    fixture.addServer("b", behavior);
    fixture.sendRequest();
    for (const char *id : {"a", "b"}) {
      CHECK(fixture.server(id)->InFlight == 0);
      CHECK(fixture.server(id)->AttemptStarts.empty());
    }
  }
}

// Guards against trials beyond their budget, and against changes that the
// operator can't see.
TEST_CASE("A slow server gets one of twenty requests of repeatable routes",
          "[upstream]") {
  ForwarderFixture fixture;
  fixture.addServer("a", ServerBehavior::Answers);
  fixture.addServer("b", ServerBehavior::Answers);
  fixture.sendRequest();
  Counter &trials = fixture.Counts.counter(
      "trial_requests_total",
      "Requests sent to a slow server to find its recovery");
  Counter &slow = fixture.Counts.counter(
      "server_slow_changes_total",
      "Times that a server started or stopped being treated as slow",
      {{"state", "slow"}});
  // Not aged, so that the test does not depend on the time that it takes.
  fixture.server("a")->SmoothedLatencyMs = 10000;
  fixture.server("a")->LatencyMeasuredAt.reset();
  fixture.Route.Kind = RouteKind::NonIdempotent;
  fixture.RequestedServers.clear();
  for (int i = 0; i < 25; ++i)
    fixture.sendRequest();
  CHECK(trials.value() == 0);
  CHECK(fixture.RequestedServers == std::vector<std::string>(25, "b"));
  CHECK(slow.value() == 1);
  fixture.Route.Kind = RouteKind::Idempotent;
  int sent = 0;
  for (; trials.value() == 0 && sent < 40; ++sent)
    fixture.sendRequest();
  // The request before the slowdown counts, too; sums of 0.05 are rounded.
  CHECK(sent >= 19);
  CHECK(sent <= 21);
  CHECK(fixture.RequestedServers.back() == "a");
}

} // namespace wasabi::batchtest
