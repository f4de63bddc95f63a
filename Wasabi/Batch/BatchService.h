/// \file
/// Serves submitters of batch jobs: submission, results, item bodies and ends.
/// Every process gives the same answers, since all read the same topic; a
/// process that may be behind reports `Unavailable`.
#ifndef WASABI_BATCH_BATCHSERVICE_H
#define WASABI_BATCH_BATCHSERVICE_H

#include "Wasabi/Batch/PayloadStore.h"
#include "Wasabi/Batch/RolloutLog.h"
#include "Wasabi/Batch/StepRead.h"
#include "Wasabi/Core/AsyncSignal.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wasabi {

/// Outcome of a submission or of a request to end a job.
enum class JobRequestStatus : std::uint8_t {
  /// The request is stored in the topic and will not be lost.
  Accepted,
  /// The request is not in the topic and will not be appended later.
  Refused,
  /// It is unknown whether the request was or will be appended.
  Unknown,
  /// The job does not exist.
  JobNotFound,
};

/// A page of consecutive results.
struct ResultPage {
  /// Number of items in the job.
  std::size_t Total = 0;
  /// Position after the last result of this page.
  std::size_t Next = 0;
  std::vector<ItemResult> Results;
};

/// Serves batch jobs of one process. Not thread-safe: used only on the thread
/// of its executor.
class BatchService : public std::enable_shared_from_this<BatchService> {
public:
  struct Settings {
    /// Time limit for confirming a submission. Currently unused.
    Millis SubmitTimeout{1500};
    /// Maximum age of the state for reporting a position as empty; if it is
    /// older, the topic is read first. Longer than the poll timeout, and
    /// shorter than the second within which all deployments must agree.
    Millis MaxStateAge{850};
    /// After its first result, a read of a job without a target number of
    /// groups, or of a late step, waits this long for further results, within
    /// the reader's own limit.
    Millis CoalesceDelay{250};
    /// Timing of reads of a trainer's step.
    StepReadSettings StepReads;
    /// Maximum total size of the texts of one result page, in bytes, unless the
    /// first text alone is longer.
    std::size_t MaxPageBytes = 900000;
    /// Maximum memory of the known jobs, with the items of open ones, in bytes;
    /// 0 for no maximum. Jobs beyond it are refused.
    std::uint64_t MaxStateBytes = 0;
    /// Maximum number of bytes that are loaded from the payload topic for
    /// readers at the same time; one load may exceed it. Further readers wait.
    std::uint64_t MaxLoadingBytes = 32u << 20;
  };

  /// Dependencies of the service.
  struct Parts {
    std::shared_ptr<RolloutLog> Log;
    std::shared_ptr<PayloadStore> Payloads;
    std::shared_ptr<DecisionLog> Decisions;
    /// Time after the submission until the job's results are due; 0 if unknown.
    std::function<Millis(const BatchJob &)> ResultTimeout;
    /// Returns true while the store is unreachable, as seen by the reads of the
    /// whole process; if null, as seen by those of `Log`, which must then be
    /// followed always.
    std::function<bool()> StoreUnreachable = nullptr;
  };

  static std::shared_ptr<BatchService> create(Parts Components,
                                              Settings Limits);

  /// Submits a job. Idempotent: a repeated submission returns `Accepted`.
  boost::asio::awaitable<JobRequestStatus> submit(BatchJob Job);

  /// Ends a job. Idempotent: a repeated end returns `Accepted`. A process that
  /// cannot read the store appends the end even if it does not know the job.
  boost::asio::awaitable<JobRequestStatus> end(JobId Id);

  /// Returns the results from position `After` on. Waits up to `MaxWait` for a
  /// first result or, in a trainer's step, for the step to be complete.
  /// Failures: `Expired` if the job does not exist, `Unavailable` if this
  /// process may be behind or cannot read the first text.
  boost::asio::awaitable<Outcome<ResultPage>> read(JobId Id, std::size_t After,
                                                   Millis MaxWait);

  /// Returns the body of an item. Failures as for `read`.
  boost::asio::awaitable<Outcome<std::string>> body(JobId Id, ItemId Item);

private:
  BatchService(Parts Components, Settings Limits);
  boost::asio::awaitable<Outcome<std::vector<std::string>>>
  storeItems(BatchJob Job);
  TimePoint computeAnswerDeadline(const JobState &Job, std::size_t After,
                                  TimePoint ArrivedAt, Millis MaxWait) const;
  boost::asio::awaitable<void> awaitResults(std::shared_ptr<JobState> Job,
                                            std::size_t After,
                                            TimePoint ArrivedAt,
                                            Millis MaxWait);
  boost::asio::awaitable<Outcome<ResultPage>>
  loadResultPage(std::shared_ptr<JobState> Job, std::size_t After);
  boost::asio::awaitable<Outcome<std::shared_ptr<JobState>>>
  findOrRefresh(JobId Id);
  Outcome<std::shared_ptr<JobState>> findCurrent(const JobId &Id) const;
  bool isStoreUnreachable() const;
  bool hasRoomFor(const BatchJob &Job) const;
  class LoadPermit;
  boost::asio::awaitable<std::unique_ptr<LoadPermit>>
  awaitLoad(std::uint64_t Bytes);
  template <typename Check>
  boost::asio::awaitable<JobRequestStatus>
  appendAndConfirm(std::vector<std::string> Records, Check IsVisible);

  const Settings Limits;
  const std::shared_ptr<RolloutLog> Log;
  const std::shared_ptr<PayloadStore> Payloads;
  const std::shared_ptr<DecisionLog> Decisions;
  const std::function<Millis(const BatchJob &)> ResultTimeout;
  const std::function<bool()> StoreUnreachable;
  /// Bytes of the loads in progress, and the signal that one has ended.
  std::uint64_t LoadingBytes = 0;
  std::optional<AsyncSignal> LoadEnded;
};

/// Returns the text of a status for the decision log. Thread-safe.
std::string_view toText(JobRequestStatus Status);

} // namespace wasabi

#endif // WASABI_BATCH_BATCHSERVICE_H
