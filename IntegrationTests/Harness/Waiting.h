/// \file
/// Waits for a condition with a time limit; tests use it instead of sleeping.
#ifndef WASABI_INTEGRATIONTESTS_HARNESS_WAITING_H
#define WASABI_INTEGRATIONTESTS_HARNESS_WAITING_H

#include "Wasabi/Core/Clock.h"

#include <functional>

namespace wasabi::harness {

/// Evaluates `Condition` every few milliseconds until it is true or `Timeout`
/// has passed. Returns true if it became true.
bool waitUntil(const std::function<bool()> &Condition, Millis Timeout);

} // namespace wasabi::harness

#endif // WASABI_INTEGRATIONTESTS_HARNESS_WAITING_H
