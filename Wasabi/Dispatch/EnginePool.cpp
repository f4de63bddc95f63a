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

PaceScale paceScale(const EngineList &Engines,
                    const EnginePoolSettings &Limits) {
  constexpr double Median = 0.5;
  constexpr double Quarter = 0.25;
  std::vector<double> recent;
  std::vector<double> own;
  for (const std::shared_ptr<EngineState> &it : Engines) {
    if (it->Pace.RecentMs > 0)
      recent.push_back(it->Pace.RecentMs);
    if (knownMs(it->Pace, Limits.Pace) > 0)
      own.push_back(knownMs(it->Pace, Limits.Pace));
  }
  return PaceScale{quantile(std::move(recent), Median),
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

/// The model whose weights on the engine are closest to the newest ones, if one
/// is closer than all others. A model that was never named is at its first
/// version everywhere.
std::optional<ModelName>
servedModel(const EngineState &Engine,
            const std::map<ModelName, std::uint32_t> &Sizes,
            const std::map<ModelName, WeightVersion> &Named) {
  std::optional<ModelName> best;
  WeightVersion bestLag = 0;
  bool tie = false;
  for (const auto &[model, size] : Sizes) {
    auto named = Named.find(model);
    WeightVersion newest = named == Named.end() ? 0 : named->second;
    WeightVersion lag = newest - std::min(Engine.version(model), newest);
    if (!best || lag < bestLag) {
      best = model;
      bestLag = lag;
      tie = false;
    } else if (lag == bestLag)
      tie = true;
  }
  return tie ? std::nullopt : best;
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
  for (const std::shared_ptr<EngineState> &it : Engines) {
    if (!it->Model.empty())
      --count.Missing[it->Model];
  }
  return count;
}

bool moveOne(EngineList &Engines, const PoolCount &Count) {
  std::optional<ModelName> poor = Count.neediest();
  if (!poor || Count.Missing.at(*poor) < 1)
    return false;
  std::shared_ptr<EngineState> best;
  for (const std::shared_ptr<EngineState> &it : Engines) {
    auto missing = Count.Missing.find(it->Model);
    if (missing == Count.Missing.end() || missing->second > -1 ||
        it->swapping())
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

bool assignModels(EngineList &Engines,
                  const std::map<ModelName, std::uint32_t> &Sizes,
                  const std::map<ModelName, WeightVersion> &Named,
                  bool MayMove) {
  bool changed = false;
  // Engines that already lean to a model keep it before the others are dealt.
  for (const std::shared_ptr<EngineState> &it : Engines) {
    if (!it->Model.empty())
      continue;
    std::optional<ModelName> served = servedModel(*it, Sizes, Named);
    if (served) {
      it->Model = *served;
      changed = true;
    }
  }
  for (const std::shared_ptr<EngineState> &it : Engines) {
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

bool hasRoom(const EngineState &Engine, TimePoint Now) {
  return !Engine.Loading && Engine.FullUntil <= Now &&
         !Engine.Server->Replaced &&
         Engine.Running < Engine.Server->Entry.Slots;
}

std::shared_ptr<EngineState> chooseEngine(const EngineList &Engines,
                                          const EngineNeed &Need,
                                          const PaceScale &Scale,
                                          const EnginePoolSettings &Limits,
                                          TimePoint Now) {
  using Rank = std::tuple<bool, bool, bool, std::uint32_t, bool, double>;
  std::shared_ptr<EngineState> best;
  Rank bestRank;
  for (const std::shared_ptr<EngineState> &it : Engines) {
    const UpstreamServer &server = *it->Server;
    WeightVersion has = it->version(Need.Model);
    bool fits = it->Model == Need.Model && has >= Need.MinVersion &&
                (!Need.Exactly || has == *Need.Exactly);
    if (!fits || !hasRoom(*it, Now))
      continue;
    double load = static_cast<double>(it->Running) / server.Entry.Slots;
    std::uint32_t grade =
        Need.Long ? paceGrade(it->Pace, Scale.FastMs, Limits.Pace) : 0;
    Rank rank{server.SuspectUntil > Now,
              isSlow(it->Pace, Scale.UsualMs, Limits.Pace),
              server.Entry.Id == Need.Avoid,
              grade,
              server.Entry.Id != Need.Preferred,
              load};
    if (!best || rank < bestRank) {
      best = it;
      bestRank = rank;
    }
  }
  return best;
}

} // namespace wasabi
