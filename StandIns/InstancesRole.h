/// \file
/// The stand-in for the platform's lagging list of instances.
#ifndef WASABI_STANDINS_INSTANCESROLE_H
#define WASABI_STANDINS_INSTANCESROLE_H

#include "StandIns/RoleServer.h"

namespace wasabi::standins {

/// \param Lag how old the list is that it gives; the fault `lag_ms` changes it.
/// Used on one thread.
std::shared_ptr<Role> createInstancesRole(Millis Lag);

} // namespace wasabi::standins

#endif // WASABI_STANDINS_INSTANCESROLE_H
