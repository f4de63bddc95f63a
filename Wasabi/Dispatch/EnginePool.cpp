#include "Wasabi/Dispatch/EnginePool.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace wasabi {

namespace {

/// Returns the quantile `Fraction` in [0, 1] of `Values`; 0 if there are none.
double quantile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  auto nth =
      Values.begin() + static_cast<std::ptrdiff_t>(
                           static_cast<double>(Values.size() - 1) * Fraction);
  std::nth_element(Values.begin(), nth, Values.end());
  return *nth;
}

} // namespace

std::vector<ModelName> DispatchEngine::servedModels() const {
  std::vector<ModelName> models;
  if (!Model.empty())
    models.push_back(Model);
  for (const auto &[model, mayLoad] : Loans)
    models.push_back(model);
  return models;
}

PaceBaseline computePaceBaseline(const EngineList &Engines,
                                 const EnginePoolSettings &Limits) {
  constexpr double Median = 0.5;
  constexpr double Quarter = 0.25;
  std::vector<double> recent;
  std::vector<double> longTerm;
  for (const std::shared_ptr<DispatchEngine> &it : Engines) {
    if (it->Pace.RecentMs > 0)
      recent.push_back(it->Pace.RecentMs);
    if (longTermMs(it->Pace, Limits.Pace) > 0)
      longTerm.push_back(longTermMs(it->Pace, Limits.Pace));
  }
  double longTermMedianMs = quantile(longTerm, Median);
  return PaceBaseline{quantile(std::move(recent), Median),
                      quantile(std::move(longTerm), Quarter), longTermMedianMs};
}

std::map<ModelName, std::uint32_t>
poolSizes(const std::map<ModelName, double> &Demand, std::uint32_t Count) {
  std::map<ModelName, std::uint32_t> sizes;
  double total = 0;
  for (const auto &[model, demand] : Demand)
    total += demand;
  if (total <= 0)
    return sizes;
  std::uint32_t assigned = 0;
  std::uint32_t minSize = Count >= 2 * Demand.size() ? 2 : 1;
  for (const auto &[model, demand] : Demand) {
    auto share = static_cast<std::uint32_t>(demand / total * Count);
    sizes[model] = std::max(share, demand > 0 ? minSize : 1);
    assigned += sizes[model];
  }
  // Minimum sizes may exceed the total: shrink the largest pools.
  while (assigned > Count) {
    auto largest = std::max_element(sizes.begin(), sizes.end(),
                                    [](const auto &Left, const auto &Right) {
                                      return Left.second < Right.second;
                                    });
    if (largest->second <= 1)
      break;
    --largest->second;
    --assigned;
  }
  // Distribute the remainder of rounding to the pools furthest below their
  // share.
  while (assigned < Count) {
    auto neediest = std::max_element(
        Demand.begin(), Demand.end(), [&](const auto &Left, const auto &Right) {
          return Left.second / total * Count - sizes[Left.first] <
                 Right.second / total * Count - sizes[Right.first];
        });
    ++sizes[neediest->first];
    ++assigned;
  }
  return sizes;
}

namespace {

/// The model that an engine has served recently, judged by its weights.
struct ServedModel {
  ModelName Model;
  /// Number of versions by which its weights are closer to the newest ones than
  /// those of any other model.
  WeightVersion Lead = 0;
};

/// Returns the model whose weights on the engine are closest to the newest
/// ones; empty if there is no unique one. A model without a named version lags
/// by 0.
std::optional<ServedModel>
findServedModel(const DispatchEngine &Engine,
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

/// Number of engines that each model lacks; negative if it has too many.
struct PoolShortage {
  std::map<ModelName, int> ByModel;

  std::optional<ModelName> findNeediest() const {
    auto it = std::max_element(ByModel.begin(), ByModel.end(),
                               [](const auto &Left, const auto &Right) {
                                 return Left.second < Right.second;
                               });
    if (it == ByModel.end())
      return std::nullopt;
    return it->first;
  }
};

PoolShortage computeShortage(const EngineList &Engines,
                             const std::map<ModelName, std::uint32_t> &Sizes) {
  PoolShortage shortage;
  for (const auto &[model, size] : Sizes)
    shortage.ByModel[model] = static_cast<int>(size);
  for (const std::shared_ptr<DispatchEngine> &it : Engines) {
    if (!it->Model.empty())
      --shortage.ByModel[it->Model];
  }
  return shortage;
}

/// Moves the least busy engine of an oversized pool to the neediest model.
bool moveEngine(EngineList &Engines, const PoolShortage &Shortage) {
  std::optional<ModelName> neediest = Shortage.findNeediest();
  if (!neediest || Shortage.ByModel.at(*neediest) < 1)
    return false;
  std::shared_ptr<DispatchEngine> best;
  for (const std::shared_ptr<DispatchEngine> &it : Engines) {
    auto missing = Shortage.ByModel.find(it->Model);
    if (missing == Shortage.ByModel.end() || missing->second > -1 ||
        it->isSwapping())
      continue;
    if (!best || it->Running < best->Running)
      best = it;
  }
  if (!best)
    return false;
  best->Model = *neediest;
  best->Loans.erase(*neediest);
  best->Wanted = 0;
  return true;
}

} // namespace

namespace {

/// Assigns engines without a model to the one that they served, up to the size
/// of its pool, engines with the greatest lead first. The limit matters when a
/// version has just been named: all engines lag and would go to other models.
bool restoreServed(EngineList &Engines,
                   const std::map<ModelName, std::uint32_t> &Sizes,
                   const std::map<ModelName, WeightVersion> &Named) {
  std::vector<std::pair<ServedModel, std::shared_ptr<DispatchEngine>>>
      candidates;
  for (const std::shared_ptr<DispatchEngine> &it : Engines) {
    std::optional<ServedModel> served = findServedModel(*it, Sizes, Named);
    if (it->Model.empty() && served)
      candidates.emplace_back(*served, it);
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first.Lead > Right.first.Lead;
                   });
  PoolShortage shortage = computeShortage(Engines, Sizes);
  bool changed = false;
  for (const auto &[served, engine] : candidates) {
    int &missing = shortage.ByModel[served.Model];
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
  bool changed = restoreServed(Engines, Sizes, Named);
  for (const std::shared_ptr<DispatchEngine> &it : Engines) {
    if (!it->Model.empty())
      continue;
    std::optional<ModelName> neediest =
        computeShortage(Engines, Sizes).findNeediest();
    if (!neediest)
      return changed;
    it->Model = *neediest;
    changed = true;
  }
  if (MayMove && !changed)
    changed = moveEngine(Engines, computeShortage(Engines, Sizes));
  return changed;
}

bool isFailing(const DispatchEngine &Engine, TimePoint Now) {
  return Engine.Server->SuspectUntil > Now && Engine.Server->Failures > 1;
}

namespace {

bool isAble(const DispatchEngine &Engine, TimePoint Now) {
  return !Engine.Server->Replaced && !isFailing(Engine, Now);
}

bool hasWeights(const DispatchEngine &Engine, const ModelName &Model,
                const ModelWork &Work) {
  return Engine.version(Model) >= Work.MinVersion;
}

/// Returns true if the engine could start a waiting sample of the model now if
/// it served the model.
bool canStart(const DispatchEngine &Engine, const ModelName &Model,
              const ModelWork &Work, const PaceBaseline &Baseline,
              const EnginePoolSettings &Limits, TimePoint Now) {
  return Engine.Server->SuspectUntil <= Now &&
         !isSlow(Engine.Pace, Baseline.MedianMs, Limits.Pace) &&
         hasWeights(Engine, Model, Work) && hasRoom(Engine, Now);
}

std::uint32_t countWaiting(const std::map<ModelName, ModelWork> &Work,
                           const ModelName &Model) {
  auto it = Work.find(Model);
  return it == Work.end() ? 0 : it->second.Waiting;
}

/// Returns true if the engine has no run, and no sample of a model that it
/// serves is waiting.
bool isIdle(const DispatchEngine &Engine,
            const std::map<ModelName, ModelWork> &Work) {
  if (Engine.Running > 0 || countWaiting(Work, Engine.Model) > 0)
    return false;
  return std::none_of(
      Engine.Loans.begin(), Engine.Loans.end(),
      [&Work](const auto &It) { return countWaiting(Work, It.first) > 0; });
}

/// Returns true if an engine that is assigned to the model is able to serve it.
bool hasAbleEngine(const EngineList &Engines, const ModelName &Model,
                   TimePoint Now) {
  return std::any_of(Engines.begin(), Engines.end(),
                     [&](const std::shared_ptr<DispatchEngine> &It) {
                       return It->Model == Model && isAble(*It, Now);
                     });
}

/// Returns true if a loan goes on. Updates whether the engine may load the
/// model's weights.
bool renewLoan(const DispatchEngine &Engine, const ModelName &Model,
               bool &MayLoad, const EngineList &Engines,
               const std::map<ModelName, ModelWork> &Work, TimePoint Now) {
  auto work = Work.find(Model);
  // The engine may have been assigned to the model meanwhile.
  if (work == Work.end() || Engine.Model == Model)
    return false;
  if (!hasAbleEngine(Engines, Model, Now)) {
    MayLoad = true;
    return true;
  }
  bool isOutdated = !MayLoad && work->second.Waiting > 0 &&
                    !hasWeights(Engine, Model, work->second);
  return !isOutdated && countWaiting(Work, Engine.Model) == 0;
}

/// Ends loans and returns the engines whose loans have ended.
EngineList endLoans(const EngineList &Engines,
                    const std::map<ModelName, ModelWork> &Work, TimePoint Now) {
  EngineList changed;
  for (const std::shared_ptr<DispatchEngine> &engine : Engines) {
    std::size_t before = engine->Loans.size();
    for (auto it = engine->Loans.begin(); it != engine->Loans.end();) {
      bool goesOn =
          renewLoan(*engine, it->first, it->second, Engines, Work, Now);
      it = goesOn ? std::next(it) : engine->Loans.erase(it);
    }
    if (engine->Loans.size() < before)
      changed.push_back(engine);
  }
  return changed;
}

/// Returns the engine to lend to a model; null if there is none. If `IsOwed` is
/// false, only idle engines are considered.
std::shared_ptr<DispatchEngine>
findLender(const EngineList &Engines, const ModelName &Model,
           const std::map<ModelName, ModelWork> &Work, bool IsOwed,
           const PaceBaseline &Baseline, const EnginePoolSettings &Limits,
           TimePoint Now) {
  const ModelWork &work = Work.at(Model);
  using Rank = std::tuple<bool, bool, bool, double>;
  std::shared_ptr<DispatchEngine> best;
  Rank bestRank;
  for (const std::shared_ptr<DispatchEngine> &it : Engines) {
    if (it->serves(Model) || !isAble(*it, Now))
      continue;
    bool startsNow = canStart(*it, Model, work, Baseline, Limits, Now);
    bool idle = isIdle(*it, Work);
    bool mayLoad = Now - it->LastBusy >= Limits.IdleLoanDelay;
    if (!IsOwed && !(idle && (startsNow || mayLoad)))
      continue;
    Rank rank{!startsNow, !idle, !hasWeights(*it, Model, work),
              static_cast<double>(it->Running) / it->Server->Entry.Slots};
    if (!best || rank < bestRank) {
      best = it;
      bestRank = rank;
    }
  }
  return best;
}

} // namespace

EngineList lendEngines(const EngineList &Engines,
                       const std::map<ModelName, ModelWork> &Work,
                       const PaceBaseline &Baseline,
                       const EnginePoolSettings &Limits, TimePoint Now) {
  EngineList changed = endLoans(Engines, Work, Now);
  for (const auto &[model, work] : Work) {
    if (work.Waiting == 0)
      continue;
    bool canStartNow = false;
    bool isLent = false;
    for (const std::shared_ptr<DispatchEngine> &it : Engines) {
      canStartNow |= it->serves(model) &&
                     canStart(*it, model, work, Baseline, Limits, Now);
      isLent |= it->Loans.contains(model) && isAble(*it, Now);
    }
    if (canStartNow)
      continue;
    bool isOwed = !isLent && !hasAbleEngine(Engines, model, Now);
    std::shared_ptr<DispatchEngine> lender =
        findLender(Engines, model, Work, isOwed, Baseline, Limits, Now);
    if (!lender)
      continue;
    lender->Loans[model] = !hasWeights(*lender, model, work) ||
                           !hasAbleEngine(Engines, model, Now);
    changed.push_back(std::move(lender));
  }
  return changed;
}

bool hasRoom(const DispatchEngine &Engine, TimePoint Now) {
  bool isPaused = Engine.SendInterval > Millis(0) &&
                  Now - Engine.LastSent < Engine.SendInterval;
  return !Engine.Loading && Engine.FullUntil <= Now && !isPaused &&
         !Engine.Server->Replaced &&
         Engine.Running < Engine.Server->Entry.Slots;
}

bool fitsMemory(const DispatchEngine &Engine, double Tokens,
                const EnginePoolSettings &Limits) {
  return Engine.KvCapacityTokens == 0 || Engine.Running == 0 ||
         Engine.PredictedTokens + Tokens <=
             Limits.MaxMemoryFraction *
                 static_cast<double>(Engine.KvCapacityTokens);
}

std::uint32_t paceTier(const DispatchEngine &Engine,
                       const PaceBaseline &Baseline,
                       const EnginePoolSettings &Limits) {
  EnginePace pace = Engine.Pace;
  if (longTermMs(pace, Limits.Pace) <= 0) {
    pace.LongTermMs = Baseline.LongTermMedianMs;
    pace.Count = Limits.Pace.MinEventCount;
  }
  return paceTier(pace, Baseline.FastQuartileMs, Limits.Pace);
}

namespace {

bool isAllowed(const EngineRequirements &Need, const ServiceName &Service) {
  return !Need.Services ||
         std::find(Need.Services->begin(), Need.Services->end(), Service) !=
             Need.Services->end();
}

} // namespace

std::shared_ptr<DispatchEngine> chooseEngine(const EngineList &Engines,
                                             const EngineRequirements &Need,
                                             const PaceBaseline &Baseline,
                                             const EnginePoolSettings &Limits,
                                             TimePoint Now) {
  using Rank = std::tuple<bool, bool, bool, std::uint32_t, bool, double>;
  std::shared_ptr<DispatchEngine> best;
  Rank bestRank;
  for (const std::shared_ptr<DispatchEngine> &it : Engines) {
    const UpstreamServer &server = *it->Server;
    WeightVersion has = it->version(Need.Model);
    bool isSuitable = it->serves(Need.Model) &&
                      isAllowed(Need, server.Entry.Service) &&
                      has >= Need.MinVersion &&
                      (!Need.ExactVersion || has == *Need.ExactVersion);
    if (!isSuitable || !hasRoom(*it, Now) ||
        !fitsMemory(*it, Need.Tokens, Limits))
      continue;
    double load = static_cast<double>(it->Running) / server.Entry.Slots;
    std::uint32_t tier = paceTier(*it, Baseline, Limits);
    if (Need.LeaveLastFastSlot && tier == 0 &&
        it->Running + 1 >= server.Entry.Slots)
      continue;
    Rank rank{server.SuspectUntil > Now,
              isSlow(it->Pace, Baseline.MedianMs, Limits.Pace),
              server.Entry.incarnation() == Need.Avoid,
              Need.IsLong ? tier : 0,
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
