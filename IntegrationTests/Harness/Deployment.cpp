#include "IntegrationTests/Harness/Deployment.h"

#include "IntegrationTests/Harness/FreePort.h"
#include "IntegrationTests/Harness/HttpCall.h"
#include "IntegrationTests/Harness/Waiting.h"

#include <boost/json/value.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

namespace wasabi::harness {

namespace {

const Address AnyPort{"127.0.0.1", 0};
constexpr Millis ReadyTimeout{30000};

std::string flag(std::string_view Name, std::string_view Value) {
  return "--" + std::string(Name) + "=" + std::string(Value);
}

std::string flag(std::string_view Name, const Address &Where) {
  return flag(Name, toText(Where));
}

boost::leaf::error_id unavailable(std::string Place, std::string Reason) {
  return boost::leaf::new_error(Failure{Verdict::NotRun,
                                        FailureCode::Unavailable,
                                        std::move(Place),
                                        std::move(Reason),
                                        {}});
}

std::string readFile(const std::string &Path) {
  std::ifstream file(Path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::set<DomainName> findDomains(const Configuration &Declared) {
  std::set<DomainName> domains;
  for (const std::pair<const ServiceName, ServiceDeclaration> &service :
       Declared.Services) {
    for (const Placement &it : service.second.Placements)
      domains.insert(it.Domain);
  }
  return domains;
}

/// Returns true if a process' status lists a member with this control address
/// as alive and all of its servers as serving.
bool isServing(const boost::json::object &Member, const Address &Control) {
  namespace json = boost::json;
  if (Member.at("state") != "alive" ||
      Member.at("control").as_string() != toText(Control))
    return false;
  const json::array &servers = Member.at("servers").as_array();
  return !servers.empty() &&
         std::all_of(servers.begin(), servers.end(), [](const json::value &it) {
           return it.at("serving").as_bool();
         });
}

bool knowsDaemons(const WasabiProcess &Node,
                  const std::map<std::string, Address> &Daemons) {
  Outcome<boost::json::value> status = getJson(Node.Admin, "/status");
  if (!status)
    return false;
  std::size_t known = 0;
  for (const boost::json::value &it : status->at("members").as_array()) {
    const boost::json::object &member = it.as_object();
    auto daemon = Daemons.find(std::string(member.at("instance").as_string()));
    if (daemon != Daemons.end() && isServing(member, daemon->second))
      ++known;
  }
  return known == Daemons.size();
}

} // namespace

Deployment::Deployment(Settings Setup, Example Source,
                       std::unique_ptr<TestFolder> Folder)
    : Setup(std::move(Setup)), Source(std::move(Source)),
      Folder(std::move(Folder)) {}

Deployment::~Deployment() {
  // Stop the product first, so that it does not observe an outage of the
  // platform.
  Nodes.clear();
}

Result<std::unique_ptr<Deployment>> Deployment::start(Settings Setup) {
  BOOST_LEAF_AUTO(example, readExample(Setup.Example));
  BOOST_LEAF_AUTO(folder, TestFolder::create());
  std::unique_ptr<Deployment> made(
      new Deployment(std::move(Setup), std::move(example), std::move(folder)));
  BOOST_LEAF_CHECK(made->startPlatform());
  BOOST_LEAF_CHECK(made->startTrainers());
  BOOST_LEAF_CHECK(made->startUpstreams());
  BOOST_LEAF_CHECK(made->startNodes());
  return made;
}

Result<std::unique_ptr<StandIn>>
Deployment::startStandIn(const std::string &Role, const std::string &Name,
                         std::vector<std::string> Flags, Address Listen) {
  auto it = Setup.Flags.find(Role);
  if (it != Setup.Flags.end())
    Flags.insert(Flags.end(), it->second.begin(), it->second.end());
  return StandIn::start(
      {Role, std::move(Flags), Folder->file(Name + ".err"), std::move(Listen)});
}

Result<Done> Deployment::startPlatform() {
  BOOST_LEAF_ASSIGN(Log, startStandIn("log", "log", {}, AnyPort));
  BOOST_LEAF_ASSIGN(Instances,
                    startStandIn("instances", "instances", {}, AnyPort));
  BOOST_LEAF_ASSIGN(Weights, startStandIn("weights", "weights", {}, AnyPort));
  BOOST_LEAF_ASSIGN(Scorer, startStandIn("scorer", "scorer", {}, AnyPort));
  return Done{};
}

Result<Done> Deployment::startTrainers() {
  std::map<TrainerName, Address> addresses;
  for (const std::pair<const TrainerName, TrainerDeclaration> &it :
       Source.Declared.Trainers) {
    const TrainerDeclaration &declared = it.second;
    BOOST_LEAF_AUTO(
        trainer,
        startStandIn(
            "trainer", it.first.Text,
            {flag("name", it.first.Text), flag("model", declared.Model.Text),
             flag("staleness_bound", std::to_string(declared.StalenessBound)),
             flag("checks_fences", declared.ChecksFences ? "true" : "false"),
             flag("store", Weights->address())},
            AnyPort));
    addresses[it.first] = trainer->address();
    Trainers[it.first] = std::move(trainer);
  }
  return writeDeclarations(Source, addresses, declarations());
}

std::vector<std::string>
Deployment::upstreamFlags(const UpstreamProcess &Node) const {
  const ServiceDeclaration &service = Source.Declared.Services.at(Node.Service);
  if (service.Kind == ServiceKind::Plain)
    return {flag("name", Node.Name)};
  return {flag("name", Node.Name), flag("model", service.Model.Text),
          flag("checks_fences", service.ChecksFences ? "true" : "false"),
          flag("store", Weights->address())};
}

Result<Done> Deployment::startUpstreams() {
  for (const std::pair<const ServiceName, ServiceDeclaration> &service :
       Source.Declared.Services) {
    for (const Placement &place : service.second.Placements) {
      for (std::uint32_t i = 1; i <= place.Servers; ++i) {
        UpstreamProcess node;
        node.Name = service.first.Text + "-" + place.Domain.Text + "-" +
                    std::to_string(i);
        node.Service = service.first;
        node.Domain = place.Domain;
        Upstreams.push_back(std::move(node));
        BOOST_LEAF_CHECK(restart(Upstreams.back()));
      }
    }
  }
  return Done{};
}

Result<Done> Deployment::restart(UpstreamProcess &Node) {
  Address listen = Node.Server ? Node.Server->address() : AnyPort;
  Node.Server.reset();
  bool plain =
      Source.Declared.Services.at(Node.Service).Kind == ServiceKind::Plain;
  BOOST_LEAF_ASSIGN(Node.Server,
                    startStandIn(plain ? "service" : "engine", Node.Name,
                                 upstreamFlags(Node), listen));
  return Done{};
}

Result<Done> Deployment::startNodes() {
  for (std::size_t i = 0; i < Upstreams.size(); ++i) {
    WasabiProcess node;
    node.Name = "slot-" + Upstreams[i].Name;
    node.Domain = Upstreams[i].Domain;
    node.Upstream = i;
    Nodes.push_back(std::move(node));
  }
  for (const DomainName &domain : findDomains(Source.Declared)) {
    for (std::size_t i = 1; i <= Setup.EntriesPerDomain; ++i) {
      WasabiProcess node;
      node.Name = "entry-" + domain.Text + "-" + std::to_string(i);
      node.Domain = domain;
      Nodes.push_back(std::move(node));
    }
  }
  // The first process is the seed of the others, which start in parallel.
  BOOST_LEAF_CHECK(restart(Nodes.front()));
  for (std::size_t i = 1; i < Nodes.size(); ++i)
    BOOST_LEAF_CHECK(launch(Nodes[i]));
  for (std::size_t i = 1; i < Nodes.size(); ++i)
    BOOST_LEAF_CHECK(readAddresses(Nodes[i]));
  for (const WasabiProcess &it : Nodes) {
    if (!waitUntil([&] { return isReady(it); }, ReadyTimeout))
      return unavailable(it.Name, "it did not become ready: " +
                                      readFile(Folder->file(it.Name + ".err")));
  }
  return Done{};
}

std::vector<std::string>
Deployment::nodeArguments(const WasabiProcess &Node) const {
  std::vector<std::string> arguments = {
      flag("instance", Node.Name), flag("failure_domain", Node.Domain.Text),
      flag("log", Log->address()), flag("instances", Instances->address())};
  std::string seeds;
  for (const WasabiProcess &it : Nodes) {
    if (seeds.empty() && it.Child && it.Name != Node.Name &&
        !it.Control.empty())
      seeds = toText(it.Control);
  }
  if (!seeds.empty())
    arguments.push_back(flag("seeds", seeds));
  if (Node.isEntry())
    return arguments;
  const UpstreamProcess &server = Upstreams[*Node.Upstream];
  arguments.push_back(flag("weights", Weights->address()));
  arguments.push_back(flag("scorer", Scorer->address()));
  arguments.push_back(flag("upstreams", server.Name + "=" +
                                            server.Service.Text + "@" +
                                            toText(server.Server->address())));
  return arguments;
}

Result<Done> Deployment::launch(WasabiProcess &Node) {
  std::vector<std::string> arguments = nodeArguments(Node);
  if (Setup.UsesFaultProxies && !Node.isEntry())
    BOOST_LEAF_CHECK(launchBehindProxy(Node, arguments));
  Node.Child.reset();
  BOOST_LEAF_ASSIGN(
      Node.Child,
      Process::start({Node.isEntry() ? "wasabi-entry" : "wasabi-daemon",
                      std::move(arguments),
                      {},
                      Folder->file(Node.Name + ".err")}));
  return Done{};
}

Result<Done>
Deployment::launchBehindProxy(WasabiProcess &Node,
                              std::vector<std::string> &Arguments) {
  if (!Node.Proxy) {
    // The proxy needs the daemon's port before the daemon starts, and outlives
    // a replaced daemon.
    BOOST_LEAF_ASSIGN(Node.ListenAddress, freePort());
    BOOST_LEAF_ASSIGN(Node.Proxy,
                      startStandIn("faultproxy", "proxy-" + Node.Name,
                                   {flag("upstream", Node.ListenAddress)},
                                   AnyPort));
  }
  Arguments.push_back(flag("frames", Node.ListenAddress));
  Arguments.push_back(flag("advertise_frames", Node.Proxy->address()));
  return Done{};
}

Result<Done> Deployment::readAddresses(WasabiProcess &Node) {
  BOOST_LEAF_ASSIGN(Node.Control, Node.Child->waitForAddress("control"));
  BOOST_LEAF_ASSIGN(Node.Admin, Node.Child->waitForAddress("admin"));
  BOOST_LEAF_ASSIGN(
      Node.ListenAddress,
      Node.Child->waitForAddress(Node.isEntry() ? "listening" : "frames"));
  return Done{};
}

Result<Done> Deployment::restart(WasabiProcess &Node) {
  BOOST_LEAF_CHECK(launch(Node));
  return readAddresses(Node);
}

bool Deployment::isReady(const WasabiProcess &Node) {
  return Node.Child && Node.Child->running() &&
         static_cast<bool>(getText(Node.Admin, "/readyz"));
}

std::vector<Address> Deployment::readyEntries() const {
  std::vector<Address> ready;
  for (const WasabiProcess &it : Nodes) {
    if (it.isEntry() && isReady(it))
      ready.push_back(it.ListenAddress);
  }
  return ready;
}

std::map<std::string, Address> Deployment::daemonControlAddresses() const {
  std::map<std::string, Address> daemons;
  for (const WasabiProcess &it : Nodes) {
    if (!it.isEntry())
      daemons[it.Name] = it.Control;
  }
  return daemons;
}

std::string Deployment::describeIncompleteViews() const {
  std::map<std::string, Address> daemons = daemonControlAddresses();
  std::string text;
  for (const WasabiProcess &it : Nodes) {
    if (!isReady(it) || knowsDaemons(it, daemons))
      continue;
    Outcome<std::string> status = getText(it.Admin, "/status");
    text +=
        it.Name + ": " + (status ? *status : describe(status.failure())) + "\n";
  }
  return text;
}

bool Deployment::areAllUpstreamsKnown() const {
  std::map<std::string, Address> daemons = daemonControlAddresses();
  return std::all_of(Nodes.begin(), Nodes.end(), [&](const WasabiProcess &it) {
    return !isReady(it) || knowsDaemons(it, daemons);
  });
}

CtlResult Deployment::control(std::vector<std::string> Arguments,
                              Millis Timeout) {
  Arguments.push_back(flag("log", Log->address()));
  Arguments.push_back(flag("instances", Instances->address()));
  Arguments.push_back(flag("operator", "harness"));
  std::string errors = Folder->file("wasabictl.err");
  std::ofstream(errors).close();
  TimePoint started = monotonicNow();
  CtlResult run;
  Outcome<std::unique_ptr<Process>> child =
      toOutcome<std::unique_ptr<Process>>([&] {
        return Process::start({"wasabictl", std::move(Arguments), {}, errors});
      });
  if (!child)
    return {-1, "", describe(child.failure()), Millis(0)};
  std::optional<ProcessExit> end = (*child)->waitAndRead(Timeout);
  run.Code = end ? end->Code : -1;
  run.Output = (*child)->output();
  run.Errors = readFile(errors);
  run.Duration = std::chrono::duration_cast<Millis>(monotonicNow() - started);
  return run;
}

void Deployment::kill(WasabiProcess &Node) {
  Node.Child->signal(SIGKILL);
  Node.Child->wait(ProcessStartTimeout);
  http::Request req;
  req.Method = "DELETE";
  req.Target = "/v1/instances/" + Node.Name;
  // An instance list that is down receives the change later, as the platform's
  // own does.
  call(Instances->address(), std::move(req));
}

std::optional<ProcessExit> Deployment::stop(WasabiProcess &Node,
                                            Millis Timeout) {
  Node.Child->signal(SIGTERM);
  return Node.Child->wait(Timeout);
}

} // namespace wasabi::harness
