/// \file
/// Decides whether samples are, or will be, fresh enough for their trainer.
#ifndef WASABI_ROLLOUT_STALENESS_H
#define WASABI_ROLLOUT_STALENESS_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Rollout/Label.h"

#include <cstdint>

namespace wasabi {

/// The newest version, and the number of versions that a sample may be behind
/// it.
struct Freshness {
  WeightVersion Newest = 0;
  std::uint32_t Bound = 1;
  bool operator==(const Freshness &) const = default;
};

/// Returns true if a token of `Version` may be delivered. Pure.
bool isFresh(const Freshness &Limits, WeightVersion Version);

/// Returns true if all tokens of a label may be delivered. Pure.
bool isFresh(const Freshness &Limits, const Label &Spans);

/// Estimates how often a trainer publishes while a step is open. Publications
/// between steps do not make running samples stale.
struct Cadence {
  /// Mean interval between publications within open steps; zero if unknown.
  Micros MeanInterval{0};
  /// Time when the newest version was first seen.
  TimePoint Last;
  bool operator==(const Cadence &) const = default;
};

/// Returns the cadence after a publication at `Now`. Pure.
Cadence withPublication(Cadence Publishing, bool StepOpen, TimePoint Now);

/// Returns the expected number of publications between `Now` and `Finish`.
/// Pure.
std::uint64_t expectedPublications(const Cadence &Publishing, TimePoint Now,
                                   TimePoint Finish);

/// Returns true if a sample that starts on `Version` is expected to be fresh at
/// `Finish`. Pure.
bool willBeFresh(const Freshness &Limits, WeightVersion Version,
                 const Cadence &Publishing, TimePoint Now, TimePoint Finish);

} // namespace wasabi

#endif // WASABI_ROLLOUT_STALENESS_H
