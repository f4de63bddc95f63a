/// \file
/// Derives the policy of a trainer from the configuration.
#ifndef WASABI_ROLLOUT_ROLLOUTPOLICYOF_H
#define WASABI_ROLLOUT_ROLLOUTPOLICYOF_H

#include "Wasabi/Config/Configuration.h"
#include "Wasabi/Rollout/StepEvent.h"

#include <optional>
#include <vector>

namespace wasabi {

/// Returns the policy of a trainer; empty if the trainer is not declared. Its
/// share is that of its first attachment, relative to all attachments of the
/// same service. Pure.
std::optional<RolloutPolicy> findRolloutPolicy(const Configuration &Config,
                                               const TrainerName &Trainer);

/// Returns the services that a trainer is attached to. Pure.
std::vector<ServiceName> findAttachedServices(const Configuration &Config,
                                              const TrainerName &Trainer);

} // namespace wasabi

#endif // WASABI_ROLLOUT_ROLLOUTPOLICYOF_H
