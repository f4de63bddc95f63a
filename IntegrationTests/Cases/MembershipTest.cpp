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

/// Only a fault reaches it; it is well below the list's lag.
constexpr Millis Limit{25000};
constexpr char LaggingList[] = R"({"lag_ms":30000})";
constexpr char Snapshots[] = "snapshots";

std::unique_ptr<Deployment> deploy() {
  Outcome<std::unique_ptr<Deployment>> made =
      wasabi::toOutcome<std::unique_ptr<Deployment>>([&] {
        return Deployment::start({"lindqvist", 1, false, {}});
      });
  if (!made)
    FAIL(wasabi::describe(made.failure()));
  REQUIRE(waitUntil([&] { return (*made)->areAllUpstreamsKnown(); }, Limit));
  return std::move(*made);
}

/// What a process holds a member for; empty when it does not answer or know.
std::string healthSeen(const WasabiProcess &By, const std::string &Instance) {
  Outcome<json::value> status = getJson(By.Admin, "/status");
  if (!status)
    return {};
  for (const json::value &it : status->at("members").as_array()) {
    if (it.at("instance").as_string() == Instance)
      return std::string(it.at("state").as_string());
  }
  return {};
}

/// Whether all other running processes hold a member for one of these.
bool allSee(Deployment &All, const std::string &Instance,
            const std::set<std::string> &Healths) {
  for (WasabiProcess &it : All.nodes()) {
    if (it.Name == Instance || !it.Running->running())
      continue;
    if (!Healths.contains(healthSeen(it, Instance)))
      return false;
  }
  return true;
}

/// The token of a claim that a process holds now.
std::optional<std::uint64_t> tokenAt(const WasabiProcess &By,
                                     const std::string &Resource) {
  Outcome<json::value> status = getJson(By.Admin, "/status");
  if (!status)
    return std::nullopt;
  for (const json::value &it : status->at("claims").as_array()) {
    if (it.at("resource").as_string() == Resource)
      return it.at("token").to_number<std::uint64_t>();
  }
  return std::nullopt;
}

/// A running process that holds a claim, other than `Not`; null for none.
WasabiProcess *holder(Deployment &All, const std::string &Resource,
                      const WasabiProcess *Not = nullptr) {
  for (WasabiProcess &it : All.nodes()) {
    if (&it != Not && it.Running->running() && tokenAt(it, Resource))
      return &it;
  }
  return nullptr;
}

} // namespace

TEST_CASE("Who leaves is known everywhere though the platform's list lags",
          "[membership]") {
  std::unique_ptr<Deployment> all = deploy();
  REQUIRE(all->instances().setFaults(LaggingList));
  WasabiProcess &leaver = all->nodes().front();
  leaver.Running->signal(SIGTERM);
  CHECK(waitUntil(
      [&] {
        return allSee(*all, leaver.Name, {"leaving", "dead"});
      },
      Limit));
}

TEST_CASE("A crash is found out by peers, and nobody else is held for dead",
          "[membership]") {
  std::unique_ptr<Deployment> all = deploy();
  REQUIRE(all->instances().setFaults(LaggingList));
  WasabiProcess &crashed = all->nodes().front();
  crashed.Running->signal(SIGKILL);
  CHECK(waitUntil([&] { return allSee(*all, crashed.Name, {"dead"}); }, Limit));
  for (WasabiProcess &it : all->nodes()) {
    if (it.Name != crashed.Name)
      CHECK(allSee(*all, it.Name, {"alive", "suspect"}));
  }
}

TEST_CASE("A holder that was stopped past its term finds out on waking",
          "[membership]") {
  std::unique_ptr<Deployment> all = deploy();
  WasabiProcess *first = nullptr;
  REQUIRE(waitUntil(
      [&] {
        first = holder(*all, Snapshots);
        return first != nullptr;
      },
      Limit));
  std::uint64_t token = tokenAt(*first, Snapshots).value_or(0);
  // Its status must not be asked while it stands still.
  first->Running->signal(SIGSTOP);
  WasabiProcess *next = nullptr;
  CHECK(waitUntil(
      [&] {
        next = holder(*all, Snapshots, first);
        return next != nullptr;
      },
      Limit));
  first->Running->signal(SIGCONT);
  REQUIRE(next != nullptr);
  CHECK(tokenAt(*next, Snapshots).value_or(0) > token);
  CHECK(!tokenAt(*first, Snapshots));
  // It comes back as a member: to have stood still is no death.
  CHECK(waitUntil([&] { return allSee(*all, first->Name, {"alive"}); }, Limit));
}
