/// \file
/// An update about one member, as exchanged by gossip.
#ifndef WASABI_MEMBERSHIP_MEMBERUPDATE_H
#define WASABI_MEMBERSHIP_MEMBERUPDATE_H

#include "Wasabi/Core/Ids.h"
#include "Wasabi/Membership/View.h"

namespace wasabi {

/// An update about one member. An immutable value.
struct MemberUpdate {
  /// The member. Addresses and failure domain are empty if they are unchanged;
  /// servers are empty too if the update reports a health other than alive.
  Member Subject;
  /// The instance that suspects the member; empty unless the update reports a
  /// suspicion.
  InstanceName Accuser;
  bool operator==(const MemberUpdate &) const = default;
};

} // namespace wasabi

#endif // WASABI_MEMBERSHIP_MEMBERUPDATE_H
