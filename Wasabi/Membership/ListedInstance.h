/// \file
/// One line of the platform's lagging list of instances.
#ifndef WASABI_MEMBERSHIP_LISTEDINSTANCE_H
#define WASABI_MEMBERSHIP_LISTEDINSTANCE_H

#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Membership/View.h"

namespace wasabi {

/// An instance as the platform lists it. An immutable value.
struct ListedInstance {
  InstanceName Instance;
  DomainName Domain;
  Role Kind = Role::Daemon;
  /// Where it takes control frames.
  Address ControlAddress;
  /// Its admin HTTP.
  Address AdminAddress;
  bool Leaving = false;
  Incarnation Life = 0;
  bool operator==(const ListedInstance &) const = default;
};

} // namespace wasabi

#endif // WASABI_MEMBERSHIP_LISTEDINSTANCE_H
