/// \file
/// Retry budget: limits retries to a share of the recent successes, so that
/// they cannot amplify an overload or an outage.
#ifndef WASABI_ROUTING_RETRYBUDGET_H
#define WASABI_ROUTING_RETRYBUDGET_H

#include <algorithm>

namespace wasabi {

/// Token bucket that successes fill and retries drain. A value.
struct RetryBudget {
  struct Settings {
    /// Tokens added per success.
    double TokensPerSuccess = 0.1;
    /// Capacity of the bucket and its initial content, in tokens.
    double MaxTokens = 10.0;
    bool operator==(const Settings &) const = default;
  };

  Settings Limits;
  double Tokens = Settings().MaxTokens;
  bool operator==(const RetryBudget &) const = default;
};

/// Returns a full budget. Pure.
inline RetryBudget makeRetryBudget(RetryBudget::Settings Limits) {
  return RetryBudget{Limits, Limits.MaxTokens};
}

/// Returns the budget after a success. Pure.
inline RetryBudget addSuccess(RetryBudget Budget) {
  Budget.Tokens = std::min(Budget.Limits.MaxTokens,
                           Budget.Tokens + Budget.Limits.TokensPerSuccess);
  return Budget;
}

/// Returns true if a retry is allowed now. Pure.
inline bool canSpend(const RetryBudget &Budget) { return Budget.Tokens >= 1.0; }

/// Returns the budget after a retry. Precondition: `canSpend(Budget)`. Pure.
inline RetryBudget spend(RetryBudget Budget) {
  Budget.Tokens -= 1.0;
  return Budget;
}

} // namespace wasabi

#endif // WASABI_ROUTING_RETRYBUDGET_H
