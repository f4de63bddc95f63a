/// \file
/// What the owners of trainers and of weight rollouts share: the duty's thread,
/// its ports, and what it sees of the engines.
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

/// Lets other threads' answers onto the duty's thread while that is there.
/// Thread-safe.
class GuardedExecutor {
public:
  explicit GuardedExecutor(boost::asio::any_io_executor Executor)
      : Executor(std::move(Executor)) {}
  /// Runs `Work` on the duty's thread, or drops it once the duty has ended.
  void post(std::function<void()> Work);
  /// Nothing is let through any more.
  void close();

private:
  std::mutex Guard;
  bool Open = true;
  const boost::asio::any_io_executor Executor;
};

/// Shared by all owners of one duty; used on the duty's thread only.
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
  /// Counts the records that this process appends to trainers' streams.
  std::uint64_t NextSequence = 1;
};

/// Engines of a service behind daemons that take work, with their loads. The
/// connections to daemons that do not report are prepared. Not thread-safe.
std::vector<ReportedEngine> findServiceEngines(RolloutContext &Of,
                                               const ServiceName &Service);

/// Waits on the duty's thread.
boost::asio::awaitable<void> pause(Millis HowLong);

} // namespace wasabi

#endif // WASABI_ROLLOUT_ROLLOUTCONTEXT_H
