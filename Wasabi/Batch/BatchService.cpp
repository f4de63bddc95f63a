#include "Wasabi/Batch/BatchService.h"

#include <boost/asio/this_coro.hpp>

namespace wasabi {

namespace asio = boost::asio;

namespace {

Failure makeJobNotFound(const JobId &Id) {
  return Failure{Verdict::NotRun, FailureCode::Expired, "job " + Id.Text,
                 "there is no such job", Millis(0)};
}

/// Returns the fields of an item that every process needs.
BatchItem summarize(const BatchItem &Item) {
  BatchItem summary;
  summary.Id = Item.Id;
  summary.Group = Item.Group;
  summary.ExpectedTokens = Item.ExpectedTokens;
  return summary;
}

Failure makeUnavailable(const JobId &Id, const std::string &Reason) {
  constexpr Millis RetryAfter{200};
  return Failure{Verdict::NotRun, FailureCode::Unavailable, "job " + Id.Text,
                 "this process is behind the store: " + Reason, RetryAfter};
}

} // namespace

std::string_view toText(JobRequestStatus Status) {
  switch (Status) {
  case JobRequestStatus::Accepted:
    return "taken";
  case JobRequestStatus::Refused:
    return "refused";
  case JobRequestStatus::Unknown:
    return "unknown";
  case JobRequestStatus::JobNotFound:
    return "no-job";
  }
  return "unknown";
}

BatchService::BatchService(Parts Components, Settings Limits)
    : Limits(Limits), Log(std::move(Components.Log)),
      Payloads(std::move(Components.Payloads)),
      Decisions(std::move(Components.Decisions)),
      ResultTimeout(std::move(Components.ResultTimeout)),
      StoreUnreachable(std::move(Components.StoreUnreachable)) {}

std::shared_ptr<BatchService> BatchService::create(Parts Components,
                                                   Settings Limits) {
  return std::shared_ptr<BatchService>(
      new BatchService(std::move(Components), Limits));
}

bool BatchService::isStoreUnreachable() const {
  return StoreUnreachable ? StoreUnreachable() : Log->contact().Lost;
}

/// Appends records and, if the outcome is unknown, reads the topic to look for
/// them. Returns `Refused` only if the records were not and will not be
/// appended. `IsVisible` is true once the state contains their effect.
template <typename Check>
asio::awaitable<JobRequestStatus>
BatchService::appendAndConfirm(std::vector<std::string> Records,
                               Check IsVisible) {
  // While the store is unreachable nothing is sent: the submitter gets an
  // immediate refusal and can try another process.
  if (isStoreUnreachable())
    co_return JobRequestStatus::Refused;
  Outcome<Offset> appended = co_await Log->append(std::move(Records));
  if (appended || IsVisible())
    co_return JobRequestStatus::Accepted;
  if (appended.failure().Run == Verdict::NotRun)
    co_return JobRequestStatus::Refused;
  // The records may have been appended, or may be later; read the topic.
  Outcome<Done> refreshed = co_await Log->refresh();
  if (refreshed && IsVisible())
    co_return JobRequestStatus::Accepted;
  co_return JobRequestStatus::Unknown;
}

/// Stores the items of a job as payloads and returns the records that submit
/// it. The job is accepted once all of the records are in the topic.
asio::awaitable<Outcome<std::vector<std::string>>>
BatchService::storeItems(BatchJob Job) {
  std::vector<JobPart> parts =
      splitJob(std::move(Job), Payloads->settings().MaxRecordBytes);
  std::vector<std::string> items;
  items.reserve(parts.size());
  for (JobPart &it : parts) {
    items.push_back(encodeItems(it.Job.Items));
    // The records hold only a summary of the items.
    for (BatchItem &item : it.Job.Items)
      item = summarize(item);
  }
  Outcome<std::vector<PayloadLocation>> locations =
      co_await Payloads->put(items);
  // Storing the items twice is harmless, so a failed append is retried once.
  if (!locations && !isStoreUnreachable())
    locations = co_await Payloads->put(items);
  if (!locations)
    co_return locations.failure();
  std::vector<std::string> records;
  records.reserve(parts.size());
  for (std::size_t i = 0; i < parts.size(); ++i) {
    parts[i].ItemsLocation = std::move((*locations)[i]);
    records.push_back(encodeRecord(parts[i]));
  }
  co_return records;
}

/// Returns true if a job fits the memory for jobs. All processes hold the same
/// jobs, so each of them refuses it.
bool BatchService::hasRoomFor(const BatchJob &Job) const {
  if (Limits.MaxStateBytes == 0)
    return true;
  std::uint64_t held = estimateMemory(Log->fold());
  std::uint64_t added = estimateMemory(Job);
  if (held == 0 || held + added <= Limits.MaxStateBytes)
    return true;
  Decisions->line("job.no_room",
                  {{"job", Job.Id.Text},
                   {"bytes", std::to_string(added)},
                   {"held", std::to_string(held)},
                   {"max", std::to_string(Limits.MaxStateBytes)}});
  return false;
}

asio::awaitable<JobRequestStatus> BatchService::submit(BatchJob Job) {
  std::shared_ptr<BatchService> self = shared_from_this();
  Log->demand();
  JobId id = Job.Id;
  ModelName model = Job.Model;
  std::uint64_t step = Job.Step;
  std::size_t items = Job.Items.size();
  auto isVisible = [this, id] { return findJob(Log->fold(), id) != nullptr; };
  JobRequestStatus status = JobRequestStatus::Accepted;
  bool isKnown = isVisible();
  if (!isKnown && (isStoreUnreachable() || !hasRoomFor(Job)))
    status = JobRequestStatus::Refused;
  else if (!isKnown) {
    Outcome<std::vector<std::string>> records =
        co_await storeItems(std::move(Job));
    status = records ? co_await appendAndConfirm(std::move(*records), isVisible)
                     : JobRequestStatus::Refused;
  }
  Decisions->line("job.submitted", {{"job", id.Text},
                                    {"model", model.Text},
                                    {"step", std::to_string(step)},
                                    {"items", std::to_string(items)},
                                    {"verdict", std::string(toText(status))}});
  co_return status;
}

asio::awaitable<JobRequestStatus> BatchService::end(JobId Id) {
  std::shared_ptr<BatchService> self = shared_from_this();
  Outcome<std::shared_ptr<JobState>> job = co_await findOrRefresh(Id);
  if (!job && job.failure().Code == FailureCode::Expired)
    co_return JobRequestStatus::JobNotFound;
  JobRequestStatus status = JobRequestStatus::Accepted;
  // Appended even if the job's existence is unknown: the end of an unknown job
  // is ignored by all readers.
  if (!job || !(*job)->Ended) {
    std::vector<std::string> records{encodeRecord(JobEnd{Id})};
    // GCC 12 destroys a temporary lambda in a `co_await` expression twice.
    auto isEnded = [this, Id] {
      std::shared_ptr<JobState> state = findJob(Log->fold(), Id);
      return state && state->Ended;
    };
    status = co_await appendAndConfirm(std::move(records), isEnded);
  }
  Decisions->line("job.ended",
                  {{"job", Id.Text}, {"verdict", std::string(toText(status))}});
  co_return status;
}

asio::awaitable<Outcome<std::shared_ptr<JobState>>>
BatchService::findOrRefresh(JobId Id) {
  Log->demand();
  std::shared_ptr<JobState> job = findJob(Log->fold(), Id);
  if (job)
    co_return job;
  // Another process may have accepted the job a moment ago.
  Outcome<Done> refreshed = co_await Log->refresh();
  if (!refreshed)
    co_return makeUnavailable(Id, refreshed.failure().Reason);
  co_return findCurrent(Id);
}

/// Returns the job as of the state that was read last. A job whose records may
/// have expired is not denied.
Outcome<std::shared_ptr<JobState>>
BatchService::findCurrent(const JobId &Id) const {
  std::shared_ptr<JobState> job = findJob(Log->fold(), Id);
  if (job)
    return job;
  bool isUncertain = mayHaveExpired(Log->fold(), Id, monotonicNow());
  Decisions->line("job.not_found",
                  {{"job", Id.Text},
                   {"known_from", std::to_string(Log->fold().KnownFrom)},
                   {"verdict", isUncertain ? "uncertain" : "absent"}});
  if (isUncertain)
    return makeUnavailable(Id, "its submission may have expired");
  return makeJobNotFound(Id);
}

asio::awaitable<Outcome<ResultPage>>
BatchService::read(JobId Id, std::size_t After, Millis MaxWait) {
  std::shared_ptr<BatchService> self = shared_from_this();
  Outcome<std::shared_ptr<JobState>> found = co_await findOrRefresh(Id);
  if (!found)
    co_return found.failure();
  TimePoint arrived = monotonicNow();
  co_await awaitResults(*found, After, arrived, MaxWait);
  // A position may be reported as empty only if the state is fresh: another
  // process may already have returned a result for it.
  std::size_t known = (*found)->Results.size();
  bool isBeyondEnd = After > known;
  bool isStale = monotonicNow() - Log->lastCaughtUpTime() > Limits.MaxStateAge;
  if (known <= After && (isBeyondEnd || isStale)) {
    Outcome<Done> refreshed = co_await Log->refresh();
    if (!refreshed)
      co_return makeUnavailable(Id, refreshed.failure().Reason);
    // Its records may have expired since it was found.
    found = findCurrent(Id);
    if (!found)
      co_return found.failure();
  }

  Outcome<ResultPage> page = co_await loadResultPage(*found, After);
  Decisions->line(
      "job.read",
      {{"job", Id.Text},
       {"after", std::to_string(After)},
       {"known", std::to_string((*found)->Results.size())},
       {"given",
        page ? std::to_string(page->Results.size()) : describe(page.failure())},
       {"waited_ms", std::to_string(std::chrono::duration_cast<Millis>(
                                        monotonicNow() - arrived)
                                        .count())}});
  co_return page;
}

/// Returns the time until which a read of a trainer's step waits for the step
/// to be complete; `ArrivedAt` for other jobs.
TimePoint BatchService::computeAnswerDeadline(const JobState &Job,
                                              std::size_t After,
                                              TimePoint ArrivedAt,
                                              Millis MaxWait) const {
  if (Job.Job.TargetGroups == 0)
    return ArrivedAt;
  StepRead read{ArrivedAt, MaxWait, Job.Results.size() > After, std::nullopt};
  Millis timeout = ResultTimeout ? ResultTimeout(Job.Job) : Millis(0);
  if (timeout > Millis(0))
    read.Due = Job.Seen + timeout;
  return wasabi::computeAnswerDeadline(read, Limits.StepReads);
}

/// Waits until the step is complete or its answer deadline has passed. If there
/// is no result at `After` by then, waits for one and briefly for further ones.
asio::awaitable<void> BatchService::awaitResults(std::shared_ptr<JobState> Job,
                                                 std::size_t After,
                                                 TimePoint ArrivedAt,
                                                 Millis MaxWait) {
  TimePoint stepDeadline =
      computeAnswerDeadline(*Job, After, ArrivedAt, MaxWait);
  while (!isStepComplete(*Job) && !Job->Ended && monotonicNow() < stepDeadline)
    co_await Log->changes().wait(stepDeadline);
  if (Job->Results.size() > After)
    co_return;
  TimePoint deadline = ArrivedAt + MaxWait;
  while (Job->Results.size() <= After && !Job->Ended &&
         monotonicNow() < deadline)
    co_await Log->changes().wait(deadline);
  TimePoint coalesceDeadline =
      std::min(deadline, monotonicNow() + Limits.CoalesceDelay);
  while (!isStepComplete(*Job) && !Job->Ended &&
         monotonicNow() < coalesceDeadline)
    co_await Log->changes().wait(coalesceDeadline);
}

/// Counts a load for as long as it lives. The service must outlive it.
class BatchService::LoadPermit {
public:
  LoadPermit(BatchService &Owner, std::uint64_t Bytes)
      : Owner(Owner), Bytes(Bytes) {
    Owner.LoadingBytes += Bytes;
  }
  LoadPermit(const LoadPermit &) = delete;
  LoadPermit &operator=(const LoadPermit &) = delete;
  ~LoadPermit() {
    Owner.LoadingBytes -= Bytes;
    if (Owner.LoadEnded)
      Owner.LoadEnded->notify();
  }

private:
  BatchService &Owner;
  const std::uint64_t Bytes;
};

/// Waits until `Bytes` may be loaded beside the loads in progress.
asio::awaitable<std::unique_ptr<BatchService::LoadPermit>>
BatchService::awaitLoad(std::uint64_t Bytes) {
  if (!LoadEnded)
    LoadEnded.emplace(co_await asio::this_coro::executor);
  while (LoadingBytes > 0 && LoadingBytes + Bytes > Limits.MaxLoadingBytes)
    co_await LoadEnded->wait();
  std::unique_ptr<LoadPermit> permit =
      std::make_unique<LoadPermit>(*this, Bytes);
  co_return std::move(permit);
}

/// Returns the results from `After` on with their texts, limited by the page
/// size and by the texts that the store returns now.
asio::awaitable<Outcome<ResultPage>>
BatchService::loadResultPage(std::shared_ptr<JobState> Job, std::size_t After) {
  // A page holds its texts and the records that contain them.
  std::unique_ptr<LoadPermit> permit =
      co_await awaitLoad(2 * Limits.MaxPageBytes);
  ResultPage page;
  page.Total = Job->Job.Items.size();
  std::size_t bytes = 0;
  for (std::size_t i = After; i < Job->Results.size(); ++i) {
    ItemResult result = Job->Results[i];
    Outcome<std::string> text = co_await Payloads->get(result.OutputLocation);
    if (!text && page.Results.empty())
      co_return makeUnavailable(Job->Job.Id, text.failure().Reason);
    if (!text)
      break;
    result.Output += *text;
    result.OutputLocation.clear();
    bytes += result.Output.size();
    if (!page.Results.empty() && bytes > Limits.MaxPageBytes)
      break;
    page.Results.push_back(std::move(result));
  }
  page.Next = After + page.Results.size();
  co_return page;
}

asio::awaitable<Outcome<std::string>> BatchService::body(JobId Id,
                                                         ItemId Item) {
  std::shared_ptr<BatchService> self = shared_from_this();
  Outcome<std::shared_ptr<JobState>> found = co_await findOrRefresh(Id);
  if (!found)
    co_return found.failure();
  const JobState &job = **found;
  auto it = job.Index.find(Item.Text);
  if (it == job.Index.end())
    co_return makeJobNotFound(Id);
  ItemLocation location = job.ItemLocations[it->second];
  if (location.Items.empty())
    co_return job.Job.Items[it->second].Body;
  std::uint64_t bytes = 0;
  for (const PayloadRecordRef &record : location.Items)
    bytes += record.Bytes;
  // The payload is held as text and decoded.
  std::unique_ptr<LoadPermit> permit = co_await awaitLoad(2 * bytes);
  Outcome<std::vector<BatchItem>> items =
      co_await getItems(*Payloads, location.Items, Id);
  if (!items)
    co_return makeUnavailable(Id, items.failure().Reason);
  if (location.Index >= items->size())
    co_return makeUnavailable(Id, "the payload of its items is too short");
  co_return std::move((*items)[location.Index].Body);
}

} // namespace wasabi
