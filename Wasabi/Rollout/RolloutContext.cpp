#include "Wasabi/Rollout/RolloutContext.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wasabi {

namespace {

ReportedEngine engineFrom(const Member &Who, const ServerStatus &Server) {
  ReportedEngine seen;
  seen.Name = Server.Name;
  seen.Service = Server.Service;
  seen.Daemon = Who.Instance;
  seen.Domain = Who.Domain;
  seen.Where = Who.Requests;
  seen.Version = Server.Version;
  seen.Slots = Server.Slots;
  seen.Serving = Server.Serving;
  return seen;
}

/// A load report is younger than the view.
void correct(ReportedEngine &Seen, const ReportedLoad &Load) {
  Seen.Running = Load.Running;
  Seen.Queued = Load.Queued;
  Seen.Serving = Seen.Serving && Load.Serving;
  if (Load.Version != 0)
    Seen.Version = Load.Version;
}

} // namespace

std::vector<ReportedEngine> findServiceEngines(RolloutContext &Of,
                                               const ServiceName &Service) {
  std::vector<ReportedEngine> all;
  const TimePoint now = monotonicNow();
  std::shared_ptr<const View> view = Of.Control.view();
  for (const auto &it : view->Members) {
    const Member &who = it.second;
    if (who.Kind != Role::Daemon || !takesWork(who) || who.Requests.empty())
      continue;
    for (const ServerStatus &server : who.Servers) {
      if (server.Service != Service)
        continue;
      ReportedEngine seen = engineFrom(who, server);
      seen.Report = Of.Loads.count(seen.Name);
      const ReportedLoad *load = Of.Loads.find(seen.Name, now);
      if (load != nullptr)
        correct(seen, *load);
      else
        Of.Requests->connectAhead(who.Requests);
      all.push_back(std::move(seen));
    }
  }
  return all;
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

boost::asio::awaitable<void> pause(Millis HowLong) {
  BootTimer timer(co_await boost::asio::this_coro::executor, HowLong);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace wasabi
