/// \file
/// Checks the real processes against a stand-in of the users' platform.
#include "IntegrationTests/Harness/Waiting.h"
#include "IntegrationTests/Platform/PlatformFixture.h"

#include <catch2/catch.hpp>

#include <csignal>
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
json::array checkWhole(PlatformFixture &World, std::size_t Edge,
                       const std::string &Job, std::size_t Items,
                       std::uint64_t Length) {
  unsigned status = 0;
  json::value page = World.results(Edge, Job, status);
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

} // namespace

TEST_CASE("Platform: a request is answered by a server, unchanged") {
  PlatformFixture world(1);
  REQUIRE(world.waitUntilAllReady());
  http::Response got = world.postRequest(0, "/desk/lots?id=7", "r1");
  CHECK(got.Status == Ok);
  CHECK(got.Body == "answer to r1");
  CHECK(got.header("Wasabisail-Server-Stamp") == "stamp-r1");
  CHECK(got.header("Wasabisail-Request-Id") == "r1");
  std::vector<ServerCall> runs =
      world.runOnPlatformThread<std::vector<ServerCall>>([&] {
        std::vector<ServerCall> all = world.plainServer(0).Runs;
        all.insert(all.end(), world.plainServer(1).Runs.begin(),
                   world.plainServer(1).Runs.end());
        return all;
      });
  REQUIRE(runs.size() == 1);
  CHECK(runs[0].Path == "/desk/lots?id=7");
  CHECK(runs[0].Body == "body of r1");
  CHECK(world.postRequest(0, "/nowhere/", "r2").Status == 404);
}

TEST_CASE("Platform: full servers cause a refusal with a retry time") {
  PlatformFixture world(1);
  REQUIRE(world.waitUntilAllReady());
  world.runOnPlatformThread([&] {
    world.plainServer(0).RefusesAsFull = true;
    world.plainServer(1).RefusesAsFull = true;
  });
  http::Response got = world.postRequest(0, "/once/x", "r1");
  CHECK(got.Status == 503);
  CHECK_FALSE(got.header("Retry-After").empty());
}

TEST_CASE("Platform: every process returns the same results of a job") {
  constexpr std::size_t Items = 12;
  PlatformFixture world(3);
  REQUIRE(world.waitUntilAllReady());
  CHECK(world.submit(0, "job", Items) == Accepted);
  CHECK(world.submit(1, "job", Items) == Accepted);
  REQUIRE(world.waitForResults(2, "job", Items));
  json::array first = checkWhole(world, 2, "job", Items, 6);
  REQUIRE(world.waitForResults(0, "job", Items));
  CHECK(checkWhole(world, 0, "job", Items, 6) == first);
  CHECK(world.endJob(1, "job") == Ok);
  CHECK(world.endJob(2, "job") == Ok);
  CHECK(world.endJob(2, "no-job") == 404);
}

TEST_CASE("Platform: interrupted texts resume and are joined correctly") {
  constexpr std::size_t Items = 8;
  PlatformFixture world(1);
  REQUIRE(world.waitUntilAllReady());
  world.runOnPlatformThread([&] {
    world.engine(0).StreamsToBreak = 4;
    world.engine(1).StreamsToBreak = 3;
  });
  REQUIRE(world.submit(0, "job", Items) == Accepted);
  REQUIRE(world.waitForResults(0, "job", Items));
  checkWhole(world, 0, "job", Items, 6);
}

TEST_CASE("Platform: one holder loads named weights on each engine") {
  PlatformFixture world(2);
  REQUIRE(world.waitUntilAllReady());
  world.nameVersion(2);
  auto loaded = [&] {
    return world.runOnPlatformThread<bool>([&] {
      return world.engine(0).Models["model"] == 2 &&
             world.engine(1).Models["model"] == 2;
    });
  };
  bool done = harness::waitUntil(loaded, WaitTimeout);
  INFO(world.sidecar(0).output() + world.sidecar(1).output() +
       world.edge(0).Running->output() + world.edge(1).Running->output());
  REQUIRE(done);
  REQUIRE(world.submit(0, "job", 4, 2) == Accepted);
  REQUIRE(world.waitForResults(0, "job", 4));
  for (const json::value &it : checkWhole(world, 0, "job", 4, 6))
    CHECK(it.at("versions") == json::array{2});
  for (std::size_t i = 0; i < 2; ++i) {
    std::vector<ServerCall> orders =
        world.runOnPlatformThread<std::vector<ServerCall>>(
            [&] { return world.engine(i).Orders; });
    REQUIRE_FALSE(orders.empty());
    for (const ServerCall &it : orders)
      CHECK(it.Holder == "side-" + std::to_string(i));
  }
}

TEST_CASE("Platform: a server restarted with its id continues to serve") {
  constexpr std::size_t Items = 24;
  PlatformFixture world(2);
  REQUIRE(world.waitUntilAllReady());
  world.nameVersion(2);
  auto holds = [&](std::uint64_t Version) {
    return world.runOnPlatformThread<bool>([&] {
      return world.engine(0).Models["model"] == Version &&
             world.engine(1).Models["model"] == Version;
    });
  };
  REQUIRE(harness::waitUntil([&] { return holds(2); }, WaitTimeout));
  REQUIRE(world.submit(0, "job", Items, 2) == Accepted);
  // The server restarts before its registration lapses, with the same weights
  // and an order count that starts at zero; twice during its work.
  for (int i = 0; i < 2; ++i) {
    world.runOnPlatformThread(
        [&] { world.engine(0).restart(world.engine(0).id()); });
    world.registerServer(0, false);
  }
  REQUIRE(world.waitForResults(0, "job", Items));
  checkWhole(world, 0, "job", Items, 6);
  // The restarted server takes orders and items.
  world.nameVersion(3);
  bool done = harness::waitUntil([&] { return holds(3); }, WaitTimeout);
  INFO(world.sidecar(0).output() + world.edge(0).Running->output() +
       world.edge(1).Running->output());
  REQUIRE(done);
  world.runOnPlatformThread([&] { world.engine(0).Runs.clear(); });
  REQUIRE(world.submit(1, "next", Items, 3) == Accepted);
  REQUIRE(world.waitForResults(1, "next", Items));
  CHECK(world.runOnPlatformThread<bool>(
      [&] { return !world.engine(0).Runs.empty(); }));
}

TEST_CASE("Platform: invalid server entries are ignored") {
  constexpr std::size_t Items = 8;
  PlatformFixture world(1);
  REQUIRE(world.waitUntilAllReady());
  std::string odd = world.runOnPlatformThread<std::string>([&] {
    std::string text = world.plainServer(0).registration("desk", false);
    const std::string_view ready = R"("ready")";
    return text.replace(text.find(ready), ready.size(), R"("warming")");
  });
  world.runOnPlatformThread([&] {
    const std::string entries[] = {"{", "\xff\xfe", R"({"service":"desk"})",
                                   std::string(200000, '['), odd};
    for (std::size_t i = 0; i < std::size(entries); ++i)
      world.store().write("keyed.servers", "x-" + std::to_string(i),
                          entries[i]);
    // A foreign record replaces a server's own, so the server is not used until
    // it registers again.
    world.store().write("keyed.servers", world.plainServer(1).id(), odd);
    // A full read of the topic gives the same result.
    world.store().compact("keyed.servers");
  });
  auto rejected = [&] {
    std::string lines = world.edge(0).Running->output();
    std::size_t count = 0;
    for (std::size_t at = 0;
         (at = lines.find("server.rejected", at)) != std::string::npos; ++at)
      ++count;
    return count;
  };
  REQUIRE(harness::waitUntil([&] { return rejected() == 6; }, WaitTimeout));
  world.runOnPlatformThread([&] { world.plainServer(1).Runs.clear(); });
  for (int i = 0; i < 6; ++i)
    CHECK(world.postRequest(0, "/desk/x", "r" + std::to_string(i)).Status ==
          Ok);
  CHECK(world.runOnPlatformThread<bool>(
      [&] { return world.plainServer(1).Runs.empty(); }));
  REQUIRE(world.submit(0, "job", Items) == Accepted);
  REQUIRE(world.waitForResults(0, "job", Items));
  // It registers again, and is the only server with capacity.
  world.registerServer(3, false);
  world.runOnPlatformThread([&] { world.plainServer(0).RefusesAsFull = true; });
  auto served = [&] {
    return world.postRequest(0, "/desk/x", "again").Status == Ok;
  };
  CHECK(harness::waitUntil(served, WaitTimeout));
}

TEST_CASE("Platform: killing every process loses no accepted work") {
  constexpr std::size_t Items = 10;
  PlatformFixture world(2);
  REQUIRE(world.waitUntilAllReady());
  REQUIRE(world.submit(0, "before", Items) == Accepted);
  REQUIRE(world.waitForResults(1, "before", Items));
  json::array read = checkWhole(world, 1, "before", Items, 6);
  world.runOnPlatformThread([&] {
    world.engine(0).MinEvents = 20;
    world.engine(1).MinEvents = 20;
  });
  REQUIRE(world.submit(1, "after", Items) == Accepted);
  for (std::size_t i = 0; i < 2; ++i) {
    world.edge(i).Running->signal(SIGKILL);
    world.edge(i).Running->wait(WaitTimeout);
  }
  for (std::size_t i = 0; i < 2; ++i)
    world.startEdge(i);
  REQUIRE(world.waitUntilAllReady());
  CHECK(checkWhole(world, 0, "before", Items, 6) == read);
  REQUIRE(world.waitForResults(0, "after", Items));
  checkWhole(world, 0, "after", Items, 20);
}

TEST_CASE("Platform: a stopping dispatcher hands over its work") {
  constexpr std::size_t Items = 6;
  PlatformFixture world(2);
  REQUIRE(world.waitUntilAllReady());
  world.runOnPlatformThread([&] {
    for (std::size_t i = 0; i < 2; ++i) {
      world.engine(i).MinEvents = 60;
      world.engine(i).EventDelay = Millis(10);
    }
  });
  REQUIRE(world.submit(0, "job", Items) == Accepted);
  auto running = [&] {
    return world.runOnPlatformThread<bool>([&] {
      return world.engine(0).Runs.size() + world.engine(1).Runs.size() == Items;
    });
  };
  REQUIRE(harness::waitUntil(running, WaitTimeout));
  // The new dispatcher logs that it dispatches.
  std::size_t holder =
      world.edge(0).Running->output().find("duty.gained") != std::string::npos
          ? 0
          : 1;
  world.edge(holder).Running->signal(SIGTERM);
  std::optional<harness::ProcessExit> end =
      world.edge(holder).Running->wait(WaitTimeout);
  REQUIRE(end.has_value());
  CHECK(end->Code == 0);
  std::size_t other = 1 - holder;
  REQUIRE(world.waitForResults(other, "job", Items));
  checkWhole(world, other, "job", Items, 60);
}

TEST_CASE("Platform: with the store away nothing is called refused or missing "
          "that is not") {
  PlatformFixture world(2);
  REQUIRE(world.waitUntilAllReady());
  REQUIRE(world.submit(0, "known", 2) == Accepted);
  REQUIRE(world.waitForResults(1, "known", 2));
  for (StoreBehavior mood :
       {StoreBehavior::Busy, StoreBehavior::Unresponsive, StoreBehavior::Reset,
        StoreBehavior::LosesAnswers}) {
    world.runOnPlatformThread([&] { world.store().setBehavior(mood); });
    std::string job = "job-" + std::to_string(static_cast<int>(mood));
    unsigned status = world.submit(0, job, 1);
    bool promise = status == 503;
    unsigned read = 0;
    world.results(1, "unknown", read);
    if (mood != StoreBehavior::LosesAnswers)
      CHECK(read == 503);
    world.runOnPlatformThread(
        [&] { world.store().setBehavior(StoreBehavior::Normal); });
    REQUIRE(world.waitUntilAllReady());
    world.results(1, job, read);
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
  checkWhole(world, 1, "known", 2, 6);
}

TEST_CASE("Platform: a configuration takes effect and never reverts") {
  PlatformFixture world(2);
  REQUIRE(world.waitUntilAllReady());
  world.configure(2);
  auto served = [&](std::size_t Edge, const std::string &Path) {
    return harness::waitUntil(
        [&] { return world.postRequest(Edge, Path, "r").Status == Ok; },
        WaitTimeout);
  };
  for (std::size_t i = 0; i < 2; ++i)
    CHECK(served(i, "/desk-2/"));
  // An older version, and a gap in the readable records.
  world.configure(1);
  world.runOnPlatformThread([&] { world.store().compact("keyed.op"); });
  world.configure(4);
  for (std::size_t i = 0; i < 2; ++i) {
    CHECK(served(i, "/desk-4/"));
    CHECK(world.postRequest(i, "/desk-1/", "r").Status == 404);
    CHECK(world.postRequest(i, "/desk-2/", "r").Status == 404);
  }
}

TEST_CASE("Platform: a server that drains gets no new request") {
  PlatformFixture world(1);
  REQUIRE(world.waitUntilAllReady());
  world.runOnPlatformThread([&] {
    world.store().write("keyed.servers", "i-desk-1",
                        world.plainServer(0).registration("desk", true));
    world.store().write("keyed.servers", "i-engine-1", std::nullopt);
  });
  auto noted = [&] {
    std::string log = world.edge(0).Running->output();
    return log.find("draining") != std::string::npos &&
           log.find("server.unregistered") != std::string::npos;
  };
  REQUIRE(harness::waitUntil(noted, WaitTimeout));
  // A registration that disappears right after the start may have lapsed in an
  // outage, so it is kept for a short time.
  harness::waitUntil([] { return false; }, Millis(2500));
  world.runOnPlatformThread([&] {
    world.plainServer(0).Runs.clear();
    world.engine(0).Runs.clear();
  });
  for (int i = 0; i < 10; ++i)
    CHECK(world.postRequest(0, "/desk/", "r" + std::to_string(i)).Status == Ok);
  REQUIRE(world.submit(0, "job", 4) == Accepted);
  REQUIRE(world.waitForResults(0, "job", 4));
  CHECK(world.runOnPlatformThread<std::size_t>([&] {
    return world.plainServer(0).Runs.size() + world.engine(0).Runs.size();
  }) == 0);
}

TEST_CASE("Platform: a stopping process answers accepted requests") {
  PlatformFixture world(1);
  REQUIRE(world.waitUntilAllReady());
  world.runOnPlatformThread([&] {
    world.plainServer(0).EventDelay = Millis(600);
    world.plainServer(1).EventDelay = Millis(600);
  });
  std::future<http::Response> answer = std::async(std::launch::async, [&] {
    return world.postRequest(0, "/desk/", "slow");
  });
  auto running = [&] {
    return world.runOnPlatformThread<bool>([&] {
      return world.plainServer(0).Runs.size() +
                 world.plainServer(1).Runs.size() ==
             1;
    });
  };
  REQUIRE(harness::waitUntil(running, WaitTimeout));
  world.edge(0).Running->signal(SIGTERM);
  CHECK(answer.get().Status == Ok);
  std::optional<harness::ProcessExit> end =
      world.edge(0).Running->wait(WaitTimeout);
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

std::size_t running(PlatformFixture &World) {
  return World.runOnPlatformThread<std::size_t>([&] {
    std::size_t sum = 0;
    for (std::size_t i = 0; i < World.servers(); ++i)
      sum += World.server(i).running();
    return sum;
  });
}

} // namespace

TEST_CASE("Platform: an interrupted stream continues at another server") {
  PlatformFixture world(1);
  REQUIRE(world.waitUntilAllReady());
  world.runOnPlatformThread([&] {
    world.engine(0).StreamsToBreak = 1;
    world.engine(1).StreamsToBreak = 1;
  });
  std::string got = world.sendRaw(0, streamRequest("s", ""), Millis(5000));
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
  PlatformFixture world(1);
  REQUIRE(world.waitUntilAllReady());
  std::string got = world.sendRaw(0, streamRequest("s", "Last-Event-Id: 4\r\n"),
                                  Millis(5000));
  CHECK(got.find("data: s:4\n") == std::string::npos);
  CHECK(got.find("data: s:5\n") != std::string::npos);
  CHECK(got.find("data: s:6\n") != std::string::npos);
}

TEST_CASE("Platform: a caller's disconnect cancels its request") {
  PlatformFixture world(1);
  REQUIRE(world.waitUntilAllReady());
  world.runOnPlatformThread([&] {
    for (std::size_t i = 0; i < world.servers(); ++i)
      world.server(i).EventDelay = Millis(300);
  });
  constexpr Millis UsersBound{500};
  std::string plain = "POST /desk/x HTTP/1.1\r\nHost: host.example\r\n"
                      "Wasabisail-Request-Id: p\r\nContent-Length: 0\r\n\r\n";
  world.runOnPlatformThread([&] {
    world.plainServer(0).EventDelay = Millis(5000);
    world.plainServer(1).EventDelay = Millis(5000);
  });
  world.sendRaw(0, plain, Millis(200));
  CHECK(harness::waitUntil([&] { return running(world) == 0; }, UsersBound));
  std::string begun =
      world.sendRaw(0, streamRequest("s", ""), Millis(3000), "data: s:1\n");
  CHECK(begun.find("data: s:1\n") != std::string::npos);
  CHECK(harness::waitUntil([&] { return running(world) == 0; }, UsersBound));
}

TEST_CASE("Platform: a chunked body reaches its server complete") {
  PlatformFixture world(1);
  REQUIRE(world.waitUntilAllReady());
  std::string got = world.sendRaw(
      0,
      "POST /desk/x HTTP/1.1\r\nHost: host.example\r\n"
      "Wasabisail-Request-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nfirst\r\n7\r\n second\r\n0\r\n\r\n",
      Millis(3000), "answer to c");
  CHECK(got.find("answer to c") != std::string::npos);
  std::vector<ServerCall> runs =
      world.runOnPlatformThread<std::vector<ServerCall>>([&] {
        return world.plainServer(0).Runs.empty() ? world.plainServer(1).Runs
                                                 : world.plainServer(0).Runs;
      });
  REQUIRE(runs.size() == 1);
  CHECK(runs[0].Body == "first second");
}

TEST_CASE("Platform: valid and invalid settings changes stop nothing") {
  PlatformFixture world(1);
  REQUIRE(world.waitUntilAllReady());
  for (const char *text : {"", "{", R"({"node_name":3})"}) {
    world.runOnPlatformThread([&] {
      world.plainServer(0).EventDelay = Millis(150);
      world.plainServer(1).EventDelay = Millis(150);
    });
    std::future<http::Response> answer = std::async(std::launch::async, [&] {
      return world.postRequest(0, "/desk/", "h");
    });
    world.overwriteSettingsFile("edge-0", text);
    world.edge(0).Running->signal(SIGHUP);
    CHECK(answer.get().Status == Ok);
  }
  CHECK(harness::waitUntil(
      [&] {
        return world.edge(0).Running->output().find("process.reload") !=
               std::string::npos;
      },
      WaitTimeout));
  CHECK(world.ready(0));
}

TEST_CASE("Platform: a missing caller address is reported") {
  PlatformFixture world(1);
  harness::Process::Settings setup;
  setup.Program = "wasabi-edge";
  setup.Environment = {{"WASABISAIL_BOOT",
                        world.writeSettingsFile("bare", "\"listen\":{},", 0)}};
  std::unique_ptr<harness::Process> process =
      harness::Process::start(std::move(setup)).value();
  std::optional<harness::ProcessExit> end = process->waitAndRead(WaitTimeout);
  REQUIRE(end.has_value());
  CHECK(end->Code == 2);
}

} // namespace wasabi::test
