/// \file
/// What the core needs from the platform's trainers.
#ifndef WASABI_PORTS_TRAINERPORT_H
#define WASABI_PORTS_TRAINERPORT_H

#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Rollout/Sample.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace wasabi {

/// Samples on their way to a trainer. A repeat keeps id and content.
struct Delivery {
  std::string Id;
  FencingToken Fence = 0;
  std::uint64_t Step = 0;
  std::vector<Sample> Samples;
  bool operator==(const Delivery &) const = default;
};

/// Why a trainer refused a sample.
enum class RefusalReason : std::uint8_t { Stale, Duplicate, Unknown };

/// One sample refused by its trainer.
struct RefusedSample {
  Slot Place;
  RefusalReason Reason = RefusalReason::Unknown;
  bool operator==(const RefusedSample &) const = default;
};

/// A trainer's answer to a delivery.
struct DeliveryResponse {
  WeightVersion Newest = 0;
  std::vector<Slot> AcceptedSlots;
  std::vector<RefusedSample> Refused;
  bool StepComplete = false;
  bool operator==(const DeliveryResponse &) const = default;
};

/// One trainer, as plain functions; each is used on the thread that built it.
struct TrainerPort {
  /// The step wanted, first waiting up to `Wait` for one after `After` (no
  /// waiting without). Failures: `Unreachable`, `TimedOut`, `BadInput` naming
  /// the member of an answer that cannot be read.
  std::function<boost::asio::awaitable<Outcome<WantedStep>>(
      std::optional<std::uint64_t> After, Millis Wait)>
      Step;
  /// Delivers. Failures: `StaleFence`, `NotRun`, when the trainer has seen a
  /// greater token; `MayHaveRun` when the answer was lost.
  std::function<boost::asio::awaitable<Outcome<DeliveryResponse>>(
      Delivery What, Millis Timeout)>
      Deliver;
};

} // namespace wasabi

#endif // WASABI_PORTS_TRAINERPORT_H
