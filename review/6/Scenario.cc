/// \file
/// One connection to the store goes silent while the operator adds a trainer's
/// route; the first step on it is ended without a run.
#include "Trainer.hh"

#include <atomic>
#include <thread>

namespace {

using namespace review;

constexpr unsigned Ok = 200;
constexpr unsigned Accepted = 202;
constexpr unsigned NotFound = 404;

constexpr const char *Model = "daka510000";
constexpr const char *NewModel = "rada7437b5";
constexpr const char *Jobs = "/pule252/";
constexpr const char *NewJobs = "/seti604/";
constexpr const char *Scores = "/pufi791/";

bool run(World &Users, bool Trouble) {
  std::vector<Server *> engines;
  for (unsigned i = 1; i <= 2; ++i) {
    ServerSettings settings;
    settings.Id = "i-model-" + std::to_string(i);
    settings.Service = "huvo11a";
    settings.Models = {{Model, 1}, {NewModel, 1}};
    engines.push_back(&Users.addServer(settings));
    engines.back()->start();
    Users.startSidecar(*engines.back());
  }
  ServerSettings settings;
  settings.Id = "i-plain-1";
  settings.Service = "wuno96b";
  Users.addServer(settings).start();
  json::array routes{makeRoute("r-1", Jobs, "rollout", "huvo11a"),
                     makeRoute("r-2", Scores, "idempotent", "wuno96b")};
  json::array services{makeModelService("huvo11a", {Model, NewModel}),
                       makePlainService("wuno96b")};
  Users.configure(makeConfig(1, routes, services));
  Edge &first = Users.addEdge("edge-pasig-a-1", "pasig-a");
  Edge &second = Users.addEdge("edge-pasig-b-1", "pasig-b");
  Users.startEdge(first);
  Users.startEdge(second);
  require(Users.waitUntilReady(first, Millis(10000)) &&
              Users.waitUntilReady(second, Millis(10000)),
          "the edge processes do not become ready");
  JobSettings early = makeJob("7c41e09b52d6a3f0", Model, Jobs, Scores, 8);
  require(submit(Users, first, early).Status == Accepted, "no job is accepted");
  require(readResults(Users, first, early, Millis(12000)).size() == 8,
          "a job is not served");
  require(endJob(first, early.Id).Status == Ok, "a job cannot be ended");
  std::this_thread::sleep_for(Millis(4000));

  // The machine that holds the dispatch lease renews it at the store.
  std::string dispatcher = Users.Platform.lastWriter("lease");
  Edge &other = dispatcher == first.Name ? second : first;
  Users.Log.line("the dispatcher is " + dispatcher);
  std::atomic<int> silenced = 0;
  if (Trouble) {
    Users.Platform.Fate = [&](const std::string &Machine,
                              const Message &Request) {
      bool isFeed = Request.path() == "/api/log-read" &&
                    Request.query("topic") == "keyed.op";
      // The connection on which the dispatcher's next read waits.
      return Machine == dispatcher && isFeed && silenced.exchange(1) == 0
                 ? StoreFate::LoseAnswer
                 : StoreFate::Answer;
    };
    require(waitUntil([&] { return silenced > 0; }, Millis(3000)),
            "the dispatcher reads no configuration");
  }
  // The operator adds a trainer, which submits its first step.
  routes.push_back(makeRoute("r-3", NewJobs, "rollout", "huvo11a"));
  Users.configure(makeConfig(4, routes, services));
  JobSettings job = makeJob("5b90c3d2e8f74a16", NewModel, NewJobs, Scores, 8);
  std::this_thread::sleep_for(Millis(200));
  CallResult submitted = submit(Users, other, job);
  require(submitted.Status == Accepted, submitted.Status == NotFound
                                            ? "the other machine lags"
                                            : "the job is not accepted");
  std::map<std::string, std::string> states =
      readResults(Users, other, job, Millis(12000));
  // No server answers 422 or 500 here, the job is open, retention_s is 40, and
  // the route exists: nothing may be listed as terminated.
  std::size_t terminated = 0;
  for (const auto &[item, state] : states)
    terminated += state == "terminated" ? 1 : 0;
  std::size_t runs = 0;
  for (Server *it : engines) {
    for (const Arrival &each : it->arrivals())
      runs += each.Id.starts_with(job.Id) ? 1 : 0;
  }
  Users.Log.line("MIXED: " + std::to_string(terminated) + " of " +
                 std::to_string(job.Items.size()) +
                 " items are listed as terminated; they reached servers " +
                 std::to_string(runs) + " times");
  require(states.size() == job.Items.size(), "the job is not served");
  return terminated == 0;
}

} // namespace

int main(int Count, char **Values) { review::runCase(Count, Values, run); }
