/// \file
/// The records of the rollout topic: jobs, results, ends, unfinished texts, and
/// the lease of the dispatching duty. JSON with a schema number.
#ifndef WASABI_BATCH_BATCHRECORD_H
#define WASABI_BATCH_BATCHRECORD_H

#include "Wasabi/Batch/BatchJob.h"
#include "Wasabi/Core/Verdict.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wasabi {

/// Who writes under a lease. A value.
struct LeaseHolder {
  InstanceName Instance;
  /// Tells a restarted process from its predecessor.
  Incarnation Life = 0;
  bool operator==(const LeaseHolder &) const = default;
};

/// A part of a submitted job. Parts of one submission are appended together.
struct JobPart {
  /// The job's data with the items of this part only.
  BatchJob Job;
  std::uint32_t Part = 0;
  std::uint32_t Parts = 1;
  /// Where the items of this part lie as a whole (`encodeItems`).
  PayloadLocation ItemsLocation = {};
  bool operator==(const JobPart &) const = default;
};

/// An item's result; the first one of an item in a job counts.
struct ResultRecord {
  JobId Job;
  ItemResult Result;
  bool operator==(const ResultRecord &) const = default;
};

/// The job was ended by its submitter.
struct JobEnd {
  JobId Job;
  bool operator==(const JobEnd &) const = default;
};

/// What an item's dispatcher has of its unfinished text, whole or what came
/// since its last such record.
struct PartialTextRecord {
  JobId Job;
  ItemId Item;
  /// Tells the texts of two dispatchers apart, which must not be joined.
  std::uint64_t Source = 0;
  /// Events that came before those here; 0 for a whole text.
  std::uint64_t After = 0;
  /// `Output` holds what came after them, `Events` and `Versions` are of the
  /// whole text.
  PartialText Text;
  /// Where `Text.Output` lies if it isn't here.
  PayloadLocation OutputLocation = {};
  bool operator==(const PartialTextRecord &) const = default;
};

/// Takes the lease. Valid if no record of the lease lies between `After` and
/// it: what else is appended meanwhile does not matter.
struct LeaseClaim {
  LeaseHolder Holder;
  /// Offset of the newest record of the lease that the claimant has seen; empty
  /// if it has seen none.
  std::optional<Offset> After = std::nullopt;
  bool operator==(const LeaseClaim &) const = default;
};

/// Holds the lease further. `Term` is the offset of the claim. Names the holder
/// for those who begin to read after the claim has expired.
struct LeaseRenewal {
  FencingToken Term = 0;
  LeaseHolder Holder;
  bool operator==(const LeaseRenewal &) const = default;
};

/// Gives the lease back.
struct LeaseRelease {
  FencingToken Term = 0;
  bool operator==(const LeaseRelease &) const = default;
};

using BatchRecord =
    std::variant<JobPart, ResultRecord, JobEnd, PartialTextRecord, LeaseClaim,
                 LeaseRenewal, LeaseRelease>;

/// The text of a record as it is appended. Thread-safe.
std::string encodeRecord(const BatchRecord &What);

/// The reverse. Errors: `BadInput` at `Place` for a malformed record,
/// `NewerSchema` for one that a later release wrote. Thread-safe.
Result<BatchRecord> decodeRecord(std::string_view Text,
                                 const std::string &Place);

/// A text up to this long, in bytes, stands in its record: to name it and to
/// read it elsewhere would cost as much.
inline constexpr std::size_t MaxInlineBytes = 256;

/// The parts of one submission, the items of each some `MaxBytes` long.
/// Thread-safe.
std::vector<JobPart> splitJob(const BatchJob &Job, std::size_t MaxBytes);

/// Items as a payload. Thread-safe.
std::string encodeItems(const std::vector<BatchItem> &Items);

/// The reverse. Errors: `BadInput` at `Place`. Thread-safe.
Result<std::vector<BatchItem>> decodeItems(std::string_view Text,
                                           const std::string &Place);

} // namespace wasabi

#endif // WASABI_BATCH_BATCHRECORD_H
