/// \file
/// The operator adds a second service of model servers with a route of its own.
/// The batch jobs of the first route still belong to the first service only.
#include "../standin/Standin.hh"

using namespace review;

namespace {

constexpr const char *Model = "daka510000";
/// Trainers read about twice per second.
constexpr int ReadIntervalMs = 400;
constexpr int Groups = 12;

} // namespace

int main(int Count, char **Values) {
  if (Count != 4)
    return 2;
  ::signal(SIGPIPE, SIG_IGN);
  bool trouble = std::string(Values[3]) != "0";
  Case here(Values[1], Values[2]);
  Store store(here.nextIp());
  RunList runs;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Program>> sides;
  auto addServer = [&](const std::string &Id, const std::string &Service) {
    Server::Settings settings;
    settings.Id = Id;
    settings.Service = Service;
    settings.Ip = here.nextIp();
    if (Service != ScoreService)
      settings.Model = Model;
    servers.push_back(std::make_unique<Server>(settings, runs));
    servers.back()->registerAt(store, servers.back()->endpoint());
    if (Service != ScoreService)
      sides.push_back(here.startSide("side-" + Id, servers.back()->endpoint(),
                                     store.endpoint()));
  };
  addServer("i-app0", ScoreService);
  addServer("i-draft0", "draft-llm");
  addServer("i-draft1", "draft-llm");
  const std::string draftRoute =
      routeText("/draft/", "rollout", "draft-llm", 3,
                ",\"result_deadline_ms\":7500,\"retention_s\":40");
  store.write("keyed.op", "config",
              configText(1, draftRoute + "," + scoreRoute(),
                         engineService("draft-llm", Model) + "," +
                             plainService(ScoreService)));
  std::vector<std::unique_ptr<Edge>> edges;
  edges.push_back(here.startEdge("edge-0", store.endpoint()));
  edges.push_back(here.startEdge("edge-1", store.endpoint()));
  for (const std::unique_ptr<Edge> &it : edges)
    if (!waitFor([&] { return it->isReady(); }, 15000))
      here.giveUp("an edge process isn't ready");
  record("all edge processes are ready");

  int completed = 0;
  auto playStep = [&](int Step) {
    std::string lot = "step-" + std::to_string(Step);
    if (!submitLot(edges, lot, Step, "/draft/", Model, Groups))
      here.giveUp("a batch job was not accepted");
    waitFor([&] { return readLot(*edges[1], lot) == 4 * Groups; }, 7500,
            ReadIntervalMs);
    completed += std::max(readLot(*edges[1], lot), 0);
    endLot(*edges[0], lot);
  };
  playStep(0);
  if (trouble) {
    addServer("i-trial0", "trial-llm");
    addServer("i-trial1", "trial-llm");
    store.write("keyed.op", "config",
                configText(2,
                           draftRoute + "," + scoreRoute() + "," +
                               routeText("/trial/", "rollout", "trial-llm", 3,
                                         ",\"result_deadline_ms\":7500,"
                                         "\"retention_s\":40"),
                           engineService("draft-llm", Model) + "," +
                               engineService("trial-llm", Model) + "," +
                               plainService(ScoreService)));
    record("the operator adds the service trial-llm and the route /trial/");
  } else
    record("no disruption");
  constexpr std::int64_t ConfigApplyMs = 2000;
  sleepMs(ConfigApplyMs + 1000);
  playStep(1);

  int strayed = 0;
  for (const ServerRun &it : runs.all()) {
    if (it.Path.rfind("/draft/", 0) == 0 && it.Service != "draft-llm") {
      ++strayed;
      record("ROUTE: item " + it.Id + " of " + it.Path + " ran at " +
             it.Server + " of " + it.Service + " at " +
             std::to_string(it.AtMs) + " ms");
    }
  }
  bool alive = edges[0]->Process->isRunning() && edges[1]->Process->isRunning();
  record("completed items " + std::to_string(completed) + " of " +
         std::to_string(8 * Groups) + ", runs " +
         std::to_string(runs.all().size()) + ", runs at a foreign service " +
         std::to_string(strayed) + (alive ? "" : ", a process has ended"));
  edges.clear();
  sides.clear();
  here.cleanUp();
  if (strayed > 0)
    ::_exit(1);
  ::_exit(completed > 0 && alive ? 0 : 2);
}
