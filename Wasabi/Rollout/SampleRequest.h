/// \file
/// The engine request of one attempt.
#ifndef WASABI_ROLLOUT_SAMPLEREQUEST_H
#define WASABI_ROLLOUT_SAMPLEREQUEST_H

#include "Wasabi/Adapters/Frames/RequestClient.h"
#include "Wasabi/Rollout/StepEvent.h"

#include <string>

namespace wasabi {

/// Who asks, and how urgently.
struct SampleOrigin {
  TrainerName Trainer;
  FencingToken Fence = 0;
  ModelName Model;
  std::int32_t Priority = 0;
};

/// The attempt as sent to the daemon in front of its engine. Pure.
RequestAttempt makeSampleRequest(const DispatchAttempt &What,
                                 const SampleOrigin &From);

} // namespace wasabi

#endif // WASABI_ROLLOUT_SAMPLEREQUEST_H
