#include "Wasabi/Dispatch/Dispatcher.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <unordered_map>

namespace wasabi {

namespace asio = boost::asio;

namespace {

/// Returns the minimum time between two samples that keeps a cold server within
/// its limit; 0 if the server is not cold.
Millis coldSendInterval(const UpstreamServer &Server,
                        const UpstreamService &Service, TimePoint Now) {
  constexpr double MillisPerSecond = 1000;
  if (Service.ColdRequestsPerSecond <= 0 ||
      !isCold(Server, Service.ColdStart, Now))
    return Millis(0);
  return Millis(
      std::lround(std::ceil(MillisPerSecond / Service.ColdRequestsPerSecond)));
}

} // namespace

//===--- Engine pool and pace ---------------------------------------------===//

/// Returns true if the items of a job may run at a service, or if that isn't
/// known.
bool Dispatcher::mayRunAt(const JobState &Job,
                          const ServiceName &Service) const {
  const UpstreamRoute *route =
      hasConfigurationOf(Job)
          ? findRoute(*View.Routes, Job.Job.Host, Job.Job.Path)
          : nullptr;
  return route == nullptr ||
         std::any_of(
             route->Services.begin(), route->Services.end(),
             [&](const ServiceShare &It) { return It.Service == Service; });
}

/// Returns the demand of each model of a service: the mean of its recent steps,
/// in expected tokens. A model without a recent step has none, unless steps may
/// have been missed; then all models have the same demand.
std::map<ModelName, double>
Dispatcher::findDemand(const UpstreamService &Service, TimePoint Now) const {
  std::map<ModelName, double> demand;
  std::map<ModelName, double> steps;
  for (const ModelName &it : Service.Engine->Models)
    demand[it] = 0;
  for (const auto &[id, job] : Log->fold().Jobs) {
    auto sum = demand.find(job->Job.Model);
    if (sum == demand.end() || Now - job->Seen > Limits.DemandWindow ||
        !mayRunAt(*job, Service.Name))
      continue;
    for (const BatchItem &it : job->Job.Items)
      sum->second += it.ExpectedTokens > 0 ? it.ExpectedTokens
                                           : Limits.DefaultExpectedTokens;
    steps[job->Job.Model] += 1;
  }
  bool sawWindow = Now - ActiveSince > Limits.DemandWindow &&
                   reachableFor(View.Contact, Limits.DemandWindow, Now);
  bool isKnown = steps.size() == demand.size() || (sawWindow && !steps.empty());
  for (auto &[model, sum] : demand) {
    if (!isKnown)
      sum = 1;
    else if (sum > 0)
      sum /= steps[model];
  }
  return demand;
}

/// Returns the work of each service's models that have unfinished items or had
/// a recent step.
Dispatcher::ServiceWork Dispatcher::findWork(TimePoint Now) const {
  ServiceWork work;
  for (const auto &[id, job] : Log->fold().Jobs) {
    if (Now - job->Seen > Limits.DemandWindow)
      continue;
    for (const UpstreamService &it : View.Routes->Services) {
      if (it.Engine && mayRunAt(*job, it.Name))
        work[it.Name][job->Job.Model];
    }
  }
  std::map<std::pair<const JobState *, const UpstreamRoute *>, std::uint32_t>
      waiting;
  for (const std::shared_ptr<ItemTask> &it : Tasks) {
    const UpstreamRoute *route = routeOf(*it);
    if (route == nullptr || it->Cancelled || it->Stage == ItemStage::Finished)
      continue;
    bool isDue = it->Stage == ItemStage::Waiting && it->NotBefore <= Now;
    waiting[{it->Job.get(), route}] += isDue ? 1 : 0;
  }
  for (const auto &[origin, count] : waiting) {
    const BatchJob &job = origin.first->Job;
    for (const ServiceShare &share : origin.second->Services) {
      ModelWork &model = work[share.Service][job.Model];
      if (count > 0)
        model.MinVersion = model.Waiting == 0
                               ? job.MinVersion
                               : std::min(model.MinVersion, job.MinVersion);
      model.Waiting += count;
    }
  }
  return work;
}

/// Applies the last report of an engine that is new in the pool, where its
/// versions are newer than those of the registration.
void Dispatcher::applyReportedWeights(DispatchEngine &Engine) const {
  auto report = Held.find(Engine.Server->Entry.Id);
  if (report == Held.end() ||
      !mayBeSameStart(report->second.Held.Start, Engine.Server->Entry.Start))
    return;
  for (const auto &[model, version] : report->second.Held.Models) {
    WeightVersion &known = Engine.Versions[model];
    known = std::max(known, version);
  }
  Engine.LastReported = report->second.ReceivedAt;
}

/// Returns the usable engines of a service. Those in `Known` keep their state.
EngineList Dispatcher::syncServiceEngines(const UpstreamService &Service,
                                          const EngineList &Known,
                                          TimePoint Now) const {
  std::unordered_map<const UpstreamServer *, std::shared_ptr<DispatchEngine>>
      known;
  for (const std::shared_ptr<DispatchEngine> &it : Known)
    known.emplace(it->Server.get(), it);
  EngineList engines;
  for (const std::shared_ptr<UpstreamServer> &it :
       findUsableServers(View.Servers, Service.Name, View.Contact, Now)) {
    auto previous = known.find(it.get());
    bool isNew = previous == known.end();
    std::shared_ptr<DispatchEngine> engine =
        isNew ? std::make_shared<DispatchEngine>() : previous->second;
    engine->Server = it;
    engine->KvCapacityTokens = Service.Engine->KvCapacityTokens;
    engine->SendInterval = coldSendInterval(*it, Service, Now);
    if (isNew || engine->Running > 0)
      engine->LastBusy = Now;
    // Recent reports of the engine take precedence over its registration.
    constexpr Millis RegistrationLag{2500};
    for (const auto &[model, version] : it->Entry.Models) {
      bool newer = version > engine->version(model);
      if (newer || Now - engine->LastReported > RegistrationLag)
        engine->Versions[model] = version;
    }
    if (isNew)
      applyReportedWeights(*engine);
    engines.push_back(std::move(engine));
  }
  return engines;
}

/// Assigns the engines of a service to its models. An engine of a model that
/// the service has no longer is assigned anew.
void Dispatcher::assignEngines(const UpstreamService &Service,
                               EngineList &Engines, TimePoint Now) {
  std::map<ModelName, double> demand = findDemand(Service, Now);
  for (const std::shared_ptr<DispatchEngine> &it : Engines) {
    if (!demand.contains(it->Model))
      it->Model = ModelName();
  }
  std::map<ModelName, std::uint32_t> sizes =
      poolSizes(demand, static_cast<std::uint32_t>(Engines.size()));
  TimePoint &lastMove = LastMoves[Service.Name];
  bool mayMove = Now - lastMove > Limits.MinMoveInterval;
  if (!assignModels(Engines, sizes, View.NewestVersions, mayMove))
    return;
  lastMove = Now;
  for (const std::shared_ptr<DispatchEngine> &it : Engines)
    Decisions->line("engine.assigned",
                    {{"server", it->Server->Entry.Id.Text},
                     {"model", it->Model.Text},
                     {"version", std::to_string(it->version(it->Model))}});
}

void Dispatcher::syncEngines() {
  if (!View.Routes)
    return;
  TimePoint now = monotonicNow();
  ServiceWork work = findWork(now);
  PaceBaseline baseline = computePaceBaseline(Pool, Limits.Pool);
  EngineList next;
  for (const UpstreamService &service : View.Routes->Services) {
    if (!service.Engine)
      continue;
    EngineList engines = syncServiceEngines(service, Pool, now);
    assignEngines(service, engines, now);
    // An engine can't load a model that its service doesn't have.
    std::map<ModelName, ModelWork> &own = work[service.Name];
    std::erase_if(own, [&models = service.Engine->Models](const auto &It) {
      return std::find(models.begin(), models.end(), It.first) == models.end();
    });
    logLoans(lendEngines(engines, own, baseline, Limits.Pool, now));
    next.insert(next.end(), engines.begin(), engines.end());
  }
  Pool = std::move(next);
}

/// Logs and counts the changed loans of engines.
void Dispatcher::logLoans(const EngineList &Engines) const {
  for (const std::shared_ptr<DispatchEngine> &it : Engines) {
    std::vector<std::string> models;
    for (const auto &[model, mayLoad] : it->Loans)
      models.push_back(model.Text);
    Decisions->line("engine.lent",
                    {{"server", it->Server->Entry.Id.Text},
                     {"model", it->Model.Text},
                     {"also", fmt::format("{}", fmt::join(models, ","))},
                     {"running", std::to_string(it->Running)}});
    Counts
        .counter("engine_loan_changes_total",
                 "Times that the further models of an engine changed")
        .add();
  }
}

asio::awaitable<void> Dispatcher::monitorLoop() {
  constexpr Millis IdleInterval{1000};
  for (;;) {
    bool busy = Active && !Tasks.empty();
    co_await Wake.wait(monotonicNow() +
                       (busy ? Limits.MonitorInterval : IdleInterval));
    if (!Active)
      continue;
    syncEngines();
    cancelStalledRuns();
    for (const std::shared_ptr<DispatchEngine> &it : Pool)
      expireRecentPace(it->Pace, monotonicNow(), Limits.Pool.Pace);
    moveRunsToFasterEngines();
    requestWeightLoads();
    schedule();
  }
}

/// Cancels the runs on engines that are stalled or no longer usable.
void Dispatcher::cancelStalledRuns() {
  TimePoint now = monotonicNow();
  for (const std::shared_ptr<ItemTask> &it : Tasks) {
    if (it->Stage != ItemStage::Running || !it->Engine)
      continue;
    DispatchEngine &engine = *it->Engine;
    Millis timeout = engine.isSwapping() ? Limits.LoadStallTimeout
                     : it->HasEvent      ? Limits.RunStallTimeout
                                         : Limits.FirstEventTimeout;
    bool stalled = now - it->LastEvent > timeout;
    bool leaving = !isUsable(View.Servers, *engine.Server, View.Contact, now);
    if (!stalled && !leaving)
      continue;
    Decisions->line("item.taken_away",
                    {{"item", it->Item.Id.Text},
                     {"server", engine.Server->Entry.Id.Text},
                     {"reason", stalled ? "silent" : "leaving"}});
    if (stalled)
      wasabi::noteFailure(View.Servers, *engine.Server, now);
    it->LastEvent = now;
    if (it->Stream != nullptr)
      it->Stream->cancel();
    it->CancelSignal.emit(asio::cancellation_type::terminal);
  }
}

/// Moves runs to faster engines that have room: all runs of slow engines, and
/// long runs of engines in a slower tier. Resuming costs a few events, whereas
/// staying slows down the rest of the text.
void Dispatcher::moveRunsToFasterEngines() {
  TimePoint now = monotonicNow();
  const EnginePaceSettings &limits = Limits.Pool.Pace;
  PaceBaseline baseline = computePaceBaseline(Pool, Limits.Pool);
  struct Promise {
    std::uint32_t Runs = 0;
    double Tokens = 0;
  };
  std::map<const DispatchEngine *, Promise> promised;
  updatePredictedTokens();
  for (const std::shared_ptr<ItemTask> &it : Tasks) {
    if (it->Stage != ItemStage::Running || !it->Engine || !it->HasEvent ||
        it->Stream == nullptr || it->Moved)
      continue;
    const DispatchEngine &from = *it->Engine;
    bool slow = isSlow(from.Pace, baseline.MedianMs, limits);
    std::uint32_t tier = paceTier(from.Pace, baseline.FastQuartileMs, limits);
    bool longOnSlowTier = tier > 0 && !it->MovedForPace &&
                          it->Text.Events >= limits.MinLongTextEvents;
    if (!slow && !longOnSlowTier)
      continue;
    std::shared_ptr<DispatchEngine> target =
        chooseEngine(Pool, requirementsOf(*it), baseline, Limits.Pool, now);
    if (!target || target->Server->SuspectUntil > now ||
        isSlow(target->Pace, baseline.MedianMs, limits) ||
        (!slow &&
         paceTier(target->Pace, baseline.FastQuartileMs, limits) >= tier))
      continue;
    Promise &reserved = promised[target.get()];
    double tokens = predictedTokens(*it);
    if (target->Running + reserved.Runs >= target->Server->Entry.Slots ||
        !fitsMemory(*target, reserved.Tokens + tokens, Limits.Pool))
      continue;
    ++reserved.Runs;
    reserved.Tokens += tokens;
    Decisions->line(
        "item.taken_away",
        {{"item", it->Item.Id.Text},
         {"server", from.Server->Entry.Id.Text},
         {"reason", slow ? "slow" : "slower than another"},
         {"recent_ms", fmt::format("{:.0f}", from.Pace.RecentMs)},
         {"own_ms", fmt::format("{:.0f}", longTermMs(from.Pace, limits))},
         {"usual_ms", fmt::format("{:.0f}", baseline.MedianMs)},
         {"fast_ms", fmt::format("{:.0f}", baseline.FastQuartileMs)}});
    it->Moved = true;
    it->MovedForPace = it->MovedForPace || !slow;
    it->Stream->cancel();
  }
}

//===--- Weight loads -----------------------------------------------------===//

SwapMode Dispatcher::swapMode(const ModelName &Model) const {
  for (const std::shared_ptr<ItemTask> &it : Tasks) {
    if (it->Job->Job.Model != Model)
      continue;
    const UpstreamRoute *route = routeOf(*it);
    if (route != nullptr && route->SingleVersion)
      return SwapMode::Finish;
  }
  return SwapMode::Continue;
}

/// Returns the versions that the waiting items of each model require, and the
/// version that the next step is expected to require if a version was just
/// named.
std::map<ModelName, ModelDemand> Dispatcher::modelDemands() {
  TimePoint now = monotonicNow();
  std::map<ModelName, ModelDemand> demands;
  for (const std::shared_ptr<ItemTask> &it : Tasks) {
    if (it->Cancelled || it->Stage != ItemStage::Waiting)
      continue;
    const BatchJob &job = it->Job->Job;
    WeightVersion &waiting = demands[job.Model].WaitingMinVersion;
    waiting = std::max(waiting, job.MinVersion);
  }
  for (const auto &[model, version] : View.NewestVersions) {
    NamedVersion &named = NamedVersions[model];
    WeightVersion newest = NewestMinVersions[model];
    if (named.Version != version)
      named = {version, now, newest};
    ModelDemand &demand = demands[model];
    demand.NewestVersion = version;
    bool expected = newest == named.MinVersionAtNaming &&
                    now - named.Since < Limits.StepArrivalTimeout;
    // Each named version raises the minimum version of the next step by one.
    if (expected)
      demand.ExpectedMinVersion = named.MinVersionAtNaming + 1;
  }
  return demands;
}

/// Requests weight loads of the engines that are due. Limits the number of
/// concurrent loads, because the other engines keep serving and concurrent
/// loads slow each other down.
void Dispatcher::requestWeightLoads() {
  TimePoint now = monotonicNow();
  std::uint32_t loading = 0;
  std::map<ModelName, ModelDemand> demands = modelDemands();
  std::vector<DueLoad> due;
  for (const std::shared_ptr<DispatchEngine> &it : Pool) {
    bool timedOut = now - it->WantedAt > Limits.SwapTimeout;
    if (it->isSwapping() && !timedOut) {
      ++loading;
      continue;
    }
    if (it->Server->SuspectUntil > now)
      continue;
    for (const ModelName &model : it->servedModels()) {
      auto demand = demands.find(model);
      auto loan = it->Loans.find(model);
      bool mayLoad = loan == it->Loans.end() || loan->second;
      if (mayLoad && demand != demands.end() &&
          shouldLoadWeights(*it, model, demand->second))
        due.push_back({it, model});
    }
  }
  auto share = static_cast<std::uint32_t>(static_cast<double>(Pool.size()) *
                                          Limits.Pool.MaxLoadingFraction);
  std::uint32_t maxLoading = std::max(Limits.Pool.MinLoadingLimit, share);
  std::vector<WeightLoad> loads;
  std::set<const DispatchEngine *> asked;
  for (const DueLoad &it : sortForLoading(std::move(due), demands)) {
    if (loading >= maxLoading)
      break;
    // An engine loads one model at a time.
    if (!asked.insert(it.Engine.get()).second)
      continue;
    ++loading;
    DispatchEngine &engine = *it.Engine;
    engine.Wanted = View.NewestVersions[it.Model];
    engine.WantedModel = it.Model;
    engine.WantedAt = now;
    loads.push_back({it.Engine,
                     {it.Model, engine.Wanted, swapMode(it.Model),
                      engine.Server->Entry.Start}});
  }
  if (loads.empty())
    return;
  asio::co_spawn(
      Executor,
      [self = shared_from_this(), loads = std::move(loads)] {
        return self->appendWeightLoads(loads);
      },
      asio::detached);
}

/// Requests weight loads in one append. Every sidecar reads the requests of all
/// engines, so separate appends would cost one read of every sidecar for each
/// engine.
asio::awaitable<void>
Dispatcher::appendWeightLoads(std::vector<WeightLoad> Loads) {
  std::shared_ptr<Dispatcher> self = shared_from_this();
  std::vector<KeyedValue> values;
  values.reserve(Loads.size());
  for (const WeightLoad &it : Loads)
    values.push_back(
        {it.Engine->Server->Entry.Id.Text, encodeWanted(it.Weights)});
  Outcome<Offset> appended = co_await Store.AppendKeyed(
      WantedTopic, std::move(values), Limits.AppendTimeout);
  for (const WeightLoad &it : Loads) {
    DispatchEngine &engine = *it.Engine;
    Decisions->line(
        "engine.wanted",
        {{"server", engine.Server->Entry.Id.Text},
         {"start", std::to_string(it.Weights.Start)},
         {"model", it.Weights.Model.Text},
         {"has", std::to_string(engine.version(it.Weights.Model))},
         {"wanted", std::to_string(it.Weights.Version)},
         {"result", appended ? "written" : describe(appended.failure())}});
    // The monitor loop repeats a request that could not be appended.
    if (!appended && engine.WantedModel == it.Weights.Model &&
        engine.Wanted == it.Weights.Version)
      engine.Wanted = 0;
  }
}

void Dispatcher::onHeldWeights(const ServerName &Server,
                               const HeldWeights &Weights) {
  Held[Server] = HeldReport{Weights, monotonicNow()};
  for (const std::shared_ptr<DispatchEngine> &it : Pool) {
    // The report of a start that is not registered yet is applied when it is.
    if (it->Server->Entry.Id != Server ||
        !mayBeSameStart(it->Server->Entry.Start, Weights.Start))
      continue;
    for (const auto &[model, version] : Weights.Models)
      it->Versions[model] = version;
    it->LastReported = monotonicNow();
    it->Loading = Weights.Loading;
  }
  if (!Active)
    return;
  schedule();
  Wake.notify();
}

} // namespace wasabi
