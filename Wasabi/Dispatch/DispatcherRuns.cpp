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

void addVersion(std::vector<WeightVersion> &Versions, WeightVersion Version) {
  auto it = std::lower_bound(Versions.begin(), Versions.end(), Version);
  if (it == Versions.end() || *it != Version)
    Versions.insert(it, Version);
}

} // namespace

http::Request Dispatcher::makeItemRequest(const ItemTask &Task) const {
  http::Request request;
  request.Method = "POST";
  request.Target = Task.Item.Path;
  request.Headers.push_back({"Host", Task.Job->Job.Host});
  for (const ForwardedHeader &it : Task.Item.Headers)
    request.Headers.push_back({it.Name, it.Value});
  request.Body = Task.Item.Body;
  return request;
}

void Dispatcher::startRun(const std::shared_ptr<ItemTask> &Task,
                          const std::shared_ptr<DispatchEngine> &Engine) {
  Task->Stage = ItemStage::Running;
  Task->Engine = Engine;
  Task->LastEvent = monotonicNow();
  Engine->LastSent = Task->LastEvent;
  Task->HasEvent = false;
  Task->RunFailure.reset();
  Task->Moved = false;
  ++Engine->Running;
  Task->IsCareful = Task->LostRuns >= Limits.CarefulAfterLostRuns;
  if (Task->IsCareful)
    ++Engine->CarefulRuns;
  Engine->PredictedTokens += predictedTokens(*Task);
  ++Engine->Server->InFlight;
  PromptEngines[Task->Item.Group] = Engine->Server->Entry.incarnation();
  Decisions->line(
      "item.run",
      {{"item", Task->Item.Id.Text},
       {"job", Task->Job->Job.Id.Text},
       {"server", Engine->Server->Entry.Id.Text},
       {"urgency", toText(Task->Urgency)},
       {"version", std::to_string(Engine->version(Task->Job->Job.Model))},
       {"resume_after", std::to_string(Task->Text.Events)}});
  asio::co_spawn(
      Executor, [self = shared_from_this(), Task] { return self->run(Task); },
      asio::detached);
}

asio::awaitable<void> Dispatcher::run(std::shared_ptr<ItemTask> Task) {
  std::shared_ptr<DispatchEngine> engine = Task->Engine;
  TimePoint startedAt = monotonicNow();
  SendOptions options;
  options.RequestId = Task->Item.Id.Text;
  options.Customer = Task->Job->Job.Id.Customer;
  options.Priority = enginePriority(Task->Urgency);
  if (Task->Text.Events > 0)
    options.ResumeAfter = Task->Text.Events;
  std::optional<Outcome<std::unique_ptr<EngineStream>>> opened =
      co_await cancellable(Executor,
                           Engines.Open(engine->Server->Entry,
                                        makeItemRequest(*Task), options,
                                        Limits.EventTimeout),
                           Task->CancelSignal);
  Failure failure{Verdict::MayHaveRun, FailureCode::Cancelled, "dispatcher",
                  "the run was cancelled", Millis(0)};
  bool complete = false;
  if (opened && !*opened) {
    failure = opened->failure();
    Task->RunFailure = failure;
    // Without a recorded failure, an engine that refuses connections appears
    // to be the least loaded one and attracts every waiting item.
    wasabi::noteFailure(View.Servers, *engine->Server, monotonicNow());
  }
  if (opened && *opened && !Task->Cancelled) {
    std::unique_ptr<EngineStream> stream = std::move(**opened);
    noteResponse(*engine->Server, startedAt, stream->head().Response.Status);
    bool accepted = checkStreamHead(Task, stream->head());
    if (accepted) {
      Task->Stream = stream.get();
      complete = co_await readEvents(*Task);
      Task->Stream = nullptr;
      failure = Task->RunFailure.value_or(failure);
    } else
      failure.Reason =
          "status " + std::to_string(stream->head().Response.Status);
  }
  --engine->Running;
  --engine->Server->InFlight;
  if (Task->IsCareful)
    --engine->CarefulRuns;
  Task->Engine.reset();
  bool connectionLost = Task->RunFailure &&
                        Task->RunFailure->Run != Verdict::NotRun &&
                        Task->RunFailure->Code == FailureCode::ConnectionLost;
  if (connectionLost)
    recordLostRun(*Task, *engine);
  if (Task->Cancelled || Task->Stage == ItemStage::Finished)
    co_return schedule();
  if (!complete) {
    Task->Avoid = engine->Server->Entry.incarnation();
    requeueItem(Task, failure);
    co_return;
  }
  wasabi::noteSuccess(View.Servers, *engine->Server, 0);
  Task->Text.IsComplete = true;
  recordTextLength(Lengths, Task->Item.ExpectedTokens, Task->Text.Events);
  startScoring(Task);
  schedule();
}

void Dispatcher::startScoring(const std::shared_ptr<ItemTask> &Task) {
  Task->Stage = ItemStage::Scoring;
  asio::co_spawn(
      Executor, [self = shared_from_this(), Task] { return self->score(Task); },
      asio::detached);
}

/// Returns true if the stream may be read. Otherwise the item has been
/// terminated or is to be tried again.
bool Dispatcher::checkStreamHead(const std::shared_ptr<ItemTask> &Task,
                                 const StreamHead &Head) {
  DispatchEngine &engine = *Task->Engine;
  if (Head.Version) {
    engine.Versions[Task->Job->Job.Model] = *Head.Version;
    engine.LastReported = monotonicNow();
  }
  unsigned status = Head.Response.Status;
  if (status == MisdirectedStatus)
    engine.Server->Replaced = true;
  // The engine is full or about to load weights. Its registration may not show
  // this yet.
  if (Head.Proof == AnswerProof::NotRun) {
    engine.FullUntil = monotonicNow() + Limits.RetryDelay;
    return false;
  }
  if (status == Ok) {
    // A server that has no events to add to a text reports no version.
    bool known = Head.Version.has_value();
    bool recentEnough = known ? *Head.Version >= Task->Job->Job.MinVersion
                              : Task->Text.Events > 0;
    // A route of a single version allows no continuation under another one.
    bool mixed = recentEnough && known && Task->Text.Events > 0 &&
                 requiresSingleVersion(*Task) &&
                 Task->Text.Versions.front() != *Head.Version;
    if (mixed)
      clearText(*Task);
    if (!recentEnough)
      Decisions->line(
          "item.stale_engine",
          {{"item", Task->Item.Id.Text},
           {"server", engine.Server->Entry.Id.Text},
           {"version", known ? std::to_string(*Head.Version) : "unknown"}});
    return recentEnough && !mixed;
  }
  Task->LostRuns = 0;
  if (status == Unprocessable) {
    terminate(Task, "an engine answered with status 422");
    return false;
  }
  if (status == InternalError) {
    const UpstreamRoute *route = routeOf(*Task);
    ++Task->Failures;
    if (route != nullptr && Task->Failures >= route->MaxAttempts)
      terminate(Task,
                "engines answered with status 500 until the attempt limit");
  }
  return false;
}

asio::awaitable<bool> Dispatcher::readEvents(ItemTask &Task) {
  DispatchEngine &engine = *Task.Engine;
  std::optional<WeightVersion> version = Task.Stream->head().Version;
  for (;;) {
    // `cancelStalledRuns` normally ends a stalled run earlier.
    Outcome<std::optional<EngineEvent>> event =
        co_await Task.Stream->next(Limits.EventTimeout);
    if (!event) {
      Task.RunFailure = event.failure();
      // The engine sends no events that can be read.
      if (event.failure().Code == FailureCode::BadInput)
        wasabi::noteFailure(View.Servers, *engine.Server, monotonicNow());
      co_return false;
    }
    if (!*event)
      co_return Task.Text.Events > 0;
    if ((*event)->Id != Task.Text.Events + 1) {
      Decisions->line("item.event_out_of_order",
                      {{"item", Task.Item.Id.Text},
                       {"server", engine.Server->Entry.Id.Text},
                       {"expected", std::to_string(Task.Text.Events + 1)},
                       {"got", std::to_string((*event)->Id)}});
      co_return false;
    }
    if ((*event)->Version) {
      version = (*event)->Version;
      engine.Versions[Task.Job->Job.Model] = *version;
      engine.LastReported = monotonicNow();
    }
    // An event of unknown version is rejected.
    if (!version)
      co_return false;
    if (Task.Text.Output.size() + (*event)->Data.size() >=
        Limits.MaxTextBytes) {
      Task.RunFailure = Failure{Verdict::MayHaveRun, FailureCode::BadInput,
                                toText(engine.Server->Entry.Endpoint),
                                "the text has no end", Millis(0)};
      wasabi::noteFailure(View.Servers, *engine.Server, monotonicNow());
      clearText(Task);
      co_return false;
    }
    noteEvent(engine, Task);
    if (Task.Text.Events > 0)
      Task.Text.Output += '\n';
    Task.Text.Output += (*event)->Data;
    Task.Text.Events = (*event)->Id;
    addVersion(Task.Text.Versions, *version);
    if (Task.Text.Versions.size() > 1 && requiresSingleVersion(Task)) {
      clearText(Task);
      co_return false;
    }
  }
}

void Dispatcher::noteEvent(DispatchEngine &Engine, ItemTask &Task) {
  TimePoint now = monotonicNow();
  double intervalMs =
      std::chrono::duration<double, std::milli>(now - Task.LastEvent).count();
  // The first interval includes the queue and the prompt, and intervals during
  // a weight load do not reflect the pace of the engine.
  if (Task.HasEvent && !Engine.isSwapping())
    recordEventInterval(Engine.Pace, intervalMs, now, Limits.Pool.Pace);
  Task.HasEvent = true;
  Task.LastEvent = now;
  Engine.Pace.LastEvent = now;
}

/// Returns the delay before the next try after `LostRuns` lost connections in
/// succession.
Millis Dispatcher::lostRunDelay(std::uint32_t LostRuns) const {
  constexpr std::uint32_t MaxDoublings = 10;
  std::uint32_t doublings = std::min(std::max(LostRuns, 1U) - 1, MaxDoublings);
  return std::min(Limits.RetryDelay * (1U << doublings),
                  Limits.MaxLostRunDelay);
}

/// Records that a run has lost its connection. Its engine may have crashed; the
/// item is not held to be the cause.
void Dispatcher::recordLostRun(ItemTask &Task, const DispatchEngine &Engine) {
  noteConnectionLost(*Engine.Server, monotonicNow());
  Task.LostRuns = Task.HasEvent ? 1 : Task.LostRuns + 1;
  Counts
      .counter("item_runs_lost_total",
               "Runs of items that lost their connection")
      .add();
}

void Dispatcher::requeueItem(const std::shared_ptr<ItemTask> &Task,
                             const Failure &Cause) {
  Task->Stage = ItemStage::Waiting;
  bool isLost = Cause.Code == FailureCode::ConnectionLost;
  Millis delay = isLost ? lostRunDelay(Task->LostRuns) : Limits.RetryDelay;
  Task->NotBefore = Task->Moved ? TimePoint() : monotonicNow() + delay;
  Decisions->line("item.run_ended",
                  {{"item", Task->Item.Id.Text},
                   {"server", Task->Avoid.Server.Text},
                   {"lost_runs", std::to_string(Task->LostRuns)},
                   {"events", std::to_string(Task->Text.Events)},
                   {"reason", describe(Cause)}});
  Counts.counter("item_runs_broken_total", "Runs of items that were not whole")
      .add();
  schedule();
  Wake.notify();
}

void Dispatcher::terminate(const std::shared_ptr<ItemTask> &Task,
                           std::string_view Reason) {
  Decisions->line("item.terminated", {{"item", Task->Item.Id.Text},
                                      {"job", Task->Job->Job.Id.Text},
                                      {"reason", std::string(Reason)}});
  finish(Task, ItemResult{Task->Item.Id, ItemStatus::Terminated, "", {}, ""});
}

asio::awaitable<void> Dispatcher::score(std::shared_ptr<ItemTask> Task) {
  const BatchItem &item = Task->Item;
  ItemResult result{item.Id, ItemStatus::Completed, Task->Text.Output,
                    Task->Text.Versions, ""};
  std::uint32_t failures = 0;
  std::uint32_t lostCalls = 0;
  std::uint32_t calls = 0;
  while (item.Score && !Task->Cancelled && result.Score.empty()) {
    const UpstreamRoute *route =
        hasConfigurationOf(*Task->Job)
            ? findRoute(*View.Routes, item.Score->Host, item.Score->Path)
            : nullptr;
    if (route == nullptr) {
      co_await pauseFor(Executor, Limits.RetryDelay);
      continue;
    }
    std::uint32_t maxAttempts = route->MaxAttempts;
    UpstreamRoute singleAttempt = *route;
    // This loop counts the failures; a lost answer does not count as one.
    singleAttempt.MaxAttempts = 1;
    singleAttempt.Timeout = Limits.ScoreCallTimeout;
    ForwardRequest call;
    call.Id = item.Score->Id;
    call.ArrivedAt = monotonicNow();
    call.CallerTimeout =
        ++calls == 1 ? Limits.FirstScoreCallTimeout : Limits.ScoreCallTimeout;
    call.HttpRequest.Method = "POST";
    call.HttpRequest.Target = item.Score->Path;
    call.HttpRequest.Headers = {{"Host", item.Score->Host}};
    call.HttpRequest.Body = item.Score->Body;
    call.IsDeferredWork = true;
    Outcome<UpstreamResponse> answer = co_await Scores->answer(
        std::move(call), std::move(singleAttempt), Task->CancelSignal);
    if (answer && answer->Response.Status >= Ok &&
        answer->Response.Status < FirstRedirect && !answer->Signature.empty()) {
      result.Score = answer->Signature;
      break;
    }
    if (answer && answer->Response.Status == InternalError &&
        ++failures >= maxAttempts) {
      terminate(Task,
                "scoring calls failed with status 500 until the attempt limit");
      co_return;
    }
    bool isLost =
        !answer && answer.failure().Code == FailureCode::ConnectionLost;
    lostCalls = isLost ? lostCalls + 1 : 0;
    if (!Task->Cancelled)
      co_await pauseFor(Executor, lostRunDelay(lostCalls));
  }
  if (Task->Cancelled)
    co_return;
  finish(Task, std::move(result));
  schedule();
}

void Dispatcher::finish(const std::shared_ptr<ItemTask> &Task,
                        ItemResult Result) {
  Task->Stage = ItemStage::Finished;
  Decisions->line(
      "item.finished",
      {{"item", Result.Item.Text},
       {"job", Task->Job->Job.Id.Text},
       {"completed", Result.Status == ItemStatus::Completed ? "yes" : "no"},
       {"events", std::to_string(Task->Text.Events)},
       {"versions", fmt::format("{}", fmt::join(Result.Versions, ","))},
       {"took_ms", std::to_string(std::chrono::duration_cast<Millis>(
                                      monotonicNow() - Task->Job->Seen)
                                      .count())}});
  std::string text;
  if (Result.Output.size() > MaxInlineBytes)
    text.swap(Result.Output);
  const UpstreamRoute *route = routeOf(*Task);
  Millis resultDeadline = route != nullptr ? route->ResultDeadline : Millis(0);
  Uncommitted.push_back({{Task->Job->Job.Id, std::move(Result)},
                         std::move(text),
                         monotonicNow(),
                         Task->Job->Seen + resultDeadline,
                         Task->Job->At});
  CommitWake.notify();
}

void clearText(ItemTask &Task) {
  Task.Text = PartialText();
  Task.SavedEvents = 0;
  Task.SavedBytes = 0;
}

} // namespace wasabi
