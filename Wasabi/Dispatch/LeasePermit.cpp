#include "Wasabi/Dispatch/LeasePermit.h"

namespace wasabi {

LeaseProof makeLeaseProof(FencingToken Term, bool HasPredecessor,
                          TimePoint Now) {
  LeaseProof proof;
  proof.Term = Term;
  proof.AcquiredAt = Now;
  proof.HasPredecessor = HasPredecessor;
  return proof;
}

void noteRenewal(LeaseProof &Proof, Offset At, TimePoint Sent) {
  Proof.UnconfirmedRenewals[At] = Sent;
}

void confirmRenewals(LeaseProof &Proof, const LeaseState &Lease) {
  if (!Lease.Holder || Lease.Term != Proof.Term || Lease.Released)
    return;
  auto it = Proof.UnconfirmedRenewals.find(Lease.LastRecordOffset);
  if (it == Proof.UnconfirmedRenewals.end())
    return;
  Proof.LastConfirmed = it->second;
  Proof.UnconfirmedRenewals.erase(Proof.UnconfirmedRenewals.begin(),
                                  std::next(it));
}

std::optional<LeasePermit> computePermit(const LeaseProof &Proof,
                                         const PermitSettings &Limits) {
  if (!Proof.LastConfirmed)
    return std::nullopt;
  TimePoint from = Proof.HasPredecessor
                       ? Proof.AcquiredAt + Limits.TakeoverDelay
                       : Proof.AcquiredAt;
  // The first claim in the topic may have offset 0, and a token is never 0.
  return LeasePermit{Proof.Term + 1, from,
                     *Proof.LastConfirmed + Limits.LeaseTimeout};
}

} // namespace wasabi
