#include "Bench/Fleet.h"

#include "IntegrationTests/Harness/HttpCall.h"
#include "IntegrationTests/Harness/Waiting.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/State/Record.h"

#include <boost/json.hpp>

#include <array>

namespace wasabi::bench {
namespace {

/// Failure domains: four in one region and three in the other.
constexpr std::array<const char *, 7> Domains = {
    "north-1", "north-2", "north-3", "south-1",
    "south-2", "south-3", "south-4"};
constexpr Millis ReadyLimit{120000};
/// Number of daemons started before waiting for the last of them.
constexpr std::size_t StartAtOnce = 25;

Result<std::unique_ptr<harness::StandIn>>
startRole(std::string Role, std::vector<std::string> Flags = {}) {
  harness::StandIn::Settings setup;
  setup.Role = std::move(Role);
  setup.Flags = std::move(Flags);
  return harness::StandIn::start(std::move(setup));
}

std::string addressFlag(std::string_view Name, const Address &Where) {
  return "--" + std::string(Name) + "=" + toText(Where);
}

std::size_t aliveMembers(const boost::json::value &Status) {
  std::size_t alive = 0;
  for (const boost::json::value &it : Status.at("members").as_array()) {
    if (it.at("state").as_string() == "alive")
      ++alive;
  }
  return alive;
}

} // namespace

Result<std::unique_ptr<Fleet>> Fleet::start(std::size_t Daemons) {
  std::unique_ptr<Fleet> fleet(new Fleet());
  BOOST_LEAF_CHECK(fleet->startPlatform());
  for (std::size_t n = 0; n < Daemons; ++n) {
    BOOST_LEAF_CHECK(fleet->startDaemon(n));
    // Daemons start in bounded waves to keep start-up load out of the results.
    if ((n + 1) % StartAtOnce != 0 && n + 1 != Daemons)
      continue;
    for (FleetDaemon &it : fleet->Daemons) {
      if (!it.Admin.empty())
        continue;
      BOOST_LEAF_ASSIGN(it.Admin, it.Child->waitForAddress("admin"));
    }
  }
  bool ready = harness::waitUntil(
      [&] { return fleet->allDaemonsSeeEachOther(); }, ReadyLimit);
  if (!ready)
    return boost::leaf::new_error(
        Failure{Verdict::NotRun,
                FailureCode::Unavailable,
                "fleet",
                "not every daemon saw all others in time",
                {}});
  return fleet;
}

Result<void> Fleet::startPlatform() {
  BOOST_LEAF_ASSIGN(Log, startRole("log"));
  BOOST_LEAF_ASSIGN(Instances, startRole("instances"));
  BOOST_LEAF_ASSIGN(Weights, startRole("weights"));
  BOOST_LEAF_ASSIGN(Scorer, startRole("scorer"));
  BOOST_LEAF_ASSIGN(Upstream, startRole("service", {"--name=desk"}));
  return {};
}

Result<void> Fleet::startDaemon(std::size_t Number) {
  FleetDaemon daemon;
  daemon.Instance = "node-" + std::to_string(Number);
  harness::Process::Settings setup;
  setup.Program = "wasabi-daemon";
  setup.Arguments = {"--instance=" + daemon.Instance,
                     "--failure_domain=" +
                         std::string(Domains[Number % Domains.size()]),
                     addressFlag("log", Log->address()),
                     addressFlag("instances", Instances->address()),
                     addressFlag("weights", Weights->address()),
                     addressFlag("scorer", Scorer->address()),
                     "--upstreams=desk-" + std::to_string(Number) + "=desk@" +
                         toText(Upstream->address())};
  BOOST_LEAF_ASSIGN(daemon.Child, harness::Process::start(std::move(setup)));
  Daemons.push_back(std::move(daemon));
  return {};
}

bool Fleet::allDaemonsSeeEachOther() const {
  for (const FleetDaemon &it : Daemons) {
    std::optional<boost::json::value> status = fetchStatus(it);
    if (!status || !status->at("ready").as_bool() ||
        aliveMembers(*status) < Daemons.size())
      return false;
  }
  return true;
}

Outcome<std::uint64_t> Fleet::changeConfiguration() {
  std::string preset = Changes % 2 == 0 ? "peak" : "ordinary";
  ConfigChange change;
  change.Base = 0;
  change.Operator = "bench";
  for (const char *name : {"ordinary", "peak"})
    change.Writes.push_back(
        {"preset/" + std::string(name),
         R"({"kind":"preset","name":")" + std::string(name) + R"("})"});
  change.Writes.push_back(
      {"switch/preset",
       R"({"kind":"switch","name":"preset","preset":")" + preset + R"("})"});
  // Uses the newest base because the bench is the only operator on this log.
  Outcome<boost::json::value> truth = Log->truth();
  if (!truth)
    return truth.failure();
  const boost::json::object &streams = truth->at("streams").as_object();
  if (const boost::json::value *control = streams.if_contains(ControlStream))
    change.Base = control->at("end").to_number<Offset>();

  ++Changes;
  Record record{RecordId{"bench", 1, Changes}, change};
  Outcome<http::Response> answer = harness::postJson(
      Log->address(), "/v1/streams/control/records", encodeRecord(record));
  if (!answer)
    return answer.failure();
  return wallMicros();
}

std::optional<boost::json::value> fetchStatus(const FleetDaemon &Daemon) {
  Outcome<boost::json::value> status =
      harness::getJson(Daemon.Admin, "/status");
  if (!status)
    return std::nullopt;
  return *status;
}

std::vector<TimelineEvent> fetchTimeline(const FleetDaemon &Daemon) {
  std::vector<TimelineEvent> events;
  Outcome<boost::json::value> page =
      harness::getJson(Daemon.Admin, "/timeline?from=0");
  if (!page)
    return events;
  for (const boost::json::value &it : page->at("events").as_array()) {
    TimelineEvent event;
    event.At.Wall = it.at("wall").to_number<std::uint64_t>();
    event.Instance = Daemon.Instance;
    event.Kind = std::string(it.at("kind").as_string());
    for (const boost::json::key_value_pair &field : it.at("fields").as_object())
      event.Fields.push_back(EventField{
          std::string(field.key()), std::string(field.value().as_string())});
    events.push_back(std::move(event));
  }
  return events;
}

} // namespace wasabi::bench
