/// \file
/// Follows the control stream: folds it, publishes the state, and spreads new
/// records. A few processes of each failure domain read the log; all pass on
/// what is new to them, and ask a peer for what they miss.
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

/// Not thread-safe: use on the executor's thread, but for what says otherwise.
class LogFollower : public std::enable_shared_from_this<LogFollower> {
public:
  struct Settings {
    std::uint32_t ReadersPerDomain = 2;
    /// How long a reader's read waits at the log for something new.
    Millis PollTimeout{5000};
    /// Without a sign, for this long, that somebody has read the log to its
    /// end, a process reads it itself. A random part of as much is added.
    Millis SilenceLimit{6000};
    /// How long pushes may lag before a gap is asked for.
    Millis GapRequestDelay{150};
    /// Bounds of the back-off while the log does not answer.
    Millis MinBackOff{100};
    Millis MaxBackOff{3000};
    /// Most records taken in one read.
    std::size_t MaxReadRecords = 512;
    /// Records kept for peers that ask, and their bytes.
    std::size_t MaxRetainedRecords = 4096;
    std::size_t MaxRetainedBytes = 4u << 20;
    /// Longest stretch that is pushed on; more is catching up, not news.
    std::size_t MaxPushed = 64;
    /// Random peers that a record is pushed to besides the ring's successor: of
    /// a change, and of a mere renewal, which is in no hurry.
    std::size_t ChangeFanout = 2;
    std::size_t RenewalFanout = 1;
    /// How long the same random peers are kept, for their connections' sake.
    Millis PeerSelectionInterval{30000};
    /// How far from the end a start looks for a snapshot first.
    std::size_t SnapshotWindow = 2048;
    std::uint64_t Seed = 1;
  };

  struct Hooks {
    /// The members, now.
    std::function<std::shared_ptr<const View>()> CurrentView;
    /// Called after each record, before the state is published.
    std::function<void(Offset At, const FoldState &State,
                       const ControlStateChange &Did)>
        OnApplied;
    /// Called when a whole state was taken over.
    std::function<void(const FoldState &State)> OnStateReplaced;
  };

  static std::shared_ptr<LogFollower>
  create(boost::asio::any_io_executor Executor, Settings Setup, LogPort Log,
         std::shared_ptr<PeerLinks> Links, ControlCounters &Counters,
         Timeline &Events, Hooks Calls);

  /// Starts to obtain a state and to follow.
  void start();
  void stop();

  /// The state published last. Thread-safe.
  std::shared_ptr<const FoldState> state() const { return Shown.get(); }
  /// Whether a state was obtained. Thread-safe.
  bool hasState() const { return Obtained.load(); }
  /// Whether the log answered when last asked. Thread-safe.
  bool logReachable() const { return Reachable.load(); }
  /// The next offset to fold.
  Offset next() const { return Fold.Next; }
  /// The oldest offset that the log kept when last read.
  Offset logFirst() const { return LogFirst; }
  /// How long ago the log was known to end at or before `next`.
  Millis caughtUpAge() const;

  /// Takes records that a peer pushed.
  void receive(const LogPushMessage &Push);
  /// Notes how far a peer is, and asks it for what is missing here.
  void hear(const InstanceName &Peer, Offset PeerNext, Millis PeerLogAge);
  /// Takes a record that the log took from this process at `At`.
  void applyOwnRecord(Offset At, std::string Text);
  /// Reads the log soon, reader or not.
  void requestRead();

  LogPushMessage answer(const LogRequestMessage &Ask) const;
  StateResponseMessage answer(const StateRequestMessage &Ask) const;

private:
  LogFollower(boost::asio::any_io_executor Executor, Settings Setup,
              LogPort Log, std::shared_ptr<PeerLinks> Links,
              ControlCounters &Counters, Timeline &Events, Hooks Calls);

  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> pause(Millis Span);
  boost::asio::awaitable<void> followOnce();
  boost::asio::awaitable<Outcome<LogRange>> read(Offset From, std::size_t Max,
                                                 Millis Wait);
  boost::asio::awaitable<bool> obtainState();
  boost::asio::awaitable<bool> stateFromPeer();
  boost::asio::awaitable<bool> stateFromLog();
  boost::asio::awaitable<Outcome<std::vector<LogEntry>>> readAll(Offset From,
                                                                 Offset End);
  boost::asio::awaitable<void> requestMissingRecords(InstanceName Peer);
  boost::asio::awaitable<void> recoverFromExpiredOffset(Offset First);

  bool isReader() const;
  bool isCatchUpOverdue() const;
  void recordReachability(bool Up, const std::string &Reason);
  void recordCaughtUp(TimePoint At);
  /// Applies what follows on; false when something before it is missing.
  bool applyLogEntries(const std::vector<LogEntry> &Entries, bool Spread);
  /// Whether the record changed more than a claim's term.
  bool applyLogEntry(const LogEntry &Entry);
  void keep(const LogEntry &Entry);
  bool adopt(FoldState State);
  void publish();
  void pushToPeers(const std::vector<LogEntry> &Fresh, bool Quick);
  Millis backOff();

  boost::asio::any_io_executor Executor;
  const Settings Setup;
  LogPort Log;
  std::shared_ptr<PeerLinks> Links;
  ControlCounters &Counters;
  Timeline &Events;
  const Hooks Calls;
  BootTimer Wake;
  std::mt19937_64 Random;

  FoldState Fold;
  Offset LogFirst = 0;
  Published<FoldState> Shown;
  std::atomic<bool> Obtained{false};
  std::atomic<bool> Reachable{false};
  std::deque<LogEntry> Kept;
  std::size_t KeptBytes = 0;
  std::map<InstanceName, Offset> PeerNext;
  /// When the log was known to end at or before `Fold.Next`.
  TimePoint FreshAt;
  Millis CaughtUpAgeJitter{0};
  unsigned Failures = 0;
  bool LogNoted = false;
  bool StaleNoted = false;
  bool ReadRequested = false;
  bool GapRequestInFlight = false;
  bool Stopped = false;
};

} // namespace wasabi

#endif // WASABI_NODE_LOGFOLLOWER_H
