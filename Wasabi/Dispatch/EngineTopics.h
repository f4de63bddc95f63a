/// \file
/// Topics of the store through which dispatchers request weight loads and
/// sidecars report the weights that their engines hold.
#ifndef WASABI_DISPATCH_ENGINETOPICS_H
#define WASABI_DISPATCH_ENGINETOPICS_H

#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Ports/EnginePort.h"
#include "Wasabi/Upstream/Feed.h"

#include <string>
#include <string_view>

namespace wasabi {

/// Topic of the weights that each server should hold, keyed by server. The
/// newest record is in force, regardless of its writer.
inline constexpr const char *WantedTopic = "keyed.wanted";
/// Topic of the weights that each server holds, keyed by server and written by
/// its sidecar.
inline constexpr const char *HeldTopic = "keyed.held";

/// Weights that an engine should load. An immutable value.
struct WantedWeights {
  ModelName Model;
  WeightVersion Version = 0;
  SwapMode Mode = SwapMode::Continue;
  /// Start of the server that should load them; 0 if unknown.
  ServerStartTime Start = 0;
  bool operator==(const WantedWeights &) const = default;
};

/// Weights that an engine holds. An immutable value.
struct HeldWeights {
  std::map<ModelName, WeightVersion> Models;
  /// True while the engine loads other weights.
  bool Loading = false;
  /// Start of the server that holds them; 0 if unknown.
  ServerStartTime Start = 0;
  bool operator==(const HeldWeights &) const = default;
};

/// Returns true if both starts of a server are equal or either is unknown.
/// Pure.
inline bool mayBeSameStart(ServerStartTime Left, ServerStartTime Right) {
  return Left == 0 || Right == 0 || Left == Right;
}

/// Returns the text of a record. Thread-safe.
std::string encodeWanted(const WantedWeights &Weights);
std::string encodeHeld(const HeldWeights &Weights);

/// Decodes the text of a record. Errors: `BadInput` at `Place`. Thread-safe.
Result<WantedWeights> decodeWanted(std::string_view Text,
                                   const std::string &Place);
Result<HeldWeights> decodeHeld(std::string_view Text, const std::string &Place);

/// Follows `WantedTopic` and calls `OnChange` with each record and its offset.
std::shared_ptr<KeyedFollower> followWanted(
    const FeedContext &Parts,
    std::function<void(const ServerName &, WantedWeights, Offset)> OnChange);

/// Follows `HeldTopic` and calls `OnChange` with each record.
std::shared_ptr<KeyedFollower> followHeld(
    const FeedContext &Parts,
    std::function<void(const ServerName &, const HeldWeights &)> OnChange);

} // namespace wasabi

#endif // WASABI_DISPATCH_ENGINETOPICS_H
