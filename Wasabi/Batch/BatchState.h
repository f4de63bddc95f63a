/// \file
/// What follows from the rollout topic's order: which jobs were accepted, what
/// stands at each position of their results, and who holds the dispatching
/// duty. The same records give the same state in every process.
#ifndef WASABI_BATCH_BATCHSTATE_H
#define WASABI_BATCH_BATCHSTATE_H

#include "Wasabi/Batch/BatchRecord.h"
#include "Wasabi/Core/Clock.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace wasabi {

/// A stretch of an unfinished text, here or in the payload topic.
struct TextPiece {
  std::string Inline;
  PayloadLocation Location;
};

/// An unfinished text, and whose it is.
struct SavedPartialText {
  /// `Output` is empty: `Pieces` joined.
  PartialText Text;
  std::vector<TextPiece> Pieces;
  /// See `PartialTextRecord::Source`.
  std::uint64_t Source = 0;
};

/// Where an item lies in the payload topic.
struct ItemLocation {
  /// Of the items that lie together; empty if the item is here as a whole.
  PayloadLocation Items;
  /// Its number among them.
  std::size_t Index = 0;
};

/// An accepted job as this process knows it.
struct JobState {
  BatchJob Job;
  /// By item.
  std::vector<ItemLocation> ItemLocations;
  /// Offset of its first record: jobs are ordered by it.
  Offset At = 0;
  /// When this process learnt of it.
  TimePoint Seen;
  bool Ended = false;
  /// By position.
  std::vector<ItemResult> Results;
  /// Index in `Job.Items` of each item.
  std::unordered_map<std::string, std::size_t> Index;
  /// By item: whether it stands in `Results`.
  std::vector<bool> HasResult;
  /// By item: the number of its group.
  std::vector<std::size_t> GroupIndices;
  /// By group: its items that do not stand in `Results`.
  std::vector<std::size_t> PendingPerGroup;
  std::size_t CompleteGroups = 0;
  /// Unfinished texts that dispatchers have saved, by item.
  std::map<std::size_t, SavedPartialText> Texts;
};

/// The dispatching duty.
struct LeaseState {
  /// Empty while nobody has ever held it.
  std::optional<LeaseHolder> Holder;
  /// Offset of the holder's claim, its fencing token.
  FencingToken Term = 0;
  /// Offset of the newest record that changed or prolonged it.
  Offset LastRecordOffset = 0;
  /// When this process saw the holder's last record.
  TimePoint Seen;
  bool Released = false;
};

/// The folded state. Owned by one thread.
struct BatchState {
  struct Settings {
    /// A job is kept this long: results must be readable for 120 s after the
    /// submission on all deployments known, and records expire at 300 s.
    Millis JobRetention{150000};
    bool operator==(const Settings &) const = default;
  };

  Settings Limits;
  /// The next offset to read.
  Offset Next = 0;
  std::unordered_map<JobId, std::shared_ptr<JobState>> Jobs;
  LeaseState Lease;
  /// Parts of a submission whose last part has not been seen.
  std::optional<JobPart> Unfinished;
  /// Places of the items in `Unfinished`.
  std::vector<ItemLocation> PendingItemLocations;
};

/// What a record changed, for whoever acts on it.
struct BatchStateChange {
  enum class Kind : std::uint8_t { Nothing, Accepted, Listed, Ended, Lease };
  Kind What = Kind::Nothing;
  std::shared_ptr<JobState> Job;
};

/// Applies the record at `At`. A record before `Next` was applied already and
/// changes nothing. Precondition: records come in their order.
BatchStateChange apply(BatchState &Fold, Offset At, const BatchRecord &What,
                       TimePoint Now);

/// Passes over the record at `At`, which could not be read.
void skip(BatchState &Fold, Offset At);

/// Forgets jobs that nobody may ask for any more.
void expire(BatchState &Fold, TimePoint Now);

/// Whether as many groups are listed whole as the job's trainer waits for.
/// Pure.
bool isStepComplete(const JobState &Of);

/// The job of this name, null if it is not known.
std::shared_ptr<JobState> findJob(const BatchState &Fold, const JobId &Id);

} // namespace wasabi

#endif // WASABI_BATCH_BATCHSTATE_H
