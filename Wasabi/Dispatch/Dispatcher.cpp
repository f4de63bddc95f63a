#include "Wasabi/Dispatch/Dispatcher.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace wasabi {

namespace asio = boost::asio;

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned Unprocessable = 422;
constexpr unsigned InternalError = 500;
constexpr unsigned FirstRedirect = 300;

/// Results of one append: together well under the store's limit of a call.
constexpr std::size_t CommitBytes = 1000000;
/// Texts kept for carried-over items.
constexpr std::size_t MaxCarried = 2000;

void addVersion(std::vector<WeightVersion> &Versions, WeightVersion Version) {
  auto it = std::lower_bound(Versions.begin(), Versions.end(), Version);
  if (it == Versions.end() || *it != Version)
    Versions.insert(it, Version);
}

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
}

//===--- Items ------------------------------------------------------------===//

void Dispatcher::activate() {
  Active = true;
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
    if (unfinished && it->Text.Events > 0)
      records.push_back(
          encodeRecord(TextRecord{it->Job->Job.Id, it->item().Id, it->Text}));
  }
  deactivate();
  return records;
}

/// The text that an item may go on from: what a dispatcher handed back, or what
/// an earlier job left of it, if its versions are within the job's bound.
PartialText Dispatcher::storedText(const JobState &Job,
                                   std::size_t Index) const {
  PartialText text;
  auto stored = Job.Texts.find(Index);
  if (stored != Job.Texts.end())
    text = stored->second;
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

EngineNeed Dispatcher::needOf(ItemWork &Work) const {
  EngineNeed need;
  need.Model = Work.Job->Job.Model;
  need.MinVersion = Work.Job->Job.MinVersion;
  need.Avoid = Work.Avoid;
  auto prompt = PromptAt.find(Work.item().Group);
  if (prompt != PromptAt.end())
    need.Preferred = prompt->second;
  const UpstreamRoute *route = routeOf(Work);
  if (route != nullptr && route->SingleVersion && Work.Text.Events > 0) {
    // A text of one version goes on under it, or begins anew where no engine
    // has it any more.
    WeightVersion version = Work.Text.Versions.front();
    bool there = std::any_of(
        Pool.begin(), Pool.end(), [&](const std::shared_ptr<EngineState> &It) {
          return It->Model == need.Model && It->version(need.Model) == version;
        });
    if (there && Work.Text.Versions.size() == 1)
      need.Exactly = version;
    else
      Work.Text = PartialText();
  }
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
    std::shared_ptr<EngineState> engine =
        chooseEngine(Pool, needOf(*work), UsualMs, Limits.Pool, now);
    if (engine)
      startRun(work, engine);
  }
  clearFinished();
}

http::Request Dispatcher::askOf(const ItemWork &Work) const {
  http::Request ask;
  ask.Method = "POST";
  ask.Target = Work.item().Path;
  ask.Headers.push_back({"Host", Work.Job->Job.Host});
  for (const PassedHeader &it : Work.item().Headers)
    ask.Headers.push_back({it.Name, it.Value});
  ask.Body = Work.item().Body;
  return ask;
}

void Dispatcher::startRun(const std::shared_ptr<ItemWork> &Work,
                          const std::shared_ptr<EngineState> &On) {
  Work->Stage = ItemStage::Running;
  Work->Engine = On;
  Work->LastEvent = monotonicNow();
  Work->Begun = false;
  ++On->Running;
  ++On->Server->InFlight;
  PromptAt[Work->item().Group] = On->Server->Entry.Id;
  Decisions->line("item.run",
                  {{"item", Work->item().Id.Text},
                   {"job", Work->Job->Job.Id.Text},
                   {"server", On->Server->Entry.Id.Text},
                   {"version", std::to_string(On->version(On->Model))},
                   {"resume_after", std::to_string(Work->Text.Events)}});
  asio::co_spawn(
      Executor, [self = shared_from_this(), Work] { return self->run(Work); },
      asio::detached);
}

asio::awaitable<void> Dispatcher::run(std::shared_ptr<ItemWork> Work) {
  std::shared_ptr<EngineState> engine = Work->Engine;
  SendOptions options;
  options.RequestId = Work->item().Id.Text;
  if (Work->Text.Events > 0)
    options.ResumeAfter = Work->Text.Events;
  std::optional<Outcome<std::unique_ptr<EngineStream>>> opened =
      co_await cancellable(Executor,
                           Engines.Open(engine->Server->Entry, askOf(*Work),
                                        options, Limits.EventLimit),
                           Work->Stop);
  Failure why{Verdict::MayHaveRun, FailureCode::Cancelled, "dispatcher",
              "the run was stopped", Millis(0)};
  bool whole = false;
  if (opened && !*opened)
    why = opened->failure();
  if (opened && *opened && !Work->Dropped) {
    std::unique_ptr<EngineStream> stream = std::move(**opened);
    bool good = judgeHead(Work, stream->head());
    if (good) {
      Work->Stream = stream.get();
      whole = co_await readEvents(*Work);
      Work->Stream = nullptr;
    } else
      why.Reason = "status " + std::to_string(stream->head().Response.Status);
  }
  --engine->Running;
  --engine->Server->InFlight;
  Work->Engine.reset();
  if (Work->Dropped || Work->Stage == ItemStage::Finished)
    co_return schedule();
  if (!whole) {
    Work->Avoid = engine->Server->Entry.Id;
    endRun(Work, why);
    co_return;
  }
  wasabi::noteSuccess(View.Servers, *engine->Server, 0);
  Work->Text.Whole = true;
  startScore(Work);
  schedule();
}

void Dispatcher::startScore(const std::shared_ptr<ItemWork> &Work) {
  Work->Stage = ItemStage::Scoring;
  asio::co_spawn(
      Executor, [self = shared_from_this(), Work] { return self->score(Work); },
      asio::detached);
}

/// Whether a stream may be read on; else what becomes of the item is settled,
/// or it is tried again.
bool Dispatcher::judgeHead(const std::shared_ptr<ItemWork> &Work,
                           const StreamHead &Head) {
  EngineState &engine = *Work->Engine;
  if (Head.Version) {
    engine.Versions[engine.Model] = *Head.Version;
    engine.Told = monotonicNow();
  }
  unsigned status = Head.Response.Status;
  if (status == MisdirectedStatus)
    engine.Server->Replaced = true;
  // It is full or about to load; a registration tells neither in time.
  if (Head.Proof == AnswerProof::NotRun) {
    engine.FullUntil = monotonicNow() + Limits.RetryPause;
    return false;
  }
  if (status == Ok) {
    // A server that has nothing to add to a text tells no version.
    bool known = Head.Version.has_value();
    bool fresh = known ? *Head.Version >= Work->Job->Job.MinVersion
                       : Work->Text.Events > 0;
    if (!fresh)
      Decisions->line(
          "item.stale_engine",
          {{"item", Work->item().Id.Text},
           {"server", engine.Server->Entry.Id.Text},
           {"version", known ? std::to_string(*Head.Version) : "unknown"}});
    return fresh;
  }
  if (status == Unprocessable) {
    terminate(Work, "the server can never do it");
    return false;
  }
  if (status == InternalError) {
    const UpstreamRoute *route = routeOf(*Work);
    ++Work->Failures;
    if (route != nullptr && Work->Failures >= route->MaxAttempts)
      terminate(Work, "every attempt failed");
  }
  return false;
}

asio::awaitable<bool> Dispatcher::readEvents(ItemWork &Work) {
  EngineState &engine = *Work.Engine;
  std::optional<WeightVersion> version = Work.Stream->head().Version;
  for (;;) {
    // Stalled runs are ended by `lookAtRuns`.
    Outcome<std::optional<EngineEvent>> event =
        co_await Work.Stream->next(Limits.EventLimit);
    if (!event)
      co_return false;
    if (!*event)
      co_return Work.Text.Events > 0;
    if ((*event)->Id != Work.Text.Events + 1) {
      Decisions->line("item.event_out_of_order",
                      {{"item", Work.item().Id.Text},
                       {"server", engine.Server->Entry.Id.Text},
                       {"expected", std::to_string(Work.Text.Events + 1)},
                       {"got", std::to_string((*event)->Id)}});
      co_return false;
    }
    if ((*event)->Version) {
      version = (*event)->Version;
      engine.Versions[engine.Model] = *version;
      engine.Told = monotonicNow();
    }
    // What cannot be labelled truthfully is not taken.
    if (!version)
      co_return false;
    noteEvent(engine, Work);
    if (Work.Text.Events > 0)
      Work.Text.Output += '\n';
    Work.Text.Output += (*event)->Data;
    Work.Text.Events = (*event)->Id;
    addVersion(Work.Text.Versions, *version);
  }
}

void Dispatcher::noteEvent(EngineState &On, ItemWork &Work) {
  constexpr double Smoothing = 0.15;
  TimePoint now = monotonicNow();
  double gap =
      std::chrono::duration<double, std::milli>(now - Work.LastEvent).count();
  // The first pause is queue and prompt, and one across a load says nothing of
  // the engine's pace.
  if (Work.Begun && !On.swapping()) {
    double share = On.EventMs > 0 ? Smoothing : 1.0;
    On.EventMs += share * (gap - On.EventMs);
  }
  Work.Begun = true;
  Work.LastEvent = now;
  On.LastEvent = now;
}

void Dispatcher::endRun(const std::shared_ptr<ItemWork> &Work,
                        const Failure &Why) {
  Work->Stage = ItemStage::Waiting;
  Work->NotBefore = monotonicNow() + Limits.RetryPause;
  Decisions->line("item.run_ended",
                  {{"item", Work->item().Id.Text},
                   {"server", Work->Avoid.Text},
                   {"events", std::to_string(Work->Text.Events)},
                   {"reason", describe(Why)}});
  Counts.counter("item_runs_broken_total", "Runs of items that were not whole")
      .add();
  schedule();
  Wake.notify();
}

void Dispatcher::terminate(const std::shared_ptr<ItemWork> &Work,
                           std::string_view Why) {
  Decisions->line("item.terminated", {{"item", Work->item().Id.Text},
                                      {"job", Work->Job->Job.Id.Text},
                                      {"reason", std::string(Why)}});
  finish(Work, ItemResult{Work->item().Id, ItemEnd::Terminated, "", {}, ""});
}

asio::awaitable<void> Dispatcher::score(std::shared_ptr<ItemWork> Work) {
  const BatchItem &item = Work->item();
  ItemResult result{item.Id, ItemEnd::Completed, Work->Text.Output,
                    Work->Text.Versions, ""};
  std::uint32_t failures = 0;
  while (item.Score && !Work->Dropped && result.Score.empty()) {
    const UpstreamRoute *route =
        View.Routes
            ? findRoute(*View.Routes, item.Score->Host, item.Score->Path)
            : nullptr;
    if (route == nullptr) {
      co_await pauseFor(Executor, Limits.RetryPause);
      continue;
    }
    std::uint32_t most = route->MaxAttempts;
    UpstreamRoute once = *route;
    // Each failure is counted here, and a lost answer costs no attempt.
    once.MaxAttempts = 1;
    once.Timeout = Limits.ScoreTime;
    ForwardRequest call;
    call.Id = item.Score->Id;
    call.Arrived = monotonicNow();
    call.Patience = failures == 0 ? Limits.ScoreTime / 2 : Limits.ScoreTime;
    call.Ask.Method = "POST";
    call.Ask.Target = item.Score->Path;
    call.Ask.Headers = {{"Host", item.Score->Host}};
    call.Ask.Body = item.Score->Body;
    Outcome<UpstreamAnswer> got =
        co_await Scores->answer(std::move(call), std::move(once), Work->Stop);
    if (got && got->Response.Status >= Ok &&
        got->Response.Status < FirstRedirect && !got->Signature.empty()) {
      result.Score = got->Signature;
      break;
    }
    if (got && got->Response.Status == InternalError && ++failures >= most) {
      terminate(Work, "its scoring call failed at every attempt");
      co_return;
    }
    if (!Work->Dropped)
      co_await pauseFor(Executor, Limits.RetryPause);
  }
  if (Work->Dropped)
    co_return;
  finish(Work, std::move(result));
  schedule();
}

void Dispatcher::finish(const std::shared_ptr<ItemWork> &Work,
                        ItemResult Result) {
  Work->Stage = ItemStage::Finished;
  Decisions->line(
      "item.finished",
      {{"item", Result.Item.Text},
       {"job", Work->Job->Job.Id.Text},
       {"completed", Result.End == ItemEnd::Completed ? "yes" : "no"},
       {"events", std::to_string(Work->Text.Events)},
       {"versions", fmt::format("{}", fmt::join(Result.Versions, ","))},
       {"took_ms", std::to_string(std::chrono::duration_cast<Millis>(
                                      monotonicNow() - Work->Job->Seen)
                                      .count())}});
  Uncommitted.push_back(ResultRecord{Work->Job->Job.Id, std::move(Result)});
  CommitWake.notify();
}

namespace {

/// Whether the topic shows a result of the item, or nobody waits for one.
bool settled(const BatchFold &Fold, const ResultRecord &What) {
  std::shared_ptr<JobState> job = findJob(Fold, What.Job);
  if (!job || job->Ended)
    return true;
  auto it = job->Index.find(What.Result.Item.Text);
  return it == job->Index.end() || job->Listed[it->second];
}

} // namespace

asio::awaitable<void> Dispatcher::commitLoop() {
  constexpr Millis Idle{10000};
  for (;;) {
    std::erase_if(Uncommitted, [this](const ResultRecord &It) {
      return settled(Log->fold(), It);
    });
    if (Uncommitted.empty()) {
      co_await CommitWake.wait(monotonicNow() + Idle);
      continue;
    }
    std::vector<std::string> records;
    std::size_t bytes = 0;
    for (const ResultRecord &it : Uncommitted) {
      if (bytes > CommitBytes)
        break;
      records.push_back(encodeRecord(it));
      bytes += records.back().size();
    }
    std::size_t n = records.size();
    Outcome<Offset> got = co_await Log->append(std::move(records));
    // An append of unknown outcome is made again: the first result counts.
    if (got)
      Uncommitted.erase(Uncommitted.begin(),
                        Uncommitted.begin() + static_cast<std::ptrdiff_t>(n));
    else {
      Decisions->line("results.append_failed",
                      {{"results", std::to_string(n)},
                       {"reason", describe(got.failure())}});
      co_await pauseFor(Executor, Limits.RetryPause);
    }
  }
}

//===--- Engines ----------------------------------------------------------===//

/// What a step of each model asks for on average, in expected tokens.
std::map<ModelName, double> Dispatcher::demand() const {
  std::map<ModelName, double> found;
  std::map<ModelName, double> steps;
  TimePoint now = monotonicNow();
  for (const auto &[id, job] : Log->fold().Jobs) {
    if (now - job->Seen > Limits.DemandSpan)
      continue;
    double &sum = found[job->Job.Model];
    for (const BatchItem &it : job->Job.Items)
      sum += it.ExpectedTokens > 0 ? it.ExpectedTokens : Limits.UnknownTokens;
    steps[job->Job.Model] += 1;
  }
  for (auto &[model, sum] : found)
    sum /= steps[model];
  return found;
}

/// What an engine that is new here has told earlier, if that is newer than its
/// registration.
void Dispatcher::takeHeld(EngineState &Engine) const {
  auto news = Held.find(Engine.Server->Entry.Id);
  if (news == Held.end())
    return;
  for (const auto &[model, version] : news->second.Held.Models) {
    WeightVersion &has = Engine.Versions[model];
    has = std::max(has, version);
  }
  Engine.Told = news->second.Came;
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
         serversOf(View.Servers, service.Name, View.Contact, now)) {
      auto known = std::find_if(Pool.begin(), Pool.end(),
                                [&](const std::shared_ptr<EngineState> &Of) {
                                  return Of->Server == it;
                                });
      std::shared_ptr<EngineState> engine =
          known == Pool.end() ? std::make_shared<EngineState>() : *known;
      engine->Server = it;
      // A registration is older than what the engine itself said of late.
      constexpr Millis RegistrationLag{2500};
      for (const auto &[model, version] : it->Entry.Models) {
        bool newer = version > engine->version(model);
        if (newer || now - engine->Told > RegistrationLag)
          engine->Versions[model] = version;
      }
      if (known == Pool.end())
        takeHeld(*engine);
      next.push_back(std::move(engine));
    }
  }
  Pool = std::move(next);
  std::map<ModelName, double> asked = demand();
  // Until every model has had a job, they count alike.
  if (asked.size() == wanted.size())
    wanted = asked;
  bool mayMove = now - LastMove > Limits.MoveEvery;
  if (assignModels(Pool,
                   poolSizes(wanted, static_cast<std::uint32_t>(Pool.size())),
                   View.Named, mayMove)) {
    LastMove = now;
    for (const std::shared_ptr<EngineState> &it : Pool)
      Decisions->line("engine.assigned",
                      {{"server", it->Server->Entry.Id.Text},
                       {"model", it->Model.Text},
                       {"version", std::to_string(it->version(it->Model))}});
  }
}

asio::awaitable<void> Dispatcher::lookLoop() {
  constexpr Millis Idle{1000};
  for (;;) {
    bool busy = Active && !Works.empty();
    co_await Wake.wait(monotonicNow() + (busy ? Limits.LookEvery : Idle));
    if (!Active)
      continue;
    syncEngines();
    lookAtRuns();
    forgetPaces();
    takeFromSlow(usualEventMs(Pool));
    wantVersions();
    schedule();
  }
}

/// Ends the runs of servers that are silent, that leave or that are gone.
void Dispatcher::lookAtRuns() {
  TimePoint now = monotonicNow();
  for (const std::shared_ptr<ItemWork> &it : Works) {
    if (it->Stage != ItemStage::Running || !it->Engine)
      continue;
    EngineState &engine = *it->Engine;
    Millis patience = engine.swapping() || !it->Begun ? Limits.LoadStallTime
                                                      : Limits.StallTime;
    bool stalled = now - it->LastEvent > patience;
    bool leaving = !usable(View.Servers, *engine.Server, View.Contact, now);
    if (!stalled && !leaving)
      continue;
    Decisions->line("item.taken_away",
                    {{"item", it->item().Id.Text},
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

/// Moves runs from engines that are slow to ones that are not and have room:
/// going on elsewhere costs some milliseconds of reading, staying costs the
/// rest of the text at a multiple of the time.
void Dispatcher::takeFromSlow(double UsualMs) {
  TimePoint now = monotonicNow();
  std::map<const EngineState *, std::uint32_t> promised;
  for (const std::shared_ptr<ItemWork> &it : Works) {
    bool slow = it->Stage == ItemStage::Running && it->Engine && it->Begun &&
                it->Stream != nullptr &&
                isSlow(*it->Engine, UsualMs, Limits.Pool);
    if (!slow)
      continue;
    std::shared_ptr<EngineState> other =
        chooseEngine(Pool, needOf(*it), UsualMs, Limits.Pool, now);
    if (!other || isSlow(*other, UsualMs, Limits.Pool) ||
        other->Server->SuspectUntil > now)
      continue;
    std::uint32_t &more = promised[other.get()];
    if (other->Running + more >= other->Server->Entry.Slots)
      continue;
    ++more;
    Decisions->line("item.taken_away",
                    {{"item", it->item().Id.Text},
                     {"server", it->Engine->Server->Entry.Id.Text},
                     {"reason", "slow"},
                     {"event_ms", fmt::format("{:.0f}", it->Engine->EventMs)},
                     {"usual_ms", fmt::format("{:.0f}", UsualMs)}});
    it->Stream->cancel();
  }
}

/// Forgets the pace of engines that have had nothing to do for a while, so that
/// one that was slow is tried again.
void Dispatcher::forgetPaces() {
  TimePoint now = monotonicNow();
  for (const std::shared_ptr<EngineState> &it : Pool) {
    if (it->EventMs > 0 && now - it->LastEvent > Limits.PaceSpan)
      it->EventMs = 0;
  }
}

//===--- Orders -----------------------------------------------------------===//

SwapMode Dispatcher::swapMode(const ModelName &Model) const {
  for (const std::shared_ptr<ItemWork> &it : Works) {
    if (it->Job->Job.Model != Model)
      continue;
    const UpstreamRoute *route = routeOf(*it);
    if (route != nullptr && route->SingleVersion)
      return SwapMode::Finish;
  }
  return SwapMode::Continue;
}

/// Says which engines should take new weights now. Not all at once: the others
/// go on serving, and more than a few loads slow each other down.
void Dispatcher::wantVersions() {
  TimePoint now = monotonicNow();
  std::uint32_t swapping = 0;
  std::map<ModelName, std::uint32_t> engines;
  std::map<ModelName, std::uint32_t> swappingOf;
  std::vector<std::shared_ptr<EngineState>> due;
  for (const std::shared_ptr<EngineState> &it : Pool) {
    ++engines[it->Model];
    bool late = now - it->WantedAt > Limits.SwapLimit;
    if (it->swapping() && !late) {
      ++swapping;
      ++swappingOf[it->Model];
      continue;
    }
    auto named = View.Named.find(it->Model);
    if (named != View.Named.end() && it->version(it->Model) < named->second &&
        it->Server->SuspectUntil <= now)
      due.push_back(it);
  }
  auto lag = [this](const EngineState &Of) {
    return View.Named[Of.Model] - Of.version(Of.Model);
  };
  // One that was asked in vain comes last, else it would hold up the others;
  // then the one that lags most, then the one with the least to hold up.
  auto rank = [&](const std::shared_ptr<EngineState> &Of) {
    bool inVain = Of->Wanted > Of->version(Of->Model);
    return std::make_tuple(inVain, inVain ? Of->WantedAt : TimePoint(),
                           -static_cast<std::int64_t>(lag(*Of)), Of->Running);
  };
  std::sort(due.begin(), due.end(), [&rank](const auto &L, const auto &R) {
    return rank(L) < rank(R);
  });
  auto share = static_cast<std::uint32_t>(static_cast<double>(Pool.size()) *
                                          Limits.Pool.LoadShare);
  std::uint32_t most = std::max(Limits.Pool.LeastLoads, share);
  for (const std::shared_ptr<EngineState> &it : due) {
    if (swapping >= most)
      return;
    // Half of a model's engines go on serving it.
    std::uint32_t &own = swappingOf[it->Model];
    if (own > 0 && own >= engines[it->Model] / 2)
      continue;
    ++own;
    ++swapping;
    it->Wanted = View.Named[it->Model];
    it->WantedAt = now;
    WantedWeights what{it->Model, it->Wanted, swapMode(it->Model)};
    asio::co_spawn(
        Executor,
        [self = shared_from_this(), it, what] { return self->want(it, what); },
        asio::detached);
  }
}

asio::awaitable<void> Dispatcher::want(std::shared_ptr<EngineState> On,
                                       WantedWeights What) {
  std::shared_ptr<Dispatcher> self = shared_from_this();
  Outcome<Offset> got =
      co_await Store.AppendKeyed(WantedTopic, On->Server->Entry.Id.Text,
                                 encodeWanted(What), Limits.StoreTime);
  Decisions->line("engine.wanted",
                  {{"server", On->Server->Entry.Id.Text},
                   {"model", What.Model.Text},
                   {"has", std::to_string(On->version(What.Model))},
                   {"wanted", std::to_string(What.Version)},
                   {"result", got ? "written" : describe(got.failure())}});
  // What the store did not take is wanted again at the next look.
  if (!got && On->Wanted == What.Version)
    On->Wanted = 0;
}

void Dispatcher::onHeld(const ServerName &Of, const HeldWeights &Now) {
  Held[Of] = HeldNews{Now, monotonicNow()};
  for (const std::shared_ptr<EngineState> &it : Pool) {
    if (it->Server->Entry.Id != Of)
      continue;
    for (const auto &[model, version] : Now.Models)
      it->Versions[model] = version;
    it->Told = monotonicNow();
    it->Loading = Now.Loading;
  }
  if (!Active)
    return;
  schedule();
  Wake.notify();
}

} // namespace wasabi
