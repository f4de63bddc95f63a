/// \file
/// Follows the keyed topics that update a process's view of the deployment.
#ifndef WASABI_UPSTREAM_FEED_H
#define WASABI_UPSTREAM_FEED_H

#include "Wasabi/Adapters/Telemetry/DecisionLog.h"
#include "Wasabi/Upstream/FleetView.h"
#include "Wasabi/Upstream/KeyedFollower.h"

#include <functional>
#include <memory>
#include <string>

namespace wasabi {

/// Maximum number of bytes of untrusted text that a log line contains.
inline constexpr std::size_t MaxLoggedTextBytes = 200;

/// Dependencies shared by the feeds of one process.
struct FeedContext {
  boost::asio::any_io_executor Executor;
  RecordStore Store;
  std::shared_ptr<DecisionLog> Decisions;
  /// Must outlive the feeds.
  FleetView &View;
};

/// Starts following `Topic` and updates `View.Contact` with each read. Calls
/// `Apply` for each changed record; if it fails, the error is logged and the
/// record is skipped. Calls `OnBatch`, if set, after the changed records of one
/// read. Must be called on the executor's thread.
std::shared_ptr<KeyedFollower>
startFeed(const FeedContext &Context, std::string Topic, Millis PollDelay,
          std::function<Result<void>(const KeyedRecord &)> Apply,
          std::function<void()> OnBatch = nullptr);

} // namespace wasabi

#endif // WASABI_UPSTREAM_FEED_H
