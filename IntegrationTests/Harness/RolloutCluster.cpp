#include "IntegrationTests/Harness/RolloutCluster.h"

#include "IntegrationTests/Harness/HttpCall.h"
#include "IntegrationTests/Harness/Waiting.h"
#include "Wasabi/State/Record.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <csignal>

namespace wasabi::harness {

namespace {

constexpr Millis ReadyTimeout{30000};
constexpr char Model[] = "draft";
constexpr char Service[] = "drafting-llm";

std::string addressFlag(const std::string &Name, const Address &Where) {
  return "--" + Name + "=" + toText(Where);
}

std::string numberFlag(const std::string &Name, std::uint64_t Value) {
  return "--" + Name + "=" + std::to_string(Value);
}

std::string boolFlag(const std::string &Name, bool Value) {
  return "--" + Name + "=" + (Value ? "true" : "false");
}

std::uint64_t findNumber(const boost::json::value &Object,
                         std::string_view Member) {
  const boost::json::value *found = Object.as_object().if_contains(Member);
  return found == nullptr ? 0 : found->to_number<std::uint64_t>();
}

std::string makeObject(const std::string &Kind, const std::string &Name,
                       const std::string &Members) {
  return R"({"kind":")" + Kind + R"(","name":")" + Name + R"(")" + Members +
         "}";
}

/// Returns how many versions the oldest token of a sample was behind the
/// newest.
std::uint64_t computeStaleness(const boost::json::value &Sample) {
  std::uint64_t newest = findNumber(Sample, "newest_at_arrival");
  std::uint64_t oldest = newest;
  for (const boost::json::value &it : Sample.at("spans").as_array())
    oldest = std::min(oldest, findNumber(it, "weights_version"));
  return newest - oldest;
}

void addSample(TrainerTruth &Truth, const boost::json::value &Sample) {
  if (!Sample.at("taken").as_bool())
    return;
  ++Truth.Taken;
  Truth.Tokens += findNumber(Sample, "tokens");
  Truth.Staleness.push_back(computeStaleness(Sample));
}

} // namespace

Result<std::unique_ptr<RolloutCluster>> RolloutCluster::start(Settings Setup) {
  std::unique_ptr<RolloutCluster> cluster(new RolloutCluster(std::move(Setup)));
  BOOST_LEAF_CHECK(cluster->startPlatform());
  for (std::size_t at = 0; at < cluster->Setup.Engines; ++at) {
    BOOST_LEAF_AUTO(engine, cluster->startEngine(at, {"127.0.0.1", 0}));
    cluster->Engines.push_back(std::move(engine));
  }
  for (const ClusterTrainer &it : cluster->Setup.Trainers)
    BOOST_LEAF_CHECK(cluster->startTrainer(it));
  for (std::size_t at = 0; at < cluster->Setup.Engines; ++at)
    BOOST_LEAF_CHECK(cluster->startDaemon(at));
  for (Daemon &it : cluster->Daemons) {
    BOOST_LEAF_ASSIGN(it.Admin, it.Child->waitForAddress("admin"));
  }
  Outcome<Done> declared = cluster->declare();
  if (!declared)
    return boost::leaf::new_error(declared.failure());
  return cluster;
}

Result<void> RolloutCluster::startPlatform() {
  BOOST_LEAF_ASSIGN(Log, StandIn::start({"log", {}, "", {"127.0.0.1", 0}}));
  BOOST_LEAF_ASSIGN(Instances,
                    StandIn::start({"instances", {}, "", {"127.0.0.1", 0}}));
  BOOST_LEAF_ASSIGN(
      Weights, StandIn::start({"weights",
                               {numberFlag("bytes_per_s", Setup.BytesPerSecond),
                                numberFlag("blob_bytes", Setup.BlobBytes),
                                numberFlag("fetches", Setup.Fetches)},
                               "",
                               {"127.0.0.1", 0}}));
  BOOST_LEAF_ASSIGN(Scorer,
                    StandIn::start({"scorer", {}, "", {"127.0.0.1", 0}}));
  return {};
}

Result<std::unique_ptr<StandIn>> RolloutCluster::startEngine(std::size_t At,
                                                             Address Listen) {
  StandIn::Settings setup;
  setup.Role = "engine";
  setup.Listen = std::move(Listen);
  setup.Flags = {"--name=e" + std::to_string(At),
                 std::string("--model=") + Model,
                 numberFlag("slots", Setup.EngineSlots),
                 "--tokens_per_s=" + std::to_string(Setup.TokensPerSecond),
                 addressFlag("store", Weights->address())};
  return StandIn::start(std::move(setup));
}

Result<void> RolloutCluster::startTrainer(const ClusterTrainer &Trainer) {
  StandIn::Settings setup;
  setup.Role = "trainer";
  setup.Flags = {"--name=" + Trainer.Name,
                 std::string("--model=") + Model,
                 numberFlag("groups", Trainer.Groups),
                 numberFlag("group_size", Trainer.GroupSize),
                 numberFlag("max_tokens", Trainer.MaxTokens),
                 numberFlag("train_ms", Trainer.TrainMs),
                 numberFlag("steps", Trainer.Steps),
                 numberFlag("staleness_bound", Trainer.StalenessBound),
                 boolFlag("checks_fences", Trainer.ChecksFences),
                 numberFlag("seed", Trainer.Seed),
                 addressFlag("store", Weights->address())};
  BOOST_LEAF_AUTO(trainer, StandIn::start(std::move(setup)));
  Trainers.push_back(std::move(trainer));
  return {};
}

Result<void> RolloutCluster::startDaemon(std::size_t At) {
  Daemon daemon;
  daemon.Instance = "node-" + std::to_string(At);
  Process::Settings setup;
  setup.Program = "wasabi-daemon";
  setup.Arguments = {"--instance=" + daemon.Instance,
                     "--failure_domain=" +
                         Setup.Domains[At % Setup.Domains.size()],
                     addressFlag("log", Log->address()),
                     addressFlag("instances", Instances->address()),
                     addressFlag("weights", Weights->address()),
                     addressFlag("scorer", Scorer->address()),
                     "--upstreams=e" + std::to_string(At) + "=" + Service +
                         "@" + toText(Engines[At]->address())};
  setup.Arguments.insert(setup.Arguments.end(), Setup.DaemonFlags.begin(),
                         Setup.DaemonFlags.end());
  if (!Setup.ErrorFolder.empty())
    setup.ErrorFile = Setup.ErrorFolder + "/" + daemon.Instance;
  BOOST_LEAF_ASSIGN(daemon.Child, Process::start(std::move(setup)));
  Daemons.push_back(std::move(daemon));
  return {};
}

Outcome<Done> RolloutCluster::declare() {
  std::vector<std::pair<std::string, std::string>> writes;
  std::string placements;
  for (const std::string &it : Setup.Domains) {
    placements += placements.empty() ? "" : ",";
    placements += R"({"domain":")" + it + R"(","servers":)" +
                  std::to_string(Setup.Engines) + "}";
  }
  writes.emplace_back(std::string("service/") + Service,
                      makeObject("service", Service,
                                 std::string(R"(,"type":"engines","model":")") +
                                     Model + R"(","placements":[)" +
                                     placements + "]"));
  for (std::size_t at = 0; at < Trainers.size(); ++at) {
    const ClusterTrainer &it = Setup.Trainers[at];
    writes.emplace_back(
        "trainer/" + it.Name,
        makeObject(
            "trainer", it.Name,
            std::string(R"(,"model":")") + Model + R"(","endpoint":")" +
                toText(Trainers[at]->address()) + R"(","staleness_bound":)" +
                std::to_string(it.StalenessBound) + R"(,"checks_fences":)" +
                (it.ChecksFences ? "true" : "false")));
    writes.emplace_back("attachment/" + it.Name,
                        makeObject("attachment", it.Name,
                                   R"(,"trainer":")" + it.Name +
                                       R"(","service":")" + Service + R"(")"));
  }
  writes.emplace_back("preset/ordinary",
                      makeObject("preset", "ordinary", Setup.PresetMembers));
  writes.emplace_back("switch/preset", makeObject("switch", "preset",
                                                  R"(,"preset":"ordinary")"));
  return change(std::move(writes));
}

Outcome<Done> RolloutCluster::declarePreset(const std::string &Members) {
  return change(
      {{"preset/ordinary", makeObject("preset", "ordinary", Members)}});
}

Outcome<Done> RolloutCluster::change(
    std::vector<std::pair<std::string, std::string>> Writes) {
  ConfigChange change;
  change.Operator = "test";
  for (std::pair<std::string, std::string> &it : Writes)
    change.Writes.push_back({it.first, it.second});
  // The harness is the only operator, so its base is always the newest.
  Outcome<boost::json::value> truth = Log->truth();
  if (!truth)
    return truth.failure();
  const boost::json::object &streams = truth->at("streams").as_object();
  if (const boost::json::value *control = streams.if_contains(ControlStream))
    change.Base = findNumber(*control, "end");
  ++Changes;
  Outcome<http::Response> answer =
      postJson(Log->address(), "/v1/streams/control/records",
               encodeRecord(Record{RecordId{"test", 1, Changes}, change}));
  if (!answer)
    return answer.failure();
  return Done{};
}

boost::json::value RolloutCluster::status(std::size_t At) const {
  Outcome<boost::json::value> got = getJson(Daemons[At].Admin, "/status");
  return got ? *got : boost::json::value();
}

boost::json::value
RolloutCluster::ownedTrainerStatus(std::size_t At,
                                   const std::string &Trainer) const {
  if (!Daemons[At].Child->running())
    return {};
  boost::json::value report = status(At);
  if (!report.is_object() || !report.as_object().contains("rollouts"))
    return {};
  const boost::json::object &rollouts = report.at("rollouts").as_object();
  const boost::json::value *owned = rollouts.if_contains("trainers");
  if (owned == nullptr)
    return {};
  for (const boost::json::value &it : owned->as_array()) {
    if (it.at("trainer").as_string() == Trainer)
      return it;
  }
  return {};
}

std::optional<std::size_t>
RolloutCluster::findOwner(const std::string &Trainer) const {
  for (std::size_t at = 0; at < Daemons.size(); ++at) {
    if (!ownedTrainerStatus(at, Trainer).is_null())
      return at;
  }
  return std::nullopt;
}

std::optional<std::uint64_t>
RolloutCluster::runningSamples(const std::string &Trainer) const {
  std::optional<std::size_t> owner = findOwner(Trainer);
  if (!owner)
    return std::nullopt;
  boost::json::value report = ownedTrainerStatus(*owner, Trainer);
  if (report.is_null())
    return std::nullopt;
  return findNumber(report, "running");
}

void RolloutCluster::killDaemon(std::size_t At) {
  Daemons[At].Child->signal(SIGKILL);
  Daemons[At].Child->wait(ReadyTimeout);
  http::Request req;
  req.Method = "DELETE";
  req.Target = "/v1/instances/" + Daemons[At].Instance;
  call(Instances->address(), std::move(req));
}

void RolloutCluster::replaceEngine(std::size_t At) {
  Address where = Engines[At]->address();
  Engines[At]->process().signal(SIGKILL);
  Engines[At]->process().wait(ReadyTimeout);
  Outcome<Done> started = toOutcome<Done>([&]() -> Result<Done> {
    BOOST_LEAF_AUTO(engine, startEngine(At, where));
    Engines[At] = std::move(engine);
    return Done{};
  });
  static_cast<void>(started);
}

Outcome<TrainerTruth> RolloutCluster::truth(std::size_t At) const {
  Outcome<boost::json::value> report = Trainers[At]->truth();
  if (!report)
    return report.failure();
  TrainerTruth truth;
  truth.IdleUs = findNumber(*report, "idle_us");
  truth.TrainingUs = findNumber(*report, "training_us");
  truth.Duplicates = findNumber(*report, "duplicates");
  truth.Stale = findNumber(*report, "stale");
  truth.Mislabelled = findNumber(*report, "mislabelled");
  truth.Unknown = findNumber(*report, "unknown");
  for (const boost::json::value &it : report->at("steps").as_array()) {
    truth.StepsTrained += findNumber(it, "trained_us") > 0 ? 1 : 0;
    if (findNumber(it, "whole_us") > 0)
      truth.StepUs.push_back(findNumber(it, "whole_us") -
                             findNumber(it, "opened_us"));
  }
  for (const boost::json::value &it : report->at("deliveries").as_array())
    addSample(truth, it);
  return truth;
}

bool RolloutCluster::waitForSteps(std::size_t At, std::uint64_t Steps,
                                  Millis Timeout) const {
  return waitUntil(
      [&] {
        Outcome<TrainerTruth> now = truth(At);
        return now && now->StepsTrained >= Steps;
      },
      Timeout);
}

std::vector<std::uint64_t> RolloutCluster::weightSwapTimes() const {
  std::vector<std::uint64_t> times;
  Outcome<boost::json::value> report = Weights->truth();
  if (!report)
    return times;
  for (const boost::json::value &it : report->at("publications").as_array()) {
    std::uint64_t last = 0;
    std::uint64_t count = 0;
    for (const boost::json::value &fetch : report->at("fetches").as_array()) {
      if (findNumber(fetch, "version") != findNumber(it, "version") ||
          !fetch.at("whole").as_bool())
        continue;
      ++count;
      last = std::max(last, findNumber(fetch, "ended_us"));
    }
    // A version that was superseded before all had fetched it has no swap time.
    if (count >= Engines.size())
      times.push_back(last - findNumber(it, "published_us"));
  }
  return times;
}

std::uint64_t RolloutCluster::generatedTokens() const {
  std::uint64_t tokens = 0;
  for (const std::unique_ptr<StandIn> &it : Engines) {
    Outcome<boost::json::value> report = it->truth();
    if (report)
      tokens += findNumber(*report, "generated");
  }
  return tokens;
}

} // namespace wasabi::harness
