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

http::Request Dispatcher::askOf(const ItemTask &Work) const {
  http::Request ask;
  ask.Method = "POST";
  ask.Target = Work.Item.Path;
  ask.Headers.push_back({"Host", Work.Job->Job.Host});
  for (const ForwardedHeader &it : Work.Item.Headers)
    ask.Headers.push_back({it.Name, it.Value});
  ask.Body = Work.Item.Body;
  return ask;
}

void Dispatcher::startRun(const std::shared_ptr<ItemTask> &Work,
                          const std::shared_ptr<DispatchEngine> &On) {
  Work->Stage = ItemStage::Running;
  Work->Engine = On;
  Work->LastEvent = monotonicNow();
  Work->Begun = false;
  Work->Broken.reset();
  Work->Moved = false;
  ++On->Running;
  ++On->Server->InFlight;
  PromptEngines[Work->Item.Group] = On->Server->Entry.incarnation();
  Decisions->line("item.run",
                  {{"item", Work->Item.Id.Text},
                   {"job", Work->Job->Job.Id.Text},
                   {"server", On->Server->Entry.Id.Text},
                   {"version", std::to_string(On->version(On->Model))},
                   {"resume_after", std::to_string(Work->Text.Events)}});
  asio::co_spawn(
      Executor, [self = shared_from_this(), Work] { return self->run(Work); },
      asio::detached);
}

asio::awaitable<void> Dispatcher::run(std::shared_ptr<ItemTask> Work) {
  std::shared_ptr<DispatchEngine> engine = Work->Engine;
  TimePoint began = monotonicNow();
  std::unique_ptr<Quarantine::SuspectRun> suspect = Crashes->trackSuspectRun(
      Work->Guard->Digest, engine->Server->Entry.incarnation());
  SendOptions options;
  options.RequestId = Work->Item.Id.Text;
  options.Customer = Work->Job->Job.Id.Customer;
  if (Work->Text.Events > 0)
    options.ResumeAfter = Work->Text.Events;
  std::optional<Outcome<std::unique_ptr<EngineStream>>> opened =
      co_await cancellable(Executor,
                           Engines.Open(engine->Server->Entry, askOf(*Work),
                                        options, Limits.EventTimeout),
                           Work->Stop);
  Failure why{Verdict::MayHaveRun, FailureCode::Cancelled, "dispatcher",
              "the run was stopped", Millis(0)};
  bool whole = false;
  if (opened && !*opened) {
    why = opened->failure();
    Work->Broken = why;
    // An engine without runs is the least loaded one: unless it is put last,
    // one that refuses connections draws each waiting item once.
    wasabi::noteFailure(View.Servers, *engine->Server, monotonicNow());
  }
  if (opened && *opened && !Work->Dropped) {
    std::unique_ptr<EngineStream> stream = std::move(**opened);
    bool good = checkStreamHead(Work, stream->head());
    if (good) {
      Work->Stream = stream.get();
      whole = co_await readEvents(*Work);
      Work->Stream = nullptr;
      why = Work->Broken.value_or(why);
    } else
      why.Reason = "status " + std::to_string(stream->head().Response.Status);
  }
  --engine->Running;
  --engine->Server->InFlight;
  suspect.reset();
  Work->Engine.reset();
  bool lost = Work->Broken && Work->Broken->Run != Verdict::NotRun &&
              Work->Broken->Code == FailureCode::ConnectionLost;
  if (lost && Crashes->mayHaveCrashedServer(began, Work->Begun))
    co_await Crashes->onConnectionLost(Work->Guard, engine->Server);
  if (Work->Dropped || Work->Stage == ItemStage::Finished)
    co_return schedule();
  if (!whole) {
    Work->Avoid = engine->Server->Entry.incarnation();
    requeueItem(Work, why);
    co_return;
  }
  wasabi::noteSuccess(View.Servers, *engine->Server, 0);
  Crashes->answered(*Work->Guard);
  Work->Text.IsComplete = true;
  startScoring(Work);
  schedule();
}

void Dispatcher::startScoring(const std::shared_ptr<ItemTask> &Work) {
  Work->Stage = ItemStage::Scoring;
  asio::co_spawn(
      Executor, [self = shared_from_this(), Work] { return self->score(Work); },
      asio::detached);
}

/// Whether a stream may be read on; else what becomes of the item is settled,
/// or it is tried again.
bool Dispatcher::checkStreamHead(const std::shared_ptr<ItemTask> &Work,
                                 const StreamHead &Head) {
  DispatchEngine &engine = *Work->Engine;
  if (Head.Version) {
    engine.Versions[engine.Model] = *Head.Version;
    engine.LastReported = monotonicNow();
  }
  unsigned status = Head.Response.Status;
  if (status == MisdirectedStatus)
    engine.Server->Replaced = true;
  // It is full or about to load; a registration tells neither in time.
  if (Head.Proof == AnswerProof::NotRun) {
    engine.FullUntil = monotonicNow() + Limits.RetryDelay;
    return false;
  }
  if (status == Ok) {
    // A server that has nothing to add to a text tells no version.
    bool known = Head.Version.has_value();
    bool fresh = known ? *Head.Version >= Work->Job->Job.MinVersion
                       : Work->Text.Events > 0;
    // Where one version is allowed, a text goes on under its own or not at all.
    bool mixed = fresh && known && Work->Text.Events > 0 &&
                 singleVersion(*Work) &&
                 Work->Text.Versions.front() != *Head.Version;
    if (mixed)
      clearText(*Work);
    if (!fresh)
      Decisions->line(
          "item.stale_engine",
          {{"item", Work->Item.Id.Text},
           {"server", engine.Server->Entry.Id.Text},
           {"version", known ? std::to_string(*Head.Version) : "unknown"}});
    return fresh && !mixed;
  }
  Crashes->answered(*Work->Guard);
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

asio::awaitable<bool> Dispatcher::readEvents(ItemTask &Work) {
  DispatchEngine &engine = *Work.Engine;
  std::optional<WeightVersion> version = Work.Stream->head().Version;
  for (;;) {
    // Stalled runs are ended by `cancelStalledRuns`.
    Outcome<std::optional<EngineEvent>> event =
        co_await Work.Stream->next(Limits.EventTimeout);
    if (!event) {
      Work.Broken = event.failure();
      co_return false;
    }
    if (!*event)
      co_return Work.Text.Events > 0;
    if ((*event)->Id != Work.Text.Events + 1) {
      Decisions->line("item.event_out_of_order",
                      {{"item", Work.Item.Id.Text},
                       {"server", engine.Server->Entry.Id.Text},
                       {"expected", std::to_string(Work.Text.Events + 1)},
                       {"got", std::to_string((*event)->Id)}});
      co_return false;
    }
    if ((*event)->Version) {
      version = (*event)->Version;
      engine.Versions[engine.Model] = *version;
      engine.LastReported = monotonicNow();
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
    if (Work.Text.Versions.size() > 1 && singleVersion(Work)) {
      clearText(Work);
      co_return false;
    }
  }
}

void Dispatcher::noteEvent(DispatchEngine &On, ItemTask &Work) {
  TimePoint now = monotonicNow();
  double gap =
      std::chrono::duration<double, std::milli>(now - Work.LastEvent).count();
  // The first pause is queue and prompt, and one across a load says nothing of
  // the engine's pace.
  if (Work.Begun && !On.isSwapping())
    recordEventInterval(On.Pace, gap, now, Limits.Pool.Pace);
  Work.Begun = true;
  Work.LastEvent = now;
  On.Pace.LastEvent = now;
}

void Dispatcher::requeueItem(const std::shared_ptr<ItemTask> &Work,
                             const Failure &Why) {
  Work->Stage = ItemStage::Waiting;
  Work->NotBefore =
      Work->Moved ? TimePoint() : monotonicNow() + Limits.RetryDelay;
  Decisions->line("item.run_ended",
                  {{"item", Work->Item.Id.Text},
                   {"digest", Work->Guard->Digest.Text},
                   {"server", Work->Avoid.Server.Text},
                   {"events", std::to_string(Work->Text.Events)},
                   {"reason", describe(Why)}});
  Counts.counter("item_runs_broken_total", "Runs of items that were not whole")
      .add();
  schedule();
  Wake.notify();
}

void Dispatcher::terminate(const std::shared_ptr<ItemTask> &Work,
                           std::string_view Why) {
  Decisions->line("item.terminated", {{"item", Work->Item.Id.Text},
                                      {"job", Work->Job->Job.Id.Text},
                                      {"reason", std::string(Why)}});
  finish(Work, ItemResult{Work->Item.Id, ItemStatus::Terminated, "", {}, ""});
}

asio::awaitable<void> Dispatcher::score(std::shared_ptr<ItemTask> Work) {
  const BatchItem &item = Work->Item;
  ItemResult result{item.Id, ItemStatus::Completed, Work->Text.Output,
                    Work->Text.Versions, ""};
  std::uint32_t failures = 0;
  std::uint32_t calls = 0;
  while (item.Score && !Work->Dropped && result.Score.empty()) {
    const UpstreamRoute *route =
        View.Routes
            ? findRoute(*View.Routes, item.Score->Host, item.Score->Path)
            : nullptr;
    if (route == nullptr) {
      co_await pauseFor(Executor, Limits.RetryDelay);
      continue;
    }
    std::uint32_t most = route->MaxAttempts;
    UpstreamRoute once = *route;
    // Each failure is counted here, and a lost answer costs no attempt.
    once.MaxAttempts = 1;
    once.Timeout = Limits.ScoreCallTimeout;
    ForwardRequest call;
    call.Id = item.Score->Id;
    call.ArrivedAt = monotonicNow();
    call.CallerTimeout =
        ++calls == 1 ? Limits.FirstScoreCallTimeout : Limits.ScoreCallTimeout;
    call.HttpRequest.Method = "POST";
    call.HttpRequest.Target = item.Score->Path;
    call.HttpRequest.Headers = {{"Host", item.Score->Host}};
    call.HttpRequest.Body = item.Score->Body;
    Outcome<UpstreamResponse> got =
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
    bool quarantined = !got && got.failure().Code == FailureCode::Quarantined;
    if (!Work->Dropped)
      co_await pauseFor(Executor, quarantined ? Limits.QuarantineRetryDelay
                                              : Limits.RetryDelay);
  }
  if (Work->Dropped)
    co_return;
  finish(Work, std::move(result));
  schedule();
}

void Dispatcher::finish(const std::shared_ptr<ItemTask> &Work,
                        ItemResult Result) {
  Work->Stage = ItemStage::Finished;
  Decisions->line(
      "item.finished",
      {{"item", Result.Item.Text},
       {"job", Work->Job->Job.Id.Text},
       {"completed", Result.Status == ItemStatus::Completed ? "yes" : "no"},
       {"events", std::to_string(Work->Text.Events)},
       {"versions", fmt::format("{}", fmt::join(Result.Versions, ","))},
       {"took_ms", std::to_string(std::chrono::duration_cast<Millis>(
                                      monotonicNow() - Work->Job->Seen)
                                      .count())}});
  std::string text;
  if (Result.Output.size() > MaxInlineBytes)
    text.swap(Result.Output);
  Uncommitted.push_back(
      {{Work->Job->Job.Id, std::move(Result)}, std::move(text)});
  CommitWake.notify();
}

void clearText(ItemTask &Work) {
  Work.Text = PartialText();
  Work.SavedEvents = 0;
  Work.SavedBytes = 0;
}

} // namespace wasabi
