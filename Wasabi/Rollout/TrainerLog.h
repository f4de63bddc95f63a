/// \file
/// Appends an owner's records to its trainer's stream in order, one at a time.
/// Repeats each with the same id until it is read back.
#ifndef WASABI_ROLLOUT_TRAINERLOG_H
#define WASABI_ROLLOUT_TRAINERLOG_H

#include "Wasabi/Core/BootTimer.h"
#include "Wasabi/Rollout/RolloutContext.h"
#include "Wasabi/Rollout/TrainerFold.h"

#include <deque>
#include <functional>
#include <memory>

namespace wasabi {

/// Not thread-safe: used on the rollout thread.
class TrainerLog : public std::enable_shared_from_this<TrainerLog> {
public:
  struct Settings {
    TrainerName Trainer;
    FencingToken Fence = 0;
    /// Number of pending records from which on delivery records are dropped
    /// during an outage. Their content can be read from the trainer.
    std::size_t MaxPendingRecords = 4096;
    Millis RetryDelay{200};
    Millis ReadTimeout{1000};
    std::size_t MaxReadRecords = 256;
  };
  /// Called for each applied record of this owner.
  using ConfirmCallback = std::function<void(const TrainerRecord &, Offset,
                                             const TrainerApplyResult &)>;
  /// Returns true while this owner may append.
  using AppendPermission = std::function<bool()>;

  static std::shared_ptr<TrainerLog> create(RolloutContext &Context,
                                            Settings Setup,
                                            AppendPermission MayAppend,
                                            ConfirmCallback Callback);

  /// Adds a record to the queue.
  void append(TrainerBody Body);
  /// Appends the queued records and reads them back, until `stop`.
  boost::asio::awaitable<void> run();
  void stop();

  const TrainerState &state() const { return Fold; }
  /// Number of records that were not read back yet.
  std::size_t pendingCount() const { return Pending.size(); }

private:
  TrainerLog(RolloutContext &Context, Settings Setup,
             AppendPermission MayAppend, ConfirmCallback Callback);
  bool mergeDeliveredSlots(const TrainerBody &Body);
  boost::asio::awaitable<void> appendRecord(std::string Text);
  boost::asio::awaitable<bool> readUntil(Offset At);
  void applyEntry(const LogEntry &Entry);

  RolloutContext &Context;
  const Settings Setup;
  const AppendPermission MayAppend;
  const ConfirmCallback Callback;
  TrainerState Fold;
  std::deque<TrainerRecord> Pending;
  /// True if the first pending record was sent; it must not change any more.
  bool FirstRecordSent = false;
  bool Stopped = false;
  bool LogUnreachable = false;
  BootTimer Wake;
};

} // namespace wasabi

#endif // WASABI_ROLLOUT_TRAINERLOG_H
