#include "Bench/RequestFleet.h"

#include "Bench/ProcessUsage.h"

#include "IntegrationTests/Harness/HttpCall.h"
#include "IntegrationTests/Harness/Waiting.h"
#include "Wasabi/Config/Configuration.h"
#include "Wasabi/State/Record.h"

#include <boost/json.hpp>

#include <array>
#include <sstream>

namespace wasabi::bench {
namespace {

/// Two failure domains; the entries run in the first one.
constexpr std::array<const char *, 2> Domains = {"north-1", "south-1"};
constexpr Millis ServeLimit{30000};

std::string addressFlag(std::string_view Name, const Address &Where) {
  return "--" + std::string(Name) + "=" + toText(Where);
}

boost::leaf::error_id makeNotStarted(std::string Detail) {
  return boost::leaf::new_error(Failure{Verdict::NotRun,
                                        FailureCode::Unavailable,
                                        "fleet",
                                        std::move(Detail),
                                        {}});
}

/// Makes the service's declaration with placements in the upstreams' failure
/// domains.
std::string serviceText(bool Engines, std::size_t Upstreams) {
  boost::json::array placements;
  for (std::size_t n = 0; n < Domains.size(); ++n) {
    std::size_t servers = (Upstreams + Domains.size() - 1 - n) / Domains.size();
    if (servers > 0)
      placements.push_back({{"domain", Domains[n]}, {"servers", servers}});
  }
  boost::json::object service;
  service["kind"] = "service";
  service["name"] = FleetService;
  service["type"] = Engines ? "engines" : "plain";
  if (Engines)
    service["model"] = FleetModel;
  service["placements"] = std::move(placements);
  return boost::json::serialize(service);
}

std::size_t servingServers(const boost::json::value &Status) {
  std::size_t serving = 0;
  for (const boost::json::value &member : Status.at("members").as_array()) {
    if (member.at("state").as_string() != "alive")
      continue;
    for (const boost::json::value &it : member.at("servers").as_array()) {
      if (it.at("service").as_string() == FleetService &&
          it.at("serving").as_bool())
        ++serving;
    }
  }
  return serving;
}

/// Adds the counters of one process, summed over labels.
void addCounters(const Address &Admin, CounterTotals &Into) {
  Outcome<std::string> text = harness::getText(Admin, "/metrics");
  if (!text)
    return;
  std::istringstream lines(*text);
  std::string line;
  while (std::getline(lines, line)) {
    std::size_t blank = line.rfind(' ');
    if (line.empty() || line[0] == '#' || blank == std::string::npos)
      continue;
    std::string name = line.substr(0, std::min(line.find('{'), blank));
    if (name.ends_with("_total"))
      Into[name] += std::stod(line.substr(blank + 1));
  }
}

double readCpuSeconds(const harness::Process &Child) {
  std::optional<ProcessUsage> usage = readProcessUsage(Child.pid());
  return usage ? usage->CpuSeconds : 0;
}

} // namespace

Result<std::unique_ptr<RequestFleet>> RequestFleet::start(Settings Setup) {
  std::unique_ptr<RequestFleet> fleet(new RequestFleet(std::move(Setup)));
  BOOST_LEAF_CHECK(fleet->startPlatform());
  BOOST_LEAF_CHECK(fleet->declare());
  for (std::size_t n = 0; n < fleet->Setup.Upstreams; ++n)
    BOOST_LEAF_CHECK(fleet->startUpstream(n));
  for (std::size_t n = 0; n < fleet->Setup.Entries; ++n)
    BOOST_LEAF_CHECK(fleet->startEntry(n));
  BOOST_LEAF_CHECK(fleet->waitUntilServing());
  return fleet;
}

Result<void> RequestFleet::startPlatform() {
  harness::StandIn::Settings log;
  log.Role = "log";
  BOOST_LEAF_ASSIGN(Log, harness::StandIn::start(std::move(log)));
  harness::StandIn::Settings instances;
  instances.Role = "instances";
  BOOST_LEAF_ASSIGN(Instances, harness::StandIn::start(std::move(instances)));
  return {};
}

Result<void> RequestFleet::declare() {
  BOOST_LEAF_AUTO(objects, parseDeclarations("bench", Setup.Declarations));
  BOOST_LEAF_AUTO(service,
                  parseDeclarations("bench", serviceText(Setup.Role == "engine",
                                                         Setup.Upstreams)));
  objects.merge(service);
  ConfigChange change;
  change.Operator = "bench";
  for (const std::pair<const std::string, std::string> &it : objects)
    change.Writes.push_back({it.first, it.second});
  Record record{RecordId{"bench", 1, 1}, change};
  Outcome<http::Response> answer = harness::postJson(
      Log->address(), "/v1/streams/control/records", encodeRecord(record));
  if (!answer)
    return makeNotStarted("declaring: " + describe(answer.failure()));
  return {};
}

Result<void> RequestFleet::startUpstream(std::size_t Number) {
  FleetUpstream upstream;
  upstream.Server = std::string(FleetService) + "-" + std::to_string(Number);
  harness::StandIn::Settings setup;
  setup.Role = Setup.Role;
  setup.Flags = Setup.Flags;
  setup.Flags.push_back("--name=" + upstream.Server);
  BOOST_LEAF_ASSIGN(upstream.StandIn,
                    harness::StandIn::start(std::move(setup)));

  harness::Process::Settings daemon;
  daemon.Program = "wasabi-daemon";
  daemon.Arguments = {"--instance=node-" + std::to_string(Number),
                      "--failure_domain=" +
                          std::string(Domains[Number % Domains.size()]),
                      addressFlag("log", Log->address()),
                      addressFlag("instances", Instances->address()),
                      "--upstreams=" + upstream.Server + "=" + FleetService +
                          "@" + toText(upstream.StandIn->address())};
  BOOST_LEAF_ASSIGN(upstream.Daemon,
                    harness::Process::start(std::move(daemon)));
  BOOST_LEAF_ASSIGN(upstream.Admin, upstream.Daemon->waitForAddress("admin"));
  Upstreams.push_back(std::move(upstream));
  return {};
}

Result<void> RequestFleet::startEntry(std::size_t Number) {
  FleetEntry entry;
  harness::Process::Settings setup;
  setup.Program = "wasabi-entry";
  setup.Arguments = {"--instance=entry-" + std::to_string(Number),
                     "--failure_domain=" + std::string(Domains[0]),
                     addressFlag("log", Log->address()),
                     addressFlag("instances", Instances->address())};
  BOOST_LEAF_ASSIGN(entry.Child, harness::Process::start(std::move(setup)));
  BOOST_LEAF_ASSIGN(entry.Callers, entry.Child->waitForAddress("listening"));
  BOOST_LEAF_ASSIGN(entry.Admin, entry.Child->waitForAddress("admin"));
  Entries.push_back(std::move(entry));
  return {};
}

bool RequestFleet::servesAll(const FleetEntry &Entry) const {
  Outcome<boost::json::value> status = harness::getJson(Entry.Admin, "/status");
  return status && status->at("ready").as_bool() &&
         status->at("config_revision").to_number<std::uint64_t>() > 0 &&
         servingServers(*status) == Setup.Upstreams;
}

Result<void> RequestFleet::waitUntilServing() const {
  for (const FleetEntry &it : Entries) {
    bool seen = harness::waitUntil([&] { return servesAll(it); }, ServeLimit);
    if (!seen)
      return makeNotStarted("an entry does not see all servers");
    http::Request ask;
    ask.Method = "GET";
    // An engine's state can also be read through the product.
    ask.Target = "/v1/state";
    ask.Headers = {{"X-Service", FleetService}};
    bool answered = harness::waitUntil(
        [&] {
          Outcome<http::Response> got = harness::call(it.Callers, ask);
          return got && got->Status == 200;
        },
        ServeLimit);
    if (!answered)
      return makeNotStarted("an entry does not answer");
  }
  return {};
}

std::vector<Address> RequestFleet::callerAddresses() const {
  std::vector<Address> all;
  all.reserve(Entries.size());
  for (const FleetEntry &it : Entries)
    all.push_back(it.Callers);
  return all;
}

std::vector<Address> RequestFleet::upstreamAddresses() const {
  std::vector<Address> all;
  all.reserve(Upstreams.size());
  for (const FleetUpstream &it : Upstreams)
    all.push_back(it.StandIn->address());
  return all;
}

CounterTotals RequestFleet::readCounters() const {
  CounterTotals all;
  for (const FleetEntry &it : Entries)
    addCounters(it.Admin, all);
  for (const FleetUpstream &it : Upstreams) {
    if (it.Daemon->running())
      addCounters(it.Admin, all);
  }
  return all;
}

double RequestFleet::entryCpuSeconds() const {
  double seconds = 0;
  for (const FleetEntry &it : Entries)
    seconds += readCpuSeconds(*it.Child);
  return seconds;
}

double RequestFleet::daemonCpuSeconds() const {
  double seconds = 0;
  for (const FleetUpstream &it : Upstreams)
    seconds += readCpuSeconds(*it.Daemon);
  return seconds;
}

CounterTotals subtractCounters(const CounterTotals &After,
                               const CounterTotals &Before) {
  CounterTotals more;
  for (const std::pair<const std::string, double> &it : After) {
    CounterTotals::const_iterator before = Before.find(it.first);
    more[it.first] = it.second - (before == Before.end() ? 0 : before->second);
  }
  return more;
}

} // namespace wasabi::bench
