/// \file
/// Outages of servers: their detection, and requests that wait for a server.
#include "Wasabi/Core/AsyncSignal.h"
#include "Wasabi/Upstream/ForwardProgress.h"

#include <algorithm>

namespace wasabi {

namespace asio = boost::asio;

/// Records an attempt that ended without a response. A connection that was lost
/// once may have been cut; if that of a later request is lost, too, the server
/// doesn't respond.
void Forwarder::recordNoResponse(const Progress &State, UpstreamServer &Server,
                                 const Failure &Error, TimePoint Began) {
  TimePoint now = monotonicNow();
  bool lostAgain = Error.Code == FailureCode::ConnectionLost &&
                   Server.LostSince && Began > *Server.LostSince;
  // A connect may also fail because the request has no time left.
  bool refused = Error.Code == FailureCode::Unreachable && now < State.Deadline;
  if ((!lostAgain && !refused) || !noteOutage(View.Servers, Server, now))
    return;
  Decisions->line("server.unresponsive",
                  {{"service", Server.Entry.Service.Text},
                   {"server", Server.Entry.Id.Text},
                   {"start", std::to_string(Server.Entry.Start)},
                   {"request", State.Request.Id},
                   {"reason", describe(Error)}});
  Counts
      .counter("server_outages_total",
               "Times that a server stopped responding to this process")
      .add();
}

/// Returns the earliest time at which a server may be tried, in the past if one
/// may be now. Empty if there is no usable server, or if none has responded for
/// `MaxOutageWait`.
std::optional<TimePoint> Forwarder::findNextRetry(const Progress &State,
                                                  TimePoint Now) const {
  std::optional<TimePoint> next;
  for (const std::shared_ptr<UpstreamServer> &it :
       findUsableServers(View.Servers, State.Service, View.Contact, Now)) {
    if (it->Outage && Now - it->Outage->Since > Limits.MaxOutageWait)
      continue;
    TimePoint at = nextAttemptTime(View.Servers, *it, State.isRepeatable());
    next = std::min(next.value_or(at), at);
  }
  return next;
}

/// Waits until a server may be tried, if none may be now since none responds.
/// Returns true if there is one, and false if the request should not wait, or
/// not longer. Returns an empty optional if `Stop` is emitted.
asio::awaitable<std::optional<bool>>
Forwarder::awaitServer(Progress &State, asio::cancellation_signal &Stop) {
  TimePoint began = monotonicNow();
  TimePoint until = makeAdmissionRequest(State, 0).Deadline;
  std::optional<TimePoint> next = findNextRetry(State, began);
  // Otherwise, the request has tried the servers that respond.
  if (!next || *next <= began)
    co_return false;
  TimePoint now = began;
  while (next && *next > now) {
    TimePoint wake = std::min(*next, now + Limits.OutagePollInterval);
    if (wake >= until)
      break;
    std::optional<Done> paused = co_await cancellable(
        Executor, pause(std::chrono::ceil<Millis>(wake - now)), Stop);
    if (!paused)
      co_return std::nullopt;
    now = monotonicNow();
    next = findNextRetry(State, now);
  }
  bool found = next && *next <= now;
  State.TriedServers.clear();
  Millis waited = std::chrono::duration_cast<Millis>(now - began);
  Decisions->line("request.awaited_server",
                  {{"request", State.Request.Id},
                   {"service", State.Service.Text},
                   {"result", found ? "found" : "none"},
                   {"waited_ms", std::to_string(waited.count())}});
  Counts
      .counter("server_waits_total",
               "Waits of requests for a server that responds, by result",
               {{"result", found ? "found" : "none"}})
      .add();
  co_return found;
}

} // namespace wasabi
