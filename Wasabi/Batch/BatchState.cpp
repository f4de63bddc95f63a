#include "Wasabi/Batch/BatchState.h"

#include <algorithm>
#include <string_view>

namespace wasabi {

namespace {

void appendItemLocations(std::vector<ItemLocation> &Locations,
                         const JobPart &Added) {
  for (std::size_t i = 0; i < Added.Job.Items.size(); ++i)
    Locations.push_back({Added.ItemsLocation, i});
}

/// Estimates the memory of a job's state, without the items as they are stored.
std::uint64_t estimateStateBytes(const BatchJob &Job) {
  // Memory of a job and of each of its items, without texts.
  constexpr std::uint64_t JobBytes = 2048;
  constexpr std::uint64_t ItemBytes = 640;
  // How often the id of a job, and that of an item, is held.
  constexpr std::uint64_t JobIdCopies = 2;
  constexpr std::uint64_t ItemIdCopies = 3;
  std::uint64_t bytes = JobBytes + JobIdCopies * Job.Id.Text.size() +
                        Job.Path.size() + Job.Host.size();
  for (const BatchItem &it : Job.Items)
    bytes += ItemBytes + ItemIdCopies * it.Id.Text.size() + it.Group.size();
  return bytes;
}

std::uint64_t countBodyBytes(const std::vector<BatchItem> &Items) {
  std::uint64_t bytes = 0;
  for (const BatchItem &it : Items)
    bytes += it.Body.size() + (it.Score ? it.Score->Body.size() : 0);
  return bytes;
}

/// Returns the size of the items, stored in the payload topic or inline.
std::uint64_t countStoredBytes(const std::vector<BatchItem> &Items,
                               const std::vector<ItemLocation> &Locations) {
  std::uint64_t bytes = countBodyBytes(Items);
  for (const ItemLocation &it : Locations) {
    // Several items share a payload.
    if (it.Index > 0)
      continue;
    for (const PayloadRecordRef &record : it.Items)
      bytes += record.Bytes;
  }
  return bytes;
}

std::shared_ptr<JobState> makeState(BatchJob Job,
                                    std::vector<ItemLocation> Locations,
                                    Offset At, TimePoint Now) {
  std::shared_ptr<JobState> state = std::make_shared<JobState>();
  state->ItemBytes = countStoredBytes(Job.Items, Locations);
  state->StateBytes = estimateStateBytes(Job);
  state->ItemLocations = std::move(Locations);
  state->At = At;
  state->Seen = Now;
  state->HasResult.resize(Job.Items.size(), false);
  std::unordered_map<std::string_view, std::size_t> groups;
  for (std::size_t i = 0; i < Job.Items.size(); ++i) {
    state->Index.emplace(Job.Items[i].Id.Text, i);
    std::size_t group =
        groups.emplace(Job.Items[i].Group, groups.size()).first->second;
    state->GroupIndices.push_back(group);
    state->PendingPerGroup.resize(groups.size(), 0);
    ++state->PendingPerGroup[group];
  }
  state->Job = std::move(Job);
  return state;
}

/// Notes that a record refers to a job that is not known. If records before it
/// have expired, the submission of the job was among them.
void noteUnknownJob(BatchState &State, const JobId &Id, TimePoint Now) {
  if (State.KnownFrom > 0)
    State.PartlyExpired[Id] = Now;
}

/// The parts of a submission are adjacent in the topic, since they are appended
/// together. A first part discards an incomplete submission; a part that does
/// not continue the pending submission is ignored.
BatchStateChange applyRecord(BatchState &State, Offset At,
                             const JobPart &Record, TimePoint Now) {
  if (Record.PartIndex == 0) {
    State.PendingSubmission = Record;
    State.PendingItemLocations.clear();
  } else if (State.PendingSubmission &&
             State.PendingSubmission->Job.Id == Record.Job.Id &&
             State.PendingSubmission->PartIndex + 1 == Record.PartIndex) {
    std::vector<BatchItem> &items = State.PendingSubmission->Job.Items;
    items.insert(items.end(), Record.Job.Items.begin(), Record.Job.Items.end());
    State.PendingSubmission->PartIndex = Record.PartIndex;
  } else {
    if (!State.Jobs.contains(Record.Job.Id))
      noteUnknownJob(State, Record.Job.Id, Now);
    return {};
  }
  appendItemLocations(State.PendingItemLocations, Record);
  if (Record.PartIndex + 1 < Record.PartCount)
    return {};

  BatchJob job = std::move(State.PendingSubmission->Job);
  State.PendingSubmission.reset();
  JobId id = job.Id;
  // A repeated submission of a known job changes nothing.
  if (State.Jobs.contains(id))
    return {};
  std::shared_ptr<JobState> state =
      makeState(std::move(job), std::move(State.PendingItemLocations), At, Now);
  State.PendingItemLocations.clear();
  State.PartlyExpired.erase(id);
  State.Jobs.emplace(std::move(id), state);
  return {BatchStateChange::Kind::Accepted, state};
}

BatchStateChange applyRecord(BatchState &State, Offset,
                             const ResultRecord &Record, TimePoint Now) {
  std::shared_ptr<JobState> job = findJob(State, Record.Job);
  if (!job) {
    noteUnknownJob(State, Record.Job, Now);
    return {};
  }
  auto it = job->Index.find(Record.Result.Item.Text);
  // Only the first result of an item counts.
  if (it == job->Index.end() || job->HasResult[it->second])
    return {};
  job->HasResult[it->second] = true;
  if (--job->PendingPerGroup[job->GroupIndices[it->second]] == 0)
    ++job->CompleteGroups;
  job->Texts.erase(it->second);
  job->Results.push_back(Record.Result);
  return {BatchStateChange::Kind::ResultAdded, job};
}

BatchStateChange applyRecord(BatchState &State, Offset, const JobEnd &Record,
                             TimePoint Now) {
  std::shared_ptr<JobState> job = findJob(State, Record.Job);
  if (!job || job->Ended)
    return {};
  job->Ended = true;
  job->EndedAt = Now;
  return {BatchStateChange::Kind::Ended, job};
}

BatchStateChange applyRecord(BatchState &State, Offset,
                             const PartialTextRecord &Record, TimePoint Now) {
  std::shared_ptr<JobState> job = findJob(State, Record.Job);
  if (!job) {
    noteUnknownJob(State, Record.Job, Now);
    return {};
  }
  auto it = job->Index.find(Record.Item.Text);
  if (it == job->Index.end() || job->HasResult[it->second])
    return {};
  SavedPartialText &saved = job->Texts[it->second];
  bool continues = Record.After > 0 && saved.Source == Record.Source &&
                   saved.Text.Events == Record.After;
  if (Record.After > 0 && !continues)
    return {};
  if (!continues)
    saved.Pieces.clear();
  saved.Pieces.push_back({Record.Text.Output, Record.OutputLocation});
  saved.Source = Record.Source;
  saved.Text = Record.Text;
  saved.Text.Output.clear();
  return {};
}

BatchStateChange applyRecord(BatchState &State, Offset At,
                             const LeaseClaim &Record, TimePoint Now) {
  // Compare and swap: the claim is valid only if no lease record was appended
  // since the claimant read the lease.
  std::optional<Offset> lastRecord;
  if (State.Lease.Holder)
    lastRecord = State.Lease.LastRecordOffset;
  if (Record.After != lastRecord)
    return {};
  State.Lease = LeaseState{Record.Holder, At, At, Now, false};
  return {BatchStateChange::Kind::Lease, nullptr};
}

BatchStateChange applyRecord(BatchState &State, Offset At,
                             const LeaseRenewal &Record, TimePoint Now) {
  // A renewal is written only under a valid claim. If the claim is not known,
  // it expired from the topic before this process began to read.
  bool claimUnread = !State.Lease.Holder || Record.Term > State.Lease.Term;
  if (claimUnread)
    State.Lease = LeaseState{Record.Holder, Record.Term, At, Now, false};
  if (State.Lease.Term != Record.Term || State.Lease.Released)
    return {};
  State.Lease.LastRecordOffset = At;
  State.Lease.Seen = Now;
  return {BatchStateChange::Kind::Lease, nullptr};
}

BatchStateChange applyRecord(BatchState &State, Offset At,
                             const LeaseRelease &Record, TimePoint Now) {
  if (!State.Lease.Holder || State.Lease.Term != Record.Term)
    return {};
  State.Lease.Released = true;
  State.Lease.LastRecordOffset = At;
  State.Lease.Seen = Now;
  return {BatchStateChange::Kind::Lease, nullptr};
}

} // namespace

BatchStateChange apply(BatchState &State, Offset At, const BatchRecord &Record,
                       TimePoint Now) {
  if (At < State.Next)
    return {};
  State.Next = At + 1;
  return std::visit(
      [&](const auto &Alternative) {
        return applyRecord(State, At, Alternative, Now);
      },
      Record);
}

void skip(BatchState &State, Offset At) {
  if (At >= State.Next)
    State.Next = At + 1;
}

std::vector<std::shared_ptr<JobState>>
skipExpired(BatchState &State, Offset First, TimePoint Now) {
  std::vector<std::shared_ptr<JobState>> open;
  for (const auto &[id, job] : State.Jobs) {
    // Read again if its submission is retained.
    State.PartlyExpired[id] = job->Seen;
    if (job->Ended)
      continue;
    job->Ended = true;
    job->EndedAt = Now;
    open.push_back(job);
  }
  State.Jobs.clear();
  State.Lease = LeaseState();
  State.PendingSubmission.reset();
  State.PendingItemLocations.clear();
  State.KnownFrom = First;
  State.KnownSince = Now;
  State.Next = First;
  return open;
}

std::uint64_t estimateMemory(const BatchState &State) {
  std::uint64_t bytes = 0;
  for (const auto &[id, job] : State.Jobs) {
    bytes += job->StateBytes;
    if (!job->Ended)
      bytes += job->ItemBytes;
  }
  return bytes;
}

std::uint64_t estimateMemory(const BatchJob &Job) {
  return estimateStateBytes(Job) + countBodyBytes(Job.Items);
}

void expireJobs(BatchState &State, TimePoint Now) {
  Millis endedRetention = State.Limits.JobRetention;
  Millis openRetention = std::max(endedRetention, State.Limits.RecordRetention);
  std::erase_if(State.Jobs, [&](const auto &It) {
    const JobState &job = *It.second;
    return job.Ended ? Now - job.EndedAt > endedRetention
                     : Now - job.Seen > openRetention;
  });
  std::erase_if(State.PartlyExpired, [&](const auto &It) {
    return Now - It.second > State.Limits.JobRetention;
  });
}

bool isStepComplete(const JobState &Job) {
  std::uint64_t targetGroups = Job.Job.TargetGroups > 0
                                   ? Job.Job.TargetGroups
                                   : Job.PendingPerGroup.size();
  return Job.CompleteGroups >= targetGroups;
}

std::shared_ptr<JobState> findJob(const BatchState &State, const JobId &Id) {
  auto it = State.Jobs.find(Id);
  return it == State.Jobs.end() ? nullptr : it->second;
}

bool mayHaveExpired(const BatchState &State, const JobId &Id, TimePoint Now) {
  if (State.KnownFrom == 0 || State.Jobs.contains(Id))
    return false;
  auto partly = State.PartlyExpired.find(Id);
  if (partly != State.PartlyExpired.end() &&
      Now - partly->second <= State.Limits.JobRetention)
    return true;
  return Now - State.KnownSince + State.Limits.RecordRetention <
         State.Limits.JobRetention;
}

} // namespace wasabi
