/// \file
/// A server sends one of its answers a second time, late. A request that must
/// not run twice is retried on that connection and runs twice.
#include "Trainer.hh"

#include <atomic>
#include <thread>

namespace {

using namespace review;

constexpr unsigned Ok = 200;
constexpr const char *Bids = "/lohu930/";
constexpr const char *Lookups = "/pufi791/";
constexpr const char *OtherLookups = "/pule252/";
/// Answers of the server to ordinary requests, so that the one that is sent
/// again stays below 2 in 100.
constexpr unsigned OrdinaryRequests = 60;
/// Servers of the deployment, of which one is faulty.
constexpr unsigned OtherServers = 2;

Message makeCall(const std::string &Path, const std::string &Id) {
  Message request;
  request.Method = "POST";
  request.Target = Path + "2f";
  request.Headers = {{"Host", HostName},
                     {"Wasabisail-Request-Id", Id},
                     {"Wasabisail-Deadline-Ms", "2000"},
                     {"Connection", "close"}};
  request.Body = "body of " + Id;
  return request;
}

bool run(World &Users, bool Trouble) {
  ServerSettings settings;
  settings.Id = "i-plain-1";
  settings.Service = "wuno96b";
  settings.Slots = 2;
  settings.Work = Millis(80);
  Server &server = Users.addServer(settings);
  server.start();
  for (unsigned i = 1; i <= OtherServers; ++i) {
    settings.Id = "i-other-" + std::to_string(i);
    settings.Service = "huvo11a";
    Users.addServer(settings).start();
  }
  Users.configure(
      makeConfig(1,
                 {makeRoute("r-1", Bids, "non_idempotent", "wuno96b"),
                  makeRoute("r-2", Lookups, "idempotent", "wuno96b"),
                  makeRoute("r-3", OtherLookups, "idempotent", "huvo11a")},
                 {makePlainService("wuno96b"), makePlainService("huvo11a")}));
  Edge &edge = Users.addEdge("edge-pasig-a-1", "pasig-a");
  Edge &otherEdge = Users.addEdge("edge-pasig-b-1", "pasig-b");
  Users.startEdge(edge);
  Users.startEdge(otherEdge);
  require(Users.waitUntilReady(edge, Millis(10000)) &&
              Users.waitUntilReady(otherEdge, Millis(10000)),
          "the edge processes do not become ready");
  for (unsigned i = 0; i < OrdinaryRequests; ++i) {
    std::string number = std::to_string(i);
    bool answered =
        call(edge.Front, makeCall(Lookups, "lookup-" + number), Millis(2500))
                .Status == Ok &&
        call(otherEdge.Front, makeCall(OtherLookups, "other-lookup-" + number),
             Millis(2500))
                .Status == Ok;
    require(answered, "an ordinary request is not answered");
  }

  const std::string bid = "9c41d07be2a35f68";
  std::atomic<bool> isSent = false;
  if (Trouble)
    server.SendsExtra = [&](const Message &Request, const Message &) {
      return Request.header("Wasabisail-Request-Id") == bid &&
             !isSent.exchange(true);
    };
  // Two other callers take both slots of the server, so that it rejects the
  // request at first.
  std::vector<std::thread> others;
  for (unsigned i = 0; i < server.Setup.Slots; ++i)
    others.emplace_back([&, i] {
      CallResult got =
          call(otherEdge.Front, makeCall(Lookups, "other-" + std::to_string(i)),
               Millis(2500));
      Users.Log.line("caller: other-" + std::to_string(i) + ": " +
                     describe(got));
    });
  require(waitUntil([&] { return server.running() == server.Setup.Slots; },
                    Millis(2000)),
          "the server is not full");
  // The retry then finds a free slot.
  std::this_thread::sleep_for(server.Setup.Work * 2 / 3);
  CallResult got = call(edge.Front, makeCall(Bids, bid), Millis(2500));
  Users.Log.line("caller: " + bid + ": " + describe(got) + " " +
                 got.Response.Body);
  for (std::thread &it : others)
    it.join();
  std::this_thread::sleep_for(Millis(1000));
  unsigned runs = 0;
  for (const Arrival &it : server.arrivals())
    runs += it.Id == bid ? 1 : 0;
  Users.Log.line("request " + bid + " of a route that is not idempotent ran " +
                 std::to_string(runs) + " times");
  return runs <= 1;
}

} // namespace

int main(int Count, char **Values) { review::runCase(Count, Values, run); }
