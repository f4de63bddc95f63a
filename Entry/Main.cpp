/// \file
/// `wasabi-entry`: takes callers' HTTP behind the platform's balancer, and has
/// each request answered by the daemon in front of an upstream.
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
DEFINE_string(failure_domain, "", "failure domain that it stands in");
DEFINE_string(listen, "127.0.0.1:0", "IP:PORT for callers' HTTP");
DEFINE_string(control, "127.0.0.1:0", "IP:PORT for control frames");
DEFINE_string(admin, "127.0.0.1:0", "IP:PORT for status and metrics");
DEFINE_string(advertise_control, "",
              "control IP:PORT told to others, if not the bound one");
DEFINE_string(log, "", "IP:PORT of the platform's log service");
DEFINE_string(instances, "", "IP:PORT of the platform's instance list");
DEFINE_string(seeds, "", "control IP:PORT,IP:PORT of instances to begin with");
DEFINE_uint32(drain_grace_ms, 2000,
              "how long callers still come after readiness went off");

namespace wasabi {
namespace {

namespace asio = boost::asio;

constexpr std::size_t TimelineEvents = 65536;
/// How long connections without a request may stay open at the end.
constexpr Millis CloseGrace{2000};
/// Time between two looks whether the last request has ended.
constexpr Millis DrainPollInterval{10};
/// Longest that a fresh entry waits to know a server of each service.
constexpr Millis WarmUpLimit{5000};

/// The parts of one entry, in the order they are built.
class EntryProgram {
public:
  Result<ExitCode> run() {
    BOOST_LEAF_CHECK(start());
    Context.run();
    Events->record("process.stop", {});
    // The admin thread must not read what is being taken down.
    Admin.reset();
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
    BOOST_LEAF_CHECK(startFront(Listen));
    showStatus();
    Signals = onStopSignal(Context, [this] { beginDrain(); });
    std::cout << "control " << toText(Control->address()) << "\n"
              << "admin " << toText(Admin->address()) << "\n"
              << "listening " << toText(Front->address()) << std::endl;
    return Done{};
  }

  static void
  refuseOrder(const Order &What,
              const std::function<void(Outcome<OrderAnswer>)> &Answer) {
    Answer(Failure{Verdict::NotRun,
                   FailureCode::BadInput,
                   What.Server.Text,
                   "an entry has no servers",
                   {}});
  }

  void startProxy() {
    EntryProxy::Settings setup;
    setup.Instance = Settings.Instance;
    setup.Domain = Settings.Domain;
    setup.Life = Settings.Life;
    setup.Seed = Settings.Seed;
    Proxy =
        EntryProxy::create(Context, setup, sourceOf(*Control), *Events, Counts);
  }

  Result<Done> startFront(Address Listen) {
    http::Server::Settings limits;
    limits.Listen = std::move(Listen);
    std::shared_ptr<EntryProxy> proxy = Proxy;
    BOOST_LEAF_ASSIGN(
        Front,
        http::Server::create(
            Context, limits,
            [proxy](http::Request Ask, std::shared_ptr<http::Responder> Out) {
              return proxy->handle(std::move(Ask), std::move(Out));
            }));
    return Done{};
  }

  /// Callers come once the servers are known, and until it leaves. A service
  /// that is gone as a whole must not keep a fresh entry out for ever.
  bool ready() {
    if (!Control->ready() || Leaving)
      return false;
    if (!WarmedUp)
      WarmedUp =
          hasAllCandidates(*Control->state()->Config, *Control->view()) ||
          monotonicNow() > Started + WarmUpLimit;
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

  void showStatus() {
    AdminSources sources;
    sources.Ready = [this] { return ready(); };
    sources.Metrics = [this] { return Counts.render(); };
    sources.BriefStatus = [this] { return statusJson(status()); };
    sources.Status = [this] {
      return std::vector<std::string>{Control->statusJson(),
                                      statusJson(status())};
    };
    Admin->setSources(std::move(sources));
  }

  /// Readiness goes first; the balancer is given its time, then the listener
  /// closes, and what is in flight goes on to its end.
  void beginDrain() {
    Leaving = true;
    Events->record("process.leaving", {});
    Control->leave([] {});
    Grace.expires_after(Millis(FLAGS_drain_grace_ms));
    Grace.async_wait([this](boost::system::error_code) {
      Front->drain();
      CloseBy = monotonicNow() + CloseGrace;
      endWhenIdle();
    });
  }

  void endWhenIdle() {
    bool idle = Proxy->inFlight() == 0 && Front->inFlight() == 0;
    // Idle connections close by themselves; a request that is on its way on one
    // is still answered.
    bool closed = Front->connections() == 0 || monotonicNow() >= CloseBy;
    if (idle && closed) {
      Front->stop();
      Proxy->stop();
      Signals.reset();
      Context.stop();
      return;
    }
    Grace.expires_after(DrainPollInterval);
    Grace.async_wait([this](boost::system::error_code) { endWhenIdle(); });
  }

  asio::io_context Context{1};
  ProcessSettings Settings;
  Metrics Counts;
  std::unique_ptr<Timeline> Events;
  std::unique_ptr<AdminServer> Admin;
  std::unique_ptr<ControlPlane> Control;
  std::shared_ptr<EntryProxy> Proxy;
  std::shared_ptr<http::Server> Front;
  std::shared_ptr<void> Signals;
  BootTimer Grace{Context};
  std::atomic<bool> Leaving{false};
  TimePoint CloseBy;
  /// Set once the servers were known; asked on several threads.
  std::atomic<bool> WarmedUp{false};
  const TimePoint Started = monotonicNow();
};

} // namespace
} // namespace wasabi

int main(int Count, char **Values) {
  wasabi::ProgramDescription about{
      "wasabi-entry", "",
      "Takes callers' HTTP and has each request answered by the daemon in "
      "front of\nan upstream; prints its addresses on stdout once it serves."};
  wasabi::ProgramStart start = wasabi::startProgram(about, Count, Values);
  if (start.Exit)
    return static_cast<int>(*start.Exit);
  return wasabi::runProgram(about, [] {
    wasabi::EntryProgram program;
    return program.run();
  });
}
