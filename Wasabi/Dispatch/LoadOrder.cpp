#include "Wasabi/Dispatch/LoadOrder.h"

#include <algorithm>
#include <tuple>

namespace wasabi {

bool shouldLoadWeights(const DispatchEngine &Engine, const ModelDemand &Of) {
  WeightVersion has = Engine.version(Engine.Model);
  bool serves = Of.WaitingMinVersion > 0 && has >= Of.WaitingMinVersion;
  bool willServe = Of.ExpectedMinVersion > 0 && has >= Of.ExpectedMinVersion;
  return has < Of.NewestVersion && !serves && !willServe;
}

EngineList sortForLoading(EngineList Due,
                          const std::map<ModelName, ModelDemand> &Models) {
  auto rank = [&Models](const std::shared_ptr<DispatchEngine> &Of) {
    WeightVersion has = Of->version(Of->Model);
    bool inVain = Of->Wanted > has;
    auto found = Models.find(Of->Model);
    ModelDemand demand = found == Models.end() ? ModelDemand() : found->second;
    std::int64_t lag = static_cast<std::int64_t>(demand.NewestVersion) -
                       static_cast<std::int64_t>(has);
    return std::make_tuple(inVain, inVain ? Of->WantedAt : TimePoint(),
                           has >= demand.WaitingMinVersion, -lag, Of->Running);
  };
  std::stable_sort(
      Due.begin(), Due.end(),
      [&rank](const auto &L, const auto &R) { return rank(L) < rank(R); });
  return Due;
}

} // namespace wasabi
