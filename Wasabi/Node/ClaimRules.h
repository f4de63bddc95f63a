/// \file
/// When a process takes, renews or releases a claim. Pure decisions.
#ifndef WASABI_NODE_CLAIMRULES_H
#define WASABI_NODE_CLAIMRULES_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/State/Fold.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace wasabi {

struct ClaimSettings {
  /// Term of the claims taken.
  Millis Term{10000};
  /// A process waits this long for each one that ranks before it.
  Millis RankDelay{500};
  /// Most that it waits for them.
  Millis MaxRankDelay{5000};
  /// How long a process must have wanted a claim before it takes it, so that
  /// its view has filled.
  Millis Settle{1500};
  bool operator==(const ClaimSettings &) const = default;
};

/// All that a decision on one resource depends on. An immutable value.
struct ClaimDecisionInput {
  /// The claim in the fold; empty when there is none.
  std::optional<Claim> Current;
  /// Whether this process, in this life, is its holder.
  bool Mine = false;
  bool Wanted = false;
  /// Whether a record on this resource is under way from here.
  bool Busy = false;
  /// When the last take, renewal or release was read here.
  TimePoint ReadAt;
  /// Since when it is wanted.
  TimePoint WantedAt;
  /// Just before the last accepted take or renewal of this process was sent.
  TimePoint SentAt;
  /// How many members rank before this one for the resource.
  std::size_t Rank = 0;
  /// Whether this process may decide anew: it trusts its view, the log answers,
  /// and no newer schema blocks its fold.
  bool MayAcquire = true;
};

enum class ClaimAction : std::uint8_t { Wait, Take, Renew, Release };

/// What to do now. Pure.
ClaimAction decideClaim(const ClaimDecisionInput &Now,
                        const ClaimSettings &Limits, TimePoint At);

} // namespace wasabi

#endif // WASABI_NODE_CLAIMRULES_H
