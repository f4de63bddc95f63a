/// \file
/// Isolated runs of suspects at two processes that share a store.
#include "UnitTests/Batch/BatchFixture.h"
#include "Wasabi/Quarantine/Quarantine.h"

namespace wasabi::batchtest {

namespace {

namespace asio = boost::asio;

using IsolatedRunPtr = std::unique_ptr<Quarantine::IsolatedRun>;

/// A process with its own view of the servers.
struct QuarantineProcess {
  FleetView View;
  Metrics Counts;
  std::shared_ptr<Quarantine> Crashes;
  int Selections = 0;

  /// Returns the first server that runs no suspect, in the order of names.
  std::shared_ptr<UpstreamServer> selectServer() {
    ++Selections;
    std::set<ServerIncarnation> suspects = Crashes->suspectServers();
    for (const auto &[id, server] : View.Servers.Servers) {
      if (!suspects.contains(server->Entry.incarnation()))
        return server;
    }
    return nullptr;
  }
};

struct IsolatedRunFixture : BatchTestFixture {
  QuarantineProcess Left;
  QuarantineProcess Right;
  std::shared_ptr<GuardedRequest> Poison = std::make_shared<GuardedRequest>(
      GuardedRequest{RequestDigest("poison"), "r1"});
  std::shared_ptr<GuardedRequest> Steady = std::make_shared<GuardedRequest>(
      GuardedRequest{RequestDigest("steady"), "r2"});

  IsolatedRunFixture() {
    start(Left);
    start(Right);
  }
  void start(QuarantineProcess &Process) {
    EnginePort port;
    port.Probe = [](const UpstreamRegistration &,
                    Millis) -> asio::awaitable<Outcome<ServerProbeResult>> {
      co_return ServerProbeResult::RefusesConnections;
    };
    FeedContext feed{Context.get_executor(), Store.port(), Decisions,
                     Process.View};
    Process.Crashes =
        Quarantine::create(feed, port, Process.Counts, Quarantine::Settings());
    Process.Crashes->start();
  }
  void addServer(const std::string &Id) {
    for (QuarantineProcess *it : {&Left, &Right}) {
      UpstreamRegistration entry;
      entry.Id = ServerName(Id);
      entry.Start = 1;
      registerServer(it->View.Servers, entry);
    }
  }
  void removeServer(const std::string &Id) {
    for (QuarantineProcess *it : {&Left, &Right})
      it->View.Servers.Servers.erase(ServerName(Id));
  }
  /// Crashes servers under a request at one process.
  void crash(QuarantineProcess &Process,
             const std::shared_ptr<GuardedRequest> &Request,
             const std::vector<std::string> &Servers) {
    for (const std::string &id : Servers)
      run([&]() -> asio::awaitable<void> {
        co_await Process.Crashes->onConnectionLost(
            Request, Process.View.Servers.Servers[ServerName(id)]);
      });
  }
  /// Makes both requests suspect: they ran on the same two servers, each sent
  /// by another process.
  void crashBoth() {
    for (const char *id : {"x", "y"})
      addServer(id);
    crash(Left, Poison, {"x", "y"});
    crash(Right, Steady, {"x", "y"});
    for (const char *id : {"x", "y"})
      removeServer(id);
  }
  /// Starts to claim a server; `Got` is set at the end.
  void isolate(QuarantineProcess &Process,
               const std::shared_ptr<GuardedRequest> &Request,
               std::optional<Outcome<IsolatedRunPtr>> &Got) {
    asio::co_spawn(
        Context,
        [&Process, Request, &Got]() -> asio::awaitable<void> {
          Quarantine::SelectServer select = [&Process] {
            return Process.selectServer();
          };
          Outcome<IsolatedRunPtr> got = co_await Process.Crashes->isolate(
              Request, monotonicNow() + Millis(10000), std::move(select));
          Got.emplace(std::move(got));
        },
        asio::detached);
  }
};

} // namespace

TEST_CASE("A request is isolated from its second crash on", "[quarantine]") {
  IsolatedRunFixture fixture;
  fixture.addServer("x");
  fixture.addServer("y");
  fixture.crash(fixture.Left, fixture.Poison, {"x"});
  CHECK_FALSE(fixture.Left.Crashes->needsIsolation(fixture.Poison->Digest));
  fixture.crash(fixture.Left, fixture.Poison, {"y"});
  CHECK(fixture.Left.Crashes->needsIsolation(fixture.Poison->Digest));
  // The other process learns of it.
  CHECK(fixture.runUntil([&] {
    return fixture.Right.Crashes->needsIsolation(fixture.Poison->Digest);
  }));
  fixture.Left.Crashes->answered(*fixture.Poison);
  CHECK_FALSE(fixture.Left.Crashes->needsIsolation(fixture.Poison->Digest));
}

// Guards against suspects that share all their crashes, so that the wrong one
// is quarantined: processes with the same servers choose the same one.
TEST_CASE("Suspects of two processes run on different servers",
          "[quarantine]") {
  IsolatedRunFixture fixture;
  fixture.crashBoth();
  fixture.addServer("a");
  fixture.addServer("b");
  std::optional<Outcome<IsolatedRunPtr>> poison;
  std::optional<Outcome<IsolatedRunPtr>> steady;
  fixture.isolate(fixture.Left, fixture.Poison, poison);
  fixture.isolate(fixture.Right, fixture.Steady, steady);
  REQUIRE(fixture.runUntil([&] { return poison && steady; }));
  REQUIRE(*poison);
  REQUIRE(*steady);
  CHECK((**poison)->server()->Entry.Id != (**steady)->server()->Entry.Id);
  // The next crash shows which of them causes them.
  fixture.crash(fixture.Left, fixture.Poison,
                {(**poison)->server()->Entry.Id.Text});
  poison.reset();
  CHECK(fixture.runUntil([&] {
    return fixture.Right.Crashes->crashStatus(fixture.Poison->Digest) ==
           CrashStatus::Quarantined;
  }));
  CHECK(fixture.Right.Crashes->crashStatus(fixture.Steady->Digest) ==
        CrashStatus::Clean);
}

TEST_CASE("A suspect waits for the only server until another one has run there",
          "[quarantine]") {
  IsolatedRunFixture fixture;
  fixture.crashBoth();
  fixture.addServer("a");
  std::optional<Outcome<IsolatedRunPtr>> poison;
  std::optional<Outcome<IsolatedRunPtr>> steady;
  fixture.isolate(fixture.Left, fixture.Poison, poison);
  REQUIRE(fixture.runUntil([&] { return poison.has_value(); }));
  REQUIRE(*poison);
  fixture.isolate(fixture.Right, fixture.Steady, steady);
  SECTION("and then runs") {
    fixture.Left.Crashes->answered(*fixture.Poison);
    poison.reset();
    REQUIRE(fixture.runUntil([&] { return steady.has_value(); }));
    CHECK(*steady);
  }
  SECTION("and is refused after the maximum wait") {
    REQUIRE(fixture.runUntil([&] { return steady.has_value(); }));
    REQUIRE_FALSE(*steady);
    CHECK(steady->failure().Run == Verdict::NotRun);
    CHECK(steady->failure().RetryAfter > Millis(0));
  }
}

TEST_CASE("A suspect is refused at once if no server is usable",
          "[quarantine]") {
  IsolatedRunFixture fixture;
  fixture.crashBoth();
  std::optional<Outcome<IsolatedRunPtr>> got;
  fixture.isolate(fixture.Left, fixture.Poison, got);
  REQUIRE(fixture.runUntil([&] { return got.has_value(); }));
  CHECK_FALSE(*got);
  CHECK(fixture.Left.Selections == 1);
}

TEST_CASE("A suspect runs without a claim while the store does not answer",
          "[quarantine]") {
  IsolatedRunFixture fixture;
  fixture.crashBoth();
  fixture.addServer("a");
  fixture.Store.Unresponsive = true;
  std::optional<Outcome<IsolatedRunPtr>> got;
  fixture.isolate(fixture.Left, fixture.Poison, got);
  REQUIRE(fixture.runUntil([&] { return got.has_value(); }));
  CHECK(*got);
}

} // namespace wasabi::batchtest
