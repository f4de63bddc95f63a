/// \file
/// After the loss of one of two model servers, the items of one of two models
/// are never sent to the other server again.
#include "Trainer.hh"

#include <algorithm>
#include <thread>

namespace {

using namespace review;

constexpr unsigned Accepted = 202;
constexpr unsigned ItemsPerStep = 16;

constexpr const char *Scores = "/pufi791/";
/// Time that a trainer gives a step: the site's deadline_ms.
constexpr Millis StepTime{12000};
constexpr Millis StableTime{3000};
/// From the rule.
constexpr Millis IdleTime{5000};
constexpr Millis QuietTime{3000};

/// A trainer with its route and model.
struct Trainer {
  std::string Model;
  std::string Prefix;
  std::string JobId;
};

/// Checks the conditions under which a step that runs out of time breaks the
/// rule: its missing items were at no server for `IdleTime`, others of them had
/// begun, the servers were under half full, and no item of any model began in
/// the last `QuietTime`.
void checkStep(World &Users, const std::vector<Server *> &Engines,
               const JobSettings &Job,
               const std::map<std::string, std::string> &Listed) {
  long now = Users.Log.now();
  std::size_t begun = 0;
  std::size_t missing = 0;
  std::size_t running = 0;
  std::size_t slots = 0;
  long lastOfMissing = 0;
  long lastOfAll = 0;
  for (const std::string &it : Job.Items)
    missing += Listed.contains(it) ? 0 : 1;
  for (Server *it : Engines) {
    if (it->isUp()) {
      running += it->running();
      slots += it->Setup.Slots;
    }
    for (const Arrival &each : it->arrivals()) {
      lastOfAll = std::max(lastOfAll, each.At);
      if (!each.Id.starts_with(Job.Id))
        continue;
      ++begun;
      if (!Listed.contains(each.Id))
        lastOfMissing = std::max(lastOfMissing, each.At);
    }
  }
  Users.Log.line("LOST: job " + Job.Id + " runs out of time; " +
                 std::to_string(missing) +
                 " items are missing, the last run of one began " +
                 std::to_string(now - lastOfMissing) + " ms ago, " +
                 std::to_string(begun) + " runs of the job had begun; " +
                 std::to_string(running) + " of " + std::to_string(slots) +
                 " slots are taken; the last run of any job began " +
                 std::to_string(now - lastOfAll) + " ms ago");
  require(begun > 0 && running * 2 < slots &&
              now - lastOfMissing >= IdleTime.count() &&
              now - lastOfAll >= QuietTime.count(),
          "the rule has an excuse");
}

bool run(World &Users, bool Trouble) {
  const std::vector<Trainer> trainers = {
      {"daka510000", "/pule252/", "7c41e09b52d6a3f0"},
      {"rada7437b5", "/seti604/", "5b90c3d2e8f74a16"}};
  std::vector<Server *> engines;
  for (unsigned i = 0; i < 2; ++i) {
    ServerSettings settings;
    settings.Id = "i-model-" + std::to_string(i + 1);
    settings.Service = "huvo11a";
    settings.Zone = i == 0 ? "pasig-a" : "pasig-b";
    settings.Models = {{trainers[0].Model, 1}, {trainers[1].Model, 1}};
    settings.Work = Millis(40);
    settings.Events = 30;
    settings.Slots = 4;
    engines.push_back(&Users.addServer(settings));
    engines.back()->start();
    Users.startSidecar(*engines.back());
  }
  ServerSettings settings;
  settings.Id = "i-plain-1";
  settings.Service = "wuno96b";
  Users.addServer(settings).start();
  Users.configure(makeConfig(
      1,
      {makeRoute("r-1", trainers[0].Prefix, "rollout", "huvo11a"),
       makeRoute("r-2", trainers[1].Prefix, "rollout", "huvo11a"),
       makeRoute("r-3", Scores, "idempotent", "wuno96b")},
      {makeModelService("huvo11a", {trainers[0].Model, trainers[1].Model}),
       makePlainService("wuno96b")}));
  Edge &edge = Users.addEdge("edge-pasig-a-1", "pasig-a");
  Users.startEdge(edge);
  require(Users.waitUntilReady(edge, Millis(10000)),
          "the edge process does not become ready");
  std::this_thread::sleep_for(Millis(3500));

  std::vector<JobSettings> jobs;
  Clock::time_point submittedAt;
  for (const Trainer &it : trainers) {
    jobs.push_back(
        makeJob(it.JobId, it.Model, it.Prefix, Scores, ItemsPerStep));
    submittedAt = Clock::now();
    require(submit(Users, edge, jobs.back()).Status == Accepted,
            "a job is not accepted");
  }
  require(waitUntil([&] { return engines[1]->running() > 0; }, Millis(3000)),
          "a server runs nothing");
  std::this_thread::sleep_for(Millis(300));
  if (Trouble)
    engines[1]->crash();
  Clock::time_point crashedAt = Clock::now();

  bool held = true;
  for (const JobSettings &it : jobs) {
    auto left = std::chrono::duration_cast<Millis>(submittedAt + StepTime -
                                                   Clock::now());
    std::map<std::string, std::string> listed =
        readResults(Users, edge, it, left);
    held = held && listed.size() == it.Items.size();
    if (listed.size() < it.Items.size())
      checkStep(Users, engines, it, listed);
  }
  auto steady =
      std::chrono::duration_cast<Millis>(Clock::now() - crashedAt) - StableTime;
  Users.Log.line("steady for " + std::to_string(steady.count()) + " ms");
  require(held || steady >= IdleTime, "the time of a step was too short");
  if (held)
    return true;

  // The trainer goes on with its next step, which counts for nothing here.
  for (JobSettings &it : jobs) {
    endJob(edge, it.Id);
    it.Id[0] = '9';
    it.Step = 1;
    Users.nameVersion(it.Model, 2);
    for (std::string &item : it.Items)
      item[0] = '9';
    submit(Users, edge, it);
  }
  for (const JobSettings &it : jobs)
    readResults(Users, edge, it, StepTime);
  return false;
}

} // namespace

int main(int Count, char **Values) { review::runCase(Count, Values, run); }
