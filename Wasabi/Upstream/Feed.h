/// \file
/// Keyed topics that change what a process believes of the deployment.
#ifndef WASABI_UPSTREAM_FEED_H
#define WASABI_UPSTREAM_FEED_H

#include "Wasabi/Adapters/Telemetry/DecisionLog.h"
#include "Wasabi/Upstream/FleetView.h"
#include "Wasabi/Upstream/KeyedFollower.h"

#include <functional>
#include <memory>
#include <string>

namespace wasabi {

/// Most bytes of a foreign text that a log line repeats.
inline constexpr std::size_t MaxLoggedTextBytes = 200;

/// What the feeds of one process share.
struct FeedContext {
  boost::asio::any_io_executor Executor;
  RecordStore Store;
  std::shared_ptr<DecisionLog> Decisions;
  /// Outlives the feeds.
  FleetView &View;
};

/// Follows `Topic` and keeps `View.Contact`. `Take` gets each change; its
/// failures are logged and the record is left out. Call on the executor's
/// thread.
std::shared_ptr<KeyedFollower>
startFeed(const FeedContext &Parts, std::string Topic, Millis PollDelay,
          std::function<Result<void>(const KeyedRecord &)> Take);

} // namespace wasabi

#endif // WASABI_UPSTREAM_FEED_H
