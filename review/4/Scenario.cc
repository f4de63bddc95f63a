/// \file
/// A rolling restart in a deployment whose store has expired its oldest
/// records. The process that takes over the dispatch runs the items of ended
/// jobs, and a restarted process denies a job that was accepted.
#include "Trainer.hh"

#include <algorithm>
#include <csignal>
#include <map>
#include <thread>

namespace {

using namespace review;

constexpr unsigned Ok = 200;
constexpr unsigned Accepted = 202;
constexpr unsigned NotFound = 404;
constexpr unsigned Gone = 410;

constexpr const char *Model = "daka510000";
constexpr const char *Jobs = "/pule252/";
constexpr const char *Scores = "/pufi791/";
/// Together fewer items than the trainers of the site submit in retention_s.
constexpr unsigned EarlyJobs = 20;
constexpr unsigned ItemsPerEarlyJob = 100;
constexpr unsigned ItemsPerJob = 8;
/// Time that training takes between two steps, as on the site.
constexpr Millis TrainTime{1000};
/// Bounds of the deployment.
constexpr Millis CancelTime{3000};
constexpr Millis SettleTime{1000};
constexpr Millis StableTime{3000};
constexpr Millis GraceTime{8000};

bool isReady(World &Users, const Edge &Which) {
  return Users.waitUntilReady(Which, Millis(10000));
}

/// Stops a process and starts it again, and waits until it is in touch.
void restart(World &Users, Edge &Which) {
  Users.Log.line("SIGTERM to " + Which.Name);
  Which.Process.signal(SIGTERM);
  Which.Process.wait(GraceTime);
  Users.Log.line("process " + Which.Name + " has ended");
  Users.startEdge(Which);
  require(isReady(Users, Which), "a process does not become ready again");
  std::this_thread::sleep_for(StableTime + SettleTime);
}

bool run(World &Users, bool Trouble) {
  // The deployment is older than retention_s, 300 s.
  Users.Platform.beginAt("rollout", 5000);
  Users.Platform.beginAt("payload", 4000);
  Users.Platform.beginAt("lease", 9000);
  std::vector<Server *> engines;
  for (unsigned i = 1; i <= 4; ++i) {
    ServerSettings settings;
    settings.Id = "i-model-" + std::to_string(i);
    settings.Service = "huvo11a";
    settings.Models[Model] = 1;
    settings.Work = Millis(2);
    engines.push_back(&Users.addServer(settings));
    engines.back()->start();
    Users.startSidecar(*engines.back());
  }
  ServerSettings settings;
  settings.Id = "i-plain-1";
  settings.Service = "wuno96b";
  settings.Slots = 32;
  settings.Work = Millis(2);
  Users.addServer(settings).start();
  Users.configure(makeConfig(
      1,
      {makeRoute("r-1", Jobs, "rollout", "huvo11a"),
       makeRoute("r-2", Scores, "idempotent", "wuno96b")},
      {makeModelService("huvo11a", {Model}), makePlainService("wuno96b")}));
  Edge &first = Users.addEdge("edge-pasig-a-1", "pasig-a");
  Edge &second = Users.addEdge("edge-pasig-b-1", "pasig-b");
  Users.startEdge(first);
  Users.startEdge(second);
  require(isReady(Users, first) && isReady(Users, second),
          "the edge processes do not become ready");

  // Steps of a trainer, each of which is served and ended.
  std::map<std::string, long> endedAt;
  for (unsigned i = 0; i < EarlyJobs; ++i) {
    JobSettings job = makeJob("7c41e09b52d6a3" + std::to_string(10 + i), Model,
                              Jobs, Scores, ItemsPerEarlyJob);
    job.Step = i;
    job.MinVersion = std::max(1u, i);
    const Edge &at = i % 2 == 0 ? first : second;
    require(submit(Users, at, job).Status == Accepted, "no job is accepted");
    require(readResults(Users, at, job, Millis(12000)).size() ==
                ItemsPerEarlyJob,
            "a job is not served");
    require(endJob(at, job.Id).Status == Ok, "a job cannot be ended");
    for (const std::string &it : job.Items)
      endedAt[it] = Users.Log.now();
    std::this_thread::sleep_for(TrainTime);
    Users.nameVersion(Model, i + 2);
  }
  std::this_thread::sleep_for(StableTime + SettleTime);

  // The process that dispatches is restarted last, so that one that has been
  // restarted takes over.
  bool firstDispatches = Users.Platform.lastWriter("lease") == first.Name;
  Edge &dispatcher = firstDispatches ? first : second;
  Edge &other = firstDispatches ? second : first;
  if (Trouble) {
    restart(Users, other);
    restart(Users, dispatcher);
  }

  unsigned runsOfEnded = 0;
  for (Server *it : engines) {
    for (const Arrival &each : it->arrivals()) {
      auto ended = endedAt.find(each.Id);
      runsOfEnded +=
          ended != endedAt.end() && each.At > ended->second + CancelTime.count()
              ? 1
              : 0;
    }
  }
  Users.Log.line("UNASKED: " + std::to_string(runsOfEnded) +
                 " runs of items reached servers over cancel_ms after the "
                 "acknowledged end of their jobs");

  JobSettings job =
      makeJob("5b90c3d2e8f74a16", Model, Jobs, Scores, ItemsPerJob);
  require(submit(Users, other, job).Status == Accepted,
          "the job is not accepted");
  std::this_thread::sleep_for(SettleTime * 2);
  unsigned denials = 0;
  for (int i = 0; i < 2; ++i) {
    CallResult read = readJob(dispatcher, job.Id, 0, Millis(0));
    Users.Log.line("trainer: reads job " + job.Id + " at " + dispatcher.Name +
                   ": " + describe(read) + " " +
                   read.Response.Body.substr(0, 60));
    denials += read.Status == NotFound || read.Status == Gone ? 1 : 0;
    std::this_thread::sleep_for(Millis(500));
  }
  Users.Log.line("LOST: " + std::to_string(denials) +
                 " reads of an accepted job were answered 404 or 410");
  return runsOfEnded == 0 && denials == 0;
}

} // namespace

int main(int Count, char **Values) { review::runCase(Count, Values, run); }
