/// \file
/// Finds a port for processes that must know each other's address before they
/// start.
#ifndef WASABI_INTEGRATIONTESTS_HARNESS_FREEPORT_H
#define WASABI_INTEGRATIONTESTS_HARNESS_FREEPORT_H

#include "Wasabi/Core/Address.h"

namespace wasabi::harness {

/// Returns a loopback port that was free at the time of the call, a different
/// one for each call. Another process may still take it. Errors: `Unavailable`.
/// Thread-safe.
Result<Address> freePort();

} // namespace wasabi::harness

#endif // WASABI_INTEGRATIONTESTS_HARNESS_FREEPORT_H
