/// \file
/// The rollout duty of a daemon, on a thread of its own: owns the steps of the
/// trainers, and the weight rollouts of the models, whose claims this process
/// holds. Any daemon may own any of them, and loses it without harm.
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
    /// The platform's services.
    Address Log;
    Address Weights;
    Address Scorer;
    std::uint64_t Seed = 1;
    /// For measurements: engines by turns in place of the expected finish.
    bool RoundRobin = false;
  };

  /// Starts the thread. `Control` and `Events` must outlive the duty.
  static Result<std::unique_ptr<RolloutService>>
  create(const Settings &Setup, ControlPlane &Control, Timeline &Events);
  /// Stops the thread at once.
  virtual ~RolloutService() = default;
  /// Graceful: takes no new work, finishes commits and deliveries at hand,
  /// gives its claims up, and calls back. Thread-safe.
  virtual void shutDown(std::function<void()> Callback) = 0;
  /// A JSON object for `/status`: trainers owned, steps, versions ordered.
  virtual std::string statusJson() const = 0;
};

} // namespace wasabi

#endif // WASABI_ROLLOUT_ROLLOUTSERVICE_H
