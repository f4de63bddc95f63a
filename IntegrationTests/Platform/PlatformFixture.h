/// \file
/// The users' platform on loopback with the real processes on it.
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

/// A submission of scored items, two a group, as a trainer sends it.
std::string makeJobBody(const std::string &Job,
                        const std::vector<std::string> &Items,
                        std::uint64_t MinVersion);

/// A customer as the operator configures it.
struct ConfiguredCustomer {
  std::string Name;
  std::vector<std::string> Keys;
  std::uint32_t Priority = 1;
};

/// How large a world is.
struct PlatformFixtureSettings {
  std::size_t Edges = 1;
  std::size_t Engines = 2;
  std::size_t Desks = 2;
  /// Whether each connection leads through a fault proxy.
  bool UsesFaultProxies = false;
  /// Whether usage is reported, in windows of one second.
  bool Reports = false;
  /// When the report of a window is due after its end, in seconds.
  unsigned ReportDueSeconds = 12;
  /// Of the first configuration.
  std::vector<ConfiguredCustomer> Customers = {};
};

/// An edge process and where it listens.
struct EdgeProcess {
  /// Where callers reach it.
  Address CallerAddress;
  /// Where it listens for them; the same unless a proxy lies between.
  Address Listens;
  Address ReadinessAddress;
  std::unique_ptr<harness::Process> Running;
};

/// A store, engines with a process beside each, plain servers, and edge
/// processes. The stand-ins run on a thread of their own.
class PlatformFixture {
public:
  using Proxy = std::shared_ptr<standins::FaultProxy>;

  explicit PlatformFixture(std::size_t Edges)
      : PlatformFixture(PlatformFixtureSettings{Edges, 2, 2, false}) {}
  explicit PlatformFixture(PlatformFixtureSettings Size);
  ~PlatformFixture();
  PlatformFixture(const PlatformFixture &) = delete;
  PlatformFixture &operator=(const PlatformFixture &) = delete;

  /// Runs `Body` on the stand-ins' thread and gives what it returns.
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
  PlatformServer &plainServer(std::size_t Index) { return *Desks[Index]; }
  EdgeProcess &edge(std::size_t Index) { return Edges[Index]; }
  harness::Process &sidecar(std::size_t Index) { return *Sidecars[Index]; }
  std::size_t edges() const { return Edges.size(); }
  const PlatformFixtureSettings &size() const { return Size; }
  /// Engines first, then plain servers.
  PlatformServer &server(std::size_t Index) {
    return Index < Size.Engines ? *Engines[Index]
                                : *Desks[Index - Size.Engines];
  }
  std::size_t servers() const { return Size.Engines + Size.Desks; }

  // Links of a proxied world, each a fault proxy.
  Proxy callerLink(std::size_t Edge) const { return CallerLinks[Edge]; }
  /// Of the edge processes first, then of the side processes.
  Proxy storeLink(std::size_t Process) const { return StoreLinks[Process]; }
  Proxy serverLink(std::size_t Index) const { return ServerLinks[Index]; }
  /// Of the edge processes to the address that takes reports.
  Proxy reportLink(std::size_t Edge) const { return ReportLinks[Edge]; }
  void setFaults(const Proxy &Of, const boost::json::object &Changes);

  /// Writes a process's settings file, with `Extra` fields, and gives its path.
  /// `Process` counts the links to the store.
  std::string writeSettingsFile(const std::string &Name,
                                const std::string &Extra, std::size_t Process);
  /// Puts other text into a settings file.
  void overwriteSettingsFile(const std::string &Name, const std::string &Text);
  void startEdge(std::size_t Index);
  void startSidecar(std::size_t Index);
  /// Writes a server's registration, or its end.
  void registerServer(std::size_t Index, bool Draining);
  void unregisterServer(const std::string &Id);
  /// Publishes a configuration; the desk's route is `/desk-VERSION/` too. It
  /// asks for keys if there are `Customers`; not on the route `/open/`.
  void configure(std::uint64_t Version);
  /// The customers of the configurations that are published from now on.
  void setCustomers(std::vector<ConfiguredCustomer> Known) {
    Customers = std::move(Known);
  }
  /// When a window's report is due after its end.
  Millis reportDueDelay() const {
    return std::chrono::seconds(Size.ReportDueSeconds);
  }
  /// Publishes one with other customers, and waits until it is in force.
  void configureCustomers(std::uint64_t Version,
                          std::vector<ConfiguredCustomer> Known);
  void nameVersion(std::uint64_t Version);
  /// Whether an edge process is ready for callers.
  bool ready(std::size_t Index);
  bool waitUntilAllReady();

  /// The key that the requests from now on bring; empty for none.
  void setCustomerKey(std::string Key) { CustomerKey = std::move(Key); }
  /// Sends a request as it is.
  http::Response send(std::size_t Edge, http::Request Ask);
  http::Response postRequest(std::size_t Edge, const std::string &Path,
                             const std::string &Id);
  /// The same with a body that does not tell one attempt from another.
  http::Response sendWithBody(std::size_t Edge, const std::string &Path,
                              const std::string &Id, const std::string &Body);
  /// Lets all servers end that begin to run what has `Text` in it.
  void setCrashMarker(const std::string &Text);
  /// How many servers have ended so.
  int crashCount();
  /// Waits until no server is down.
  bool waitForRestarts();
  /// Sends bytes as they are and gives all that comes until the connection
  /// ends, `Until` has come, or `Wait` is over; then closes.
  std::string sendRaw(std::size_t Edge, const std::string &Bytes, Millis Wait,
                      const std::string &Until = "");
  /// The status of a submission of `Items` scored items.
  unsigned submit(std::size_t Edge, const std::string &Job, std::size_t Items,
                  std::uint64_t MinVersion = 1);
  /// All results that an edge process shows, and the status of its answer.
  boost::json::value results(std::size_t Edge, const std::string &Job,
                             unsigned &Status);
  /// Waits until a job's results are whole at an edge process.
  bool waitForResults(std::size_t Edge, const std::string &Job,
                      std::size_t Items);
  unsigned endJob(std::size_t Edge, const std::string &Job);
  /// The status of asking for the body of an item.
  unsigned getItemBodyStatus(std::size_t Edge, const std::string &Job,
                             const std::string &Item);
  /// What all servers of a kind were asked.
  std::vector<ServerCall> plainServerRuns();
  std::vector<ServerCall> engineRuns();
  /// All that the processes that run now have logged.
  std::string output();

private:
  http::Request request(const std::string &Method, const std::string &Target,
                        const std::string &Id) const;
  Proxy makeLink(const Address &Upstream);
  void makeServers();
  void makeLinks();

  const PlatformFixtureSettings Size;
  boost::asio::io_context Context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Work = boost::asio::make_work_guard(Context);
  std::unique_ptr<PlatformStore> Store;
  std::unique_ptr<PlatformReportEndpoint> Reports;
  std::vector<std::unique_ptr<PlatformServer>> Engines;
  std::vector<std::unique_ptr<PlatformServer>> Desks;
  std::unique_ptr<harness::TestFolder> Folder;
  std::vector<EdgeProcess> Edges;
  std::vector<std::unique_ptr<harness::Process>> Sidecars;
  std::vector<Proxy> CallerLinks;
  std::vector<Proxy> StoreLinks;
  std::vector<Proxy> ServerLinks;
  std::vector<Proxy> ReportLinks;
  std::vector<ConfiguredCustomer> Customers;
  std::string CustomerKey;
  /// Servers that were back after an end by `setCrashMarker`.
  int RestartedServers = 0;
  std::thread Thread;
};

} // namespace wasabi::test

#endif // WASABI_INTEGRATIONTESTS_PLATFORM_PLATFORMFIXTURE_H
