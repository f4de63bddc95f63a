#include "Wasabi/Rollout/RolloutContext.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wasabi {

namespace {

ReportedEngine makeReportedEngine(const Member &Daemon,
                                  const ServerStatus &Server) {
  ReportedEngine engine;
  engine.Name = Server.Name;
  engine.Service = Server.Service;
  engine.Daemon = Daemon.Instance;
  engine.Domain = Daemon.Domain;
  engine.Where = Daemon.Requests;
  engine.Version = Server.Version;
  engine.Slots = Server.Slots;
  engine.Serving = Server.Serving;
  return engine;
}

/// Load reports are newer than the view.
void applyLoad(ReportedEngine &Engine, const ReportedLoad &Load) {
  Engine.Running = Load.Running;
  Engine.Queued = Load.Queued;
  Engine.Serving = Engine.Serving && Load.Serving;
  if (Load.Version != 0)
    Engine.Version = Load.Version;
}

} // namespace

std::vector<ReportedEngine> findServiceEngines(RolloutContext &Context,
                                               const ServiceName &Service) {
  std::vector<ReportedEngine> engines;
  const TimePoint now = monotonicNow();
  std::shared_ptr<const View> view = Context.Control.view();
  for (const auto &it : view->Members) {
    const Member &daemon = it.second;
    if (daemon.Kind != Role::Daemon || !takesWork(daemon) ||
        daemon.Requests.empty())
      continue;
    for (const ServerStatus &server : daemon.Servers) {
      if (server.Service != Service)
        continue;
      ReportedEngine engine = makeReportedEngine(daemon, server);
      engine.Report = Context.Loads.count(engine.Name);
      const ReportedLoad *load = Context.Loads.find(engine.Name, now);
      if (load != nullptr)
        applyLoad(engine, *load);
      else
        Context.Requests->connectAhead(daemon.Requests);
      engines.push_back(std::move(engine));
    }
  }
  return engines;
}

void GuardedExecutor::post(std::function<void()> Work) {
  std::lock_guard<std::mutex> lock(Guard);
  if (Open)
    boost::asio::post(Executor, std::move(Work));
}

void GuardedExecutor::close() {
  std::lock_guard<std::mutex> lock(Guard);
  Open = false;
}

boost::asio::awaitable<void> pause(Millis Duration) {
  BootTimer timer(co_await boost::asio::this_coro::executor, Duration);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace wasabi
