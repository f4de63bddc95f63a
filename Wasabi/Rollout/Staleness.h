/// \file
/// Whether a sample is, or will still be, fresh enough for its trainer.
#ifndef WASABI_ROLLOUT_STALENESS_H
#define WASABI_ROLLOUT_STALENESS_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Rollout/Label.h"

#include <cstdint>

namespace wasabi {

/// Versions behind the newest that a trainer's samples may be.
struct Freshness {
  WeightVersion Newest = 0;
  std::uint32_t Bound = 1;
  bool operator==(const Freshness &) const = default;
};

/// Whether a token of `Version` may be delivered now. Pure.
bool isFresh(const Freshness &By, WeightVersion Version);

/// Whether every token of a label may be delivered now. Pure.
bool isFresh(const Freshness &By, const Label &Spans);

/// How often a trainer publishes while a step is open. A trainer that publishes
/// only between steps cannot make a running sample of the open step stale.
struct Cadence {
  /// Mean time between publications within open steps; zero until one is seen.
  Micros MeanInterval{0};
  /// When the newest version was seen first.
  TimePoint Last;
  bool operator==(const Cadence &) const = default;
};

/// Takes note of a publication at `Now`. Pure.
Cadence withPublication(Cadence Of, bool StepOpen, TimePoint Now);

/// Publications to expect between now and `Finish`. Pure.
std::uint64_t expectedPublications(const Cadence &Of, TimePoint Now,
                                   TimePoint Finish);

/// Whether a sample begun on `Version` is expected to be fresh at `Finish`.
/// Pure.
bool willBeFresh(const Freshness &By, WeightVersion Version,
                 const Cadence &Publishing, TimePoint Now, TimePoint Finish);

} // namespace wasabi

#endif // WASABI_ROLLOUT_STALENESS_H
