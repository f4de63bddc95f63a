/// \file
/// Whether a request may pass, and whose it is.
#ifndef WASABI_CUSTOMERS_ACCESS_H
#define WASABI_CUSTOMERS_ACCESS_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Customers/CustomerTable.h"
#include "Wasabi/Upstream/StoreContact.h"

#include <optional>
#include <string_view>

namespace wasabi {

/// How a request stands.
enum class AccessVerdict : std::uint8_t {
  Granted,
  /// No configuration that this process knows the newest of gives anyone the
  /// key, or there is none. Final for whoever asks.
  UnknownKey,
  /// A newer configuration may say otherwise, and this process cannot read it
  /// now. Another process may know.
  Uncertain,
};

/// For logs.
std::string_view toText(AccessVerdict Verdict);

/// What was decided of a request. An immutable value.
struct AccessDecision {
  AccessVerdict Verdict = AccessVerdict::UnknownKey;
  /// Whose request it is; empty where nobody's key came with it.
  std::optional<Customer> By;
  bool operator==(const AccessDecision &) const = default;
};

/// How keys are judged.
struct AccessSettings {
  /// Whether a key must not pass where its withdrawal may have been missed.
  bool StrictRevocation = false;
  /// With `StrictRevocation`: how long after its withdrawal a key may pass at
  /// most.
  Millis MaxRevocationDelay{5000};
  bool operator==(const AccessSettings &) const = default;
};

/// What is asked for.
struct AccessRequest {
  /// Empty where none came, or several.
  std::optional<KeyDigest> Key;
  /// Whether the route takes requests without a key.
  bool Public = false;
};

/// Decides by the customers of the newest configuration that this process
/// knows; empty ones ask nobody for a key. Pure, thread-safe.
///
/// Out of reach of the store, a key that is not known is not refused: a caller
/// takes such a refusal for final, and its key may be a new one. One that is
/// known passes, since to refuse it would turn away every caller for the sake
/// of the few whose key was withdrawn meanwhile, unless `StrictRevocation` says
/// that those matter more.
AccessDecision decideAccess(const std::optional<CustomerTable> &Known,
                            const AccessRequest &Ask,
                            const StoreContact &Contact,
                            const AccessSettings &Limits, TimePoint Now);

/// The priority of a customer's request: its own before the route's. Pure.
std::uint32_t priorityOf(const std::optional<Customer> &By,
                         std::uint32_t RoutePriority);

} // namespace wasabi

#endif // WASABI_CUSTOMERS_ACCESS_H
