/// \file
/// One thing told about a member.
#ifndef WASABI_MEMBERSHIP_MEMBERUPDATE_H
#define WASABI_MEMBERSHIP_MEMBERUPDATE_H

#include "Wasabi/Core/Ids.h"
#include "Wasabi/Membership/View.h"

namespace wasabi {

/// What is told about a member. An immutable value.
struct MemberUpdate {
  /// The member. Without addresses and domain where these have not changed, and
  /// without servers too where only its bad health is told.
  Member Subject;
  /// Who suspects it, when it is told as suspect.
  InstanceName Accuser;
  bool operator==(const MemberUpdate &) const = default;
};

} // namespace wasabi

#endif // WASABI_MEMBERSHIP_MEMBERUPDATE_H
