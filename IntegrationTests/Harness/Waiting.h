/// \file
/// Waiting for a condition with a deadline: what tests do in place of sleeping.
#ifndef WASABI_INTEGRATIONTESTS_HARNESS_WAITING_H
#define WASABI_INTEGRATIONTESTS_HARNESS_WAITING_H

#include "Wasabi/Core/Clock.h"

#include <functional>

namespace wasabi::harness {

/// Asks `Condition` again and again until it is true or `Limit` has passed;
/// whether it became true. Between two questions a few milliseconds pass.
bool waitUntil(const std::function<bool()> &Condition, Millis Limit);

} // namespace wasabi::harness

#endif // WASABI_INTEGRATIONTESTS_HARNESS_WAITING_H
