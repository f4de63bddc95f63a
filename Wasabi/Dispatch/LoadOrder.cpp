#include "Wasabi/Dispatch/LoadOrder.h"

#include <algorithm>
#include <tuple>

namespace wasabi {

bool shouldLoadWeights(const EngineState &Engine, const ModelDemand &Of) {
  WeightVersion has = Engine.version(Engine.Model);
  bool serves = Of.Waiting > 0 && has >= Of.Waiting;
  bool willServe = Of.Coming > 0 && has >= Of.Coming;
  return has < Of.Named && !serves && !willServe;
}

EngineList sortForLoading(EngineList Due,
                          const std::map<ModelName, ModelDemand> &Models) {
  auto rank = [&Models](const std::shared_ptr<EngineState> &Of) {
    WeightVersion has = Of->version(Of->Model);
    bool inVain = Of->Wanted > has;
    auto found = Models.find(Of->Model);
    ModelDemand demand = found == Models.end() ? ModelDemand() : found->second;
    std::int64_t lag = static_cast<std::int64_t>(demand.Named) -
                       static_cast<std::int64_t>(has);
    return std::make_tuple(inVain, inVain ? Of->WantedAt : TimePoint(),
                           has >= demand.Waiting, -lag, Of->Running);
  };
  std::stable_sort(
      Due.begin(), Due.end(),
      [&rank](const auto &L, const auto &R) { return rank(L) < rank(R); });
  return Due;
}

} // namespace wasabi
