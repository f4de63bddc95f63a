/// \file
/// Follows a keyed topic: the newest record of each key, through gaps, deleted
/// records and answers that are older than what was read before.
#ifndef WASABI_UPSTREAM_KEYEDFOLLOWER_H
#define WASABI_UPSTREAM_KEYEDFOLLOWER_H

#include "Wasabi/Core/AsyncSignal.h"
#include "Wasabi/Ports/RecordStore.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace wasabi {

/// The newest offset of each key seen. A value.
struct KeyedOffsets {
  std::map<std::string, Offset, std::less<>> Keys;
  /// Keys that this process has written and not read yet, by their offset.
  std::map<std::string, Offset, std::less<>> Written;
  Offset Next = 0;
};

/// Takes records in order; those that are not newer than what is known of their
/// key are left out. Returns what changed. Pure but for `Table`.
std::vector<KeyedRecord>
applyNewRecords(KeyedOffsets &Table, const std::vector<KeyedRecord> &Records);

/// Takes the newest record of each key as of `Range.End`: a key that is not
/// among them was deleted, unless its record is newer than that. Returns what
/// changed, deletions without a value: also of a key that this process has
/// written and that was deleted before it was read. Pure but for `Table`.
std::vector<KeyedRecord> applySnapshot(KeyedOffsets &Table,
                                       const KeyedRange &Range);

/// Used on one thread, that of its executor.
class KeyedFollower : public std::enable_shared_from_this<KeyedFollower> {
public:
  struct Settings {
    std::string Topic;
    /// How long a read waits; see `RolloutLog::Settings::PollTimeout`.
    Millis PollTimeout{700};
    /// Pause after a read that brought records.
    Millis PollDelay{50};
    /// Pause after a failed read.
    Millis RetryDelay{100};
  };
  /// What the owner does with what is read.
  struct Callbacks {
    std::function<void(const KeyedRecord &)> Changed;
    std::function<void()> Answered;
    std::function<void(const Failure &)> Failed;
  };

  static std::shared_ptr<KeyedFollower>
  create(boost::asio::any_io_executor Executor, RecordStore Store,
         Settings Limits, Callbacks Calls);

  /// Begins to follow, for as long as the context runs.
  void start();
  /// This process has written `Key`: a whole reading that does not show it
  /// tells that it was deleted meanwhile.
  void recordWritten(const std::string &Key, Offset At) {
    Table.Written[Key] = At;
  }
  /// Whether the whole table has been read once.
  bool hasSnapshot() const { return HasSnapshot; }

private:
  KeyedFollower(boost::asio::any_io_executor Executor, RecordStore Store,
                Settings Limits, Callbacks Calls);
  boost::asio::awaitable<void> follow();
  boost::asio::awaitable<bool> readWhole();
  boost::asio::awaitable<bool> readNewRecords();
  void tell(const std::vector<KeyedRecord> &Records);

  const Settings Limits;
  const boost::asio::any_io_executor Executor;
  const RecordStore Store;
  const Callbacks Calls;
  KeyedOffsets Table;
  bool HasSnapshot = false;
  bool Behind = true;
};

} // namespace wasabi

#endif // WASABI_UPSTREAM_KEYEDFOLLOWER_H
