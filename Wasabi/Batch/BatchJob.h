/// \file
/// A batch job of a trainer's step, its items, and their results.
#ifndef WASABI_BATCH_BATCHJOB_H
#define WASABI_BATCH_BATCHJOB_H

#include "Wasabi/Core/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wasabi {

/// A record of the payload topic (`PayloadStore.h`). An immutable value.
struct PayloadRecordRef {
  Offset At = 0;
  std::uint64_t Bytes = 0;
  bool operator==(const PayloadRecordRef &) const = default;
};

/// Where bytes lie in the payload topic: those of the records, joined. Empty
/// where the bytes stand in the record itself.
using PayloadLocation = std::vector<PayloadRecordRef>;

/// A batch job as its submitter names it. Names are a customer's own: two
/// customers may choose the same one, and know nothing of each other's job.
/// Immutable in use.
struct JobId {
  std::string Text;
  /// Empty where customers are not told apart.
  CustomerName Customer;

  JobId() = default;
  explicit JobId(std::string Text, CustomerName Customer = {})
      : Text(std::move(Text)), Customer(std::move(Customer)) {}
  bool empty() const { return Text.empty(); }
  auto operator<=>(const JobId &) const = default;
};
/// A sample of a batch job; carried over to a later job it keeps its name.
using ItemId = Name<struct ItemTag>;

/// A header that goes to the server as it came.
struct ForwardedHeader {
  std::string Name;
  std::string Value;
  bool operator==(const ForwardedHeader &) const = default;
};

/// The request that scores a finished sample.
struct ScoreRequest {
  /// The id that the scoring server sees.
  std::string Id;
  std::string Host;
  std::string Path;
  std::string Body;
  bool operator==(const ScoreRequest &) const = default;
};

/// One sample to generate. An immutable value. Where its job's items lie in the
/// payload topic, all but `Id`, `Group` and `ExpectedTokens` is empty.
struct BatchItem {
  ItemId Id;
  std::string Path;
  std::vector<ForwardedHeader> Headers;
  std::string Body;
  /// Items of one group share their prompt and count only together.
  std::string Group;
  /// Set when the sample needs a score before it counts as complete.
  std::optional<ScoreRequest> Score;
  /// Output length that the caller expects, in tokens; 0 when it does not say.
  /// True at the median only.
  double ExpectedTokens = 0;
  bool operator==(const BatchItem &) const = default;
};

/// A batch job: the samples of one training step. An immutable value.
struct BatchJob {
  JobId Id;
  /// Host and path that it was submitted under; they select its route.
  std::string Host;
  std::string Path;
  ModelName Model;
  std::uint64_t Step = 0;
  /// The oldest weights that may generate its tokens.
  WeightVersion MinVersion = 0;
  /// Complete groups that the trainer waits for; 0 for all.
  std::uint64_t TargetGroups = 0;
  std::vector<BatchItem> Items;
  bool operator==(const BatchJob &) const = default;
};

/// How an item ended.
enum class ItemStatus : std::uint8_t { Completed, Terminated };

/// What stands at one position of a job's results. An immutable value.
struct ItemResult {
  ItemId Item;
  ItemStatus Status = ItemStatus::Completed;
  /// The data of all events in order, joined by line feeds.
  std::string Output;
  /// Every version that generated an event, ascending.
  std::vector<WeightVersion> Versions;
  /// What the scoring server signed; empty if the item needs no score.
  std::string Score;
  /// Where `Output` lies if it isn't here.
  PayloadLocation OutputLocation = {};
  bool operator==(const ItemResult &) const = default;
};

/// The text that an item has so far, and what made it. A value.
struct PartialText {
  std::string Output;
  /// Events in `Output`; the last one's id, as ids count from 1.
  std::uint64_t Events = 0;
  std::vector<WeightVersion> Versions;
  /// Whether it is the item's whole text, which only lacks its score.
  bool IsComplete = false;
  bool operator==(const PartialText &) const = default;
};

} // namespace wasabi

template <> struct std::hash<wasabi::JobId> {
  std::size_t operator()(const wasabi::JobId &Value) const noexcept {
    constexpr std::size_t Spread = 31;
    return std::hash<std::string>()(Value.Text) * Spread +
           std::hash<wasabi::CustomerName>()(Value.Customer);
  }
};

#endif // WASABI_BATCH_BATCHJOB_H
