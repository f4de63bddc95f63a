/// \file
/// `wasabi-standin ROLE` runs one simulated platform service for tests and the
/// demo.
#include "StandIns/EngineRole.h"
#include "StandIns/FaultProxy.h"
#include "StandIns/InstancesRole.h"
#include "StandIns/LogRole.h"
#include "StandIns/ScorerRole.h"
#include "StandIns/ServiceRole.h"
#include "StandIns/TrainerRole.h"
#include "StandIns/WeightsRole.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string_view>

DEFINE_string(listen, "127.0.0.1:0", "IP:PORT to serve on");
DEFINE_string(name, "standin", "engine, service, trainer: its name");
DEFINE_string(model, "m", "engine, trainer: the model");
DEFINE_uint64(weights_version, 1,
              "engine, trainer: the version at start; --version=N for short");
DEFINE_uint64(seed, 1, "engine, trainer, faultproxy: of all that is random");
DEFINE_string(store, "", "engine, trainer: IP:PORT of the weight store");
DEFINE_bool(checks_fences, true, "engine, trainer: refuse older authorities");
DEFINE_uint64(slots, 16, "engine, service: work at once; service: 0 = no end");
DEFINE_uint64(queue, 1024, "engine: streams that may wait");
DEFINE_double(tokens_per_s, 50, "engine: of each slot");
DEFINE_double(prefill_ms_per_1k, 20,
              "engine: time that 1,000 uncached bytes of a prompt take");
DEFINE_uint64(cache_entries, 256, "engine: prompts whose prefix is held");
DEFINE_uint64(cache_event_lag_ms, 200, "engine: how late cache events are");
DEFINE_double(cache_event_loss_percent, 5, "engine: cache events never told");
DEFINE_uint64(load_ms, 0, "engine: time of a load without a store");
DEFINE_uint64(load_lag_ms, 0, "engine: how old the reported load is");
DEFINE_uint64(latency_ms, 0, "service: time of one run");
DEFINE_uint64(bytes_per_s, 1000000000, "weights: shared by all fetches");
DEFINE_uint64(blob_bytes, 100000000, "weights: size of a version");
DEFINE_uint64(fetches, 64, "weights: most fetches at once");
DEFINE_uint64(groups, 4, "trainer: groups of a step");
DEFINE_uint64(group_size, 4, "trainer: samples of a group");
DEFINE_uint64(max_tokens, 64, "trainer: of a sample");
DEFINE_uint64(train_ms, 1000, "trainer: time of training on a step");
DEFINE_uint64(steps, 0, "trainer: steps in all; 0 = no end");
DEFINE_uint64(staleness_bound, 2, "trainer: versions a sample may be behind");
DEFINE_uint64(lag_ms, 0, "instances: how old the list is");
DEFINE_string(upstream, "", "faultproxy: IP:PORT that it connects to");
DEFINE_string(control, "127.0.0.1:0", "faultproxy: IP:PORT to set faults on");

namespace wasabi::standins {

namespace {

using Executor = boost::asio::any_io_executor;

/// Parses an optional address flag. Empty stays empty.
Result<Address> readStore() {
  if (FLAGS_store.empty())
    return Address{};
  return parseAddress(FLAGS_store, "--store");
}

EngineSettings engineSettings(const Address &Store) {
  EngineSettings settings;
  settings.Name = FLAGS_name;
  settings.Model = FLAGS_model;
  settings.Version = FLAGS_weights_version;
  settings.Batch = EngineBatch::Settings{FLAGS_slots, FLAGS_queue};
  settings.TokensPerSecond = FLAGS_tokens_per_s;
  settings.PrefillMillis = FLAGS_prefill_ms_per_1k;
  settings.Cache = PrefixCache::Settings{
      FLAGS_cache_entries, Millis(FLAGS_cache_event_lag_ms),
      FLAGS_cache_event_loss_percent, FLAGS_seed};
  settings.ChecksFences = FLAGS_checks_fences;
  settings.Store = Store;
  settings.LoadTime = Millis(FLAGS_load_ms);
  settings.LoadReportDelay = Millis(FLAGS_load_lag_ms);
  settings.Seed = FLAGS_seed;
  return settings;
}

TrainerSettings trainerSettings(const Address &Store) {
  TrainerSettings settings;
  settings.Simulator.Name = FLAGS_name;
  settings.Simulator.Model = FLAGS_model;
  settings.Simulator.Groups = FLAGS_groups;
  settings.Simulator.GroupSize = FLAGS_group_size;
  settings.Simulator.MaxTokens = FLAGS_max_tokens;
  settings.Simulator.StalenessBound = FLAGS_staleness_bound;
  settings.Simulator.ChecksFences = FLAGS_checks_fences;
  settings.Simulator.Version = FLAGS_weights_version;
  settings.Simulator.Seed = FLAGS_seed;
  settings.TrainingTime = Millis(FLAGS_train_ms);
  settings.Steps = FLAGS_steps;
  settings.Store = Store;
  return settings;
}

Result<std::shared_ptr<Role>> createRole(std::string_view Name,
                                         const Executor &On) {
  BOOST_LEAF_AUTO(store, readStore());
  if (Name == "log")
    return createLogRole(On);
  if (Name == "engine")
    return createEngineRole(On, engineSettings(store));
  if (Name == "service") {
    return createServiceRole(
        On, ServiceSettings{FLAGS_name, Millis(FLAGS_latency_ms), FLAGS_slots});
  }
  if (Name == "weights") {
    return createWeightsRole(
        On,
        WeightsSettings{FLAGS_bytes_per_s, FLAGS_blob_bytes, FLAGS_fetches});
  }
  if (Name == "trainer")
    return createTrainerRole(On, trainerSettings(store));
  if (Name == "scorer")
    return createScorerRole();
  if (Name == "instances")
    return createInstancesRole(Millis(FLAGS_lag_ms));
  return badInput("command line", "no role '" + std::string(Name) + "'");
}

void announce(std::string_view Label, const Address &Where) {
  std::printf("%s %s\n", std::string(Label).c_str(), toText(Where).c_str());
  std::fflush(stdout);
}

Result<std::shared_ptr<http::Server>>
startProxy(boost::asio::io_context &Context, const Address &Listen) {
  BOOST_LEAF_AUTO(upstream, parseAddress(FLAGS_upstream, "--upstream"));
  BOOST_LEAF_AUTO(control, parseAddress(FLAGS_control, "--control"));
  FaultProxy::Settings settings{Listen, upstream, FLAGS_seed};
  BOOST_LEAF_AUTO(proxy, FaultProxy::create(Context, settings));
  BOOST_LEAF_AUTO(server, serveRole(Context, control, proxy));
  announce("listening", proxy->address());
  announce("control", server->address());
  return server;
}

Result<std::shared_ptr<http::Server>>
startRole(std::string_view Name, boost::asio::io_context &Context,
          const Address &Listen) {
  BOOST_LEAF_AUTO(role, createRole(Name, Context.get_executor()));
  BOOST_LEAF_AUTO(server, serveRole(Context, Listen, role));
  announce("listening", server->address());
  return server;
}

/// Serves until SIGTERM or SIGINT.
Result<Done> run(std::string_view Name) {
  boost::asio::io_context context(1);
  boost::asio::signal_set ending(context, SIGTERM, SIGINT);
  ending.async_wait([](boost::system::error_code, int) {
    // Exits at once: there is no state to save.
    std::_Exit(EXIT_SUCCESS);
  });
  BOOST_LEAF_AUTO(listen, parseAddress(FLAGS_listen, "--listen"));
  BOOST_LEAF_AUTO(server, Name == "faultproxy"
                              ? startProxy(context, listen)
                              : startRole(Name, context, listen));
  context.run();
  return Done{};
}

constexpr const char *Usage =
    "wasabi-standin ROLE [flags]: plays a part of the platform.\n"
    "Roles: log engine service weights trainer scorer instances faultproxy\n";

void printHelp() {
  std::fputs(Usage, stdout);
  std::vector<gflags::CommandLineFlagInfo> all;
  gflags::GetAllFlags(&all);
  for (const gflags::CommandLineFlagInfo &it : all) {
    if (it.filename.find("StandIns/") == std::string::npos)
      continue;
    std::printf("  --%s=%s  %s\n", it.name.c_str(), it.default_value.c_str(),
                it.description.c_str());
  }
}

/// Returns the first argument that is not a flag.
std::string takeRole(std::vector<std::string> &Words) {
  if (Words.size() < 2 || Words[1].starts_with("-"))
    return {};
  std::string role = Words[1];
  Words.erase(Words.begin() + 1);
  return role;
}

/// gflags reserves `--version`; with a value it is the weight version.
void renameVersion(std::vector<std::string> &Words) {
  constexpr std::string_view Short = "--version=";
  for (std::string &it : Words) {
    if (it.starts_with(Short))
      it = "--weights_version=" + it.substr(Short.size());
  }
}

} // namespace

int main(int Count, char **Given) {
  std::vector<std::string> words(Given, Given + Count);
  std::string role = takeRole(words);
  renameVersion(words);
  std::vector<char *> left;
  if (role == "help") {
    printHelp();
    return EXIT_SUCCESS;
  }
  for (std::string &it : words) {
    if (it == "--help" || it == "-h" || it == "help") {
      printHelp();
      return EXIT_SUCCESS;
    }
    left.push_back(it.data());
  }
  left.push_back(nullptr);
  int count = Count - (role.empty() ? 0 : 1);
  char **rest = left.data();
  gflags::SetUsageMessage(Usage);
  gflags::SetVersionString(WASABI_VERSION);
  gflags::ParseCommandLineFlags(&count, &rest, true);

  Outcome<Done> ended = toOutcome<Done>([&role] { return run(role); });
  if (ended)
    return EXIT_SUCCESS;
  std::fprintf(stderr, "wasabi-standin: %s\n",
               describe(ended.failure()).c_str());
  return EXIT_FAILURE;
}

} // namespace wasabi::standins

int main(int Count, char **Given) {
  return wasabi::standins::main(Count, Given);
}
