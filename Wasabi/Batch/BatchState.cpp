#include "Wasabi/Batch/BatchState.h"

#include <string_view>

namespace wasabi {

namespace {

void addPlaces(std::vector<ItemLocation> &To, const JobPart &Of) {
  for (std::size_t i = 0; i < Of.Job.Items.size(); ++i)
    To.push_back({Of.ItemsLocation, i});
}

std::shared_ptr<JobState> makeState(BatchJob Job,
                                    std::vector<ItemLocation> Places, Offset At,
                                    TimePoint Now) {
  std::shared_ptr<JobState> state = std::make_shared<JobState>();
  state->ItemLocations = std::move(Places);
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

/// The parts of one submission lie side by side, since they are appended at
/// once; a part that does not continue the one before starts anew.
BatchStateChange applyKind(BatchState &Fold, Offset At, const JobPart &What,
                           TimePoint Now) {
  if (What.Part == 0) {
    Fold.Unfinished = What;
    Fold.PendingItemLocations.clear();
  } else if (Fold.Unfinished && Fold.Unfinished->Job.Id == What.Job.Id &&
             Fold.Unfinished->Part + 1 == What.Part) {
    std::vector<BatchItem> &items = Fold.Unfinished->Job.Items;
    items.insert(items.end(), What.Job.Items.begin(), What.Job.Items.end());
    Fold.Unfinished->Part = What.Part;
  } else
    return {};
  addPlaces(Fold.PendingItemLocations, What);
  if (What.Part + 1 < What.Parts)
    return {};

  BatchJob job = std::move(Fold.Unfinished->Job);
  Fold.Unfinished.reset();
  JobId id = job.Id;
  // The first submission counts; a repeated one is the same job.
  if (Fold.Jobs.contains(id))
    return {};
  std::shared_ptr<JobState> state =
      makeState(std::move(job), std::move(Fold.PendingItemLocations), At, Now);
  Fold.PendingItemLocations.clear();
  Fold.Jobs.emplace(std::move(id), state);
  return {BatchStateChange::Kind::Accepted, state};
}

BatchStateChange applyKind(BatchState &Fold, Offset, const ResultRecord &What,
                           TimePoint) {
  std::shared_ptr<JobState> job = findJob(Fold, What.Job);
  if (!job)
    return {};
  auto it = job->Index.find(What.Result.Item.Text);
  // The first result of an item counts, whoever found it.
  if (it == job->Index.end() || job->HasResult[it->second])
    return {};
  job->HasResult[it->second] = true;
  if (--job->PendingPerGroup[job->GroupIndices[it->second]] == 0)
    ++job->CompleteGroups;
  job->Texts.erase(it->second);
  job->Results.push_back(What.Result);
  return {BatchStateChange::Kind::Listed, job};
}

BatchStateChange applyKind(BatchState &Fold, Offset, const JobEnd &What,
                           TimePoint) {
  std::shared_ptr<JobState> job = findJob(Fold, What.Job);
  if (!job || job->Ended)
    return {};
  job->Ended = true;
  return {BatchStateChange::Kind::Ended, job};
}

BatchStateChange applyKind(BatchState &Fold, Offset,
                           const PartialTextRecord &What, TimePoint) {
  std::shared_ptr<JobState> job = findJob(Fold, What.Job);
  if (!job)
    return {};
  auto it = job->Index.find(What.Item.Text);
  if (it == job->Index.end() || job->HasResult[it->second])
    return {};
  SavedPartialText &stored = job->Texts[it->second];
  bool goesOn = What.After > 0 && stored.Source == What.Source &&
                stored.Text.Events == What.After;
  if (What.After > 0 && !goesOn)
    return {};
  if (!goesOn)
    stored.Pieces.clear();
  stored.Pieces.push_back({What.Text.Output, What.OutputLocation});
  stored.Source = What.Source;
  stored.Text = What.Text;
  stored.Text.Output.clear();
  return {};
}

BatchStateChange applyKind(BatchState &Fold, Offset At, const LeaseClaim &What,
                           TimePoint Now) {
  // Compare and swap: its writer found the lease free, and nobody has taken or
  // prolonged it since.
  std::optional<Offset> last;
  if (Fold.Lease.Holder)
    last = Fold.Lease.LastRecordOffset;
  if (What.After != last)
    return {};
  Fold.Lease = LeaseState{What.Holder, At, At, Now, false};
  return {BatchStateChange::Kind::Lease, nullptr};
}

BatchStateChange applyKind(BatchState &Fold, Offset At,
                           const LeaseRenewal &What, TimePoint Now) {
  // Only who has read a claim that is valid renews under it: one that is not
  // known here has expired before this process began to read.
  bool unread = !Fold.Lease.Holder || What.Term > Fold.Lease.Term;
  if (unread)
    Fold.Lease = LeaseState{What.Holder, What.Term, At, Now, false};
  if (Fold.Lease.Term != What.Term || Fold.Lease.Released)
    return {};
  Fold.Lease.LastRecordOffset = At;
  Fold.Lease.Seen = Now;
  return {BatchStateChange::Kind::Lease, nullptr};
}

BatchStateChange applyKind(BatchState &Fold, Offset At,
                           const LeaseRelease &What, TimePoint Now) {
  if (!Fold.Lease.Holder || Fold.Lease.Term != What.Term)
    return {};
  Fold.Lease.Released = true;
  Fold.Lease.LastRecordOffset = At;
  Fold.Lease.Seen = Now;
  return {BatchStateChange::Kind::Lease, nullptr};
}

} // namespace

BatchStateChange apply(BatchState &Fold, Offset At, const BatchRecord &What,
                       TimePoint Now) {
  if (At < Fold.Next)
    return {};
  Fold.Next = At + 1;
  return std::visit(
      [&](const auto &Kind) { return applyKind(Fold, At, Kind, Now); }, What);
}

void skip(BatchState &Fold, Offset At) {
  if (At >= Fold.Next)
    Fold.Next = At + 1;
}

void expire(BatchState &Fold, TimePoint Now) {
  for (auto it = Fold.Jobs.begin(); it != Fold.Jobs.end();) {
    bool old = Now - it->second->Seen > Fold.Limits.JobRetention;
    it = old ? Fold.Jobs.erase(it) : std::next(it);
  }
}

bool isStepComplete(const JobState &Of) {
  std::uint64_t wanted =
      Of.Job.TargetGroups > 0 ? Of.Job.TargetGroups : Of.PendingPerGroup.size();
  return Of.CompleteGroups >= wanted;
}

std::shared_ptr<JobState> findJob(const BatchState &Fold, const JobId &Id) {
  auto it = Fold.Jobs.find(Id);
  return it == Fold.Jobs.end() ? nullptr : it->second;
}

} // namespace wasabi
