/// \file
/// `wasabi-daemon`: proxy on the same instance as its upstream servers. All
/// requests to these servers pass through it. It can hold any claimed duty.
#include "Wasabi/Adapters/Admin/AdminServer.h"
#include "Wasabi/Adapters/Frames/RequestServer.h"
#include "Wasabi/Adapters/Proxy/DaemonProxy.h"
#include "Wasabi/Adapters/Proxy/ProcessSettings.h"
#include "Wasabi/Adapters/Telemetry/Metrics.h"
#include "Wasabi/Core/BootTimer.h"
#include "Wasabi/Core/Program.h"
#include "Wasabi/Core/Published.h"
#include "Wasabi/Core/Timeline.h"
#include "Wasabi/Node/ControlPlane.h"
#include "Wasabi/Rollout/RolloutService.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <gflags/gflags.h>

#include <atomic>
#include <iostream>

DEFINE_string(instance, "", "name of this instance");
DEFINE_string(failure_domain, "", "failure domain of this instance");
DEFINE_string(frames, "127.0.0.1:0", "IP:PORT for request frames");
DEFINE_string(control, "127.0.0.1:0", "IP:PORT for control frames");
DEFINE_string(admin, "127.0.0.1:0", "IP:PORT for status and metrics");
DEFINE_string(
    advertise_frames, "",
    "IP:PORT for request frames announced to others, if not the bound one");
DEFINE_string(advertise_control, "",
              "control IP:PORT announced to others, if not the bound one");
DEFINE_string(log, "", "IP:PORT of the platform's log service");
DEFINE_string(instances, "", "IP:PORT of the platform's instance list");
DEFINE_string(weights, "", "IP:PORT of the platform's weight store");
DEFINE_string(scorer, "", "IP:PORT of the service that scores samples");
DEFINE_uint32(memory_mb, 256,
              "memory that the process may use, in MiB; bounds what its peers "
              "make it hold");
DEFINE_string(seeds, "",
              "control IP:PORT,IP:PORT of instances to contact first");
DEFINE_bool(rollout_round_robin, false,
            "assigns samples to engines round-robin, for benchmarks");
DEFINE_string(upstreams, "",
              "servers behind this daemon: server=service@IP:PORT,...");

namespace wasabi {
namespace {

namespace asio = boost::asio;

constexpr std::size_t TimelineEvents = 65536;
/// Interval between checks whether the last request has ended.
constexpr Millis DrainPollInterval{10};
/// Minimum time that a leaving daemon keeps refusing requests.
constexpr Millis MinLeavingTime{500};
/// Interval between updates of the load reports.
constexpr Millis LoadRefreshInterval{20};

/// Components of the daemon, in the order of their construction.
class DaemonProgram {
public:
  Result<ExitCode> run() {
    BOOST_LEAF_CHECK(start());
    Context.run();
    Events->record("process.stop", {});
    // Stops the admin thread before the components that it reads.
    Admin.reset();
    Rollouts.reset();
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
    BOOST_LEAF_AUTO(Upstreams, parseUpstreams(FLAGS_upstreams, "--upstreams"));
    BOOST_LEAF_AUTO(Listen, parseAddress(FLAGS_frames, "--frames"));
    BOOST_LEAF_AUTO(Advertise, parseOptionalAddress(FLAGS_advertise_frames,
                                                    "--advertise_frames"));
    Timeline::Settings ring;
    ring.Capacity = TimelineEvents;
    Events = std::make_unique<Timeline>(Settings.Instance.Text, ring);
    Events->record("process.start",
                   {{"incarnation", std::to_string(Settings.Life)},
                    {"role", "daemon"},
                    {"domain", Settings.Domain.Text}});
    BOOST_LEAF_ASSIGN(Admin, AdminServer::create(Settings.Admin, *Events));
    BOOST_LEAF_CHECK(startProxy(std::move(Upstreams), Listen));
    Address advertised = Advertise.empty() ? Frontend->address() : Advertise;
    BOOST_LEAF_ASSIGN(
        Control,
        ControlPlane::create(
            makeControlPlaneSettings(Settings, Role::Daemon, advertised,
                                     Admin->address()),
            *Events, [this](Order Command, DaemonProxy::OrderCallback Answer) {
              postOrder(std::move(Command), std::move(Answer));
            }));
    Proxy->attach(makeControlPlaneReader(*Control),
                  [this](std::vector<ServerStatus> Servers) {
                    Control->setServers(std::move(Servers));
                  });
    publishLoads();
    BOOST_LEAF_CHECK(startRollouts());
    setAdminSources();
    Signals = onStopSignal(Context, [this] { beginDrain(); });
    std::cout << "frames " << toText(Frontend->address()) << "\n"
              << "control " << toText(Control->address()) << "\n"
              << "admin " << toText(Admin->address()) << std::endl;
    return Done{};
  }

  Result<Done> startProxy(std::vector<ProxiedServer> Upstreams,
                          Address Listen) {
    DaemonProxy::Settings setup;
    setup.Instance = Settings.Instance;
    setup.Domain = Settings.Domain;
    setup.Life = Settings.Life;
    setup.Upstreams = std::move(Upstreams);
    setup.Seed = Settings.Seed;
    Proxy = DaemonProxy::create(Context, setup, *Events, Counts);
    RequestServer::Settings limits;
    limits.Listen = std::move(Listen);
    limits.Instance = Settings.Instance;
    limits.Domain = Settings.Domain;
    limits.Life = Settings.Life;
    Counter &yielded = Counts.counter(
        "wasabi_daemon_connections_yielded_total",
        "Connections of lagging clients closed in favor of others");
    limits.Memory = makePeerMemory(Settings, [&yielded] { yielded.add(); });
    std::shared_ptr<DaemonProxy> proxy = Proxy;
    BOOST_LEAF_ASSIGN(
        Frontend,
        RequestServer::create(Context, limits,
                              [proxy](RequestAttempt Attempt,
                                      std::shared_ptr<ResponseSink> Sink) {
                                return proxy->handle(std::move(Attempt),
                                                     std::move(Sink));
                              }));
    Frontend->setLoadSource([proxy] { return proxy->loads(); });
    return Done{};
  }

  Result<Done> startRollouts() {
    BOOST_LEAF_AUTO(Weights, parseOptionalAddress(FLAGS_weights, "--weights"));
    BOOST_LEAF_AUTO(Scorer, parseOptionalAddress(FLAGS_scorer, "--scorer"));
    // Without the platform's services this daemon serves no trainer.
    if (Settings.Log.empty() || Weights.empty() || Scorer.empty())
      return Done{};
    RolloutService::Settings setup;
    setup.Instance = Settings.Instance;
    setup.Domain = Settings.Domain;
    setup.Life = Control->life();
    setup.Log = Settings.Log;
    setup.Weights = Weights;
    setup.Scorer = Scorer;
    setup.Seed = Settings.Seed;
    setup.RoundRobin = FLAGS_rollout_round_robin;
    BOOST_LEAF_ASSIGN(Rollouts,
                      RolloutService::create(setup, *Control, *Events));
    return Done{};
  }

  /// Called on the control thread; passes the order to the serving thread.
  void postOrder(Order Command, DaemonProxy::OrderCallback Answer) {
    asio::post(Context, [this, Command = std::move(Command),
                         Answer = std::move(Answer)]() mutable {
      Proxy->executeOrder(std::move(Command), std::move(Answer));
    });
  }

  void publishLoads() {
    std::vector<ReportedLoad> loads = Proxy->loads();
    Frontend->setLoads(loads, Leaving);
    PublishedLoads.set(std::move(loads));
    LoadTimer.expires_after(LoadRefreshInterval);
    LoadTimer.async_wait([this](boost::system::error_code ec) {
      if (!ec)
        publishLoads();
    });
  }

  bool ready() const { return Control->ready() && !Leaving; }

  ProcessStatus status() const {
    ProcessStatus shown;
    shown.Settings = Settings;
    shown.Kind = Role::Daemon;
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
      std::string rollouts =
          Rollouts ? "{\"rollouts\":" + Rollouts->statusJson() + "}" : "{}";
      return std::vector<std::string>{Control->statusJson(), rollouts,
                                      encodeServerLoads(*PublishedLoads.get()),
                                      encodeProcessStatus(status())};
    };
    Admin->setSources(std::move(sources));
  }

  /// Refuses new work as not run, and announces the leaving over request and
  /// control frames. Running work continues to its end.
  void beginDrain() {
    Leaving = true;
    LeavingSince = monotonicNow();
    Events->record("process.leaving", {});
    Proxy->startDraining();
    Frontend->setLoads(Proxy->loads(), true);
    // Hands over owned steps and rollouts before the claims are released.
    if (Rollouts)
      Rollouts->shutDown([this] { announceLeaving(); });
    else
      announceLeaving();
  }

  /// Called on any thread.
  void announceLeaving() {
    Control->leave([this] {
      asio::post(Context, [this] {
        LeavingAnnounced = true;
        endWhenIdle();
      });
    });
  }

  void endWhenIdle() {
    // Keeps refusing requests that were sent before their sender learned that
    // this daemon is leaving.
    bool minTimePassed = monotonicNow() - LeavingSince >= MinLeavingTime;
    bool idle = LeavingAnnounced && minTimePassed && Proxy->inFlight() == 0 &&
                Frontend->unsentBytes() == 0;
    if (idle && !HandedOver) {
      // Requests that ran with a key must not run again after this process has
      // ended.
      Proxy->handOver([this] {
        HandedOver = true;
        endWhenIdle();
      });
      return;
    }
    if (idle) {
      LoadTimer.cancel();
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
  std::shared_ptr<DaemonProxy> Proxy;
  std::shared_ptr<RequestServer> Frontend;
  std::unique_ptr<ControlPlane> Control;
  std::unique_ptr<RolloutService> Rollouts;
  std::shared_ptr<void> Signals;
  BootTimer LoadTimer{Context};
  BootTimer DrainTimer{Context};
  std::atomic<bool> Leaving{false};
  TimePoint LeavingSince;
  /// Loads shown by the admin thread.
  Published<std::vector<ReportedLoad>> PublishedLoads;
  bool LeavingAnnounced = false;
  bool HandedOver = false;
};

} // namespace
} // namespace wasabi

int main(int Count, char **Values) {
  wasabi::ProgramDescription about{
      "wasabi-daemon", "",
      "Proxy for the upstream servers on its instance.\n"
      "Prints its addresses on stdout once it serves."};
  wasabi::ProgramStart start = wasabi::startProgram(about, Count, Values);
  if (start.Exit)
    return static_cast<int>(*start.Exit);
  return wasabi::runProgram(about, [] {
    wasabi::DaemonProgram program;
    return program.run();
  });
}
