/// \file
/// Which engines take new weights now, and which of them first.
///
/// The load that this answers: a trainer names a version and asks for its step
/// a tenth of a second later. The step allows the version before, too, and is
/// more than its model's engines have places for. An engine that loads takes
/// nothing new for a second, while its runs go on: engines that load just then
/// let texts wait that others decide on, and a trainer of long texts never
/// makes up for it. Seconds later the step's short texts have ended, and
/// nothing waits.
#ifndef WASABI_DISPATCH_LOADORDER_H
#define WASABI_DISPATCH_LOADORDER_H

#include "Wasabi/Dispatch/EnginePool.h"

#include <map>

namespace wasabi {

/// What is asked of a model now. An immutable value.
struct ModelDemand {
  /// The newest weights that were named.
  WeightVersion NewestVersion = 0;
  /// The oldest weights that all its waiting samples allow; 0 if none waits.
  WeightVersion WaitingMinVersion = 0;
  /// The oldest weights that a step which is about to be asked for is likely to
  /// allow; 0 if none is expected.
  WeightVersion ExpectedMinVersion = 0;
  bool operator==(const ModelDemand &) const = default;
};

/// Whether an engine should take newer weights now: if there are any, and it
/// serves neither what waits nor what is about to be asked for. Pure.
bool shouldLoadWeights(const DispatchEngine &Engine, const ModelDemand &Of);

/// `Due` in the order in which they should load: those asked in vain last, else
/// they would hold up the others; first those that cannot serve what waits;
/// among these, those that are furthest behind, then those with the least to
/// hold up. Pure.
EngineList sortForLoading(EngineList Due,
                          const std::map<ModelName, ModelDemand> &Models);

} // namespace wasabi

#endif // WASABI_DISPATCH_LOADORDER_H
