#include "Wasabi/Rollout/TrainerOwner.h"

#include "Wasabi/Adapters/Platform/HttpTrainer.h"
#include "Wasabi/Rollout/RolloutPolicyOf.h"
#include "Wasabi/Rollout/SampleRequest.h"
#include "Wasabi/Rollout/SlotMoves.h"
#include "Wasabi/Rollout/StreamParser.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace wasabi {

namespace {

/// Longer than the time after which an attempt is cancelled.
constexpr Millis ChunkTimeout{60000};
constexpr Millis UnlimitedClaimTime{3600000};

Failure makeClaimFailure() {
  Failure failed;
  failed.Run = Verdict::NotRun;
  failed.Code = FailureCode::Expired;
  failed.Place = "claim";
  failed.Reason = "the claim has ended or is about to end";
  return failed;
}

Failure makeStatusFailure(const http::Response &Head) {
  Failure failed;
  failed.Run = Verdict::MayHaveRun;
  failed.Code = FailureCode::Unavailable;
  failed.Place = "engine";
  failed.Reason = "unexpected HTTP status " + std::to_string(Head.Status);
  return failed;
}

} // namespace

std::shared_ptr<TrainerOwner> TrainerOwner::create(RolloutContext &Context,
                                                   Settings Setup) {
  return std::shared_ptr<TrainerOwner>(
      new TrainerOwner(Context, std::move(Setup)));
}

TrainerOwner::TrainerOwner(RolloutContext &Context, Settings InitialSetup)
    : Context(Context), Setup(std::move(InitialSetup)),
      Resource("trainer/" + Setup.Trainer.Text) {
  State.Setup.Trainer = Setup.Trainer;
  State.Setup.Fence = Setup.Fence;
  State.Setup.Domain = Context.Setup.Domain;
  if (Context.Setup.RoundRobin)
    State.Setup.Order = EngineOrder::RoundRobin;
}

void TrainerOwner::start() {
  std::shared_ptr<const Configuration> config = Context.Control.state()->Config;
  auto it = config->Trainers.find(Setup.Trainer);
  if (it == config->Trainers.end()) {
    Stopped = true;
    return;
  }
  connect(it->second);
  std::weak_ptr<TrainerOwner> weak = weak_from_this();
  Log = TrainerLog::create(
      Context, TrainerLog::Settings{Setup.Trainer, Setup.Fence},
      [weak] {
        std::shared_ptr<TrainerOwner> self = weak.lock();
        return self && !self->Stopped && self->remainingClaimTime() > Millis(0);
      },
      [weak](const TrainerRecord &record, Offset at,
             const TrainerApplyResult &result) {
        std::shared_ptr<TrainerOwner> self = weak.lock();
        if (!self)
          return;
        if (std::holds_alternative<OwnerStart>(record.Body))
          self->StartConfirmed = true;
        if (std::holds_alternative<SampleCommit>(record.Body))
          self->handleEvent(CommitConfirmed{at, result.Filled, result.Dropped});
      });
  spawn(run());
}

void TrainerOwner::connect(const TrainerDeclaration &Declaration) {
  Model = Declaration.Model;
  if (Endpoint == Declaration.Endpoint)
    return;
  Endpoint = Declaration.Endpoint;
  Trainer = makeHttpTrainer(Context.Http, Endpoint);
}

void TrainerOwner::stop() {
  if (Stopped)
    return;
  Stopped = true;
  if (Log)
    Log->stop();
  for (auto &it : InFlightAttempts) {
    it.second->Cancelled = true;
    if (it.second->Response)
      it.second->Response->cancel();
  }
}

bool TrainerOwner::isIdle() const {
  return Stopped || (State.Attempts.empty() && !State.Delivering &&
                     !State.Committing && State.ScoredCount == 0);
}

bool TrainerOwner::ownsClaim() const {
  std::shared_ptr<const FoldState> state = Context.Control.state();
  auto it = state->Claims.find(Resource);
  return it != state->Claims.end() && it->second.Token == Setup.Fence &&
         !it->second.Released;
}

Millis TrainerOwner::remainingClaimTime() const {
  std::optional<HeldClaim> held = Context.Control.held(Resource);
  if (held && held->Token == Setup.Fence)
    return std::chrono::duration_cast<Millis>(held->Until - monotonicNow());
  // A trainer that checks fences refuses an outdated owner, so it may continue
  // during an outage of the log.
  if (State.Policy.ChecksFences && ownsClaim())
    return UnlimitedClaimTime;
  return Millis(0);
}

void TrainerOwner::spawn(boost::asio::awaitable<void> Work) {
  // The coroutine keeps this owner and its log alive.
  boost::asio::co_spawn(
      Context.Executor,
      [self = shared_from_this(), log = Log, work = std::move(Work)]() mutable
      -> boost::asio::awaitable<void> { co_await std::move(work); },
      boost::asio::detached);
}

void TrainerOwner::handleEvent(const StepEvent &Event) {
  if (Stopped)
    return;
  StepEffects effects = decide(State, Event, monotonicNow());
  for (StepEffect &it : effects)
    perform(it);
}

void TrainerOwner::perform(StepEffect &Effect) {
  if (auto *dispatch = std::get_if<DispatchAttempt>(&Effect)) {
    recordDispatch(*dispatch);
    InFlightAttempts[dispatch->Attempt] = std::make_shared<InFlightAttempt>();
    spawn(generate(std::move(*dispatch)));
  } else if (const auto *cancelled = std::get_if<CancelAttempt>(&Effect)) {
    cancel(*cancelled);
  } else if (auto *text = std::get_if<ScoreSample>(&Effect)) {
    spawn(score(std::move(*text)));
  } else if (auto *record = std::get_if<AppendRecord>(&Effect)) {
    Log->append(std::move(record->Body));
  } else if (auto *samples = std::get_if<DeliverSamples>(&Effect)) {
    spawn(deliver(std::move(samples->Batch)));
  } else if (std::holds_alternative<QueryTrainer>(Effect)) {
    spawn(queryTrainer());
  } else if (const auto *request = std::get_if<StopOwning>(&Effect)) {
    Context.Events.record("step.abandon", {{"trainer", Setup.Trainer.Text},
                                           {"reason", request->Reason}});
    stop();
  } else if (auto *note = std::get_if<TimelineNote>(&Effect)) {
    Context.Events.record(note->Kind, std::move(note->Fields));
  }
}

void TrainerOwner::recordDispatch(const DispatchAttempt &Dispatch) {
  Context.Events.record("sample.dispatch",
                        {field("trainer", Setup.Trainer.Text),
                         field("slot", toText(Dispatch.Place)),
                         field("attempt", Dispatch.Attempt),
                         field("server", Dispatch.On.Name.Text),
                         field("version", Dispatch.On.Version),
                         field("hedge", std::uint64_t(Dispatch.Hedge))});
}

void TrainerOwner::cancel(const CancelAttempt &Effect) {
  Context.Events.record("sample.cancel", {field("trainer", Setup.Trainer.Text),
                                          field("slot", toText(Effect.Place)),
                                          field("attempt", Effect.Attempt),
                                          field("server", Effect.On.Text),
                                          field("reason", Effect.Reason)});
  auto it = InFlightAttempts.find(Effect.Attempt);
  if (it == InFlightAttempts.end())
    return;
  it->second->Cancelled = true;
  if (it->second->Response)
    it->second->Response->cancel();
}

void TrainerOwner::refreshInputs() {
  std::shared_ptr<const Configuration> config = Context.Control.state()->Config;
  std::optional<RolloutPolicy> policy =
      findRolloutPolicy(*config, Setup.Trainer);
  if (!policy) {
    stop();
    return;
  }
  connect(config->Trainers.at(Setup.Trainer));
  Priority = config->preset().RolloutPriority;
  policy->AdmitRollouts = policy->AdmitRollouts && !Draining;
  if (!(*policy == State.Policy))
    handleEvent(PolicyChanged{*policy});
  EnginesUpdated seen;
  for (const ServiceName &it : findAttachedServices(*config, Setup.Trainer)) {
    std::vector<ReportedEngine> more = findServiceEngines(Context, it);
    seen.All.insert(seen.All.end(), more.begin(), more.end());
  }
  handleEvent(seen);
}

boost::asio::awaitable<void> TrainerOwner::run() {
  refreshInputs();
  co_await recover();
  if (Stopped)
    co_return;
  spawn(tickLoop());
  co_await pollLoop();
}

boost::asio::awaitable<void> TrainerOwner::recover() {
  // When the start record is read back, all earlier records have been applied,
  // and later records of earlier owners are refused.
  Log->append(OwnerStart{State.Policy.StalenessBound});
  spawn(Log->run());
  TimePoint deadline = monotonicNow() + Setup.RecoveryTimeout;
  constexpr Millis checkInterval{5};
  while (!Stopped && !StartConfirmed) {
    // A trainer that checks fences reports the slots that it holds, so the log
    // is not required.
    if (State.Policy.ChecksFences && monotonicNow() > deadline)
      break;
    co_await pause(checkInterval);
  }
  handleEvent(LogRecovered{StartConfirmed ? Log->state() : TrainerState()});
}

boost::asio::awaitable<void> TrainerOwner::pollLoop() {
  while (!Stopped) {
    std::optional<std::uint64_t> after;
    if (State.HasStep)
      after = State.Step;
    Outcome<WantedStep> wanted =
        co_await Trainer.Step(after, Setup.PollTimeout);
    if (!wanted) {
      Context.Events.record("trainer.unreachable",
                            {{"trainer", Setup.Trainer.Text},
                             {"reason", describe(wanted.failure())}});
      co_await pause(Setup.PollRetryDelay);
      continue;
    }
    handleEvent(StepReceived{std::move(*wanted), false});
    // Limits the poll rate if the trainer answers immediately.
    constexpr Millis minPollDelay{5};
    co_await pause(minPollDelay);
  }
}

boost::asio::awaitable<void> TrainerOwner::tickLoop() {
  while (!Stopped) {
    refreshInputs();
    handleEvent(Tick());
    co_await pause(Setup.TickInterval);
  }
}

boost::asio::awaitable<void> TrainerOwner::generate(DispatchAttempt Dispatch) {
  std::shared_ptr<InFlightAttempt> inFlight =
      InFlightAttempts[Dispatch.Attempt];
  RequestAttempt attempt = makeSampleRequest(
      Dispatch, SampleOrigin{Setup.Trainer, Setup.Fence, Model, Priority});
  Outcome<std::unique_ptr<DaemonResponseStream>> opened =
      co_await Context.Requests->open(Dispatch.On.Where, std::move(attempt));
  if (!opened) {
    InFlightAttempts.erase(Dispatch.Attempt);
    handleEvent(AttemptFailed{Dispatch.Attempt, opened.failure()});
    co_return;
  }
  constexpr unsigned statusOk = 200;
  if (!inFlight->Cancelled && (*opened)->head().Status != statusOk) {
    InFlightAttempts.erase(Dispatch.Attempt);
    handleEvent(
        AttemptFailed{Dispatch.Attempt, makeStatusFailure((*opened)->head())});
    co_return;
  }
  // Destroying the response of a cancelled attempt cancels it at the daemon.
  if (!inFlight->Cancelled) {
    inFlight->Response = std::move(*opened);
    co_await readStream(Dispatch.Attempt, inFlight);
  }
  InFlightAttempts.erase(Dispatch.Attempt);
}

boost::asio::awaitable<void>
TrainerOwner::readStream(AttemptId Id,
                         std::shared_ptr<InFlightAttempt> Attempt) {
  StreamParser parser;
  std::optional<StreamDone> done;
  while (!Attempt->Cancelled) {
    Outcome<std::optional<std::string>> piece =
        co_await Attempt->Response->next(ChunkTimeout);
    if (!piece) {
      handleEvent(AttemptFailed{Id, piece.failure()});
      co_return;
    }
    if (!*piece)
      break;
    Outcome<std::vector<StreamItem>> items = parse(parser, **piece);
    if (!items) {
      handleEvent(AttemptFailed{Id, items.failure()});
      co_return;
    }
    for (const StreamItem &it : *items) {
      if (const auto *chunk = std::get_if<Chunk>(&it))
        handleEvent(ChunkReceived{Id, *chunk});
      else if (const auto *end = std::get_if<StreamDone>(&it))
        done = *end;
    }
  }
  if (Attempt->Cancelled)
    co_return;
  // A stream without a final count is incomplete; 0 is always refused.
  handleEvent(AttemptEnded{Id, done ? done->Tokens : 0});
}

boost::asio::awaitable<void> TrainerOwner::score(ScoreSample Request) {
  Outcome<double> result = co_await Context.Scorer.Score(
      Request.Place, std::move(Request.Text), Setup.ScoreTimeout);
  if (result)
    handleEvent(SampleScored{Request.Place, *result});
  else
    handleEvent(ScoreFailed{Request.Place, result.failure()});
}

boost::asio::awaitable<void> TrainerOwner::deliver(Delivery Batch) {
  std::string id = Batch.Id;
  // The delivery must end before the claim's term.
  Millis left = remainingClaimTime() - Setup.ClaimExpiryMargin;
  if (left <= Setup.ClaimExpiryMargin) {
    co_await pause(Setup.PollRetryDelay);
    handleEvent(DeliveryFailed{id, makeClaimFailure()});
    co_return;
  }
  Outcome<DeliveryResponse> answer = co_await Trainer.Deliver(
      std::move(Batch), std::min(left, Setup.DeliveryTimeout));
  if (answer)
    handleEvent(DeliveryAnswered{id, std::move(*answer)});
  else
    handleEvent(DeliveryFailed{id, answer.failure()});
}

boost::asio::awaitable<void> TrainerOwner::queryTrainer() {
  while (!Stopped) {
    Outcome<WantedStep> wanted = co_await Trainer.Step(std::nullopt, Millis(0));
    if (wanted) {
      handleEvent(StepReceived{std::move(*wanted), true});
      co_return;
    }
    co_await pause(Setup.PollRetryDelay);
  }
}

std::string TrainerOwner::statusJson() const {
  return boost::json::serialize(
      boost::json::object{{"trainer", Setup.Trainer.Text},
                          {"fence", Setup.Fence},
                          {"step", State.Step},
                          {"samples", State.Slots.size()},
                          {"waiting", State.WaitingCount},
                          {"running", State.Attempts.size()},
                          {"delivered", State.DeliveredCount},
                          {"newest", State.Fresh.Newest},
                          {"engines", State.Servers.size()},
                          {"log_waiting", Log ? Log->pendingCount() : 0},
                          {"tokens", State.TokensGenerated},
                          {"tokens_wasted", State.TokensWasted}});
}

} // namespace wasabi
