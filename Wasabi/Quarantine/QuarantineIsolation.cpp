#include "Wasabi/Quarantine/Quarantine.h"

#include <algorithm>
#include <utility>

namespace wasabi {

namespace asio = boost::asio;

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
  return crashStatus(Digest) != CrashStatus::Quarantined &&
         findSuspectedCrashes(Digest).size() >= Limits.IsolationThreshold;
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
  std::map<ServerIncarnation, bool> unresolved = findUnresolved(Digest);
  bool anyIsolated = std::any_of(unresolved.begin(), unresolved.end(),
                                 [](const auto &It) { return It.second; });
  bool atLimit = !unresolved.empty() && findSuspectedCrashes(Digest).size() >=
                                            Limits.History.SharedCrashLimit;
  if (!anyIsolated && !atLimit)
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
    if (!needsIsolation(Request->Digest))
      co_return nullptr;
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
    // Records that were read before the claim may show another isolated run,
    // which ended meanwhile.
    if (std::optional<Failure> refused = findIsolationRefusal(Request->Digest))
      co_return std::move(*refused);
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

} // namespace wasabi
