/// \file
/// The users' platform on loopback: its store, the servers of the services, the
/// operator, and the system's processes with settings of a small deployment.
/// Follows PROTOCOL.md; where that is silent, the stand-ins behave soundly.
#ifndef WASABI_REVIEW_STANDIN2_WORLD_HH
#define WASABI_REVIEW_STANDIN2_WORLD_HH

#include "Http.hh"

#include <boost/json/value.hpp>

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <map>
#include <mutex>
#include <set>

namespace review {

namespace json = boost::json;

/// Writes what was sent, answered and run to `record.txt`, and to standard
/// output. Thread-safe.
class Recorder {
public:
  explicit Recorder(const std::string &Path);
  void line(const std::string &Text);
  /// Milliseconds since the start of the case.
  long now() const;

private:
  const Clock::time_point Start = Clock::now();
  std::mutex Guard;
  std::FILE *File;
};

/// What the store does with a call.
enum class StoreFate {
  Answer,
  /// The call is executed, and its answer is lost: the connection returns
  /// nothing further.
  LoseAnswer,
};

/// The platform's store: a log with topics of one partition. Thread-safe.
class Store {
public:
  explicit Store(Recorder &Log) : Log(Log) {}

  /// Opens an address for one machine, which its calls are known by.
  Endpoint listenFor(const std::string &Machine);
  /// Writes a record of a keyed topic, as the operator and the servers do; no
  /// value deletes the key. Returns its offset.
  std::size_t write(const std::string &Topic, const std::string &Key,
                    const std::string &Value);
  /// Lets a topic begin at an offset, as it does in a store that has been in
  /// use for longer than `retention_s`. Precondition: the topic is empty.
  void beginAt(const std::string &Topic, std::size_t Offset);
  /// Returns the machine whose records were appended last to a topic; empty if
  /// there is none.
  std::string lastWriter(const std::string &Topic);
  /// Decides about each call before it is executed; called under no lock.
  std::function<StoreFate(const std::string &Machine, const Message &)> Fate;

private:
  struct Topic {
    /// Offset of the oldest record.
    std::size_t First = 0;
    std::vector<std::string> Records;
    std::string LastWriter;
    std::size_t end() const { return First + Records.size(); }
    /// Of a keyed topic: the newest offset by key.
    std::map<std::string, std::size_t> Newest;
  };
  bool handle(const std::string &Machine, Socket &Link, const Message &Request);
  Message append(const std::string &Machine, const Message &Request);
  Message read(Socket &Link, const Message &Request);
  Message newest(const Message &Request);
  std::size_t add(const std::string &Name, std::string Record);

  Recorder &Log;
  std::mutex Guard;
  std::condition_variable Appended;
  std::map<std::string, Topic> Topics;
};

/// A request as a server received it.
struct Arrival {
  long At = 0;
  std::string Server;
  std::string Service;
  std::string Id;
  std::string Target;
  std::string ResumeAfter;
};

struct ServerSettings {
  std::string Id;
  std::string Service;
  std::string Zone = "pasig-a";
  /// Model and its version; empty for a plain service.
  std::map<std::string, std::uint64_t> Models;
  unsigned Slots = 8;
  /// Requests that wait for a slot.
  unsigned Queue = 4;
  /// Time per event, or per request of a plain service.
  Millis Work{20};
  /// Number of events of a text.
  unsigned Events = 8;
};

/// A server of a service. It registers itself, sends heartbeats, and can crash
/// and start again. Thread-safe.
class Server {
public:
  Server(Store &Registry, Recorder &Log, ServerSettings Settings);

  /// Starts listening and registers.
  void start();
  /// Crashes: resets all connections, refuses new ones and sends nothing to
  /// the store. The registration is removed after three heartbeats of silence,
  /// unless the server has started again by then.
  void crash();
  /// Starts again at the same address under a new id.
  void restart(const std::string &NewId);
  /// Called for each request that begins to run; may change how it ends.
  struct Plan {
    /// Resets the stream after this many whole events and a part of the next.
    std::optional<unsigned> BreakAfter;
  };
  std::function<Plan(const Arrival &)> OnRun;
  /// Called with each answer to a request. If it returns true, the server sends
  /// a copy of the answer late: before its answer to the next request on the
  /// connection.
  std::function<bool(const Message &Request, const Message &Answer)> SendsExtra;

  std::vector<Arrival> arrivals();
  const ServerSettings Setup;
  std::string id();
  Endpoint endpoint() const { return {"127.0.0.1", Port}; }
  bool isUp();
  /// Requests that run now.
  unsigned running();

private:
  bool handle(Socket &Link, const Message &Request, std::uint64_t Generation);
  bool answerWith(Socket &Link, const Message &Request, const Message &Answer);
  bool runItem(Socket &Link, const Message &Request, std::uint64_t Generation,
               const Plan &Todo);
  std::string registration();
  void serve();
  void beat();
  bool isUp(std::uint64_t Generation);

  Store &Registry;
  Recorder &Log;
  std::mutex Guard;
  std::string Id;
  bool Up = false;
  std::uint64_t Generation = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t Orders = 0;
  bool Busy = false;
  long Born = 0;
  unsigned Running = 0;
  unsigned Queued = 0;
  int Listener = -1;
  std::uint16_t Port = 0;
  std::set<int> Links;
  /// Copies of answers that are still to be sent, by connection.
  std::map<const Socket *, std::string> ExtraAnswers;
  std::map<std::string, std::uint64_t> Models;
  std::vector<Arrival> Arrivals;
};

/// A process of the system.
class SystemProcess {
public:
  /// Starts the program in a folder with the settings file, without arguments.
  void start(const std::string &Folder, const std::string &Program,
             const std::string &SettingsPath, const std::string &OutputPath);
  void signal(int Number) const;
  /// Waits until the process has ended; kills it after `Timeout`.
  void wait(Millis Timeout);
  /// Memory that the process holds, in MB; 0 if it does not run.
  std::size_t residentMb() const;
  /// Kills the process and waits for its end.
  void kill();

private:
  pid_t Pid = -1;
};

/// An edge machine and its process.
struct Edge {
  std::string Name;
  std::string Host;
  Endpoint Front;
  Endpoint Ready;
  std::string SettingsPath;
  std::string OutputPath;
  SystemProcess Process;
};

/// A deployment: store, servers, edge machines, and a sidecar beside each model
/// server.
class World {
public:
  /// `Root` is the repository, `Folder` a temporary folder.
  World(const std::string &Root, const std::string &Folder, Recorder &Log);

  Server &addServer(ServerSettings Settings);
  Edge &addEdge(const std::string &Name, const std::string &Zone);
  void startEdge(Edge &Which) const;
  /// Starts a sidecar beside a model server.
  void startSidecar(Server &Beside);
  /// Writes the newest configuration, as the operator does.
  void configure(const json::object &Config);
  /// Names a version of a model's weights, as its trainer does.
  void nameVersion(const std::string &Model, std::uint64_t Version);
  void stopProcesses();
  /// Waits until the edge process answers that it is ready.
  bool waitUntilReady(const Edge &Which, Millis Timeout) const;

  Store Platform;
  Recorder &Log;

private:
  json::object settingsOf(const std::string &Name, const std::string &Role,
                          const std::string &Zone, const std::string &Host,
                          const Endpoint &StoreAddress) const;
  std::string nextHost();

  const std::string Root;
  const std::string Folder;
  unsigned Hosts = 0;
  std::vector<std::unique_ptr<Server>> Servers;
  std::vector<std::unique_ptr<Edge>> Edges;
  std::vector<std::unique_ptr<SystemProcess>> Sidecars;
};

/// Parts of a configuration as the operator writes them.
json::object makeRoute(const std::string &Name, const std::string &Prefix,
                       const std::string &Kind, const std::string &Service);
json::object makeModelService(const std::string &Name,
                              const std::vector<std::string> &Models);
json::object makePlainService(const std::string &Name);
json::object makeConfig(std::uint64_t Version, const json::array &Routes,
                        const json::array &Services);

/// A batch job of a trainer: groups of items under `Prefix`, whose reward calls
/// go to `ScorePrefix`.
struct JobSettings {
  std::string Id;
  std::string Model;
  std::string Prefix;
  std::string ScorePrefix;
  std::vector<std::string> Items;
  unsigned GroupSize = 4;
  unsigned TargetGroups = 1;
  unsigned Step = 0;
  unsigned MinVersion = 1;
  /// Size of the body of each item; 0 for a few bytes.
  std::size_t BodyBytes = 0;
  /// How long the trainer waits for the answer to its submission.
  Millis SubmitTimeout{5000};
};

/// Returns the body of a job's submission.
std::string encodeJob(const JobSettings &Job);

/// Calls of a trainer. Each is on a new connection.
CallResult submitJob(const Edge &At, const JobSettings &Job);
CallResult readJob(const Edge &At, const std::string &Id, unsigned After,
                   Millis Wait);
CallResult endJob(const Edge &At, const std::string &Id);
CallResult readItem(const Edge &At, const std::string &Id,
                    const std::string &Item);

extern const char *const HostName;

/// Runs a case: `Body` returns true if the rule held. Exits the process with 0
/// if it held, 1 if it was broken and 2 if the case could not run.
[[noreturn]] void
runCase(int Count, char **Values,
        const std::function<bool(World &, bool Trouble)> &Body);

} // namespace review

#endif // WASABI_REVIEW_STANDIN2_WORLD_HH
