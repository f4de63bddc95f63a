/// \file
/// How many further attempts may be made: a share of recent successes, so that
/// retries cannot feed an overload or an outage.
#ifndef WASABI_ROUTING_RETRYBUDGET_H
#define WASABI_ROUTING_RETRYBUDGET_H

#include <algorithm>

namespace wasabi {

/// A token bucket that successes fill and retries empty. A value.
struct RetryBudget {
  struct Settings {
    /// Tokens that one success earns.
    double TokensPerSuccess = 0.1;
    /// Most tokens kept, and those at the start.
    double Most = 10.0;
    bool operator==(const Settings &) const = default;
  };

  Settings Limits;
  double Tokens = Settings().Most;
  bool operator==(const RetryBudget &) const = default;
};

/// A budget as at the start. Pure.
inline RetryBudget makeRetryBudget(RetryBudget::Settings Limits) {
  return RetryBudget{Limits, Limits.Most};
}

/// The budget after a success. Pure.
inline RetryBudget addSuccess(RetryBudget Budget) {
  Budget.Tokens = std::min(Budget.Limits.Most,
                           Budget.Tokens + Budget.Limits.TokensPerSuccess);
  return Budget;
}

/// Whether a retry may be made now. Pure.
inline bool canSpend(const RetryBudget &Budget) { return Budget.Tokens >= 1.0; }

/// The budget after a retry. Precondition: `canSpend`. Pure.
inline RetryBudget spend(RetryBudget Budget) {
  Budget.Tokens -= 1.0;
  return Budget;
}

} // namespace wasabi

#endif // WASABI_ROUTING_RETRYBUDGET_H
