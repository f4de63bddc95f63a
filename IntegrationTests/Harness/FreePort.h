/// \file
/// A port for two processes that must know each other before either runs.
#ifndef WASABI_INTEGRATIONTESTS_HARNESS_FREEPORT_H
#define WASABI_INTEGRATIONTESTS_HARNESS_FREEPORT_H

#include "Wasabi/Core/Address.h"

namespace wasabi::harness {

/// A loopback port that was free a moment ago, another one at each call;
/// nothing keeps another process from taking it. Errors: `Unavailable`.
/// Thread-safe.
Result<Address> freePort();

} // namespace wasabi::harness

#endif // WASABI_INTEGRATIONTESTS_HARNESS_FREEPORT_H
