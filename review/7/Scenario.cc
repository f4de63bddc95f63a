/// \file
/// The model servers crash and start again four times in a row. A few of the
/// items that ran then are sent to no server any more, and hold up every step
/// in which they come again.
#include "Trainer.hh"

#include <algorithm>
#include <thread>

namespace {

using namespace review;

constexpr unsigned Ok = 200;
constexpr unsigned Accepted = 202;
constexpr const char *Model = "daka510000";
constexpr const char *Jobs = "/pule252/";
constexpr const char *Scores = "/pufi791/";
constexpr unsigned ItemsPerStep = 16;
constexpr unsigned Crashes = 4;
/// Times from the start of the servers to their next crash, and from the crash
/// to their start.
constexpr Millis UpTime{400};
constexpr Millis DownTime{1000};
/// Time that a trainer gives a step: the site's deadline_ms.
constexpr Millis StepTime{12000};
constexpr Millis StableTime{3000};
/// From the rule.
constexpr Millis IdleTime{5000};

/// Checks the conditions under which a step that runs out of time breaks the
/// rule: its missing items were at no server for `IdleTime`, others of them had
/// begun, and the servers were under half full. One model is trained, and
/// its version was named before the step was asked for.
void checkStep(World &Users, const std::vector<Server *> &Engines,
               const JobSettings &Job, long SubmittedAt,
               const std::map<std::string, std::string> &Listed) {
  long now = Users.Log.now();
  std::size_t begun = 0;
  std::size_t running = 0;
  std::size_t slots = 0;
  long lastOfMissing = 0;
  for (Server *it : Engines) {
    running += it->running();
    slots += it->Setup.Slots;
    for (const Arrival &each : it->arrivals()) {
      bool isOfJob = std::find(Job.Items.begin(), Job.Items.end(), each.Id) !=
                     Job.Items.end();
      begun += isOfJob && each.At >= SubmittedAt ? 1 : 0;
      if (isOfJob && !Listed.contains(each.Id))
        lastOfMissing = std::max(lastOfMissing, each.At);
    }
  }
  Users.Log.line("LOST: job " + Job.Id + " runs out of time; " +
                 std::to_string(Job.Items.size() - Listed.size()) +
                 " items are missing, the last run of one began " +
                 std::to_string(now - lastOfMissing) + " ms ago; " +
                 std::to_string(begun) + " runs of the job had begun; " +
                 std::to_string(running) + " of " + std::to_string(slots) +
                 " slots are taken");
  require(begun > 0 && running * 2 < slots &&
              now - lastOfMissing >= IdleTime.count() &&
              now - SubmittedAt >= IdleTime.count(),
          "the rule has an excuse");
}

bool run(World &Users, bool Trouble) {
  std::vector<Server *> engines;
  for (unsigned i = 1; i <= 3; ++i) {
    ServerSettings settings;
    settings.Id = "i-model-" + std::to_string(i);
    settings.Service = "huvo11a";
    settings.Models[Model] = 1;
    settings.Work = Millis(40);
    settings.Events = 60;
    engines.push_back(&Users.addServer(settings));
    engines.back()->start();
    Users.startSidecar(*engines.back());
  }
  ServerSettings settings;
  settings.Id = "i-plain-1";
  settings.Service = "wuno96b";
  settings.Slots = 16;
  Users.addServer(settings).start();
  Users.configure(makeConfig(
      1,
      {makeRoute("r-1", Jobs, "rollout", "huvo11a"),
       makeRoute("r-2", Scores, "idempotent", "wuno96b")},
      {makeModelService("huvo11a", {Model}), makePlainService("wuno96b")}));
  Edge &edge = Users.addEdge("edge-pasig-a-1", "pasig-a");
  Users.startEdge(edge);
  require(Users.waitUntilReady(edge, Millis(10000)),
          "the edge process does not become ready");
  std::this_thread::sleep_for(StableTime);

  JobSettings job =
      makeJob("7c41e09b52d6a3f0", Model, Jobs, Scores, ItemsPerStep);
  Clock::time_point submittedAt = Clock::now();
  require(submit(Users, edge, job).Status == Accepted,
          "the job is not accepted");
  for (unsigned i = 1; Trouble && i <= Crashes; ++i) {
    std::this_thread::sleep_for(UpTime);
    for (Server *it : engines)
      it->crash();
    std::this_thread::sleep_for(DownTime);
    for (Server *it : engines)
      it->restart(it->Setup.Id + "-" + std::to_string(i));
  }
  Users.Log.line("no disruption from now on");
  auto left =
      std::chrono::duration_cast<Millis>(submittedAt + StepTime - Clock::now());
  std::map<std::string, std::string> listed =
      readResults(Users, edge, job, left);
  require(endJob(edge, job.Id).Status == Ok, "the job cannot be ended");
  std::this_thread::sleep_for(StableTime);
  Users.nameVersion(Model, 2);

  // Groups that were not complete come again, and first.
  JobSettings next =
      makeJob("9b90c3d2e8f74a16", Model, Jobs, Scores, ItemsPerStep);
  next.Step = 1;
  std::vector<std::string> items;
  for (std::size_t i = 0; i < job.Items.size(); i += job.GroupSize) {
    auto from = job.Items.begin() + static_cast<std::ptrdiff_t>(i);
    auto to = from + job.GroupSize;
    bool isComplete = std::all_of(
        from, to, [&](const std::string &It) { return listed.contains(It); });
    if (!isComplete && items.size() < ItemsPerStep / 2)
      items.insert(items.end(), from, to);
  }
  Users.Log.line("trainer: " + std::to_string(items.size()) +
                 " items of incomplete groups come again");
  std::copy(items.begin(), items.end(), next.Items.begin());
  long nextAt = Users.Log.now();
  require(submit(Users, edge, next).Status == Accepted,
          "the job is not accepted");
  listed = readResults(Users, edge, next, StepTime);
  if (listed.size() == next.Items.size())
    return true;
  checkStep(Users, engines, next, nextAt, listed);
  return false;
}

} // namespace

int main(int Count, char **Values) { review::runCase(Count, Values, run); }
