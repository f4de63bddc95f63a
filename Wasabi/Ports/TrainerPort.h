/// \file
/// Interface to the platform's trainers.
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

/// A delivery of samples to a trainer. A retry has the same id and content.
struct Delivery {
  std::string Id;
  FencingToken Fence = 0;
  std::uint64_t Step = 0;
  std::vector<Sample> Samples;
  bool operator==(const Delivery &) const = default;
};

/// Reason of a trainer for rejecting a sample.
enum class RefusalReason : std::uint8_t { Stale, Duplicate, Unknown };

/// One sample that the trainer rejected.
struct RefusedSample {
  Slot Place;
  RefusalReason Reason = RefusalReason::Unknown;
  bool operator==(const RefusedSample &) const = default;
};

/// Response of a trainer to a delivery.
struct DeliveryResponse {
  WeightVersion Newest = 0;
  std::vector<Slot> AcceptedSlots;
  std::vector<RefusedSample> Refused;
  bool StepComplete = false;
  bool operator==(const DeliveryResponse &) const = default;
};

/// Calls to one trainer as function objects. Use a port on the thread that
/// created it.
struct TrainerPort {
  /// Returns the step that the trainer wants. With `After`, waits up to
  /// `PollTimeout` for a later step. Failures: `Unreachable`, `TimedOut`,
  /// `BadInput` with the invalid member of the response.
  std::function<boost::asio::awaitable<Outcome<WantedStep>>(
      std::optional<std::uint64_t> After, Millis PollTimeout)>
      Step;
  /// Delivers samples. Failures: `StaleFence` and `NotRun` if the trainer has
  /// seen a greater token; `MayHaveRun` if the response was lost.
  std::function<boost::asio::awaitable<Outcome<DeliveryResponse>>(
      Delivery Batch, Millis Timeout)>
      Deliver;
};

} // namespace wasabi

#endif // WASABI_PORTS_TRAINERPORT_H
