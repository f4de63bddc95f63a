/// \file
/// Runs the real processes against stand-ins of the users' platform on
/// loopback.
#ifndef WASABI_INTEGRATIONTESTS_PLATFORM_PLATFORMFIXTURE_H
#define WASABI_INTEGRATIONTESTS_PLATFORM_PLATFORMFIXTURE_H

#include "IntegrationTests/Harness/Process.h"
#include "IntegrationTests/Harness/TestFolder.h"
#include "IntegrationTests/Platform/PlatformReportEndpoint.h"
#include "IntegrationTests/Platform/PlatformServers.h"
#include "IntegrationTests/Platform/PlatformStore.h"
#include "StandIns/FaultProxy.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/json/value.hpp>

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace wasabi::test {

/// Model of all jobs, unless another one is given.
inline constexpr const char *DefaultModel = "model";

/// Memory of an edge instance of the users, in KiB.
inline constexpr std::size_t EdgeMemoryKib = 280u << 10;

/// Builds a submission of scored items, two in a group, as a trainer sends it.
std::string makeJobBody(const std::string &Job,
                        const std::vector<std::string> &Items,
                        std::uint64_t MinVersion,
                        const std::string &Model = DefaultModel);

/// A customer in a configuration.
struct ConfiguredCustomer {
  std::string Name;
  std::vector<std::string> Keys;
  std::uint32_t Priority = 1;
};

/// Sizes and options of a fixture.
struct PlatformFixtureSettings {
  std::size_t Edges = 1;
  std::size_t Engines = 2;
  std::size_t Desks = 2;
  /// True if each connection passes through a fault proxy.
  bool UsesFaultProxies = false;
  /// True if usage is reported, in windows of one second.
  bool Reports = false;
  /// Delay in seconds from the end of a window until its report is due.
  unsigned ReportDueSeconds = 12;
  /// Customers of the first configuration.
  std::vector<ConfiguredCustomer> Customers = {};
  /// Models that all engines hold.
  std::vector<std::string> Models = {DefaultModel};
  /// Memory in MiB and number of descriptors of an edge machine; 0 if its
  /// settings name no limit.
  std::size_t MemoryMb = 0;
  std::size_t MaxDescriptors = 0;
  /// Maximum size of a caller's request body, in bytes; 0 if the configuration
  /// has none.
  std::size_t MaxBodyBytes = 0;
};

/// An edge process and its addresses.
struct EdgeProcess {
  /// Address for callers.
  Address CallerAddress;
  /// Listen address; equal to the address for callers unless a proxy is
  /// between.
  Address ListenAddress;
  Address ReadinessAddress;
  std::unique_ptr<harness::Process> Running;
};

/// A store, engines with a sidecar each, plain servers, and edge processes. The
/// stand-ins run on one thread.
class PlatformFixture {
public:
  using Proxy = std::shared_ptr<standins::FaultProxy>;

  explicit PlatformFixture(std::size_t Edges)
      : PlatformFixture(PlatformFixtureSettings{Edges, 2, 2, false}) {}
  explicit PlatformFixture(PlatformFixtureSettings Settings);
  ~PlatformFixture();
  PlatformFixture(const PlatformFixture &) = delete;
  PlatformFixture &operator=(const PlatformFixture &) = delete;

  /// Runs `Body` on the stand-ins' thread and returns its result.
  template <typename T> T runOnPlatformThread(std::function<T()> Body) {
    std::packaged_task<T()> task(std::move(Body));
    std::future<T> result = task.get_future();
    boost::asio::post(Context, [&task] { task(); });
    return result.get();
  }
  void runOnPlatformThread(const std::function<void()> &Body) {
    runOnPlatformThread<int>([&Body] {
      Body();
      return 0;
    });
  }

  PlatformStore &store() { return *Store; }
  PlatformReportEndpoint &reports() { return *Reports; }
  PlatformServer &engine(std::size_t Index) { return *Engines[Index]; }
  PlatformServer &plainServer(std::size_t Index) {
    return *PlainServers[Index];
  }
  EdgeProcess &edge(std::size_t Index) { return Edges[Index]; }
  harness::Process &sidecar(std::size_t Index) { return *Sidecars[Index]; }
  std::size_t edges() const { return Edges.size(); }
  const PlatformFixtureSettings &size() const { return Settings; }
  /// Engines, followed by the plain servers.
  PlatformServer &server(std::size_t Index) {
    return Index < Settings.Engines ? *Engines[Index]
                                    : *PlainServers[Index - Settings.Engines];
  }
  std::size_t servers() const { return Settings.Engines + Settings.Desks; }

  // Links of a proxied fixture, each through a fault proxy.
  Proxy callerLink(std::size_t Edge) const { return CallerLinks[Edge]; }
  /// Links of the edge processes, followed by those of the sidecars.
  Proxy storeLink(std::size_t Process) const { return StoreLinks[Process]; }
  Proxy serverLink(std::size_t Index) const { return ServerLinks[Index]; }
  /// Links of the edge processes to the report endpoint.
  Proxy reportLink(std::size_t Edge) const { return ReportLinks[Edge]; }
  void setFaults(const Proxy &Link, const boost::json::object &Changes);

  /// Writes a process' settings file with the additional fields `Extra` and
  /// returns its path. `Process` is the index of the process' link to the
  /// store.
  std::string writeSettingsFile(const std::string &Name,
                                const std::string &Extra, std::size_t Process);
  /// Replaces the text of a settings file.
  void overwriteSettingsFile(const std::string &Name, const std::string &Text);
  void startEdge(std::size_t Index);
  void startSidecar(std::size_t Index);
  /// Writes a server's registration, or removes it.
  void registerServer(std::size_t Index, bool Draining);
  void unregisterServer(const std::string &Id);
  /// Publishes a configuration. The plain service is also routed at
  /// `/desk-VERSION/`, and jobs at `/rollout-V/` for each version up to this
  /// one. If there are `Customers`, all routes but `/open/` require a key.
  void configure(std::uint64_t Version);
  /// Customers of the configurations published from now on.
  void setCustomers(std::vector<ConfiguredCustomer> NewCustomers) {
    Customers = std::move(NewCustomers);
  }
  /// Delay from the end of a window until its report is due.
  Millis reportDueDelay() const {
    return std::chrono::seconds(Settings.ReportDueSeconds);
  }
  /// Publishes a configuration with other customers and waits until it is in
  /// force.
  void configureCustomers(std::uint64_t Version,
                          std::vector<ConfiguredCustomer> NewCustomers);
  void nameVersion(std::uint64_t Version);
  /// Returns true if an edge process is ready for callers.
  bool ready(std::size_t Index);
  bool waitUntilAllReady();

  /// Key sent with all following requests; empty for none.
  void setCustomerKey(std::string Key) { CustomerKey = std::move(Key); }
  /// Sends a request unchanged.
  http::Response send(std::size_t Edge, http::Request Request);
  http::Response postRequest(std::size_t Edge, const std::string &Path,
                             const std::string &Id);
  /// Sends a request whose body is the same for each attempt.
  http::Response sendWithBody(std::size_t Edge, const std::string &Path,
                              const std::string &Id, const std::string &Body);
  /// Makes each server crash that begins to run a request containing `Text`.
  void setCrashMarker(const std::string &Text);
  /// Sets for how long a crashing server still accepts connections.
  void setListenerCloseDelay(Millis Delay);
  /// Number of crashes caused by `setCrashMarker`.
  int crashCount();
  /// Waits until all servers are running.
  bool waitForRestarts();
  /// Sends raw bytes and returns all that is received until the connection
  /// closes, `Terminator` is received, or `Timeout` has passed; then closes the
  /// connection.
  std::string sendRaw(std::size_t Edge, const std::string &Bytes,
                      Millis Timeout, const std::string &Terminator = "");
  /// Submits `Items` scored items and returns the status.
  unsigned submit(std::size_t Edge, const std::string &Job, std::size_t Items,
                  std::uint64_t MinVersion = 1);
  /// Returns all results that an edge process lists, and the status of its
  /// answer.
  boost::json::value results(std::size_t Edge, const std::string &Job,
                             unsigned &Status);
  /// Waits until all results of a job are available at an edge process.
  bool waitForResults(std::size_t Edge, const std::string &Job,
                      std::size_t Items);
  unsigned endJob(std::size_t Edge, const std::string &Job);
  /// Requests the body of an item and returns the status.
  unsigned getItemBodyStatus(std::size_t Edge, const std::string &Job,
                             const std::string &Item);
  /// Returns the requests that all servers of a kind received.
  std::vector<ServerCall> plainServerRuns();
  std::vector<ServerCall> engineRuns();
  /// Returns the log output of all processes that run now.
  std::string output();

private:
  http::Request request(const std::string &Method, const std::string &Target,
                        const std::string &Id) const;
  Proxy makeLink(const Address &Upstream);
  void makeServers();
  void makeLinks();

  const PlatformFixtureSettings Settings;
  boost::asio::io_context Context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Work = boost::asio::make_work_guard(Context);
  std::unique_ptr<PlatformStore> Store;
  std::unique_ptr<PlatformReportEndpoint> Reports;
  std::vector<std::unique_ptr<PlatformServer>> Engines;
  std::vector<std::unique_ptr<PlatformServer>> PlainServers;
  std::unique_ptr<harness::TestFolder> Folder;
  std::vector<EdgeProcess> Edges;
  std::vector<std::unique_ptr<harness::Process>> Sidecars;
  std::vector<Proxy> CallerLinks;
  std::vector<Proxy> StoreLinks;
  std::vector<Proxy> ServerLinks;
  std::vector<Proxy> ReportLinks;
  std::vector<ConfiguredCustomer> Customers;
  std::string CustomerKey;
  /// Number of servers that restarted after a crash caused by `setCrashMarker`.
  int RestartedServers = 0;
  std::thread Thread;
};

} // namespace wasabi::test

#endif // WASABI_INTEGRATIONTESTS_PLATFORM_PLATFORMFIXTURE_H
