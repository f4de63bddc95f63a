#include "Wasabi/Dispatch/LoadOrder.h"

#include <algorithm>
#include <tuple>

namespace wasabi {

bool shouldLoadWeights(const DispatchEngine &Engine,
                       const ModelDemand &Demand) {
  WeightVersion has = Engine.version(Engine.Model);
  bool servesWaiting =
      Demand.WaitingMinVersion > 0 && has >= Demand.WaitingMinVersion;
  bool servesExpected =
      Demand.ExpectedMinVersion > 0 && has >= Demand.ExpectedMinVersion;
  return has < Demand.NewestVersion && !servesWaiting && !servesExpected;
}

EngineList sortForLoading(EngineList Due,
                          const std::map<ModelName, ModelDemand> &Models) {
  auto rank = [&Models](const std::shared_ptr<DispatchEngine> &Engine) {
    WeightVersion has = Engine->version(Engine->Model);
    bool askedBefore = Engine->Wanted > has;
    auto found = Models.find(Engine->Model);
    ModelDemand demand = found == Models.end() ? ModelDemand() : found->second;
    std::int64_t lag = static_cast<std::int64_t>(demand.NewestVersion) -
                       static_cast<std::int64_t>(has);
    return std::make_tuple(
        askedBefore, askedBefore ? Engine->WantedAt : TimePoint(),
        has >= demand.WaitingMinVersion, -lag, Engine->Running);
  };
  std::stable_sort(
      Due.begin(), Due.end(),
      [&rank](const auto &L, const auto &R) { return rank(L) < rank(R); });
  return Due;
}

} // namespace wasabi
