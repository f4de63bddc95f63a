/// \file
/// Computes when the holder of the dispatch lease may make calls that are
/// protected by the lease only: their receiver checks no fencing token and
/// cannot undo a call. Calls of successive holders must not interleave, even if
/// a holder freezes, is disconnected or has renewals that are lost or late.
#ifndef WASABI_DISPATCH_LEASEPERMIT_H
#define WASABI_DISPATCH_LEASEPERMIT_H

#include "Wasabi/Batch/BatchState.h"

#include <map>
#include <optional>

namespace wasabi {

/// A period in which calls may be made. An immutable value.
struct LeasePermit {
  /// Greater than the tokens of all previous holders, and never 0.
  FencingToken Token = 0;
  /// Start of the period. Calls of the previous holder may be in flight before.
  TimePoint From;
  /// End of the period. Another process may hold the lease from then on.
  TimePoint Until;
  bool operator==(const LeasePermit &) const = default;
};

/// Time limits from which permits are computed.
struct PermitSettings {
  /// Other processes may claim the lease this long after they read the holder's
  /// last record.
  Millis LeaseTimeout{1500};
  /// Time between acquiring the lease from a previous holder and the first
  /// call. Includes the maximum duration of a call.
  Millis TakeoverDelay{3000};
};

/// Evidence that a process holds the lease. Not thread-safe.
struct LeaseProof {
  /// Offset of the claim's record.
  FencingToken Term = 0;
  TimePoint AcquiredAt;
  /// True if the lease had a holder before.
  bool HasPredecessor = true;
  /// Send times, by offset, of the renewals that have been appended but not
  /// read back from the topic.
  std::map<Offset, TimePoint> UnconfirmedRenewals;
  /// Send time of the newest renewal that was read back as valid; empty until
  /// there is one.
  std::optional<TimePoint> LastConfirmed;
};

/// Returns the proof of a lease that was acquired at `Now`, without a confirmed
/// renewal.
LeaseProof makeLeaseProof(FencingToken Term, bool HasPredecessor,
                          TimePoint Now);

/// Records that the store has appended a renewal at `At` that was sent at
/// `Sent`. The renewal is not confirmed yet: the claim of another process may
/// precede it.
void noteRenewal(LeaseProof &Proof, Offset At, TimePoint Sent);

/// Confirms the renewal that `Lease` shows as its last valid record. Other
/// processes read it after it was sent, so their timeout starts no earlier.
void confirmRenewals(LeaseProof &Proof, const LeaseState &Lease);

/// Returns the permit; empty until a renewal has been confirmed.
std::optional<LeasePermit> computePermit(const LeaseProof &Proof,
                                         const PermitSettings &Limits);

} // namespace wasabi

#endif // WASABI_DISPATCH_LEASEPERMIT_H
