#include "Wasabi/Quarantine/Quarantine.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <random>
#include <utility>

namespace wasabi {

namespace asio = boost::asio;

namespace {

/// Short, so that a process learns of a crash before the request is retried
/// there.
constexpr Millis FollowDelay{10};

std::string_view toText(CrashStatus Status) {
  switch (Status) {
  case CrashStatus::Clean:
    return "clean";
  case CrashStatus::Suspect:
    return "suspect";
  case CrashStatus::Quarantined:
    return "quarantined";
  }
  return "";
}

std::string_view toText(const Outcome<ServerProbeResult> &Probed) {
  if (!Probed)
    return "no answer";
  return *Probed == ServerProbeResult::RefusesConnections ? "refuses"
                                                          : "listens";
}

/// Returns a name for this process that no other one draws.
std::string drawHolder() {
  std::random_device source;
  std::uniform_int_distribution<std::uint64_t> draw;
  return fmt::format("{:016x}", draw(source));
}

} // namespace

Quarantine::Quarantine(const FeedContext &Feed, EnginePort Engines,
                       Metrics &Counts, Settings Limits)
    : Limits(Limits), Feed(Feed), Engines(std::move(Engines)), Counts(Counts),
      History{Limits.History, {}}, WriteWake(Feed.Executor),
      Claims{Limits.Claims, drawHolder(), {}, {}},
      ClaimsChanged(Feed.Executor) {}

std::shared_ptr<Quarantine> Quarantine::create(const FeedContext &Feed,
                                               EnginePort Engines,
                                               Metrics &Counts,
                                               Settings Limits) {
  return std::shared_ptr<Quarantine>(
      new Quarantine(Feed, std::move(Engines), Counts, Limits));
}

void Quarantine::start() {
  std::weak_ptr<Quarantine> weak = weak_from_this();
  Follower = startFeed(Feed, CrashTopic, FollowDelay,
                       [weak](const KeyedRecord &Record) -> Result<void> {
                         std::shared_ptr<Quarantine> self = weak.lock();
                         if (!self)
                           return {};
                         return self->applyRecord(Record);
                       });
  asio::co_spawn(
      Feed.Executor,
      [self = shared_from_this()] { return self->publishLoop(); },
      asio::detached);
  asio::co_spawn(
      Feed.Executor, [self = shared_from_this()] { return self->sweepLoop(); },
      asio::detached);
}

CrashStatus Quarantine::crashStatus(const RequestDigest &Digest) const {
  return findCrashStatus(History, Digest, monotonicNow());
}

Failure Quarantine::refuse(const RequestDigest &Digest) const {
  return Failure{Verdict::NotRun, FailureCode::Quarantined, Digest.Text,
                 "servers crashed while running this request",
                 remainingQuarantine(History, Digest, monotonicNow())};
}

//===--- Crashes and answers ----------------------------------------------===//

asio::awaitable<Done>
Quarantine::onConnectionLost(std::shared_ptr<GuardedRequest> Request,
                             std::shared_ptr<UpstreamServer> Server,
                             TimePoint Began) {
  std::shared_ptr<Quarantine> self = shared_from_this();
  if (Server->LostSince && Began > *Server->LostSince) {
    recordLateLoss(*Request, *Server, Began);
    co_return Done{};
  }
  noteConnectionLost(*Server, monotonicNow());
  ServerIncarnation lost = Server->Entry.incarnation();
  bool isolated = isIsolatedRun(Request->Digest, lost);
  // A server that refuses connections has crashed. One that accepts them lost
  // only this connection, or has already restarted.
  Outcome<ServerProbeResult> found =
      co_await Engines.Probe(Server->Entry, Limits.ServerProbeTimeout);
  Feed.Decisions->line("server.probed",
                       {{"request", Request->Id},
                        {"server", lost.Server.Text},
                        {"start", std::to_string(lost.Start)},
                        {"result", std::string(toText(found))}});
  bool refused = found && *found == ServerProbeResult::RefusesConnections;
  if (refused && !Request->Answered)
    recordCrash(*Request, lost, isolated);
  else if (!refused)
    asio::co_spawn(
        Feed.Executor,
        [self, Request, Server, isolated] {
          return self->watchRegistration(Request, Server, isolated);
        },
        asio::detached);
  co_return Done{};
}

asio::awaitable<void>
Quarantine::watchRegistration(std::shared_ptr<GuardedRequest> Request,
                              std::shared_ptr<UpstreamServer> Server,
                              bool Isolated) {
  ServerIncarnation server = Server->Entry.incarnation();
  UnresolvedLosses[Request->Digest][server] = Isolated;
  TimePoint until = monotonicNow() + Limits.CrashWatchTimeout;
  // A server that responds again has not crashed.
  while (monotonicNow() < until && !Request->Answered && Server->LostSince) {
    if (Server->Replaced || Server->UnregisteredAt) {
      recordCrash(*Request, server, Isolated);
      co_return;
    }
    co_await pauseFor(Feed.Executor, Limits.CrashWatchInterval);
  }
  forgetLoss(Request->Digest, server);
}

void Quarantine::forgetLoss(const RequestDigest &Digest,
                            const ServerIncarnation &Server) {
  auto it = UnresolvedLosses.find(Digest);
  if (it == UnresolvedLosses.end())
    return;
  it->second.erase(Server);
  if (it->second.empty())
    UnresolvedLosses.erase(it);
}

/// Records a lost connection of a run that began after its server was lost.
void Quarantine::recordLateLoss(const GuardedRequest &Request,
                                const UpstreamServer &Server,
                                TimePoint Began) const {
  Millis late = std::chrono::duration_cast<Millis>(Began - *Server.LostSince);
  Feed.Decisions->line("request.late_loss",
                       {{"request", Request.Id},
                        {"digest", Request.Digest.Text},
                        {"server", Server.Entry.Id.Text},
                        {"start", std::to_string(Server.Entry.Start)},
                        {"late_ms", std::to_string(late.count())}});
  Counts
      .counter("server_late_losses_total",
               "Lost connections of runs that began after their server was "
               "lost; not counted as crashes under the request")
      .add();
}

void Quarantine::recordCrash(const GuardedRequest &Request,
                             const ServerIncarnation &Crashed, bool Isolated) {
  forgetLoss(Request.Digest, Crashed);
  OwnCrashes[Request.Digest].insert(Crashed);
  std::set<ServerIncarnation> isolatedCrashes;
  if (Isolated)
    isolatedCrashes.insert(Crashed);
  recordCrashes(History, Request.Digest, {Crashed}, monotonicNow(),
                isolatedCrashes);
  Feed.Decisions->line(
      "request.server_ended",
      {{"request", Request.Id},
       {"digest", Request.Digest.Text},
       {"server", Crashed.Server.Text},
       {"start", std::to_string(Crashed.Start)},
       {"isolated", Isolated ? "yes" : "no"},
       {"ends",
        std::to_string(History.Requests[Request.Digest].Crashes.size())},
       {"standing", std::string(toText(crashStatus(Request.Digest)))}});
  Counts.counter("server_ends_total", "Ends of servers under a request").add();
  logStatusChanges();
  publish(Request.Digest);
}

void Quarantine::answered(GuardedRequest &Request) {
  Request.Answered = true;
  UnresolvedLosses.erase(Request.Digest);
  OwnCrashes.erase(Request.Digest);
  if (!clearCrashes(History, Request.Digest))
    return;
  logStatusChanges();
  publish(Request.Digest);
}

/// Logs each request whose status differs from the last logged one. A crash of
/// one request may change the status of others that share its crashes.
void Quarantine::logStatusChanges() {
  std::map<RequestDigest, CrashStatus> now;
  for (const auto &[digest, record] : History.Requests) {
    CrashStatus status = crashStatus(digest);
    if (status != CrashStatus::Clean)
      now.emplace(digest, status);
  }
  std::set<RequestDigest> digests;
  for (const auto &[digest, status] : LoggedStatuses)
    digests.insert(digest);
  for (const auto &[digest, status] : now)
    digests.insert(digest);
  auto statusIn = [](const std::map<RequestDigest, CrashStatus> &Statuses,
                     const RequestDigest &Digest) {
    auto it = Statuses.find(Digest);
    return it == Statuses.end() ? CrashStatus::Clean : it->second;
  };
  for (const RequestDigest &it : digests) {
    CrashStatus before = statusIn(LoggedStatuses, it);
    CrashStatus after = statusIn(now, it);
    if (before != after)
      Feed.Decisions->line("request.standing",
                           {{"digest", it.Text},
                            {"before", std::string(toText(before))},
                            {"now", std::string(toText(after))}});
  }
  LoggedStatuses = std::move(now);
}

} // namespace wasabi
