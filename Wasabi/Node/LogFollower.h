/// \file
/// Follows the control stream: folds it, publishes the state, and distributes
/// new records. A few processes of each failure domain read the log. All
/// processes push new records to peers and request missing ones from a peer.
#ifndef WASABI_NODE_LOGFOLLOWER_H
#define WASABI_NODE_LOGFOLLOWER_H

#include "Wasabi/Core/BootTimer.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Published.h"
#include "Wasabi/Core/Timeline.h"
#include "Wasabi/Membership/View.h"
#include "Wasabi/Node/ControlCounters.h"
#include "Wasabi/Node/ControlMessage.h"
#include "Wasabi/Node/PeerLinks.h"
#include "Wasabi/Ports/LogPort.h"
#include "Wasabi/State/Fold.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace wasabi {

/// Not thread-safe except where stated: use on the executor's thread.
class LogFollower : public std::enable_shared_from_this<LogFollower> {
public:
  struct Settings {
    std::uint32_t ReadersPerDomain = 2;
    /// Time that a reader's request waits at the log for new records.
    Millis PollTimeout{5000};
    /// A process reads the log itself if it was not known to be caught up for
    /// this long. A random part of the same length is added.
    Millis MaxCaughtUpAge{6000};
    /// Delay before missing records are requested, as a push may be on its way.
    Millis GapRequestDelay{150};
    /// Bounds of the back-off while the log is unreachable.
    Millis MinBackOff{100};
    Millis MaxBackOff{3000};
    /// Maximum number of records in one read.
    std::size_t MaxReadRecords = 512;
    /// Maximum number and total bytes of records retained for requests by
    /// peers.
    std::size_t MaxRetainedRecords = 4096;
    std::size_t MaxRetainedBytes = 4u << 20;
    /// Maximum number of records in one push. A longer range means that this
    /// process is catching up, and is not pushed.
    std::size_t MaxPushed = 64;
    /// Number of random peers that a record is pushed to in addition to the
    /// ring successor: for changes, and for renewals, which are less urgent.
    std::size_t ChangeFanout = 2;
    std::size_t RenewalFanout = 1;
    /// Time for which the same random peers are selected, so that connections
    /// are reused.
    Millis PeerSelectionInterval{30000};
    /// Number of records before the end of the log that are searched for a
    /// snapshot first.
    std::size_t SnapshotWindow = 2048;
    std::uint64_t Seed = 1;
  };

  struct Hooks {
    /// Returns the current membership view.
    std::function<std::shared_ptr<const View>()> CurrentView;
    /// Called after each applied record, before the state is published.
    std::function<void(Offset At, const FoldState &State,
                       const ControlStateChange &Change)>
        OnApplied;
    /// Called after the complete state was replaced.
    std::function<void(const FoldState &State)> OnStateReplaced;
  };

  static std::shared_ptr<LogFollower>
  create(boost::asio::any_io_executor Executor, Settings Setup, LogPort Log,
         std::shared_ptr<PeerLinks> Links, ControlCounters &Counters,
         Timeline &Events, Hooks Callbacks);

  /// Starts to obtain a state and then to follow the stream.
  void start();
  void stop();

  /// Returns the last published state. Thread-safe.
  std::shared_ptr<const FoldState> state() const {
    return PublishedState.get();
  }
  /// Returns true once a state was obtained. Thread-safe.
  bool hasState() const { return Obtained.load(); }
  /// Returns true if the last request to the log succeeded. Thread-safe.
  bool logReachable() const { return Reachable.load(); }
  /// Returns the next offset to fold.
  Offset next() const { return Fold.Next; }
  /// Returns the oldest offset that the log retained at the last read.
  Offset logFirst() const { return LogFirst; }
  /// Returns the time since the log was last known to end at or before `next`.
  Millis caughtUpAge() const;

  /// Applies records that a peer pushed.
  void receive(const LogPushMessage &Push);
  /// Records a peer's position and requests the records that are missing here.
  void onPeerLogPosition(const InstanceName &Peer, Offset Next,
                         Millis CaughtUpAge);
  /// Applies a record of this process that the log accepted at `At`.
  void applyOwnRecord(Offset At, std::string Text);
  /// Requests a read of the log, also if this process is not a reader.
  void requestRead();

  LogPushMessage answer(const LogRequestMessage &Request) const;
  StateResponseMessage answer(const StateRequestMessage &Request) const;

private:
  LogFollower(boost::asio::any_io_executor Executor, Settings Setup,
              LogPort Log, std::shared_ptr<PeerLinks> Links,
              ControlCounters &Counters, Timeline &Events, Hooks Callbacks);

  boost::asio::awaitable<void> followLoop();
  boost::asio::awaitable<void> pause(Millis Span);
  boost::asio::awaitable<void> followOnce();
  boost::asio::awaitable<Outcome<LogRange>>
  read(Offset Start, std::size_t MaxRecords, Millis PollTimeout);
  boost::asio::awaitable<bool> obtainState();
  boost::asio::awaitable<bool> fetchStateFromPeer();
  boost::asio::awaitable<bool> recoverStateFromLog();
  boost::asio::awaitable<Outcome<std::vector<LogEntry>>> readAll(Offset Start,
                                                                 Offset End);
  boost::asio::awaitable<void> requestMissingRecords(InstanceName Peer);
  boost::asio::awaitable<void> recoverFromExpiredOffset(Offset First);

  bool isReader() const;
  bool isCatchUpOverdue() const;
  void recordReachability(bool IsReachable, const std::string &Reason);
  void recordCaughtUp(TimePoint At);
  /// Applies contiguous entries. Returns false if records before an entry are
  /// missing.
  bool applyLogEntries(const std::vector<LogEntry> &Entries, bool PushToPeers);
  /// Applies one entry. Returns true if it changed the configuration or
  /// acquired a claim.
  bool applyLogEntry(const LogEntry &Entry);
  void retainEntry(const LogEntry &Entry);
  bool replaceState(FoldState State);
  void publish();
  void pushToPeers(const std::vector<LogEntry> &NewEntries, bool HasUrgent);
  Millis backOff();

  boost::asio::any_io_executor Executor;
  const Settings Setup;
  LogPort Log;
  std::shared_ptr<PeerLinks> Links;
  ControlCounters &Counters;
  Timeline &Events;
  const Hooks Callbacks;
  BootTimer Wake;
  std::mt19937_64 Random;

  FoldState Fold;
  Offset LogFirst = 0;
  Published<FoldState> PublishedState;
  std::atomic<bool> Obtained{false};
  std::atomic<bool> Reachable{false};
  std::deque<LogEntry> Retained;
  std::size_t RetainedBytes = 0;
  std::map<InstanceName, Offset> PeerNext;
  /// Time at which the log was last known to end at or before `Fold.Next`.
  TimePoint LastCaughtUpTime;
  Millis CaughtUpAgeJitter{0};
  unsigned Failures = 0;
  bool ReachabilityRecorded = false;
  bool StaleTailRecorded = false;
  bool ReadRequested = false;
  bool GapRequestInFlight = false;
  bool Stopped = false;
};

} // namespace wasabi

#endif // WASABI_NODE_LOGFOLLOWER_H
