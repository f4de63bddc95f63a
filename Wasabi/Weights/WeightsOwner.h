/// \file
/// The owner of one model's weight rollout under one claim.
#ifndef WASABI_WEIGHTS_WEIGHTSOWNER_H
#define WASABI_WEIGHTS_WEIGHTSOWNER_H

#include "Wasabi/Rollout/RolloutContext.h"
#include "Wasabi/Weights/SwapPlan.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace wasabi {

/// The resource that a model's orders are claimed by. Pure.
std::string weightsResource(const ModelName &Model);

/// Watches the store for new versions, and sends orders in waves until each
/// engine reports the newest. Not thread-safe: use on the duty's thread.
class WeightsOwner : public std::enable_shared_from_this<WeightsOwner> {
public:
  struct Settings {
    ModelName Model;
    FencingToken Fence = 0;
    Millis TickInterval{100};
    Millis PollTimeout{5000};
    Millis PollRetryDelay{500};
    /// How long a swap may take, its fetch included.
    Millis OrderTimeout{60000};
  };

  static std::shared_ptr<WeightsOwner> create(RolloutContext &Context,
                                              Settings Setup);
  void start();
  void stop() { Stopped = true; }
  FencingToken fence() const { return Setup.Fence; }
  /// Whether the claim is still this owner's, as far as the log is known.
  /// Orders go on past its term: while the log is out nobody can take the
  /// claim, and daemons and engines refuse a smaller token once they saw a
  /// greater one.
  bool ownsClaim() const;
  /// A JSON object.
  std::string statusJson() const;

private:
  WeightsOwner(RolloutContext &Context, Settings Setup);
  std::vector<SwapTarget> targets() const;
  void planNow();
  void send(const SwapOrder &What);
  void onAnswer(const SwapOrder &Of, const Outcome<OrderAnswer> &Answer);
  void note(const std::string &Kind, const SwapOrder &Of,
            const std::string &Reason);
  boost::asio::awaitable<void> pollStore(std::shared_ptr<WeightsOwner> Self);
  boost::asio::awaitable<void> tick(std::shared_ptr<WeightsOwner> Self);

  RolloutContext &Context;
  const Settings Setup;
  SwapPlanState State;
  bool Stopped = false;
};

} // namespace wasabi

#endif // WASABI_WEIGHTS_WEIGHTSOWNER_H
