/// \file
/// Owns the steps of one trainer under one claim: performs the effects of
/// `decide` and passes their results to it as events.
#ifndef WASABI_ROLLOUT_TRAINEROWNER_H
#define WASABI_ROLLOUT_TRAINEROWNER_H

#include "Wasabi/Ports/TrainerPort.h"
#include "Wasabi/Rollout/RolloutContext.h"
#include "Wasabi/Rollout/StepState.h"
#include "Wasabi/Rollout/TrainerLog.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <string>

namespace wasabi {

/// Not thread-safe: used on the rollout thread.
class TrainerOwner : public std::enable_shared_from_this<TrainerOwner> {
public:
  struct Settings {
    TrainerName Trainer;
    FencingToken Fence = 0;
    Millis TickInterval{100};
    /// Maximum time that a poll for the next step waits at the trainer.
    Millis PollTimeout{1000};
    Millis PollRetryDelay{200};
    Millis DeliveryTimeout{5000};
    Millis ScoreTimeout{5000};
    /// Time that a takeover waits for the log if the trainer checks fences.
    Millis RecoveryTimeout{2000};
    /// Without checked fences no delivery starts this close to the end of the
    /// claim.
    Millis ClaimExpiryMargin{200};
  };

  static std::shared_ptr<TrainerOwner> create(RolloutContext &Context,
                                              Settings Setup);

  void start();
  /// Cancels all attempts and ends the loops. Starts nothing more.
  void stop();
  /// Starts no more samples.
  void drain() { Draining = true; }
  /// Returns true if there is no attempt, commit or delivery in flight and no
  /// undelivered scored sample, or if this owner has stopped.
  bool isIdle() const;
  bool isStopped() const { return Stopped; }
  /// Returns true if this owner still holds the claim, as far as the log is
  /// known.
  bool ownsClaim() const;
  FencingToken fence() const { return Setup.Fence; }
  /// Returns a JSON object.
  std::string statusJson() const;

private:
  /// The response stream of an attempt.
  struct InFlightAttempt {
    std::unique_ptr<DaemonResponseStream> Response;
    bool Cancelled = false;
  };

  TrainerOwner(RolloutContext &Context, Settings Setup);
  /// Runs a coroutine on the rollout thread and keeps this owner alive
  /// meanwhile.
  void spawn(boost::asio::awaitable<void> Work);
  void handleEvent(const StepEvent &Event);
  void perform(StepEffect &Effect);
  void cancel(const CancelAttempt &Effect);
  void recordDispatch(const DispatchAttempt &Dispatch);
  void refreshInputs();
  /// Uses the model and the endpoint that the declaration names.
  void connect(const TrainerDeclaration &Declaration);
  /// Returns how long this owner may still act; zero or less if it may not.
  Millis remainingClaimTime() const;

  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> recover();
  boost::asio::awaitable<void> pollLoop();
  boost::asio::awaitable<void> tickLoop();
  boost::asio::awaitable<void> generate(DispatchAttempt Dispatch);
  boost::asio::awaitable<void>
  readStream(AttemptId Id, std::shared_ptr<InFlightAttempt> Attempt);
  boost::asio::awaitable<void> score(ScoreSample Request);
  boost::asio::awaitable<void> deliver(Delivery Batch);
  boost::asio::awaitable<void> queryTrainer();

  RolloutContext &Context;
  const Settings Setup;
  const std::string Resource;
  TrainerPort Trainer;
  Address Endpoint;
  std::shared_ptr<TrainerLog> Log;
  StepState State;
  ModelName Model;
  std::int32_t Priority = 0;
  std::map<AttemptId, std::shared_ptr<InFlightAttempt>> InFlightAttempts;
  /// True once this owner's start record was read back.
  bool StartConfirmed = false;
  bool Draining = false;
  bool Stopped = false;
};

} // namespace wasabi

#endif // WASABI_ROLLOUT_TRAINEROWNER_H
