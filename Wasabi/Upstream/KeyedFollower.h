/// \file
/// Follows a keyed topic and reports changes to the newest record of each key.
/// Handles gaps, deleted keys and reads that return older data.
#ifndef WASABI_UPSTREAM_KEYEDFOLLOWER_H
#define WASABI_UPSTREAM_KEYEDFOLLOWER_H

#include "Wasabi/Core/AsyncSignal.h"
#include "Wasabi/Core/RetryBackoff.h"
#include "Wasabi/Ports/RecordStore.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace wasabi {

/// Read position in a keyed topic and the offsets of its known keys. A value.
struct KeyedOffsets {
  /// Offset of the newest record read for each key.
  std::map<std::string, Offset, std::less<>> Keys;
  /// Offsets of the records that this process has written and not read yet, by
  /// key.
  std::map<std::string, Offset, std::less<>> PendingWrites;
  /// Offset of the next read.
  Offset Next = 0;
};

/// Applies records in order and skips those that are not newer than the known
/// record of their key. Returns the records that were applied. Modifies only
/// `Table`.
std::vector<KeyedRecord>
applyNewRecords(KeyedOffsets &Table, const std::vector<KeyedRecord> &Records);

/// Applies a snapshot, which holds the newest record of each key as of
/// `Range.End`. A known key that is missing from it was deleted, unless its
/// record is at `Range.End` or later; the same holds for a key that this
/// process has written and not read yet. Returns the changed records; deletions
/// have no value. Modifies only `Table`.
std::vector<KeyedRecord> applySnapshot(KeyedOffsets &Table,
                                       const KeyedRange &Range);

/// Follows one keyed topic and calls back for each change. Must be used on the
/// executor's thread only.
class KeyedFollower : public std::enable_shared_from_this<KeyedFollower> {
public:
  struct Settings {
    std::string Topic;
    /// Time that a read waits at the store for new records; see
    /// `RolloutLog::Settings::PollTimeout`.
    Millis PollTimeout{700};
    /// Pause after a read that returned records; see `setPollDelay`.
    Millis PollDelay{50};
    /// Mean pause after a failed read; grows while reads fail.
    Millis RetryDelay{100};
    /// Time limit of the first read of a snapshot. It doubles with each one
    /// that times out, up to `MaxSnapshotTimeout`: a store that all processes
    /// of a deployment read at once answers them one after the other, and a
    /// read that is given up and sent again adds to its work.
    Millis SnapshotTimeout{5000};
    Millis MaxSnapshotTimeout{20000};
    /// Minimum time between the starts of two calls of `refresh` that read.
    /// Bounds the load on the store if callers cause the calls.
    Millis MinRefreshInterval{250};
  };
  /// Called on the executor's thread: `OnChange` for each changed record,
  /// `OnBatch` after the changed records of one read, `OnAnswer` after each
  /// successful read and `OnFailure` after each failed one.
  struct Callbacks {
    std::function<void(const KeyedRecord &)> OnChange;
    std::function<void()> OnBatch;
    std::function<void()> OnAnswer;
    std::function<void(const Failure &)> OnFailure;
  };

  static std::shared_ptr<KeyedFollower>
  create(boost::asio::any_io_executor Executor, RecordStore Store,
         Settings Limits, Callbacks Handlers);

  /// Starts to follow the topic, for as long as the execution context runs.
  void start();
  /// Sets the pause after a read that returns records, from the next read on.
  void setPollDelay(Millis Delay) { PollDelay = Delay; }
  /// Stops reading after the read that is under way.
  void pause() { IsPaused = true; }
  /// Continues after `pause` with a snapshot of the topic.
  void resume();
  /// Notes that this process has written `Key` at offset `At`, so that a later
  /// snapshot without the key is reported as its deletion.
  void recordWritten(const std::string &Key, Offset At) {
    Table.PendingWrites[Key] = At;
  }
  /// True once a snapshot has been read.
  bool hasSnapshot() const { return HasSnapshot; }
  /// Start of the newest read that reached the end of the topic; empty before
  /// the first one. All records that the store had acknowledged by then are
  /// applied.
  std::optional<TimePoint> currentAsOf() const { return CurrentAsOf; }
  /// Reads to the end of the topic at once, beside a read that waits for
  /// records. When it succeeds, `currentAsOf` is not before the call.
  /// Concurrent calls share reads. Precondition: the follower is not paused.
  boost::asio::awaitable<Outcome<Done>> refresh();

private:
  KeyedFollower(boost::asio::any_io_executor Executor, RecordStore Store,
                Settings Limits, Callbacks Handlers);
  boost::asio::awaitable<void> followLoop();
  boost::asio::awaitable<Outcome<std::size_t>> readOnce(Millis PollTimeout);
  boost::asio::awaitable<Outcome<std::size_t>> readSnapshot();
  boost::asio::awaitable<Outcome<std::size_t>>
  readNewRecords(Millis PollTimeout);
  boost::asio::awaitable<Outcome<Done>> readToEnd(TimePoint Since);
  bool isCurrentSince(TimePoint Since) const {
    return CurrentAsOf && *CurrentAsOf >= Since;
  }
  void notifyChanges(const std::vector<KeyedRecord> &Records);

  const Settings Limits;
  const boost::asio::any_io_executor Executor;
  const RecordStore Store;
  const Callbacks Handlers;
  KeyedOffsets Table;
  bool HasSnapshot = false;
  bool NeedsSnapshot = true;
  Millis PollDelay;
  /// Time limit of the next read of a snapshot.
  Millis SnapshotTimeout;
  RetryBackoff Backoff;
  std::mt19937_64 Random;
  bool IsPaused = false;
  AsyncSignal Resumed;
  std::optional<TimePoint> CurrentAsOf;
  /// True while a call of `refresh` reads; others wait for it.
  bool Refreshing = false;
  /// Start of the last call of `refresh` that read; empty before the first one.
  std::optional<TimePoint> LastRefresh;
  AsyncSignal Refreshed;
};

} // namespace wasabi

#endif // WASABI_UPSTREAM_KEYEDFOLLOWER_H
