/// \file
/// Batch jobs, their items and the results of the items.
#ifndef WASABI_BATCH_BATCHJOB_H
#define WASABI_BATCH_BATCHJOB_H

#include "Wasabi/Core/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wasabi {

/// Refers to a record of the payload topic (`PayloadStore.h`). An immutable
/// value.
struct PayloadRecordRef {
  Offset At = 0;
  std::uint64_t Bytes = 0;
  bool operator==(const PayloadRecordRef &) const = default;
};

/// Location of a payload in the payload topic: its records in order, whose
/// contents are concatenated. Empty if the bytes are stored inline.
using PayloadLocation = std::vector<PayloadRecordRef>;

/// Identifies a batch job by the name that its submitter chose. Names are
/// scoped to a customer: two customers may use the same one for different jobs.
/// Immutable in use.
struct JobId {
  std::string Text;
  /// Empty if customers are not distinguished.
  CustomerName Customer;

  JobId() = default;
  explicit JobId(std::string Text, CustomerName Customer = {})
      : Text(std::move(Text)), Customer(std::move(Customer)) {}
  bool empty() const { return Text.empty(); }
  auto operator<=>(const JobId &) const = default;
};
/// Identifies a sample of a batch job. A sample that is carried over to a later
/// job keeps its id.
using ItemId = Name<struct ItemTag>;

/// A header that is forwarded to the server unchanged.
struct ForwardedHeader {
  std::string Name;
  std::string Value;
  bool operator==(const ForwardedHeader &) const = default;
};

/// The request that scores a finished sample.
struct ScoreRequest {
  /// Request id that the scoring server receives.
  std::string Id;
  std::string Host;
  std::string Path;
  std::string Body;
  bool operator==(const ScoreRequest &) const = default;
};

/// One sample to generate. An immutable value. If the job's items are stored in
/// the payload topic, only `Id`, `Group` and `ExpectedTokens` are set.
struct BatchItem {
  ItemId Id;
  std::string Path;
  std::vector<ForwardedHeader> Headers;
  std::string Body;
  /// Items of a group share their prompt; a group is complete when all its
  /// items have results.
  std::string Group;
  /// Set if the sample needs a score before it is complete.
  std::optional<ScoreRequest> Score;
  /// Output length that the caller expects, in tokens; 0 if not given. An
  /// estimate of the median only.
  double ExpectedTokens = 0;
  /// Length of the prompt and maximum length of the output, in tokens; 0 if not
  /// given.
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxOutputTokens = 0;
  bool operator==(const BatchItem &) const = default;
};

/// A batch job: the samples of one training step. An immutable value.
struct BatchJob {
  JobId Id;
  /// Host and path of the submission; they select the route.
  std::string Host;
  std::string Path;
  ModelName Model;
  std::uint64_t Step = 0;
  /// The oldest weight version that may generate tokens of this job.
  WeightVersion MinVersion = 0;
  /// Number of complete groups that the trainer waits for; 0 for all.
  std::uint64_t TargetGroups = 0;
  /// Version of the configuration that admitted the job. A process with an
  /// older one can't tell where its items may run, nor that they may not. 0 if
  /// unknown: the job was submitted to a process of an earlier release.
  std::uint64_t AdmittedUnder = 0;
  std::vector<BatchItem> Items;
  bool operator==(const BatchJob &) const = default;
};

/// Final status of an item.
enum class ItemStatus : std::uint8_t { Completed, Terminated };

/// The result at one position of a job's results. An immutable value.
struct ItemResult {
  ItemId Item;
  ItemStatus Status = ItemStatus::Completed;
  /// The data of all events in order, joined by line feeds.
  std::string Output;
  /// Every weight version that generated an event, ascending.
  std::vector<WeightVersion> Versions;
  /// Signed score from the scoring server; empty if the item needs no score.
  std::string Score;
  /// Location of `Output` in the payload topic; empty if it is inline.
  PayloadLocation OutputLocation = {};
  bool operator==(const ItemResult &) const = default;
};

/// The partial output of an item and the weight versions that generated it.
/// A value.
struct PartialText {
  std::string Output;
  /// Number of events in `Output`, which is also the id of the last one: ids
  /// count from 1.
  std::uint64_t Events = 0;
  std::vector<WeightVersion> Versions;
  /// True if the output is complete and only the score is missing.
  bool IsComplete = false;
  bool operator==(const PartialText &) const = default;
};

} // namespace wasabi

template <> struct std::hash<wasabi::JobId> {
  std::size_t operator()(const wasabi::JobId &Id) const noexcept {
    constexpr std::size_t HashMultiplier = 31;
    return std::hash<std::string>()(Id.Text) * HashMultiplier +
           std::hash<wasabi::CustomerName>()(Id.Customer);
  }
};

#endif // WASABI_BATCH_BATCHJOB_H
