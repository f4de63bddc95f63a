/// \file
/// Whether this process and the platform's store reach each other.
#ifndef WASABI_UPSTREAM_STORECONTACT_H
#define WASABI_UPSTREAM_STORECONTACT_H

#include "Wasabi/Core/Clock.h"

namespace wasabi {

/// What the answers of the store tell of it. A value; one a process.
struct StoreContact {
  struct Settings {
    /// Without an answer for this long, and a call that failed, the store is
    /// out of reach. Longer than one lost answer takes to be noticed, shorter
    /// than what a request may wait.
    Millis OutageTimeout{500};
    bool operator==(const Settings &) const = default;
  };

  Settings Limits;
  TimePoint LastAnswer;
  /// When the present contact began.
  TimePoint ReachableSince;
  bool Lost = true;
};

/// Notes an answer; true if the contact was lost before. Pure but for `Of`.
inline bool noteAnswer(StoreContact &Of, TimePoint Now) {
  bool regained = Of.Lost;
  Of.Lost = false;
  Of.LastAnswer = Now;
  if (regained)
    Of.ReachableSince = Now;
  return regained;
}

/// Notes a failed call; true if the contact is lost by it. Pure but for `Of`.
inline bool noteFailure(StoreContact &Of, TimePoint Now) {
  if (Of.Lost || Now - Of.LastAnswer < Of.Limits.OutageTimeout)
    return false;
  Of.Lost = true;
  return true;
}

/// Whether there has been contact for all of the last `Span`. Pure.
inline bool reachableFor(const StoreContact &Of, Millis Span, TimePoint Now) {
  return !Of.Lost && Now - Of.ReachableSince >= Span;
}

/// Whether the store has been out of reach for longer than `Span`. Pure.
inline bool unreachableFor(const StoreContact &Of, Millis Span, TimePoint Now) {
  return Of.Lost && Now - Of.LastAnswer > Span;
}

} // namespace wasabi

#endif // WASABI_UPSTREAM_STORECONTACT_H
