#include "Wasabi/Upstream/Forwarder.h"
#include "UnitTests/Batch/BatchFixture.h"

namespace wasabi::batchtest {

namespace {

namespace asio = boost::asio;

const ServiceName Desk("desk");

/// What a server does with a request.
enum class Answering : std::uint8_t {
  Whole,
  Full,
  /// Its process ends while it runs the request.
  Crashes,
  Lost,
  Unreachable,
  Fails,
  Misdirected
};

struct ForwardWorld : BatchTestFixture {
  FleetView View;
  Metrics Counts;
  std::map<ServerName, Answering> Servers;
  std::vector<std::string> Asked;
  std::vector<Millis> Deadlines;
  /// Whose requests the servers were told they are.
  std::set<std::string> Customers;
  /// How long a connect takes, and how many there were.
  Millis ProbeTime{1};
  int Probes = 0;
  EnginePort Port;
  std::string Target = "/desk/x";
  std::shared_ptr<Quarantine> Crashes;
  std::shared_ptr<UsageMeter> Usage;
  std::shared_ptr<Forwarder> Forward;
  UpstreamRoute Route;
  std::optional<Customer> By;

  ForwardWorld() {
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
    Port = port;
    Crashes = quarantine(Store.port());
    Forward = Forwarder::create(
        {Context.get_executor(), View, port, Crashes, Decisions, Counts},
        Forwarder::Settings());
  }
  /// Lets the forwarder count requests for their customers.
  void countUsage() {
    UsageMeter::Settings counting;
    counting.Self = {InstanceName("edge"), 1};
    counting.Pace = Millis(1);
    counting.AppendIntervalFactor = 0;
    Usage = UsageMeter::create({Context.get_executor(), Store.port(), Decisions,
                                Counts, WallClock::create(), View.Contact},
                               counting);
    Usage->start();
    Forward = Forwarder::create(
        {Context.get_executor(), View, Port, Crashes, Decisions, Counts, Usage},
        Forwarder::Settings());
    REQUIRE(runUntil([this] { return Usage->known(); }));
  }
  /// Requests of a customer that are counted, as the topic has it.
  std::int64_t counted(const CustomerName &Of) {
    std::int64_t sum = 0;
    for (const std::string &it : Store.Topics[UsageTopic]) {
      UsageRecord record = decodeUsage(it, "test").value();
      const UsageBatch *batch = std::get_if<UsageBatch>(&record);
      for (std::size_t i = 0; batch != nullptr && i < batch->Entries.size();
           ++i)
        sum += batch->Entries[i].Of == Of ? batch->Entries[i].Count : 0;
    }
    return sum;
  }
  /// What one more process knows of requests that end servers.
  std::shared_ptr<Quarantine> quarantine(RecordStore At) {
    FeedContext feed{Context.get_executor(), std::move(At), Decisions, View};
    Quarantine::Settings limits;
    limits.CrashWatchInterval = Millis(5);
    limits.RetryDelay = Millis(5);
    std::shared_ptr<Quarantine> crashes =
        Quarantine::create(feed, Port, Counts, limits);
    crashes->start();
    return crashes;
  }
  std::shared_ptr<UpstreamServer> server(const std::string &Id) {
    return View.Servers.Servers[ServerName(Id)];
  }
  http::Request request() const {
    http::Request ask;
    ask.Method = "POST";
    ask.Target = Target;
    return ask;
  }
  void add(const std::string &Id, Answering How) {
    UpstreamRegistration entry;
    entry.Id = ServerName(Id);
    entry.Service = Desk;
    registerServer(View.Servers, entry);
    Servers[entry.Id] = How;
  }
  asio::awaitable<Outcome<UpstreamResponse>> call(UpstreamRegistration Server,
                                                  SendOptions Options) {
    co_await pauseFor(Context.get_executor(), Millis(5));
    Answering how = Servers[Server.Id];
    if (how != Answering::Unreachable)
      Asked.push_back(Server.Id.Text);
    Deadlines.push_back(*Options.Deadline);
    Customers.insert(Options.Customer.Text);
    UpstreamResponse answer;
    answer.Proof = AnswerProof::Ran;
    answer.Response.Status = how == Answering::Fails ? 500 : 200;
    answer.Signature = Server.Id.Text;
    if (how == Answering::Full || how == Answering::Misdirected)
      answer.Proof = AnswerProof::NotRun;
    if (how == Answering::Misdirected)
      answer.Response.Status = MisdirectedStatus;
    if (how == Answering::Lost || how == Answering::Crashes)
      co_return failure(Verdict::MayHaveRun);
    if (how == Answering::Unreachable)
      co_return failure(Verdict::NotRun);
    co_return answer;
  }
  /// A server whose answers are lost takes connections still.
  asio::awaitable<Outcome<ServerProbeResult>>
  probe(UpstreamRegistration Server) {
    ++Probes;
    co_await pauseFor(Context.get_executor(), ProbeTime);
    Answering how = Servers[Server.Id];
    bool refuses = how == Answering::Crashes || how == Answering::Unreachable;
    co_return refuses ? ServerProbeResult::RefusesConnections
                      : ServerProbeResult::Listens;
  }
  static Failure failure(Verdict Run) {
    return Failure{Run, FailureCode::ConnectionLost, "server", "as told", {}};
  }
  Outcome<UpstreamResponse> ask(Millis Patience = Millis(1500)) {
    std::optional<Outcome<UpstreamResponse>> got;
    asio::cancellation_signal stop;
    run([&]() -> asio::awaitable<void> {
      ForwardRequest what;
      what.Id = "r1";
      what.HttpRequest = request();
      what.ArrivedAt = monotonicNow();
      what.CallerTimeout = Patience;
      what.Caller = By;
      Outcome<UpstreamResponse> answer =
          co_await Forward->answer(std::move(what), Route, stop);
      got.emplace(std::move(answer));
    });
    return *got;
  }
};

} // namespace

TEST_CASE("A full server sends the request to the next one", "[upstream]") {
  ForwardWorld world;
  world.add("a", Answering::Full);
  world.add("b", Answering::Whole);
  Outcome<UpstreamResponse> got = world.ask();
  REQUIRE(got);
  CHECK(got->Signature == "b");
}

TEST_CASE("A request counts once for its customer, if a server began to run it",
          "[upstream]") {
  struct Case {
    std::vector<Answering> Servers;
    std::int64_t Counted;
  };
  const Case cases[] = {
      {{Answering::Whole}, 1},
      {{Answering::Full, Answering::Whole}, 1},
      {{Answering::Full, Answering::Full}, 0},
      {{Answering::Unreachable}, 0},
      {{Answering::Misdirected}, 0},
      {{Answering::Fails}, 1},
      // It runs twice, and is one request.
      {{Answering::Lost, Answering::Whole}, 1},
      {{Answering::Lost, Answering::Full, Answering::Unreachable}, 1},
  };
  for (const Case &it : cases) {
    ForwardWorld world;
    world.countUsage();
    world.By = Customer{CustomerName("anna"), std::nullopt};
    char id = 'a';
    for (Answering how : it.Servers)
      world.add(std::string(1, id++), how);
    world.ask();
    world.Context.run_for(Millis(20));
    CHECK(world.counted(CustomerName("anna")) == it.Counted);
    CHECK(world.Customers == std::set<std::string>{"anna"});
  }
  // Nobody's request counts for nobody.
  ForwardWorld open;
  open.countUsage();
  open.add("a", Answering::Whole);
  CHECK(open.ask());
  CHECK(open.counted(CustomerName("")) == 0);
}

TEST_CASE("A lost answer is asked for again only where that is allowed",
          "[upstream]") {
  ForwardWorld world;
  world.add("a", Answering::Lost);
  world.add("b", Answering::Whole);
  CHECK(world.ask());
  world.Asked.clear();
  world.View.Servers.Servers[ServerName("a")]->SuspectUntil = TimePoint();
  world.View.Servers.Servers[ServerName("a")]->SmoothedLatencyMs = 1;
  world.Route.Kind = RouteKind::NonIdempotent;
  Outcome<UpstreamResponse> got = world.ask();
  REQUIRE_FALSE(got);
  CHECK(got.failure().Run == Verdict::MayHaveRun);
  CHECK(world.Asked == std::vector<std::string>{"a"});
}

TEST_CASE("A request that may not be repeated goes on while it has not run",
          "[upstream]") {
  ForwardWorld world;
  world.Route.Kind = RouteKind::NonIdempotent;
  world.add("a", Answering::Unreachable);
  world.add("b", Answering::Full);
  world.add("c", Answering::Whole);
  CHECK(world.ask());
}

TEST_CASE("No request runs on more servers than its route allows",
          "[upstream]") {
  ForwardWorld world;
  for (const char *id : {"a", "b", "c", "d"})
    world.add(id, Answering::Lost);
  Outcome<UpstreamResponse> got = world.ask();
  REQUIRE_FALSE(got);
  CHECK(got.failure().Run == Verdict::MayHaveRun);
  CHECK(world.Asked.size() == 2);
}

TEST_CASE("When no server took it, the answer says that it has not run",
          "[upstream]") {
  ForwardWorld world;
  world.add("a", Answering::Full);
  world.add("b", Answering::Unreachable);
  Outcome<UpstreamResponse> got = world.ask();
  REQUIRE_FALSE(got);
  CHECK(got.failure().Run == Verdict::NotRun);
  ForwardWorld empty;
  got = empty.ask();
  REQUIRE_FALSE(got);
  CHECK(got.failure().Run == Verdict::NotRun);
}

TEST_CASE("A server's failure is passed on when no other does better",
          "[upstream]") {
  ForwardWorld world;
  world.add("a", Answering::Fails);
  world.add("b", Answering::Fails);
  Outcome<UpstreamResponse> got = world.ask();
  REQUIRE(got);
  CHECK(got->Response.Status == 500);
}

TEST_CASE("Servers are handed no more time than the caller has", "[upstream]") {
  ForwardWorld world;
  world.add("a", Answering::Lost);
  world.add("b", Answering::Whole);
  CHECK(world.ask(Millis(700)));
  REQUIRE(world.Deadlines.size() == 2);
  CHECK(world.Deadlines[0] <= Millis(700));
  CHECK(world.Deadlines[1] < world.Deadlines[0]);
}

TEST_CASE("A server whose address another has is asked once", "[upstream]") {
  ForwardWorld world;
  world.add("a", Answering::Misdirected);
  world.add("b", Answering::Whole);
  CHECK(world.ask());
  CHECK(world.ask());
  CHECK(world.Asked == std::vector<std::string>{"a", "b", "b"});
}

TEST_CASE("A request that ends servers gets no more than three",
          "[upstream][quarantine]") {
  ForwardWorld world;
  for (const char *id : {"a", "b", "c", "d", "e", "f"})
    world.add(id, Answering::Crashes);
  Outcome<UpstreamResponse> got = world.ask();
  REQUIRE_FALSE(got);
  CHECK(world.Asked.size() == 2);
  // Its second attempt ends one more, and that one may have run it.
  got = world.ask();
  REQUIRE_FALSE(got);
  CHECK(got.failure().Run == Verdict::MayHaveRun);
  CHECK(world.Asked.size() == 3);
  for (int i = 0; i < 3; ++i) {
    got = world.ask();
    REQUIRE_FALSE(got);
    CHECK(got.failure().Run == Verdict::NotRun);
    CHECK(got.failure().Code == FailureCode::Quarantined);
    CHECK(got.failure().RetryAfter > Millis(60000));
  }
  CHECK(world.Asked.size() == 3);
  // Another request of the route is served on.
  for (auto &[id, how] : world.Servers)
    how = Answering::Whole;
  world.Target = "/desk/other";
  CHECK(world.ask());
}

TEST_CASE("What one process has seen of a request holds at all others",
          "[upstream][quarantine]") {
  ForwardWorld world;
  for (const char *id : {"a", "b", "c", "d"})
    world.add(id, Answering::Crashes);
  // The store is away while servers end, and a record is lost on its way.
  world.Store.Down = true;
  world.ask();
  world.ask();
  world.Store.Down = false;
  world.Store.AppendFaults = {AppendFault::Lost, AppendFault::Refused};
  std::shared_ptr<Quarantine> other = world.quarantine(world.Store.port());
  RequestDigest digest = digestOf(world.request());
  CHECK(world.runUntil(
      [&] { return other->crashStatus(digest) == CrashStatus::Quarantined; }));
  // One that starts later, when the topic's records are gone but for the newest
  // of each key.
  std::shared_ptr<Quarantine> later = world.quarantine(world.Store.port());
  CHECK(world.runUntil(
      [&] { return later->crashStatus(digest) == CrashStatus::Quarantined; }));
  // A server's answer, at any of them, takes it back at all.
  GuardedRequest guard{digest, "r"};
  other->answered(guard);
  CHECK(world.runUntil([&] {
    return later->crashStatus(digest) == CrashStatus::Clean &&
           world.Crashes->crashStatus(digest) == CrashStatus::Clean;
  }));
}

TEST_CASE("Processes that write of one request at once lose no end",
          "[quarantine]") {
  ForwardWorld world;
  for (const char *id : {"a", "b", "c"})
    world.add(id, Answering::Crashes);
  std::shared_ptr<Quarantine> other = world.quarantine(world.Store.port());
  std::shared_ptr<GuardedRequest> guard = std::make_shared<GuardedRequest>(
      GuardedRequest{digestOf(world.request()), "r"});
  world.run([&]() -> asio::awaitable<void> {
    co_await world.Crashes->onConnectionLost(guard, world.server("a"));
    co_await other->onConnectionLost(guard, world.server("b"));
    co_await world.Crashes->onConnectionLost(guard, world.server("c"));
  });
  std::shared_ptr<Quarantine> third = world.quarantine(world.Store.port());
  CHECK(world.runUntil([&] {
    return third->crashStatus(guard->Digest) == CrashStatus::Quarantined;
  }));
}

TEST_CASE("A caller who leaves while an end is looked at gets no other server",
          "[upstream][quarantine]") {
  ForwardWorld world;
  world.add("a", Answering::Crashes);
  world.add("b", Answering::Whole);
  world.ProbeTime = Millis(60000);
  asio::cancellation_signal stop;
  std::optional<Outcome<UpstreamResponse>> got;
  asio::co_spawn(
      world.Context,
      [&]() -> asio::awaitable<void> {
        ForwardRequest what;
        what.ArrivedAt = monotonicNow();
        what.HttpRequest = world.request();
        Outcome<UpstreamResponse> answer =
            co_await world.Forward->answer(std::move(what), world.Route, stop);
        got.emplace(std::move(answer));
      },
      asio::detached);
  REQUIRE(world.runUntil([&] { return world.Probes == 1; }));
  stop.emit(asio::cancellation_type::terminal);
  REQUIRE(world.runUntil([&] { return got.has_value(); }));
  REQUIRE_FALSE(*got);
  CHECK(got->failure().Code == FailureCode::Cancelled);
  CHECK(world.Asked == std::vector<std::string>{"a"});
}

TEST_CASE("A lost answer of a server that goes on counts against nobody",
          "[upstream][quarantine]") {
  ForwardWorld world;
  for (const char *id : {"a", "b"})
    world.add(id, Answering::Lost);
  for (int i = 0; i < 4; ++i)
    world.ask();
  CHECK(world.Asked.size() == 8);
  CHECK(world.Crashes->crashStatus(digestOf(world.request())) ==
        CrashStatus::Clean);
}

TEST_CASE("A server whose end shows by its registration only has ended",
          "[quarantine]") {
  ForwardWorld world;
  world.add("a", Answering::Lost);
  std::shared_ptr<GuardedRequest> guard = std::make_shared<GuardedRequest>(
      GuardedRequest{digestOf(world.request()), "r"});
  std::shared_ptr<UpstreamServer> server = world.server("a");
  world.run([&]() -> asio::awaitable<void> {
    co_await world.Crashes->onConnectionLost(guard, server);
  });
  CHECK(world.Crashes->crashStatus(guard->Digest) == CrashStatus::Clean);
  server->UnregisteredAt = monotonicNow();
  CHECK(world.runUntil([&] {
    return world.Crashes->crashStatus(guard->Digest) == CrashStatus::Suspect;
  }));
}

TEST_CASE("Suspects are kept apart, and others away from them",
          "[upstream][quarantine]") {
  ForwardWorld world;
  world.add("a", Answering::Whole);
  world.add("b", Answering::Whole);
  std::shared_ptr<GuardedRequest> guard = std::make_shared<GuardedRequest>(
      GuardedRequest{RequestDigest("suspect"), "s"});
  CHECK_FALSE(
      world.Crashes->trackSuspectRun(guard->Digest, {ServerName("a"), 0}));
  world.add("gone", Answering::Crashes);
  world.run([&]() -> asio::awaitable<void> {
    co_await world.Crashes->onConnectionLost(guard, world.server("gone"));
  });
  world.View.Servers.Servers.erase(ServerName("gone"));
  std::unique_ptr<Quarantine::SuspectRun> at =
      world.Crashes->trackSuspectRun(guard->Digest, {ServerName("a"), 0});
  REQUIRE(at);
  for (int i = 0; i < 3; ++i)
    CHECK(world.ask());
  CHECK(world.Asked == std::vector<std::string>{"b", "b", "b"});
  // Unless there is no other.
  world.View.Servers.Servers.erase(ServerName("b"));
  CHECK(world.ask());
  at.reset();
  CHECK(world.Crashes->suspectServers().empty());
}

TEST_CASE("A refusal tells when to come back", "[upstream]") {
  http::Response answer = makeRefusalResponse("full", Millis(250));
  CHECK(answer.Status == 503);
  CHECK(answer.header("Retry-After") == "0.250");
}

} // namespace wasabi::batchtest
