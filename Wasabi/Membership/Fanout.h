/// \file
/// Selects the members that an urgent update is forwarded to.
/// Within a failure domain the members form a ring ordered by hash. Each member
/// forwards to its successor, which guarantees coverage, and to a few random
/// members, which limits the number of hops.
#ifndef WASABI_MEMBERSHIP_FANOUT_H
#define WASABI_MEMBERSHIP_FANOUT_H

#include "Wasabi/Core/Ids.h"
#include "Wasabi/Membership/View.h"

#include <cstddef>
#include <random>
#include <vector>

namespace wasabi {

struct FanoutSettings {
  /// Number of random members of the own failure domain, in addition to the
  /// successor.
  std::size_t RandomPeers = 2;
  /// True if one member of each other failure domain is also selected.
  bool OtherDomains = false;
  bool operator==(const FanoutSettings &) const = default;
};

/// Returns the members to forward to, without duplicates, `Self` or dead
/// members. Pure except for `Random`.
std::vector<InstanceName> chooseFanout(const View &ClusterView,
                                       const FanoutSettings &Limits,
                                       std::mt19937_64 &Random);

} // namespace wasabi

#endif // WASABI_MEMBERSHIP_FANOUT_H
