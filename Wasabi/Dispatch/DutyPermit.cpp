#include "Wasabi/Dispatch/DutyPermit.h"

namespace wasabi {

DutyProof beginProof(FencingToken Term, bool Succeeds, TimePoint Now) {
  DutyProof proof;
  proof.Term = Term;
  proof.Gained = Now;
  proof.Succeeds = Succeeds;
  return proof;
}

void noteRenewal(DutyProof &Of, Offset At, TimePoint Sent) {
  Of.Renewals[At] = Sent;
}

void prove(DutyProof &Of, const LeaseState &Lease) {
  if (!Lease.Holder || Lease.Term != Of.Term || Lease.Released)
    return;
  auto it = Of.Renewals.find(Lease.LastAt);
  if (it == Of.Renewals.end())
    return;
  Of.Proven = it->second;
  Of.Renewals.erase(Of.Renewals.begin(), std::next(it));
}

std::optional<DutyPermit> permitOf(const DutyProof &Of,
                                   const PermitSettings &Limits) {
  if (!Of.Proven)
    return std::nullopt;
  TimePoint from = Of.Succeeds ? Of.Gained + Limits.TakeoverPause : Of.Gained;
  // The first claim of all may lie at offset 0.
  return DutyPermit{Of.Term + 1, from, *Of.Proven + Limits.HoldTime};
}

} // namespace wasabi
