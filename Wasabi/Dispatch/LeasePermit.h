/// \file
/// When calls may be made that nothing but the dispatching lease guards:
/// whoever takes them checks no fencing token, and can't take one back. Pure.
///
/// The pattern that this answers: a holder that is frozen or cut off between
/// its look at the lease and its call, renewals whose answers are lost or that
/// are carried out seconds later, and a successor that must not let its calls
/// mingle with those of the holder before.
#ifndef WASABI_DISPATCH_LEASEPERMIT_H
#define WASABI_DISPATCH_LEASEPERMIT_H

#include "Wasabi/Batch/BatchState.h"

#include <map>
#include <optional>

namespace wasabi {

/// Calls may be made from `From` until `Until`. An immutable value.
struct LeasePermit {
  /// Greater than those of all holders before, and never 0.
  FencingToken Token = 0;
  /// Calls of the holder before may be on their way until then.
  TimePoint From;
  /// Another process may hold the lease then.
  TimePoint Until;
  bool operator==(const LeasePermit &) const = default;
};

/// How permits follow from the lease.
struct PermitSettings {
  /// The others wait this long after they saw the holder's last record.
  Millis LeaseTimeout{1500};
  /// How far apart two holders' calls must be. It covers the time that a call
  /// takes, too.
  Millis TakeoverDelay{3000};
};

/// What proves that a process holds the lease. Owned by one thread.
struct LeaseProof {
  /// Offset of the claim.
  FencingToken Term = 0;
  TimePoint Gained;
  /// Whether there was a holder before.
  bool HasPredecessor = true;
  /// When a renewal was sent, by its offset; those that were not read yet.
  std::map<Offset, TimePoint> UnconfirmedRenewals;
  /// When the newest renewal was sent that the topic shows.
  std::optional<TimePoint> LastConfirmed;
};

/// The proof of a lease that has just been gained.
LeaseProof makeLeaseProof(FencingToken Term, bool HasPredecessor,
                          TimePoint Now);

/// The store has taken a renewal that was sent at `Sent`. That proves nothing
/// yet: another process's claim may lie before it.
void noteRenewal(LeaseProof &Of, Offset At, TimePoint Sent);

/// Takes up what the topic shows of the lease: a renewal that it shows as valid
/// was sent before anybody read it, and the others wait from then.
void confirmRenewals(LeaseProof &Of, const LeaseState &Lease);

/// The permit; empty while nothing is proved.
std::optional<LeasePermit> computePermit(const LeaseProof &Of,
                                         const PermitSettings &Limits);

} // namespace wasabi

#endif // WASABI_DISPATCH_LEASEPERMIT_H
