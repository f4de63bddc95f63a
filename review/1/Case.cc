/// \file
/// A request that may run once is sent to busy servers while one of them also
/// sends a late second copy of a few of its answers.
#include "../standin/Standin.hh"

#include <random>

using namespace review;

namespace {

/// Share of the answers of the faulty server that are followed by a second
/// copy, and the length of the disruption: the limits of the site file for
/// `garble` with `extra late`.
constexpr double ExtraShare = 0.03;
constexpr std::int64_t DisruptionMs = 5000;
constexpr int Disruptions = 12;
constexpr std::int64_t PauseMs = 2000;
/// Time that a client waits.
constexpr std::int64_t DeadlineMs = 2000;

/// Clients of the route whose requests may run once, one at each edge process.
constexpr int Edges = 8;
/// Clients whose idempotent requests keep the servers busy.
constexpr int BusyClients = 16;

struct Sent {
  std::string Id;
  int Status = 0;
};

} // namespace

int main(int Count, char **Values) {
  if (Count != 4)
    return 2;
  ::signal(SIGPIPE, SIG_IGN);
  bool trouble = std::string(Values[3]) != "0";
  Case here(Values[1], Values[2]);
  Store store(here.nextIp());
  RunList runs;
  std::atomic<bool> faulty{false};
  std::atomic<int> extras{0};
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < 2; ++i) {
    Server::Settings settings;
    settings.Id = "i-app" + std::to_string(i);
    settings.Service = "bidding-app";
    settings.Ip = here.nextIp();
    settings.Slots = 1;
    settings.Queue = 1;
    settings.WorkMs = 20;
    servers.push_back(std::make_unique<Server>(settings, runs));
  }
  std::mutex randomMutex;
  std::mt19937 random(51);
  // One of two servers, within the share of 0.6.
  servers[0]->SendsExtra = [&] {
    std::lock_guard<std::mutex> guard(randomMutex);
    bool sends =
        faulty && std::uniform_real_distribution<>()(random) < ExtraShare;
    if (sends)
      ++extras;
    return sends;
  };
  for (const std::unique_ptr<Server> &it : servers)
    it->registerAt(store, it->endpoint());
  store.write(
      "keyed.op", "config",
      configText(1,
                 routeText("/bid/", "non_idempotent", "bidding-app", 2) + "," +
                     routeText("/lookup/", "idempotent", "bidding-app", 2),
                 plainService("bidding-app")));
  std::vector<std::unique_ptr<Edge>> edges;
  for (int i = 0; i < Edges + 1; ++i)
    edges.push_back(
        here.startEdge("edge-" + std::to_string(i), store.endpoint()));
  for (const std::unique_ptr<Edge> &it : edges)
    if (!waitFor([&] { return it->isReady(); }, 15000))
      here.giveUp("an edge process isn't ready");
  record("all edge processes are ready");

  std::atomic<bool> stop{false};
  std::mutex sentMutex;
  std::vector<Sent> sent;
  // Sends one client attempt on a new connection.
  auto attempt = [&](std::size_t At, const std::string &Prefix,
                     const std::string &Id, std::int64_t Deadline) {
    std::int64_t left = Deadline - nowMs();
    return call(edges[At]->Front, "POST", Prefix + Id,
                {{"Host", "ficu95.example"},
                 {"Wasabisail-Request-Id", Id},
                 {"Wasabisail-Deadline-Ms", std::to_string(left)}},
                "body of " + Id, static_cast<int>(left));
  };
  // Waits as a refusal asks for; false if that takes too much of the time.
  auto mayRetry = [&](const Message &Refusal, std::int64_t Deadline) {
    std::string after = Refusal.header("Retry-After");
    auto wait = static_cast<std::int64_t>(
        1000 * (after.empty() ? 0 : std::strtod(after.c_str(), nullptr)));
    if (wait > (Deadline - nowMs()) / 3)
      return false;
    sleepMs(wait);
    return Deadline > nowMs();
  };
  std::vector<std::thread> clients;
  for (int i = 0; i < BusyClients; ++i)
    clients.emplace_back([&, i] {
      for (int n = 0; !stop; ++n) {
        std::string id = "look-" + std::to_string(i) + "-" + std::to_string(n);
        std::int64_t deadline = nowMs() + DeadlineMs;
        Message answer = attempt(Edges, "/lookup/", id, deadline);
        // Retries reach other daemons.
        if (answer.Status != 200 && mayRetry(answer, deadline))
          attempt(static_cast<std::size_t>(n % Edges), "/lookup/",
                  id + "-again", deadline);
      }
    });
  for (int i = 0; i < Edges; ++i)
    clients.emplace_back([&, i] {
      for (int n = 0; !stop; ++n) {
        std::string id = "bid-" + std::to_string(i) + "-" + std::to_string(n);
        std::int64_t deadline = nowMs() + DeadlineMs;
        for (int k = 0; k < 2; ++k) {
          std::string attemptId = k == 0 ? id : id + "-again";
          Message answer = attempt(static_cast<std::size_t>((i + k) % Edges),
                                   "/bid/", attemptId, deadline);
          record("client sent " + attemptId +
                 " once: " + std::to_string(answer.Status));
          {
            std::lock_guard<std::mutex> guard(sentMutex);
            sent.push_back({attemptId, answer.Status});
          }
          // A request that may run once is sent again, with a new id, only
          // after the promise that it has not run.
          bool promised = answer.Status == 503 || answer.Status == 429;
          if (!promised || !mayRetry(answer, deadline))
            break;
        }
      }
    });
  for (int i = 0; i < Disruptions; ++i) {
    sleepMs(PauseMs);
    faulty = trouble;
    record(trouble ? "server i-app0 begins to send second answers"
                   : "no disruption");
    sleepMs(DisruptionMs);
    faulty = false;
    record("the disruption ends");
  }
  sleepMs(PauseMs);
  stop = true;
  for (std::thread &it : clients)
    it.join();
  sleepMs(500);

  std::map<std::string, int> runsById;
  for (const ServerRun &it : runs.all())
    ++runsById[it.Id];
  int twice = 0;
  int refused = 0;
  int served = 0;
  for (const Sent &it : sent) {
    served += it.Status == 200 ? 1 : 0;
    if (runsById[it.Id] > 1) {
      ++twice;
      record("TWICE: " + it.Id + " ran " + std::to_string(runsById[it.Id]) +
             " times; the client got " + std::to_string(it.Status));
    }
    bool promised = it.Status == 503 || it.Status == 429;
    if (promised && runsById[it.Id] > 0) {
      ++refused;
      record("REFUSED: " + it.Id + " was answered " +
             std::to_string(it.Status) + " and has run");
    }
  }
  bool alive = std::all_of(
      edges.begin(), edges.end(),
      [](const std::unique_ptr<Edge> &It) { return It->Process->isRunning(); });
  record("sent " + std::to_string(sent.size()) + ", answered 200 " +
         std::to_string(served) + ", second answers " +
         std::to_string(extras.load()) + ", ran twice " +
         std::to_string(twice) + ", refused but ran " +
         std::to_string(refused) + (alive ? "" : ", a process has ended"));
  bool ran = served > 0 && alive;
  edges.clear();
  here.cleanUp();
  if (twice + refused > 0)
    ::_exit(1);
  ::_exit(ran ? 0 : 2);
}
