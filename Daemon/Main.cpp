/// \file
/// `wasabi-daemon`: the process in the slot beside upstream servers. It is the
/// only road to them, and may own any duty that is claimed.
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
DEFINE_string(failure_domain, "", "failure domain that it stands in");
DEFINE_string(frames, "127.0.0.1:0", "IP:PORT for request frames");
DEFINE_string(control, "127.0.0.1:0", "IP:PORT for control frames");
DEFINE_string(admin, "127.0.0.1:0", "IP:PORT for status and metrics");
DEFINE_string(advertise_frames, "",
              "request frames' IP:PORT told to others, if not the bound one");
DEFINE_string(advertise_control, "",
              "control IP:PORT told to others, if not the bound one");
DEFINE_string(log, "", "IP:PORT of the platform's log service");
DEFINE_string(instances, "", "IP:PORT of the platform's instance list");
DEFINE_string(weights, "", "IP:PORT of the platform's weight store");
DEFINE_string(scorer, "", "IP:PORT of the service that scores samples");
DEFINE_string(seeds, "", "control IP:PORT,IP:PORT of instances to begin with");
DEFINE_bool(rollout_round_robin, false,
            "for measurements: samples go to engines by turns");
DEFINE_string(upstreams, "",
              "servers behind this daemon: server=service@IP:PORT,...");

namespace wasabi {
namespace {

namespace asio = boost::asio;

constexpr std::size_t TimelineEvents = 65536;
/// Time between two looks whether the last request has ended.
constexpr Millis DrainPollInterval{10};
/// How long a leaving daemon goes on refusing at least.
constexpr Millis LeaveGrace{500};
/// Time between two refreshes of what load reports say.
constexpr Millis LoadPause{20};

/// The parts of one daemon, in the order they are built.
class DaemonProgram {
public:
  Result<ExitCode> run() {
    BOOST_LEAF_CHECK(start());
    Context.run();
    Events->record("process.stop", {});
    // The admin thread must not read what is being taken down.
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
                       FLAGS_instances,         FLAGS_seeds};
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
    Address told = Advertise.empty() ? Front->address() : Advertise;
    BOOST_LEAF_ASSIGN(
        Control,
        ControlPlane::create(
            makeControlPlaneSettings(Settings, Role::Daemon, told,
                                     Admin->address()),
            *Events, [this](Order What, DaemonProxy::OrderCallback Answer) {
              takeOrder(std::move(What), std::move(Answer));
            }));
    Proxy->attach(sourceOf(*Control), [this](std::vector<ServerStatus> Now) {
      Control->setServers(std::move(Now));
    });
    pushLoads();
    BOOST_LEAF_CHECK(startRollouts());
    showStatus();
    Signals = onStopSignal(Context, [this] { beginDrain(); });
    std::cout << "frames " << toText(Front->address()) << "\n"
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
    std::shared_ptr<DaemonProxy> proxy = Proxy;
    BOOST_LEAF_ASSIGN(Front, RequestServer::create(
                                 Context, limits,
                                 [proxy](RequestAttempt Attempt,
                                         std::shared_ptr<ResponseSink> Sink) {
                                   return proxy->handle(std::move(Attempt),
                                                        std::move(Sink));
                                 }));
    Front->setLoadSource([proxy] { return proxy->loads(); });
    return Done{};
  }

  Result<Done> startRollouts() {
    BOOST_LEAF_AUTO(Weights, parseOptionalAddress(FLAGS_weights, "--weights"));
    BOOST_LEAF_AUTO(Scorer, parseOptionalAddress(FLAGS_scorer, "--scorer"));
    // Without the platform's services this daemon owns no trainer.
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

  /// Comes on the control thread: orders are carried out on the serving one.
  void takeOrder(Order What, DaemonProxy::OrderCallback Answer) {
    asio::post(Context, [this, What = std::move(What),
                         Answer = std::move(Answer)]() mutable {
      Proxy->order(std::move(What), std::move(Answer));
    });
  }

  void pushLoads() {
    std::vector<ReportedLoad> now = Proxy->loads();
    Front->setLoads(now, Leaving);
    Shown.set(std::move(now));
    Loads.expires_after(LoadPause);
    Loads.async_wait([this](boost::system::error_code ec) {
      if (!ec)
        pushLoads();
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

  void showStatus() {
    AdminSources sources;
    sources.Ready = [this] { return ready(); };
    sources.Metrics = [this] { return Counts.render(); };
    sources.BriefStatus = [this] { return statusJson(status()); };
    sources.Status = [this] {
      std::string rollouts =
          Rollouts ? "{\"rollouts\":" + Rollouts->statusJson() + "}" : "{}";
      return std::vector<std::string>{Control->statusJson(), rollouts,
                                      encodeServerLoads(*Shown.get()),
                                      statusJson(status())};
    };
    Admin->setSources(std::move(sources));
  }

  /// The others are told first, over frames and control alike; new work is
  /// refused as not run, and what runs goes on to its end.
  void beginDrain() {
    Leaving = true;
    LeftAt = monotonicNow();
    Events->record("process.leaving", {});
    Proxy->leave();
    Front->setLoads(Proxy->loads(), true);
    // Owned steps and rollouts are handed over before the claims go.
    if (Rollouts)
      Rollouts->shutDown([this] { tellLeaving(); });
    else
      tellLeaving();
  }

  /// Comes on any thread.
  void tellLeaving() {
    Control->leave([this] {
      asio::post(Context, [this] {
        Told = true;
        endWhenIdle();
      });
    });
  }

  void endWhenIdle() {
    // Requests that were sent before their sender heard of the leaving must
    // still find somebody who refuses them.
    bool heard = monotonicNow() - LeftAt >= LeaveGrace;
    bool idle =
        Told && heard && Proxy->inFlight() == 0 && Front->unsentBytes() == 0;
    if (idle && !HandedOver) {
      // What ran under a key must not run again when this process is gone.
      Proxy->handOver([this] {
        HandedOver = true;
        endWhenIdle();
      });
      return;
    }
    if (idle) {
      Loads.cancel();
      Front->stop();
      Proxy->stop();
      Signals.reset();
      Context.stop();
      return;
    }
    Drain.expires_after(DrainPollInterval);
    Drain.async_wait([this](boost::system::error_code) { endWhenIdle(); });
  }

  asio::io_context Context{1};
  ProcessSettings Settings;
  Metrics Counts;
  std::unique_ptr<Timeline> Events;
  std::unique_ptr<AdminServer> Admin;
  std::shared_ptr<DaemonProxy> Proxy;
  std::shared_ptr<RequestServer> Front;
  std::unique_ptr<ControlPlane> Control;
  std::unique_ptr<RolloutService> Rollouts;
  std::shared_ptr<void> Signals;
  BootTimer Loads{Context};
  BootTimer Drain{Context};
  std::atomic<bool> Leaving{false};
  TimePoint LeftAt;
  /// The loads as the admin thread shows them.
  Published<std::vector<ReportedLoad>> Shown;
  bool Told = false;
  bool HandedOver = false;
};

} // namespace
} // namespace wasabi

int main(int Count, char **Values) {
  wasabi::ProgramDescription about{
      "wasabi-daemon", "",
      "Stands in front of upstream servers on their instance: the only road "
      "to them.\nPrints its addresses on stdout once it serves."};
  wasabi::ProgramStart start = wasabi::startProgram(about, Count, Values);
  if (start.Exit)
    return static_cast<int>(*start.Exit);
  return wasabi::runProgram(about, [] {
    wasabi::DaemonProgram program;
    return program.run();
  });
}
