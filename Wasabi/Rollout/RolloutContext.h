/// \file
/// State shared by the owners of trainers and of weight rollouts: the executor,
/// the ports and the engines' loads.
#ifndef WASABI_ROLLOUT_ROLLOUTCONTEXT_H
#define WASABI_ROLLOUT_ROLLOUTCONTEXT_H

#include "Wasabi/Adapters/Frames/RequestClient.h"
#include "Wasabi/Adapters/Http/HttpClient.h"
#include "Wasabi/Node/ControlPlane.h"
#include "Wasabi/Ports/LogPort.h"
#include "Wasabi/Ports/ScorerPort.h"
#include "Wasabi/Ports/WeightStorePort.h"
#include "Wasabi/Rollout/Engines.h"
#include "Wasabi/Rollout/LoadReports.h"
#include "Wasabi/Rollout/RolloutService.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace wasabi {

/// Posts the callbacks of other threads to the rollout thread until it is
/// closed. Thread-safe.
class GuardedExecutor {
public:
  explicit GuardedExecutor(boost::asio::any_io_executor Executor)
      : Executor(std::move(Executor)) {}
  /// Runs `Work` on the rollout thread, or drops it after `close`.
  void post(std::function<void()> Work);
  /// Drops all work that is posted from now on.
  void close();

private:
  std::mutex Guard;
  bool Open = true;
  const boost::asio::any_io_executor Executor;
};

/// Shared by all owners of a process. Used on the rollout thread only.
struct RolloutContext {
  RolloutService::Settings Setup;
  ControlPlane &Control;
  Timeline &Events;
  boost::asio::any_io_executor Executor;
  std::shared_ptr<GuardedExecutor> Gate;
  std::shared_ptr<http::Client> Http;
  std::shared_ptr<RequestClient> Requests;
  LogPort Log;
  ScorerPort Scorer;
  WeightStorePort Weights;
  LoadReports Loads;
  /// Next sequence number of the records that this process appends to trainers'
  /// streams.
  std::uint64_t NextSequence = 1;
};

/// Returns the engines of a service whose daemons accept work, with their
/// loads. Opens connections to the daemons that do not report. Not thread-safe.
std::vector<ReportedEngine> findServiceEngines(RolloutContext &Context,
                                               const ServiceName &Service);

/// Suspends the calling coroutine.
boost::asio::awaitable<void> pause(Millis Duration);

} // namespace wasabi

#endif // WASABI_ROLLOUT_ROLLOUTCONTEXT_H
