#include "IntegrationTests/Harness/Deployment.h"
#include "IntegrationTests/Harness/HttpCall.h"
#include "IntegrationTests/Harness/Waiting.h"
#include "Wasabi/Replay/Trace.h"
#include "Wasabi/State/Record.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <csignal>
#include <fstream>
#include <sstream>

using Catch::Contains;
using wasabi::Millis;
using wasabi::Outcome;
using wasabi::harness::CtlResult;
using wasabi::harness::Deployment;
using wasabi::harness::Process;
using wasabi::harness::ProcessExit;
using wasabi::harness::StandIn;
using wasabi::harness::TestFolder;

namespace {

constexpr Millis RunTimeout{60000};

std::string readFile(const std::string &Path) {
  std::ifstream file(Path);
  std::ostringstream out;
  out << file.rdbuf();
  return out.str();
}

/// Returns a value that a test requires; fails the test if it is missing.
template <typename T, typename Body> T require(const Body &Start) {
  Outcome<T> made = wasabi::toOutcome<T>(Start);
  if (!made)
    FAIL(wasabi::describe(made.failure()));
  return std::move(*made);
}

/// A running `wasabictl`.
struct RunningClient {
  std::unique_ptr<Process> Child;
  std::string ErrorFile;

  CtlResult finish() {
    std::optional<ProcessExit> end = Child->waitAndRead(RunTimeout);
    CtlResult out;
    out.Code = end ? end->Code : -1;
    out.Output = Child->output();
    out.Errors = readFile(ErrorFile);
    return out;
  }
};

/// A log and an instance list, with operators' clients and no other process.
class OperatorFixture {
public:
  OperatorFixture()
      : Folder(require<std::unique_ptr<TestFolder>>(
            [] { return TestFolder::create(); })),
        Log(startStandIn("log")), Instances(startStandIn("instances")) {}

  const std::unique_ptr<TestFolder> Folder;
  const std::unique_ptr<StandIn> Log;
  const std::unique_ptr<StandIn> Instances;

  /// Creates a folder that declares some limits.
  std::string declare(const std::string &Name,
                      const std::vector<std::pair<std::string, int>> &Limits) {
    std::filesystem::path path = Folder->path() / Name;
    std::filesystem::create_directories(path);
    std::ofstream file(path / "limits.json");
    file << "[";
    for (std::size_t i = 0; i < Limits.size(); ++i)
      file << (i ? "," : "") << R"({"kind":"limit","name":")" << Limits[i].first
           << R"(","burst":)" << Limits[i].second << "}";
    file << "]";
    return path;
  }

  RunningClient start(const std::string &Operator,
                      std::vector<std::string> Arguments) {
    Arguments.push_back("--log=" + toText(Log->address()));
    Arguments.push_back("--instances=" + toText(Instances->address()));
    Arguments.push_back("--operator=" + Operator);
    std::string errors =
        Folder->file("ctl" + std::to_string(++Started) + ".err");
    return {require<std::unique_ptr<Process>>([&] {
              return Process::start(
                  {"wasabictl", std::move(Arguments), {}, errors});
            }),
            errors};
  }

  CtlResult run(std::vector<std::string> Arguments) {
    return start("anna", std::move(Arguments)).finish();
  }

  void setFaults(const std::string &Faults) const {
    REQUIRE(Log->setFaults(Faults));
  }

  /// Returns the number of appends that the log accepted.
  std::int64_t appends() const {
    Outcome<boost::json::value> truth = Log->truth();
    REQUIRE(truth);
    return truth->at("appends").to_number<std::int64_t>();
  }

private:
  int Started = 0;

  static std::unique_ptr<StandIn> startStandIn(const std::string &Role) {
    StandIn::Settings setup;
    setup.Role = Role;
    return require<std::unique_ptr<StandIn>>(
        [&] { return StandIn::start(setup); });
  }
};

/// Returns the id that a client printed before it sent its change.
std::string printedId(const std::string &Errors) {
  std::size_t begin = Errors.find("id ");
  if (begin == std::string::npos)
    return {};
  begin += sizeof("id ") - 1;
  return Errors.substr(begin, Errors.find('\n', begin) - begin);
}

std::size_t countMatches(const std::string &Text, const std::string &Part) {
  std::size_t out = 0;
  for (std::size_t at = Text.find(Part); at != std::string::npos;
       at = Text.find(Part, at + 1))
    ++out;
  return out;
}

} // namespace

TEST_CASE("Queries and invalid declarations write nothing to the log") {
  OperatorFixture fixture;
  std::string good = fixture.declare("good", {{"a", 1}});
  std::string bad = fixture.declare("bad", {{"a", 0}});
  CHECK(fixture.run({"validate", good}).Code == 0);
  CtlResult planned = fixture.run({"plan", good});
  CHECK(planned.Code == 0);
  CHECK_THAT(planned.Output, Contains("+ limit/a"));
  for (const char *command : {"validate", "plan", "apply"}) {
    CtlResult refused = fixture.run({command, bad});
    CHECK(refused.Code == 2);
    CHECK_THAT(refused.Errors,
               Contains("limits.json: /0/burst: must be a whole number"));
  }
  CHECK(fixture.run({"preset", "none"}).Code == 2);
  CHECK(fixture.appends() == 0);
}

TEST_CASE("A change whose answers are lost is applied once") {
  OperatorFixture fixture;
  std::string folder = fixture.declare("d", {{"a", 1}});
  // Reads show an older tail until the change was appended twice.
  fixture.setFaults(R"({"lose_answers":2,"stale_tail":1000000})");
  RunningClient applying = fixture.start("anna", {"apply", folder});
  REQUIRE(wasabi::harness::waitUntil([&] { return fixture.appends() > 1; },
                                     RunTimeout));
  fixture.setFaults(R"({"stale_tail":0})");
  CtlResult applied = applying.finish();
  INFO(applied.Output << applied.Errors);
  CHECK(applied.Code == 0);
  CHECK_THAT(applied.Output, Contains("accepted at offset 0"));
  CHECK(countMatches(fixture.run({"history"}).Output, "offset") == 1);
  CHECK_THAT(fixture.run({"apply", folder}).Output,
             Contains("nothing to change"));
}

TEST_CASE("Of concurrent changes only conflicting ones are refused") {
  OperatorFixture fixture;
  // A slow log makes it likely that all clients read before any of them
  // appends.
  fixture.setFaults(R"({"slow_ms":200})");
  std::vector<RunningClient> rivals;
  std::vector<RunningClient> others;
  for (int i = 1; i <= 4; ++i) {
    std::string number = std::to_string(i);
    rivals.push_back(fixture.start(
        "rival" + number,
        {"apply", fixture.declare("shared" + number, {{"shared", i}})}));
    others.push_back(fixture.start(
        "other" + number,
        {"apply", fixture.declare("own" + number, {{"own" + number, i}})}));
  }
  for (RunningClient &it : others)
    CHECK(it.finish().Code == 0);
  std::size_t accepted = 0;
  for (RunningClient &it : rivals) {
    CtlResult end = it.finish();
    INFO(end.Output << end.Errors);
    accepted += end.Code == 0 ? 1 : 0;
    if (end.Code == 0)
      continue;
    CHECK(end.Code == 1);
    CHECK_THAT(end.Output, Contains("refused: conflict: limit/shared was "
                                    "changed at offset") &&
                               Contains(" by rival"));
  }
  CHECK(accepted >= 1);
  fixture.setFaults(R"({"slow_ms":0})");
  std::string history = fixture.run({"history"}).Output;
  CHECK(countMatches(history, "accepted by other") == 4);
  CHECK(countMatches(history, "accepted by rival") == accepted);
}

TEST_CASE("The change of a killed client is resolved by its id") {
  OperatorFixture fixture;
  // Neither the answer nor the record is visible.
  fixture.setFaults(R"({"lose_answers":1000000,"stale_tail":1000000})");
  RunningClient killed =
      fixture.start("anna", {"apply", fixture.declare("d", {{"a", 1}})});
  REQUIRE(wasabi::harness::waitUntil([&] { return fixture.appends() > 0; },
                                     RunTimeout));
  killed.Child->signal(SIGKILL);
  CtlResult end = killed.finish();
  std::string id = printedId(end.Errors);
  REQUIRE_FALSE(id.empty());

  fixture.setFaults(R"({"lose_answers":0,"stale_tail":0})");
  CtlResult settled = fixture.run({"apply", "--resume", id});
  INFO(settled.Output << settled.Errors);
  CHECK(settled.Code == 0);
  CHECK_THAT(settled.Output, Contains("accepted at offset 0"));
}

TEST_CASE("A change of unknown outcome is resolved permanently") {
  OperatorFixture fixture;
  std::string folder = fixture.declare("d", {{"a", 1}});
  fixture.setFaults(R"({"stale_tail":1000000})");
  CtlResult unknown = fixture.run({"apply", folder, "--wait_ms=300"});
  CHECK(unknown.Code == 6);
  CHECK_THAT(unknown.Output,
             Contains("wasabictl apply --resume " + printedId(unknown.Errors)));
  fixture.setFaults(R"({"stale_tail":0})");
  CHECK(fixture.run({"apply", "--resume", printedId(unknown.Errors)}).Code ==
        0);

  // A change that has not reached the log and arrives late.
  CtlResult never = fixture.run({"apply", "--resume", "late:1:1"});
  CHECK(never.Code == 1);
  CHECK_THAT(never.Output, Contains("never will be"));
  wasabi::ConfigChange change{
      1000, {}, {{"limit/z", R"({"kind":"limit","name":"z"})"}}, "bo", ""};
  change.Base = static_cast<wasabi::Offset>(fixture.appends());
  REQUIRE(wasabi::harness::postJson(
      fixture.Log->address(), "/v1/streams/control/records",
      wasabi::encodeRecord({{"late", 1, 1}, change})));
  CHECK_THAT(fixture.run({"history"}).Output, !Contains("limit/z"));
}

TEST_CASE("With the log down nothing is sent and an error is printed") {
  OperatorFixture fixture;
  std::string folder = fixture.declare("d", {{"a", 1}});
  fixture.setFaults(R"({"outage":true})");
  CHECK(fixture.run({"apply", folder, "--wait_ms=300"}).Code == 3);
  fixture.setFaults(R"({"outage":false})");
  CHECK(fixture.appends() == 0);
}

TEST_CASE("A rollback is a separate change") {
  OperatorFixture fixture;
  fixture.run({"apply", fixture.declare("one", {{"a", 1}, {"b", 1}})});
  fixture.run({"apply", fixture.declare("two", {{"a", 2}}), "--prune"});
  CtlResult back = fixture.run({"rollback", "0", "--message", "too slow"});
  CHECK(back.Code == 0);
  CHECK_THAT(back.Output, Contains("/burst: 2 -> 1") && Contains("+ limit/b"));
  CHECK_THAT(
      fixture.run({"history"}).Output,
      Contains("offset 2 accepted by anna limit/a limit/b \"too slow\""));
}

TEST_CASE("An operator sees a change in force and the time line") {
  std::unique_ptr<Deployment> made = require<std::unique_ptr<Deployment>>([] {
    return Deployment::start({"lindqvist", 1, false, {}});
  });
  Deployment &running = *made;
  const std::string all = std::to_string(running.nodes().size());
  CtlResult applied = running.control({"apply", running.declarations()});
  INFO(applied.Output << applied.Errors);
  CHECK(applied.Code == 0);
  CHECK_THAT(applied.Output,
             Contains("in force on " + all + " of " + all + " instances"));
  CHECK(running.control({"status"}).Code == 0);

  CtlResult line = running.control({"timeline", "--format=json"});
  Outcome<wasabi::replay::Trace> trace =
      wasabi::toOutcome<wasabi::replay::Trace>(
          [&] { return wasabi::replay::readTrace("timeline", line.Output); });
  REQUIRE(trace);
  std::size_t inForce = 0;
  for (const wasabi::TimelineEvent &it : trace->Events)
    inForce += it.Kind == "config.in_force" ? 1 : 0;
  CHECK(inForce == running.nodes().size());

  CtlResult busy = running.control({"drain-check"});
  CHECK(busy.Code == 1);
  CHECK_THAT(busy.Output, Contains("admits callers"));
  CHECK(running.control({"preset", "maintenance"}).Code == 0);
  CHECK(wasabi::harness::waitUntil(
      [&] { return running.control({"drain-check"}).Code == 0; }, RunTimeout));

  // A process that is gone but still listed by the platform is named.
  wasabi::harness::WasabiProcess &gone = running.nodes().front();
  gone.Child->signal(SIGKILL);
  gone.Child->wait(RunTimeout);
  CtlResult partly = running.control({"preset", "ordinary", "--wait_ms=2000"});
  INFO(partly.Output << partly.Errors);
  CHECK(partly.Code == 5);
  CHECK_THAT(partly.Output, Contains("not seen on: " + gone.Name + " ("));
}
