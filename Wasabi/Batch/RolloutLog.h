/// \file
/// The rollout topic as one process follows it: the folded state, whether it is
/// fresh, and appends.
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

/// How long an instance with `CpuShare` of a processor core leaves the store's
/// bandwidth to others when all start at once: those that may take the duty
/// read first. Of 134 processes restarted at once the 60 strong ones knew the
/// present 1.5 to 1.75 s after it, 2.0 to 2.5 s without the pause, by the logs
/// of one failure domain on two days. Pure.
Millis replayDelay(double CpuShare);

/// Used on one thread, that of its executor.
class RolloutLog : public std::enable_shared_from_this<RolloutLog> {
public:
  struct Settings {
    std::string Topic = "rollout";
    /// How long a read waits for a record. A read that hears nothing although
    /// there is something must not hide it for long.
    Millis PollTimeout{700};
    /// Pause after a read that brought records, so that records that come one
    /// by one are read several at a time: at most 33 reads a second.
    Millis PollDelay{30};
    /// Pause after a failed read.
    Millis RetryDelay{100};
    /// Most bytes of one read. After a power loss all processes read the topic
    /// at once and share the store's bandwidth: 50 of them get this much within
    /// 0.2 s at 80 MB/s, well inside a read's time limit.
    std::size_t MaxReadBytes = 256u << 10;
    /// A process that starts and finds more than one read's worth pauses this
    /// long before it reads the rest: see `replayDelay`.
    Millis ReplayDelay{0};
    /// Most bytes of the first read of a process that may have to pause.
    std::size_t MaxFirstReadBytes = 8u << 10;
    /// How long an append may take before its outcome is unknown.
    Millis AppendTimeout{1200};
  };

  static std::shared_ptr<RolloutLog>
  create(boost::asio::any_io_executor Executor, RecordStore Store,
         std::shared_ptr<DecisionLog> Decisions, Settings Limits);

  /// Begins to follow the topic, for as long as the context runs.
  void start();

  const BatchState &fold() const { return Fold; }
  const StoreContact &contact() const { return Contact; }
  /// Whether the topic has been read to its end since the start.
  bool caughtUp() const { return CaughtUp; }
  /// When an answer of the store last showed that nothing was left to read. A
  /// process that is catching up has contact, and does not know the present.
  TimePoint lastCaughtUpTime() const { return FreshAt; }
  /// Woken after each change of the fold.
  AsyncSignal &changes() { return Changed; }
  /// Called for each change, in order.
  void onChange(std::function<void(const BatchStateChange &)> Callback) {
    Listener = std::move(Callback);
  }

  /// Reads up to the end as of now. A failure says that this process cannot be
  /// sure of what the topic holds.
  boost::asio::awaitable<Outcome<Done>> refresh();

  /// Appends records, all or none; see `RecordStore::Append`.
  boost::asio::awaitable<Outcome<Offset>>
  append(std::vector<std::string> Records, std::optional<Offset> At = {});

  const Settings &settings() const { return Limits; }

private:
  RolloutLog(boost::asio::any_io_executor Executor, RecordStore Store,
             std::shared_ptr<DecisionLog> Decisions, Settings Limits);
  boost::asio::awaitable<void> follow();
  std::size_t nextReadBytes() const;
  bool isFarBehind(const LogRange &Range) const;
  void take(const LogRange &Range);
  void takeEntry(const LogEntry &Entry);
  void answered();
  void failed(const Failure &Why);

  const Settings Limits;
  const boost::asio::any_io_executor Executor;
  const RecordStore Store;
  const std::shared_ptr<DecisionLog> Decisions;
  BatchState Fold;
  StoreContact Contact;
  AsyncSignal Changed;
  std::function<void(const BatchStateChange &)> Listener;
  bool CaughtUp = false;
  /// Whether the pause of `Settings::ReplayDelay` has been made.
  bool ReplayDelayDone = false;
  TimePoint FreshAt;
};

} // namespace wasabi

#endif // WASABI_BATCH_ROLLOUTLOG_H
