/// \file
/// Assigns engines to models and chooses the engine for a sample, from the
/// dispatcher's view of its engines.
#ifndef WASABI_DISPATCH_ENGINEPOOL_H
#define WASABI_DISPATCH_ENGINEPOOL_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Dispatch/EnginePace.h"
#include "Wasabi/Upstream/UpstreamTable.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wasabi {

/// The dispatcher's view of one engine.
struct DispatchEngine {
  std::shared_ptr<UpstreamServer> Server;
  /// Model that the engine is assigned to; empty if there is none. Only its
  /// weights and those of loans are updated.
  ModelName Model;
  /// Further models that the engine serves for now, see `lendEngines`. True if
  /// the engine may load their weights.
  std::map<ModelName, bool> Loans;
  /// Time at which the engine last had a run, or was first seen.
  TimePoint LastBusy;
  /// Newest known version of the weights of each model.
  std::map<ModelName, WeightVersion> Versions;
  /// Time of the engine's last report of its weights.
  TimePoint LastReported;
  /// Number of samples that this process has in flight on the engine.
  std::uint32_t Running = 0;
  /// Number of those whose item has lost several runs.
  std::uint32_t CarefulRuns = 0;
  /// Number of tokens that its memory holds; 0 if unknown.
  std::uint64_t KvCapacityTokens = 0;
  /// Tokens that its runs are predicted to hold at their ends. Set before an
  /// engine is chosen.
  double PredictedTokens = 0;
  EnginePace Pace;
  /// Weights that this process has asked the engine to load, and the time of
  /// that request. 0 if there is none.
  WeightVersion Wanted = 0;
  ModelName WantedModel;
  TimePoint WantedAt;
  /// The engine has refused a sample and gets no other before this time.
  TimePoint FullUntil;
  /// True while the engine loads weights.
  bool Loading = false;
  /// Minimum time between two samples that are sent to the engine; 0 unless it
  /// is cold.
  Millis SendInterval{0};
  /// Time at which the last sample was sent to the engine.
  TimePoint LastSent;

  /// Returns the version of a model's weights; 0 if unknown.
  WeightVersion version(const ModelName &Name) const {
    auto it = Versions.find(Name);
    return it == Versions.end() ? 0 : it->second;
  }
  /// True if the engine accepts samples of a model.
  bool serves(const ModelName &Name) const {
    return Model == Name || Loans.contains(Name);
  }
  /// Returns all models whose samples the engine accepts, its own first.
  std::vector<ModelName> servedModels() const;
  /// True if the engine is loading weights or has been asked to.
  bool isSwapping() const { return Loading || Wanted > version(WantedModel); }
};

using EngineList = std::vector<std::shared_ptr<DispatchEngine>>;

/// Parameters of the assignment.
struct EnginePoolSettings {
  EnginePaceSettings Pace;
  /// Fraction of the engines that may load weights at the same time. Concurrent
  /// loads slow each other down.
  double MaxLoadingFraction = 0.2;
  /// Number of engines that may always load at the same time.
  std::uint32_t MinLoadingLimit = 2;
  /// Fraction of an engine's memory that its runs may fill at their predicted
  /// ends. The rest is for texts that grow longer than predicted.
  double MaxMemoryFraction = 0.9;
  /// Time without a run after which an engine may load the weights of another
  /// model that has waiting samples. A load takes about a second, discards the
  /// cached prompts, and has to be repeated for the engine's own model.
  Millis IdleLoanDelay{4000};
};

/// Paces of all engines that one engine is compared with, in milliseconds per
/// event; 0 if unknown.
struct PaceBaseline {
  /// Lower median of the recent paces.
  double MedianMs = 0;
  /// Lower quartile of the long-term paces.
  double FastQuartileMs = 0;
  /// Lower median of the long-term paces. Assumed for an engine whose pace is
  /// unknown.
  double LongTermMedianMs = 0;
};

/// Computes the baseline of `Engines`. Pure.
PaceBaseline computePaceBaseline(const EngineList &Engines,
                                 const EnginePoolSettings &Limits);

/// Distributes `Count` engines to the models in proportion to their demand.
/// Each model gets at least two engines if `Count` allows, so that one can
/// serve while the other loads weights, or one if it has no demand. With fewer
/// engines than models the sizes add up to more than `Count`; some models then
/// depend on `lendEngines`. Empty if the total demand is 0.
/// Precondition: `Demand` has an entry for each model. Pure.
std::map<ModelName, std::uint32_t>
poolSizes(const std::map<ModelName, double> &Demand, std::uint32_t Count);

/// Assigns a model to each engine without one. If `MayMove` is set and nothing
/// was assigned, moves at most one engine from a model with too many engines to
/// one with too few. `Named` holds the newest named version of each model.
/// Returns true if an assignment changed.
bool assignModels(EngineList &Engines,
                  const std::map<ModelName, std::uint32_t> &Sizes,
                  const std::map<ModelName, WeightVersion> &Named,
                  bool MayMove);

/// Returns true if the engine fails repeatedly, so that no sample should depend
/// on it. After a single failure it is tried again soon. Pure.
bool isFailing(const DispatchEngine &Engine, TimePoint Now);

/// The samples of one model that are waiting for an engine. A value.
struct ModelWork {
  std::uint32_t Waiting = 0;
  /// Oldest version that any of them allows; 0 if none is waiting.
  WeightVersion MinVersion = 0;
  bool operator==(const ModelWork &) const = default;
};

/// Updates which engines of a service serve further models. `Work` has an entry
/// for each model of the service with unfinished samples or recent demand.
///
/// Assignments follow the demand of some seconds and give each model an engine
/// only if there are enough. So a model may have samples that none of its
/// engines can start, since it has no engine, or they are full, loading, slow
/// or failing. It then gets one more engine per call:
/// - an idle one that has the weights, at no cost;
/// - one that has been idle for `IdleLoanDelay`, which loads them;
/// - if no engine of its own is able to serve it, the least busy one, whose
///   slots are then shared by its models.
/// A loan ends when the model has no work, when the engine's own model needs an
/// engine that the other model can do without, or when the engine's weights are
/// too old for it and may not be updated. Returns the engines whose loans
/// changed.
EngineList lendEngines(const EngineList &Engines,
                       const std::map<ModelName, ModelWork> &Work,
                       const PaceBaseline &Baseline,
                       const EnginePoolSettings &Limits, TimePoint Now);

/// Requirements and preferences of a sample.
struct EngineRequirements {
  ModelName Model;
  /// Services of the sample's route; empty to allow any.
  std::optional<std::vector<ServiceName>> Services;
  WeightVersion MinVersion = 0;
  /// Set if the text must be continued with this version.
  std::optional<WeightVersion> ExactVersion;
  /// Engine that has the group's prompt cached, if any.
  ServerIncarnation Preferred;
  /// Engine on which the sample has just failed, if any.
  ServerIncarnation Avoid;
  /// True if the text is long, so that its step is likely to wait for it. A
  /// fast engine is then preferred to the one that has the prompt cached: a
  /// prompt of 1,000 tokens is read in 2 ms, whereas a hundred events take two
  /// seconds more on an engine of the next tier.
  bool IsLong = false;
  /// Tokens that the sample is predicted to hold at its end: prompt and output.
  double Tokens = 0;
  /// True if the last slot of an engine of the fastest tier is left to a long
  /// text.
  bool LeaveLastFastSlot = false;
};

/// Returns true if the engine can accept one more sample of its model.
bool hasRoom(const DispatchEngine &Engine, TimePoint Now);

/// Returns true if the engine's memory holds its runs and one that needs
/// `Tokens`, at their predicted ends. Otherwise the engine would have to
/// preempt a run. An engine without runs accepts any sample. Pure.
bool fitsMemory(const DispatchEngine &Engine, double Tokens,
                const EnginePoolSettings &Limits);

/// Returns by how many tiers the engine is slower than the fastest quarter.
/// Pure.
std::uint32_t paceTier(const DispatchEngine &Engine,
                       const PaceBaseline &Baseline,
                       const EnginePoolSettings &Limits);

/// Returns the best engine for a sample; null if no engine fits and has room.
std::shared_ptr<DispatchEngine> chooseEngine(const EngineList &Engines,
                                             const EngineRequirements &Need,
                                             const PaceBaseline &Baseline,
                                             const EnginePoolSettings &Limits,
                                             TimePoint Now);

} // namespace wasabi

#endif // WASABI_DISPATCH_ENGINEPOOL_H
