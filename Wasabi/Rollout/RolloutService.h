/// \file
/// Runs the steps of trainers and the weight rollouts of models whose claims
/// this process holds, on a separate thread. Any daemon can take over a claim.
#ifndef WASABI_ROLLOUT_ROLLOUTSERVICE_H
#define WASABI_ROLLOUT_ROLLOUTSERVICE_H

#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Timeline.h"
#include "Wasabi/Core/Verdict.h"

#include <functional>
#include <memory>
#include <string>

namespace wasabi {

class ControlPlane;

class RolloutService {
public:
  struct Settings {
    InstanceName Instance;
    DomainName Domain;
    Incarnation Life = 0;
    /// Addresses of the platform's services.
    Address Log;
    Address Weights;
    Address Scorer;
    std::uint64_t Seed = 1;
    /// For benchmarks: chooses engines round robin instead of by expected
    /// finish.
    bool RoundRobin = false;
  };

  /// Starts the thread. `Control` and `Events` must outlive the service.
  /// Errors: `BadInput` if an address is empty.
  static Result<std::unique_ptr<RolloutService>>
  create(const Settings &Setup, ControlPlane &Control, Timeline &Events);
  /// Stops the thread immediately.
  virtual ~RolloutService() = default;
  /// Starts no new work, waits a limited time for commits and deliveries in
  /// flight, withdraws the claims and calls `Callback` on the rollout thread.
  /// Thread-safe.
  virtual void shutDown(std::function<void()> Callback) = 0;
  /// Returns a JSON object for `/status` with the owned trainers and weight
  /// rollouts.
  virtual std::string statusJson() const = 0;
};

} // namespace wasabi

#endif // WASABI_ROLLOUT_ROLLOUTSERVICE_H
