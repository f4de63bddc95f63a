/// \file
/// The state folded from the rollout topic: accepted jobs, their results by
/// position, and the holder of the dispatch lease. The same records produce the
/// same state in every process.
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

/// A piece of a partial text, inline or in the payload topic.
struct TextPiece {
  std::string Inline;
  PayloadLocation Location;
};

/// A partial text and the dispatcher that saved it.
struct SavedPartialText {
  /// `Output` is empty here: the text is the concatenation of `Pieces`.
  PartialText Text;
  std::vector<TextPiece> Pieces;
  /// See `PartialTextRecord::Source`.
  std::uint64_t Source = 0;
};

/// Location of an item in the payload topic.
struct ItemLocation {
  /// Location of the payload that contains the item; empty if the item is
  /// stored inline.
  PayloadLocation Items;
  /// Index of the item within the payload.
  std::size_t Index = 0;
};

/// State of an accepted job as known to this process.
struct JobState {
  BatchJob Job;
  /// By item: its location.
  std::vector<ItemLocation> ItemLocations;
  /// Size of the items as they are stored. The dispatcher holds them while the
  /// job is open.
  std::uint64_t ItemBytes = 0;
  /// Estimated memory of the state itself.
  std::uint64_t StateBytes = 0;
  /// Offset of the last record of its submission; jobs are ordered by it.
  Offset At = 0;
  /// Time at which this process read the last record of the submission.
  TimePoint Seen;
  bool Ended = false;
  /// Time at which this process read the end; valid if `Ended`.
  TimePoint EndedAt;
  /// Results by position.
  std::vector<ItemResult> Results;
  /// Index into `Job.Items`, by item id.
  std::unordered_map<std::string, std::size_t> Index;
  /// By item: true if `Results` contains its result.
  std::vector<bool> HasResult;
  /// By item: index of its group.
  std::vector<std::size_t> GroupIndices;
  /// By group: number of items without a result.
  std::vector<std::size_t> PendingPerGroup;
  std::size_t CompleteGroups = 0;
  /// Partial texts saved by dispatchers, by item index.
  std::map<std::size_t, SavedPartialText> Texts;
};

/// State of the dispatch lease.
struct LeaseState {
  /// Empty until the first claim.
  std::optional<LeaseHolder> Holder;
  /// Offset of the holder's claim, which serves as its fencing token.
  FencingToken Term = 0;
  /// Offset of the newest record that claimed, renewed or released the lease.
  Offset LastRecordOffset = 0;
  /// Time at which this process read the newest record of the lease.
  TimePoint Seen;
  bool Released = false;
};

/// The state folded from the topic. Owned by one thread.
struct BatchState {
  struct Settings {
    /// Time for which a job is kept after its end was read. Results must be
    /// readable for 120 s after the submission, and an end may be repeated.
    Millis JobRetention{150000};
    /// Minimum age of records that have expired. A job that has not ended is
    /// kept for as long after its submission was read: its items are owed, and
    /// its results must be readable.
    Millis RecordRetention{300000};
    bool operator==(const Settings &) const = default;
  };

  Settings Limits;
  /// Next offset to read.
  Offset Next = 0;
  /// The state is folded from all records from this offset on. If it is not 0,
  /// earlier records had expired, and a missing holder of the lease is unknown
  /// rather than absent.
  Offset KnownFrom = 0;
  /// Time at which `KnownFrom` was learned.
  TimePoint KnownSince;
  std::unordered_map<JobId, std::shared_ptr<JobState>> Jobs;
  /// Jobs that exist although their submission has expired, with the time at
  /// which the newest record of each was read.
  std::unordered_map<JobId, TimePoint> PartlyExpired;
  LeaseState Lease;
  /// Submission whose last part has not been read yet.
  std::optional<JobPart> PendingSubmission;
  /// Locations of the items in `PendingSubmission`.
  std::vector<ItemLocation> PendingItemLocations;
};

/// The change that a record caused, as passed to listeners.
struct BatchStateChange {
  enum class Kind : std::uint8_t {
    Nothing,
    Accepted,
    ResultAdded,
    Ended,
    Lease
  };
  Kind What = Kind::Nothing;
  std::shared_ptr<JobState> Job;
};

/// Applies the record at offset `At`. A record before `Next` has been applied
/// already and changes nothing. Precondition: records are applied in order of
/// their offsets.
BatchStateChange apply(BatchState &State, Offset At, const BatchRecord &Record,
                       TimePoint Now);

/// Skips the record at offset `At`, which could not be decoded.
void skip(BatchState &State, Offset At);

/// Continues at `First`, as the records before it have expired. Their effects
/// on what is known are unknown: a job may have ended, a result may have been
/// listed, another process may hold the lease. So the state starts anew.
/// Returns the jobs that had not ended; they are marked as ended.
std::vector<std::shared_ptr<JobState>> skipExpired(BatchState &State,
                                                   Offset First, TimePoint Now);

/// Returns the memory, in bytes, that a process needs for the jobs, with the
/// items of open ones. An estimate. Pure.
std::uint64_t estimateMemory(const BatchState &State);

/// Returns the memory that a job adds to it once it is accepted. Pure.
std::uint64_t estimateMemory(const BatchJob &Job);

/// Removes the jobs that have been kept for long enough, see `Settings`.
void expireJobs(BatchState &State, TimePoint Now);

/// True if as many groups are complete as the job's trainer waits for. Pure.
bool isStepComplete(const JobState &Job);

/// Returns the job with this id, or null if it is not known.
std::shared_ptr<JobState> findJob(const BatchState &State, const JobId &Id);

/// Returns true if a job that is not known may nevertheless have been accepted
/// within `Settings::JobRetention`: its submission may have expired. Pure.
bool mayHaveExpired(const BatchState &State, const JobId &Id, TimePoint Now);

} // namespace wasabi

#endif // WASABI_BATCH_BATCHSTATE_H
