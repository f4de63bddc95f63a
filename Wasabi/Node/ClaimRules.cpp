#include "Wasabi/Node/ClaimRules.h"

#include "Wasabi/State/Claims.h"

#include <algorithm>

namespace wasabi {
namespace {

/// A holder renews after this part of the term.
constexpr int RenewalsPerTerm = 3;

Millis rankDelay(const ClaimDecisionInput &Now, const ClaimSettings &Limits) {
  Millis delay = Limits.RankDelay * static_cast<std::int64_t>(Now.Rank);
  return std::min(delay, Limits.MaxRankDelay);
}

ClaimAction decideOwn(const ClaimDecisionInput &Now, TimePoint At) {
  if (!Now.Wanted)
    return ClaimAction::Release;
  Micros period = Micros(Now.Current->Term) / RenewalsPerTerm;
  return At - Now.SentAt >= period ? ClaimAction::Renew : ClaimAction::Wait;
}

} // namespace

ClaimAction decideClaim(const ClaimDecisionInput &Now,
                        const ClaimSettings &Limits, TimePoint At) {
  if (Now.Busy)
    return ClaimAction::Wait;
  if (Now.Mine)
    return decideOwn(Now, At);
  if (!Now.Wanted || !Now.MayAcquire)
    return ClaimAction::Wait;
  if (At - Now.WantedAt < Limits.Settle)
    return ClaimAction::Wait;

  // Those that rank first try first; the rest stay in reserve.
  Millis delay = rankDelay(Now, Limits);
  const Claim *current = Now.Current ? &*Now.Current : nullptr;
  TimePoint free = Now.WantedAt + Limits.Settle;
  if (current != nullptr)
    free = std::max(free, current->Released ? Now.ReadAt
                                            : Now.ReadAt + current->Term);
  bool lapsed = canAcquireClaim(current, Now.ReadAt, At);
  return lapsed && At - free >= delay ? ClaimAction::Take : ClaimAction::Wait;
}

} // namespace wasabi
