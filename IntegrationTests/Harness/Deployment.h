/// \file
/// A whole example as real processes on loopback: the platform's stand-ins, a
/// daemon beside each upstream server, and entries.
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

/// One process of the product, which may be ended and started again.
struct WasabiProcess {
  std::string Name;
  DomainName Domain;
  /// Index of the server that a daemon stands in front of.
  std::optional<std::size_t> Upstream;
  std::unique_ptr<Process> Running;
  Address Control;
  Address Admin;
  /// An entry's address for callers, a daemon's for frames.
  Address ListenAddress;
  /// The fault proxy between the entries and a daemon, if there is one.
  std::unique_ptr<StandIn> Proxy;

  bool isEntry() const { return !Upstream.has_value(); }
};

/// How a `wasabictl` ended. An immutable value.
struct CtlResult {
  int Code = 0;
  std::string Output;
  std::string Errors;
  Millis Took{0};
};

/// All processes end when it is destroyed. Not thread-safe, but for what only
/// reads.
class Deployment {
public:
  struct Settings {
    /// A folder of `examples/`.
    std::string Example = "lindqvist";
    std::size_t EntriesPerDomain = 1;
    /// Whether a fault proxy stands in front of each daemon's frames.
    bool UsesFaultProxies = false;
    /// Flags of the stand-ins by role, besides addresses and names.
    std::map<std::string, std::vector<std::string>> Flags;
  };

  /// Starts everything and waits until all entries and daemons are ready; no
  /// configuration is published yet. Errors: `Unavailable`, `BadInput`.
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
  /// Daemons, in the order of `upstreams`, then entries.
  std::vector<WasabiProcess> &nodes() { return Nodes; }
  const Example &example() const { return Source; }
  /// The declarations with real endpoints, for `wasabictl apply`.
  std::string declarations() const { return Folder->file("declarations"); }
  TestFolder &folder() { return *Folder; }

  /// Where callers may ask: the entries that run and call themselves ready.
  std::vector<Address> readyEntries() const;
  /// Whether a process says that it is ready.
  static bool isReady(const WasabiProcess &Node);
  /// Whether every ready process knows all upstreams as serving, behind the
  /// daemons that run now.
  bool areAllUpstreamsKnown() const;
  /// The view of each ready process that lacks one, for a person.
  std::string describeIncompleteViews() const;
  /// Runs `wasabictl` to its end with the platform's addresses.
  CtlResult control(std::vector<std::string> Arguments,
                    Millis Limit = Millis(60000));
  /// Starts a node's process anew, after it ended. Errors: `Unavailable`.
  Result<Done> restart(WasabiProcess &Node);
  /// Starts an upstream anew on the address that it had. Errors: `Unavailable`.
  Result<Done> restart(UpstreamProcess &Node);
  /// SIGKILL, and the platform takes the instance off its list.
  void kill(WasabiProcess &Node);
  /// SIGTERM, and how it ended; empty when it still runs after `Limit`.
  static std::optional<ProcessExit> stop(WasabiProcess &Node, Millis Limit);

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
