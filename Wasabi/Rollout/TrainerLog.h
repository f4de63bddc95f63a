/// \file
/// One owner's side of its trainer's stream: appends in order, one in flight,
/// each repeated under its id until it is read back.
#ifndef WASABI_ROLLOUT_TRAINERLOG_H
#define WASABI_ROLLOUT_TRAINERLOG_H

#include "Wasabi/Core/BootTimer.h"
#include "Wasabi/Rollout/RolloutContext.h"
#include "Wasabi/Rollout/TrainerFold.h"

#include <deque>
#include <functional>
#include <memory>

namespace wasabi {

/// Not thread-safe: use on the duty's thread.
class TrainerLog : public std::enable_shared_from_this<TrainerLog> {
public:
  struct Settings {
    TrainerName Trainer;
    FencingToken Fence = 0;
    /// Records waiting at most, in an outage; beyond it, deliveries are not
    /// told to the log any more (the trainer's own word replaces them).
    std::size_t MaxWaiting = 4096;
    Millis Retry{200};
    Millis ReadWait{1000};
    std::size_t ReadMax = 256;
  };
  /// Called for each record of this owner that was folded.
  using ConfirmCallback = std::function<void(const TrainerRecord &, Offset,
                                             const TrainerApplyResult &)>;
  /// Whether this owner may still append.
  using Authority = std::function<bool()>;

  static std::shared_ptr<TrainerLog> create(RolloutContext &Context,
                                            Settings Setup, Authority MayAppend,
                                            ConfirmCallback Callback);

  /// Queues a record.
  void append(TrainerBody Body);
  /// Appends what is queued and reads it back, until `stop`.
  boost::asio::awaitable<void> run();
  void stop();

  const TrainerState &state() const { return Fold; }
  /// Records not yet read back.
  std::size_t waiting() const { return Waiting.size(); }

private:
  TrainerLog(RolloutContext &Context, Settings Setup, Authority MayAppend,
             ConfirmCallback Callback);
  bool mergeDeliveredSlots(const TrainerBody &Body);
  boost::asio::awaitable<void> appendOne(std::string Text);
  boost::asio::awaitable<bool> readUntil(Offset At);
  void fold(const LogEntry &Entry);

  RolloutContext &Context;
  const Settings Setup;
  const Authority MayAppend;
  const ConfirmCallback Callback;
  TrainerState Fold;
  std::deque<TrainerRecord> Waiting;
  /// Whether the first waiting record was sent: it must not change any more.
  bool FirstSent = false;
  bool Stopped = false;
  bool Down = false;
  BootTimer Wake;
};

} // namespace wasabi

#endif // WASABI_ROLLOUT_TRAINERLOG_H
