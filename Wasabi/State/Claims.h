/// \file
/// Expiry of claims, based on the monotonic clock of each process.
///
/// The log orders acquisitions and renewals but carries no time, so each side
/// measures conservatively: the holder from before it sent its last accepted
/// acquisition or renewal, a successor a full term from when it read that
/// record. The fold refuses an acquisition whose author has not read the latest
/// renewal.
#ifndef WASABI_STATE_CLAIMS_H
#define WASABI_STATE_CLAIMS_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/State/Fold.h"

namespace wasabi {

/// Percentage of a term that a holder does not use, because monotonic clocks
/// may run at different rates.
inline constexpr int ClockDriftMarginPercent = 2;

/// Returns the end of a holder's authority. `SentAt` is the monotonic time just
/// before it sent its last accepted acquisition or renewal. Pure.
inline TimePoint authorityEnd(TimePoint SentAt, Millis Term) {
  return SentAt + Micros(Term) * (100 - ClockDriftMarginPercent) / 100;
}

/// Returns whether a process may append an acquisition of this claim (null if
/// there is none). `ReadAt` is the monotonic time after it read the record at
/// `RenewalOffset`; a process that started from a snapshot uses the time at
/// which it received the snapshot. Pure.
inline bool canAcquireClaim(const Claim *Current, TimePoint ReadAt,
                            TimePoint Now) {
  if (!Current || Current->Released)
    return true;
  return Now - ReadAt >= Micros(Current->Term);
}

/// Makes the acquisition that replaces `Current` (null if there is none). Pure.
inline ClaimAcquire makeClaimAcquire(std::string Resource, const Claim *Current,
                                     Millis Term) {
  ClaimAcquire out{std::move(Resource), 0, Term, 0};
  if (Current) {
    out.ReplacedToken = Current->Token;
    out.SeenRenewalOffset = Current->RenewalOffset;
  }
  return out;
}

} // namespace wasabi

#endif // WASABI_STATE_CLAIMS_H
