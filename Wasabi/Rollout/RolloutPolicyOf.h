/// \file
/// What a configuration says of one trainer.
#ifndef WASABI_ROLLOUT_ROLLOUTPOLICYOF_H
#define WASABI_ROLLOUT_ROLLOUTPOLICYOF_H

#include "Wasabi/Config/Configuration.h"
#include "Wasabi/Rollout/StepEvent.h"

#include <optional>
#include <vector>

namespace wasabi {

/// The policy in force for a trainer; empty when it is not declared. Its share
/// is the one of its first attachment, against all of that service's. Pure.
std::optional<RolloutPolicy> policyOf(const Configuration &From,
                                      const TrainerName &Trainer);

/// The services that a trainer is attached to. Pure.
std::vector<ServiceName> findAttachedServices(const Configuration &From,
                                              const TrainerName &Trainer);

} // namespace wasabi

#endif // WASABI_ROLLOUT_ROLLOUTPOLICYOF_H
