/// \file
/// Second attempts of slow requests: the policy without a network, and the
/// forwarder with fake servers.
#include "Wasabi/Upstream/Hedging.h"
#include "UnitTests/Batch/BatchFixture.h"
#include "Wasabi/Upstream/Forwarder.h"

#include <algorithm>
#include <random>

namespace wasabi::batchtest {

namespace {

namespace asio = boost::asio;

const ServiceName Desk("desk");
const CustomerName Anna("anna");
/// Latency target of the callers' lookups.
constexpr Millis LatencyTarget{150};
/// Maximum share of requests that are hedged.
constexpr double MaxHedgeShare = 0.05;
/// Time in which work for a caller that has disconnected must stop.
constexpr Millis MaxWorkAfterCallerLeft{500};
/// Time of a server that does not answer within any request's deadline.
constexpr Millis Hangs{60000};

enum class Reply : std::uint8_t {
  Answers,
  ReturnsError,
  /// Refuses the request, which has not run.
  Refuses,
  Unreachable,
  /// The response belongs to another request or is not signed.
  Unproven,
  LosesAnswer,
  /// Its process ends while it runs the request.
  Crashes,
};

bool mayHaveRun(Reply Kind) {
  return Kind != Reply::Refuses && Kind != Reply::Unreachable;
}

struct FakeServer {
  Reply Kind = Reply::Answers;
  /// Time from the request to the reply.
  Millis Delay{1};
  /// True if calls go on after their cancellation.
  bool IgnoresCancellation = false;
  /// True if the reply is sent at the next notification of `Gate`.
  bool IsGated = false;
};

/// One call to a fake server.
struct CallRecord {
  std::string Server;
  std::string Target;
  /// Time left for the request, as sent to the server.
  Millis Deadline{0};
  TimePoint Start;
  Reply Kind = Reply::Answers;
  /// True if the server has sent its reply.
  bool HasReplied = false;
  /// End of the call by a reply, a timeout or cancellation.
  std::optional<TimePoint> End;
};

/// Records the end of a call when its coroutine is destroyed.
class CallEnd {
public:
  explicit CallEnd(std::shared_ptr<CallRecord> Call) : Call(std::move(Call)) {}
  CallEnd(const CallEnd &) = delete;
  CallEnd &operator=(const CallEnd &) = delete;
  ~CallEnd() { Call->End = monotonicNow(); }

private:
  const std::shared_ptr<CallRecord> Call;
};

/// A request that is being answered.
struct PendingAnswer {
  asio::cancellation_signal Stop;
  TimePoint Start;
  std::optional<Outcome<UpstreamResponse>> Got;
  /// Time from the request to its answer.
  Micros Took{0};
};

struct HedgingFixture : BatchTestFixture {
  FleetView View;
  Metrics Counts;
  std::map<ServerName, FakeServer> Servers;
  std::vector<std::shared_ptr<CallRecord>> Calls;
  EnginePort Engines;
  std::shared_ptr<Quarantine> CrashQuarantine;
  std::shared_ptr<UsageMeter> Usage;
  std::shared_ptr<Forwarder> TestedForwarder;
  UpstreamRoute Route;
  std::string Target = "/desk/x";
  Forwarder::Settings Limits;
  AsyncSignal Gate{Context.get_executor()};

  /// The forwarder starts with enough budget for `Budget` hedges.
  explicit HedgingFixture(std::uint32_t Budget = 1) {
    noteAnswer(View.Contact, monotonicNow());
    Route.Name = "lookups";
    Route.Kind = RouteKind::Idempotent;
    Route.MaxAttempts = 2;
    Route.LatencyTarget = LatencyTarget;
    Route.Timeout = Millis(1500);
    Route.Services = {{Desk, 1}};
    Engines.Call = [this](UpstreamRegistration Server, http::Request Request,
                          SendOptions Options, Millis Timeout) {
      return call(std::move(Server), std::move(Request), std::move(Options),
                  Timeout);
    };
    Engines.Probe = [this](UpstreamRegistration Server, Millis) {
      return probe(std::move(Server));
    };
    FeedContext feed{Context.get_executor(), Store.port(), Decisions, View};
    CrashQuarantine =
        Quarantine::create(feed, Engines, Counts, Quarantine::Settings());
    makeForwarder();
    earnBudget(Budget);
  }

  void makeForwarder() {
    TestedForwarder =
        Forwarder::create({Context.get_executor(), View, Engines,
                           CrashQuarantine, Decisions, Counts, Usage},
                          Limits);
  }

  /// Replaces the forwarder by one that meters usage.
  void enableUsageMeter(std::uint32_t Budget = 1) {
    UsageMeter::Settings settings;
    settings.Self = {InstanceName("edge"), 1};
    settings.Pace = Millis(1);
    settings.AppendIntervalFactor = 0;
    Usage = UsageMeter::create({Context.get_executor(), Store.port(), Decisions,
                                Counts, WallClock::create(), View.Contact},
                               settings);
    Usage->start();
    makeForwarder();
    earnBudget(Budget);
    REQUIRE(runUntil([this] { return Usage->known(); }));
  }

  /// Returns the usage that is recorded in the topic.
  std::int64_t recordedUsage() {
    std::int64_t sum = 0;
    for (const std::string &it : Store.Topics[UsageTopic]) {
      UsageRecord record = decodeUsage(it, "test").value();
      if (const UsageBatch *batch = std::get_if<UsageBatch>(&record))
        for (const UsageEntry &entry : batch->Entries)
          sum += entry.Of == Anna ? entry.Count : 0;
    }
    return sum;
  }

  /// Sends requests that fail at once, for want of a server, until the budget
  /// allows `Hedges` hedges.
  void earnBudget(std::uint32_t Hedges) {
    // One more than 20 per hedge: sums of 0.05 are inexact.
    for (std::uint32_t i = 0; Hedges > 0 && i < 20 * Hedges + 1; ++i)
      CHECK_FALSE(sendRequest());
  }

  /// Adds a server that is expected to take `ExpectedMs` for a request.
  void addServer(const std::string &Id, FakeServer Behavior,
                 double ExpectedMs) {
    UpstreamRegistration entry;
    entry.Id = ServerName(Id);
    entry.Service = Desk;
    entry.Slots = 100;
    registerServer(View.Servers, entry);
    Servers[entry.Id] = Behavior;
    server(Id).SmoothedLatencyMs = ExpectedMs;
  }
  /// Adds two servers of which `first` is chosen first: it is in the preferred
  /// failure domain, and the other one is not slow enough to get a trial.
  void addTwoServers(FakeServer First, FakeServer Second) {
    View.Domain = DomainName("near");
    addServer("first", First, 5);
    addServer("second", Second, 6);
    server("first").Entry.Domain = View.Domain;
    server("second").Entry.Domain = DomainName("far");
  }

  UpstreamServer &server(const std::string &Id) {
    return *View.Servers.Servers[ServerName(Id)];
  }

  asio::awaitable<Outcome<UpstreamResponse>> call(UpstreamRegistration Server,
                                                  http::Request Request,
                                                  SendOptions Options,
                                                  Millis Timeout) {
    FakeServer behavior = Servers[Server.Id];
    std::shared_ptr<CallRecord> record = std::make_shared<CallRecord>();
    record->Server = Server.Id.Text;
    record->Target = Request.Target;
    record->Deadline = *Options.Deadline;
    record->Start = monotonicNow();
    record->Kind = behavior.Kind;
    Calls.push_back(record);
    CallEnd end(record);
    BootTimer timer(Context, std::min(behavior.Delay, Timeout));
    if (behavior.IsGated)
      co_await Gate.wait(monotonicNow() + Timeout);
    else if (behavior.IgnoresCancellation)
      co_await timer.async_wait(asio::bind_cancellation_slot(
          asio::cancellation_slot(), asio::as_tuple(asio::use_awaitable)));
    else
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (behavior.Delay > Timeout)
      co_return Failure{Verdict::MayHaveRun, FailureCode::TimedOut, "server",
                        "no answer in time", Millis(0)};
    record->HasReplied = true;
    bool isLost =
        behavior.Kind == Reply::LosesAnswer || behavior.Kind == Reply::Crashes;
    if (isLost || behavior.Kind == Reply::Unreachable)
      co_return Failure{isLost ? Verdict::MayHaveRun : Verdict::NotRun,
                        FailureCode::ConnectionLost, "server",
                        "injected failure", Millis(0)};
    UpstreamResponse answer;
    answer.Proof = AnswerProof::Ran;
    answer.Response.Status = behavior.Kind == Reply::ReturnsError ? 500 : 200;
    answer.Response.Body = Server.Id.Text + Request.Target;
    answer.Signature = Server.Id.Text;
    if (behavior.Kind == Reply::Refuses) {
      answer.Proof = AnswerProof::NotRun;
      answer.Response.Status = 503;
    }
    if (behavior.Kind == Reply::Unproven)
      answer.Proof = AnswerProof::Unknown;
    co_return answer;
  }

  /// A server that crashes refuses connections.
  asio::awaitable<Outcome<ServerProbeResult>>
  probe(UpstreamRegistration Server) {
    co_await pauseFor(Context.get_executor(), Millis(1));
    Reply kind = Servers[Server.Id].Kind;
    co_return kind == Reply::Crashes || kind == Reply::Unreachable
        ? ServerProbeResult::RefusesConnections
        : ServerProbeResult::Listens;
  }

  std::shared_ptr<PendingAnswer>
  startRequest(Millis CallerTimeout = Millis(1500)) {
    std::shared_ptr<PendingAnswer> pending = std::make_shared<PendingAnswer>();
    ForwardRequest request;
    request.Id = "r";
    request.HttpRequest.Method = "POST";
    request.HttpRequest.Target = Target;
    request.Caller = Customer{Anna, std::nullopt};
    request.ArrivedAt = monotonicNow();
    request.CallerTimeout = CallerTimeout;
    pending->Start = request.ArrivedAt;
    asio::co_spawn(Context, awaitAnswer(std::move(request), pending),
                   asio::detached);
    return pending;
  }
  asio::awaitable<void> awaitAnswer(ForwardRequest Request,
                                    std::shared_ptr<PendingAnswer> Pending) {
    Outcome<UpstreamResponse> got = co_await TestedForwarder->answer(
        std::move(Request), Route, Pending->Stop);
    Pending->Took = monotonicNow() - Pending->Start;
    Pending->Got.emplace(std::move(got));
  }
  Outcome<UpstreamResponse> sendRequest(Millis CallerTimeout = Millis(1500)) {
    return *finish(startRequest(CallerTimeout))->Got;
  }
  std::shared_ptr<PendingAnswer>
  finish(std::shared_ptr<PendingAnswer> Pending) {
    REQUIRE(runUntil([&] { return Pending->Got.has_value(); }));
    return Pending;
  }

  std::uint64_t count(const char *Name) {
    return Counts.counter(Name, "").value();
  }
  std::vector<std::string> calledServers() const {
    std::vector<std::string> names;
    names.reserve(Calls.size());
    for (const std::shared_ptr<CallRecord> &it : Calls)
      names.push_back(it->Server);
    return names;
  }
  bool hasOpenCalls() const {
    return std::any_of(
        Calls.begin(), Calls.end(),
        [](const std::shared_ptr<CallRecord> &Each) { return !Each->End; });
  }
  /// Checks that no server counts as running a request of this process.
  void checkNothingInFlight() {
    for (const auto &[name, server] : View.Servers.Servers)
      CHECK(server->InFlight == 0);
    CHECK(CrashQuarantine->suspectServers().empty());
  }
  RequestDigest digest() const {
    http::Request request;
    request.Method = "POST";
    request.Target = Target;
    return digestOf(request, Anna);
  }
};

using Names = std::vector<std::string>;

UpstreamRoute makeRoute(RouteKind Kind, std::uint32_t MaxAttempts) {
  UpstreamRoute route;
  route.Name = "lookups";
  route.Kind = Kind;
  route.MaxAttempts = MaxAttempts;
  route.LatencyTarget = LatencyTarget;
  return route;
}

} // namespace

//===--- Policy -----------------------------------------------------------===//

TEST_CASE("The hedge delay is the 95th percentile of the recent latencies",
          "[upstream][hedging]") {
  // Guards against hedging usual latencies, and against a delay that leaves no
  // time for the second attempt.
  UpstreamRoute route = makeRoute(RouteKind::Idempotent, 2);
  Hedging state = makeHedging(Hedging::Settings());
  CHECK(hedgeDelay(state, route, Desk) == LatencyTarget / 2);
  for (int i = 1; i <= 19; ++i)
    addLatency(state, route.Name, Desk, 20 + i);
  // Too few latencies are known.
  CHECK(hedgeDelay(state, route, Desk) == LatencyTarget / 2);
  addLatency(state, route.Name, Desk, 40);
  CHECK(hedgeDelay(state, route, Desk) == Millis(39));
  // Other routes and services have latencies of their own.
  CHECK(hedgeDelay(state, route, ServiceName("other")) == LatencyTarget / 2);
  UpstreamRoute other = route;
  other.Name = "other";
  CHECK(hedgeDelay(state, other, Desk) == LatencyTarget / 2);
  // Old latencies are forgotten, and the delay stays within its limits.
  for (int i = 0; i < 100; ++i)
    addLatency(state, route.Name, Desk, 500);
  CHECK(hedgeDelay(state, route, Desk) == LatencyTarget / 2);
  for (int i = 0; i < 100; ++i)
    addLatency(state, route.Name, Desk, 1);
  CHECK(hedgeDelay(state, route, Desk) == Millis(10));
  CHECK(state.Latencies.at({route.Name, Desk}).Samples.size() ==
        Hedging::Settings().MaxSamples);
  // Half of a short target is shorter than the minimum.
  route.LatencyTarget = Millis(8);
  CHECK(hedgeDelay(state, route, Desk) == Millis(4));
}

TEST_CASE("A small share of slow requests does not raise the hedge delay",
          "[upstream][hedging]") {
  // Guards against a delay that the slow requests to be hedged determine.
  UpstreamRoute route = makeRoute(RouteKind::Idempotent, 2);
  Hedging state = makeHedging(Hedging::Settings());
  for (int i = 0; i < 100; ++i)
    addLatency(state, route.Name, Desk, i % 25 == 0 ? 70 : 20);
  CHECK(hedgeDelay(state, route, Desk) == Millis(20));
}

TEST_CASE("The budget never allows more hedges than 5% of the requests",
          "[upstream][hedging]") {
  // Guards against an initial or saved budget that exceeds the share at
  // processes with few requests, and against bursts after quiet periods.
  Hedging state = makeHedging(Hedging::Settings());
  std::uint32_t hedges = 0;
  for (std::uint32_t requests = 1; requests <= 1000; ++requests) {
    addRequest(state);
    if (canSpend(state.Budget)) {
      state.Budget = spend(state.Budget);
      ++hedges;
    }
    CHECK(hedges <= MaxHedgeShare * requests);
  }
  CHECK(hedges >= 45);
  for (std::uint32_t i = 0; i < 1000; ++i)
    addRequest(state);
  for (hedges = 0; canSpend(state.Budget); ++hedges)
    state.Budget = spend(state.Budget);
  CHECK(hedges == 3);
}

TEST_CASE("Only clean requests that may run once more are hedged",
          "[upstream][hedging]") {
  // Guards against a second run of a request that must not run twice, and
  // against crashes of several servers at once.
  UpstreamRoute route = makeRoute(RouteKind::Idempotent, 3);
  CHECK(mayHedge(route, 1, CrashStatus::Clean));
  CHECK(mayHedge(route, 2, CrashStatus::Clean));
  CHECK_FALSE(mayHedge(route, 3, CrashStatus::Clean));
  CHECK_FALSE(mayHedge(route, 1, CrashStatus::Suspect));
  CHECK_FALSE(mayHedge(route, 1, CrashStatus::Quarantined));
  for (RouteKind kind :
       {RouteKind::NonIdempotent, RouteKind::Streaming, RouteKind::Rollout})
    CHECK_FALSE(mayHedge(makeRoute(kind, 3), 1, CrashStatus::Clean));
  CHECK_FALSE(
      mayHedge(makeRoute(RouteKind::Idempotent, 1), 1, CrashStatus::Clean));
}

TEST_CASE("A hedge must be expected to answer first and in time",
          "[upstream][hedging]") {
  // Guards against second attempts that only add load.
  HedgeCandidate candidate{.AgeMs = 50,
                           .FirstExpectedMs = 20,
                           .SecondExpectedMs = 20,
                           .RemainingMs = 500};
  CHECK(isHedgeUseful(candidate));
  candidate.SecondExpectedMs = 60;
  CHECK_FALSE(isHedgeUseful(candidate));
  candidate.FirstExpectedMs = 200;
  CHECK(isHedgeUseful(candidate));
  candidate.RemainingMs = 55;
  CHECK_FALSE(isHedgeUseful(candidate));
}

//===--- Forwarder --------------------------------------------------------===//

TEST_CASE("A request at a hanging or slow server is answered by another one",
          "[upstream][hedging]") {
  // Guards against requests that miss their target because of one server.
  for (Millis delay : {Hangs, 4 * LatencyTarget}) {
    HedgingFixture fixture;
    fixture.addTwoServers({Reply::Answers, delay}, {Reply::Answers, Millis(5)});
    std::shared_ptr<PendingAnswer> sent =
        fixture.finish(fixture.startRequest());
    REQUIRE(*sent->Got);
    CHECK((*sent->Got)->Response.Body == "second/desk/x");
    CHECK(sent->Took < 2 * LatencyTarget);
    CHECK(fixture.calledServers() == Names{"first", "second"});
    CHECK(fixture.count("hedges_started_total") == 1);
    CHECK(fixture.count("hedges_won_total") == 1);
  }
}

TEST_CASE("A trial at a server that is still slow does not delay its caller",
          "[upstream][hedging]") {
  // Guards against callers that pay for finding out whether a server has
  // recovered.
  HedgingFixture fixture(0);
  fixture.addServer("fast", {Reply::Answers, Millis(5)}, 5);
  fixture.addServer("slow", {Reply::Answers, LatencyTarget * 2}, 300);
  for (int i = 0; i < 40; ++i) {
    std::shared_ptr<PendingAnswer> sent =
        fixture.finish(fixture.startRequest());
    REQUIRE(*sent->Got);
    CHECK(sent->Took < LatencyTarget);
  }
  CHECK(fixture.count("trial_requests_total") >= 1);
  CHECK(fixture.count("hedges_won_total") ==
        fixture.count("trial_requests_total"));
}

TEST_CASE("A request that is answered in the usual time is not hedged",
          "[upstream][hedging]") {
  // Guards against load that healthy servers don't need.
  HedgingFixture fixture;
  fixture.addTwoServers({Reply::Answers, Millis(5)}, {});
  for (int i = 0; i < 30; ++i)
    CHECK(fixture.sendRequest());
  CHECK(fixture.count("hedges_started_total") ==
        fixture.Calls.size() - std::size_t(30));
  CHECK(fixture.count("hedges_started_total") <= 30 * MaxHedgeShare + 1);
}

TEST_CASE("Hedges stay at 5% of the requests when all servers are slow",
          "[upstream][hedging]") {
  // Guards against an overload that hedges double.
  HedgingFixture fixture(0);
  fixture.Route.LatencyTarget = Millis(40);
  for (const char *id : {"a", "b", "c", "d"})
    fixture.addServer(id, {Reply::Answers, Millis(60)}, 1);
  constexpr std::size_t Rounds = 20;
  constexpr std::size_t RequestsPerRound = 10;
  for (std::size_t round = 1; round <= Rounds; ++round) {
    // The estimates of the servers never show that they are slow, so that only
    // the budget limits the hedges.
    for (auto &[name, server] : fixture.View.Servers.Servers)
      server->SmoothedLatencyMs = 1;
    std::vector<std::shared_ptr<PendingAnswer>> pending;
    for (std::size_t i = 0; i < RequestsPerRound; ++i)
      pending.push_back(fixture.startRequest());
    for (const std::shared_ptr<PendingAnswer> &it : pending)
      CHECK(*fixture.finish(it)->Got);
    std::size_t sent = round * RequestsPerRound;
    CHECK(fixture.count("hedges_started_total") <=
          MaxHedgeShare * static_cast<double>(sent));
    CHECK(fixture.Calls.size() == sent + fixture.count("hedges_started_total"));
  }
  CHECK(fixture.count("hedges_started_total") > 0);
  CHECK(fixture.count("hedges_suppressed_total") > 0);
  fixture.checkNothingInFlight();
}

TEST_CASE("Servers that are known to be slow are not hedged against each other",
          "[upstream][hedging]") {
  // Guards against spending the budget where no server is faster.
  HedgingFixture fixture;
  fixture.Route.LatencyTarget = Millis(40);
  for (const char *id : {"a", "b"})
    fixture.addServer(id, {Reply::Answers, Millis(80)}, 200);
  CHECK(fixture.sendRequest());
  CHECK(fixture.Calls.size() == 1);
  CHECK(fixture.count("hedges_suppressed_total") == 0);
}

TEST_CASE("The slower attempt is cancelled within 10 ms and leaves no trace",
          "[upstream][hedging]") {
  // Guards against work that goes on for an answered request, and against
  // counts that keep requests away from a server.
  std::vector<Micros> delays;
  constexpr std::size_t Repetitions = 5;
  for (std::size_t i = 0; i < Repetitions; ++i) {
    HedgingFixture fixture;
    fixture.addTwoServers({Reply::Answers, Hangs}, {Reply::Answers, Millis(5)});
    std::shared_ptr<PendingAnswer> pending = fixture.startRequest();
    fixture.finish(pending);
    // The counts are correct once the answer is returned.
    fixture.checkNothingInFlight();
    REQUIRE(fixture.runUntil([&] { return !fixture.hasOpenCalls(); }));
    delays.push_back(*fixture.Calls[0]->End - *fixture.Calls[1]->End);
    CHECK_FALSE(fixture.Calls[0]->HasReplied);
    fixture.checkNothingInFlight();
    // Being cancelled is no failure, but evidence of the latency.
    UpstreamServer &slow = fixture.server("first");
    CHECK(slow.Failures == 0);
    CHECK(slow.SuspectUntil == TimePoint());
    CHECK(slow.SmoothedLatencyMs > 5);
  }
  // The median, so that a pause of the test's process isn't taken for a slow
  // cancellation.
  std::sort(delays.begin(), delays.end());
  CHECK(delays[Repetitions / 2] <= Millis(10));
}

TEST_CASE("The first attempt's answer wins if it arrives before the second's",
          "[upstream][hedging]") {
  // Guards against an answer that is withheld because a hedge is in flight.
  HedgingFixture fixture;
  fixture.addTwoServers({Reply::Answers, LatencyTarget * 3 / 4},
                        {Reply::Answers, Hangs});
  std::shared_ptr<PendingAnswer> sent = fixture.finish(fixture.startRequest());
  REQUIRE(*sent->Got);
  CHECK((*sent->Got)->Signature == "first");
  CHECK(sent->Took < 2 * LatencyTarget);
  CHECK(fixture.calledServers() == Names{"first", "second"});
  CHECK(fixture.count("hedges_started_total") == 1);
  CHECK(fixture.count("hedges_won_total") == 0);
  fixture.checkNothingInFlight();
  CHECK(fixture.runUntil([&] { return !fixture.hasOpenCalls(); }));
}

TEST_CASE("The failure of one attempt does not end the other one",
          "[upstream][hedging]") {
  // Guards against a request that fails although a server answers it.
  const Reply failures[] = {Reply::ReturnsError, Reply::Refuses,
                            Reply::Unreachable,  Reply::Unproven,
                            Reply::LosesAnswer,  Reply::Crashes};
  // The hedge starts after half of the target.
  constexpr Millis SoonAfterHedge = LatencyTarget / 2 + Millis(10);
  for (Reply failure : failures) {
    INFO("failure " << static_cast<int>(failure));
    HedgingFixture first;
    first.addTwoServers({failure, SoonAfterHedge},
                        {Reply::Answers, Millis(60)});
    Outcome<UpstreamResponse> got = first.sendRequest();
    REQUIRE(got);
    CHECK(got->Response.Body == "second/desk/x");
    CHECK(first.calledServers() == Names{"first", "second"});
    first.checkNothingInFlight();
    HedgingFixture second;
    second.addTwoServers({Reply::Answers, SoonAfterHedge + Millis(50)},
                         {failure, Millis(10)});
    got = second.sendRequest();
    REQUIRE(got);
    CHECK(got->Response.Body == "first/desk/x");
    CHECK(second.calledServers() == Names{"first", "second"});
    second.checkNothingInFlight();
  }
}

TEST_CASE("If both attempts fail the verdict covers both",
          "[upstream][hedging]") {
  // Guards against the verdict "not run" for a request that ran.
  struct Case {
    Reply First;
    Reply Second;
    Verdict Expected;
  };
  const Case cases[] = {
      {Reply::Refuses, Reply::Refuses, Verdict::NotRun},
      {Reply::Refuses, Reply::Unreachable, Verdict::NotRun},
      {Reply::LosesAnswer, Reply::Refuses, Verdict::MayHaveRun},
      {Reply::Refuses, Reply::LosesAnswer, Verdict::MayHaveRun},
      {Reply::LosesAnswer, Reply::LosesAnswer, Verdict::MayHaveRun},
      {Reply::Unproven, Reply::Unreachable, Verdict::MayHaveRun},
  };
  for (const Case &it : cases) {
    INFO("replies " << static_cast<int>(it.First) << " and "
                    << static_cast<int>(it.Second));
    HedgingFixture fixture;
    fixture.enableUsageMeter();
    fixture.addTwoServers({it.First, LatencyTarget},
                          {it.Second, LatencyTarget / 4});
    Outcome<UpstreamResponse> got = fixture.sendRequest(Millis(400));
    REQUIRE_FALSE(got);
    CHECK(got.failure().Run == it.Expected);
    CHECK(fixture.count("hedges_started_total") == 1);
    fixture.checkNothingInFlight();
    fixture.Context.run_for(Millis(20));
    CHECK(fixture.recordedUsage() == (it.Expected == Verdict::NotRun ? 0 : 1));
  }
  // A server error is an answer.
  HedgingFixture fixture;
  fixture.addTwoServers({Reply::ReturnsError, LatencyTarget},
                        {Reply::LosesAnswer, LatencyTarget / 4});
  Outcome<UpstreamResponse> got = fixture.sendRequest();
  REQUIRE(got);
  CHECK(got->Response.Status == 500);
}

TEST_CASE("Attempts that end at the same time are both recorded",
          "[upstream][hedging]") {
  // Guards against the result of one attempt that hides or undoes that of the
  // other: two answers, lost usage, a wrong verdict.
  struct Case {
    Reply First;
    Reply Second;
    /// The server of the answer; empty if there is none.
    std::string Answered;
    std::int64_t ExpectedUsage;
  };
  const Case cases[] = {
      {Reply::Answers, Reply::Answers, "first", 1},
      {Reply::Answers, Reply::LosesAnswer, "first", 1},
      {Reply::Refuses, Reply::Answers, "second", 1},
      {Reply::LosesAnswer, Reply::Answers, "second", 1},
      {Reply::ReturnsError, Reply::Answers, "second", 1},
      {Reply::Refuses, Reply::LosesAnswer, "", 1},
      {Reply::Unreachable, Reply::Unreachable, "", 0},
  };
  for (const Case &it : cases) {
    INFO("replies " << static_cast<int>(it.First) << " and "
                    << static_cast<int>(it.Second));
    HedgingFixture fixture;
    fixture.enableUsageMeter();
    fixture.addTwoServers(
        {.Kind = it.First, .Delay = Millis(0), .IsGated = true},
        {.Kind = it.Second, .Delay = Millis(0), .IsGated = true});
    std::shared_ptr<PendingAnswer> pending = fixture.startRequest(Millis(500));
    REQUIRE(fixture.runUntil([&] { return fixture.Calls.size() == 2; }));
    fixture.Gate.notify();
    // Retries are replied to as well.
    REQUIRE(fixture.runUntil([&] {
      fixture.Gate.notify();
      return pending->Got.has_value();
    }));
    const Outcome<UpstreamResponse> &got = *pending->Got;
    CHECK((got ? got->Signature : "") == it.Answered);
    if (!got)
      CHECK((got.failure().Run == Verdict::NotRun) == (it.ExpectedUsage == 0));
    fixture.checkNothingInFlight();
    fixture.Context.run_for(Millis(20));
    CHECK(fixture.recordedUsage() == it.ExpectedUsage);
  }
}

TEST_CASE("Usage of a hedged request is counted once", "[upstream][hedging]") {
  // Guards against customers that pay for the attempts of the system.
  const Reply firstReplies[] = {Reply::Answers, Reply::Refuses,
                                Reply::LosesAnswer};
  for (Reply reply : firstReplies) {
    HedgingFixture fixture;
    fixture.enableUsageMeter();
    // The first attempt ends while the second one is in flight, or is
    // cancelled.
    fixture.addTwoServers({reply, reply == Reply::Answers
                                      ? Hangs
                                      : LatencyTarget / 2 + Millis(10)},
                          {Reply::Answers, Millis(40)});
    CHECK(fixture.sendRequest());
    CHECK(fixture.count("hedges_started_total") == 1);
    fixture.Context.run_for(Millis(20));
    CHECK(fixture.recordedUsage() == 1);
  }
}

TEST_CASE("A server that crashes during a hedge is examined",
          "[upstream][hedging][quarantine]") {
  // Guards against crashes that are not counted against their request because
  // another attempt is in flight.
  HedgingFixture fixture;
  fixture.addTwoServers({Reply::Crashes, LatencyTarget * 3 / 4},
                        {Reply::Answers, LatencyTarget});
  std::shared_ptr<PendingAnswer> pending = fixture.startRequest();
  REQUIRE(fixture.runUntil([&] {
    return fixture.CrashQuarantine->crashStatus(fixture.digest()) ==
           CrashStatus::Suspect;
  }));
  CHECK_FALSE(pending->Got);
  // From now on other requests avoid the other server.
  CHECK(fixture.runUntil([&] {
    return fixture.CrashQuarantine->suspectServers() ==
           std::set<ServerIncarnation>{{ServerName("second"), 0}};
  }));
  REQUIRE(*fixture.finish(pending)->Got);
  CHECK(fixture.CrashQuarantine->crashStatus(fixture.digest()) ==
        CrashStatus::Clean);
  CHECK(fixture.count("server_ends_total") == 1);
  fixture.checkNothingInFlight();
}

TEST_CASE("A hedged request that crashes servers is quarantined after three",
          "[upstream][hedging][quarantine]") {
  // Guards against hedges that let a request crash more servers than without
  // them.
  HedgingFixture fixture(3);
  fixture.Route.MaxAttempts = 8;
  for (const char *id : {"a", "b", "c", "d", "e", "f"})
    fixture.addServer(id, {Reply::Crashes, LatencyTarget}, 5);
  Outcome<UpstreamResponse> got = fixture.sendRequest();
  REQUIRE_FALSE(got);
  CHECK(got.failure().Run == Verdict::MayHaveRun);
  CHECK(got.failure().Code == FailureCode::Quarantined);
  CHECK(fixture.Calls.size() == 3);
  CHECK(fixture.count("hedges_started_total") == 1);
  fixture.checkNothingInFlight();
}

TEST_CASE("Requests that must not be hedged get one attempt at a time",
          "[upstream][hedging]") {
  // Guards against a second run of a non-idempotent request, and against
  // further crashes by a suspect.
  constexpr Millis Slow = LatencyTarget;
  for (RouteKind kind : {RouteKind::NonIdempotent, RouteKind::Streaming}) {
    HedgingFixture fixture;
    fixture.Route.Kind = kind;
    fixture.addTwoServers({Reply::Answers, Slow}, {});
    CHECK(fixture.sendRequest());
    CHECK(fixture.calledServers() == Names{"first"});
  }
  HedgingFixture single;
  single.Route.MaxAttempts = 1;
  single.addTwoServers({Reply::Answers, Slow}, {});
  CHECK(single.sendRequest());
  CHECK(single.calledServers() == Names{"first"});
  HedgingFixture suspect;
  suspect.addTwoServers({Reply::Answers, Slow}, {});
  suspect.addServer("gone", {Reply::Crashes}, 5);
  suspect.run([&]() -> asio::awaitable<void> {
    std::shared_ptr<GuardedRequest> guarded =
        std::make_shared<GuardedRequest>(GuardedRequest{suspect.digest(), "r"});
    co_await suspect.CrashQuarantine->onConnectionLost(
        guarded, suspect.View.Servers.Servers[ServerName("gone")]);
  });
  REQUIRE(suspect.CrashQuarantine->crashStatus(suspect.digest()) ==
          CrashStatus::Suspect);
  suspect.View.Servers.Servers.erase(ServerName("gone"));
  CHECK(suspect.sendRequest());
  CHECK(suspect.calledServers() == Names{"first"});
  suspect.checkNothingInFlight();
}

TEST_CASE("A request that becomes suspect while in flight is not hedged",
          "[upstream][hedging][quarantine]") {
  // Guards against a crash of a second server by a request that another
  // process or caller has found to crash servers.
  HedgingFixture fixture;
  fixture.addTwoServers({Reply::Answers, LatencyTarget}, {});
  std::shared_ptr<PendingAnswer> pending = fixture.startRequest();
  REQUIRE(fixture.runUntil([&] { return fixture.Calls.size() == 1; }));
  // A slow server that is known earlier could get the request as a trial.
  fixture.addServer("gone", {Reply::Crashes}, 1000);
  fixture.run([&]() -> asio::awaitable<void> {
    std::shared_ptr<GuardedRequest> guarded = std::make_shared<GuardedRequest>(
        GuardedRequest{fixture.digest(), "other"});
    co_await fixture.CrashQuarantine->onConnectionLost(
        guarded, fixture.View.Servers.Servers[ServerName("gone")]);
  });
  REQUIRE(fixture.CrashQuarantine->crashStatus(fixture.digest()) ==
          CrashStatus::Suspect);
  CHECK(*fixture.finish(pending)->Got);
  CHECK(fixture.calledServers() == Names{"first"});
}

TEST_CASE("Draining, full and suspect servers get no hedges",
          "[upstream][hedging]") {
  // Guards against hedges that add load where it can't be served.
  for (int reason = 0; reason < 3; ++reason) {
    HedgingFixture fixture;
    fixture.addTwoServers({Reply::Answers, LatencyTarget}, {});
    UpstreamServer &second = fixture.server("second");
    if (reason == 0)
      second.Entry.Draining = true;
    if (reason == 1)
      second.InFlight = second.Entry.Slots;
    if (reason == 2)
      second.SuspectUntil = monotonicNow() + Millis(10000);
    CHECK(fixture.sendRequest());
    CHECK(fixture.calledServers() == Names{"first"});
  }
}

TEST_CASE("If the caller leaves during a hedge both attempts are cancelled",
          "[upstream][hedging]") {
  // Guards against work for a caller that has disconnected.
  HedgingFixture fixture;
  fixture.addTwoServers({Reply::Answers, Hangs}, {Reply::Answers, Hangs});
  std::shared_ptr<PendingAnswer> pending = fixture.startRequest();
  REQUIRE(fixture.runUntil([&] { return fixture.Calls.size() == 2; }));
  fixture.addServer("third", {}, 1000);
  CHECK(fixture.server("first").InFlight == 1);
  CHECK(fixture.server("second").InFlight == 1);
  pending->Stop.emit(asio::cancellation_type::terminal);
  TimePoint left = monotonicNow();
  fixture.finish(pending);
  REQUIRE_FALSE(*pending->Got);
  CHECK(pending->Got->failure().Code == FailureCode::Cancelled);
  CHECK(pending->Got->failure().Run == Verdict::MayHaveRun);
  fixture.checkNothingInFlight();
  REQUIRE(fixture.runUntil([&] { return !fixture.hasOpenCalls(); }));
  CHECK(fixture.Calls.size() == 2);
  for (const std::shared_ptr<CallRecord> &it : fixture.Calls)
    CHECK(*it->End - left < MaxWorkAfterCallerLeft);
  for (const char *id : {"first", "second"})
    CHECK(fixture.server(id).Failures == 0);
  // A later emission has no effect on a request that is over.
  pending->Stop.emit(asio::cancellation_type::terminal);
}

TEST_CASE("A hedge carries no more time than its caller has left",
          "[upstream][hedging]") {
  // Guards against servers that work on a request after its deadline.
  HedgingFixture fixture;
  fixture.addTwoServers({Reply::Answers, Hangs}, {Reply::Answers, Millis(5)});
  std::shared_ptr<PendingAnswer> sent =
      fixture.finish(fixture.startRequest(Millis(700)));
  CHECK(*sent->Got);
  REQUIRE(fixture.Calls.size() == 2);
  for (const std::shared_ptr<CallRecord> &it : fixture.Calls)
    CHECK(it->Start + it->Deadline <= sent->Start + Millis(700));
  // Deadlines are whole milliseconds.
  Micros passed = fixture.Calls[1]->Start - fixture.Calls[0]->Start;
  CHECK(fixture.Calls[1]->Deadline <=
        fixture.Calls[0]->Deadline - passed + Millis(1));
}

TEST_CASE("No hedge starts that its caller can't wait for",
          "[upstream][hedging]") {
  // Guards against attempts at or after the deadline.
  // The deadline is the end of the hedge delay, or shortly after it.
  for (Millis timeout : {LatencyTarget / 2, LatencyTarget / 2 + Millis(35)}) {
    HedgingFixture fixture;
    fixture.addTwoServers({Reply::Answers, Hangs},
                          {Reply::Answers, Millis(20)});
    Outcome<UpstreamResponse> got = fixture.sendRequest(timeout);
    REQUIRE_FALSE(got);
    CHECK(got.failure().Run == Verdict::MayHaveRun);
    CHECK(fixture.count("hedges_started_total") == 0);
  }
}

TEST_CASE("A late answer is not taken for that of another request",
          "[upstream][hedging]") {
  // Guards against answers of cancelled attempts that reach later requests or
  // change their counts.
  HedgingFixture fixture;
  FakeServer late{Reply::Answers, LatencyTarget * 3 / 2};
  late.IgnoresCancellation = true;
  fixture.addTwoServers(late, {Reply::Answers, Millis(5)});
  fixture.Target = "/desk/one";
  Outcome<UpstreamResponse> one = fixture.sendRequest();
  REQUIRE(one);
  CHECK(one->Response.Body == "second/desk/one");
  fixture.checkNothingInFlight();
  REQUIRE(fixture.hasOpenCalls());
  // The late answer arrives while the next request is in flight.
  fixture.server("first").SmoothedLatencyMs = 5;
  fixture.Servers[ServerName("first")] = {Reply::Answers, LatencyTarget};
  fixture.Target = "/desk/two";
  std::shared_ptr<PendingAnswer> two = fixture.startRequest();
  REQUIRE(fixture.runUntil([&] { return fixture.Calls[0]->End.has_value(); }));
  CHECK(fixture.Calls[0]->HasReplied);
  CHECK_FALSE(two->Got);
  CHECK(fixture.server("first").InFlight == 1);
  REQUIRE(*fixture.finish(two)->Got);
  CHECK((*two->Got)->Response.Body == "first/desk/two");
  fixture.checkNothingInFlight();
}

TEST_CASE("Attempts in any order keep the limits of their request",
          "[upstream][hedging]") {
  // Guards against orders of events that the other tests don't have: more runs
  // than allowed, more than two attempts at a time, a wrong verdict, answers of
  // other requests, leaked counts and usage.
  constexpr std::uint64_t Seed = 20261203;
  std::mt19937_64 random(Seed);
  HedgingFixture fixture(0);
  // Allows each request several hedges.
  fixture.Limits.Hedges.Budget.TokensPerSuccess = 3;
  fixture.enableUsageMeter(0);
  fixture.Route.LatencyTarget = Millis(20);
  const Reply kinds[] = {Reply::Answers,     Reply::Answers,
                         Reply::Answers,     Reply::ReturnsError,
                         Reply::Refuses,     Reply::Unreachable,
                         Reply::LosesAnswer, Reply::Unproven};
  std::int64_t expectedUsage = 0;
  for (int round = 0; round < 100; ++round) {
    INFO("seed " << Seed << ", round " << round);
    fixture.View.Servers.Servers.clear();
    fixture.Calls.clear();
    fixture.Route.MaxAttempts = 1 + random() % 4;
    fixture.Target = "/desk/" + std::to_string(round);
    for (const char *id : {"a", "b", "c", "d", "e"})
      fixture.addServer(id,
                        {kinds[random() % std::size(kinds)],
                         Millis(1 + random() % 40), random() % 4 == 0},
                        1 + static_cast<double>(random() % 5));
    std::shared_ptr<PendingAnswer> pending =
        fixture.startRequest(Millis(60 + random() % 200));
    bool callerLeaves = random() % 8 == 0;
    Millis leavesAfter(1 + random() % 40);
    if (callerLeaves) {
      fixture.runUntil([&] {
        return pending->Got || monotonicNow() > pending->Start + leavesAfter;
      });
      pending->Stop.emit(asio::cancellation_type::terminal);
    }
    fixture.finish(pending);
    fixture.checkNothingInFlight();
    REQUIRE(fixture.runUntil([&] { return !fixture.hasOpenCalls(); }));
    std::size_t runs = 0;
    for (const std::shared_ptr<CallRecord> &it : fixture.Calls)
      runs += mayHaveRun(it->Kind) || !it->HasReplied ? 1 : 0;
    CHECK(runs <= fixture.Route.MaxAttempts);
    for (const std::shared_ptr<CallRecord> &it : fixture.Calls)
      CHECK(std::count_if(fixture.Calls.begin(), fixture.Calls.end(),
                          [&](const std::shared_ptr<CallRecord> &Other) {
                            return Other->Start <= it->Start &&
                                   *Other->End > it->Start;
                          }) <= 2);
    const Outcome<UpstreamResponse> &got = *pending->Got;
    if (got)
      CHECK(got->Response.Body == got->Signature + fixture.Target);
    else if (got.failure().Run == Verdict::NotRun)
      CHECK(runs == 0);
    else
      CHECK((runs > 0 || callerLeaves));
    // A caller that leaves is charged for attempts that were cancelled.
    fixture.Context.run_for(Millis(5));
    std::int64_t used = fixture.recordedUsage() - expectedUsage;
    CHECK(used <= 1);
    if (!callerLeaves)
      CHECK(used == (runs > 0 ? 1 : 0));
    expectedUsage += used;
  }
  CHECK(fixture.count("hedges_started_total") >= 20);
}

} // namespace wasabi::batchtest
