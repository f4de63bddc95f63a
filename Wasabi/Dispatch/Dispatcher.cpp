#include "Wasabi/Dispatch/Dispatcher.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <set>
#include <tuple>

namespace wasabi {

namespace asio = boost::asio;

namespace {

/// Texts kept for carried-over items.
constexpr std::size_t MaxCarried = 2000;

/// Expected tokens of an item of the job on average; 0 of a job without items.
double meanExpected(const BatchJob &Job) {
  double sum = 0;
  for (const BatchItem &it : Job.Items)
    sum += it.ExpectedTokens;
  return Job.Items.empty() ? 0 : sum / static_cast<double>(Job.Items.size());
}

} // namespace

Dispatcher::Dispatcher(Parts With, Settings Limits)
    : Limits(Limits), Executor(std::move(With.Executor)), View(With.View),
      Log(std::move(With.Log)), Payloads(std::move(With.Payloads)),
      Store(std::move(With.Store)), Engines(std::move(With.Engines)),
      Scores(std::move(With.Scores)), Crashes(std::move(With.Crashes)),
      Decisions(std::move(With.Decisions)), Counts(With.Counts),
      Wake(this->Executor), CommitWake(this->Executor) {}

std::shared_ptr<Dispatcher> Dispatcher::create(Parts With, Settings Limits) {
  return std::shared_ptr<Dispatcher>(new Dispatcher(std::move(With), Limits));
}

void Dispatcher::start() {
  std::shared_ptr<Dispatcher> self = shared_from_this();
  asio::co_spawn(
      Executor, [self] { return self->commitLoop(); }, asio::detached);
  asio::co_spawn(
      Executor, [self] { return self->monitorLoop(); }, asio::detached);
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
    addJob(it);
  schedule();
  Wake.notify();
}

void Dispatcher::deactivate() {
  Active = false;
  for (const std::shared_ptr<ItemTask> &it : Works)
    drop(it);
  Works.clear();
  Pool.clear();
  PromptEngines.clear();
}

asio::awaitable<std::vector<std::string>> Dispatcher::handOverTexts() {
  std::shared_ptr<Dispatcher> self = shared_from_this();
  std::vector<PartialTextRecord> texts;
  for (const std::shared_ptr<ItemTask> &it : Works) {
    bool unfinished = it->Stage == ItemStage::Running ||
                      it->Stage == ItemStage::Waiting ||
                      it->Stage == ItemStage::Scoring;
    if (unfinished && it->Text.Events > it->SavedEvents)
      texts.push_back(unsavedText(*it));
  }
  deactivate();
  Outcome<std::vector<std::string>> records =
      co_await storeTexts(std::move(texts));
  if (records)
    co_return std::move(*records);
  Decisions->line("texts.not_saved", {{"reason", describe(records.failure())}});
  co_return std::vector<std::string>();
}

/// Whether an item may go on from a text, as the versions of that allow.
bool Dispatcher::fits(const PartialText &Text, const ItemTask &For) const {
  if (Text.Versions.empty())
    return true;
  bool fresh = Text.Versions.front() >= For.Job->Job.MinVersion;
  return fresh && (Text.Versions.size() == 1 || !singleVersion(For));
}

void Dispatcher::addJob(const std::shared_ptr<JobState> &Job) {
  std::vector<std::shared_ptr<ItemTask>> all;
  WeightVersion &newest = NewestMinVersions[Job->Job.Model];
  newest = std::max(newest, Job->Job.MinVersion);
  double mean = meanExpected(Job->Job);
  for (std::size_t i = 0; i < Job->Job.Items.size(); ++i) {
    if (Job->HasResult[i])
      continue;
    std::shared_ptr<ItemTask> work = std::make_shared<ItemTask>();
    work->Job = Job;
    work->Index = i;
    work->Item = Job->Job.Items[i];
    work->ExpectedLong = work->Item.ExpectedTokens > mean;
    all.push_back(std::move(work));
  }
  Works.insert(Works.end(), all.begin(), all.end());
  asio::co_spawn(
      Executor, [self = shared_from_this(), all] { return self->load(all); },
      asio::detached);
  Decisions->line("job.taken_up",
                  {{"job", Job->Job.Id.Text},
                   {"model", Job->Job.Model.Text},
                   {"step", std::to_string(Job->Job.Step)},
                   {"min_version", std::to_string(Job->Job.MinVersion)},
                   {"items", std::to_string(Job->Job.Items.size())},
                   {"listed", std::to_string(Job->Results.size())}});
}

void Dispatcher::drop(const std::shared_ptr<ItemTask> &Work) {
  Work->Dropped = true;
  if (Work->Stream != nullptr)
    Work->Stream->cancel();
  Work->Stop.emit(asio::cancellation_type::terminal);
}

void Dispatcher::clearFinished() {
  std::erase_if(Works, [](const std::shared_ptr<ItemTask> &It) {
    return It->Dropped || It->Stage == ItemStage::Finished;
  });
}

void Dispatcher::onChange(const BatchStateChange &Change) {
  if (!Active)
    return;
  if (Change.What == BatchStateChange::Kind::Accepted) {
    addJob(Change.Job);
    schedule();
    Wake.notify();
  }
  if (Change.What == BatchStateChange::Kind::Ended) {
    if (Carried.size() > MaxCarried)
      Carried.clear();
    for (const std::shared_ptr<ItemTask> &it : Works) {
      if (it->Job != Change.Job)
        continue;
      if (it->Text.Events > 0)
        Carried[{it->Job->Job.Id.Customer, it->Item.Id}] = it->Text;
      drop(it);
    }
    clearFinished();
    schedule();
  }
}

void Dispatcher::onFleetChange() {
  if (!Active)
    return;
  // Registrations come in bursts, and one look serves them all.
  Wake.notify();
}

/// The item's route in the configuration in force, looked up once for each
/// configuration: hundreds of items may wait, and there may be hundreds of
/// routes.
const UpstreamRoute *Dispatcher::routeOf(const ItemTask &Work) const {
  if (!View.Routes)
    return nullptr;
  if (Work.Found.Of != View.Routes) {
    Work.Found.Route =
        findRoute(*View.Routes, Work.Job->Job.Host, Work.Item.Path);
    Work.Found.Of = View.Routes;
  }
  return Work.Found.Route;
}

/// The priority of its job's customer before that of its route.
std::uint32_t Dispatcher::priorityOf(const ItemTask &Work,
                                     const UpstreamRoute &Route) const {
  const CustomerName &by = Work.Job->Job.Id.Customer;
  if (by.empty() || !View.Routes || !View.Routes->Customers)
    return Route.Priority;
  const Customer *customer = View.Routes->Customers->find(by);
  return customer != nullptr ? wasabi::priorityOf(*customer, Route.Priority)
                             : Route.Priority;
}

bool Dispatcher::singleVersion(const ItemTask &Work) const {
  const UpstreamRoute *route = routeOf(Work);
  return route != nullptr && route->SingleVersion;
}

/// Drops a text that no engine can go on with under the one version that its
/// route allows.
void Dispatcher::dropMixedText(ItemTask &Work) const {
  if (Work.Text.Events == 0 || Work.Text.IsComplete || !singleVersion(Work))
    return;
  const ModelName &model = Work.Job->Job.Model;
  WeightVersion version = Work.Text.Versions.front();
  bool there = std::any_of(
      Pool.begin(), Pool.end(), [&](const std::shared_ptr<DispatchEngine> &It) {
        return It->Model == model && It->version(model) == version;
      });
  if (!there || Work.Text.Versions.size() > 1)
    clearText(Work);
}

EngineRequirements Dispatcher::needOf(const ItemTask &Work) const {
  EngineRequirements need;
  need.Model = Work.Job->Job.Model;
  need.MinVersion = Work.Job->Job.MinVersion;
  need.Avoid = Work.Avoid;
  auto prompt = PromptEngines.find(Work.Item.Group);
  if (prompt != PromptEngines.end())
    need.Preferred = prompt->second;
  if (Work.Text.Events > 0 && singleVersion(Work))
    need.ExactVersion = Work.Text.Versions.front();
  need.IsLong = isLong(Work);
  return need;
}

/// Whether a text is one that its step is likely to wait for: it has come far
/// already, or is expected to be longer than its job's mean.
bool Dispatcher::isLong(const ItemTask &Work) const {
  return Work.ExpectedLong ||
         Work.Text.Events >= Limits.Pool.Pace.MinLongTextEvents;
}

/// Has waiting items placed, once for all that happens in one turn of the loop.
void Dispatcher::schedule() {
  if (!Active || Scheduled)
    return;
  Scheduled = true;
  asio::post(Executor, [self = shared_from_this()] {
    self->Scheduled = false;
    if (self->Active && self->View.Routes)
      self->scheduleNow();
  });
}

/// The engines of each model that take one more sample now. One that has just
/// failed is left alone while others of its model are well, full or not: an
/// engine that refuses all has room always.
std::map<ModelName, EngineList>
Dispatcher::enginesWithRoom(TimePoint Now) const {
  std::set<ModelName> well;
  for (const std::shared_ptr<DispatchEngine> &it : Pool) {
    if (it->Server->SuspectUntil <= Now)
      well.insert(it->Model);
  }
  std::map<ModelName, EngineList> found;
  for (const std::shared_ptr<DispatchEngine> &it : Pool) {
    bool suspect = it->Server->SuspectUntil > Now && well.contains(it->Model);
    if (!suspect && hasRoom(*it, Now))
      found[it->Model].push_back(it);
  }
  return found;
}

/// Whether an item gets no engine since servers have ended under it. It stays
/// open: it has neither been done nor failed, and its step is whole without it
/// if enough others are.
bool Dispatcher::updateQuarantined(ItemTask &Work) const {
  bool now =
      Crashes->crashStatus(Work.Guard->Digest) == CrashStatus::Quarantined;
  if (now != Work.Quarantined)
    Decisions->line(now ? "item.quarantined" : "item.released",
                    {{"item", Work.Item.Id.Text},
                     {"job", Work.Job->Job.Id.Text},
                     {"digest", Work.Guard->Digest.Text}});
  Work.Quarantined = now;
  return now;
}

/// The engine for an item; null if none has room. Suspects are kept apart as
/// long as there are engines for that.
std::shared_ptr<DispatchEngine>
Dispatcher::findEngineFor(const ItemTask &Work, const EngineList &Free,
                          const PaceBaseline &Scale, TimePoint Now) const {
  std::set<ServerIncarnation> suspects = Crashes->suspectServers();
  bool apart = !suspects.empty() &&
               Crashes->crashStatus(Work.Guard->Digest) != CrashStatus::Clean;
  if (apart) {
    EngineList others = Free;
    std::erase_if(others, [&](const std::shared_ptr<DispatchEngine> &It) {
      return suspects.contains(It->Server->Entry.incarnation());
    });
    std::shared_ptr<DispatchEngine> engine =
        chooseEngine(others, needOf(Work), Scale, Limits.Pool, Now);
    if (engine)
      return engine;
  }
  return chooseEngine(Free, needOf(Work), Scale, Limits.Pool, Now);
}

void Dispatcher::scheduleNow() {
  using Rank = std::tuple<bool, std::uint32_t, Offset, double>;
  TimePoint now = monotonicNow();
  PaceBaseline scale = computePaceBaseline(Pool, Limits.Pool);
  std::map<ModelName, EngineList> free = enginesWithRoom(now);
  std::vector<std::pair<Rank, std::shared_ptr<ItemTask>>> waiting;
  for (const std::shared_ptr<ItemTask> &it : Works) {
    if (it->Stage != ItemStage::Waiting || it->Dropped || it->NotBefore > now)
      continue;
    const UpstreamRoute *route = routeOf(*it);
    if (route == nullptr) {
      terminate(it, "its route is gone");
      continue;
    }
    if (!free.contains(it->Job->Job.Model))
      continue;
    // Jobs that are overdue earn less than those that can be whole in time;
    // within a job the longest text decides when it is whole.
    if (updateQuarantined(*it))
      continue;
    bool overdue = now - it->Job->Seen > route->ResultDeadline;
    double expected = it->Item.ExpectedTokens > 0
                          ? it->Item.ExpectedTokens
                          : Limits.DefaultExpectedTokens;
    waiting.emplace_back(
        Rank{overdue, priorityOf(*it, *route), it->Job->At, -expected}, it);
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const auto &L, const auto &R) { return L.first < R.first; });
  for (const auto &[rank, work] : waiting) {
    dropMixedText(*work);
    std::shared_ptr<DispatchEngine> engine =
        findEngineFor(*work, free[work->Job->Job.Model], scale, now);
    if (engine)
      startRun(work, engine);
  }
  clearFinished();
}

} // namespace wasabi
