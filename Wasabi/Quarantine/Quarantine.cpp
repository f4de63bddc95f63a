#include "Wasabi/Quarantine/Quarantine.h"

#include "Wasabi/Config/JsonReader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <utility>

namespace wasabi {

namespace asio = boost::asio;
namespace json = boost::json;

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

} // namespace

std::string encodeCrashes(const std::set<ServerIncarnation> &Crashes) {
  json::array crashes;
  for (const ServerIncarnation &it : Crashes)
    crashes.push_back({{"server", it.Server.Text}, {"start", it.Start}});
  return json::serialize(json::object{{"ends", std::move(crashes)}});
}

Result<std::set<ServerIncarnation>> decodeCrashes(std::string_view Text,
                                                  const std::string &Place) {
  BOOST_LEAF_AUTO(value, parseJson(Text, Place));
  JsonReader root(value, Place);
  root.allowUnknown();
  std::set<ServerIncarnation> crashes;
  for (JsonReader &it : root.objects("ends", true)) {
    it.allowUnknown();
    crashes.insert({ServerName(it.text("server")), it.number("start")});
    root.mergeError(it);
  }
  BOOST_LEAF_CHECK(root.finish());
  return crashes;
}

Quarantine::Quarantine(const FeedContext &Feed, EnginePort Engines,
                       Metrics &Counts, Settings Limits)
    : Limits(Limits), Feed(Feed), Engines(std::move(Engines)), Counts(Counts),
      History{Limits.History, {}}, WriteWake(Feed.Executor) {}

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
  // A server that refuses connections has crashed. One that accepts them lost
  // only this connection, or has already restarted.
  Outcome<ServerProbeResult> found =
      co_await Engines.Probe(Server->Entry, Limits.ServerProbeTimeout);
  bool refused = found && *found == ServerProbeResult::RefusesConnections;
  if (refused && !Request->Answered)
    recordCrash(*Request, Server->Entry.incarnation());
  else if (!refused)
    asio::co_spawn(
        Feed.Executor,
        [self, Request, Server] {
          return self->watchRegistration(Request, Server);
        },
        asio::detached);
  co_return Done{};
}

asio::awaitable<void>
Quarantine::watchRegistration(std::shared_ptr<GuardedRequest> Request,
                              std::shared_ptr<UpstreamServer> Server) {
  TimePoint until = monotonicNow() + Limits.CrashWatchTimeout;
  while (monotonicNow() < until && !Request->Answered) {
    if (Server->Replaced || Server->UnregisteredAt) {
      recordCrash(*Request, Server->Entry.incarnation());
      co_return;
    }
    co_await pauseFor(Feed.Executor, Limits.CrashWatchInterval);
  }
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
                             const ServerIncarnation &Crashed) {
  OwnCrashes[Request.Digest].insert(Crashed);
  recordCrashes(History, Request.Digest, {Crashed}, monotonicNow());
  Feed.Decisions->line(
      "request.server_ended",
      {{"request", Request.Id},
       {"digest", Request.Digest.Text},
       {"server", Crashed.Server.Text},
       {"start", std::to_string(Crashed.Start)},
       {"ends",
        std::to_string(History.Requests[Request.Digest].Crashes.size())},
       {"standing", std::string(toText(crashStatus(Request.Digest)))}});
  Counts.counter("server_ends_total", "Ends of servers under a request").add();
  logStatusChanges();
  Unwritten.insert(Request.Digest);
  WriteWake.notify();
}

void Quarantine::answered(GuardedRequest &Request) {
  Request.Answered = true;
  OwnCrashes.erase(Request.Digest);
  if (!clearCrashes(History, Request.Digest))
    return;
  logStatusChanges();
  Unwritten.insert(Request.Digest);
  WriteWake.notify();
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

//===--- Running suspects -------------------------------------------------===//

std::set<ServerIncarnation> Quarantine::suspectServers() const {
  std::set<ServerIncarnation> found;
  for (const auto &[server, count] : SuspectRuns)
    found.insert(server);
  return found;
}

Quarantine::SuspectRun::SuspectRun(std::shared_ptr<Quarantine> Owner,
                                   ServerIncarnation Server)
    : Owner(std::move(Owner)), Server(std::move(Server)) {
  ++this->Owner->SuspectRuns[this->Server];
}

Quarantine::SuspectRun::~SuspectRun() {
  auto it = Owner->SuspectRuns.find(Server);
  if (--it->second == 0)
    Owner->SuspectRuns.erase(it);
}

std::unique_ptr<Quarantine::SuspectRun>
Quarantine::trackSuspectRun(const RequestDigest &Digest,
                            const ServerIncarnation &Server) {
  if (crashStatus(Digest) == CrashStatus::Clean)
    return nullptr;
  return std::make_unique<SuspectRun>(shared_from_this(), Server);
}

//===--- The topic --------------------------------------------------------===//

/// Marks the servers as lost, so that runs which begin from now on are not
/// charged with their crashes.
void Quarantine::noteReportedCrashes(
    const std::set<ServerIncarnation> &Crashes) {
  for (const ServerIncarnation &it : Crashes) {
    auto found = Feed.View.Servers.Servers.find(it.Server);
    if (found != Feed.View.Servers.Servers.end() &&
        found->second->Entry.incarnation() == it)
      noteConnectionLost(*found->second, monotonicNow());
  }
}

Result<void> Quarantine::applyRecord(const KeyedRecord &Record) {
  RequestDigest digest(Record.Key);
  if (!Record.Value) {
    OwnCrashes.erase(digest);
    clearCrashes(History, digest);
    logStatusChanges();
    return {};
  }
  BOOST_LEAF_AUTO(crashes, decodeCrashes(*Record.Value, Record.Key));
  noteReportedCrashes(crashes);
  recordCrashes(History, digest, crashes, monotonicNow());
  logStatusChanges();
  // Concurrent writers overwrite each other: write the record again if it lacks
  // crashes that this process detected.
  auto own = OwnCrashes.find(digest);
  if (own != OwnCrashes.end() &&
      !std::includes(crashes.begin(), crashes.end(), own->second.begin(),
                     own->second.end())) {
    Unwritten.insert(digest);
    WriteWake.notify();
  }
  return {};
}

/// Writes the records that the store lacks, one at a time. Retries while the
/// store is unreachable.
asio::awaitable<void> Quarantine::publishLoop() {
  constexpr Millis Idle{10000};
  for (;;) {
    if (Unwritten.empty()) {
      co_await WriteWake.wait(monotonicNow() + Idle);
      continue;
    }
    RequestDigest digest = *Unwritten.begin();
    Unwritten.erase(Unwritten.begin());
    auto known = History.Requests.find(digest);
    // An empty value deletes the key.
    std::string text = known == History.Requests.end()
                           ? std::string()
                           : encodeCrashes(known->second.Crashes);
    std::vector<KeyedValue> values{{digest.Text, std::move(text)}};
    Outcome<Offset> got = co_await Feed.Store.AppendKeyed(
        CrashTopic, std::move(values), Limits.AppendTimeout);
    if (got) {
      Follower->recordWritten(digest.Text, *got);
      continue;
    }
    Feed.Decisions->line(
        "request.ends_unwritten",
        {{"digest", digest.Text}, {"reason", describe(got.failure())}});
    Unwritten.insert(digest);
    co_await pauseFor(Feed.Executor, Limits.RetryDelay);
  }
}

asio::awaitable<void> Quarantine::sweepLoop() {
  for (;;) {
    co_await pauseFor(Feed.Executor, Limits.SweepInterval);
    for (const RequestDigest &it : evictOld(History, monotonicNow())) {
      OwnCrashes.erase(it);
      Unwritten.insert(it);
    }
    WriteWake.notify();
  }
}

} // namespace wasabi
