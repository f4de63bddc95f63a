/// \file
/// An entry of the platform's list of instances, which lags behind the actual
/// state.
#ifndef WASABI_MEMBERSHIP_LISTEDINSTANCE_H
#define WASABI_MEMBERSHIP_LISTEDINSTANCE_H

#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Membership/View.h"

namespace wasabi {

/// An instance as listed by the platform. An immutable value.
struct ListedInstance {
  InstanceName Instance;
  DomainName Domain;
  Role Kind = Role::Daemon;
  /// Address on which it accepts control frames.
  Address ControlAddress;
  /// Address of its admin HTTP server.
  Address AdminAddress;
  bool Leaving = false;
  Incarnation Life = 0;
  bool operator==(const ListedInstance &) const = default;
};

} // namespace wasabi

#endif // WASABI_MEMBERSHIP_LISTEDINSTANCE_H
