/// \file
/// Creates the engine request of an attempt.
#ifndef WASABI_ROLLOUT_SAMPLEREQUEST_H
#define WASABI_ROLLOUT_SAMPLEREQUEST_H

#include "Wasabi/Adapters/Frames/RequestClient.h"
#include "Wasabi/Rollout/StepEvent.h"

#include <string>

namespace wasabi {

/// Identity and priority of the requesting trainer.
struct SampleOrigin {
  TrainerName Trainer;
  FencingToken Fence = 0;
  ModelName Model;
  std::int32_t Priority = 0;
};

/// Returns the request to the engine's daemon. Pure.
RequestAttempt makeSampleRequest(const DispatchAttempt &Dispatch,
                                 const SampleOrigin &Origin);

} // namespace wasabi

#endif // WASABI_ROLLOUT_SAMPLEREQUEST_H
