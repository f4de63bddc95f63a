/// \file
/// The stand-in for the platform's lagging list of instances.
#ifndef WASABI_STANDINS_INSTANCESROLE_H
#define WASABI_STANDINS_INSTANCESROLE_H

#include "StandIns/RoleServer.h"

namespace wasabi::standins {

/// Creates the role.
/// \param Lag age of the returned list; the fault `lag_ms` changes it. Used on
/// one thread.
std::shared_ptr<Role> createInstancesRole(Millis Lag);

} // namespace wasabi::standins

#endif // WASABI_STANDINS_INSTANCESROLE_H
