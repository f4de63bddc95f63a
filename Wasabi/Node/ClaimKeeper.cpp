#include "Wasabi/Node/ClaimKeeper.h"

#include "Wasabi/Membership/Rendezvous.h"
#include "Wasabi/State/Claims.h"

#include <utility>

namespace wasabi {

std::shared_ptr<ClaimKeeper>
ClaimKeeper::create(Settings Setup, std::shared_ptr<RecordAppender> Appender,
                    Timeline &Events) {
  return std::shared_ptr<ClaimKeeper>(
      new ClaimKeeper(std::move(Setup), std::move(Appender), Events));
}

ClaimKeeper::ClaimKeeper(Settings Setup,
                         std::shared_ptr<RecordAppender> Appender,
                         Timeline &Events)
    : Setup(std::move(Setup)), Appender(std::move(Appender)), Events(Events) {}

void ClaimKeeper::want(const std::string &Resource) {
  std::lock_guard<std::mutex> lock(Guard);
  Wanted.emplace(Resource, monotonicNow());
}

void ClaimKeeper::unwant(const std::string &Resource) {
  std::lock_guard<std::mutex> lock(Guard);
  Wanted.erase(Resource);
  Held.erase(Resource);
}

void ClaimKeeper::unwantAll() {
  std::lock_guard<std::mutex> lock(Guard);
  Wanted.clear();
  Held.clear();
}

std::optional<HeldClaim> ClaimKeeper::held(const std::string &Resource,
                                           TimePoint Now) const {
  std::lock_guard<std::mutex> lock(Guard);
  auto found = Held.find(Resource);
  if (found == Held.end() || Now >= found->second.Until)
    return std::nullopt;
  return found->second;
}

std::map<std::string, HeldClaim> ClaimKeeper::heldNow(TimePoint Now) const {
  std::lock_guard<std::mutex> lock(Guard);
  std::map<std::string, HeldClaim> found;
  for (const auto &[resource, claim] : Held) {
    if (Now < claim.Until)
      found.emplace(resource, claim);
  }
  return found;
}

std::optional<FencingToken>
ClaimKeeper::token(const FoldState &State, const std::string &Resource) const {
  auto found = State.Claims.find(Resource);
  if (found == State.Claims.end() || !isMine(found->second))
    return std::nullopt;
  std::lock_guard<std::mutex> lock(Guard);
  if (!Wanted.contains(Resource))
    return std::nullopt;
  return found->second.Token;
}

bool ClaimKeeper::isMine(const Claim &What) const {
  return !What.Released && What.Holder == Setup.Instance &&
         What.HolderLife == Setup.Life;
}

bool ClaimKeeper::holdsAny(const FoldState &State) const {
  for (const auto &[resource, claim] : State.Claims) {
    if (isMine(claim))
      return true;
  }
  return false;
}

// ---- following the fold ----

void ClaimKeeper::onApplied(Offset At, const FoldState &State,
                            const Applied &Did, TimePoint Now) {
  if (Did.ClaimChanged.empty())
    return;
  auto found = State.Claims.find(Did.ClaimChanged);
  if (found == State.Claims.end())
    return;
  note(found->first, found->second, Now);
  if (!isMine(found->second) || found->second.RenewedAt != At)
    return;

  // Authority counts from before the record was sent, never from its answer.
  Tracked &known = Known[found->first];
  known.SentAt = Appender->firstSent();
  HeldClaim claim{found->second.Token,
                  authorityUntil(known.SentAt, found->second.Term)};
  bool taken = found->second.Token == At + 1;
  Events.record(taken ? "claim.taken" : "claim.renewed",
                {{"resource", found->first},
                 {"fence", std::to_string(claim.Token)},
                 {"offset", std::to_string(At)}});
  std::lock_guard<std::mutex> lock(Guard);
  if (Wanted.contains(found->first))
    Held[found->first] = claim;
}

void ClaimKeeper::onAdopted(const FoldState &State, TimePoint Now) {
  // How long ago these were renewed is unknown: a full term counts from now.
  for (const auto &[resource, claim] : State.Claims) {
    if (Known[resource].RenewedAt != claim.RenewedAt ||
        Known[resource].ReadAt == TimePoint())
      note(resource, claim, Now);
  }
}

void ClaimKeeper::note(const std::string &Resource, const Claim &What,
                       TimePoint Now) {
  Tracked &known = Known[Resource];
  known.RenewedAt = What.RenewedAt;
  known.ReadAt = Now;
  known.Token = What.Token;
  if (!isMine(What))
    lose(Resource);
}

void ClaimKeeper::lose(const std::string &Resource) {
  std::lock_guard<std::mutex> lock(Guard);
  auto found = Held.find(Resource);
  if (found == Held.end())
    return;
  Events.record("claim.lost", {{"resource", Resource},
                               {"fence", std::to_string(found->second.Token)}});
  Held.erase(found);
}

// ---- deciding ----

void ClaimKeeper::decide(const FoldState &State, const View &Seen, bool MayTake,
                         TimePoint Now) {
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
    ClaimSituation now;
    auto found = State.Claims.find(resource);
    if (found != State.Claims.end())
      now.Current = found->second;
    now.Mine = now.Current && isMine(*now.Current);
    now.Wanted = wanted.contains(resource);
    now.Busy = known.Busy;
    now.ReadAt = known.ReadAt;
    now.WantedAt = since;
    now.SentAt = known.SentAt;
    now.MayTake = MayTake;
    // The rank costs a look at every member: only where it can matter.
    const Claim *current = now.Current ? &*now.Current : nullptr;
    if (!now.Mine && MayTake && mayTake(current, now.ReadAt, Now))
      now.Rank = rankOf(resource, Seen);
    act(resource, decideClaim(now, Setup.Rules, Now), now.Current);
  }
}

void ClaimKeeper::act(const std::string &Resource, ClaimStep Step,
                      const std::optional<Claim> &Current) {
  RecordBody body;
  switch (Step) {
  case ClaimStep::Wait:
    return;
  case ClaimStep::Take:
    body = takeOver(Resource, Current ? &*Current : nullptr, Setup.Rules.Term);
    break;
  case ClaimStep::Renew:
    body = ClaimRenew{Resource, Current->Token};
    break;
  case ClaimStep::Release:
    body = ClaimRelease{Resource, Current->Token};
    break;
  }
  Known[Resource].Busy = true;
  std::shared_ptr<ClaimKeeper> self = shared_from_this();
  FencingToken token = Current ? Current->Token : 0;
  Appender->append(
      std::move(body), true,
      [self, Resource, Step, token](const Outcome<Appended> &Done) {
        self->Known[Resource].Busy = false;
        bool accepted = Done && Done->Did.Fate == RecordFate::Accepted;
        if (accepted && Step == ClaimStep::Release)
          self->Events.record(
              "claim.released",
              {{"resource", Resource}, {"fence", std::to_string(token)}});
      });
}

} // namespace wasabi
