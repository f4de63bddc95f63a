/// \file
/// To whom news goes on at once. Within a failure domain the members stand in a
/// ring by hash; each passes news on to its successor, so that none is left out
/// while the ring holds, and to a few random members, so that it is quick. One
/// member of each other domain gets it too.
#ifndef WASABI_MEMBERSHIP_FANOUT_H
#define WASABI_MEMBERSHIP_FANOUT_H

#include "Wasabi/Core/Ids.h"
#include "Wasabi/Membership/View.h"

#include <cstddef>
#include <random>
#include <vector>

namespace wasabi {

struct FanoutSettings {
  /// Random members of the own domain, besides the successor.
  std::size_t RandomPeers = 2;
  /// Whether one member of each other domain is told too.
  bool OtherDomains = false;
  bool operator==(const FanoutSettings &) const = default;
};

/// The members to tell, each once, never self, none that is dead. Pure but for
/// the engine.
std::vector<InstanceName> chooseFanout(const View &Seen,
                                       const FanoutSettings &Limits,
                                       std::mt19937_64 &Random);

} // namespace wasabi

#endif // WASABI_MEMBERSHIP_FANOUT_H
