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

std::map<std::string, HeldClaim> ClaimManager::heldNow(TimePoint Now) const {
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
  if (found == State.Claims.end() || !isMine(found->second))
    return std::nullopt;
  std::lock_guard<std::mutex> lock(Guard);
  if (!Wanted.contains(Resource))
    return std::nullopt;
  return found->second.Token;
}

bool ClaimManager::isMine(const Claim &What) const {
  return !What.Released && What.Holder == Setup.Instance &&
         What.HolderIncarnation == Setup.Life;
}

bool ClaimManager::holdsAny(const FoldState &State) const {
  for (const auto &[resource, claim] : State.Claims) {
    if (isMine(claim))
      return true;
  }
  return false;
}

// ---- following the fold ----

void ClaimManager::onApplied(Offset At, const FoldState &State,
                             const ControlStateChange &Did, TimePoint Now) {
  if (Did.ChangedClaimResource.empty())
    return;
  auto found = State.Claims.find(Did.ChangedClaimResource);
  if (found == State.Claims.end())
    return;
  note(found->first, found->second, Now);
  if (!isMine(found->second) || found->second.RenewalOffset != At)
    return;

  // Authority counts from before the record was sent, never from its answer.
  Tracked &known = Known[found->first];
  known.SentAt = Appender->firstSent();
  HeldClaim claim{found->second.Token,
                  authorityEnd(known.SentAt, found->second.Term)};
  bool taken = found->second.Token == At + 1;
  Events.record(taken ? "claim.taken" : "claim.renewed",
                {{"resource", found->first},
                 {"fence", std::to_string(claim.Token)},
                 {"offset", std::to_string(At)}});
  std::lock_guard<std::mutex> lock(Guard);
  if (Wanted.contains(found->first))
    Held[found->first] = claim;
}

void ClaimManager::onStateReplaced(const FoldState &State, TimePoint Now) {
  // How long ago these were renewed is unknown: a full term counts from now.
  for (const auto &[resource, claim] : State.Claims) {
    if (Known[resource].RenewalOffset != claim.RenewalOffset ||
        Known[resource].ReadAt == TimePoint())
      note(resource, claim, Now);
  }
}

void ClaimManager::note(const std::string &Resource, const Claim &What,
                        TimePoint Now) {
  Tracked &known = Known[Resource];
  known.RenewalOffset = What.RenewalOffset;
  known.ReadAt = Now;
  known.Token = What.Token;
  if (!isMine(What))
    lose(Resource);
}

void ClaimManager::lose(const std::string &Resource) {
  std::lock_guard<std::mutex> lock(Guard);
  auto found = Held.find(Resource);
  if (found == Held.end())
    return;
  Events.record("claim.lost", {{"resource", Resource},
                               {"fence", std::to_string(found->second.Token)}});
  Held.erase(found);
}

// ---- deciding ----

void ClaimManager::decide(const FoldState &State, const View &Seen,
                          bool MayAcquire, TimePoint Now) {
  std::map<std::string, TimePoint> wanted;
  {
    std::lock_guard<std::mutex> lock(Guard);
    wanted = Wanted;
  }
  // What is ours but no longer wanted has to be released.
  std::map<std::string, TimePoint> looked = wanted;
  for (const auto &[resource, claim] : State.Claims) {
    if (isMine(claim))
      looked.emplace(resource, Now);
  }

  for (const auto &[resource, since] : looked) {
    Tracked &known = Known[resource];
    ClaimDecisionInput now;
    auto found = State.Claims.find(resource);
    if (found != State.Claims.end())
      now.Current = found->second;
    now.Mine = now.Current && isMine(*now.Current);
    now.Wanted = wanted.contains(resource);
    now.Busy = known.Busy;
    now.ReadAt = known.ReadAt;
    now.WantedAt = since;
    now.SentAt = known.SentAt;
    now.MayAcquire = MayAcquire;
    // The rank costs a look at every member: only where it can matter.
    const Claim *current = now.Current ? &*now.Current : nullptr;
    if (!now.Mine && MayAcquire && canAcquireClaim(current, now.ReadAt, Now))
      now.Rank = rankOf(resource, Seen);
    act(resource, decideClaim(now, Setup.Rules, Now), now.Current);
  }
}

void ClaimManager::act(const std::string &Resource, ClaimAction Step,
                       const std::optional<Claim> &Current) {
  RecordBody body;
  switch (Step) {
  case ClaimAction::Wait:
    return;
  case ClaimAction::Take:
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
  Known[Resource].Busy = true;
  std::shared_ptr<ClaimManager> self = shared_from_this();
  FencingToken token = Current ? Current->Token : 0;
  Appender->append(
      std::move(body), true,
      [self, Resource, Step, token](const Outcome<Appended> &Done) {
        self->Known[Resource].Busy = false;
        bool accepted = Done && Done->Did.ApplyStatus == RecordStatus::Accepted;
        if (accepted && Step == ClaimAction::Release)
          self->Events.record(
              "claim.released",
              {{"resource", Resource}, {"fence", std::to_string(token)}});
      });
}

} // namespace wasabi
