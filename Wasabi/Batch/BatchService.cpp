#include "Wasabi/Batch/BatchService.h"

namespace wasabi {

namespace asio = boost::asio;

namespace {

Failure noJob(const JobId &Id) {
  return Failure{Verdict::NotRun, FailureCode::Expired, "job " + Id.Text,
                 "there is no such job", Millis(0)};
}

Failure unsure(const JobId &Id, const std::string &Reason) {
  constexpr Millis ComeBack{200};
  return Failure{Verdict::NotRun, FailureCode::Unavailable, "job " + Id.Text,
                 "this process is behind the store: " + Reason, ComeBack};
}

} // namespace

std::string_view toText(JobRequestStatus Verdict) {
  switch (Verdict) {
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

BatchService::BatchService(Parts With, Settings Limits)
    : Limits(Limits), Log(std::move(With.Log)),
      Payloads(std::move(With.Payloads)), Decisions(std::move(With.Decisions)),
      ResultTimeout(std::move(With.ResultTimeout)) {}

std::shared_ptr<BatchService> BatchService::create(Parts With,
                                                   Settings Limits) {
  return std::shared_ptr<BatchService>(
      new BatchService(std::move(With), Limits));
}

/// Appends until the store takes the records or the topic shows what they say.
/// `Refused` only if no append can have happened or can still happen.
template <typename Check>
asio::awaitable<JobRequestStatus>
BatchService::appendAndConfirm(std::vector<std::string> Records, Check Shows) {
  // Out of reach of the store nothing is sent: the submitter hears at once that
  // nothing was taken, and another process may reach it.
  if (Log->contact().Lost)
    co_return JobRequestStatus::Refused;
  Outcome<Offset> got = co_await Log->append(std::move(Records));
  if (got || Shows())
    co_return JobRequestStatus::Accepted;
  if (got.failure().Run == Verdict::NotRun)
    co_return JobRequestStatus::Refused;
  // It may be there, or come yet: the topic tells.
  Outcome<Done> fresh = co_await Log->refresh();
  if (fresh && Shows())
    co_return JobRequestStatus::Accepted;
  co_return JobRequestStatus::Unknown;
}

/// Stores the items of a job and gives the records that make it one. Until one
/// of these is in the topic nothing has been accepted.
asio::awaitable<Outcome<std::vector<std::string>>>
BatchService::storeItems(const BatchJob &Job) {
  std::vector<JobPart> parts =
      splitJob(Job, Payloads->settings().MaxRecordBytes);
  std::vector<std::string> items;
  items.reserve(parts.size());
  for (const JobPart &it : parts)
    items.push_back(encodeItems(it.Job.Items));
  Outcome<std::vector<PayloadLocation>> places = co_await Payloads->put(items);
  // A repeated store of items does no harm, so one lost answer is borne.
  if (!places && !Log->contact().Lost)
    places = co_await Payloads->put(std::move(items));
  if (!places)
    co_return places.failure();
  std::vector<std::string> records;
  records.reserve(parts.size());
  for (std::size_t i = 0; i < parts.size(); ++i) {
    parts[i].ItemsLocation = std::move((*places)[i]);
    records.push_back(encodeRecord(parts[i]));
  }
  co_return records;
}

asio::awaitable<JobRequestStatus> BatchService::submit(BatchJob Job) {
  std::shared_ptr<BatchService> self = shared_from_this();
  JobId id = Job.Id;
  auto shows = [this, id] { return findJob(Log->fold(), id) != nullptr; };
  JobRequestStatus verdict = JobRequestStatus::Accepted;
  if (Log->contact().Lost && !shows())
    verdict = JobRequestStatus::Refused;
  else if (!shows()) {
    Outcome<std::vector<std::string>> records = co_await storeItems(Job);
    verdict = records ? co_await appendAndConfirm(std::move(*records), shows)
                      : JobRequestStatus::Refused;
  }
  Decisions->line("job.submitted", {{"job", id.Text},
                                    {"model", Job.Model.Text},
                                    {"step", std::to_string(Job.Step)},
                                    {"items", std::to_string(Job.Items.size())},
                                    {"verdict", std::string(toText(verdict))}});
  co_return verdict;
}

asio::awaitable<JobRequestStatus> BatchService::end(JobId Id) {
  std::shared_ptr<BatchService> self = shared_from_this();
  Outcome<std::shared_ptr<JobState>> job = co_await find(Id);
  if (!job && job.failure().Code == FailureCode::Expired)
    co_return JobRequestStatus::JobNotFound;
  JobRequestStatus verdict = JobRequestStatus::Accepted;
  // Whether there is such a job matters to nobody: the end of none is passed
  // over by all who read it.
  if (!job || !(*job)->Ended) {
    std::vector<std::string> records{encodeRecord(JobEnd{Id})};
    // GCC 12 destroys a lambda that is a temporary of a `co_await` twice.
    auto ended = [this, Id] {
      std::shared_ptr<JobState> state = findJob(Log->fold(), Id);
      return state && state->Ended;
    };
    verdict = co_await appendAndConfirm(std::move(records), ended);
  }
  Decisions->line("job.ended", {{"job", Id.Text},
                                {"verdict", std::string(toText(verdict))}});
  co_return verdict;
}

asio::awaitable<Outcome<std::shared_ptr<JobState>>>
BatchService::find(JobId Id) {
  std::shared_ptr<JobState> job = findJob(Log->fold(), Id);
  if (job)
    co_return job;
  // What is not known here may have been accepted elsewhere a moment ago.
  Outcome<Done> fresh = co_await Log->refresh();
  if (!fresh)
    co_return unsure(Id, fresh.failure().Reason);
  job = findJob(Log->fold(), Id);
  if (job)
    co_return job;
  co_return noJob(Id);
}

asio::awaitable<Outcome<ResultPage>>
BatchService::read(JobId Id, std::size_t After, Millis Wait) {
  std::shared_ptr<BatchService> self = shared_from_this();
  Outcome<std::shared_ptr<JobState>> found = co_await find(Id);
  if (!found)
    co_return found.failure();
  const JobState &job = **found;
  TimePoint arrived = monotonicNow();
  co_await awaitResults(*found, After, arrived, Wait);
  // That a position is empty may be said only by who knows the present: another
  // process may have shown what stands there.
  bool beyond = After > job.Results.size();
  bool stale = monotonicNow() - Log->lastCaughtUpTime() > Limits.MaxStateAge;
  if (job.Results.size() <= After && (beyond || stale)) {
    Outcome<Done> fresh = co_await Log->refresh();
    if (!fresh)
      co_return unsure(Id, fresh.failure().Reason);
  }

  Outcome<ResultPage> page = co_await loadResultPage(*found, After);
  Decisions->line(
      "job.read",
      {{"job", Id.Text},
       {"after", std::to_string(After)},
       {"known", std::to_string(job.Results.size())},
       {"given",
        page ? std::to_string(page->Results.size()) : describe(page.failure())},
       {"waited_ms", std::to_string(std::chrono::duration_cast<Millis>(
                                        monotonicNow() - arrived)
                                        .count())}});
  co_return page;
}

/// Until when a reader of a trainer's step waits for it to be whole; `Came` for
/// a reader of another job.
TimePoint BatchService::computeAnswerDeadline(const JobState &Job,
                                              std::size_t After, TimePoint Came,
                                              Millis Wait) const {
  if (Job.Job.TargetGroups == 0)
    return Came;
  StepRead read{Came, Wait, Job.Results.size() > After, std::nullopt};
  Millis time = ResultTimeout ? ResultTimeout(Job.Job) : Millis(0);
  if (time > Millis(0))
    read.Due = Job.Seen + time;
  return wasabi::computeAnswerDeadline(read, Limits.Steps);
}

/// Waits for a step to be whole; else for a result at `After`, and for those
/// that come with it.
asio::awaitable<void> BatchService::awaitResults(std::shared_ptr<JobState> Job,
                                                 std::size_t After,
                                                 TimePoint Came, Millis Wait) {
  TimePoint held = computeAnswerDeadline(*Job, After, Came, Wait);
  while (!isStepComplete(*Job) && !Job->Ended && monotonicNow() < held)
    co_await Log->changes().wait(held);
  if (Job->Results.size() > After)
    co_return;
  TimePoint until = Came + Wait;
  while (Job->Results.size() <= After && !Job->Ended && monotonicNow() < until)
    co_await Log->changes().wait(until);
  TimePoint gathered = std::min(until, monotonicNow() + Limits.Gather);
  while (!isStepComplete(*Job) && !Job->Ended && monotonicNow() < gathered)
    co_await Log->changes().wait(gathered);
}

/// The results from `After` on with their texts: as many as there are, as fit
/// into a page and as the store gives now.
asio::awaitable<Outcome<ResultPage>>
BatchService::loadResultPage(std::shared_ptr<JobState> Job, std::size_t After) {
  ResultPage page;
  page.Total = Job->Job.Items.size();
  std::size_t bytes = 0;
  for (std::size_t i = After; i < Job->Results.size(); ++i) {
    ItemResult result = Job->Results[i];
    Outcome<std::string> text = co_await Payloads->get(result.OutputLocation);
    if (!text && page.Results.empty())
      co_return unsure(Job->Job.Id, text.failure().Reason);
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
  Outcome<std::shared_ptr<JobState>> found = co_await find(Id);
  if (!found)
    co_return found.failure();
  const JobState &job = **found;
  auto it = job.Index.find(Item.Text);
  if (it == job.Index.end())
    co_return noJob(Id);
  ItemLocation place = job.ItemLocations[it->second];
  if (place.Items.empty())
    co_return job.Job.Items[it->second].Body;
  Outcome<std::vector<BatchItem>> items =
      co_await getItems(*Payloads, place.Items, Id);
  if (!items)
    co_return unsure(Id, items.failure().Reason);
  if (place.Index >= items->size())
    co_return unsure(Id, "its items are too few");
  co_return std::move((*items)[place.Index].Body);
}

} // namespace wasabi
