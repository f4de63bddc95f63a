#include "IntegrationTests/Chaos/Cluster.h"

#include "IntegrationTests/Harness/HttpCall.h"
#include "IntegrationTests/Harness/Waiting.h"

#include <csignal>
#include <filesystem>
#include <fstream>

namespace wasabi::chaos {

using harness::Process;
using harness::StandIn;

namespace {

constexpr Millis ReadyTimeout{30000};
constexpr Millis ExitTimeout{5000};
constexpr Millis CommandTimeout{30000};

std::string rateLimit(std::uint32_t rate) {
  return R"({"kind":"limit","name":"chaos","requests_per_second":)" +
         std::to_string(rate) + R"(,"burst":100})";
}

std::string presets() {
  return R"({"kind":"preset","name":"ordinary"},)"
         R"({"kind":"preset","name":"peak","rollout_percent":50,)"
         R"("on_version_change":"finish","hedge_tail":false},)"
         R"({"kind":"preset","name":"maintenance","admit_callers":false,)"
         R"("admit_rollouts":false},)"
         R"({"kind":"switch","name":"preset","preset":"ordinary"})";
}

/// Returns the failure domain of a server; domains are assigned in rotation.
std::string findDomain(const ClusterPlan &plan, std::size_t which) {
  return plan.Domains[which % plan.Domains.size()];
}

std::string placements(const ClusterPlan &plan, std::size_t first,
                       std::size_t count) {
  std::vector<std::uint32_t> servers(plan.Domains.size(), 0);
  for (std::size_t n = first; n < first + count; ++n)
    ++servers[n % plan.Domains.size()];
  std::string text;
  for (std::size_t n = 0; n < servers.size(); ++n) {
    if (servers[n] == 0)
      continue;
    text += text.empty() ? "" : ",";
    text += R"({"domain":")" + plan.Domains[n] + R"(","servers":)" +
            std::to_string(servers[n]) + "}";
  }
  return text;
}

/// Refuses connections: the upstream of a link whose process has not started.
const Address NoAddress{"127.0.0.1", 1};

std::string logFile(const std::string &folder, const std::string &name) {
  return folder + "/" + name + ".log";
}

} // namespace

Result<ClusterPlan> findClusterPlan(const std::string &Deployment) {
  if (Deployment == "lindqvist")
    return ClusterPlan{"lindqvist",
                       {"lulea-hall", "umea-hall", "sundsvall-hall"},
                       "drafting-llm",
                       "drafting",
                       "lease-desk",
                       "permits",
                       1,
                       true};
  if (Deployment == "balikbayan")
    return ClusterPlan{"balikbayan",
                       {"pasig-a", "pasig-b", "makati-a", "valenzuela"},
                       "inspect-llm",
                       "inspect",
                       "bidding-app",
                       "conditions",
                       2,
                       false};
  return badInput("--deployment", "neither lindqvist nor balikbayan");
}

Result<std::unique_ptr<StandIn>>
Cluster::standIn(const std::string &Role, std::vector<std::string> Flags,
                 const std::string &LogName, Address Listen) {
  StandIn::Settings setup;
  setup.Role = Role;
  setup.Flags = std::move(Flags);
  setup.ErrorFile = logFile(Folder, LogName);
  setup.Listen = std::move(Listen);
  return StandIn::start(std::move(setup));
}

Result<std::unique_ptr<StandIn>> Cluster::link(const Address &Upstream,
                                               const std::string &LogName) {
  return standIn("faultproxy", {"--upstream=" + toText(Upstream)}, LogName);
}

Result<void> Cluster::startPlatform() {
  BOOST_LEAF_ASSIGN(Log, standIn("log", {}, "log"));
  // The weights are small, so that every engine loads a version quickly.
  BOOST_LEAF_ASSIGN(Weights, standIn("weights",
                                     {"--bytes_per_s=40000000",
                                      "--blob_bytes=4000000", "--fetches=8"},
                                     "weights"));
  BOOST_LEAF_ASSIGN(Instances,
                    standIn("instances", {"--lag_ms=1000"}, "instances"));
  BOOST_LEAF_ASSIGN(Scorer, standIn("scorer", {}, "scorer"));
  BOOST_LEAF_ASSIGN(
      Trainer,
      standIn("trainer",
              {"--name=" + Plan.Trainer, "--model=" + Plan.Model, "--groups=4",
               "--group_size=4", "--max_tokens=48", "--train_ms=1200",
               "--staleness_bound=" + std::to_string(Plan.StalenessBound),
               "--checks_fences=true", "--store=" + toText(Weights->address()),
               "--seed=" + std::to_string(Seed)},
              "trainer"));
  BOOST_LEAF_ASSIGN(LogLink, link(Log->address(), "link-log"));
  BOOST_LEAF_ASSIGN(WeightsLink, link(Weights->address(), "link-weights"));
  BOOST_LEAF_ASSIGN(InstancesLink,
                    link(Instances->address(), "link-instances"));
  BOOST_LEAF_ASSIGN(TrainerLink, link(Trainer->address(), "link-trainer"));
  return {};
}

std::vector<std::string> Cluster::engineFlags(std::size_t Index) const {
  return {"--name=" + Plan.EngineService + "-" + std::to_string(Index + 1),
          "--model=" + Plan.Model,
          "--slots=8",
          "--tokens_per_s=120",
          std::string("--checks_fences=") +
              (Plan.EnginesCheckFences ? "true" : "false"),
          "--store=" + toText(Weights->address()),
          "--seed=" + std::to_string(Seed)};
}

Result<void> Cluster::startUpstreams() {
  for (std::size_t n = 0; n < Plan.Engines; ++n) {
    BOOST_LEAF_AUTO(engine, standIn("engine", engineFlags(n),
                                    "engine-" + std::to_string(n + 1)));
    Engines.push_back(std::move(engine));
  }
  for (std::size_t n = 0; n < Plan.PlainServers; ++n) {
    const std::string name = Plan.PlainService + "-" + std::to_string(n + 1);
    BOOST_LEAF_AUTO(service,
                    standIn("service",
                            {"--name=" + name, "--latency_ms=4", "--slots=16"},
                            name));
    Services.push_back(std::move(service));
  }
  return {};
}

Result<void> Cluster::prepareSlot(ProcessSlot &Slot) {
  BOOST_LEAF_ASSIGN(Slot.ControlLink,
                    link(NoAddress, "link-control-" + Slot.Instance));
  Slot.Flags = {
      "--instance=" + Slot.Instance,
      "--failure_domain=" + Slot.Domain,
      "--advertise_control=" + toText(Slot.ControlLink->address()),
      "--log=" + toText(LogLink->address()),
      "--instances=" + toText(InstancesLink->address()),
  };
  if (Slot.IsEntry)
    return {};
  BOOST_LEAF_ASSIGN(Slot.FramesLink,
                    link(NoAddress, "link-frames-" + Slot.Instance));
  Slot.Flags.push_back("--advertise_frames=" +
                       toText(Slot.FramesLink->address()));
  Slot.Flags.push_back("--weights=" + toText(WeightsLink->address()));
  Slot.Flags.push_back("--scorer=" + toText(Scorer->address()));
  return {};
}

Result<void> Cluster::prepareSlots() {
  const std::size_t servers = Plan.Engines + Plan.PlainServers;
  for (std::size_t n = 0; n < servers; ++n) {
    const bool isEngine = n < Plan.Engines;
    const std::size_t number = isEngine ? n : n - Plan.Engines;
    const std::string &service =
        isEngine ? Plan.EngineService : Plan.PlainService;
    const StandIn &upstream = isEngine ? *Engines[number] : *Services[number];
    std::unique_ptr<ProcessSlot> slot = std::make_unique<ProcessSlot>();
    slot->Domain = findDomain(Plan, n);
    slot->Instance = slot->Domain + "-" + std::to_string(n + 1);
    slot->Server = service + "-" + std::to_string(number + 1);
    BOOST_LEAF_CHECK(prepareSlot(*slot));
    slot->Flags.push_back("--upstreams=" + slot->Server + "=" + service + "@" +
                          toText(upstream.address()));
    Daemons.push_back(std::move(slot));
  }
  for (std::size_t n = 0; n < Plan.Entries; ++n) {
    std::unique_ptr<ProcessSlot> slot = std::make_unique<ProcessSlot>();
    slot->IsEntry = true;
    slot->Domain = findDomain(Plan, n);
    slot->Instance = "entry-" + std::to_string(n + 1);
    BOOST_LEAF_CHECK(prepareSlot(*slot));
    Entries.push_back(std::move(slot));
  }
  return {};
}

Result<void> Cluster::startSlot(ProcessSlot &Slot) {
  Process::Settings setup;
  setup.Program = Slot.IsEntry ? "wasabi-entry" : "wasabi-daemon";
  setup.Arguments = Slot.Flags;
  setup.ErrorFile =
      logFile(Folder, Slot.Instance + "." + std::to_string(++Slot.Starts));
  BOOST_LEAF_AUTO(started, Process::start(std::move(setup)));
  std::shared_ptr<Process> process(std::move(started));
  BOOST_LEAF_AUTO(controls, process->waitForAddress("control"));
  BOOST_LEAF_AUTO(admin, process->waitForAddress("admin"));
  const auto point = [](const StandIn &to, const Address &where) {
    to.setFaults(R"({"upstream":")" + toText(where) + R"("})");
  };
  point(*Slot.ControlLink, controls);
  Address http;
  if (Slot.IsEntry) {
    BOOST_LEAF_ASSIGN(http, process->waitForAddress("listening"));
  } else {
    BOOST_LEAF_AUTO(frames, process->waitForAddress("frames"));
    point(*Slot.FramesLink, frames);
  }
  std::lock_guard<std::mutex> lock(Slot.Mutex);
  Slot.Process = std::move(process);
  Slot.Admin = admin;
  Slot.Http = http;
  return {};
}

void Cluster::killSlot(ProcessSlot &Slot) {
  std::shared_ptr<Process> process;
  {
    std::lock_guard<std::mutex> lock(Slot.Mutex);
    process = std::move(Slot.Process);
    Slot.Process = nullptr;
    Slot.Admin = Address();
    Slot.Http = Address();
  }
  if (!process)
    return;
  process->signal(SIGKILL);
  process->wait(ExitTimeout);
  http::Request request;
  request.Method = "DELETE";
  request.Target = "/v1/instances/" + Slot.Instance;
  harness::call(Instances->address(), request, ExitTimeout);
}

void Cluster::killEngine(std::size_t Index) {
  std::lock_guard<std::mutex> lock(EnginesMutex);
  Engines[Index]->process().signal(SIGKILL);
  Engines[Index]->process().wait(ExitTimeout);
}

Result<void> Cluster::startEngine(std::size_t Index) {
  std::lock_guard<std::mutex> lock(EnginesMutex);
  if (Engines[Index]->process().running())
    return {};
  const Address where = Engines[Index]->address();
  BOOST_LEAF_AUTO(restarted,
                  standIn("engine", engineFlags(Index),
                          "engine-" + std::to_string(Index + 1), where));
  Engines[Index] = std::move(restarted);
  return {};
}

std::shared_ptr<StandIn> Cluster::engine(std::size_t Index) const {
  std::lock_guard<std::mutex> lock(EnginesMutex);
  return Engines[Index];
}

Cluster::CtlCommandResult
Cluster::runCtl(std::vector<std::string> Arguments) const {
  Arguments.push_back("--log=" + toText(Log->address()));
  Arguments.push_back("--instances=" + toText(Instances->address()));
  Process::Settings setup;
  setup.Program = "wasabictl";
  setup.Arguments = std::move(Arguments);
  setup.ErrorFile = logFile(Folder, "wasabictl");
  const Outcome<std::unique_ptr<Process>> process =
      toOutcome<std::unique_ptr<Process>>(
          [&] { return Process::start(std::move(setup)); });
  if (!process)
    return {};
  const std::optional<harness::ProcessExit> end =
      (*process)->waitAndRead(CommandTimeout);
  return {end ? end->Code : -1, (*process)->output()};
}

std::string Cluster::writeDeclarations(const std::string &Name,
                                       std::uint32_t Rate) const {
  std::string folder = Folder + "/" + Name;
  std::filesystem::create_directories(folder);
  std::ofstream file(folder + "/all.json");
  file << R"([{"kind":"service","name":")" << Plan.EngineService
       << R"(","type":"engines","model":")" << Plan.Model
       << R"(","checks_fences":)"
       << (Plan.EnginesCheckFences ? "true" : "false") << R"(,"placements":[)"
       << placements(Plan, 0, Plan.Engines)
       << R"(]},{"kind":"service","name":")" << Plan.PlainService
       << R"(","type":"plain","placements":[)"
       << placements(Plan, Plan.Engines, Plan.PlainServers)
       << R"(],"routes":[{"method":"POST","path_prefix":"/bids",)"
       << R"("idempotent":false}]},{"kind":"trainer","name":")" << Plan.Trainer
       << R"(","model":")" << Plan.Model << R"(","endpoint":")"
       << toText(TrainerLink->address()) << R"(","staleness_bound":)"
       << Plan.StalenessBound << R"(},{"kind":"attachment","name":"training",)"
       << R"("trainer":")" << Plan.Trainer << R"(","service":")"
       << Plan.EngineService << R"("},)" << presets() << "," << rateLimit(Rate)
       << "]\n";
  return folder;
}

std::vector<StandIn *> Cluster::links() {
  std::vector<StandIn *> all = {LogLink.get(), WeightsLink.get(),
                                InstancesLink.get(), TrainerLink.get()};
  for (const std::unique_ptr<ProcessSlot> &it : Daemons) {
    all.push_back(it->FramesLink.get());
    all.push_back(it->ControlLink.get());
  }
  for (const std::unique_ptr<ProcessSlot> &it : Entries)
    all.push_back(it->ControlLink.get());
  return all;
}

Address Cluster::adminAddress(const ProcessSlot &Slot) {
  std::lock_guard<std::mutex> lock(Slot.Mutex);
  return Slot.Admin;
}

Address Cluster::httpAddress(const ProcessSlot &Slot) {
  std::lock_guard<std::mutex> lock(Slot.Mutex);
  return Slot.Http;
}

std::shared_ptr<Process> Cluster::currentProcess(const ProcessSlot &Slot) {
  std::lock_guard<std::mutex> lock(Slot.Mutex);
  return Slot.Process;
}

Result<void> Cluster::startProcesses() {
  for (const std::unique_ptr<ProcessSlot> &it : Daemons)
    BOOST_LEAF_CHECK(startSlot(*it));
  for (const std::unique_ptr<ProcessSlot> &it : Entries)
    BOOST_LEAF_CHECK(startSlot(*it));
  const CtlCommandResult applied =
      runCtl({"apply", writeDeclarations("declarations", 1000),
              "--operator=chaos", "--message=start"});
  if (applied.Code != 0)
    return boost::leaf::new_error(Failure{
        Verdict::MayHaveRun,
        FailureCode::Unavailable,
        "wasabictl apply",
        "exit code " + std::to_string(applied.Code) + ": " + applied.Output,
        {}});
  for (const std::vector<std::unique_ptr<ProcessSlot>> *slots :
       {&Daemons, &Entries}) {
    for (const std::unique_ptr<ProcessSlot> &it : *slots) {
      const bool ready = harness::waitUntil(
          [&] { return bool(harness::getText(adminAddress(*it), "/readyz")); },
          ReadyTimeout);
      if (!ready)
        return boost::leaf::new_error(Failure{Verdict::NotRun,
                                              FailureCode::Unavailable,
                                              it->Instance,
                                              "it does not become ready",
                                              {}});
    }
  }
  return {};
}

Result<std::unique_ptr<Cluster>>
Cluster::start(ClusterPlan Plan, std::uint64_t Seed, std::string Folder) {
  std::unique_ptr<Cluster> cluster(
      new Cluster(std::move(Plan), Seed, std::move(Folder)));
  BOOST_LEAF_CHECK(cluster->startPlatform());
  BOOST_LEAF_CHECK(cluster->startUpstreams());
  BOOST_LEAF_CHECK(cluster->prepareSlots());
  BOOST_LEAF_CHECK(cluster->startProcesses());
  return cluster;
}

} // namespace wasabi::chaos
