/// \file
/// Reads the rollout topic in one process: maintains the folded state and its
/// freshness, and appends records. A process that needs the state only at times
/// follows the topic only then.
#ifndef WASABI_BATCH_ROLLOUTLOG_H
#define WASABI_BATCH_ROLLOUTLOG_H

#include "Wasabi/Adapters/Telemetry/DecisionLog.h"
#include "Wasabi/Batch/BatchState.h"
#include "Wasabi/Core/AsyncSignal.h"
#include "Wasabi/Core/RetryBackoff.h"
#include "Wasabi/Ports/RecordStore.h"
#include "Wasabi/Upstream/StoreContact.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace wasabi {

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
    /// Mean delay after a failed read; grows while reads fail.
    Millis RetryDelay{100};
    /// Maximum size of one read in bytes. Small enough that reads succeed
    /// within their time limit when all processes read the topic at once: 50 of
    /// them get this much within 0.2 s at 80 MB/s.
    std::size_t MaxReadBytes = 256u << 10;
    /// Time for which the topic is followed after the state was last needed;
    /// empty to follow it always. The bytes read in a deployment grow with its
    /// processes times its work unless most of them read nothing.
    std::optional<Millis> IdleTimeout;
    /// Time limit of an append, after which its outcome is unknown.
    Millis AppendTimeout{1200};
    /// How long the state keeps jobs, and the store its records.
    BatchState::Settings State;
  };

  static std::shared_ptr<RolloutLog>
  create(boost::asio::any_io_executor Executor, RecordStore Store,
         std::shared_ptr<DecisionLog> Decisions, Settings Limits);

  /// Starts the loop that follows the topic until the execution context stops.
  void start();
  /// Notes that the state is needed now. Follows the topic for `IdleTimeout`;
  /// until the first read, the state is as old as `lastCaughtUpTime`.
  void demand();
  /// Follows the topic until `unpin`, whether or not the state is needed.
  void pin();
  void unpin() { Pinned = false; }
  /// True while the topic is followed.
  bool isFollowing() const;

  const BatchState &fold() const { return State; }
  const StoreContact &contact() const { return Contact; }
  /// True once the topic has been read to its end, until a read shows that
  /// records which were not read have expired.
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

  /// Reads to the current end of the topic, and follows it as after `demand`.
  /// On failure the state may be stale.
  boost::asio::awaitable<Outcome<Done>> refresh();

  /// Appends records atomically; see `RecordStore::Append`.
  boost::asio::awaitable<Outcome<Offset>>
  append(std::vector<std::string> Records, std::optional<Offset> At = {});

  const Settings &settings() const { return Limits; }

private:
  RolloutLog(boost::asio::any_io_executor Executor, RecordStore Store,
             std::shared_ptr<DecisionLog> Decisions, Settings Limits);
  boost::asio::awaitable<void> followLoop();
  boost::asio::awaitable<Outcome<Done>> readToEnd();
  void applyRange(const LogRange &Range);
  void skipExpired(const ExpiredOffset &Expired);
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
  TimePoint LastCaughtUpTime;
  RetryBackoff Backoff;
  std::mt19937_64 Random;
  bool Pinned = false;
  /// Time of the last call of `demand`.
  TimePoint LastDemand;
  AsyncSignal Demanded;
  /// True while a call of `refresh` reads. Other reads wait for it, so that a
  /// long topic is read once.
  bool Refreshing = false;
  /// Number of refreshes that have begun.
  std::uint64_t RefreshCount = 0;
  /// Number of the last refresh that has succeeded.
  std::uint64_t LastRefresh = 0;
  AsyncSignal Refreshed;
};

} // namespace wasabi

#endif // WASABI_BATCH_ROLLOUTLOG_H
