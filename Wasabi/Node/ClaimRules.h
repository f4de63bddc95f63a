/// \file
/// Rules by which a process acquires, renews or releases a claim. Pure
/// functions.
#ifndef WASABI_NODE_CLAIMRULES_H
#define WASABI_NODE_CLAIMRULES_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/State/Fold.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace wasabi {

struct ClaimSettings {
  /// Term of acquired claims.
  Millis Term{10000};
  /// Additional delay for each member that ranks before this one.
  Millis RankDelay{500};
  /// Maximum of the total rank delay.
  Millis MaxRankDelay{5000};
  /// Minimum time between the request for a claim and its acquisition, which
  /// lets the membership view fill.
  Millis SettleDelay{1500};
  bool operator==(const ClaimSettings &) const = default;
};

/// Input of the decision on one resource. An immutable value.
struct ClaimDecisionInput {
  /// The claim in the folded state; empty if there is none.
  std::optional<Claim> Current;
  /// True if this incarnation of the process holds the claim.
  bool IsHolder = false;
  bool Wanted = false;
  /// True while an append by this process for the resource is in flight.
  bool AppendInFlight = false;
  /// Time at which the last acquisition, renewal or release was read.
  TimePoint ReadAt;
  /// Time since which the claim is requested.
  TimePoint WantedAt;
  /// Time just before the last accepted acquisition or renewal by this process
  /// was sent.
  TimePoint SentAt;
  /// Number of members that rank before this one for the resource.
  std::size_t Rank = 0;
  /// True if this process may acquire claims: it is not isolated or leaving,
  /// the log is reachable, and no newer schema blocks its fold.
  bool MayAcquire = true;
};

enum class ClaimAction : std::uint8_t { Wait, Acquire, Renew, Release };

/// Returns the action to take at `Now`. Pure.
ClaimAction decideClaim(const ClaimDecisionInput &Input,
                        const ClaimSettings &Limits, TimePoint Now);

} // namespace wasabi

#endif // WASABI_NODE_CLAIMRULES_H
