#include "Wasabi/Dispatch/Dispatcher.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <set>
#include <unordered_map>

namespace wasabi {

namespace asio = boost::asio;

namespace {

/// Number of carried-over texts above which all are discarded.
constexpr std::size_t MaxCarriedTexts = 2000;

/// Returns the mean expected tokens of the items of a job; 0 if it has none.
double meanExpected(const BatchJob &Job) {
  double sum = 0;
  for (const BatchItem &it : Job.Items)
    sum += it.ExpectedTokens;
  return Job.Items.empty() ? 0 : sum / static_cast<double>(Job.Items.size());
}

} // namespace

Dispatcher::Dispatcher(Parts Dependencies, Settings Limits)
    : Limits(Limits), Executor(std::move(Dependencies.Executor)),
      View(Dependencies.View), Log(std::move(Dependencies.Log)),
      Payloads(std::move(Dependencies.Payloads)),
      Store(std::move(Dependencies.Store)),
      Engines(std::move(Dependencies.Engines)),
      Scores(std::move(Dependencies.Scores)),
      Crashes(std::move(Dependencies.Crashes)),
      Decisions(std::move(Dependencies.Decisions)), Counts(Dependencies.Counts),
      Configuration(std::move(Dependencies.Configuration)),
      Wake(this->Executor), CommitWake(this->Executor) {}

std::shared_ptr<Dispatcher> Dispatcher::create(Parts Dependencies,
                                               Settings Limits) {
  return std::shared_ptr<Dispatcher>(
      new Dispatcher(std::move(Dependencies), Limits));
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
  Log->pin();
  asio::co_spawn(
      Executor,
      [self = shared_from_this(), number = ++Activations] {
        return self->takeOver(number);
      },
      asio::detached);
}

/// Reads the rollout topic to its end and then starts dispatching, unless
/// `activate` or `deactivate` has been called since.
asio::awaitable<void> Dispatcher::takeOver(std::uint64_t Number) {
  while (Activations == Number) {
    Outcome<Done> current = co_await Log->refresh();
    if (Activations != Number)
      co_return;
    if (current) {
      startDispatching();
      co_return;
    }
    co_await pauseFor(Executor, Limits.RetryDelay);
  }
}

void Dispatcher::startDispatching() {
  Active = true;
  ActiveSince = monotonicNow();
  std::random_device random;
  Source = random();
  syncEngines();
  std::vector<std::shared_ptr<JobState>> open;
  for (const auto &[id, job] : Log->fold().Jobs) {
    if (!job->Ended)
      open.push_back(job);
  }
  Decisions->line("dispatch.started",
                  {{"jobs", std::to_string(open.size())},
                   {"engines", std::to_string(Pool.size())},
                   {"next", std::to_string(Log->fold().Next)}});
  for (const std::shared_ptr<JobState> &it : open)
    addJob(it);
  schedule();
  Wake.notify();
}

void Dispatcher::deactivate() {
  ++Activations;
  Log->unpin();
  Active = false;
  for (const std::shared_ptr<ItemTask> &it : Tasks)
    cancel(it);
  Tasks.clear();
  Pool.clear();
  PromptEngines.clear();
}

asio::awaitable<void> Dispatcher::handOverTexts() {
  std::shared_ptr<Dispatcher> self = shared_from_this();
  std::vector<PartialTextRecord> texts;
  for (const std::shared_ptr<ItemTask> &it : Tasks) {
    bool unfinished = it->Stage == ItemStage::Running ||
                      it->Stage == ItemStage::Waiting ||
                      it->Stage == ItemStage::Scoring;
    if (unfinished && it->Text.Events > it->SavedEvents)
      texts.push_back(unsavedText(*it));
  }
  deactivate();
  if (texts.empty())
    co_return;
  Outcome<Offset> appended = co_await appendTexts(std::move(texts));
  if (!appended)
    Decisions->line("texts.not_saved",
                    {{"reason", describe(appended.failure())}});
}

/// Returns true if the versions of a text allow the item to resume from it.
bool Dispatcher::canResumeFrom(const PartialText &Text,
                               const ItemTask &Task) const {
  if (Text.Versions.empty())
    return true;
  bool fresh = Text.Versions.front() >= Task.Job->Job.MinVersion;
  return fresh && (Text.Versions.size() == 1 || !requiresSingleVersion(Task));
}

void Dispatcher::addJob(const std::shared_ptr<JobState> &Job) {
  std::vector<std::shared_ptr<ItemTask>> tasks;
  WeightVersion &newest = NewestMinVersions[Job->Job.Model];
  newest = std::max(newest, Job->Job.MinVersion);
  double mean = meanExpected(Job->Job);
  // The items of a group are carried over together, so the first one tells.
  std::vector<std::optional<bool>> carried(Job->PendingPerGroup.size());
  for (std::size_t i = 0; i < Job->Job.Items.size(); ++i) {
    if (Job->HasResult[i])
      continue;
    std::shared_ptr<ItemTask> task = std::make_shared<ItemTask>();
    task->Job = Job;
    task->Index = i;
    task->Item = Job->Job.Items[i];
    task->ExpectedLong = task->Item.ExpectedTokens > mean;
    std::optional<bool> &isCarried = carried[Job->GroupIndices[i]];
    if (!isCarried)
      isCarried = isCarriedOver(*Job, task->Item);
    task->IsCarriedOver = *isCarried;
    tasks.push_back(std::move(task));
  }
  Tasks.insert(Tasks.end(), tasks.begin(), tasks.end());
  asio::co_spawn(
      Executor,
      [self = shared_from_this(), tasks] { return self->loadItems(tasks); },
      asio::detached);
  Decisions->line("job.taken_up",
                  {{"job", Job->Job.Id.Text},
                   {"model", Job->Job.Model.Text},
                   {"step", std::to_string(Job->Job.Step)},
                   {"min_version", std::to_string(Job->Job.MinVersion)},
                   {"items", std::to_string(Job->Job.Items.size())},
                   {"listed", std::to_string(Job->Results.size())}});
}

void Dispatcher::cancel(const std::shared_ptr<ItemTask> &Task) {
  Task->Cancelled = true;
  if (Task->Stream != nullptr)
    Task->Stream->cancel();
  Task->CancelSignal.emit(asio::cancellation_type::terminal);
}

void Dispatcher::clearFinished() {
  std::erase_if(Tasks, [](const std::shared_ptr<ItemTask> &It) {
    return It->Cancelled || It->Stage == ItemStage::Finished;
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
    if (CarriedTexts.size() > MaxCarriedTexts)
      CarriedTexts.clear();
    for (const std::shared_ptr<ItemTask> &it : Tasks) {
      if (it->Job != Change.Job)
        continue;
      if (it->Text.Events > 0)
        CarriedTexts[{it->Job->Job.Id.Customer, it->Item.Id}] = it->Text;
      cancel(it);
    }
    clearFinished();
    schedule();
  }
}

void Dispatcher::onFleetChange() {
  if (!Active)
    return;
  // Changes come in bursts; the monitor loop handles them together.
  Wake.notify();
}

/// Returns true if the configuration in use is not older than the one that
/// admitted a job: only then does it tell where the items may run, and that a
/// route has ended. A job whose admission is unknown needs a configuration that
/// was read after the job.
bool Dispatcher::hasConfigurationOf(const JobState &Job) const {
  if (!View.Routes)
    return false;
  if (Job.Job.AdmittedUnder > 0)
    return View.Routes->Version >= Job.Job.AdmittedUnder;
  std::optional<TimePoint> current = Configuration.CurrentAsOf();
  return current && *current >= Job.Seen;
}

/// Reads the configuration at once for a job that was admitted under a newer
/// one than that in use.
void Dispatcher::requestConfiguration(const std::shared_ptr<JobState> &Job) {
  if (ReadsConfiguration)
    return;
  ReadsConfiguration = true;
  asio::co_spawn(
      Executor,
      [self = shared_from_this(), Job] { return self->readConfiguration(Job); },
      asio::detached);
}

asio::awaitable<void>
Dispatcher::readConfiguration(std::shared_ptr<JobState> Job) {
  std::uint64_t before = View.Routes ? View.Routes->Version : 0;
  Outcome<Done> read = co_await Configuration.Refresh();
  std::uint64_t after = View.Routes ? View.Routes->Version : 0;
  Decisions->line("job.awaited_configuration",
                  {{"job", Job->Job.Id.Text},
                   {"admitted_under", std::to_string(Job->Job.AdmittedUnder)},
                   {"before", std::to_string(before)},
                   {"now", std::to_string(after)},
                   {"result", read ? "read" : describe(read.failure())}});
  Counts
      .counter("configuration_reads_total",
               "Reads of the configuration for jobs that a newer one admitted")
      .add();
  if (!hasConfigurationOf(*Job))
    co_await pauseFor(Executor, Limits.RetryDelay);
  ReadsConfiguration = false;
  schedule();
}

/// Returns the route of an item in the current configuration; null if there is
/// none, or if the configuration is older than the one that admitted the job.
/// Caches the lookup until the configuration changes.
const UpstreamRoute *Dispatcher::routeOf(const ItemTask &Task) const {
  if (!hasConfigurationOf(*Task.Job))
    return nullptr;
  if (Task.RouteCache.Table != View.Routes) {
    Task.RouteCache.Route =
        findRoute(*View.Routes, Task.Job->Job.Host, Task.Item.Path);
    Task.RouteCache.Table = View.Routes;
  }
  return Task.RouteCache.Route;
}

/// Returns the priority of the customer of the job if it has one, else that of
/// the route.
std::uint32_t Dispatcher::priorityOf(const ItemTask &Task,
                                     const UpstreamRoute &Route) const {
  const CustomerName &name = Task.Job->Job.Id.Customer;
  if (name.empty() || !View.Routes || !View.Routes->Customers)
    return Route.Priority;
  const Customer *customer = View.Routes->Customers->find(name);
  return customer != nullptr ? wasabi::priorityOf(*customer, Route.Priority)
                             : Route.Priority;
}

bool Dispatcher::requiresSingleVersion(const ItemTask &Task) const {
  const UpstreamRoute *route = routeOf(Task);
  return route != nullptr && route->SingleVersion;
}

/// Discards an incomplete text that no engine can continue under the single
/// version that its route requires. An engine that fails repeatedly may never
/// continue it, though it stays registered.
void Dispatcher::discardMixedText(ItemTask &Task, TimePoint Now) const {
  if (Task.Text.Events == 0 || Task.Text.IsComplete ||
      !requiresSingleVersion(Task))
    return;
  const ModelName &model = Task.Job->Job.Model;
  WeightVersion version = Task.Text.Versions.front();
  std::vector<ServiceName> services = servicesOf(Task);
  bool available = std::any_of(
      Pool.begin(), Pool.end(), [&](const std::shared_ptr<DispatchEngine> &It) {
        return It->serves(model) && It->version(model) == version &&
               !isFailing(*It, Now) &&
               std::find(services.begin(), services.end(),
                         It->Server->Entry.Service) != services.end();
      });
  if (!available || Task.Text.Versions.size() > 1)
    clearText(Task);
}

/// Returns the services at which an item may run; none if its route is not
/// known. The shares of a route that is split don't matter: an item runs where
/// there is room.
std::vector<ServiceName> Dispatcher::servicesOf(const ItemTask &Task) const {
  std::vector<ServiceName> services;
  const UpstreamRoute *route = routeOf(Task);
  if (route == nullptr)
    return services;
  services.reserve(route->Services.size());
  for (const ServiceShare &it : route->Services)
    services.push_back(it.Service);
  return services;
}

EngineRequirements Dispatcher::requirementsOf(const ItemTask &Task) const {
  EngineRequirements requirements;
  requirements.Model = Task.Job->Job.Model;
  requirements.Services = servicesOf(Task);
  requirements.MinVersion = Task.Job->Job.MinVersion;
  requirements.Avoid = Task.Avoid;
  auto prompt = PromptEngines.find(Task.Item.Group);
  if (prompt != PromptEngines.end())
    requirements.Preferred = prompt->second;
  if (Task.Text.Events > 0 && requiresSingleVersion(Task))
    requirements.ExactVersion = Task.Text.Versions.front();
  requirements.IsLong = isLong(Task);
  requirements.Tokens = predictedTokens(Task);
  return requirements;
}

/// Returns true if the step is likely to wait for this text: it is long already
/// or is expected to be longer than the mean of its job.
bool Dispatcher::isLong(const ItemTask &Task) const {
  return Task.ExpectedLong ||
         Task.Text.Events >= Limits.Pool.Pace.MinLongTextEvents;
}

/// Posts a call of `scheduleNow` unless one is pending.
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

/// Returns the engines of each model that can take another sample. Skips
/// engines that failed recently as long as the model has a healthy one in the
/// same service, even a full one, because an engine that refuses all requests
/// always has room.
std::map<ModelName, EngineList>
Dispatcher::enginesWithRoom(TimePoint Now) const {
  std::set<std::pair<ServiceName, ModelName>> healthy;
  for (const std::shared_ptr<DispatchEngine> &it : Pool) {
    if (it->Server->SuspectUntil > Now)
      continue;
    for (const ModelName &model : it->servedModels())
      healthy.emplace(it->Server->Entry.Service, model);
  }
  std::map<ModelName, EngineList> found;
  for (const std::shared_ptr<DispatchEngine> &it : Pool) {
    if (!hasRoom(*it, Now))
      continue;
    for (const ModelName &model : it->servedModels()) {
      if (it->Server->SuspectUntil <= Now ||
          !healthy.contains({it->Server->Entry.Service, model}))
        found[model].push_back(it);
    }
  }
  return found;
}

/// Returns the engine for an item; null if none has room. An item that has lost
/// several runs goes, if another engine has room, to none that runs a request
/// of a caller that may crash it, or another such item.
std::shared_ptr<DispatchEngine>
Dispatcher::findEngineFor(const ItemTask &Task, const EngineRequirements &Need,
                          const EngineList &Candidates,
                          const PaceBaseline &Baseline, TimePoint Now) const {
  if (Task.LostRuns >= Limits.CarefulAfterLostRuns) {
    std::set<ServerIncarnation> suspects = Crashes->suspectServers();
    EngineList others = Candidates;
    std::erase_if(others, [&](const std::shared_ptr<DispatchEngine> &It) {
      return It->CarefulRuns > 0 ||
             suspects.contains(It->Server->Entry.incarnation());
    });
    std::shared_ptr<DispatchEngine> engine =
        chooseEngine(others, Need, Baseline, Limits.Pool, Now);
    if (engine)
      return engine;
  }
  return chooseEngine(Candidates, Need, Baseline, Limits.Pool, Now);
}

/// Returns true if the item was part of an earlier step of the same customer
/// and model.
bool Dispatcher::isCarriedOver(const JobState &Job,
                               const BatchItem &Item) const {
  const std::unordered_map<JobId, std::shared_ptr<JobState>> &jobs =
      Log->fold().Jobs;
  return std::any_of(jobs.begin(), jobs.end(), [&](const auto &It) {
    const JobState &other = *It.second;
    return other.At < Job.At && other.Job.Id.Customer == Job.Job.Id.Customer &&
           other.Job.Model == Job.Job.Model &&
           other.Index.contains(Item.Id.Text);
  });
}

/// Returns the expected length of an item in events.
double Dispatcher::expectedEvents(const BatchItem &Item) const {
  double tokens = Item.ExpectedTokens > 0 ? Item.ExpectedTokens
                                          : Limits.DefaultExpectedTokens;
  return tokens / Lengths.tokensPerEvent();
}

/// Returns the tokens that an item holds in the memory of its engine at its
/// predicted end.
double Dispatcher::predictedTokens(const ItemTask &Task) const {
  double events =
      predictFinalEvents(expectedEvents(Task.Item),
                         static_cast<double>(Task.Text.Events), Limits.Planner);
  return predictFinalTokens(Task.Item.PromptTokens, events,
                            Task.Item.MaxOutputTokens, Lengths);
}

/// Sums up the predicted tokens of the runs of each engine.
void Dispatcher::updatePredictedTokens() {
  for (const std::shared_ptr<DispatchEngine> &it : Pool)
    it->PredictedTokens = 0;
  for (const std::shared_ptr<ItemTask> &it : Tasks) {
    if (it->Engine)
      it->Engine->PredictedTokens += predictedTokens(*it);
  }
}

/// Collects the open items, their steps and the engines. Terminates items that
/// no route matches. `Candidates` are the engines with room; items of other
/// models count as delayed.
Dispatcher::PlannerView
Dispatcher::makePlannerView(const std::map<ModelName, EngineList> &Candidates,
                            TimePoint Now) {
  PlannerView view;
  view.Input.Items.reserve(Tasks.size());
  view.Tasks.reserve(Tasks.size());
  double waitingTokens = 0;
  double waitingItems = 0;
  std::map<ModelName, std::uint32_t> models;
  auto indexOf = [&models](const ModelName &Model) {
    auto next = static_cast<std::uint32_t>(models.size());
    return models.emplace(Model, next).first->second;
  };
  std::unordered_map<const DispatchEngine *, std::uint32_t> engines;
  for (const std::shared_ptr<DispatchEngine> &it : Pool) {
    engines.emplace(it.get(),
                    static_cast<std::uint32_t>(view.Input.Engines.size()));
    double paceMs = it->Pace.RecentMs > 0
                        ? it->Pace.RecentMs
                        : longTermMs(it->Pace, Limits.Pool.Pace);
    std::vector<ModelName> served = it->servedModels();
    // An engine that is not assigned may have runs.
    if (served.empty())
      served.emplace_back();
    for (const ModelName &model : served) {
      PlanEngine engine{indexOf(model), it->version(model), paceMs,
                        it->Server->Entry.Slots, it->Running};
      engine.Share = 1.0 / static_cast<double>(served.size());
      view.Input.Engines.push_back(engine);
    }
  }
  std::unordered_map<const JobState *, std::uint32_t> steps;
  for (const std::shared_ptr<ItemTask> &it : Tasks) {
    if (it->Cancelled || it->Stage == ItemStage::Finished)
      continue;
    const JobState &job = *it->Job;
    // The path of an item that is not loaded may be unknown.
    const UpstreamRoute *route =
        it->Stage == ItemStage::Loading ? nullptr : routeOf(*it);
    bool isDue = it->Stage == ItemStage::Waiting && it->NotBefore <= Now;
    bool awaitsConfiguration = isDue && !hasConfigurationOf(job);
    if (awaitsConfiguration) {
      requestConfiguration(it->Job);
      isDue = false;
    }
    if (isDue && route == nullptr) {
      terminate(it, "no route matches the item");
      continue;
    }
    if (isDue && it->Text.IsComplete) {
      resumeComplete(it);
      isDue = it->Stage == ItemStage::Waiting;
    }
    auto [step, isNew] = steps.emplace(
        &job, static_cast<std::uint32_t>(view.Input.Steps.size()));
    if (isNew)
      view.Input.Steps.push_back(
          {job.Seen, job.At, indexOf(job.Job.Model), job.Job.MinVersion,
           static_cast<std::uint32_t>(job.PendingPerGroup.size()),
           job.Job.TargetGroups});
    PlanItem item;
    item.Step = step->second;
    item.Group = static_cast<std::uint32_t>(job.GroupIndices[it->Index]);
    item.IsCarriedOver = it->IsCarriedOver;
    item.ExpectedEvents = expectedEvents(it->Item);
    item.Events = static_cast<double>(it->Text.Events);
    item.IsLong = isLong(*it);
    if (route != nullptr) {
      item.Priority = isDue ? priorityOf(*it, *route) : route->Priority;
      view.Input.Steps[item.Step].Due = job.Seen + route->ResultDeadline;
    }
    auto engine = engines.find(it->Engine.get());
    if (it->Stage == ItemStage::Scoring)
      item.Stage = PlanStage::Generated;
    else if (it->Stage == ItemStage::Running) {
      // A run on an engine that has left the pool is about to end.
      item.Stage =
          engine == engines.end() ? PlanStage::Delayed : PlanStage::Running;
      item.Engine = engine == engines.end() ? 0 : engine->second;
    } else if (awaitsConfiguration)
      item.Stage = PlanStage::Blocked;
    else if (!isDue || !Candidates.contains(job.Job.Model))
      item.Stage = PlanStage::Delayed;
    else {
      view.HasWaiting = true;
      waitingTokens += predictedTokens(*it);
      waitingItems += 1;
    }
    view.Input.Items.push_back(item);
    view.Tasks.push_back(it);
  }
  // How many more runs fit follows from the mean need of the waiting items.
  for (const std::shared_ptr<DispatchEngine> &it : Pool) {
    const DispatchEngine &engine = *it;
    if (engine.KvCapacityTokens == 0 || waitingTokens <= 0)
      continue;
    double free = Limits.Pool.MaxMemoryFraction *
                      static_cast<double>(engine.KvCapacityTokens) -
                  engine.PredictedTokens;
    double more = std::clamp(free * waitingItems / waitingTokens, 0.0,
                             static_cast<double>(engine.Server->Entry.Slots));
    std::uint32_t min = engine.Running == 0 ? 1 : 0;
    std::size_t first = engines.at(it.get());
    std::size_t entries =
        std::max<std::size_t>(engine.servedModels().size(), 1);
    for (std::size_t i = 0; i < entries; ++i)
      view.Input.Engines[first + i].MaxRuns =
          engine.Running + std::max(min, static_cast<std::uint32_t>(more));
  }
  return view;
}

void Dispatcher::scheduleNow() {
  TimePoint now = monotonicNow();
  bool hasDue = std::any_of(Tasks.begin(), Tasks.end(),
                            [now](const std::shared_ptr<ItemTask> &It) {
                              return It->Stage == ItemStage::Waiting &&
                                     !It->Cancelled && It->NotBefore <= now;
                            });
  if (!hasDue) {
    clearFinished();
    return;
  }
  PaceBaseline baseline = computePaceBaseline(Pool, Limits.Pool);
  std::map<ModelName, EngineList> candidates = enginesWithRoom(now);
  updatePredictedTokens();
  PlannerView view = makePlannerView(candidates, now);
  if (!view.HasWaiting) {
    clearFinished();
    return;
  }
  // Models whose engines differ in speed. Only there are slots worth leaving
  // to other items.
  std::set<ModelName> unequal;
  for (const std::shared_ptr<DispatchEngine> &it : Pool) {
    if (paceTier(*it, baseline, Limits.Pool) == 0)
      continue;
    for (const ModelName &model : it->servedModels())
      unequal.insert(model);
  }
  StepPlan plan = planSteps(view.Input, now, Limits.Planner);
  placeItems(
      plan, view.Input.Items, [&](std::uint32_t Index, bool LeaveLastFastSlot) {
        const std::shared_ptr<ItemTask> &task = view.Tasks[Index];
        const ModelName &model = task->Job->Job.Model;
        EngineList &engines = candidates[model];
        if (engines.empty())
          return false;
        discardMixedText(*task, now);
        EngineRequirements need = requirementsOf(*task);
        need.LeaveLastFastSlot = LeaveLastFastSlot && unequal.contains(model);
        std::shared_ptr<DispatchEngine> engine =
            findEngineFor(*task, need, engines, baseline, now);
        if (!engine)
          return false;
        task->Urgency = plan.Items[Index].Urgency;
        startRun(task, engine);
        if (!hasRoom(*engine, now)) {
          for (auto &[other, candidatesOfOther] : candidates)
            std::erase(candidatesOfOther, engine);
        }
        return true;
      });
  clearFinished();
}

} // namespace wasabi
