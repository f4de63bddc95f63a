#include "Wasabi/Dispatch/Dispatcher.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <tuple>

namespace wasabi {

namespace asio = boost::asio;

namespace {

/// Texts kept for carried-over items.
constexpr std::size_t MaxCarried = 2000;

} // namespace

Dispatcher::Dispatcher(asio::any_io_executor Executor, FleetView &View,
                       std::shared_ptr<RolloutLog> Log, RecordStore Store,
                       EnginePort Engines, std::shared_ptr<Forwarder> Scores,
                       std::shared_ptr<DecisionLog> Decisions, Metrics &Counts,
                       Settings Limits)
    : Limits(Limits), Executor(std::move(Executor)), View(View),
      Log(std::move(Log)), Store(std::move(Store)), Engines(std::move(Engines)),
      Scores(std::move(Scores)), Decisions(std::move(Decisions)),
      Counts(Counts), Wake(this->Executor), CommitWake(this->Executor) {}

std::shared_ptr<Dispatcher>
Dispatcher::create(asio::any_io_executor Executor, FleetView &View,
                   std::shared_ptr<RolloutLog> Log, RecordStore Store,
                   EnginePort Engines, std::shared_ptr<Forwarder> Scores,
                   std::shared_ptr<DecisionLog> Decisions, Metrics &Counts,
                   Settings Limits) {
  return std::shared_ptr<Dispatcher>(
      new Dispatcher(std::move(Executor), View, std::move(Log),
                     std::move(Store), std::move(Engines), std::move(Scores),
                     std::move(Decisions), Counts, Limits));
}

void Dispatcher::start() {
  std::shared_ptr<Dispatcher> self = shared_from_this();
  asio::co_spawn(
      Executor, [self] { return self->commitLoop(); }, asio::detached);
  asio::co_spawn(
      Executor, [self] { return self->lookLoop(); }, asio::detached);
  asio::co_spawn(
      Executor, [self] { return self->saveLoop(); }, asio::detached);
}

//===--- Items ------------------------------------------------------------===//

void Dispatcher::activate() {
  Active = true;
  std::random_device random;
  Source = random();
  syncEngines();
  std::vector<std::shared_ptr<JobState>> open;
  for (const auto &[id, job] : Log->fold().Jobs) {
    if (!job->Ended)
      open.push_back(job);
  }
  for (const std::shared_ptr<JobState> &it : open)
    takeUp(it);
  schedule();
  Wake.notify();
}

void Dispatcher::deactivate() {
  Active = false;
  for (const std::shared_ptr<ItemWork> &it : Works)
    drop(it);
  Works.clear();
  Pool.clear();
  PromptAt.clear();
}

std::vector<std::string> Dispatcher::handBack() {
  std::vector<std::string> records;
  for (const std::shared_ptr<ItemWork> &it : Works) {
    bool unfinished = it->Stage == ItemStage::Running ||
                      it->Stage == ItemStage::Waiting ||
                      it->Stage == ItemStage::Scoring;
    if (unfinished && it->Text.Events > it->SavedEvents)
      records.push_back(encodeRecord(unsavedText(*it)));
  }
  deactivate();
  return records;
}

/// The text that an item may go on from: what a dispatcher has saved, or what
/// an earlier job left of it, if its versions are within the job's bound.
PartialText Dispatcher::storedText(const JobState &Job,
                                   std::size_t Index) const {
  PartialText text;
  auto stored = Job.Texts.find(Index);
  if (stored != Job.Texts.end())
    text = stored->second.Text;
  auto carried = Carried.find(Job.Job.Items[Index].Id.Text);
  if (carried != Carried.end() && carried->second.Events > text.Events)
    text = carried->second;
  if (!text.Versions.empty() && text.Versions.front() < Job.Job.MinVersion)
    text = PartialText();
  return text;
}

void Dispatcher::takeUp(const std::shared_ptr<JobState> &Job) {
  for (std::size_t i = 0; i < Job->Job.Items.size(); ++i) {
    if (Job->Listed[i])
      continue;
    std::shared_ptr<ItemWork> work = std::make_shared<ItemWork>();
    work->Job = Job;
    work->Index = i;
    work->Text = storedText(*Job, i);
    if (work->Text.Versions.size() > 1 && singleVersion(*work))
      clearText(*work);
    Works.push_back(work);
    if (work->Text.Whole)
      startScore(work);
  }
  Decisions->line("job.taken_up",
                  {{"job", Job->Job.Id.Text},
                   {"model", Job->Job.Model.Text},
                   {"step", std::to_string(Job->Job.Step)},
                   {"min_version", std::to_string(Job->Job.MinVersion)},
                   {"items", std::to_string(Job->Job.Items.size())},
                   {"listed", std::to_string(Job->Results.size())}});
}

void Dispatcher::drop(const std::shared_ptr<ItemWork> &Work) {
  Work->Dropped = true;
  if (Work->Stream != nullptr)
    Work->Stream->cancel();
  Work->Stop.emit(asio::cancellation_type::terminal);
}

void Dispatcher::clearFinished() {
  std::erase_if(Works, [](const std::shared_ptr<ItemWork> &It) {
    return It->Dropped || It->Stage == ItemStage::Finished;
  });
}

void Dispatcher::onChange(const FoldChange &Change) {
  if (!Active)
    return;
  if (Change.What == FoldChange::Kind::Accepted) {
    takeUp(Change.Job);
    schedule();
    Wake.notify();
  }
  if (Change.What == FoldChange::Kind::Ended) {
    if (Carried.size() > MaxCarried)
      Carried.clear();
    for (const std::shared_ptr<ItemWork> &it : Works) {
      if (it->Job != Change.Job)
        continue;
      if (it->Text.Events > 0)
        Carried[it->item().Id.Text] = it->Text;
      drop(it);
    }
    clearFinished();
    schedule();
  }
}

void Dispatcher::onView() {
  if (!Active)
    return;
  syncEngines();
  schedule();
  Wake.notify();
}

const UpstreamRoute *Dispatcher::routeOf(const ItemWork &Work) const {
  if (!View.Routes)
    return nullptr;
  return findRoute(*View.Routes, Work.Job->Job.Host, Work.item().Path);
}

bool Dispatcher::singleVersion(const ItemWork &Work) const {
  const UpstreamRoute *route = routeOf(Work);
  return route != nullptr && route->SingleVersion;
}

/// Drops a text that no engine can go on with under the one version that its
/// route allows.
void Dispatcher::dropMixedText(ItemWork &Work) const {
  if (Work.Text.Events == 0 || Work.Text.Whole || !singleVersion(Work))
    return;
  const ModelName &model = Work.Job->Job.Model;
  WeightVersion version = Work.Text.Versions.front();
  bool there = std::any_of(
      Pool.begin(), Pool.end(), [&](const std::shared_ptr<EngineState> &It) {
        return It->Model == model && It->version(model) == version;
      });
  if (!there || Work.Text.Versions.size() > 1)
    clearText(Work);
}

EngineNeed Dispatcher::needOf(const ItemWork &Work) const {
  EngineNeed need;
  need.Model = Work.Job->Job.Model;
  need.MinVersion = Work.Job->Job.MinVersion;
  need.Avoid = Work.Avoid;
  auto prompt = PromptAt.find(Work.item().Group);
  if (prompt != PromptAt.end())
    need.Preferred = prompt->second;
  if (Work.Text.Events > 0 && singleVersion(Work))
    need.Exactly = Work.Text.Versions.front();
  return need;
}

void Dispatcher::schedule() {
  if (!Active || !View.Routes)
    return;
  scheduleWaiting(usualEventMs(Pool));
}

void Dispatcher::scheduleWaiting(double UsualMs) {
  using Rank = std::tuple<bool, std::uint32_t, Offset, double>;
  TimePoint now = monotonicNow();
  std::vector<std::pair<Rank, std::shared_ptr<ItemWork>>> waiting;
  for (const std::shared_ptr<ItemWork> &it : Works) {
    if (it->Stage != ItemStage::Waiting || it->Dropped || it->NotBefore > now)
      continue;
    const UpstreamRoute *route = routeOf(*it);
    if (route == nullptr) {
      terminate(it, "its route is gone");
      continue;
    }
    // Jobs that are overdue earn less than those that can be whole in time;
    // within a job the longest text decides when it is whole.
    bool overdue = now - it->Job->Seen > route->ResultDeadline;
    double expected = it->item().ExpectedTokens > 0 ? it->item().ExpectedTokens
                                                    : Limits.UnknownTokens;
    waiting.emplace_back(Rank{overdue, route->Priority, it->Job->At, -expected},
                         it);
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const auto &L, const auto &R) { return L.first < R.first; });
  for (const auto &[rank, work] : waiting) {
    dropMixedText(*work);
    std::shared_ptr<EngineState> engine =
        chooseEngine(Pool, needOf(*work), UsualMs, Limits.Pool, now);
    if (engine)
      startRun(work, engine);
  }
  clearFinished();
}

} // namespace wasabi
