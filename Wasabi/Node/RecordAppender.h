/// \file
/// Appends this process' records to the control stream, one at a time, and
/// confirms each by reading it back.
#ifndef WASABI_NODE_RECORDAPPENDER_H
#define WASABI_NODE_RECORDAPPENDER_H

#include "Wasabi/Core/BootTimer.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Node/ControlCounters.h"
#include "Wasabi/Node/LogFollower.h"
#include "Wasabi/Ports/LogPort.h"
#include "Wasabi/State/Fold.h"
#include "Wasabi/State/Record.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace wasabi {

/// A record that was read back.
struct AppendedRecord {
  Offset At = 0;
  ControlStateChange Change;
};

/// If an answer is lost, the record is sent again with the same id until it is
/// read back; the fold applies each id once. Not thread-safe: use on the
/// executor's thread.
class RecordAppender : public std::enable_shared_from_this<RecordAppender> {
public:
  struct Settings {
    InstanceName Instance;
    Incarnation Life = 0;
    /// Maximum number of pending records; further ones are refused.
    std::size_t MaxPendingRecords = 1024;
    /// Bounds of the back-off between two attempts.
    Millis MinBackOff{50};
    Millis MaxBackOff{2000};
    /// Time between reads of the log while an accepted record has not been read
    /// back.
    Millis ReadBackInterval{500};
    std::uint64_t Seed = 1;
  };
  using Callback = std::function<void(Outcome<AppendedRecord>)>;

  static std::shared_ptr<RecordAppender>
  create(boost::asio::any_io_executor Executor, Settings Setup, LogPort Log,
         std::shared_ptr<LogFollower> Follower, ControlCounters &Counters);

  void start();
  /// Fails all pending records; a record that was sent fails with `MayHaveRun`.
  void stop();

  /// Queues a record; urgent records precede all others. The callback is called
  /// once the record is read back, or with `Overloaded` immediately if too many
  /// records are pending, or with `BadInput` if the log rejects the record
  /// permanently.
  void append(RecordBody Body, bool Urgent, Callback OnComplete);

  /// Returns the time just before the record in flight was first sent.
  /// Precondition: this process' own record is being applied.
  TimePoint firstSent() const { return FirstSent; }
  /// Checks whether an applied record confirms the record in flight.
  void onApplied(Offset At, const FoldState &State,
                 const ControlStateChange &Change);
  void onStateReplaced(const FoldState &State);
  std::size_t pendingCount() const { return Queue.size(); }

private:
  struct Item {
    RecordBody Body;
    bool Urgent = false;
    Callback OnComplete;
  };

  RecordAppender(boost::asio::any_io_executor Executor, Settings Setup,
                 LogPort Log, std::shared_ptr<LogFollower> Follower,
                 ControlCounters &Counters);
  boost::asio::awaitable<void> appendLoop();
  boost::asio::awaitable<void> appendAndConfirm(std::string Text);
  boost::asio::awaitable<void> pause(Millis Span);
  void confirmFromState(const FoldState &State,
                        const ControlStateChange *Change, Offset At);
  Millis backOff(unsigned Failures);

  boost::asio::any_io_executor Executor;
  const Settings Setup;
  LogPort Log;
  std::shared_ptr<LogFollower> Follower;
  ControlCounters &Counters;
  BootTimer Wake;
  std::mt19937_64 Random;
  std::deque<Item> Queue;
  std::uint64_t Sequence = 0;
  TimePoint FirstSent;
  bool InFlight = false;
  std::optional<Outcome<AppendedRecord>> Completion;
  bool Stopped = false;
};

} // namespace wasabi

#endif // WASABI_NODE_RECORDAPPENDER_H
