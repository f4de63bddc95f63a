/// \file
/// What submitters of batch jobs are told: acceptance, results, bodies, ends.
/// Any process answers alike, since all fold the same topic; one that cannot be
/// sure says so.
#ifndef WASABI_BATCH_BATCHSERVICE_H
#define WASABI_BATCH_BATCHSERVICE_H

#include "Wasabi/Batch/PayloadStore.h"
#include "Wasabi/Batch/RolloutLog.h"
#include "Wasabi/Batch/StepRead.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wasabi {

/// What became of a submission or an end.
enum class JobRequestStatus : std::uint8_t {
  /// It is in the topic and will not be lost.
  Accepted,
  /// It certainly is not and will not be.
  Refused,
  /// Nobody can say.
  Unknown,
  /// There is no such job.
  JobNotFound,
};

/// Results from one position on.
struct ResultPage {
  /// Items of the job.
  std::size_t Total = 0;
  /// Position after the last one here.
  std::size_t Next = 0;
  std::vector<ItemResult> Results;
};

/// Used on one thread, that of its executor.
class BatchService : public std::enable_shared_from_this<BatchService> {
public:
  struct Settings {
    /// How long a submission may stay unknown before its submitter is told so.
    Millis SubmitTimeout{1500};
    /// A process that has not seen the end of the topic for longer than this
    /// looks again before it calls a position empty. Longer than the wait of a
    /// read, and shorter than the second in which all deployments known must
    /// agree.
    Millis MaxStateAge{850};
    /// A reader of a job that is no trainer's step, or of a step that is late,
    /// waits this long after its first result, within what it allows, for those
    /// that come with it.
    Millis Gather{250};
    /// For readers of a trainer's step.
    StepReadSettings Steps;
    /// Text of one page of results, in bytes.
    std::size_t MaxPageBytes = 900000;
  };

  /// What a desk works with.
  struct Parts {
    std::shared_ptr<RolloutLog> Log;
    std::shared_ptr<PayloadStore> Payloads;
    std::shared_ptr<DecisionLog> Decisions;
    /// Time after its submission in which a job's results are due; 0 if that is
    /// not known.
    std::function<Millis(const BatchJob &)> ResultTimeout;
  };

  static std::shared_ptr<BatchService> create(Parts With, Settings Limits);

  /// Accepts a job once; a repeated submission is `Accepted` again.
  boost::asio::awaitable<JobRequestStatus> submit(BatchJob Job);

  /// Ends a job; a repeated end is `Accepted` again. A process that is behind
  /// the store ends a job that it does not know of, too.
  boost::asio::awaitable<JobRequestStatus> end(JobId Id);

  /// Results from `After` on, waiting up to `Wait` for one, or at a trainer's
  /// step for it to be whole. Failures: `Expired` when there is no such job,
  /// `Unavailable` when nobody can be sure here.
  boost::asio::awaitable<Outcome<ResultPage>> read(JobId Id, std::size_t After,
                                                   Millis Wait);

  /// The body of an item. Failures as for `read`.
  boost::asio::awaitable<Outcome<std::string>> body(JobId Id, ItemId Item);

private:
  BatchService(Parts With, Settings Limits);
  boost::asio::awaitable<Outcome<std::vector<std::string>>>
  storeItems(const BatchJob &Job);
  TimePoint computeAnswerDeadline(const JobState &Job, std::size_t After,
                                  TimePoint Came, Millis Wait) const;
  boost::asio::awaitable<void> awaitResults(std::shared_ptr<JobState> Job,
                                            std::size_t After, TimePoint Came,
                                            Millis Wait);
  boost::asio::awaitable<Outcome<ResultPage>>
  loadResultPage(std::shared_ptr<JobState> Job, std::size_t After);
  boost::asio::awaitable<Outcome<std::shared_ptr<JobState>>> find(JobId Id);
  template <typename Check>
  boost::asio::awaitable<JobRequestStatus>
  appendAndConfirm(std::vector<std::string> Records, Check Shows);

  const Settings Limits;
  const std::shared_ptr<RolloutLog> Log;
  const std::shared_ptr<PayloadStore> Payloads;
  const std::shared_ptr<DecisionLog> Decisions;
  const std::function<Millis(const BatchJob &)> ResultTimeout;
};

/// The word for a verdict. Thread-safe.
std::string_view toText(JobRequestStatus Verdict);

} // namespace wasabi

#endif // WASABI_BATCH_BATCHSERVICE_H
