#include "IntegrationTests/Harness/Deployment.h"
#include "IntegrationTests/Harness/HttpCall.h"
#include "IntegrationTests/Harness/Waiting.h"
#include "Wasabi/State/Record.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <csignal>
#include <memory>
#include <optional>
#include <set>
#include <string>

using wasabi::Millis;
using wasabi::Outcome;
using wasabi::harness::Deployment;
using wasabi::harness::getJson;
using wasabi::harness::ProcessExit;
using wasabi::harness::waitUntil;
using wasabi::harness::WasabiProcess;

namespace {

namespace json = boost::json;

/// Only reached on a fault; well below the lag of the list.
constexpr Millis WaitTimeout{25000};
constexpr char LaggingList[] = R"({"lag_ms":30000})";
constexpr char Snapshots[] = "snapshots";

std::unique_ptr<Deployment> startDeployment() {
  Outcome<std::unique_ptr<Deployment>> made =
      wasabi::toOutcome<std::unique_ptr<Deployment>>([&] {
        return Deployment::start({"lindqvist", 1, false, {}});
      });
  if (!made)
    FAIL(wasabi::describe(made.failure()));
  REQUIRE(
      waitUntil([&] { return (*made)->areAllUpstreamsKnown(); }, WaitTimeout));
  return std::move(*made);
}

/// Returns the state of a member as a process sees it; empty if the process
/// does not answer or does not know the member.
std::string observedState(const WasabiProcess &Observer,
                          const std::string &Instance) {
  Outcome<json::value> status = getJson(Observer.Admin, "/status");
  if (!status)
    return {};
  for (const json::value &it : status->at("members").as_array()) {
    if (it.at("instance").as_string() == Instance)
      return std::string(it.at("state").as_string());
  }
  return {};
}

/// Returns true if all other running processes see a member in one of these
/// states.
bool allSee(Deployment &System, const std::string &Instance,
            const std::set<std::string> &States) {
  for (WasabiProcess &it : System.nodes()) {
    if (it.Name == Instance || !it.Child->running())
      continue;
    if (!States.contains(observedState(it, Instance)))
      return false;
  }
  return true;
}

/// Returns the token of a claim that a process holds now.
std::optional<std::uint64_t> tokenAt(const WasabiProcess &Observer,
                                     const std::string &Resource) {
  Outcome<json::value> status = getJson(Observer.Admin, "/status");
  if (!status)
    return std::nullopt;
  for (const json::value &it : status->at("claims").as_array()) {
    if (it.at("resource").as_string() == Resource)
      return it.at("token").to_number<std::uint64_t>();
  }
  return std::nullopt;
}

/// Returns a running process other than `Excluded` that holds a claim; null if
/// there is none.
WasabiProcess *holder(Deployment &System, const std::string &Resource,
                      const WasabiProcess *Excluded = nullptr) {
  for (WasabiProcess &it : System.nodes()) {
    if (&it != Excluded && it.Child->running() && tokenAt(it, Resource))
      return &it;
  }
  return nullptr;
}

} // namespace

TEST_CASE("All processes see a leaving member despite a lagging list",
          "[membership]") {
  std::unique_ptr<Deployment> system = startDeployment();
  REQUIRE(system->instances().setFaults(LaggingList));
  WasabiProcess &leaver = system->nodes().front();
  leaver.Child->signal(SIGTERM);
  CHECK(waitUntil(
      [&] {
        return allSee(*system, leaver.Name, {"leaving", "dead"});
      },
      WaitTimeout));
}

TEST_CASE("Peers detect a crash and see no other member as dead",
          "[membership]") {
  std::unique_ptr<Deployment> system = startDeployment();
  REQUIRE(system->instances().setFaults(LaggingList));
  WasabiProcess &crashed = system->nodes().front();
  crashed.Child->signal(SIGKILL);
  CHECK(waitUntil([&] { return allSee(*system, crashed.Name, {"dead"}); },
                  WaitTimeout));
  for (WasabiProcess &it : system->nodes()) {
    if (it.Name != crashed.Name)
      CHECK(allSee(*system, it.Name, {"alive", "suspect"}));
  }
}

TEST_CASE("A holder paused past its term loses its claim", "[membership]") {
  std::unique_ptr<Deployment> system = startDeployment();
  WasabiProcess *first = nullptr;
  REQUIRE(waitUntil(
      [&] {
        first = holder(*system, Snapshots);
        return first != nullptr;
      },
      WaitTimeout));
  std::uint64_t token = tokenAt(*first, Snapshots).value_or(0);
  // A stopped process does not answer status requests.
  first->Child->signal(SIGSTOP);
  WasabiProcess *next = nullptr;
  CHECK(waitUntil(
      [&] {
        next = holder(*system, Snapshots, first);
        return next != nullptr;
      },
      WaitTimeout));
  first->Child->signal(SIGCONT);
  REQUIRE(next != nullptr);
  CHECK(tokenAt(*next, Snapshots).value_or(0) > token);
  CHECK(!tokenAt(*first, Snapshots));
  // It rejoins as a member: a paused process is not dead.
  CHECK(waitUntil([&] { return allSee(*system, first->Name, {"alive"}); },
                  WaitTimeout));
}
