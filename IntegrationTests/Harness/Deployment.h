/// \file
/// Runs a whole example as real processes on loopback: the platform's
/// stand-ins, a daemon for each upstream server, and entries.
#ifndef WASABI_INTEGRATIONTESTS_HARNESS_DEPLOYMENT_H
#define WASABI_INTEGRATIONTESTS_HARNESS_DEPLOYMENT_H

#include "IntegrationTests/Harness/Example.h"
#include "IntegrationTests/Harness/Process.h"
#include "IntegrationTests/Harness/StandIn.h"
#include "IntegrationTests/Harness/TestFolder.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wasabi::harness {

/// One upstream server of a service.
struct UpstreamProcess {
  std::string Name;
  ServiceName Service;
  DomainName Domain;
  std::unique_ptr<StandIn> Server;
};

/// One process of the product, which can be stopped and restarted.
struct WasabiProcess {
  std::string Name;
  DomainName Domain;
  /// Index of the server that a daemon serves.
  std::optional<std::size_t> Upstream;
  std::unique_ptr<Process> Child;
  Address Control;
  Address Admin;
  /// Address for callers of an entry, or for frames of a daemon.
  Address ListenAddress;
  /// The fault proxy between the entries and a daemon; null without one.
  std::unique_ptr<StandIn> Proxy;

  bool isEntry() const { return !Upstream.has_value(); }
};

/// Outcome of a `wasabictl` run. An immutable value.
struct CtlResult {
  int Code = 0;
  std::string Output;
  std::string Errors;
  Millis Duration{0};
};

/// The processes of one example; the destructor stops them all. Not thread-safe
/// except for const methods.
class Deployment {
public:
  struct Settings {
    /// Name of a folder in `examples/`.
    std::string Example = "lindqvist";
    std::size_t EntriesPerDomain = 1;
    /// True if a fault proxy is placed in front of each daemon's frame address.
    bool UsesFaultProxies = false;
    /// Flags of the stand-ins by role, in addition to addresses and names.
    std::map<std::string, std::vector<std::string>> Flags;
  };

  /// Starts all processes and waits until all entries and daemons are ready.
  /// Publishes no configuration. Errors: `Unavailable`, `BadInput`.
  static Result<std::unique_ptr<Deployment>> start(Settings Setup);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  StandIn &log() { return *Log; }
  StandIn &instances() { return *Instances; }
  StandIn &weights() { return *Weights; }
  StandIn &scorer() { return *Scorer; }
  const std::map<TrainerName, std::unique_ptr<StandIn>> &trainers() const {
    return Trainers;
  }
  std::vector<UpstreamProcess> &upstreams() { return Upstreams; }
  /// Daemons, in the order of `upstreams`, followed by the entries.
  std::vector<WasabiProcess> &nodes() { return Nodes; }
  const Example &example() const { return Source; }
  /// The declarations with the real endpoints, for `wasabictl apply`.
  std::string declarations() const { return Folder->file("declarations"); }
  TestFolder &folder() { return *Folder; }

  /// Returns the addresses of the entries that run and report themselves ready.
  std::vector<Address> readyEntries() const;
  /// Returns true if a process reports itself ready.
  static bool isReady(const WasabiProcess &Node);
  /// Returns true if every ready process sees all upstreams as serving through
  /// the daemons that run now.
  bool areAllUpstreamsKnown() const;
  /// Returns a readable view of each ready process that does not see all
  /// upstreams as serving.
  std::string describeIncompleteViews() const;
  /// Runs `wasabictl` with the platform's addresses and waits for its exit.
  CtlResult control(std::vector<std::string> Arguments,
                    Millis Timeout = Millis(60000));
  /// Restarts a node's process after it exited. Errors: `Unavailable`.
  Result<Done> restart(WasabiProcess &Node);
  /// Restarts an upstream on its previous address. Errors: `Unavailable`.
  Result<Done> restart(UpstreamProcess &Node);
  /// Sends SIGKILL and removes the instance from the platform's list.
  void kill(WasabiProcess &Node);
  /// Sends SIGTERM and returns the exit; empty if the process still runs after
  /// `Timeout`.
  static std::optional<ProcessExit> stop(WasabiProcess &Node, Millis Timeout);

private:
  explicit Deployment(Settings Setup, Example Source,
                      std::unique_ptr<TestFolder> Folder);

  Result<Done> startPlatform();
  Result<Done> startTrainers();
  Result<Done> startUpstreams();
  Result<Done> startNodes();
  std::map<std::string, Address> daemonControlAddresses() const;
  Result<Done> launch(WasabiProcess &Node);
  Result<Done> launchBehindProxy(WasabiProcess &Node,
                                 std::vector<std::string> &Arguments);
  Result<Done> readAddresses(WasabiProcess &Node);
  Result<std::unique_ptr<StandIn>> startStandIn(const std::string &Role,
                                                const std::string &Name,
                                                std::vector<std::string> Flags,
                                                Address Listen);
  std::vector<std::string> upstreamFlags(const UpstreamProcess &Node) const;
  std::vector<std::string> nodeArguments(const WasabiProcess &Node) const;

  const Settings Setup;
  const Example Source;
  std::unique_ptr<TestFolder> Folder;
  std::unique_ptr<StandIn> Log;
  std::unique_ptr<StandIn> Instances;
  std::unique_ptr<StandIn> Weights;
  std::unique_ptr<StandIn> Scorer;
  std::map<TrainerName, std::unique_ptr<StandIn>> Trainers;
  std::vector<UpstreamProcess> Upstreams;
  std::vector<WasabiProcess> Nodes;
};

} // namespace wasabi::harness

#endif // WASABI_INTEGRATIONTESTS_HARNESS_DEPLOYMENT_H
