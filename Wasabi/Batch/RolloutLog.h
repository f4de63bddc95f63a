/// \file
/// Follows the rollout topic in one process: maintains the folded state and its
/// freshness, and appends records.
#ifndef WASABI_BATCH_ROLLOUTLOG_H
#define WASABI_BATCH_ROLLOUTLOG_H

#include "Wasabi/Adapters/Telemetry/DecisionLog.h"
#include "Wasabi/Batch/BatchState.h"
#include "Wasabi/Core/AsyncSignal.h"
#include "Wasabi/Ports/RecordStore.h"
#include "Wasabi/Upstream/StoreContact.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wasabi {

/// Delay before an instance with `CpuShare` of a processor core reads a long
/// topic after its start. When all processes start at once, this leaves the
/// store's bandwidth to those that may hold the dispatch lease. Pure.
Millis replayDelay(double CpuShare);

/// Follows and extends the rollout topic. Not thread-safe: used only on the
/// thread of its executor.
class RolloutLog : public std::enable_shared_from_this<RolloutLog> {
public:
  struct Settings {
    std::string Topic = "rollout";
    /// Maximum time that a read waits at the store for a record. Bounds the
    /// delay if the store fails to wake a waiting read.
    Millis PollTimeout{700};
    /// Delay after a read that returned records, so that several records are
    /// read at a time: at most 33 reads a second.
    Millis PollDelay{30};
    /// Delay after a failed read.
    Millis RetryDelay{100};
    /// Maximum size of one read in bytes. Small enough that reads succeed
    /// within their time limit when all processes read the topic at once.
    std::size_t MaxReadBytes = 256u << 10;
    /// Delay at the start if the topic is longer than one read; see
    /// `replayDelay`.
    Millis ReplayDelay{0};
    /// Maximum size in bytes of the first read if `ReplayDelay` is set.
    std::size_t MaxFirstReadBytes = 8u << 10;
    /// Time limit of an append, after which its outcome is unknown.
    Millis AppendTimeout{1200};
  };

  static std::shared_ptr<RolloutLog>
  create(boost::asio::any_io_executor Executor, RecordStore Store,
         std::shared_ptr<DecisionLog> Decisions, Settings Limits);

  /// Starts following the topic until the execution context stops.
  void start();

  const BatchState &fold() const { return State; }
  const StoreContact &contact() const { return Contact; }
  /// True once the topic has been read to its end.
  bool caughtUp() const { return CaughtUp; }
  /// Time at which a read last reached the end of the topic. While the process
  /// is catching up, the store is reachable but the state is stale.
  TimePoint lastCaughtUpTime() const { return LastCaughtUpTime; }
  /// Notified after each change of the state.
  AsyncSignal &changes() { return Changed; }
  /// Sets the callback that is called for each change, in order.
  void onChange(std::function<void(const BatchStateChange &)> Callback) {
    Listener = std::move(Callback);
  }

  /// Reads to the current end of the topic. On failure the state may be stale.
  boost::asio::awaitable<Outcome<Done>> refresh();

  /// Appends records atomically; see `RecordStore::Append`.
  boost::asio::awaitable<Outcome<Offset>>
  append(std::vector<std::string> Records, std::optional<Offset> At = {});

  const Settings &settings() const { return Limits; }

private:
  RolloutLog(boost::asio::any_io_executor Executor, RecordStore Store,
             std::shared_ptr<DecisionLog> Decisions, Settings Limits);
  boost::asio::awaitable<void> followLoop();
  std::size_t nextReadBytes() const;
  bool isFarBehind(const LogRange &Range) const;
  void applyRange(const LogRange &Range);
  void applyEntry(const LogEntry &Entry);
  void onReadSucceeded();
  void onReadFailed(const Failure &Reason);

  const Settings Limits;
  const boost::asio::any_io_executor Executor;
  const RecordStore Store;
  const std::shared_ptr<DecisionLog> Decisions;
  BatchState State;
  StoreContact Contact;
  AsyncSignal Changed;
  std::function<void(const BatchStateChange &)> Listener;
  bool CaughtUp = false;
  /// True once the first read is done and `Settings::ReplayDelay`, if needed,
  /// has passed.
  bool ReplayDelayDone = false;
  TimePoint LastCaughtUpTime;
};

} // namespace wasabi

#endif // WASABI_BATCH_ROLLOUTLOG_H
