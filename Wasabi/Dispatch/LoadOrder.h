/// \file
/// Decides which engines load new weights now, and in which order. An engine
/// accepts no samples while it loads, so loading is deferred while the engine
/// can serve samples that are waiting or expected.
#ifndef WASABI_DISPATCH_LOADORDER_H
#define WASABI_DISPATCH_LOADORDER_H

#include "Wasabi/Dispatch/EnginePool.h"

#include <map>

namespace wasabi {

/// Current demand for a model. An immutable value.
struct ModelDemand {
  /// Newest named version of the weights.
  WeightVersion NewestVersion = 0;
  /// Oldest version that all waiting samples allow; 0 if no sample is waiting.
  WeightVersion WaitingMinVersion = 0;
  /// Oldest version that the next step is expected to allow; 0 if no step is
  /// expected soon.
  WeightVersion ExpectedMinVersion = 0;
  bool operator==(const ModelDemand &) const = default;
};

/// An engine that should load the weights of a model. A value.
struct DueLoad {
  std::shared_ptr<DispatchEngine> Engine;
  ModelName Model;
  bool operator==(const DueLoad &) const = default;
};

/// Returns true if newer weights of a model exist and the engine can serve
/// neither the waiting nor the expected samples with those that it has. Pure.
bool shouldLoadWeights(const DispatchEngine &Engine, const ModelName &Model,
                       const ModelDemand &Demand);

/// Sorts the loads `Due` by the order in which they should begin. Loads that
/// were asked for before and have not happened come last, so that they do not
/// block the others. The others are sorted by: cannot serve the waiting
/// samples, number of versions behind, fewest running samples. Pure.
std::vector<DueLoad>
sortForLoading(std::vector<DueLoad> Due,
               const std::map<ModelName, ModelDemand> &Models);

} // namespace wasabi

#endif // WASABI_DISPATCH_LOADORDER_H
