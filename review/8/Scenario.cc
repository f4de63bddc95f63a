/// \file
/// A caller resumes a stream at another machine. The server that goes on with
/// it crashes before its first whole event, and the caller gets the stream from
/// its beginning.
#include "Trainer.hh"

#include <atomic>
#include <csignal>
#include <thread>

namespace {

using namespace review;

constexpr const char *Model = "daka510000";
constexpr const char *Streams = "/lohu930/";
constexpr unsigned Events = 40;

Message makeStream(const std::string &Id, unsigned After) {
  Message request;
  request.Method = "POST";
  request.Target = std::string(Streams) + "2f";
  request.Headers = {{"Host", HostName},
                     {"Wasabisail-Request-Id", Id},
                     {"Wasabisail-Deadline-Ms", "12000"},
                     {"Wasabisail-Model", Model},
                     {"Wasabisail-Token-Usage", "300,400"},
                     {"Wasabisail-Prompt-Prefix", "9c2e41:300"},
                     {"Connection", "close"}};
  if (After > 0)
    request.Headers.push_back({"Last-Event-Id", std::to_string(After)});
  request.Body = "a prompt";
  return request;
}

/// Collects the ids of the whole events of a stream.
struct EventIds {
  std::string Rest;
  std::vector<unsigned> Ids;
  void add(const std::string &Bytes) {
    Rest += Bytes;
    for (std::size_t end = Rest.find("\n\n"); end != std::string::npos;
         end = Rest.find("\n\n")) {
      std::size_t at = Rest.find("id: ");
      if (at < end)
        Ids.push_back(static_cast<unsigned>(std::stoul(Rest.substr(at + 4))));
      Rest.erase(0, end + 2);
    }
  }
};

bool run(World &Users, bool Trouble) {
  std::vector<Server *> engines;
  std::atomic<bool> crashNext = false;
  for (unsigned i = 1; i <= 5; ++i) {
    ServerSettings settings;
    settings.Id = "i-model-" + std::to_string(i);
    settings.Service = "huvo11a";
    settings.Models[Model] = 1;
    settings.Work = Millis(40);
    settings.Events = Events;
    engines.push_back(&Users.addServer(settings));
    engines.back()->OnRun = [&, server = engines.back()](const Arrival &) {
      Server::Plan plan;
      if (crashNext.exchange(false))
        plan.BreakAfter = 0;
      return plan;
    };
    engines.back()->start();
    Users.startSidecar(*engines.back());
  }
  json::object route = makeRoute("r-1", Streams, "streaming", "huvo11a");
  route["timeout_ms"] = 10000;
  route["resumable"] = true;
  route["session_affinity"] = true;
  Users.configure(
      makeConfig(1, {route}, {makeModelService("huvo11a", {Model})}));
  Edge &first = Users.addEdge("edge-pasig-a-1", "pasig-a");
  Edge &second = Users.addEdge("edge-pasig-b-1", "pasig-b");
  Users.startEdge(first);
  Users.startEdge(second);
  require(Users.waitUntilReady(first, Millis(10000)) &&
              Users.waitUntilReady(second, Millis(10000)),
          "the edge processes do not become ready");
  std::this_thread::sleep_for(Millis(3500));

  // The caller's machine is killed while it passes a stream on.
  EventIds events;
  CallResult got = call(first.Front, makeStream("9c41d07be2a35f68", 0),
                        Millis(12000), [&](const std::string &Bytes) {
                          events.add(Bytes);
                          if (events.Ids.size() == 12) {
                            Users.Log.line("SIGKILL to " + first.Name);
                            first.Process.signal(SIGKILL);
                          }
                          return true;
                        });
  require(!got.Complete && !events.Ids.empty(), "the stream does not break");
  unsigned last = events.Ids.back();
  Users.Log.line("caller: the stream ended after event " +
                 std::to_string(last) + "; goes on at " + second.Name);
  crashNext = Trouble;
  EventIds more;
  got = call(second.Front, makeStream("b7e2c90144fd8a31", last), Millis(12000),
             [&](const std::string &Bytes) {
               more.add(Bytes);
               return true;
             });
  std::string text;
  for (unsigned it : more.Ids)
    text += " " + std::to_string(it);
  Users.Log.line("caller: resumed after event " + std::to_string(last) + ": " +
                 describe(got) + (got.Complete ? ", complete" : ", broken") +
                 ", events" + text);
  bool held = true;
  unsigned expected = last;
  for (unsigned it : more.Ids)
    held = held && it == ++expected;
  return held && (!got.Complete || expected == Events);
}

} // namespace

int main(int Count, char **Values) { review::runCase(Count, Values, run); }
