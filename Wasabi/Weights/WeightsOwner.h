/// \file
/// Drives the weight rollout of one model while it owns the model's claim.
#ifndef WASABI_WEIGHTS_WEIGHTSOWNER_H
#define WASABI_WEIGHTS_WEIGHTSOWNER_H

#include "Wasabi/Rollout/RolloutContext.h"
#include "Wasabi/Weights/SwapPlan.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace wasabi {

/// Returns the name of the claimed resource for a model's weights. Pure.
std::string weightsResource(const ModelName &Model);

/// Polls the store for new versions and sends orders in waves until each engine
/// reports the newest version. Not thread-safe: use it on the duty's thread.
class WeightsOwner : public std::enable_shared_from_this<WeightsOwner> {
public:
  struct Settings {
    ModelName Model;
    FencingToken Fence = 0;
    Millis TickInterval{100};
    Millis PollTimeout{5000};
    Millis PollRetryDelay{500};
    /// Time limit of a swap, including its fetch.
    Millis OrderTimeout{60000};
  };

  static std::shared_ptr<WeightsOwner> create(RolloutContext &Context,
                                              Settings Setup);
  void start();
  void stop() { Stopped = true; }
  FencingToken fence() const { return Setup.Fence; }
  /// Returns true if this owner holds the claim according to the records read
  /// so far. Orders continue past the claim's term: during an outage of the log
  /// no other process can take the claim, and daemons and engines reject
  /// tokens smaller than one they have seen.
  bool ownsClaim() const;
  /// Returns the status as a JSON object.
  std::string statusJson() const;

private:
  WeightsOwner(RolloutContext &Context, Settings Setup);
  std::vector<SwapTarget> collectTargets() const;
  void sendPlanned();
  void sendOrder(const SwapOrder &Swap);
  void onAnswer(const SwapOrder &Swap, const Outcome<OrderAnswer> &Answer);
  void recordEvent(const std::string &Kind, const SwapOrder &Swap,
                   const std::string &Reason);
  boost::asio::awaitable<void> pollLoop(std::shared_ptr<WeightsOwner> Self);
  boost::asio::awaitable<void> tickLoop(std::shared_ptr<WeightsOwner> Self);

  RolloutContext &Context;
  const Settings Setup;
  SwapPlanState State;
  bool Stopped = false;
};

} // namespace wasabi

#endif // WASABI_WEIGHTS_WEIGHTSOWNER_H
