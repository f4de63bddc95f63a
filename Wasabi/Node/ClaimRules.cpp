#include "Wasabi/Node/ClaimRules.h"

#include "Wasabi/State/Claims.h"

#include <algorithm>

namespace wasabi {
namespace {

/// Number of renewals in one term.
constexpr int RenewalsPerTerm = 3;

Millis rankDelay(const ClaimDecisionInput &Input, const ClaimSettings &Limits) {
  Millis delay = Limits.RankDelay * static_cast<std::int64_t>(Input.Rank);
  return std::min(delay, Limits.MaxRankDelay);
}

ClaimAction decideHeldClaim(const ClaimDecisionInput &Input, TimePoint Now) {
  if (!Input.Wanted)
    return ClaimAction::Release;
  Micros period = Micros(Input.Current->Term) / RenewalsPerTerm;
  return Now - Input.SentAt >= period ? ClaimAction::Renew : ClaimAction::Wait;
}

} // namespace

ClaimAction decideClaim(const ClaimDecisionInput &Input,
                        const ClaimSettings &Limits, TimePoint Now) {
  if (Input.AppendInFlight)
    return ClaimAction::Wait;
  if (Input.IsHolder)
    return decideHeldClaim(Input, Now);
  if (!Input.Wanted || !Input.MayAcquire)
    return ClaimAction::Wait;
  if (Now - Input.WantedAt < Limits.SettleDelay)
    return ClaimAction::Wait;

  // Members acquire in the order of their rank.
  Millis delay = rankDelay(Input, Limits);
  const Claim *current = Input.Current ? &*Input.Current : nullptr;
  TimePoint free = Input.WantedAt + Limits.SettleDelay;
  if (current != nullptr)
    free = std::max(free, current->Released ? Input.ReadAt
                                            : Input.ReadAt + current->Term);
  bool available = canAcquireClaim(current, Input.ReadAt, Now);
  return available && Now - free >= delay ? ClaimAction::Acquire
                                          : ClaimAction::Wait;
}

} // namespace wasabi
