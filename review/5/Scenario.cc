/// \file
/// A trainer submits a step of 1,024 samples with long prompts, within the
/// limit of a request's body. Each edge process that it reaches exceeds its
/// memory and is ended by the platform, with the requests of its other callers.
#include "Trainer.hh"

#include <atomic>
#include <csignal>
#include <mutex>
#include <set>
#include <thread>

namespace {

using namespace review;

constexpr unsigned Accepted = 202;
constexpr const char *Model = "daka510000";
constexpr const char *Jobs = "/pule252/";
constexpr const char *Scores = "/pufi791/";
constexpr const char *Lookups = "/lohu930/";
constexpr unsigned Samples = 1024;
constexpr std::size_t LongPrompt = 23000;
constexpr std::size_t ShortPrompt = 1000;
/// Of the settings: memory_mb of an edge machine, and max_body_bytes.
constexpr std::size_t MemoryMb = 280;
constexpr std::size_t MaxBodyBytes = 33554432;
constexpr unsigned CallersPerEdge = 6;
/// From the rule.
constexpr unsigned MaxLost = 3;

/// Callers with a kept connection each, which send one request after the other.
class Callers {
public:
  Callers(World &Users) : Users(Users) {}

  void start(const Edge &At) {
    for (unsigned i = 0; i < CallersPerEdge; ++i)
      Threads.emplace_back([this, &At, i] { serve(At, i); });
  }
  void stop() {
    Stopped = true;
    for (std::thread &it : Threads)
      it.join();
  }
  /// Requests whose connection ended without an answer.
  std::set<std::string> lost() {
    std::lock_guard<std::mutex> lock(Guard);
    return Lost;
  }
  unsigned answered() const { return Answered; }

private:
  void serve(const Edge &At, unsigned Number) {
    std::unique_ptr<Socket> link;
    for (unsigned i = 0; !Stopped; ++i) {
      if (!link)
        link = connectTo(At.Front);
      if (!link) {
        std::this_thread::sleep_for(Millis(100));
        continue;
      }
      Message request;
      request.Method = "POST";
      request.Target = std::string(Lookups) + "2f";
      std::string id =
          At.Name + "-" + std::to_string(Number) + "-" + std::to_string(i);
      request.Headers = {{"Host", HostName},
                         {"Wasabisail-Request-Id", id},
                         {"Wasabisail-Deadline-Ms", "12000"}};
      CallResult got = callOn(*link, request, Millis(12500));
      if (got.Complete) {
        ++Answered;
        continue;
      }
      link.reset();
      std::lock_guard<std::mutex> lock(Guard);
      Lost.insert(id);
      Users.Log.line("caller: " + id + ": " + got.Error);
    }
  }

  World &Users;
  std::vector<std::thread> Threads;
  std::atomic<bool> Stopped = false;
  std::atomic<unsigned> Answered = 0;
  std::mutex Guard;
  std::set<std::string> Lost;
};

/// Ends a process that exceeds its memory and starts it again, as the platform
/// does. Returns the number of such ends once `Stop` is set.
unsigned enforceMemory(World &Users, const std::vector<Edge *> &Edges,
                       const std::atomic<bool> &Stop) {
  unsigned ends = 0;
  while (!Stop) {
    for (Edge *it : Edges) {
      std::size_t used = it->Process.residentMb();
      if (used <= MemoryMb)
        continue;
      ++ends;
      Users.Log.line("platform: " + it->Name + " uses " + std::to_string(used) +
                     " MB of " + std::to_string(MemoryMb) + " and is killed");
      it->Process.kill();
      std::this_thread::sleep_for(Millis(200));
      Users.startEdge(*it);
    }
    std::this_thread::sleep_for(Millis(10));
  }
  return ends;
}

bool run(World &Users, bool Trouble) {
  for (unsigned i = 1; i <= 2; ++i) {
    ServerSettings settings;
    settings.Id = "i-model-" + std::to_string(i);
    settings.Service = "huvo11a";
    settings.Models[Model] = 1;
    Server &server = Users.addServer(settings);
    server.start();
    Users.startSidecar(server);
  }
  ServerSettings settings;
  settings.Id = "i-plain-1";
  settings.Service = "wuno96b";
  settings.Slots = 64;
  settings.Work = Millis(80);
  Server &plain = Users.addServer(settings);
  plain.start();
  json::object lookups = makeRoute("r-3", Lookups, "idempotent", "wuno96b");
  lookups["timeout_ms"] = 10000;
  Users.configure(makeConfig(
      1,
      {makeRoute("r-1", Jobs, "rollout", "huvo11a"),
       makeRoute("r-2", Scores, "idempotent", "wuno96b"), lookups},
      {makeModelService("huvo11a", {Model}), makePlainService("wuno96b")}));
  std::vector<Edge *> edges = {&Users.addEdge("edge-pasig-a-1", "pasig-a"),
                               &Users.addEdge("edge-pasig-b-1", "pasig-b")};
  for (Edge *it : edges)
    Users.startEdge(*it);
  for (Edge *it : edges)
    require(Users.waitUntilReady(*it, Millis(10000)),
            "the edge processes do not become ready");
  std::this_thread::sleep_for(Millis(3500));
  std::atomic<bool> stop = false;
  unsigned ends = 0;
  std::thread platform([&] { ends = enforceMemory(Users, edges, stop); });
  Callers callers(Users);
  for (Edge *it : edges)
    callers.start(*it);
  std::this_thread::sleep_for(Millis(1000));

  JobSettings job = makeJob("7c41e09b52d6a3f0", Model, Jobs, Scores, Samples);
  job.BodyBytes = Trouble ? LongPrompt : ShortPrompt;
  job.SubmitTimeout = Millis(20000);
  require(encodeJob(job).size() <= MaxBodyBytes, "the job is too long");
  Users.Log.line("the job has " + std::to_string(encodeJob(job).size()) +
                 " bytes of " + std::to_string(MaxBodyBytes));
  // After a broken connection, the job comes again at another machine.
  bool accepted = false;
  for (std::size_t i = 0; i < edges.size() && !accepted; ++i)
    accepted = submit(Users, *edges[i], job).Status == Accepted;
  std::this_thread::sleep_for(Millis(1000));
  callers.stop();
  stop = true;
  platform.join();

  std::set<std::string> lost = callers.lost();
  unsigned passedOn = 0;
  for (const Arrival &it : plain.arrivals())
    passedOn += lost.contains(it.Id) ? 1 : 0;
  Users.Log.line("LOST: " + std::to_string(passedOn) +
                 " requests of kept connections were passed on to a sound "
                 "server and ended without an answer; " +
                 std::to_string(callers.answered()) + " were answered; " +
                 std::to_string(ends) + " processes exceeded their memory");
  require(callers.answered() > 0, "no caller is served");
  return passedOn <= MaxLost;
}

} // namespace

int main(int Count, char **Values) { review::runCase(Count, Values, run); }
