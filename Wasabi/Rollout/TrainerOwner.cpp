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

/// Longer than any pause that the decisions allow an attempt.
constexpr Millis ChunkTimeout{60000};
constexpr Millis Forever{3600000};

Failure notNow() {
  Failure why;
  why.Run = Verdict::NotRun;
  why.Code = FailureCode::Expired;
  why.Place = "claim";
  why.Reason = "the claim's term does not allow it now";
  return why;
}

Failure refusedHead(const http::Response &Head) {
  Failure why;
  why.Run = Verdict::MayHaveRun;
  why.Code = FailureCode::Unavailable;
  why.Place = "engine";
  why.Reason = "status " + std::to_string(Head.Status);
  return why;
}

} // namespace

std::shared_ptr<TrainerOwner> TrainerOwner::create(RolloutContext &Context,
                                                   Settings Setup) {
  return std::shared_ptr<TrainerOwner>(
      new TrainerOwner(Context, std::move(Setup)));
}

TrainerOwner::TrainerOwner(RolloutContext &Context, Settings With)
    : Context(Context), Setup(std::move(With)),
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
        return self && !self->Stopped && self->authority() > Millis(0);
      },
      [weak](const TrainerRecord &record, Offset at,
             const TrainerApplyResult &did) {
        std::shared_ptr<TrainerOwner> self = weak.lock();
        if (!self)
          return;
        if (std::holds_alternative<OwnerStart>(record.Body))
          self->StartConfirmed = true;
        if (std::holds_alternative<SampleCommit>(record.Body))
          self->feed(CommitConfirmed{at, did.Filled, did.Dropped});
      });
  spawn(run());
}

void TrainerOwner::connect(const TrainerDeclaration &To) {
  Model = To.Model;
  if (Endpoint == To.Endpoint)
    return;
  Endpoint = To.Endpoint;
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
    if (it.second->Answer)
      it.second->Answer->cancel();
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

Millis TrainerOwner::authority() const {
  std::optional<HeldClaim> held = Context.Control.held(Resource);
  if (held && held->Token == Setup.Fence)
    return std::chrono::duration_cast<Millis>(held->Until - monotonicNow());
  // A trainer that checks tokens stops this owner by itself, so an outage of
  // the log need not.
  if (State.Policy.ChecksFences && ownsClaim())
    return Forever;
  return Millis(0);
}

void TrainerOwner::spawn(boost::asio::awaitable<void> Work) {
  // The function object, and with it this owner, lives until the work is done.
  boost::asio::co_spawn(
      Context.Executor,
      [self = shared_from_this(), log = Log, work = std::move(Work)]() mutable
      -> boost::asio::awaitable<void> { co_await std::move(work); },
      boost::asio::detached);
}

void TrainerOwner::feed(const StepEvent &Event) {
  if (Stopped)
    return;
  StepEffects effects = decide(State, Event, monotonicNow());
  for (StepEffect &it : effects)
    perform(it);
}

void TrainerOwner::perform(StepEffect &What) {
  if (auto *begin = std::get_if<DispatchAttempt>(&What)) {
    recordDispatch(*begin);
    InFlightAttempts[begin->Attempt] = std::make_shared<InFlightAttempt>();
    spawn(generate(std::move(*begin)));
  } else if (const auto *gone = std::get_if<CancelAttempt>(&What)) {
    cancel(*gone);
  } else if (auto *text = std::get_if<ScoreSample>(&What)) {
    spawn(score(std::move(*text)));
  } else if (auto *record = std::get_if<AppendRecord>(&What)) {
    Log->append(std::move(record->Body));
  } else if (auto *samples = std::get_if<DeliverSamples>(&What)) {
    spawn(deliver(std::move(samples->What)));
  } else if (std::holds_alternative<QueryTrainer>(What)) {
    spawn(ask());
  } else if (const auto *over = std::get_if<StopOwning>(&What)) {
    Context.Events.record("step.abandon", {{"trainer", Setup.Trainer.Text},
                                           {"reason", over->Reason}});
    stop();
  } else if (auto *note = std::get_if<Note>(&What)) {
    Context.Events.record(note->Kind, std::move(note->Fields));
  }
}

void TrainerOwner::recordDispatch(const DispatchAttempt &What) {
  Context.Events.record(
      "sample.dispatch",
      {field("trainer", Setup.Trainer.Text), field("slot", toText(What.Place)),
       field("attempt", What.Attempt), field("server", What.On.Name.Text),
       field("version", What.On.Version),
       field("hedge", std::uint64_t(What.Hedge))});
}

void TrainerOwner::cancel(const CancelAttempt &What) {
  Context.Events.record("sample.cancel", {field("trainer", Setup.Trainer.Text),
                                          field("slot", toText(What.Place)),
                                          field("attempt", What.Attempt),
                                          field("server", What.On.Text),
                                          field("reason", What.Reason)});
  auto it = InFlightAttempts.find(What.Attempt);
  if (it == InFlightAttempts.end())
    return;
  it->second->Cancelled = true;
  if (it->second->Answer)
    it->second->Answer->cancel();
}

void TrainerOwner::refresh() {
  std::shared_ptr<const Configuration> config = Context.Control.state()->Config;
  std::optional<RolloutPolicy> policy = policyOf(*config, Setup.Trainer);
  if (!policy) {
    stop();
    return;
  }
  connect(config->Trainers.at(Setup.Trainer));
  Priority = config->preset().RolloutPriority;
  policy->AdmitRollouts = policy->AdmitRollouts && !Draining;
  if (!(*policy == State.Policy))
    feed(PolicyChanged{*policy});
  EnginesUpdated seen;
  for (const ServiceName &it : findAttachedServices(*config, Setup.Trainer)) {
    std::vector<ReportedEngine> more = findServiceEngines(Context, it);
    seen.All.insert(seen.All.end(), more.begin(), more.end());
  }
  feed(seen);
}

boost::asio::awaitable<void> TrainerOwner::run() {
  refresh();
  co_await recover();
  if (Stopped)
    co_return;
  spawn(tick());
  co_await pollTrainer();
}

boost::asio::awaitable<void> TrainerOwner::recover() {
  // Everything before this owner's start is known once it is read back, and
  // nothing of an older owner counts after it.
  Log->append(OwnerStart{State.Policy.StalenessBound});
  spawn(Log->run());
  TimePoint until = monotonicNow() + Setup.RecoveryPatience;
  constexpr Millis look{5};
  while (!Stopped && !StartConfirmed) {
    // What the log would tell, a trainer that checks tokens knows as well.
    if (State.Policy.ChecksFences && monotonicNow() > until)
      break;
    co_await pause(look);
  }
  feed(LogRecovered{StartConfirmed ? Log->state() : TrainerState()});
}

boost::asio::awaitable<void> TrainerOwner::pollTrainer() {
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
    feed(StepReceived{std::move(*wanted), false});
    // An answer that does not wait must not make this loop spin.
    constexpr Millis breath{5};
    co_await pause(breath);
  }
}

boost::asio::awaitable<void> TrainerOwner::tick() {
  while (!Stopped) {
    refresh();
    feed(Tick());
    co_await pause(Setup.TickInterval);
  }
}

boost::asio::awaitable<void> TrainerOwner::generate(DispatchAttempt What) {
  std::shared_ptr<InFlightAttempt> flight = InFlightAttempts[What.Attempt];
  RequestAttempt attempt = makeSampleRequest(
      What, SampleOrigin{Setup.Trainer, Setup.Fence, Model, Priority});
  Outcome<std::unique_ptr<DaemonResponseStream>> opened =
      co_await Context.Requests->open(What.On.Where, std::move(attempt));
  if (!opened) {
    InFlightAttempts.erase(What.Attempt);
    feed(AttemptFailed{What.Attempt, opened.failure()});
    co_return;
  }
  constexpr unsigned statusOk = 200;
  if (!flight->Cancelled && (*opened)->head().Status != statusOk) {
    InFlightAttempts.erase(What.Attempt);
    feed(AttemptFailed{What.Attempt, refusedHead((*opened)->head())});
    co_return;
  }
  // Destroying the answer of a cancelled attempt cancels it at the daemon.
  if (!flight->Cancelled) {
    flight->Answer = std::move(*opened);
    co_await readStream(What.Attempt, flight);
  }
  InFlightAttempts.erase(What.Attempt);
}

boost::asio::awaitable<void>
TrainerOwner::readStream(AttemptId Id, std::shared_ptr<InFlightAttempt> Of) {
  StreamParser parser;
  std::optional<StreamDone> done;
  while (!Of->Cancelled) {
    Outcome<std::optional<std::string>> piece =
        co_await Of->Answer->next(ChunkTimeout);
    if (!piece) {
      feed(AttemptFailed{Id, piece.failure()});
      co_return;
    }
    if (!*piece)
      break;
    Outcome<std::vector<StreamItem>> items = parse(parser, **piece);
    if (!items) {
      feed(AttemptFailed{Id, items.failure()});
      co_return;
    }
    for (const StreamItem &it : *items) {
      if (const auto *chunk = std::get_if<Chunk>(&it))
        feed(ChunkReceived{Id, *chunk});
      else if (const auto *end = std::get_if<StreamDone>(&it))
        done = *end;
    }
  }
  if (Of->Cancelled)
    co_return;
  // An end without the engine's count proves nothing: zero never matches.
  feed(AttemptEnded{Id, done ? done->Tokens : 0});
}

boost::asio::awaitable<void> TrainerOwner::score(ScoreSample What) {
  Outcome<double> got = co_await Context.Scorer.Score(
      What.Place, std::move(What.Text), Setup.ScoreTimeout);
  if (got)
    feed(SampleScored{What.Place, *got});
  else
    feed(ScoreFailed{What.Place, got.failure()});
}

boost::asio::awaitable<void> TrainerOwner::deliver(Delivery What) {
  std::string id = What.Id;
  // Its last byte must leave before the term ends.
  Millis left = authority() - Setup.ClaimExpiryMargin;
  if (left <= Setup.ClaimExpiryMargin) {
    co_await pause(Setup.PollRetryDelay);
    feed(DeliveryFailed{id, notNow()});
    co_return;
  }
  Outcome<DeliveryResponse> answer = co_await Trainer.Deliver(
      std::move(What), std::min(left, Setup.DeliveryTimeout));
  if (answer)
    feed(DeliveryAnswered{id, std::move(*answer)});
  else
    feed(DeliveryFailed{id, answer.failure()});
}

boost::asio::awaitable<void> TrainerOwner::ask() {
  while (!Stopped) {
    Outcome<WantedStep> wanted = co_await Trainer.Step(std::nullopt, Millis(0));
    if (wanted) {
      feed(StepReceived{std::move(*wanted), true});
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
                          {"log_waiting", Log ? Log->waiting() : 0},
                          {"tokens", State.TokensGenerated},
                          {"tokens_wasted", State.TokensWasted}});
}

} // namespace wasabi
