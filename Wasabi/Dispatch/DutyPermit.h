/// \file
/// When calls may be made that nothing but the dispatching lease guards:
/// whoever takes them checks no fencing token, and can't take one back. Pure.
///
/// The pattern that this answers: a holder that is frozen or cut off between
/// its look at the lease and its call, renewals whose answers are lost or that
/// are carried out seconds later, and a successor that must not let its calls
/// mingle with those of the holder before.
#ifndef WASABI_DISPATCH_DUTYPERMIT_H
#define WASABI_DISPATCH_DUTYPERMIT_H

#include "Wasabi/Batch/BatchFold.h"

#include <map>
#include <optional>

namespace wasabi {

/// Calls may be made from `From` until `Until`. An immutable value.
struct DutyPermit {
  /// Greater than those of all holders before, and never 0.
  FencingToken Token = 0;
  /// Calls of the holder before may be on their way until then.
  TimePoint From;
  /// Another process may hold the lease then.
  TimePoint Until;
  bool operator==(const DutyPermit &) const = default;
};

/// How permits follow from the lease.
struct PermitSettings {
  /// The others wait this long after they saw the holder's last record.
  Millis HoldTime{1500};
  /// How far apart two holders' calls must be. It covers the time that a call
  /// takes, too.
  Millis TakeoverPause{3000};
};

/// What proves that a process holds the lease. Owned by one thread.
struct DutyProof {
  /// Offset of the claim.
  FencingToken Term = 0;
  TimePoint Gained;
  /// Whether there was a holder before.
  bool Succeeds = true;
  /// When a renewal was sent, by its offset; those that were not read yet.
  std::map<Offset, TimePoint> Renewals;
  /// When the newest renewal was sent that the topic shows.
  std::optional<TimePoint> Proven;
};

/// The proof of a lease that has just been gained.
DutyProof beginProof(FencingToken Term, bool Succeeds, TimePoint Now);

/// The store has taken a renewal that was sent at `Sent`. That proves nothing
/// yet: another process's claim may lie before it.
void noteRenewal(DutyProof &Of, Offset At, TimePoint Sent);

/// Takes up what the topic shows of the lease: a renewal that it shows as valid
/// was sent before anybody read it, and the others wait from then.
void prove(DutyProof &Of, const LeaseState &Lease);

/// The permit; empty while nothing is proved.
std::optional<DutyPermit> permitOf(const DutyProof &Of,
                                   const PermitSettings &Limits);

} // namespace wasabi

#endif // WASABI_DISPATCH_DUTYPERMIT_H
