/// \file
/// Time-bound authority of claims, on the monotonic clock of one process.
///
/// The log orders takes and renewals but knows no time, so each side counts by
/// its own clock on the safe side: the holder from before it sent its last
/// accepted take or renewal, a successor a full term from when it read that
/// record. The fold refuses a take whose author has not read the last renewal.
#ifndef WASABI_STATE_CLAIMS_H
#define WASABI_STATE_CLAIMS_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/State/Fold.h"

namespace wasabi {

/// Part of a term that a holder does not use, in percent: two monotonic clocks
/// may run at different rates.
inline constexpr int ClockDriftMarginPercent = 2;

/// End of a holder's authority. `SentAt` is the monotonic time just before its
/// last accepted take or renewal was sent. Pure.
inline TimePoint authorityEnd(TimePoint SentAt, Millis Term) {
  return SentAt + Micros(Term) * (100 - ClockDriftMarginPercent) / 100;
}

/// Whether a process may append a take of this claim (null: there is none).
/// `ReadAt` is the monotonic time after it read the record at `RenewalOffset`;
/// a process that started from a snapshot counts from when it got that. Pure.
inline bool canAcquireClaim(const Claim *Current, TimePoint ReadAt,
                            TimePoint Now) {
  if (!Current || Current->Released)
    return true;
  return Now - ReadAt >= Micros(Current->Term);
}

/// The take that follows `Current` (null: there is none). Pure.
inline ClaimAcquire makeClaimAcquire(std::string Resource, const Claim *Current,
                                     Millis Term) {
  ClaimAcquire out{std::move(Resource), 0, Term, 0};
  if (Current) {
    out.ReplacedToken = Current->Token;
    out.Seen = Current->RenewalOffset;
  }
  return out;
}

} // namespace wasabi

#endif // WASABI_STATE_CLAIMS_H
