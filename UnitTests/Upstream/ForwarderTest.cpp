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
  Lost,
  Unreachable,
  Fails,
  Misdirected
};

struct ForwardWorld : BatchWorld {
  FleetView View;
  Metrics Counts;
  std::map<ServerName, Answering> Servers;
  std::vector<std::string> Asked;
  std::vector<Millis> Deadlines;
  std::shared_ptr<Forwarder> Forward;
  UpstreamRoute Route;

  ForwardWorld() {
    noteAnswer(View.Contact, monotonicNow());
    Route.Kind = RouteKind::Idempotent;
    Route.MaxAttempts = 2;
    Route.Services = {{Desk, 1}};
    EnginePort port;
    port.Call = [this](UpstreamEntry Server, const http::Request &,
                       SendOptions Options, Millis) {
      return call(std::move(Server), std::move(Options));
    };
    Forward = Forwarder::create(Context.get_executor(), View, port, Decisions,
                                Counts, Forwarder::Settings());
  }
  void add(const std::string &Id, Answering How) {
    UpstreamEntry entry;
    entry.Id = ServerName(Id);
    entry.Service = Desk;
    registerServer(View.Servers, entry);
    Servers[entry.Id] = How;
  }
  asio::awaitable<Outcome<UpstreamAnswer>> call(UpstreamEntry Server,
                                                SendOptions Options) {
    co_await pauseFor(Context.get_executor(), Millis(5));
    Answering how = Servers[Server.Id];
    if (how != Answering::Unreachable)
      Asked.push_back(Server.Id.Text);
    Deadlines.push_back(*Options.Deadline);
    UpstreamAnswer answer;
    answer.Proof = AnswerProof::Ran;
    answer.Response.Status = how == Answering::Fails ? 500 : 200;
    answer.Signature = Server.Id.Text;
    if (how == Answering::Full || how == Answering::Misdirected)
      answer.Proof = AnswerProof::NotRun;
    if (how == Answering::Misdirected)
      answer.Response.Status = MisdirectedStatus;
    if (how == Answering::Lost)
      co_return failure(Verdict::MayHaveRun);
    if (how == Answering::Unreachable)
      co_return failure(Verdict::NotRun);
    co_return answer;
  }
  static Failure failure(Verdict Run) {
    return Failure{Run, FailureCode::ConnectionLost, "server", "as told", {}};
  }
  Outcome<UpstreamAnswer> ask(Millis Patience = Millis(1500)) {
    std::optional<Outcome<UpstreamAnswer>> got;
    asio::cancellation_signal stop;
    run([&]() -> asio::awaitable<void> {
      ForwardRequest what;
      what.Id = "r1";
      what.Arrived = monotonicNow();
      what.Patience = Patience;
      Outcome<UpstreamAnswer> answer =
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
  Outcome<UpstreamAnswer> got = world.ask();
  REQUIRE(got);
  CHECK(got->Signature == "b");
}

TEST_CASE("A lost answer is asked for again only where that is allowed",
          "[upstream]") {
  ForwardWorld world;
  world.add("a", Answering::Lost);
  world.add("b", Answering::Whole);
  CHECK(world.ask());
  world.Asked.clear();
  world.View.Servers.Servers[ServerName("a")]->SuspectUntil = TimePoint();
  world.View.Servers.Servers[ServerName("a")]->AnswerMs = 1;
  world.Route.Kind = RouteKind::NonIdempotent;
  Outcome<UpstreamAnswer> got = world.ask();
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
  Outcome<UpstreamAnswer> got = world.ask();
  REQUIRE_FALSE(got);
  CHECK(got.failure().Run == Verdict::MayHaveRun);
  CHECK(world.Asked.size() == 2);
}

TEST_CASE("When no server took it, the answer says that it has not run",
          "[upstream]") {
  ForwardWorld world;
  world.add("a", Answering::Full);
  world.add("b", Answering::Unreachable);
  Outcome<UpstreamAnswer> got = world.ask();
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
  Outcome<UpstreamAnswer> got = world.ask();
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

TEST_CASE("A refusal tells when to come back", "[upstream]") {
  http::Response answer = refusal("full", Millis(250));
  CHECK(answer.Status == 503);
  CHECK(answer.header("Retry-After") == "0.250");
}

} // namespace wasabi::batchtest
