/// \file
/// What dispatchers and the processes beside engines tell each other through
/// the store: which weights an engine should hold, and which it holds.
#ifndef WASABI_DISPATCH_ENGINETOPICS_H
#define WASABI_DISPATCH_ENGINETOPICS_H

#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Ports/EnginePort.h"
#include "Wasabi/Upstream/Feed.h"

#include <string>
#include <string_view>

namespace wasabi {

/// Keyed by server: the weights it should hold. The newest record counts,
/// whoever wrote it.
inline constexpr const char *WantedTopic = "keyed.wanted";
/// Keyed by server: the weights it holds, as the process beside it saw them.
inline constexpr const char *HeldTopic = "keyed.held";

/// An order to come. An immutable value.
struct WantedWeights {
  ModelName Model;
  WeightVersion Version = 0;
  SwapMode Mode = SwapMode::Continue;
  /// Of which start of the server it is wanted; 0 if that is not known.
  ServerStartTime Start = 0;
  bool operator==(const WantedWeights &) const = default;
};

/// What an engine holds. An immutable value.
struct HeldWeights {
  std::map<ModelName, WeightVersion> Models;
  /// Whether it is taking others now.
  bool Loading = false;
  /// The start of the server that held them; 0 if that is not known.
  ServerStartTime Start = 0;
  bool operator==(const HeldWeights &) const = default;
};

/// Whether what is known of one start of a server speaks for another. Where a
/// start is not known, the server's name has to do. Pure.
inline bool mayBeSameStart(ServerStartTime Left, ServerStartTime Right) {
  return Left == 0 || Right == 0 || Left == Right;
}

/// The text of a record. Thread-safe.
std::string encodeWanted(const WantedWeights &What);
std::string encodeHeld(const HeldWeights &What);

/// The reverse. Errors: `BadInput` at `Place`. Thread-safe.
Result<WantedWeights> decodeWanted(std::string_view Text,
                                   const std::string &Place);
Result<HeldWeights> decodeHeld(std::string_view Text, const std::string &Place);

/// Calls `Take` for each change of what is wanted of a server.
std::shared_ptr<KeyedFollower> followWanted(
    const FeedContext &Parts,
    std::function<void(const ServerName &, WantedWeights, Offset)> Take);

/// Calls `Take` for each change of what a server holds.
std::shared_ptr<KeyedFollower>
followHeld(const FeedContext &Parts,
           std::function<void(const ServerName &, const HeldWeights &)> Take);

} // namespace wasabi

#endif // WASABI_DISPATCH_ENGINETOPICS_H
