#include "Wasabi/Dispatch/LeasePermit.h"

namespace wasabi {

LeaseProof makeLeaseProof(FencingToken Term, bool HasPredecessor,
                          TimePoint Now) {
  LeaseProof proof;
  proof.Term = Term;
  proof.Gained = Now;
  proof.HasPredecessor = HasPredecessor;
  return proof;
}

void noteRenewal(LeaseProof &Of, Offset At, TimePoint Sent) {
  Of.UnconfirmedRenewals[At] = Sent;
}

void confirmRenewals(LeaseProof &Of, const LeaseState &Lease) {
  if (!Lease.Holder || Lease.Term != Of.Term || Lease.Released)
    return;
  auto it = Of.UnconfirmedRenewals.find(Lease.LastRecordOffset);
  if (it == Of.UnconfirmedRenewals.end())
    return;
  Of.LastConfirmed = it->second;
  Of.UnconfirmedRenewals.erase(Of.UnconfirmedRenewals.begin(), std::next(it));
}

std::optional<LeasePermit> computePermit(const LeaseProof &Of,
                                         const PermitSettings &Limits) {
  if (!Of.LastConfirmed)
    return std::nullopt;
  TimePoint from =
      Of.HasPredecessor ? Of.Gained + Limits.TakeoverDelay : Of.Gained;
  // The first claim of all may lie at offset 0.
  return LeasePermit{Of.Term + 1, from,
                     *Of.LastConfirmed + Limits.LeaseTimeout};
}

} // namespace wasabi
