/// \file
/// Growing, randomized delays between the retries of a call.
#ifndef WASABI_CORE_RETRYBACKOFF_H
#define WASABI_CORE_RETRYBACKOFF_H

#include "Wasabi/Core/Clock.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace wasabi {

/// State of the retries of one call. A value.
struct RetryBackoff {
  /// Mean delay after the first failure.
  Millis Initial{100};
  /// Number of failures after which the mean delay no longer doubles.
  std::uint32_t MaxDoublings = 2;
  /// Number of consecutive failures.
  std::uint32_t Failures = 0;
};

/// Records a failure and returns the delay before the retry. The delay varies
/// by half its mean, so that processes that failed together do not retry
/// together. Modifies only `Backoff` and `Random`.
template <typename Generator>
Millis nextDelay(RetryBackoff &Backoff, Generator &Random) {
  constexpr double MinFactor = 0.5;
  constexpr double MaxFactor = 1.5;
  std::uint32_t doublings = std::min(Backoff.Failures, Backoff.MaxDoublings);
  ++Backoff.Failures;
  Millis mean = Backoff.Initial * (1 << doublings);
  double factor =
      std::uniform_real_distribution<>(MinFactor, MaxFactor)(Random);
  return std::chrono::duration_cast<Millis>(mean * factor);
}

/// Records a success: the next failure is the first of its series.
inline void noteSuccess(RetryBackoff &Backoff) { Backoff.Failures = 0; }

} // namespace wasabi

#endif // WASABI_CORE_RETRYBACKOFF_H
