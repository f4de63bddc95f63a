/// \file
/// Appends this process' records to the control stream, one at a time, and
/// settles each by reading it back.
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
struct Appended {
  Offset At = 0;
  ControlStateChange Did;
};

/// A lost answer is never guessed at: the record is sent again with the same id
/// until it is read back, and the fold takes each id once.
/// Not thread-safe: use on the executor's thread.
class RecordAppender : public std::enable_shared_from_this<RecordAppender> {
public:
  struct Settings {
    InstanceName Instance;
    Incarnation Life = 0;
    /// Most records waiting; further ones are refused.
    std::size_t MaxWaiting = 1024;
    /// Bounds of the back-off between two tries.
    Millis MinBackOff{50};
    Millis MaxBackOff{2000};
    /// How long a record that the log took may stay unread before the log is
    /// read again.
    Millis ReadBackInterval{500};
    std::uint64_t Seed = 1;
  };
  using Callback = std::function<void(Outcome<Appended>)>;

  static std::shared_ptr<RecordAppender>
  create(boost::asio::any_io_executor Executor, Settings Setup, LogPort Log,
         std::shared_ptr<LogFollower> Follower, ControlCounters &Counters);

  void start();
  /// Fails all that wait; what was sent `MayHaveRun`.
  void stop();

  /// Queues a record; an urgent one goes before all that are not. The callback
  /// comes once the record's fate was read, or with `Overloaded` at once when
  /// too many wait, or with `BadInput` when the log refuses it for good.
  void append(RecordBody Body, bool Urgent, Callback Then);

  /// Just before the record in flight was sent first. Precondition: this
  /// process' own record is being applied.
  TimePoint firstSent() const { return FirstSent; }
  /// Takes note of the fold's progress.
  void onApplied(Offset At, const FoldState &State,
                 const ControlStateChange &Did);
  void onStateReplaced(const FoldState &State);
  std::size_t waiting() const { return Queue.size(); }

private:
  struct Item {
    RecordBody Body;
    bool Urgent = false;
    Callback Then;
  };

  RecordAppender(boost::asio::any_io_executor Executor, Settings Setup,
                 LogPort Log, std::shared_ptr<LogFollower> Follower,
                 ControlCounters &Counters);
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> settle(std::string Text);
  boost::asio::awaitable<void> pause(Millis Span);
  void settleFromState(const FoldState &State, const ControlStateChange *Did,
                       Offset At);
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
  std::optional<Outcome<Appended>> Settled;
  bool Stopped = false;
};

} // namespace wasabi

#endif // WASABI_NODE_RECORDAPPENDER_H
