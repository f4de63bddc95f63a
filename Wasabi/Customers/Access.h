/// \file
/// Decides whether a request is granted, and to which customer it belongs.
#ifndef WASABI_CUSTOMERS_ACCESS_H
#define WASABI_CUSTOMERS_ACCESS_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Customers/CustomerTable.h"
#include "Wasabi/Upstream/StoreContact.h"

#include <optional>
#include <string_view>

namespace wasabi {

/// Result of an access check.
enum class AccessVerdict : std::uint8_t {
  Granted,
  /// The request has no key, or the newest configuration lists no customer with
  /// it. Final.
  UnknownKey,
  /// The store is unreachable, so that this process may have missed a newer
  /// configuration. Another process may be able to decide.
  Uncertain,
};

/// Returns the name of a verdict for logs.
std::string_view toText(AccessVerdict Verdict);

/// Verdict and customer of a request. An immutable value.
struct AccessDecision {
  AccessVerdict Verdict = AccessVerdict::UnknownKey;
  /// Customer that sent the request; empty if it is not granted or no customer
  /// is known.
  std::optional<Customer> By;
  bool operator==(const AccessDecision &) const = default;
};

/// Treatment of revoked keys.
struct AccessSettings {
  /// True if a key is not accepted once its revocation may have been missed.
  bool StrictRevocation = false;
  /// With `StrictRevocation`: maximum time that a key is accepted after its
  /// revocation.
  Millis MaxRevocationDelay{5000};
  bool operator==(const AccessSettings &) const = default;
};

/// Input of an access check.
struct AccessRequest {
  /// Empty if the request has no key or several.
  std::optional<KeyDigest> Key;
  /// True if the route accepts requests without a key.
  bool Public = false;
};

/// Decides from the customers of the newest configuration that this process
/// knows. Without a table (`nullopt`) every request is granted. Pure,
/// thread-safe.
///
/// While the store is unreachable, an unknown key is `Uncertain`, as it may be
/// a new one. A known key is granted although it may have been revoked, unless
/// `StrictRevocation` is set and `MaxRevocationDelay` has passed.
AccessDecision decideAccess(const std::optional<CustomerTable> &Customers,
                            const AccessRequest &Request,
                            const StoreContact &Contact,
                            const AccessSettings &Limits, TimePoint Now);

/// Returns the priority of a request: that of its customer if set, else that of
/// the route. Pure.
std::uint32_t priorityOf(const std::optional<Customer> &Owner,
                         std::uint32_t RoutePriority);

} // namespace wasabi

#endif // WASABI_CUSTOMERS_ACCESS_H
