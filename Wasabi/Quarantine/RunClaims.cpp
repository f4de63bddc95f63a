#include "Wasabi/Quarantine/RunClaims.h"

#include <algorithm>

namespace wasabi {

namespace {

bool isValid(const RunClaims &Claims, const OtherClaim &Claim, TimePoint Now) {
  return Now - Claim.Since < Claims.Limits.Validity;
}

} // namespace

bool applyClaim(RunClaims &Claims, const RequestDigest &Digest,
                const std::optional<RunClaim> &Claim, Offset At,
                TimePoint Now) {
  auto own = Claims.Own.find(Digest);
  if (Claim && Claim->Holder == Claims.Self) {
    // An earlier claim of another process for the same request stays known.
    if (own != Claims.Own.end() && own->second.Server == Claim->Server &&
        !own->second.ReadAt)
      own->second.ReadAt = At;
    return false;
  }
  auto other = Claims.Others.find(Digest);
  bool isRewritten =
      Claim && other != Claims.Others.end() && other->second.Claim == *Claim;
  if (isRewritten)
    other->second.Since = Now;
  else if (Claim)
    Claims.Others[Digest] = {*Claim, At, Now};
  else
    Claims.Others.erase(Digest);
  return own != Claims.Own.end() && own->second.ReadAt;
}

std::set<ServerIncarnation> claimedServers(const RunClaims &Claims,
                                           TimePoint Now) {
  std::set<ServerIncarnation> found;
  for (const auto &[digest, claim] : Claims.Own)
    found.insert(claim.Server);
  for (const auto &[digest, claim] : Claims.Others) {
    if (isValid(Claims, claim, Now))
      found.insert(claim.Claim.Server);
  }
  return found;
}

bool isRunClaimed(const RunClaims &Claims, const RequestDigest &Digest,
                  TimePoint Now) {
  auto other = Claims.Others.find(Digest);
  return Claims.Own.contains(Digest) ||
         (other != Claims.Others.end() && isValid(Claims, other->second, Now));
}

ClaimStatus claimStatus(const RunClaims &Claims, const RequestDigest &Digest,
                        TimePoint Now) {
  auto own = Claims.Own.find(Digest);
  if (own == Claims.Own.end() || !own->second.ReadAt)
    return ClaimStatus::Pending;
  bool lost = std::any_of(
      Claims.Others.begin(), Claims.Others.end(), [&](const auto &It) {
        const auto &[digest, claim] = It;
        return (digest == Digest || claim.Claim.Server == own->second.Server) &&
               claim.At < *own->second.ReadAt && isValid(Claims, claim, Now);
      });
  return lost ? ClaimStatus::Lost : ClaimStatus::Held;
}

} // namespace wasabi
