#include "Wasabi/Dispatch/Dispatcher.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace wasabi {

namespace asio = boost::asio;

//===--- Which engines there are and how they do
//---------------------------===//

/// What a step of each model asks for on average, in expected tokens.
std::map<ModelName, double> Dispatcher::demand() const {
  std::map<ModelName, double> found;
  std::map<ModelName, double> steps;
  TimePoint now = monotonicNow();
  for (const auto &[id, job] : Log->fold().Jobs) {
    if (now - job->Seen > Limits.DemandWindow)
      continue;
    double &sum = found[job->Job.Model];
    for (const BatchItem &it : job->Job.Items)
      sum += it.ExpectedTokens > 0 ? it.ExpectedTokens
                                   : Limits.DefaultExpectedTokens;
    steps[job->Job.Model] += 1;
  }
  for (auto &[model, sum] : found)
    sum /= steps[model];
  return found;
}

/// What an engine that is new here has told earlier, if that is newer than its
/// registration.
void Dispatcher::applyReportedWeights(DispatchEngine &Engine) const {
  auto news = Held.find(Engine.Server->Entry.Id);
  if (news == Held.end() ||
      !mayBeSameStart(news->second.Held.Start, Engine.Server->Entry.Start))
    return;
  for (const auto &[model, version] : news->second.Held.Models) {
    WeightVersion &has = Engine.Versions[model];
    has = std::max(has, version);
  }
  Engine.LastReported = news->second.Came;
}

void Dispatcher::syncEngines() {
  if (!View.Routes)
    return;
  TimePoint now = monotonicNow();
  EngineList next;
  std::map<ModelName, double> wanted;
  for (const UpstreamService &service : View.Routes->Services) {
    if (!service.Engine)
      continue;
    for (const ModelName &it : service.Engine->Models)
      wanted[it] = 1;
    for (const std::shared_ptr<UpstreamServer> &it :
         findUsableServers(View.Servers, service.Name, View.Contact, now)) {
      auto known = std::find_if(Pool.begin(), Pool.end(),
                                [&](const std::shared_ptr<DispatchEngine> &Of) {
                                  return Of->Server == it;
                                });
      std::shared_ptr<DispatchEngine> engine =
          known == Pool.end() ? std::make_shared<DispatchEngine>() : *known;
      engine->Server = it;
      // A registration is older than what the engine itself said of late.
      constexpr Millis RegistrationLag{2500};
      for (const auto &[model, version] : it->Entry.Models) {
        bool newer = version > engine->version(model);
        if (newer || now - engine->LastReported > RegistrationLag)
          engine->Versions[model] = version;
      }
      if (known == Pool.end())
        applyReportedWeights(*engine);
      next.push_back(std::move(engine));
    }
  }
  Pool = std::move(next);
  std::map<ModelName, double> asked = demand();
  // Until every model has had a job, they count alike.
  if (asked.size() == wanted.size())
    wanted = asked;
  bool mayMove = now - LastMove > Limits.MinMoveInterval;
  if (assignModels(Pool,
                   poolSizes(wanted, static_cast<std::uint32_t>(Pool.size())),
                   View.NewestVersions, mayMove)) {
    LastMove = now;
    for (const std::shared_ptr<DispatchEngine> &it : Pool)
      Decisions->line("engine.assigned",
                      {{"server", it->Server->Entry.Id.Text},
                       {"model", it->Model.Text},
                       {"version", std::to_string(it->version(it->Model))}});
  }
}

asio::awaitable<void> Dispatcher::monitorLoop() {
  constexpr Millis Idle{1000};
  for (;;) {
    bool busy = Active && !Works.empty();
    co_await Wake.wait(monotonicNow() + (busy ? Limits.PollInterval : Idle));
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

/// Ends the runs of servers that are silent, that leave or that are gone.
void Dispatcher::cancelStalledRuns() {
  TimePoint now = monotonicNow();
  for (const std::shared_ptr<ItemTask> &it : Works) {
    if (it->Stage != ItemStage::Running || !it->Engine)
      continue;
    DispatchEngine &engine = *it->Engine;
    Millis patience = engine.isSwapping() ? Limits.LoadStallTimeout
                      : it->Begun         ? Limits.RunStallTimeout
                                          : Limits.FirstEventTimeout;
    bool stalled = now - it->LastEvent > patience;
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
    it->Stop.emit(asio::cancellation_type::terminal);
  }
}

/// Moves runs to faster engines that have room: all of them from engines that
/// are slow, long ones from any that is a grade slower. Going on elsewhere
/// costs two or three events of reading, staying costs the rest of the text at
/// a multiple of the time.
void Dispatcher::moveRunsToFasterEngines() {
  TimePoint now = monotonicNow();
  const EnginePaceSettings &limits = Limits.Pool.Pace;
  PaceBaseline scale = computePaceBaseline(Pool, Limits.Pool);
  std::map<const DispatchEngine *, std::uint32_t> promised;
  for (const std::shared_ptr<ItemTask> &it : Works) {
    if (it->Stage != ItemStage::Running || !it->Engine || !it->Begun ||
        it->Stream == nullptr || it->Moved)
      continue;
    const DispatchEngine &from = *it->Engine;
    bool slow = isSlow(from.Pace, scale.MedianMs, limits);
    std::uint32_t grade = paceTier(from.Pace, scale.FastQuartileMs, limits);
    bool late = grade > 0 && !it->MovedForPace &&
                it->Text.Events >= limits.MinLongTextEvents;
    if (!slow && !late)
      continue;
    std::shared_ptr<DispatchEngine> other =
        chooseEngine(Pool, needOf(*it), scale, Limits.Pool, now);
    if (!other || other->Server->SuspectUntil > now ||
        isSlow(other->Pace, scale.MedianMs, limits) ||
        (!slow && paceTier(other->Pace, scale.FastQuartileMs, limits) >= grade))
      continue;
    std::uint32_t &more = promised[other.get()];
    if (other->Running + more >= other->Server->Entry.Slots)
      continue;
    ++more;
    Decisions->line(
        "item.taken_away",
        {{"item", it->Item.Id.Text},
         {"server", from.Server->Entry.Id.Text},
         {"reason", slow ? "slow" : "slower than another"},
         {"recent_ms", fmt::format("{:.0f}", from.Pace.RecentMs)},
         {"own_ms", fmt::format("{:.0f}", longTermMs(from.Pace, limits))},
         {"usual_ms", fmt::format("{:.0f}", scale.MedianMs)},
         {"fast_ms", fmt::format("{:.0f}", scale.FastQuartileMs)}});
    it->Moved = true;
    it->MovedForPace = it->MovedForPace || !slow;
    it->Stream->cancel();
  }
}

//===--- Which weights they should hold
//-------------------------------------===//

SwapMode Dispatcher::swapMode(const ModelName &Model) const {
  for (const std::shared_ptr<ItemTask> &it : Works) {
    if (it->Job->Job.Model != Model)
      continue;
    const UpstreamRoute *route = routeOf(*it);
    if (route != nullptr && route->SingleVersion)
      return SwapMode::Finish;
  }
  return SwapMode::Continue;
}

/// What is asked of each model by what waits, and by a step that is likely to
/// follow a version that was just named.
std::map<ModelName, ModelDemand> Dispatcher::modelDemands() {
  TimePoint now = monotonicNow();
  std::map<ModelName, ModelDemand> found;
  for (const std::shared_ptr<ItemTask> &it : Works) {
    if (it->Dropped || it->Stage != ItemStage::Waiting || it->Quarantined)
      continue;
    const BatchJob &job = it->Job->Job;
    WeightVersion &waiting = found[job.Model].WaitingMinVersion;
    waiting = std::max(waiting, job.MinVersion);
  }
  for (const auto &[model, version] : View.NewestVersions) {
    NamedVersion &named = NamedVersions[model];
    WeightVersion newest = NewestMinVersions[model];
    if (named.Version != version)
      named = {version, now, newest};
    ModelDemand &demand = found[model];
    demand.NewestVersion = version;
    bool expected = newest == named.MinVersionAtNaming &&
                    now - named.Since < Limits.StepArrivalTimeout;
    // Each version that is named lets a step's oldest one rise by one.
    if (expected)
      demand.ExpectedMinVersion = named.MinVersionAtNaming + 1;
  }
  return found;
}

/// Says which engines should take new weights now. Not all at once: the others
/// go on serving, and more than a few loads slow each other down.
void Dispatcher::requestWeightLoads() {
  TimePoint now = monotonicNow();
  std::uint32_t swapping = 0;
  std::map<ModelName, ModelDemand> demands = modelDemands();
  EngineList due;
  for (const std::shared_ptr<DispatchEngine> &it : Pool) {
    bool late = now - it->WantedAt > Limits.SwapTimeout;
    if (it->isSwapping() && !late) {
      ++swapping;
      continue;
    }
    auto demand = demands.find(it->Model);
    if (demand != demands.end() && shouldLoadWeights(*it, demand->second) &&
        it->Server->SuspectUntil <= now)
      due.push_back(it);
  }
  auto share = static_cast<std::uint32_t>(static_cast<double>(Pool.size()) *
                                          Limits.Pool.MaxLoadingFraction);
  std::uint32_t most = std::max(Limits.Pool.MinLoadingLimit, share);
  for (const std::shared_ptr<DispatchEngine> &it :
       sortForLoading(std::move(due), demands)) {
    if (swapping >= most)
      return;
    ++swapping;
    it->Wanted = View.NewestVersions[it->Model];
    it->WantedAt = now;
    WantedWeights what{it->Model, it->Wanted, swapMode(it->Model),
                       it->Server->Entry.Start};
    asio::co_spawn(
        Executor,
        [self = shared_from_this(), it, what] { return self->want(it, what); },
        asio::detached);
  }
}

asio::awaitable<void> Dispatcher::want(std::shared_ptr<DispatchEngine> On,
                                       WantedWeights What) {
  std::shared_ptr<Dispatcher> self = shared_from_this();
  Outcome<Offset> got =
      co_await Store.AppendKeyed(WantedTopic, On->Server->Entry.Id.Text,
                                 encodeWanted(What), Limits.AppendTimeout);
  Decisions->line("engine.wanted",
                  {{"server", On->Server->Entry.Id.Text},
                   {"start", std::to_string(What.Start)},
                   {"model", What.Model.Text},
                   {"has", std::to_string(On->version(What.Model))},
                   {"wanted", std::to_string(What.Version)},
                   {"result", got ? "written" : describe(got.failure())}});
  // What the store did not take is wanted again at the next look.
  if (!got && On->Wanted == What.Version)
    On->Wanted = 0;
}

void Dispatcher::onHeldWeights(const ServerName &Of, const HeldWeights &Now) {
  Held[Of] = HeldReport{Now, monotonicNow()};
  for (const std::shared_ptr<DispatchEngine> &it : Pool) {
    // What a start that has not registered yet holds is taken up when it does.
    if (it->Server->Entry.Id != Of ||
        !mayBeSameStart(it->Server->Entry.Start, Now.Start))
      continue;
    for (const auto &[model, version] : Now.Models)
      it->Versions[model] = version;
    it->LastReported = monotonicNow();
    it->Loading = Now.Loading;
  }
  if (!Active)
    return;
  schedule();
  Wake.notify();
}

} // namespace wasabi
