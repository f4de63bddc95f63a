/// \file
/// Records of the rollout topic: job submissions, results, job ends and partial
/// texts; and of the topic of the dispatch lease. Encoded as JSON with a schema
/// number.
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

/// Topic of the records of the dispatch lease.
inline constexpr const char *LeaseTopic = "lease";

/// The process that holds a lease. A value.
struct LeaseHolder {
  InstanceName Instance;
  /// Incarnation of the process; it changes with each restart.
  Incarnation Life = 0;
  bool operator==(const LeaseHolder &) const = default;
};

/// A part of a submitted job. All parts of a submission are appended together.
struct JobPart {
  /// The job with the items of this part only.
  BatchJob Job;
  std::uint32_t PartIndex = 0;
  std::uint32_t PartCount = 1;
  /// Location of the payload with this part's items (`encodeItems`).
  PayloadLocation ItemsLocation = {};
  bool operator==(const JobPart &) const = default;
};

/// An item's result. Only the first result of an item in a job counts.
struct ResultRecord {
  JobId Job;
  ItemResult Result;
  bool operator==(const ResultRecord &) const = default;
};

/// The submitter has ended the job.
struct JobEnd {
  JobId Job;
  bool operator==(const JobEnd &) const = default;
};

/// The partial text of an item as saved by its dispatcher: either the whole
/// text or the events since the dispatcher's previous record of the item.
struct PartialTextRecord {
  JobId Job;
  ItemId Item;
  /// Identifies the dispatcher; texts of different sources must not be joined.
  std::uint64_t Source = 0;
  /// Number of events that precede those in this record; 0 for a whole text.
  std::uint64_t After = 0;
  /// `Output` holds only the events after `After`; `Events` and `Versions`
  /// describe the whole text.
  PartialText Text;
  /// Location of `Text.Output` in the payload topic; empty if it is inline.
  PayloadLocation OutputLocation = {};
  bool operator==(const PartialTextRecord &) const = default;
};

/// Claims the lease. Valid if no lease record lies between `After` and this
/// record; records of other kinds in between do not matter.
struct LeaseClaim {
  LeaseHolder Holder;
  /// Offset of the newest lease record that the claimant has read; empty if
  /// there was none.
  std::optional<Offset> After = std::nullopt;
  bool operator==(const LeaseClaim &) const = default;
};

/// Renews the lease. `Term` is the offset of the claim. Repeats the holder for
/// processes that start reading after the claim has expired from the topic.
struct LeaseRenewal {
  FencingToken Term = 0;
  LeaseHolder Holder;
  bool operator==(const LeaseRenewal &) const = default;
};

/// Releases the lease.
struct LeaseRelease {
  FencingToken Term = 0;
  bool operator==(const LeaseRelease &) const = default;
};

using BatchRecord =
    std::variant<JobPart, ResultRecord, JobEnd, PartialTextRecord, LeaseClaim,
                 LeaseRenewal, LeaseRelease>;

/// Encodes a record as it is appended to the topic. Thread-safe.
std::string encodeRecord(const BatchRecord &Record);

/// Decodes a record. Errors: `BadInput` at `Place` for a malformed record,
/// `NewerSchema` for a record written by a later release. Thread-safe.
Result<BatchRecord> decodeRecord(std::string_view Text,
                                 const std::string &Place);

/// Maximum length in bytes of a text that is stored inline in its record: a
/// payload reference would take about as much space.
inline constexpr std::size_t MaxInlineBytes = 256;

/// Splits a job into parts whose items take about `MaxBytes` each when encoded.
/// Takes time and memory in proportion to the job. Thread-safe.
std::vector<JobPart> splitJob(BatchJob Job, std::size_t MaxBytes);

/// Encodes items as a payload. Thread-safe.
std::string encodeItems(const std::vector<BatchItem> &Items);

/// Decodes the items of a payload. Errors: `BadInput` at `Place`. Thread-safe.
Result<std::vector<BatchItem>> decodeItems(std::string_view Text,
                                           const std::string &Place);

} // namespace wasabi

#endif // WASABI_BATCH_BATCHRECORD_H
