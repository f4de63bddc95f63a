/// \file
/// `wasabi-entry`: accepts callers' HTTP requests behind the platform's load
/// balancer and forwards them to the daemons of the upstream servers.
#include "Wasabi/Adapters/Admin/AdminServer.h"
#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Adapters/Proxy/EntryProxy.h"
#include "Wasabi/Adapters/Proxy/ProcessSettings.h"
#include "Wasabi/Adapters/Telemetry/Metrics.h"
#include "Wasabi/Core/BootTimer.h"
#include "Wasabi/Core/Program.h"
#include "Wasabi/Core/Timeline.h"
#include "Wasabi/Node/ControlPlane.h"
#include "Wasabi/Routing/LoadBalancing.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <gflags/gflags.h>

#include <atomic>
#include <iostream>

DEFINE_string(instance, "", "name of this instance");
DEFINE_string(failure_domain, "", "failure domain of this instance");
DEFINE_string(listen, "127.0.0.1:0", "IP:PORT for callers' HTTP");
DEFINE_string(control, "127.0.0.1:0", "IP:PORT for control frames");
DEFINE_string(admin, "127.0.0.1:0", "IP:PORT for status and metrics");
DEFINE_string(advertise_control, "",
              "control IP:PORT announced to others, if not the bound one");
DEFINE_string(log, "", "IP:PORT of the platform's log service");
DEFINE_string(instances, "", "IP:PORT of the platform's instance list");
DEFINE_uint32(memory_mb, 256,
              "memory that the process may use, in MiB; bounds what its peers "
              "make it hold");
DEFINE_string(seeds, "",
              "control IP:PORT,IP:PORT of instances to contact first");
DEFINE_uint32(drain_grace_ms, 2000,
              "milliseconds that callers are still accepted after readiness is "
              "withdrawn");

namespace wasabi {
namespace {

namespace asio = boost::asio;

constexpr std::size_t TimelineEvents = 65536;
/// Responses that callers have not read may hold one part in this many of the
/// memory of the process, and large bodies of requests as much.
constexpr std::uint64_t HeldMemoryDivisor = 8;
/// Maximum time that idle connections may stay open after draining.
constexpr Millis CloseTimeout{2000};
/// Interval between checks whether the last request has ended.
constexpr Millis DrainPollInterval{10};
/// Maximum time that a new entry waits until it knows a server of each service.
constexpr Millis WarmUpTimeout{5000};

/// Components of the entry, in the order of their construction.
class EntryProgram {
public:
  Result<ExitCode> run() {
    BOOST_LEAF_CHECK(start());
    Context.run();
    Events->record("process.stop", {});
    // Stops the admin thread before the components that it reads.
    Admin.reset();
    Control.reset();
    return ExitCode::Success;
  }

private:
  Result<Done> start() {
    ProcessFlags flags{FLAGS_instance,          FLAGS_failure_domain,
                       FLAGS_control,           FLAGS_admin,
                       FLAGS_advertise_control, FLAGS_log,
                       FLAGS_instances,         FLAGS_seeds,
                       FLAGS_memory_mb};
    BOOST_LEAF_ASSIGN(Settings, parseProcessSettings(flags, wallMicros()));
    BOOST_LEAF_AUTO(Listen, parseAddress(FLAGS_listen, "--listen"));
    Timeline::Settings ring;
    ring.Capacity = TimelineEvents;
    Events = std::make_unique<Timeline>(Settings.Instance.Text, ring);
    Events->record("process.start",
                   {{"incarnation", std::to_string(Settings.Life)},
                    {"role", "entry"},
                    {"domain", Settings.Domain.Text}});
    BOOST_LEAF_ASSIGN(Admin, AdminServer::create(Settings.Admin, *Events));
    BOOST_LEAF_ASSIGN(Control,
                      ControlPlane::create(
                          makeControlPlaneSettings(Settings, Role::Entry,
                                                   Address(), Admin->address()),
                          *Events, refuseOrder));
    startProxy();
    BOOST_LEAF_CHECK(startFrontend(Listen));
    setAdminSources();
    Signals = onStopSignal(Context, [this] { beginDrain(); });
    std::cout << "control " << toText(Control->address()) << "\n"
              << "admin " << toText(Admin->address()) << "\n"
              << "listening " << toText(Frontend->address()) << std::endl;
    return Done{};
  }

  static void
  refuseOrder(const Order &Command,
              const std::function<void(Outcome<OrderAnswer>)> &Answer) {
    Answer(Failure{Verdict::NotRun,
                   FailureCode::BadInput,
                   Command.Server.Text,
                   "an entry has no servers",
                   {}});
  }

  void startProxy() {
    EntryProxy::Settings setup;
    setup.Instance = Settings.Instance;
    setup.Domain = Settings.Domain;
    setup.Life = Settings.Life;
    setup.Seed = Settings.Seed;
    Proxy = EntryProxy::create(Context, setup, makeControlPlaneReader(*Control),
                               *Events, Counts);
  }

  Result<Done> startFrontend(Address Listen) {
    http::Server::Settings limits;
    limits.Listen = std::move(Listen);
    limits.MaxHeldBytes = Settings.MemoryBytes / HeldMemoryDivisor;
    limits.Memory = makePeerMemory(Settings, nullptr);
    limits.OnSlowReaders = [this](const http::SlowReaderReport &Report) {
      recordSlowCallers(Report);
    };
    std::shared_ptr<EntryProxy> proxy = Proxy;
    BOOST_LEAF_ASSIGN(
        Frontend,
        http::Server::create(Context, limits,
                             [proxy](http::Request Request,
                                     std::shared_ptr<http::Responder> Out) {
                               return proxy->handle(std::move(Request),
                                                    std::move(Out));
                             }));
    return Done{};
  }

  void recordSlowCallers(const http::SlowReaderReport &Report) {
    Events->record(
        "callers.slow",
        {{"reset", std::to_string(Report.StalledResets + Report.MemoryResets)},
         {"shed", std::to_string(Report.ShedRequests)},
         {"bodies_given_up", std::to_string(Report.GivenUpBodies)},
         {"closed", std::to_string(Report.YieldedConnections)},
         {"last_peer", Report.LastPeer}});
    Counts
        .counter("wasabi_entry_connections_yielded_total",
                 "Connections of lagging callers closed in favor of others")
        .add(Report.YieldedConnections);
    Counts
        .counter("wasabi_entry_requests_shed_total",
                 "Requests refused because too many bytes were held")
        .add(Report.ShedRequests + Report.GivenUpBodies);
  }

  /// Returns true once the servers are known and until the entry leaves. After
  /// `WarmUpTimeout`, a service without servers no longer delays readiness.
  bool ready() {
    if (!Control->ready() || Leaving)
      return false;
    if (!WarmedUp)
      WarmedUp =
          hasAllCandidates(*Control->state()->Config, *Control->view()) ||
          monotonicNow() > Started + WarmUpTimeout;
    return WarmedUp;
  }

  ProcessStatus status() {
    ProcessStatus shown;
    shown.Settings = Settings;
    shown.Kind = Role::Entry;
    shown.Ready = ready();
    shown.Leaving = Leaving;
    shown.InFlight = Proxy->inFlight();
    std::shared_ptr<const FoldState> state = Control->state();
    shown.Next = state->Next;
    shown.ConfigRevision = state->ConfigRevision;
    return shown;
  }

  void setAdminSources() {
    AdminSources sources;
    sources.Ready = [this] { return ready(); };
    sources.Metrics = [this] { return Counts.render(); };
    sources.BriefStatus = [this] { return encodeProcessStatus(status()); };
    sources.Status = [this] {
      return std::vector<std::string>{Control->statusJson(),
                                      encodeProcessStatus(status())};
    };
    Admin->setSources(std::move(sources));
  }

  /// Withdraws readiness, waits for the load balancer to notice, then closes
  /// the listener. Requests in flight continue to their end.
  void beginDrain() {
    Leaving = true;
    Events->record("process.leaving", {});
    Control->leave([] {});
    DrainTimer.expires_after(Millis(FLAGS_drain_grace_ms));
    DrainTimer.async_wait([this](boost::system::error_code) {
      Frontend->drain();
      CloseDeadline = monotonicNow() + CloseTimeout;
      endWhenIdle();
    });
  }

  void endWhenIdle() {
    bool idle = Proxy->inFlight() == 0 && Frontend->inFlight() == 0;
    // Idle connections close by themselves. A request that arrives on one
    // meanwhile is still answered.
    bool closed =
        Frontend->connections() == 0 || monotonicNow() >= CloseDeadline;
    if (idle && closed) {
      Frontend->stop();
      Proxy->stop();
      Signals.reset();
      Context.stop();
      return;
    }
    DrainTimer.expires_after(DrainPollInterval);
    DrainTimer.async_wait([this](boost::system::error_code) { endWhenIdle(); });
  }

  asio::io_context Context{1};
  ProcessSettings Settings;
  Metrics Counts;
  std::unique_ptr<Timeline> Events;
  std::unique_ptr<AdminServer> Admin;
  std::unique_ptr<ControlPlane> Control;
  std::shared_ptr<EntryProxy> Proxy;
  std::shared_ptr<http::Server> Frontend;
  std::shared_ptr<void> Signals;
  BootTimer DrainTimer{Context};
  std::atomic<bool> Leaving{false};
  TimePoint CloseDeadline;
  /// Set once the servers are known; read on several threads.
  std::atomic<bool> WarmedUp{false};
  const TimePoint Started = monotonicNow();
};

} // namespace
} // namespace wasabi

int main(int Count, char **Values) {
  wasabi::ProgramDescription about{
      "wasabi-entry", "",
      "Forwards callers' HTTP requests to the daemons of the upstream "
      "servers.\nPrints its addresses on stdout once it serves."};
  wasabi::ProgramStart start = wasabi::startProgram(about, Count, Values);
  if (start.Exit)
    return static_cast<int>(*start.Exit);
  return wasabi::runProgram(about, [] {
    wasabi::EntryProgram program;
    return program.run();
  });
}
