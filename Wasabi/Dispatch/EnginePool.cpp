#include "Wasabi/Dispatch/EnginePool.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace wasabi {

namespace {

/// The value that a part `Share` of `All` lies below; 0 of none.
double quantile(std::vector<double> All, double Share) {
  if (All.empty())
    return 0;
  auto place = All.begin() + static_cast<std::ptrdiff_t>(
                                 static_cast<double>(All.size() - 1) * Share);
  std::nth_element(All.begin(), place, All.end());
  return *place;
}

} // namespace

PaceBaseline computePaceBaseline(const EngineList &Engines,
                                 const EnginePoolSettings &Limits) {
  constexpr double Median = 0.5;
  constexpr double Quarter = 0.25;
  std::vector<double> recent;
  std::vector<double> own;
  for (const std::shared_ptr<DispatchEngine> &it : Engines) {
    if (it->Pace.RecentMs > 0)
      recent.push_back(it->Pace.RecentMs);
    if (longTermMs(it->Pace, Limits.Pace) > 0)
      own.push_back(longTermMs(it->Pace, Limits.Pace));
  }
  return PaceBaseline{quantile(std::move(recent), Median),
                      quantile(std::move(own), Quarter)};
}

std::map<ModelName, std::uint32_t>
poolSizes(const std::map<ModelName, double> &Demand, std::uint32_t Count) {
  std::map<ModelName, std::uint32_t> sizes;
  double total = 0;
  for (const auto &[model, demand] : Demand)
    total += demand;
  if (total <= 0)
    return sizes;
  std::uint32_t given = 0;
  std::uint32_t least = Count >= 2 * Demand.size() ? 2 : 1;
  for (const auto &[model, demand] : Demand) {
    auto share = static_cast<std::uint32_t>(demand / total * Count);
    sizes[model] = std::max(share, least);
    given += sizes[model];
  }
  // What the least ones took beyond their share comes from the largest.
  while (given > Count) {
    auto largest = std::max_element(sizes.begin(), sizes.end(),
                                    [](const auto &Left, const auto &Right) {
                                      return Left.second < Right.second;
                                    });
    if (largest->second <= 1)
      break;
    --largest->second;
    --given;
  }
  // What rounding left goes to whoever is furthest below its share.
  while (given < Count) {
    auto neediest = std::max_element(
        Demand.begin(), Demand.end(), [&](const auto &Left, const auto &Right) {
          return Left.second / total * Count - sizes[Left.first] <
                 Right.second / total * Count - sizes[Right.first];
        });
    ++sizes[neediest->first];
    ++given;
  }
  return sizes;
}

namespace {

/// A model that an engine has served of late, as its weights show.
struct ServedModel {
  ModelName Model;
  /// By how many versions its weights are closer to the newest than those of
  /// any other model.
  WeightVersion Lead = 0;
};

/// The model whose weights on the engine are closest to the newest ones, if one
/// is closer than all others. A model that was never named is at its first
/// version everywhere.
std::optional<ServedModel>
servedModel(const DispatchEngine &Engine,
            const std::map<ModelName, std::uint32_t> &Sizes,
            const std::map<ModelName, WeightVersion> &Named) {
  std::vector<std::pair<WeightVersion, ModelName>> lags;
  for (const auto &[model, size] : Sizes) {
    auto named = Named.find(model);
    WeightVersion newest = named == Named.end() ? 0 : named->second;
    lags.emplace_back(newest - std::min(Engine.version(model), newest), model);
  }
  std::sort(lags.begin(), lags.end());
  if (lags.size() < 2)
    return std::nullopt;
  WeightVersion lead = lags[1].first - lags[0].first;
  if (lead == 0)
    return std::nullopt;
  return ServedModel{lags[0].second, lead};
}

struct PoolCount {
  std::map<ModelName, int> Missing;

  std::optional<ModelName> neediest() const {
    auto it = std::max_element(Missing.begin(), Missing.end(),
                               [](const auto &Left, const auto &Right) {
                                 return Left.second < Right.second;
                               });
    if (it == Missing.end())
      return std::nullopt;
    return it->first;
  }
};

PoolCount countPools(const EngineList &Engines,
                     const std::map<ModelName, std::uint32_t> &Sizes) {
  PoolCount count;
  for (const auto &[model, size] : Sizes)
    count.Missing[model] = static_cast<int>(size);
  for (const std::shared_ptr<DispatchEngine> &it : Engines) {
    if (!it->Model.empty())
      --count.Missing[it->Model];
  }
  return count;
}

bool moveOne(EngineList &Engines, const PoolCount &Count) {
  std::optional<ModelName> poor = Count.neediest();
  if (!poor || Count.Missing.at(*poor) < 1)
    return false;
  std::shared_ptr<DispatchEngine> best;
  for (const std::shared_ptr<DispatchEngine> &it : Engines) {
    auto missing = Count.Missing.find(it->Model);
    if (missing == Count.Missing.end() || missing->second > -1 ||
        it->isSwapping())
      continue;
    if (!best || it->Running < best->Running)
      best = it;
  }
  if (!best)
    return false;
  best->Model = *poor;
  best->Wanted = 0;
  return true;
}

} // namespace

namespace {

/// Lets engines without a model keep the one that they served, those first that
/// lead most, and no more of them than the model is to have: when a version has
/// just been named every engine lags, and would go to the other models.
bool keepServed(EngineList &Engines,
                const std::map<ModelName, std::uint32_t> &Sizes,
                const std::map<ModelName, WeightVersion> &Named) {
  std::vector<std::pair<ServedModel, std::shared_ptr<DispatchEngine>>> leaning;
  for (const std::shared_ptr<DispatchEngine> &it : Engines) {
    std::optional<ServedModel> served = servedModel(*it, Sizes, Named);
    if (it->Model.empty() && served)
      leaning.emplace_back(*served, it);
  }
  std::stable_sort(leaning.begin(), leaning.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first.Lead > Right.first.Lead;
                   });
  PoolCount count = countPools(Engines, Sizes);
  bool changed = false;
  for (const auto &[served, engine] : leaning) {
    int &missing = count.Missing[served.Model];
    if (missing < 1)
      continue;
    --missing;
    engine->Model = served.Model;
    changed = true;
  }
  return changed;
}

} // namespace

bool assignModels(EngineList &Engines,
                  const std::map<ModelName, std::uint32_t> &Sizes,
                  const std::map<ModelName, WeightVersion> &Named,
                  bool MayMove) {
  bool changed = keepServed(Engines, Sizes, Named);
  for (const std::shared_ptr<DispatchEngine> &it : Engines) {
    if (!it->Model.empty())
      continue;
    std::optional<ModelName> poor = countPools(Engines, Sizes).neediest();
    if (!poor)
      return changed;
    it->Model = *poor;
    changed = true;
  }
  if (MayMove && !changed)
    changed = moveOne(Engines, countPools(Engines, Sizes));
  return changed;
}

bool hasRoom(const DispatchEngine &Engine, TimePoint Now) {
  return !Engine.Loading && Engine.FullUntil <= Now &&
         !Engine.Server->Replaced &&
         Engine.Running < Engine.Server->Entry.Slots;
}

std::shared_ptr<DispatchEngine> chooseEngine(const EngineList &Engines,
                                             const EngineRequirements &Need,
                                             const PaceBaseline &Scale,
                                             const EnginePoolSettings &Limits,
                                             TimePoint Now) {
  using Rank = std::tuple<bool, bool, bool, std::uint32_t, bool, double>;
  std::shared_ptr<DispatchEngine> best;
  Rank bestRank;
  for (const std::shared_ptr<DispatchEngine> &it : Engines) {
    const UpstreamServer &server = *it->Server;
    WeightVersion has = it->version(Need.Model);
    bool fits = it->Model == Need.Model && has >= Need.MinVersion &&
                (!Need.ExactVersion || has == *Need.ExactVersion);
    if (!fits || !hasRoom(*it, Now))
      continue;
    double load = static_cast<double>(it->Running) / server.Entry.Slots;
    std::uint32_t grade =
        Need.IsLong ? paceTier(it->Pace, Scale.FastQuartileMs, Limits.Pace) : 0;
    Rank rank{server.SuspectUntil > Now,
              isSlow(it->Pace, Scale.MedianMs, Limits.Pace),
              server.Entry.incarnation() == Need.Avoid,
              grade,
              server.Entry.incarnation() != Need.Preferred,
              load};
    if (!best || rank < bestRank) {
      best = it;
      bestRank = rank;
    }
  }
  return best;
}

} // namespace wasabi
