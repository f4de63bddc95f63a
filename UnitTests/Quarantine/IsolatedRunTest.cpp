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

  /// Result of each probe of a server that lost a connection.
  ServerProbeResult Probed = ServerProbeResult::RefusesConnections;
  std::shared_ptr<bool> LeftDisconnected = std::make_shared<bool>(false);
  std::shared_ptr<bool> RightDisconnected = std::make_shared<bool>(false);

  IsolatedRunFixture() {
    start(Left);
    start(Right);
  }
  void start(QuarantineProcess &Process) {
    EnginePort port;
    port.Probe = [this](const UpstreamRegistration &,
                        Millis) -> asio::awaitable<Outcome<ServerProbeResult>> {
      co_return Probed;
    };
    RecordStore store =
        Store.port(&Process == &Left ? LeftDisconnected : RightDisconnected);
    FeedContext feed{Context.get_executor(), std::move(store), Decisions,
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
  /// Returns true if a process knows of enough crashes for a quarantine, of
  /// which one may be none.
  static bool awaitsResolution(const QuarantineProcess &Process,
                               const RequestDigest &Digest) {
    return Process.Crashes->hasUnresolvedLosses(Digest) &&
           Process.Crashes->findSuspectedCrashes(Digest).size() >=
               CrashHistory::Settings().CrashLimit;
  }
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

// Guards against two requests that crash the same servers: once one of them is
// quarantined, its crashes explain those of the other one, which then crashed
// five.
TEST_CASE("A request is isolated although another one explains its crashes",
          "[quarantine]") {
  IsolatedRunFixture fixture;
  fixture.crashBoth();
  fixture.addServer("a");
  std::optional<Outcome<IsolatedRunPtr>> first;
  fixture.isolate(fixture.Left, fixture.Poison, first);
  REQUIRE(fixture.runUntil([&] { return first.has_value(); }));
  REQUIRE(*first);
  fixture.crash(fixture.Left, fixture.Poison, {"a"});
  first.reset();
  fixture.removeServer("a");
  REQUIRE(fixture.runUntil([&] {
    return fixture.Right.Crashes->crashStatus(fixture.Poison->Digest) ==
           CrashStatus::Quarantined;
  }));
  CHECK(fixture.Right.Crashes->crashStatus(fixture.Steady->Digest) ==
        CrashStatus::Clean);
  REQUIRE(fixture.Right.Crashes->needsIsolation(fixture.Steady->Digest));
  SECTION("and runs if it crashes no server") {
    fixture.Right.Crashes->answered(*fixture.Steady);
    CHECK_FALSE(fixture.Right.Crashes->needsIsolation(fixture.Steady->Digest));
  }
  SECTION("and is quarantined after its third crash") {
    fixture.addServer("b");
    std::optional<Outcome<IsolatedRunPtr>> second;
    fixture.isolate(fixture.Right, fixture.Steady, second);
    REQUIRE(fixture.runUntil([&] { return second.has_value(); }));
    REQUIRE(*second);
    fixture.crash(fixture.Right, fixture.Steady, {"b"});
    CHECK(fixture.Right.Crashes->crashStatus(fixture.Steady->Digest) ==
          CrashStatus::Quarantined);
  }
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

// Guards against crashes that don't count until they are confirmed: a dying
// server may accept connections after it has closed its own.
TEST_CASE("Servers that may have crashed count for isolation at each process",
          "[quarantine]") {
  IsolatedRunFixture fixture;
  fixture.Probed = ServerProbeResult::Listens;
  fixture.addServer("x");
  fixture.addServer("y");
  const RequestDigest &digest = fixture.Poison->Digest;
  fixture.crash(fixture.Left, fixture.Poison, {"x"});
  CHECK_FALSE(fixture.Left.Crashes->needsIsolation(digest));
  CHECK(fixture.Left.Crashes->hasUnresolvedLosses(digest));
  fixture.crash(fixture.Left, fixture.Poison, {"y"});
  CHECK(fixture.Left.Crashes->needsIsolation(digest));
  CHECK(fixture.runUntil(
      [&] { return fixture.Right.Crashes->needsIsolation(digest); }));
  SECTION("unless a server responds to a later request") {
    for (QuarantineProcess *it : {&fixture.Left, &fixture.Right})
      CHECK(it->Crashes->crashStatus(digest) == CrashStatus::Clean);
    noteResponse(*fixture.Left.View.Servers.Servers[ServerName("x")],
                 monotonicNow() + Millis(1), 200);
    CHECK_FALSE(fixture.Left.Crashes->needsIsolation(digest));
    CHECK(fixture.runUntil(
        [&] { return !fixture.Right.Crashes->needsIsolation(digest); }));
  }
  SECTION("and become crashes when their registrations are removed") {
    for (const char *id : {"x", "y"})
      for (QuarantineProcess *it : {&fixture.Left, &fixture.Right})
        unregisterServer(it->View.Servers, ServerName(id), monotonicNow());
    for (QuarantineProcess *it : {&fixture.Left, &fixture.Right}) {
      CHECK(fixture.runUntil([&] {
        return it->Crashes->crashStatus(digest) == CrashStatus::Suspect;
      }));
      CHECK(it->Crashes->needsIsolation(digest));
    }
  }
  SECTION("and become crashes if the process that lost them has ended") {
    *fixture.LeftDisconnected = true;
    unregisterServer(fixture.Right.View.Servers, ServerName("x"),
                     monotonicNow());
    CHECK(fixture.runUntil([&] {
      return fixture.Right.Crashes->crashStatus(digest) == CrashStatus::Suspect;
    }));
  }
}

// Guards against runs at another process while the last isolated run may have
// crashed its server.
TEST_CASE("No process runs a suspect whose last server may have crashed",
          "[quarantine]") {
  IsolatedRunFixture fixture;
  fixture.Probed = ServerProbeResult::Listens;
  for (const char *id : {"a", "b", "x", "y"})
    fixture.addServer(id);
  const RequestDigest &digest = fixture.Poison->Digest;
  fixture.crash(fixture.Left, fixture.Poison, {"x", "y"});
  REQUIRE(fixture.runUntil(
      [&] { return fixture.Right.Crashes->needsIsolation(digest); }));
  bool knowsBefore = GENERATE(true, false);
  *fixture.RightDisconnected = !knowsBefore;
  fixture.Context.run_for(Millis(50));
  std::optional<Outcome<IsolatedRunPtr>> left;
  fixture.isolate(fixture.Left, fixture.Poison, left);
  REQUIRE(fixture.runUntil([&] { return left.has_value(); }));
  REQUIRE(*left);
  fixture.crash(fixture.Left, fixture.Poison,
                {(**left)->server()->Entry.Id.Text});
  left.reset();
  if (knowsBefore)
    REQUIRE(fixture.runUntil(
        [&] { return fixture.awaitsResolution(fixture.Right, digest); }));
  // Otherwise, it writes its claim before it reads the other one.
  *fixture.RightDisconnected = false;
  std::optional<Outcome<IsolatedRunPtr>> right;
  fixture.isolate(fixture.Right, fixture.Poison, right);
  REQUIRE(fixture.runUntil([&] { return right.has_value(); }));
  REQUIRE_FALSE(*right);
  CHECK(right->failure().Run == Verdict::NotRun);
  CHECK(right->failure().RetryAfter > Millis(0));
  if (knowsBefore)
    CHECK(fixture.Right.Selections == 0);
  CHECK(fixture.awaitsResolution(fixture.Right, digest));
}

// Guards against requests that are refused, or wait for each other, because a
// process lost all of its connections at once.
TEST_CASE("Requests whose connections were all cut are served",
          "[quarantine]") {
  IsolatedRunFixture fixture;
  fixture.Probed = ServerProbeResult::Listens;
  fixture.addServer("x");
  fixture.addServer("y");
  std::vector<std::shared_ptr<GuardedRequest>> requests;
  for (int i = 0; i < 20; ++i) {
    requests.push_back(std::make_shared<GuardedRequest>(
        GuardedRequest{RequestDigest(std::to_string(i)), "r"}));
    fixture.crash(fixture.Left, requests.back(), {"x", "y"});
  }
  std::vector<std::optional<Outcome<IsolatedRunPtr>>> got(requests.size());
  TimePoint began = monotonicNow();
  for (std::size_t i = 0; i < requests.size(); ++i)
    fixture.isolate(fixture.Left, requests[i], got[i]);
  auto claimed = [&] {
    return std::any_of(got.begin(), got.end(),
                       [](const auto &It) { return It.has_value(); });
  };
  REQUIRE(fixture.runUntil(claimed));
  // The first response shows that the server has not crashed.
  for (std::size_t i = 0; i < requests.size(); ++i) {
    if (!got[i])
      continue;
    REQUIRE(*got[i]);
    noteResponse(*(**got[i])->server(), monotonicNow(), 200);
    fixture.Left.Crashes->answered(*requests[i]);
  }
  REQUIRE(fixture.runUntil([&] {
    return std::all_of(got.begin(), got.end(),
                       [](const auto &It) { return It.has_value(); });
  }));
  CHECK(monotonicNow() - began < Quarantine::Settings().MaxIsolationWait);
  for (const auto &it : got)
    CHECK(*it);
  for (const auto &it : requests)
    CHECK(fixture.Left.Crashes->crashStatus(it->Digest) == CrashStatus::Clean);
}

// Guards against innocent requests that are charged with a crash because they
// reached the dying server before its registration was removed.
TEST_CASE(
    "Runs that begin after another process lost the server aren't charged",
    "[quarantine]") {
  IsolatedRunFixture fixture;
  fixture.Probed = ServerProbeResult::Listens;
  fixture.addServer("x");
  std::shared_ptr<UpstreamServer> server =
      fixture.Right.View.Servers.Servers[ServerName("x")];
  fixture.crash(fixture.Left, fixture.Poison, {"x"});
  REQUIRE(fixture.runUntil([&] {
    return fixture.Right.Crashes->hasUnresolvedLosses(fixture.Poison->Digest);
  }));
  auto lose = [&] {
    fixture.run([&]() -> asio::awaitable<void> {
      co_await fixture.Right.Crashes->onConnectionLost(
          fixture.Steady, server, monotonicNow() + Millis(1));
    });
  };
  lose();
  CHECK_FALSE(
      fixture.Right.Crashes->hasUnresolvedLosses(fixture.Steady->Digest));
  // A response shows that the server was alive, so that a later loss counts.
  noteResponse(*server, monotonicNow() + Millis(1), 200);
  fixture.Context.run_for(Millis(5));
  lose();
  CHECK(fixture.Right.Crashes->hasUnresolvedLosses(fixture.Steady->Digest));
}

} // namespace wasabi::batchtest
