/// \file
/// Which engine serves which model, and which one takes the next sample. Pure
/// decisions over what the dispatcher believes of its engines.
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

/// One engine as the dispatcher sees it.
struct DispatchEngine {
  std::shared_ptr<UpstreamServer> Server;
  /// The model that it serves; its weights of other models stay as they are.
  ModelName Model;
  /// Freshest known weights.
  std::map<ModelName, WeightVersion> Versions;
  /// When the engine itself last told its weights.
  TimePoint LastReported;
  /// Samples of this process at it.
  std::uint32_t Running = 0;
  EnginePace Pace;
  /// The weights that this process wants of it and has not seen there yet, and
  /// when it said so.
  WeightVersion Wanted = 0;
  TimePoint WantedAt;
  /// It has refused a sample a moment ago, and gets none before this.
  TimePoint FullUntil;
  /// Whether the engine is taking new weights now.
  bool Loading = false;

  WeightVersion version(const ModelName &Of) const {
    auto it = Versions.find(Of);
    return it == Versions.end() ? 0 : it->second;
  }
  /// Whether it is on its way to other weights.
  bool isSwapping() const { return Loading || Wanted > version(Model); }
};

using EngineList = std::vector<std::shared_ptr<DispatchEngine>>;

/// How choices are made.
struct EnginePoolSettings {
  EnginePaceSettings Pace;
  /// Part of the engines that may take new weights at once: more slow each
  /// other down.
  double MaxLoadingFraction = 0.2;
  /// At least this many may.
  std::uint32_t MinLoadingLimit = 2;
};

/// What the paces of all engines say of one, in milliseconds an event; 0 where
/// nothing is known.
struct PaceBaseline {
  /// The lower median of the recent paces.
  double MedianMs = 0;
  /// A fourth of the engines are as fast as this or faster.
  double FastQuartileMs = 0;
};

/// The scale of `Engines`. Pure.
PaceBaseline computePaceBaseline(const EngineList &Engines,
                                 const EnginePoolSettings &Limits);

/// How many engines each model should have, of `Count` in all, by the models'
/// demand. Each model with demand gets two at least, where there are so many:
/// one serves while the other takes new weights. Preconditions: `Demand` has an
/// entry a model.
std::map<ModelName, std::uint32_t>
poolSizes(const std::map<ModelName, double> &Demand, std::uint32_t Count);

/// Gives each engine without a model one, and moves at most one that has one
/// from a model with one too many to a model with one too few. Returns whether
/// anything changed. `Named` is the newest version of each model.
bool assignModels(EngineList &Engines,
                  const std::map<ModelName, std::uint32_t> &Sizes,
                  const std::map<ModelName, WeightVersion> &Named,
                  bool MayMove);

/// What a sample needs of an engine.
struct EngineRequirements {
  ModelName Model;
  WeightVersion MinVersion = 0;
  /// Set when the text must go on under this version.
  std::optional<WeightVersion> ExactVersion;
  /// The engine that has the group's prompt, if any.
  ServerIncarnation Preferred;
  /// The engine that has just failed the sample, if any.
  ServerIncarnation Avoid;
  /// Whether its text is likely to be one that its step waits for: it gets the
  /// fastest engine that has room, before the one that has its prompt. Reading
  /// a prompt of 1,000 tokens takes 2 ms, a hundred events on an engine of the
  /// next grade two seconds more.
  bool IsLong = false;
};

/// Whether an engine takes one more sample of its model.
bool hasRoom(const DispatchEngine &Engine, TimePoint Now);

/// The engine for one more sample, null if none has room.
std::shared_ptr<DispatchEngine> chooseEngine(const EngineList &Engines,
                                             const EngineRequirements &Need,
                                             const PaceBaseline &Scale,
                                             const EnginePoolSettings &Limits,
                                             TimePoint Now);

} // namespace wasabi

#endif // WASABI_DISPATCH_ENGINEPOOL_H
