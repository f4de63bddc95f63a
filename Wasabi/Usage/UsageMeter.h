/// \file
/// Counts the requests that servers begin to run for this process, and writes
/// the counts to the usage topic before they can be lost.
///
/// The pattern that this answers: a handful of requests a window and customer,
/// where one that is missing makes the report wrong, and processes that are
/// killed half a second after they served one. A request is written when it is
/// sent, beside its run, and taken back in the rare case that it proves not to
/// have run; a process writes at once what it counts after a pause, and
/// gathers what comes faster than that.
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

/// Used on one thread, that of its executor.
class UsageMeter : public std::enable_shared_from_this<UsageMeter> {
public:
  struct Settings {
    UsageSource Self;
    UsageSettings Windows;
    /// How long an append may take before its outcome is unknown.
    Millis AppendTimeout{1200};
    /// Least pause between two appends in the long run.
    Millis Pace{50};
    /// That pause is this many times what the last append took, if that is
    /// more: all processes share one partition, which takes one append after
    /// the other, 500 a second as a rule and 8 when the store is sixty times
    /// slower. What is gathered meanwhile costs nothing more.
    double AppendIntervalFactor = 25;
    /// Most of it: each process writes once a window anyway.
    Millis MaxAppendInterval{5000};
    /// Appends whose pauses lie within this may follow each other at once: what
    /// waits for one is lost if the process is killed meanwhile.
    Millis BurstSpan{400};
    /// Least pause after an append that failed; it doubles with each further
    /// one.
    Millis RetryDelay{200};
    /// Windows end for all processes at once: each writes within this long
    /// after.
    Millis EndSpread{300};
    /// Most entries of a record; further ones go into the next.
    std::size_t MaxBatchEntries = 2000;
    /// Entries that wait for the store, at most: those of one customer and
    /// second are then kept as one.
    std::size_t MaxPendingEntries = 20000;
  };

  /// What a meter works with.
  struct Parts {
    boost::asio::any_io_executor Executor;
    RecordStore Store;
    std::shared_ptr<DecisionLog> Decisions;
    /// Outlives the meter.
    Metrics &Counts;
    WallClock Wall;
    /// Of this process; outlives the meter.
    const StoreContact &Contact;
  };

  static std::shared_ptr<UsageMeter> create(Parts With, Settings Limits);

  /// Begins to write, for as long as the context runs.
  void start();
  /// Whether the topic knows that this process counts: windows wait for it from
  /// then on.
  bool known() const { return Known; }
  /// Writes what is counted, says that no more will be, and ends; gives up at
  /// `Until`.
  boost::asio::awaitable<void> leave(TimePoint Until);

  /// A server begins to run a request of a customer now.
  UsageEntry began(const CustomerName &Of);
  /// What was counted has proved not to have run.
  void withdraw(const UsageEntry &What);

private:
  UsageMeter(Parts With, Settings Limits);
  WallTime now() const { return With.Wall.at(monotonicNow()); }
  void add(UsageEntry What);
  void compact();
  bool due() const;
  TimePoint nextWriteTime() const;
  boost::asio::awaitable<void> writeLoop();
  UsageBatch nextBatch();
  void requeueBatch(UsageBatch Unwritten);
  boost::asio::awaitable<bool> write();
  void refill(TimePoint Now);
  void slowDown(TimePoint Now);

  const Settings Limits;
  const Parts With;
  /// Counted, and in no batch yet.
  std::vector<UsageEntry> Waiting;
  /// Batches that may stand in the topic or not: they are written again under
  /// their numbers, before newer ones, until the store says that it has them.
  std::vector<UsageBatch> Unacked;
  /// Of the next batch.
  std::uint64_t Sequence = 1;
  /// Through when all that was counted is in some batch.
  WallTime Through;
  /// Whether the store has taken a batch.
  bool Known = false;
  /// Appends that may be made now; one more comes each `Pause`.
  double Allowed;
  Millis Pause;
  TimePoint LastRefill;
  TimePoint NotBefore;
  /// This process's part of `EndSpread`.
  Millis Spread{0};
  bool Left = false;
  /// Whether the loop writes nothing any more.
  bool Ended = false;
  AsyncSignal Wake;
};

} // namespace wasabi

#endif // WASABI_USAGE_USAGEMETER_H
