/// \file
/// Checks the real processes against a stand-in of the users' platform.
#include "IntegrationTests/Harness/Waiting.h"
#include "IntegrationTests/Platform/PlatformFixture.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>

namespace wasabi::test {

namespace json = boost::json;

namespace {

constexpr Millis WaitTimeout{20000};
constexpr unsigned Ok = 200;
constexpr unsigned Accepted = 202;

std::string wholeText(const std::string &Item, std::uint64_t Length) {
  std::string text;
  for (std::uint64_t i = 1; i <= Length; ++i)
    text += (i > 1 ? "\n" : "") + Item + ":" + std::to_string(i);
  return text;
}

/// Checks that a job's results are complete, scored and unique for each item,
/// and returns them.
json::array checkWhole(PlatformFixture &Fixture, std::size_t Edge,
                       const std::string &Job, std::size_t Items,
                       std::uint64_t Length) {
  unsigned status = 0;
  json::value page = Fixture.results(Edge, Job, status);
  REQUIRE(status == Ok);
  CHECK(page.at("total") == Items);
  json::array results = page.at("results").as_array();
  CHECK(results.size() == Items);
  std::set<std::string> seen;
  for (const json::value &it : results) {
    std::string id(it.at("id").as_string());
    CHECK(seen.insert(id).second);
    CHECK(it.at("state") == "completed");
    CHECK(std::string(it.at("output").as_string()) == wholeText(id, Length));
    CHECK(std::string(it.at("score").as_string()) == "stamp-score-" + id);
  }
  return results;
}

/// Waits until a process runs its program and has begun with `main`, which
/// ignores SIGPIPE first.
bool waitUntilInMain(const harness::Process &Started) {
  const std::filesystem::path folder = "/proc/" + std::to_string(Started.pid());
  TimePoint end = monotonicNow() + WaitTimeout;
  while (monotonicNow() < end) {
    std::error_code ec;
    std::filesystem::path program =
        std::filesystem::read_symlink(folder / "exe", ec);
    if (program.filename() != "wasabi-edge")
      continue;
    std::ifstream status(folder / "status");
    for (std::string line; std::getline(status, line);) {
      constexpr std::string_view Field = "SigIgn:";
      if (line.starts_with(Field) &&
          (std::stoull(line.substr(Field.size()), nullptr, 16) &
           (1ULL << (SIGPIPE - 1))) != 0)
        return true;
    }
  }
  return false;
}

} // namespace

TEST_CASE("Platform: a request is answered by a server, unchanged") {
  PlatformFixture fixture(1);
  REQUIRE(fixture.waitUntilAllReady());
  http::Response got = fixture.postRequest(0, "/desk/lots?id=7", "r1");
  CHECK(got.Status == Ok);
  CHECK(got.Body == "answer to r1");
  CHECK(got.header("Wasabisail-Server-Stamp") == "stamp-r1");
  CHECK(got.header("Wasabisail-Request-Id") == "r1");
  std::vector<ServerCall> runs =
      fixture.runOnPlatformThread<std::vector<ServerCall>>([&] {
        std::vector<ServerCall> all = fixture.plainServer(0).Runs;
        all.insert(all.end(), fixture.plainServer(1).Runs.begin(),
                   fixture.plainServer(1).Runs.end());
        return all;
      });
  REQUIRE(runs.size() == 1);
  CHECK(runs[0].Path == "/desk/lots?id=7");
  CHECK(runs[0].Body == "body of r1");
  CHECK(fixture.postRequest(0, "/nowhere/", "r2").Status == 404);
}

TEST_CASE("Platform: full servers cause a refusal with a retry time") {
  PlatformFixture fixture(1);
  REQUIRE(fixture.waitUntilAllReady());
  fixture.runOnPlatformThread([&] {
    fixture.plainServer(0).RefusesAsFull = true;
    fixture.plainServer(1).RefusesAsFull = true;
  });
  http::Response got = fixture.postRequest(0, "/once/x", "r1");
  CHECK(got.Status == 503);
  CHECK_FALSE(got.header("Retry-After").empty());
}

TEST_CASE("Platform: every process returns the same results of a job") {
  constexpr std::size_t Items = 12;
  PlatformFixture fixture(3);
  REQUIRE(fixture.waitUntilAllReady());
  CHECK(fixture.submit(0, "job", Items) == Accepted);
  CHECK(fixture.submit(1, "job", Items) == Accepted);
  REQUIRE(fixture.waitForResults(2, "job", Items));
  json::array first = checkWhole(fixture, 2, "job", Items, 6);
  REQUIRE(fixture.waitForResults(0, "job", Items));
  CHECK(checkWhole(fixture, 0, "job", Items, 6) == first);
  CHECK(fixture.endJob(1, "job") == Ok);
  CHECK(fixture.endJob(2, "job") == Ok);
  CHECK(fixture.endJob(2, "no-job") == 404);
}

TEST_CASE("Platform: interrupted texts resume and are joined correctly") {
  constexpr std::size_t Items = 8;
  PlatformFixture fixture(1);
  REQUIRE(fixture.waitUntilAllReady());
  fixture.runOnPlatformThread([&] {
    fixture.engine(0).StreamsToBreak = 4;
    fixture.engine(1).StreamsToBreak = 3;
  });
  REQUIRE(fixture.submit(0, "job", Items) == Accepted);
  REQUIRE(fixture.waitForResults(0, "job", Items));
  checkWhole(fixture, 0, "job", Items, 6);
}

TEST_CASE("Platform: one holder loads named weights on each engine") {
  PlatformFixture fixture(2);
  REQUIRE(fixture.waitUntilAllReady());
  fixture.nameVersion(2);
  auto loaded = [&] {
    return fixture.runOnPlatformThread<bool>([&] {
      return fixture.engine(0).Models["model"] == 2 &&
             fixture.engine(1).Models["model"] == 2;
    });
  };
  bool done = harness::waitUntil(loaded, WaitTimeout);
  INFO(fixture.sidecar(0).output() + fixture.sidecar(1).output() +
       fixture.edge(0).Running->output() + fixture.edge(1).Running->output());
  REQUIRE(done);
  REQUIRE(fixture.submit(0, "job", 4, 2) == Accepted);
  REQUIRE(fixture.waitForResults(0, "job", 4));
  for (const json::value &it : checkWhole(fixture, 0, "job", 4, 6))
    CHECK(it.at("versions") == json::array{2});
  for (std::size_t i = 0; i < 2; ++i) {
    std::vector<ServerCall> orders =
        fixture.runOnPlatformThread<std::vector<ServerCall>>(
            [&] { return fixture.engine(i).Orders; });
    REQUIRE_FALSE(orders.empty());
    for (const ServerCall &it : orders)
      CHECK(it.Holder == "side-" + std::to_string(i));
  }
}

TEST_CASE("Platform: a server restarted with its id continues to serve") {
  constexpr std::size_t Items = 24;
  PlatformFixture fixture(2);
  REQUIRE(fixture.waitUntilAllReady());
  fixture.nameVersion(2);
  auto holds = [&](std::uint64_t Version) {
    return fixture.runOnPlatformThread<bool>([&] {
      return fixture.engine(0).Models["model"] == Version &&
             fixture.engine(1).Models["model"] == Version;
    });
  };
  REQUIRE(harness::waitUntil([&] { return holds(2); }, WaitTimeout));
  REQUIRE(fixture.submit(0, "job", Items, 2) == Accepted);
  // The server restarts before its registration lapses, with the same weights
  // and an order count that starts at zero; twice during its work.
  for (int i = 0; i < 2; ++i) {
    fixture.runOnPlatformThread(
        [&] { fixture.engine(0).restart(fixture.engine(0).id()); });
    fixture.registerServer(0, false);
  }
  REQUIRE(fixture.waitForResults(0, "job", Items));
  checkWhole(fixture, 0, "job", Items, 6);
  // The restarted server takes orders and items.
  fixture.nameVersion(3);
  bool done = harness::waitUntil([&] { return holds(3); }, WaitTimeout);
  INFO(fixture.sidecar(0).output() + fixture.edge(0).Running->output() +
       fixture.edge(1).Running->output());
  REQUIRE(done);
  fixture.runOnPlatformThread([&] { fixture.engine(0).Runs.clear(); });
  REQUIRE(fixture.submit(1, "next", Items, 3) == Accepted);
  REQUIRE(fixture.waitForResults(1, "next", Items));
  CHECK(fixture.runOnPlatformThread<bool>(
      [&] { return !fixture.engine(0).Runs.empty(); }));
}

TEST_CASE("Platform: invalid server entries are ignored") {
  constexpr std::size_t Items = 8;
  PlatformFixture fixture(1);
  REQUIRE(fixture.waitUntilAllReady());
  std::string odd = fixture.runOnPlatformThread<std::string>([&] {
    std::string text = fixture.plainServer(0).registration("desk", false);
    const std::string_view ready = R"("ready")";
    return text.replace(text.find(ready), ready.size(), R"("warming")");
  });
  fixture.runOnPlatformThread([&] {
    const std::string entries[] = {"{", "\xff\xfe", R"({"service":"desk"})",
                                   std::string(200000, '['), odd};
    for (std::size_t i = 0; i < std::size(entries); ++i)
      fixture.store().write("keyed.servers", "x-" + std::to_string(i),
                            entries[i]);
    // A foreign record replaces a server's own, so the server is not used until
    // it registers again.
    fixture.store().write("keyed.servers", fixture.plainServer(1).id(), odd);
    // A full read of the topic gives the same result.
    fixture.store().compact("keyed.servers");
  });
  auto rejected = [&] {
    std::string lines = fixture.edge(0).Running->output();
    std::size_t count = 0;
    for (std::size_t at = 0;
         (at = lines.find("server.rejected", at)) != std::string::npos; ++at)
      ++count;
    return count;
  };
  REQUIRE(harness::waitUntil([&] { return rejected() == 6; }, WaitTimeout));
  fixture.runOnPlatformThread([&] { fixture.plainServer(1).Runs.clear(); });
  for (int i = 0; i < 6; ++i)
    CHECK(fixture.postRequest(0, "/desk/x", "r" + std::to_string(i)).Status ==
          Ok);
  CHECK(fixture.runOnPlatformThread<bool>(
      [&] { return fixture.plainServer(1).Runs.empty(); }));
  REQUIRE(fixture.submit(0, "job", Items) == Accepted);
  REQUIRE(fixture.waitForResults(0, "job", Items));
  // It registers again, and is the only server with capacity.
  fixture.registerServer(3, false);
  fixture.runOnPlatformThread(
      [&] { fixture.plainServer(0).RefusesAsFull = true; });
  auto served = [&] {
    return fixture.postRequest(0, "/desk/x", "again").Status == Ok;
  };
  CHECK(harness::waitUntil(served, WaitTimeout));
}

TEST_CASE("Platform: killing every process loses no accepted work") {
  constexpr std::size_t Items = 10;
  PlatformFixture fixture(2);
  REQUIRE(fixture.waitUntilAllReady());
  REQUIRE(fixture.submit(0, "before", Items) == Accepted);
  REQUIRE(fixture.waitForResults(1, "before", Items));
  json::array read = checkWhole(fixture, 1, "before", Items, 6);
  fixture.runOnPlatformThread([&] {
    fixture.engine(0).MinEvents = 20;
    fixture.engine(1).MinEvents = 20;
  });
  REQUIRE(fixture.submit(1, "after", Items) == Accepted);
  for (std::size_t i = 0; i < 2; ++i) {
    fixture.edge(i).Running->signal(SIGKILL);
    fixture.edge(i).Running->wait(WaitTimeout);
  }
  for (std::size_t i = 0; i < 2; ++i)
    fixture.startEdge(i);
  REQUIRE(fixture.waitUntilAllReady());
  CHECK(checkWhole(fixture, 0, "before", Items, 6) == read);
  REQUIRE(fixture.waitForResults(0, "after", Items));
  checkWhole(fixture, 0, "after", Items, 20);
}

TEST_CASE("Platform: a stopping dispatcher hands over its work") {
  constexpr std::size_t Items = 6;
  PlatformFixture fixture(2);
  REQUIRE(fixture.waitUntilAllReady());
  fixture.runOnPlatformThread([&] {
    for (std::size_t i = 0; i < 2; ++i) {
      fixture.engine(i).MinEvents = 60;
      fixture.engine(i).EventDelay = Millis(10);
    }
  });
  REQUIRE(fixture.submit(0, "job", Items) == Accepted);
  auto running = [&] {
    return fixture.runOnPlatformThread<bool>([&] {
      return fixture.engine(0).Runs.size() + fixture.engine(1).Runs.size() ==
             Items;
    });
  };
  REQUIRE(harness::waitUntil(running, WaitTimeout));
  // The new dispatcher logs that it dispatches.
  std::size_t holder =
      fixture.edge(0).Running->output().find("duty.gained") != std::string::npos
          ? 0
          : 1;
  fixture.edge(holder).Running->signal(SIGTERM);
  std::optional<harness::ProcessExit> end =
      fixture.edge(holder).Running->wait(WaitTimeout);
  REQUIRE(end.has_value());
  CHECK(end->Code == 0);
  std::size_t other = 1 - holder;
  REQUIRE(fixture.waitForResults(other, "job", Items));
  checkWhole(fixture, other, "job", Items, 60);
}

TEST_CASE("Platform: during a store outage no false refusal or absence is "
          "reported") {
  PlatformFixture fixture(2);
  REQUIRE(fixture.waitUntilAllReady());
  REQUIRE(fixture.submit(0, "known", 2) == Accepted);
  REQUIRE(fixture.waitForResults(1, "known", 2));
  for (StoreBehavior mood :
       {StoreBehavior::Busy, StoreBehavior::Unresponsive, StoreBehavior::Reset,
        StoreBehavior::LosesAnswers}) {
    fixture.runOnPlatformThread([&] { fixture.store().setBehavior(mood); });
    std::string job = "job-" + std::to_string(static_cast<int>(mood));
    unsigned status = fixture.submit(0, job, 1);
    bool promise = status == 503;
    unsigned read = 0;
    fixture.results(1, "unknown", read);
    if (mood != StoreBehavior::LosesAnswers)
      CHECK(read == 503);
    fixture.runOnPlatformThread(
        [&] { fixture.store().setBehavior(StoreBehavior::Normal); });
    REQUIRE(fixture.waitUntilAllReady());
    fixture.results(1, job, read);
    INFO("mood " << static_cast<int>(mood) << " status " << status);
    // An answer that nothing was accepted must be true, and so must an
    // acceptance.
    if (promise)
      CHECK(read == 404);
    if (status == Accepted)
      CHECK(read == Ok);
    if (mood == StoreBehavior::Busy)
      CHECK(promise);
  }
  checkWhole(fixture, 1, "known", 2, 6);
}

TEST_CASE("Platform: a configuration takes effect and never reverts") {
  PlatformFixture fixture(2);
  REQUIRE(fixture.waitUntilAllReady());
  fixture.configure(2);
  auto served = [&](std::size_t Edge, const std::string &Path) {
    return harness::waitUntil(
        [&] { return fixture.postRequest(Edge, Path, "r").Status == Ok; },
        WaitTimeout);
  };
  for (std::size_t i = 0; i < 2; ++i)
    CHECK(served(i, "/desk-2/"));
  // An older version, and a gap in the readable records.
  fixture.configure(1);
  fixture.runOnPlatformThread([&] { fixture.store().compact("keyed.op"); });
  fixture.configure(4);
  for (std::size_t i = 0; i < 2; ++i) {
    CHECK(served(i, "/desk-4/"));
    CHECK(fixture.postRequest(i, "/desk-1/", "r").Status == 404);
    CHECK(fixture.postRequest(i, "/desk-2/", "r").Status == 404);
  }
}

TEST_CASE("Platform: a server that drains gets no new request") {
  PlatformFixture fixture(1);
  REQUIRE(fixture.waitUntilAllReady());
  fixture.runOnPlatformThread([&] {
    fixture.store().write("keyed.servers", "i-desk-1",
                          fixture.plainServer(0).registration("desk", true));
    fixture.store().write("keyed.servers", "i-engine-1", std::nullopt);
  });
  auto noted = [&] {
    std::string log = fixture.edge(0).Running->output();
    return log.find("draining") != std::string::npos &&
           log.find("server.unregistered") != std::string::npos;
  };
  REQUIRE(harness::waitUntil(noted, WaitTimeout));
  // A registration that disappears right after the start may have lapsed in an
  // outage, so it is kept for a short time.
  harness::waitUntil([] { return false; }, Millis(2500));
  fixture.runOnPlatformThread([&] {
    fixture.plainServer(0).Runs.clear();
    fixture.engine(0).Runs.clear();
  });
  for (int i = 0; i < 10; ++i)
    CHECK(fixture.postRequest(0, "/desk/", "r" + std::to_string(i)).Status ==
          Ok);
  REQUIRE(fixture.submit(0, "job", 4) == Accepted);
  REQUIRE(fixture.waitForResults(0, "job", 4));
  CHECK(fixture.runOnPlatformThread<std::size_t>([&] {
    return fixture.plainServer(0).Runs.size() + fixture.engine(0).Runs.size();
  }) == 0);
}

TEST_CASE("Platform: a stopping process answers accepted requests") {
  PlatformFixture fixture(1);
  REQUIRE(fixture.waitUntilAllReady());
  fixture.runOnPlatformThread([&] {
    fixture.plainServer(0).EventDelay = Millis(600);
    fixture.plainServer(1).EventDelay = Millis(600);
  });
  std::future<http::Response> answer = std::async(std::launch::async, [&] {
    return fixture.postRequest(0, "/desk/", "slow");
  });
  auto running = [&] {
    return fixture.runOnPlatformThread<bool>([&] {
      return fixture.plainServer(0).Runs.size() +
                 fixture.plainServer(1).Runs.size() ==
             1;
    });
  };
  REQUIRE(harness::waitUntil(running, WaitTimeout));
  fixture.edge(0).Running->signal(SIGTERM);
  CHECK(answer.get().Status == Ok);
  std::optional<harness::ProcessExit> end =
      fixture.edge(0).Running->wait(WaitTimeout);
  REQUIRE(end.has_value());
  CHECK(end->Code == 0);
}

namespace {

/// Builds the bytes of a streaming request to the engines.
std::string streamRequest(const std::string &Id, const std::string &Extra) {
  return "POST /stream/x HTTP/1.1\r\nHost: host.example\r\n"
         "Wasabisail-Request-Id: " +
         Id + "\r\nWasabisail-Model: model\r\n" + Extra +
         "Content-Length: 0\r\nConnection: close\r\n\r\n";
}

std::size_t running(PlatformFixture &Fixture) {
  return Fixture.runOnPlatformThread<std::size_t>([&] {
    std::size_t sum = 0;
    for (std::size_t i = 0; i < Fixture.servers(); ++i)
      sum += Fixture.server(i).running();
    return sum;
  });
}

} // namespace

TEST_CASE("Platform: an interrupted stream continues at another server") {
  PlatformFixture fixture(1);
  REQUIRE(fixture.waitUntilAllReady());
  fixture.runOnPlatformThread([&] {
    fixture.engine(0).StreamsToBreak = 1;
    fixture.engine(1).StreamsToBreak = 1;
  });
  std::string got = fixture.sendRaw(0, streamRequest("s", ""), Millis(5000));
  INFO(got);
  CHECK(got.starts_with("HTTP/1.1 200"));
  CHECK(got.find("Wasabisail-Server-Stamp: stamp-s") != std::string::npos);
  std::size_t from = 0;
  for (int i = 1; i <= 6; ++i) {
    std::string event = "data: s:" + std::to_string(i) + "\n";
    std::size_t at = got.find(event, from);
    REQUIRE(at != std::string::npos);
    CHECK(got.find(event, at + 1) == std::string::npos);
    from = at;
  }
  // The last chunk shows that the stream is complete.
  CHECK(got.ends_with("0\r\n\r\n"));
}

TEST_CASE("Platform: a resumed stream begins at the requested event") {
  PlatformFixture fixture(1);
  REQUIRE(fixture.waitUntilAllReady());
  std::string got = fixture.sendRaw(
      0, streamRequest("s", "Last-Event-Id: 4\r\n"), Millis(5000));
  CHECK(got.find("data: s:4\n") == std::string::npos);
  CHECK(got.find("data: s:5\n") != std::string::npos);
  CHECK(got.find("data: s:6\n") != std::string::npos);
}

TEST_CASE("Platform: a caller's disconnect cancels its request") {
  PlatformFixture fixture(1);
  REQUIRE(fixture.waitUntilAllReady());
  fixture.runOnPlatformThread([&] {
    for (std::size_t i = 0; i < fixture.servers(); ++i)
      fixture.server(i).EventDelay = Millis(300);
  });
  constexpr Millis UsersBound{500};
  std::string plain = "POST /desk/x HTTP/1.1\r\nHost: host.example\r\n"
                      "Wasabisail-Request-Id: p\r\nContent-Length: 0\r\n\r\n";
  fixture.runOnPlatformThread([&] {
    fixture.plainServer(0).EventDelay = Millis(5000);
    fixture.plainServer(1).EventDelay = Millis(5000);
  });
  fixture.sendRaw(0, plain, Millis(200));
  CHECK(harness::waitUntil([&] { return running(fixture) == 0; }, UsersBound));
  std::string begun =
      fixture.sendRaw(0, streamRequest("s", ""), Millis(3000), "data: s:1\n");
  CHECK(begun.find("data: s:1\n") != std::string::npos);
  CHECK(harness::waitUntil([&] { return running(fixture) == 0; }, UsersBound));
}

TEST_CASE("Platform: a chunked body reaches its server complete") {
  PlatformFixture fixture(1);
  REQUIRE(fixture.waitUntilAllReady());
  std::string got = fixture.sendRaw(
      0,
      "POST /desk/x HTTP/1.1\r\nHost: host.example\r\n"
      "Wasabisail-Request-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nfirst\r\n7\r\n second\r\n0\r\n\r\n",
      Millis(3000), "answer to c");
  CHECK(got.find("answer to c") != std::string::npos);
  std::vector<ServerCall> runs =
      fixture.runOnPlatformThread<std::vector<ServerCall>>([&] {
        return fixture.plainServer(0).Runs.empty()
                   ? fixture.plainServer(1).Runs
                   : fixture.plainServer(0).Runs;
      });
  REQUIRE(runs.size() == 1);
  CHECK(runs[0].Body == "first second");
}

TEST_CASE("Platform: valid and invalid settings changes stop nothing") {
  PlatformFixture fixture(1);
  REQUIRE(fixture.waitUntilAllReady());
  for (const char *text : {"", "{", R"({"node_name":3})"}) {
    fixture.runOnPlatformThread([&] {
      fixture.plainServer(0).EventDelay = Millis(150);
      fixture.plainServer(1).EventDelay = Millis(150);
    });
    std::future<http::Response> answer = std::async(std::launch::async, [&] {
      return fixture.postRequest(0, "/desk/", "h");
    });
    fixture.overwriteSettingsFile("edge-0", text);
    fixture.edge(0).Running->signal(SIGHUP);
    CHECK(answer.get().Status == Ok);
  }
  CHECK(harness::waitUntil(
      [&] {
        return fixture.edge(0).Running->output().find("process.reload") !=
               std::string::npos;
      },
      WaitTimeout));
  CHECK(fixture.ready(0));
}

// Guards against a SIGHUP that ends a process before it has a handler, or is
// lost: the process may have read the settings file already.
TEST_CASE("Platform: a settings change during the start is read") {
  constexpr int Starts = 8;
  PlatformFixture fixture(1);
  REQUIRE(fixture.waitUntilAllReady());
  for (int i = 0; i < Starts; ++i) {
    fixture.edge(0).Running->signal(SIGKILL);
    fixture.edge(0).Running->wait(WaitTimeout);
    fixture.startEdge(0);
    harness::Process &started = *fixture.edge(0).Running;
    REQUIRE(waitUntilInMain(started));
    started.signal(SIGHUP);
    CHECK(harness::waitUntil(
        [&] {
          return started.output().find("process.reload") != std::string::npos;
        },
        WaitTimeout));
    CHECK(fixture.waitUntilAllReady());
  }
}

TEST_CASE("Platform: a missing caller address is reported") {
  PlatformFixture fixture(1);
  harness::Process::Settings setup;
  setup.Program = "wasabi-edge";
  setup.Environment = {{"WASABISAIL_BOOT", fixture.writeSettingsFile(
                                               "bare", "\"listen\":{},", 0)}};
  std::unique_ptr<harness::Process> process =
      harness::Process::start(std::move(setup)).value();
  std::optional<harness::ProcessExit> end = process->waitAndRead(WaitTimeout);
  REQUIRE(end.has_value());
  CHECK(end->Code == 2);
}

} // namespace wasabi::test
