#include "Wasabi/Quarantine/Quarantine.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <random>
#include <utility>
#include <vector>

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
      Losses{Limits.Losses, drawHolder(), {}}, LossesRead(Feed.Executor),
      Claims{Limits.Claims, Losses.Self, {}, {}}, ClaimsChanged(Feed.Executor) {
}

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
  asio::co_spawn(
      Feed.Executor,
      [self = shared_from_this()] { return self->takeoverLoop(); },
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

//===--- Lost connections -------------------------------------------------===//

/// The examination of a server that lost the connection of a run.
struct Quarantine::Examination {
  explicit Examination(const asio::any_io_executor &Executor)
      : ProbeEnded(Executor) {}
  std::shared_ptr<GuardedRequest> Request;
  std::shared_ptr<UpstreamServer> Server;
  ServerIncarnation Lost;
  bool Isolated = false;
  TimePoint Since;
  bool IsProbed = false;
  AsyncSignal ProbeEnded;
};

asio::awaitable<Done>
Quarantine::onConnectionLost(std::shared_ptr<GuardedRequest> Request,
                             std::shared_ptr<UpstreamServer> Server,
                             TimePoint Began) {
  if (Server->LostSince && Began > *Server->LostSince) {
    recordLateLoss(*Request, *Server, Began);
    co_return Done{};
  }
  std::shared_ptr<Examination> examined =
      std::make_shared<Examination>(Feed.Executor);
  examined->Since = monotonicNow();
  noteConnectionLost(*Server, examined->Since);
  examined->Lost = Server->Entry.incarnation();
  examined->Isolated = isIsolatedRun(Request->Digest, examined->Lost);
  examined->Request = std::move(Request);
  examined->Server = std::move(Server);
  recordLoss(*examined);
  // Goes on if the caller disconnects during the probe.
  asio::co_spawn(
      Feed.Executor,
      [self = shared_from_this(), examined] {
        return self->examineServer(examined);
      },
      asio::detached);
  while (!examined->IsProbed)
    co_await examined->ProbeEnded.wait();
  co_return Done{};
}

/// Finds out whether a server has crashed. A server that refuses connections
/// has. One that accepts them lost only this connection, has already restarted,
/// or closes its listening socket last.
asio::awaitable<void>
Quarantine::examineServer(std::shared_ptr<Examination> Examined) {
  Outcome<ServerProbeResult> found = co_await Engines.Probe(
      Examined->Server->Entry, Limits.ServerProbeTimeout);
  Feed.Decisions->line("server.probed",
                       {{"request", Examined->Request->Id},
                        {"server", Examined->Lost.Server.Text},
                        {"start", std::to_string(Examined->Lost.Start)},
                        {"result", std::string(toText(found))}});
  bool refused = found && *found == ServerProbeResult::RefusesConnections;
  if (Examined->Request->Answered)
    withdrawLoss(*Examined, "answered");
  else if (refused)
    recordCrash(*Examined->Request, Examined->Lost, Examined->Isolated);
  Examined->IsProbed = true;
  Examined->ProbeEnded.notify();
  if (!refused)
    co_await watchRegistration(Examined);
}

asio::awaitable<void>
Quarantine::watchRegistration(std::shared_ptr<Examination> Examined) {
  const UpstreamServer &server = *Examined->Server;
  TimePoint until = Examined->Since + Limits.CrashWatchTimeout;
  while (monotonicNow() < until && !Examined->Request->Answered &&
         !hasResponded(server, Examined->Since)) {
    if (server.Replaced || server.UnregisteredAt) {
      recordCrash(*Examined->Request, Examined->Lost, Examined->Isolated);
      co_return;
    }
    co_await pauseFor(Feed.Executor, Limits.CrashWatchInterval);
  }
  std::string_view reason = "registered";
  if (Examined->Request->Answered)
    reason = "answered";
  else if (hasResponded(server, Examined->Since))
    reason = "server_responded";
  withdrawLoss(*Examined, reason);
}

void Quarantine::recordLoss(const Examination &Examined) {
  const RequestDigest &digest = Examined.Request->Digest;
  addLoss(Losses, digest, Examined.Lost, Examined.Isolated, Examined.Since);
  // Creates the record.
  recordCrashes(History, digest, {}, Examined.Since);
  Feed.Decisions->line(
      "request.loss",
      {{"request", Examined.Request->Id},
       {"digest", digest.Text},
       {"server", Examined.Lost.Server.Text},
       {"start", std::to_string(Examined.Lost.Start)},
       {"isolated", Examined.Isolated ? "yes" : "no"},
       {"suspected", std::to_string(findSuspectedCrashes(digest).size())}});
  Counts
      .counter("server_losses_total",
               "Lost connections that may be crashes of their server")
      .add();
  publish(digest);
}

/// Removes a loss of a server that has not crashed, or that the request can't
/// have crashed.
void Quarantine::withdrawLoss(const Examination &Examined,
                              std::string_view Reason) {
  const RequestDigest &digest = Examined.Request->Digest;
  if (!removeLoss(Losses, digest, Examined.Lost))
    return;
  Millis after =
      std::chrono::duration_cast<Millis>(monotonicNow() - Examined.Since);
  Feed.Decisions->line("request.loss_withdrawn",
                       {{"request", Examined.Request->Id},
                        {"digest", digest.Text},
                        {"server", Examined.Lost.Server.Text},
                        {"start", std::to_string(Examined.Lost.Start)},
                        {"reason", std::string(Reason)},
                        {"after_ms", std::to_string(after.count())}});
  Counts
      .counter("server_losses_withdrawn_total",
               "Lost connections whose server has not crashed, by reason",
               {{"reason", std::string(Reason)}})
      .add();
  publish(digest);
  ClaimsChanged.notify();
}

//===--- Unresolved losses ------------------------------------------------===//

/// Returns true if a loss is known to be a crash, or to be none.
bool Quarantine::isResolved(const RequestDigest &Digest, const ServerLoss &Loss,
                            TimePoint Since) const {
  auto record = History.Requests.find(Digest);
  if (record != History.Requests.end() &&
      record->second.Crashes.contains(Loss.Server))
    return true;
  auto it = Feed.View.Servers.Servers.find(Loss.Server.Server);
  return it != Feed.View.Servers.Servers.end() &&
         it->second->Entry.incarnation() == Loss.Server &&
         hasResponded(*it->second, Since);
}

/// Returns the servers that may have crashed under a request, and whether one
/// of their runs was isolated.
std::map<ServerIncarnation, bool>
Quarantine::findUnresolved(const RequestDigest &Digest) const {
  std::map<ServerIncarnation, bool> found;
  for (const auto &[loss, since] : findLosses(Losses, Digest, monotonicNow())) {
    if (!isResolved(Digest, loss, since))
      found[loss.Server] |= loss.Isolated;
  }
  return found;
}

bool Quarantine::hasUnresolvedLosses(const RequestDigest &Digest) const {
  return !findUnresolved(Digest).empty();
}

std::set<ServerIncarnation>
Quarantine::findSuspectedCrashes(const RequestDigest &Digest) const {
  std::set<ServerIncarnation> found;
  auto record = History.Requests.find(Digest);
  if (record != History.Requests.end())
    found = record->second.Crashes;
  for (const auto &[server, isolated] : findUnresolved(Digest))
    found.insert(server);
  return found;
}

/// Returns true if an incarnation of a server is no longer registered.
bool Quarantine::isGone(const ServerIncarnation &Server) const {
  auto it = Feed.View.Servers.Servers.find(Server.Server);
  return it == Feed.View.Servers.Servers.end() ||
         it->second->Entry.incarnation() != Server || it->second->Replaced ||
         it->second->UnregisteredAt;
}

/// Records the crashes of servers that are gone and whose losses another
/// process has not resolved.
void Quarantine::takeOverLosses() {
  TimePoint now = monotonicNow();
  evictExpiredLosses(Losses, now);
  std::vector<std::pair<RequestDigest, ServerLoss>> crashes;
  for (const auto &[digest, losses] : Losses.Requests) {
    for (const auto &[loss, since] : losses) {
      if (loss.Holder != Losses.Self &&
          now - since >= Limits.LossTakeoverDelay && isGone(loss.Server) &&
          !isResolved(digest, loss, since))
        crashes.emplace_back(digest, loss);
    }
  }
  for (const auto &[digest, loss] : crashes)
    recordCrash(GuardedRequest{digest, "", false}, loss.Server, loss.Isolated);
}

asio::awaitable<void> Quarantine::takeoverLoop() {
  for (;;) {
    if (Losses.Requests.empty())
      co_await LossesRead.wait();
    co_await pauseFor(Feed.Executor, Limits.CrashWatchInterval);
    takeOverLosses();
  }
}

//===--- Late losses, crashes and answers ---------------------------------===//

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
  removeLoss(Losses, Request.Digest, Crashed);
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
  Losses.Requests.erase(Request.Digest);
  OwnCrashes.erase(Request.Digest);
  auto record = History.Requests.find(Request.Digest);
  if (record == History.Requests.end())
    return;
  bool hadCrashes = !record->second.Crashes.empty();
  clearCrashes(History, Request.Digest);
  if (hadCrashes)
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
