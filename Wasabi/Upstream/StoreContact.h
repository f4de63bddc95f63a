/// \file
/// Tracks whether the platform's store is reachable from this process.
#ifndef WASABI_UPSTREAM_STORECONTACT_H
#define WASABI_UPSTREAM_STORECONTACT_H

#include "Wasabi/Core/Clock.h"

namespace wasabi {

/// State of the store connection, updated by the results of store calls. A
/// value; each process has one.
struct StoreContact {
  struct Settings {
    /// The store counts as unreachable when a call fails and no answer has
    /// arrived for this long. Must exceed the time in which a single lost
    /// answer is noticed, and stay below the time that a request may wait.
    Millis OutageTimeout{500};
    bool operator==(const Settings &) const = default;
  };

  Settings Limits;
  TimePoint LastAnswer;
  /// Start of the current period of contact.
  TimePoint ReachableSince;
  bool Lost = true;
};

/// Records an answer. Returns true if the store was unreachable before.
/// Modifies only `Contact`.
inline bool noteAnswer(StoreContact &Contact, TimePoint Now) {
  bool regained = Contact.Lost;
  Contact.Lost = false;
  Contact.LastAnswer = Now;
  if (regained)
    Contact.ReachableSince = Now;
  return regained;
}

/// Records a failed call. Returns true if the store becomes unreachable by it.
/// Modifies only `Contact`.
inline bool noteFailure(StoreContact &Contact, TimePoint Now) {
  if (Contact.Lost || Now - Contact.LastAnswer < Contact.Limits.OutageTimeout)
    return false;
  Contact.Lost = true;
  return true;
}

/// Returns true if the store has been reachable for at least `Span`. Pure.
inline bool reachableFor(const StoreContact &Contact, Millis Span,
                         TimePoint Now) {
  return !Contact.Lost && Now - Contact.ReachableSince >= Span;
}

/// Returns true if the store is unreachable and its last answer is older than
/// `Span`. Pure.
inline bool unreachableFor(const StoreContact &Contact, Millis Span,
                           TimePoint Now) {
  return Contact.Lost && Now - Contact.LastAnswer > Span;
}

} // namespace wasabi

#endif // WASABI_UPSTREAM_STORECONTACT_H
