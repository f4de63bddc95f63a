/// \file
/// The owner of one trainer's steps under one claim: performs what `decide`
/// asks for, and tells it what came of it.
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

/// Not thread-safe: use on the duty's thread.
class TrainerOwner : public std::enable_shared_from_this<TrainerOwner> {
public:
  struct Settings {
    TrainerName Trainer;
    FencingToken Fence = 0;
    Millis TickInterval{100};
    /// How often the step is asked for while one is open.
    Millis PollTimeout{1000};
    Millis PollRetryDelay{200};
    Millis DeliveryTimeout{5000};
    Millis ScoreTimeout{5000};
    /// How long a trainer that checks tokens waits for the log at a takeover.
    Millis RecoveryPatience{2000};
    /// Without checked tokens nothing is sent this near to the claim's end.
    Millis ClaimExpiryMargin{200};
  };

  static std::shared_ptr<TrainerOwner> create(RolloutContext &Context,
                                              Settings Setup);

  void start();
  /// Stops at once: cancels what runs, sends nothing more.
  void stop();
  /// Begins no more samples.
  void drain() { Draining = true; }
  /// Whether nothing is at hand: no attempt, delivery or commit.
  bool isIdle() const;
  bool isStopped() const { return Stopped; }
  /// Whether the claim is still this owner's, as far as the log is known.
  bool ownsClaim() const;
  FencingToken fence() const { return Setup.Fence; }
  /// A JSON object.
  std::string statusJson() const;

private:
  /// An attempt under way.
  struct InFlightAttempt {
    std::unique_ptr<DaemonResponseStream> Answer;
    bool Cancelled = false;
  };

  TrainerOwner(RolloutContext &Context, Settings Setup);
  /// Runs on the duty's thread; this owner lives until it is done.
  void spawn(boost::asio::awaitable<void> Work);
  void feed(const StepEvent &Event);
  void perform(StepEffect &What);
  void cancel(const CancelAttempt &What);
  void recordDispatch(const DispatchAttempt &What);
  void refresh();
  /// Follows the trainer to where its declaration says that it listens.
  void connect(const TrainerDeclaration &To);
  /// How long this owner may act for now; zero when it may not.
  Millis authority() const;

  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> recover();
  boost::asio::awaitable<void> pollTrainer();
  boost::asio::awaitable<void> tick();
  boost::asio::awaitable<void> generate(DispatchAttempt What);
  boost::asio::awaitable<void> readStream(AttemptId Id,
                                          std::shared_ptr<InFlightAttempt> Of);
  boost::asio::awaitable<void> score(ScoreSample What);
  boost::asio::awaitable<void> deliver(Delivery What);
  boost::asio::awaitable<void> ask();

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
  /// Set when the start of this owner was read back.
  bool StartConfirmed = false;
  bool Draining = false;
  bool Stopped = false;
};

} // namespace wasabi

#endif // WASABI_ROLLOUT_TRAINEROWNER_H
