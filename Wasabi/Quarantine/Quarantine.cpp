#include "Wasabi/Quarantine/Quarantine.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <algorithm>
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

//===--- Running suspects -------------------------------------------------===//

std::set<ServerIncarnation> Quarantine::suspectServers() const {
  std::set<ServerIncarnation> found;
  for (const auto &[server, count] : SuspectRuns)
    found.insert(server);
  found.merge(claimedServers(Claims, monotonicNow()));
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

//===--- Isolated runs ----------------------------------------------------===//

Quarantine::IsolatedRun::IsolatedRun(std::shared_ptr<Quarantine> Owner,
                                     RequestDigest Digest,
                                     std::shared_ptr<UpstreamServer> Server)
    : Owner(std::move(Owner)), Digest(std::move(Digest)),
      Server(std::move(Server)) {
  this->Owner->Claims.Own[this->Digest] = {this->Server->Entry.incarnation(),
                                           std::nullopt};
  this->Owner->publish(this->Digest);
}

Quarantine::IsolatedRun::~IsolatedRun() {
  Owner->Claims.Own.erase(Digest);
  // The record of an answered request is deleted already.
  if (Owner->History.Requests.contains(Digest))
    Owner->publish(Digest);
  Owner->ClaimsChanged.notify();
}

bool Quarantine::needsIsolation(const RequestDigest &Digest) const {
  if (crashStatus(Digest) != CrashStatus::Suspect)
    return false;
  std::set<ServerIncarnation> lost = History.Requests.at(Digest).Crashes;
  auto unresolved = UnresolvedLosses.find(Digest);
  if (unresolved != UnresolvedLosses.end()) {
    for (const auto &[server, isolated] : unresolved->second)
      lost.insert(server);
  }
  return lost.size() >= Limits.IsolationThreshold;
}

bool Quarantine::isIsolatedRun(const RequestDigest &Digest,
                               const ServerIncarnation &Server) const {
  auto own = Claims.Own.find(Digest);
  return own != Claims.Own.end() && own->second.Server == Server &&
         claimStatus(Claims, Digest, monotonicNow()) == ClaimStatus::Held;
}

void Quarantine::recordIsolation(const GuardedRequest &Request,
                                 const UpstreamServer *Server,
                                 std::string_view Result,
                                 TimePoint Began) const {
  Millis waited = std::chrono::duration_cast<Millis>(monotonicNow() - Began);
  Feed.Decisions->line(
      "request.isolated",
      {{"request", Request.Id},
       {"digest", Request.Digest.Text},
       {"server", Server != nullptr ? Server->Entry.Id.Text : ""},
       {"result", std::string(Result)},
       {"waited_ms", std::to_string(waited.count())}});
  Counts
      .counter("isolated_runs_total",
               "Runs of suspects for which a server was claimed, by result",
               {{"result", std::string(Result)}})
      .add();
}

/// Returns the failure of a request that must not run now, even isolated.
std::optional<Failure>
Quarantine::findIsolationRefusal(const RequestDigest &Digest) const {
  if (crashStatus(Digest) == CrashStatus::Quarantined)
    return refuse(Digest);
  auto unresolved = UnresolvedLosses.find(Digest);
  if (unresolved == UnresolvedLosses.end() ||
      std::none_of(unresolved->second.begin(), unresolved->second.end(),
                   [](const auto &It) { return It.second; }))
    return std::nullopt;
  return Failure{Verdict::NotRun, FailureCode::Quarantined, Digest.Text,
                 "the last server that ran this request may have crashed",
                 Limits.UnresolvedRetryAfter};
}

/// Returns once the claim of a request is held or lost, or at `Until`.
asio::awaitable<ClaimStatus> Quarantine::awaitClaim(const RequestDigest &Digest,
                                                    TimePoint Until) {
  for (;;) {
    ClaimStatus status = claimStatus(Claims, Digest, monotonicNow());
    if (status != ClaimStatus::Pending || monotonicNow() >= Until)
      co_return status;
    co_await ClaimsChanged.wait(Until);
  }
}

asio::awaitable<Outcome<std::unique_ptr<Quarantine::IsolatedRun>>>
Quarantine::isolate(std::shared_ptr<GuardedRequest> Request, TimePoint Until,
                    SelectServer Select) {
  std::shared_ptr<Quarantine> self = shared_from_this();
  TimePoint began = monotonicNow();
  TimePoint until = std::min(Until, began + Limits.MaxIsolationWait);
  for (;;) {
    if (std::optional<Failure> refused = findIsolationRefusal(Request->Digest))
      co_return std::move(*refused);
    TimePoint now = monotonicNow();
    bool runsElsewhere = isRunClaimed(Claims, Request->Digest, now);
    std::shared_ptr<UpstreamServer> server;
    if (!runsElsewhere)
      server = Select();
    if (!server) {
      bool mayBecomeFree = runsElsewhere || !suspectServers().empty();
      if (!mayBecomeFree || now >= until)
        break;
      co_await ClaimsChanged.wait(
          std::min(until, now + Limits.IsolationPollInterval));
      continue;
    }
    std::unique_ptr<IsolatedRun> run =
        std::make_unique<IsolatedRun>(self, Request->Digest, server);
    ClaimStatus status = co_await awaitClaim(Request->Digest, until);
    if (status == ClaimStatus::Lost)
      continue;
    recordIsolation(*Request, server.get(),
                    status == ClaimStatus::Held ? "held" : "unwritten", began);
    co_return std::move(run);
  }
  recordIsolation(*Request, nullptr, "no_server", began);
  Failure failure{Verdict::NotRun, FailureCode::NoUpstream,
                  Request->Digest.Text,
                  "no server is free of other requests that may crash it",
                  Limits.IsolationRetryAfter};
  co_return failure;
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
    Claims.Others.erase(digest);
    clearCrashes(History, digest);
    logStatusChanges();
    ClaimsChanged.notify();
    return {};
  }
  BOOST_LEAF_AUTO(record, decodeCrashRecord(*Record.Value, Record.Key));
  TimePoint now = monotonicNow();
  noteReportedCrashes(record.Crashes);
  recordCrashes(History, digest, record.Crashes, now, record.IsolatedCrashes);
  logStatusChanges();
  // Concurrent writers overwrite each other.
  bool lacksClaim = applyClaim(Claims, digest, record.Claim, Record.At, now);
  ClaimsChanged.notify();
  if (lacksClaim || lacksOwnCrashes(digest, record))
    publish(digest);
  return {};
}

/// Returns true if a record lacks crashes that this process detected.
bool Quarantine::lacksOwnCrashes(const RequestDigest &Digest,
                                 const CrashTopicRecord &Record) const {
  auto own = OwnCrashes.find(Digest);
  return own != OwnCrashes.end() &&
         !std::includes(Record.Crashes.begin(), Record.Crashes.end(),
                        own->second.begin(), own->second.end());
}

/// Has the record of a request written again.
void Quarantine::publish(const RequestDigest &Digest) {
  Unwritten.insert(Digest);
  WriteWake.notify();
}

/// Returns the record of a request as this process knows it. An empty value
/// deletes the key.
KeyedValue Quarantine::makeRecord(const RequestDigest &Digest) const {
  auto known = History.Requests.find(Digest);
  if (known == History.Requests.end())
    return {Digest.Text, std::string()};
  CrashTopicRecord record;
  record.Crashes = known->second.Crashes;
  record.IsolatedCrashes = known->second.IsolatedCrashes;
  auto claim = Claims.Own.find(Digest);
  if (claim != Claims.Own.end())
    record.Claim = RunClaim{claim->second.Server, Claims.Self};
  return {Digest.Text, encodeCrashRecord(record)};
}

/// Writes the records that the store lacks, several in one append. Retries
/// while the store is unreachable.
asio::awaitable<void> Quarantine::publishLoop() {
  constexpr Millis Idle{10000};
  for (;;) {
    if (Unwritten.empty()) {
      co_await WriteWake.wait(monotonicNow() + Idle);
      continue;
    }
    std::vector<RequestDigest> digests;
    std::vector<KeyedValue> values;
    while (!Unwritten.empty() && values.size() < Limits.MaxRecordsPerAppend) {
      digests.push_back(*Unwritten.begin());
      values.push_back(makeRecord(digests.back()));
      Unwritten.erase(Unwritten.begin());
    }
    Outcome<Offset> got = co_await Feed.Store.AppendKeyed(
        CrashTopic, std::move(values), Limits.AppendTimeout);
    if (got) {
      Offset at = *got;
      for (const RequestDigest &it : digests)
        Follower->recordWritten(it.Text, at++);
      continue;
    }
    Feed.Decisions->line("request.ends_unwritten",
                         {{"digest", digests.front().Text},
                          {"records", std::to_string(digests.size())},
                          {"reason", describe(got.failure())}});
    Unwritten.insert(digests.begin(), digests.end());
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
