/// \file
/// Counts the requests that servers start to run for this process, and writes
/// the counts to the usage topic.
///
/// A request is written when it is sent, so that little is lost if the process
/// is killed, and withdrawn if it turns out not to have run. Counts that arrive
/// faster than the allowed append rate are batched.
#ifndef WASABI_USAGE_USAGEMETER_H
#define WASABI_USAGE_USAGEMETER_H

#include "Wasabi/Adapters/Telemetry/DecisionLog.h"
#include "Wasabi/Adapters/Telemetry/Metrics.h"
#include "Wasabi/Core/AsyncSignal.h"
#include "Wasabi/Ports/RecordStore.h"
#include "Wasabi/Upstream/StoreContact.h"
#include "Wasabi/Usage/UsageState.h"
#include "Wasabi/Usage/WallClock.h"

#include <memory>
#include <random>
#include <vector>

namespace wasabi {

/// The topic of `UsageRecord`s.
inline constexpr const char *UsageTopic = "usage";

/// Counts the requests of one process. Used on one thread, that of its
/// executor.
class UsageMeter : public std::enable_shared_from_this<UsageMeter> {
public:
  struct Settings {
    UsageSource Self;
    UsageSettings Windows;
    /// Time limit of an append, after which its outcome is unknown.
    Millis AppendTimeout{1200};
    /// Minimum average interval between appends.
    Millis Pace{50};
    /// The average interval between appends is at least this multiple of the
    /// duration of the last append. Reduces the load on a slow store, since all
    /// processes append to one partition.
    double AppendIntervalFactor = 25;
    /// Maximum average interval between appends.
    Millis MaxAppendInterval{5000};
    /// Maximum burst of appends, as the time in which their tokens accrue.
    /// Bursts keep counts from waiting for an append, since pending counts are
    /// lost if the process is killed.
    Millis BurstSpan{400};
    /// Minimum delay after a failed append. Doubles with each further failure
    /// while the store is reachable.
    Millis RetryDelay{200};
    /// Maximum random delay of the write after the end of a window, so that the
    /// processes don't all write at once.
    Millis MaxWriteJitter{300};
    /// Maximum number of entries per batch.
    std::size_t MaxBatchEntries = 2000;
    /// Above this number of pending entries, those of one customer and second
    /// are merged.
    std::size_t MaxPendingEntries = 20000;
  };

  /// Dependencies of a meter.
  struct Parts {
    boost::asio::any_io_executor Executor;
    RecordStore Store;
    std::shared_ptr<DecisionLog> Decisions;
    /// Outlives the meter.
    Metrics &Counts;
    WallClock Wall;
    /// Contact of this process with the store; outlives the meter.
    const StoreContact &Contact;
  };

  static std::shared_ptr<UsageMeter> create(Parts Deps, Settings Limits);

  /// Starts writing, until the execution context stops.
  void start();
  /// Returns true once the store has taken a batch of this process; from then
  /// on, windows wait for its counts.
  bool known() const { return Known; }
  /// Writes the pending counts and a `UsageLeave`, then returns. Gives up at
  /// `Until`.
  boost::asio::awaitable<void> leave(TimePoint Until);

  /// Counts a request of a customer that a server starts to run now.
  UsageEntry began(const CustomerName &Customer);
  /// Withdraws a counted request that did not run.
  void withdraw(const UsageEntry &Entry);

private:
  UsageMeter(Parts Deps, Settings Limits);
  WallTime now() const { return Deps.Wall.at(monotonicNow()); }
  void add(UsageEntry Entry);
  void compact();
  bool needsWrite() const;
  TimePoint nextWriteTime() const;
  boost::asio::awaitable<void> writeLoop();
  UsageBatch nextBatch();
  void requeueBatch(UsageBatch Unwritten);
  boost::asio::awaitable<bool> write();
  void refill(TimePoint Now);
  void slowDown(TimePoint Now);

  const Settings Limits;
  const Parts Deps;
  /// Counted entries that are in no batch yet.
  std::vector<UsageEntry> Pending;
  /// Batches that the topic may or may not hold. They are written again under
  /// their numbers, before newer ones, until the store acknowledges them.
  std::vector<UsageBatch> Unacked;
  /// Number of the next batch.
  std::uint64_t Sequence = 1;
  /// Entries before this time are in some batch.
  WallTime Through;
  /// True if the store has acknowledged a batch.
  bool Known = false;
  /// Token bucket of the append rate: the number of appends that may be made
  /// now. One token is added per `AppendInterval`.
  double AppendTokens;
  Millis AppendInterval;
  TimePoint LastRefill;
  TimePoint NotBefore;
  /// Write delay of this process, up to `MaxWriteJitter`.
  Millis WriteJitter{0};
  bool IsLeaving = false;
  /// True once the write loop has ended.
  bool WriteLoopEnded = false;
  AsyncSignal Wake;
};

} // namespace wasabi

#endif // WASABI_USAGE_USAGEMETER_H
