#include "Wasabi/Dispatch/LoadOrder.h"

#include <algorithm>
#include <tuple>

namespace wasabi {

bool shouldLoadWeights(const DispatchEngine &Engine, const ModelName &Model,
                       const ModelDemand &Demand) {
  WeightVersion has = Engine.version(Model);
  bool servesWaiting =
      Demand.WaitingMinVersion > 0 && has >= Demand.WaitingMinVersion;
  bool servesExpected =
      Demand.ExpectedMinVersion > 0 && has >= Demand.ExpectedMinVersion;
  return has < Demand.NewestVersion && !servesWaiting && !servesExpected;
}

std::vector<DueLoad>
sortForLoading(std::vector<DueLoad> Due,
               const std::map<ModelName, ModelDemand> &Models) {
  auto rank = [&Models](const DueLoad &Load) {
    const DispatchEngine &engine = *Load.Engine;
    WeightVersion has = engine.version(Load.Model);
    bool askedBefore = engine.WantedModel == Load.Model && engine.Wanted > has;
    auto found = Models.find(Load.Model);
    ModelDemand demand = found == Models.end() ? ModelDemand() : found->second;
    std::int64_t lag = static_cast<std::int64_t>(demand.NewestVersion) -
                       static_cast<std::int64_t>(has);
    return std::make_tuple(
        askedBefore, askedBefore ? engine.WantedAt : TimePoint(),
        has >= demand.WaitingMinVersion, -lag, engine.Running);
  };
  std::stable_sort(
      Due.begin(), Due.end(),
      [&rank](const auto &L, const auto &R) { return rank(L) < rank(R); });
  return Due;
}

} // namespace wasabi
