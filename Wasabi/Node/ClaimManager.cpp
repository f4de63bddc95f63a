#include "Wasabi/Node/ClaimManager.h"

#include "Wasabi/Membership/Rendezvous.h"
#include "Wasabi/State/Claims.h"

#include <utility>

namespace wasabi {

std::shared_ptr<ClaimManager>
ClaimManager::create(Settings Setup, std::shared_ptr<RecordAppender> Appender,
                     Timeline &Events) {
  return std::shared_ptr<ClaimManager>(
      new ClaimManager(std::move(Setup), std::move(Appender), Events));
}

ClaimManager::ClaimManager(Settings Setup,
                           std::shared_ptr<RecordAppender> Appender,
                           Timeline &Events)
    : Setup(std::move(Setup)), Appender(std::move(Appender)), Events(Events) {}

void ClaimManager::requestClaim(const std::string &Resource) {
  std::lock_guard<std::mutex> lock(Guard);
  Wanted.emplace(Resource, monotonicNow());
}

void ClaimManager::withdrawClaim(const std::string &Resource) {
  std::lock_guard<std::mutex> lock(Guard);
  Wanted.erase(Resource);
  Held.erase(Resource);
}

void ClaimManager::withdrawAllClaims() {
  std::lock_guard<std::mutex> lock(Guard);
  Wanted.clear();
  Held.clear();
}

std::optional<HeldClaim> ClaimManager::held(const std::string &Resource,
                                            TimePoint Now) const {
  std::lock_guard<std::mutex> lock(Guard);
  auto found = Held.find(Resource);
  if (found == Held.end() || Now >= found->second.Until)
    return std::nullopt;
  return found->second;
}

std::map<std::string, HeldClaim>
ClaimManager::activeClaims(TimePoint Now) const {
  std::lock_guard<std::mutex> lock(Guard);
  std::map<std::string, HeldClaim> found;
  for (const auto &[resource, claim] : Held) {
    if (Now < claim.Until)
      found.emplace(resource, claim);
  }
  return found;
}

std::optional<FencingToken>
ClaimManager::token(const FoldState &State, const std::string &Resource) const {
  auto found = State.Claims.find(Resource);
  if (found == State.Claims.end() || !isHeldHere(found->second))
    return std::nullopt;
  std::lock_guard<std::mutex> lock(Guard);
  if (!Wanted.contains(Resource))
    return std::nullopt;
  return found->second.Token;
}

bool ClaimManager::isHeldHere(const Claim &Entry) const {
  return !Entry.Released && Entry.Holder == Setup.Instance &&
         Entry.HolderIncarnation == Setup.Life;
}

bool ClaimManager::holdsAny(const FoldState &State) const {
  for (const auto &[resource, claim] : State.Claims) {
    if (isHeldHere(claim))
      return true;
  }
  return false;
}

// ---- Following the fold ----

void ClaimManager::onApplied(Offset At, const FoldState &State,
                             const ControlStateChange &Change, TimePoint Now) {
  if (Change.ChangedClaimResource.empty())
    return;
  auto found = State.Claims.find(Change.ChangedClaimResource);
  if (found == State.Claims.end())
    return;
  recordClaim(found->first, found->second, Now);
  if (!isHeldHere(found->second) || found->second.RenewalOffset != At)
    return;

  // The authority starts when the record was sent, not when its answer arrived.
  ClaimProgress &progress = Known[found->first];
  progress.SentAt = Appender->firstSent();
  HeldClaim claim{found->second.Token,
                  authorityEnd(progress.SentAt, found->second.Term)};
  bool acquired = found->second.Token == At + 1;
  Events.record(acquired ? "claim.taken" : "claim.renewed",
                {{"resource", found->first},
                 {"fence", std::to_string(claim.Token)},
                 {"offset", std::to_string(At)}});
  std::lock_guard<std::mutex> lock(Guard);
  if (Wanted.contains(found->first))
    Held[found->first] = claim;
}

void ClaimManager::onStateReplaced(const FoldState &State, TimePoint Now) {
  // The time of the last renewal is unknown, so a full term counts from now.
  for (const auto &[resource, claim] : State.Claims) {
    if (Known[resource].RenewalOffset != claim.RenewalOffset ||
        Known[resource].ReadAt == TimePoint())
      recordClaim(resource, claim, Now);
  }
}

void ClaimManager::recordClaim(const std::string &Resource, const Claim &Entry,
                               TimePoint Now) {
  ClaimProgress &progress = Known[Resource];
  progress.RenewalOffset = Entry.RenewalOffset;
  progress.ReadAt = Now;
  progress.Token = Entry.Token;
  if (!isHeldHere(Entry))
    dropHeldClaim(Resource);
}

void ClaimManager::dropHeldClaim(const std::string &Resource) {
  std::lock_guard<std::mutex> lock(Guard);
  auto found = Held.find(Resource);
  if (found == Held.end())
    return;
  Events.record("claim.lost", {{"resource", Resource},
                               {"fence", std::to_string(found->second.Token)}});
  Held.erase(found);
}

// ---- Decisions ----

void ClaimManager::decide(const FoldState &State, const View &ClusterView,
                          bool MayAcquire, TimePoint Now) {
  std::map<std::string, TimePoint> wanted;
  {
    std::lock_guard<std::mutex> lock(Guard);
    wanted = Wanted;
  }
  // Held claims that are no longer requested have to be released.
  std::map<std::string, TimePoint> resources = wanted;
  for (const auto &[resource, claim] : State.Claims) {
    if (isHeldHere(claim))
      resources.emplace(resource, Now);
  }

  for (const auto &[resource, since] : resources) {
    ClaimProgress &progress = Known[resource];
    ClaimDecisionInput input;
    auto found = State.Claims.find(resource);
    if (found != State.Claims.end())
      input.Current = found->second;
    input.IsHolder = input.Current && isHeldHere(*input.Current);
    input.Wanted = wanted.contains(resource);
    input.AppendInFlight = progress.AppendInFlight;
    input.ReadAt = progress.ReadAt;
    input.WantedAt = since;
    input.SentAt = progress.SentAt;
    input.MayAcquire = MayAcquire;
    // Computing the rank visits every member, so do so only if it is needed.
    const Claim *current = input.Current ? &*input.Current : nullptr;
    if (!input.IsHolder && MayAcquire &&
        canAcquireClaim(current, input.ReadAt, Now))
      input.Rank = rankOf(resource, ClusterView);
    appendAction(resource, decideClaim(input, Setup.Rules, Now), input.Current);
  }
}

void ClaimManager::appendAction(const std::string &Resource, ClaimAction Action,
                                const std::optional<Claim> &Current) {
  RecordBody body;
  switch (Action) {
  case ClaimAction::Wait:
    return;
  case ClaimAction::Acquire:
    body = makeClaimAcquire(Resource, Current ? &*Current : nullptr,
                            Setup.Rules.Term);
    break;
  case ClaimAction::Renew:
    body = ClaimRenew{Resource, Current->Token};
    break;
  case ClaimAction::Release:
    body = ClaimRelease{Resource, Current->Token};
    break;
  }
  Known[Resource].AppendInFlight = true;
  std::shared_ptr<ClaimManager> self = shared_from_this();
  FencingToken token = Current ? Current->Token : 0;
  Appender->append(
      std::move(body), true,
      [self, Resource, Action, token](const Outcome<AppendedRecord> &Done) {
        self->Known[Resource].AppendInFlight = false;
        bool accepted =
            Done && Done->Change.ApplyStatus == RecordStatus::Accepted;
        if (accepted && Action == ClaimAction::Release)
          self->Events.record(
              "claim.released",
              {{"resource", Resource}, {"fence", std::to_string(token)}});
      });
}

} // namespace wasabi
