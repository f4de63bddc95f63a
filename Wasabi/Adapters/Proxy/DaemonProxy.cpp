#include "Wasabi/Adapters/Proxy/DaemonProxy.h"

#include "Wasabi/Adapters/Proxy/DaemonMetrics.h"
#include "Wasabi/Adapters/Proxy/EngineApi.h"
#include "Wasabi/Adapters/Proxy/KeyWitnesses.h"
#include "Wasabi/Adapters/Proxy/ProxyHeaders.h"
#include "Wasabi/Adapters/Proxy/UpstreamExchange.h"
#include "Wasabi/Core/BootTimer.h"
#include "Wasabi/Routing/AdmissionGate.h"
#include "Wasabi/Weights/FencingGuard.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <list>
#include <map>

namespace wasabi {
namespace {

namespace asio = boost::asio;

constexpr asio::as_tuple_t<asio::use_awaitable_t<>> Awaited;
constexpr std::string_view CompletionsPath = "/v1/completions";
/// Retry delay reported while the daemon is starting, leaving or without a
/// serving engine.
constexpr Millis RetryDelay{500};
/// Interval between checks whether running samples have ended.
constexpr Millis SampleDrainPollInterval{5};
/// Maximum time that a repeated request waits before it checks again whether
/// the first run has ended.
constexpr Millis MaxRepeatWait{1000};
/// Maximum size of a response that is stored with a key.
constexpr std::size_t MaxStoredResponseBytes = 256u << 10;

/// State of one server behind this daemon.
struct Upstream {
  Upstream(const asio::any_io_executor &Executor, ProxiedServer Setup,
           Admission::Settings Limits)
      : Setup(std::move(Setup)),
        Gate(Executor, this->Setup.Server.Text, Limits) {}

  const ProxiedServer Setup;
  AdmissionGate Gate;
  /// True if the server is an engine. Only engines report a state.
  bool Engine = false;
  std::optional<EngineStatus> State;
  std::uint32_t ConsecutiveFailures = 0;
  /// True if the server accepts new work.
  bool Serving = true;
  /// Active exchanges; the value is true for samples.
  std::map<UpstreamExchange *, bool> ActiveExchanges;
  /// Queued orders; one is executed at a time.
  std::list<std::pair<Order, DaemonProxy::OrderCallback>> Orders;
  bool OrderLoopRunning = false;
};

/// State of one attempt.
struct AttemptContext {
  RequestAttempt Attempt;
  std::shared_ptr<ResponseSink> Sink;
  Upstream *Target = nullptr;
  std::uint64_t Id = 0;
  TimePoint Deadline;
  /// Set for a request that must run at most once; empty otherwise.
  std::string Key;
  std::uint64_t Fingerprint = 0;
  /// True once the witnesses have confirmed that no other run of the key is
  /// known.
  bool KeyVerified = false;
  /// Witnesses that hold a reservation of the key for this attempt.
  std::vector<Address> Reserved;
};

std::uint64_t computeFingerprint(const http::Request &Request) {
  std::uint64_t hash = XXH64(Request.Body.data(), Request.Body.size(), 0);
  hash = XXH64(Request.Target.data(), Request.Target.size(), hash);
  return XXH64(Request.Method.data(), Request.Method.size(), hash);
}

Failure makeNotRunFailure(FailureCode Code, std::string Place,
                          std::string Reason) {
  return Failure{Verdict::NotRun, Code, std::move(Place), std::move(Reason),
                 RetryDelay};
}

class DaemonProxyImpl final : public DaemonProxy {
public:
  DaemonProxyImpl(asio::io_context &Context, Settings Setup, Timeline &Events,
                  Metrics &Registry)
      : Context(Context), Setup(std::move(Setup)), Events(Events),
        Counts(Registry), TickTimer(Context) {
    http::Client::Settings limits;
    // Keeps enough idle connections for all slots of a server.
    limits.MaxIdlePerAddress = 1024;
    Client = http::Client::create(Context.get_executor(), limits);
    RequestClient::Settings peers;
    peers.Instance = this->Setup.Instance;
    peers.Domain = this->Setup.Domain;
    peers.Life = this->Setup.Life;
    peers.Seed = this->Setup.Seed;
    Peers = RequestClient::create(Context.get_executor(), peers);
    for (const ProxiedServer &it : this->Setup.Upstreams)
      Upstreams.push_back(std::make_unique<Upstream>(Context.get_executor(), it,
                                                     Admission::Settings()));
  }

  void attach(ControlPlaneReader NewReader,
              ServerStatusCallback NewCallback) override {
    Reader = std::move(NewReader);
    OnServerStatus = std::move(NewCallback);
    Witnesses = std::make_shared<KeyWitnesses>(
        Context.get_executor(), witnessSettings(Setup), Peers, Reader.Members);
    std::shared_ptr<DaemonProxyImpl> held = self();
    asio::co_spawn(
        Context, [held]() -> asio::awaitable<void> { return held->tickLoop(); },
        asio::detached);
    for (const std::unique_ptr<Upstream> &it : Upstreams) {
      Upstream *target = it.get();
      asio::co_spawn(
          Context,
          [held, target]() -> asio::awaitable<void> {
            return held->pollLoop(*target);
          },
          asio::detached);
    }
  }

  asio::awaitable<void> handle(RequestAttempt Attempt,
                               std::shared_ptr<ResponseSink> Sink) override {
    std::shared_ptr<DaemonProxyImpl> held = self();
    // Requests without a service come from other daemons and concern
    // idempotency keys. They are handled while leaving, too.
    if (Attempt.Service.empty()) {
      if (Witnesses)
        Witnesses->handlePeerRequest(Attempt, *Sink);
      else
        Sink->fail(makeNotRunFailure(FailureCode::Unavailable,
                                     Setup.Instance.Text,
                                     "this instance is starting"));
      co_return;
    }
    InFlight.fetch_add(1, std::memory_order_relaxed);
    Counts.Attempts.add();
    AttemptContext ctx;
    ctx.Deadline = monotonicNow() + Attempt.Deadline;
    ctx.Attempt = std::move(Attempt);
    ctx.Sink = std::move(Sink);
    ctx.Id = ++LastId;
    std::optional<Failure> refused = acceptAttempt(ctx);
    if (refused)
      refuse(ctx, *refused);
    else if (ctx.Key.empty())
      co_await runPlain(ctx);
    else
      co_await runKeyed(ctx);
    InFlight.fetch_sub(1, std::memory_order_relaxed);
  }

  void executeOrder(Order Command, OrderCallback Callback) override {
    Upstream *target = findServer(Command.Server);
    if (!target) {
      Callback(makeNotRunFailure(FailureCode::NoUpstream,
                                 "server " + Command.Server.Text,
                                 "the server is not behind this daemon"));
      return;
    }
    target->Orders.emplace_back(std::move(Command), std::move(Callback));
    if (target->OrderLoopRunning)
      return;
    target->OrderLoopRunning = true;
    std::shared_ptr<DaemonProxyImpl> held = self();
    asio::co_spawn(
        Context,
        [held, target]() -> asio::awaitable<void> {
          return held->orderLoop(*target);
        },
        asio::detached);
  }

  std::vector<ReportedLoad> loads() const override {
    std::vector<ReportedLoad> reports;
    for (const std::unique_ptr<Upstream> &it : Upstreams) {
      const Admission &gate = it->Gate.admission();
      ReportedLoad load;
      load.Server = it->Setup.Server;
      load.Service = it->Setup.Service;
      load.Running = gate.running();
      load.Queued = gate.queued();
      load.Limit = gate.limitIgnoringProbe();
      load.Version = it->State ? it->State->Version : 0;
      load.Serving = it->Serving && !Leaving;
      reports.push_back(load);
    }
    return reports;
  }

  void startDraining() override { Leaving = true; }

  std::size_t inFlight() const override {
    return InFlight.load(std::memory_order_relaxed);
  }

  void stop() override {
    Stopped = true;
    TickTimer.cancel();
    Peers->stop();
  }

private:
  static KeyWitnesses::Settings witnessSettings(const Settings &Options) {
    KeyWitnesses::Settings settings;
    settings.Keys.Self = Runner{Options.Instance, Options.Life};
    settings.Keys.MaxSingleAnswerBytes = MaxStoredResponseBytes;
    settings.WitnessTimeout = Options.WitnessTimeout;
    settings.HandOverTimeout = Options.HandOverTimeout;
    settings.RetryDelay = RetryDelay;
    return settings;
  }

  std::shared_ptr<DaemonProxyImpl> self() {
    return std::static_pointer_cast<DaemonProxyImpl>(shared_from_this());
  }

  Upstream *findServer(const ServerName &Name) {
    for (const std::unique_ptr<Upstream> &it : Upstreams) {
      if (it->Setup.Server == Name)
        return it.get();
    }
    return nullptr;
  }

  //===--- Accepting attempts ---------------------------------------------===//

  /// Selects the server and checks the active preset. Returns a failure if the
  /// attempt must be refused.
  std::optional<Failure> acceptAttempt(AttemptContext &Ctx) {
    const RequestAttempt &attempt = Ctx.Attempt;
    if (Leaving)
      return makeNotRunFailure(FailureCode::Leaving, Setup.Instance.Text,
                               "this instance is leaving");
    if (!Reader.State)
      return makeNotRunFailure(FailureCode::Unavailable, Setup.Instance.Text,
                               "this instance is starting");
    Ctx.Target = attempt.Server.empty() ? findLeastLoaded(attempt.Service)
                                        : findServer(attempt.Server);
    if (!Ctx.Target || Ctx.Target->Setup.Service != attempt.Service)
      return makeNotRunFailure(
          FailureCode::NoUpstream, "service " + attempt.Service.Text,
          "this instance has no matching server of the service");
    if (!Ctx.Target->Serving)
      return makeNotRunFailure(FailureCode::Unavailable,
                               "server " + Ctx.Target->Setup.Server.Text,
                               "the server does not answer or is draining");
    std::shared_ptr<const FoldState> state = Reader.State();
    const PresetDeclaration &preset = state->Config->preset();
    bool sample = !attempt.Trainer.empty();
    if (!(sample ? preset.AdmitRollouts : preset.AdmitCallers))
      return makeNotRunFailure(FailureCode::Unavailable,
                               "preset " + state->Config->ActivePreset.Text,
                               sample
                                   ? "the preset dispatches no samples"
                                   : "the preset admits no callers' requests");
    if (!attempt.Idempotent && !attempt.Key.empty()) {
      Ctx.Key =
          attempt.Service.Text + "\n" + attempt.Caller + "\n" + attempt.Key;
      Ctx.Fingerprint = computeFingerprint(attempt.Http);
    }
    return std::nullopt;
  }

  Upstream *findLeastLoaded(const ServiceName &Service) {
    Upstream *best = nullptr;
    for (const std::unique_ptr<Upstream> &it : Upstreams) {
      if (it->Setup.Service != Service)
        continue;
      bool better = !best || (it->Serving && !best->Serving) ||
                    (it->Serving == best->Serving &&
                     it->Gate.admission().expectedWait(0) <
                         best->Gate.admission().expectedWait(0));
      if (better)
        best = it.get();
    }
    return best;
  }

  void record(std::string_view Kind, const AttemptContext &Ctx,
              std::vector<EventField> ExtraFields) {
    std::vector<EventField> fields = {
        {"request", Ctx.Attempt.Request},
        {"attempt", std::to_string(Ctx.Attempt.Attempt)},
        {"server",
         Ctx.Target ? Ctx.Target->Setup.Server.Text : Ctx.Attempt.Server.Text}};
    for (EventField &it : ExtraFields)
      fields.push_back(std::move(it));
    Events.record(Kind, std::move(fields));
  }

  void refuse(const AttemptContext &Ctx, const Failure &Why) {
    const RequestAttempt &attempt = Ctx.Attempt;
    bool keyed = !attempt.Key.empty() && !attempt.Idempotent;
    if (keyed && !Ctx.KeyVerified)
      sendRefusal(Ctx, downgradeUnprovenFailure(Why));
    else
      sendRefusal(Ctx, Why);
  }

  void sendRefusal(const AttemptContext &Ctx, const Failure &Why) {
    Counts.Refused.add();
    record("attempt.refuse", Ctx,
           {{"verdict", std::string(toText(Why.Run))}, {"reason", Why.Reason}});
    Ctx.Sink->fail(Why);
  }

  AdmissionRequest makeAdmissionRequest(const AttemptContext &Ctx) {
    const RequestAttempt &attempt = Ctx.Attempt;
    AdmissionRequest request;
    request.Id = Ctx.Id;
    request.Priority = attempt.Priority;
    request.Rollout = !attempt.Trainer.empty();
    request.Flow = request.Rollout ? "trainer/" + attempt.Trainer.Text
                                   : "caller/" + attempt.Caller;
    request.FlowWeight = request.Rollout ? findTrainerShare(attempt) : 1;
    request.Deadline = Ctx.Deadline;
    return request;
  }

  std::uint32_t findTrainerShare(const RequestAttempt &Attempt) {
    std::shared_ptr<const FoldState> state = Reader.State();
    for (const std::pair<const std::string, Attachment> &it :
         state->Config->Attachments) {
      if (it.second.Trainer == Attempt.Trainer &&
          it.second.Service == Attempt.Service)
        return it.second.Share;
    }
    return 1;
  }

  //===--- Running attempts -----------------------------------------------===//

  asio::awaitable<void> runPlain(AttemptContext &Ctx) {
    Upstream &target = *Ctx.Target;
    Ctx.Sink->onGone([&target, id = Ctx.Id] { target.Gate.wake(id); });
    AdmissionRequest request = makeAdmissionRequest(Ctx);
    std::function<bool()> gone = [sink = Ctx.Sink] { return sink->gone(); };
    Outcome<Done> entered =
        co_await target.Gate.enter(request, std::move(gone));
    if (!entered) {
      refuse(Ctx, entered.failure());
      co_return;
    }
    record("attempt.admit", Ctx, {});
    UpstreamExchange exchange(Context.get_executor(), Client);
    Outcome<Done> end = co_await forward(Ctx, exchange);
    if (end)
      Ctx.Sink->end();
    else
      Ctx.Sink->fail(end.failure());
  }

  /// Forwards an admitted attempt to its server, then releases its admission
  /// slot.
  asio::awaitable<Outcome<Done>> forward(AttemptContext &Ctx,
                                         UpstreamExchange &Exchange) {
    Upstream &target = *Ctx.Target;
    bool sample = !Ctx.Attempt.Trainer.empty();
    // Without a key, the exchange is cancelled when the requester disconnects.
    // With a key, the response is read to its end and stored for a retry.
    if (Ctx.Key.empty() && !Ctx.Sink->gone())
      Ctx.Sink->onGone([&Exchange] {
        Exchange.cancel(Failure{Verdict::MayHaveRun,
                                FailureCode::Cancelled,
                                "asker",
                                "the requester cancelled or disconnected",
                                {}});
      });
    target.ActiveExchanges.emplace(&Exchange, sample);
    Counts.Forwarded.add();
    record("attempt.forward", Ctx,
           {{"idempotent", Ctx.Attempt.Idempotent ? "true" : "false"},
            {"key", Ctx.Attempt.Key}});
    UpstreamExchange::ExchangeRequest request = makeExchangeRequest(Ctx);
    Outcome<Done> end = co_await Exchange.run(std::move(request), Ctx.Sink);
    target.ActiveExchanges.erase(&Exchange);
    if (!Ctx.Sink->gone())
      Ctx.Sink->onGone([] {});
    recordOutcome(Ctx, end);
    co_return end;
  }

  UpstreamExchange::ExchangeRequest makeExchangeRequest(AttemptContext &Ctx) {
    UpstreamExchange::ExchangeRequest request;
    request.Where = Ctx.Target->Setup.Where;
    request.Server = Ctx.Target->Setup.Server;
    request.Deadline = Ctx.Deadline;
    request.Engine = Ctx.Target->Engine;
    request.MaxCopyBytes = Ctx.Key.empty() ? 0 : MaxStoredResponseBytes;
    request.Http = std::move(Ctx.Attempt.Http);
    removeHopByHopHeaders(request.Http.Headers);
    if (request.Http.header("X-Request-Id").empty())
      request.Http.Headers.push_back({"X-Request-Id", Ctx.Attempt.Request});
    removeHeader(request.Http.Headers, "X-Attempt");
    request.Http.Headers.push_back(
        {"X-Attempt", std::to_string(Ctx.Attempt.Attempt)});
    if (request.Engine && request.Http.path() == CompletionsPath)
      request.Http.Body =
          setRequestPriority(request.Http.Body, Ctx.Attempt.Priority);
    return request;
  }

  void recordOutcome(const AttemptContext &Ctx, const Outcome<Done> &End) {
    bool complete = static_cast<bool>(End);
    if (complete) {
      Ctx.Target->Gate.finish(Ctx.Id);
      Counts.CompleteResponses.add();
    } else {
      FailureCode code = End.failure().Code;
      bool overloaded =
          code == FailureCode::Overloaded || code == FailureCode::TimedOut;
      Ctx.Target->Gate.abandon(Ctx.Id, overloaded);
      Counts.FailedAttempts.add();
    }
    Verdict run = complete ? Verdict::Ran : End.failure().Run;
    record("attempt.end", Ctx,
           {{"verdict", std::string(toText(run))},
            {"whole", complete ? "true" : "false"},
            {"reason", complete ? "" : End.failure().Reason}});
  }

  //===--- Requests with an idempotency key -------------------------------===//

  asio::awaitable<void> runKeyed(AttemptContext &Ctx) {
    KeyDecision decision =
        Witnesses->keys().begin(Ctx.Key, Ctx.Fingerprint, monotonicNow());
    while (decision.Action == KeyAction::Wait) {
      if (!co_await waitForFirstRun(Ctx))
        co_return;
      decision =
          Witnesses->keys().begin(Ctx.Key, Ctx.Fingerprint, monotonicNow());
    }
    switch (decision.Action) {
    case KeyAction::Run:
      co_await runFirst(Ctx);
      break;
    case KeyAction::Answer:
      Counts.Repeats.add();
      co_await replayResponse(Ctx, std::move(decision.Answer));
      break;
    default:
      Counts.Repeats.add();
      refuse(Ctx, decision.Why);
      break;
    }
    wakeRepeats();
  }

  /// Waits until the first run of the key ends or a time limit passes. Returns
  /// false if the attempt is over, since its requester is gone or its deadline
  /// has passed.
  asio::awaitable<bool> waitForFirstRun(AttemptContext &Ctx) {
    if (Ctx.Sink->gone())
      co_return false;
    if (monotonicNow() >= Ctx.Deadline) {
      refuse(Ctx, Failure{Verdict::MayHaveRun, FailureCode::TimedOut,
                          "Idempotency-Key",
                          "the first request with this key is still running",
                          RetryDelay});
      co_return false;
    }
    BootTimer timer(Context,
                    std::min(Ctx.Deadline, monotonicNow() + MaxRepeatWait));
    RepeatTimers.push_back(&timer);
    co_await timer.async_wait(Awaited);
    std::erase(RepeatTimers, &timer);
    co_return true;
  }

  void wakeRepeats() {
    for (BootTimer *it : RepeatTimers)
      it->cancel();
  }

  asio::awaitable<void> replayResponse(AttemptContext &Ctx,
                                       http::Response Response) {
    std::string body = std::move(Response.Body);
    Response.Headers.push_back({"X-Idempotent-Replay", "true"});
    Ctx.Sink->begin(std::move(Response), Ctx.Target->Setup.Server);
    Outcome<Done> written = co_await Ctx.Sink->write(std::move(body));
    if (written)
      Ctx.Sink->end();
  }

  asio::awaitable<void> runFirst(AttemptContext &Ctx) {
    Upstream &target = *Ctx.Target;
    // Reserves the key first: only then does a refusal prove that the request
    // did not run.
    Outcome<Done> reserved =
        co_await Witnesses->reserve(makeKeyRecord(Ctx), Ctx.Reserved);
    if (!reserved) {
      refuse(Ctx, reserved.failure());
      co_await Witnesses->release(makeKeyRecord(Ctx), Ctx.Reserved);
      Witnesses->keys().recordFailure(Ctx.Key, reserved.failure());
      co_return;
    }
    Ctx.KeyVerified = true;
    Ctx.Sink->onGone([&target, id = Ctx.Id] { target.Gate.wake(id); });
    AdmissionRequest request = makeAdmissionRequest(Ctx);
    std::function<bool()> gone = [sink = Ctx.Sink] { return sink->gone(); };
    Outcome<Done> entered =
        co_await target.Gate.enter(request, std::move(gone));
    if (!entered) {
      refuse(Ctx, entered.failure());
      co_await Witnesses->release(makeKeyRecord(Ctx), Ctx.Reserved);
      Witnesses->keys().recordNotRun(Ctx.Key);
      co_return;
    }
    record("attempt.admit", Ctx, {});
    UpstreamExchange exchange(Context.get_executor(), Client);
    Outcome<Done> end = co_await forward(Ctx, exchange);
    if (end) {
      Witnesses->keys().recordAnswer(Ctx.Key, exchange.responseCopy());
      Ctx.Sink->end();
    } else {
      Witnesses->keys().recordFailure(Ctx.Key, end.failure());
      Ctx.Sink->fail(end.failure());
    }
  }

  KeyRecord makeKeyRecord(const AttemptContext &Ctx) const {
    Runner self{Setup.Instance, Setup.Life};
    return KeyRecord{Ctx.Key, Ctx.Fingerprint, self, Ctx.Id};
  }

  void handOver(std::function<void()> Callback) override {
    if (Witnesses)
      Witnesses->handOver(std::move(Callback));
    else
      Callback();
  }

  //===--- Polling servers ------------------------------------------------===//

  asio::awaitable<void> tickLoop() {
    std::shared_ptr<const FoldState> last;
    while (!Stopped) {
      std::shared_ptr<const FoldState> state = Reader.State();
      bool changed = state != last;
      last = state;
      for (const std::unique_ptr<Upstream> &it : Upstreams) {
        if (changed)
          configure(*it, *state->Config);
        it->Gate.tick();
      }
      reportServerStatus();
      TickTimer.expires_after(Setup.TickInterval);
      co_await TickTimer.async_wait(Awaited);
    }
  }

  void configure(Upstream &Target, const Configuration &Declared) {
    std::map<ServiceName, ServiceDeclaration>::const_iterator it =
        Declared.Services.find(Target.Setup.Service);
    bool declared = it != Declared.Services.end();
    Target.Engine = declared && it->second.Kind == ServiceKind::Engines;
    Target.Gate.setRolloutPercent(Declared.preset().RolloutPercent);
  }

  void reportServerStatus() {
    std::vector<ServerStatus> current;
    for (const std::unique_ptr<Upstream> &it : Upstreams) {
      ServerStatus status;
      status.Name = it->Setup.Server;
      status.Service = it->Setup.Service;
      status.Version = it->State ? it->State->Version : 0;
      status.Slots = it->State ? it->State->Slots : 1;
      status.Serving = it->Serving;
      current.push_back(std::move(status));
    }
    if (current == LastReported)
      return;
    LastReported = current;
    OnServerStatus(std::move(current));
  }

  asio::awaitable<void> pollLoop(Upstream &Target) {
    BootTimer timer(Context);
    while (!Stopped) {
      if (Target.Engine)
        co_await pollEngine(Target);
      timer.expires_after(Setup.StatePollInterval);
      co_await timer.async_wait(Awaited);
    }
  }

  asio::awaitable<Outcome<EngineStatus>> pollEngine(Upstream &Target) {
    Outcome<EngineStatus> state = co_await readEngineState(
        *Client, Target.Setup.Where, Setup.StateTimeout);
    if (state) {
      Target.ConsecutiveFailures = 0;
      if (!Target.State || Target.State->Slots != state->Slots)
        updateSlots(Target, state->Slots);
      Target.State = *state;
      Target.Serving = !state->Draining;
      reportServerStatus();
      co_return state;
    }
    ++Target.ConsecutiveFailures;
    if (Target.ConsecutiveFailures < Setup.UnhealthyThreshold ||
        !Target.Serving)
      co_return state;
    Target.Serving = false;
    spdlog::warn("engine {} is out of service: {}", Target.Setup.Server.Text,
                 describe(state.failure()));
    // The engine no longer answers. Cancelling its exchanges lets the
    // requesters retry elsewhere.
    cancelExchanges(Target, false,
                    Failure{Verdict::MayHaveRun,
                            FailureCode::Unavailable,
                            "server " + Target.Setup.Server.Text,
                            "the engine does not answer",
                            {}});
    reportServerStatus();
    co_return state;
  }

  static void updateSlots(Upstream &Target, std::uint32_t Slots) {
    Target.Gate.setSlots(std::max(1u, Slots));
  }

  static void cancelExchanges(Upstream &Target, bool SamplesOnly,
                              const Failure &Why) {
    std::vector<UpstreamExchange *> toCancel;
    for (const std::pair<UpstreamExchange *const, bool> &it :
         Target.ActiveExchanges) {
      if (it.second || !SamplesOnly)
        toCancel.push_back(it.first);
    }
    for (UpstreamExchange *it : toCancel) {
      // Cancelling one exchange may end others.
      if (Target.ActiveExchanges.contains(it))
        it->cancel(Why);
    }
  }

  //===--- Orders ---------------------------------------------------------===//

  asio::awaitable<void> orderLoop(Upstream &Target) {
    while (!Target.Orders.empty()) {
      std::pair<Order, OrderCallback> next = std::move(Target.Orders.front());
      Target.Orders.pop_front();
      Outcome<OrderAnswer> answer = co_await runOrder(Target, next.first);
      next.second(std::move(answer));
    }
    Target.OrderLoopRunning = false;
  }

  asio::awaitable<Outcome<OrderAnswer>> runOrder(Upstream &Target,
                                                 Order Command) {
    // Checks the token against earlier orders, since not every engine does, and
    // against the token that the engine reported.
    std::optional<Failure> stale =
        Guard.admit(Command.Server, Command.Resource, Command.Token);
    if (!stale && Target.State && Target.State->Fence > Command.Token)
      stale = makeNotRunFailure(FailureCode::StaleFence, Command.Resource,
                                "the engine holds token " +
                                    std::to_string(Target.State->Fence));
    if (stale) {
      Counts.OrdersRefused.add();
      recordOrder("order.refuse", Command, stale->Reason);
      co_return *stale;
    }
    Outcome<Done> drained = co_await drainSamples(Target);
    if (drained && Guard.seen(Command.Server, Command.Resource) > Command.Token)
      drained = makeNotRunFailure(FailureCode::StaleFence, Command.Resource,
                                  "a newer order arrived meanwhile");
    if (!drained) {
      Target.Gate.holdRollouts(false);
      recordOrder("order.refuse", Command, drained.failure().Reason);
      co_return drained.failure();
    }
    Counts.OrdersExecuted.add();
    recordOrder("order.take", Command, "");
    Outcome<Done> done = co_await sendLoadOrder(*Client, Target.Setup.Where,
                                                Command, Setup.OrderTimeout);
    // The response to the order may be lost or wrong: the reported state
    // decides.
    Outcome<EngineStatus> state = co_await pollEngine(Target);
    Target.Gate.holdRollouts(false);
    if (!done && done.failure().Code == FailureCode::StaleFence)
      co_return done.failure();
    if (!state)
      co_return Failure{Verdict::MayHaveRun,
                        state.failure().Code,
                        state.failure().Place,
                        state.failure().Reason,
                        {}};
    co_return OrderAnswer{state->Version};
  }

  void recordOrder(std::string_view Kind, const Order &Command,
                   const std::string &Reason) {
    Events.record(Kind, {{"server", Command.Server.Text},
                         {"resource", Command.Resource},
                         {"fence", std::to_string(Command.Token)},
                         {"version", std::to_string(Command.Version)},
                         {"reason", Reason}});
  }

  /// Handles running samples before a version change, as the preset declares.
  asio::awaitable<Outcome<Done>> drainSamples(Upstream &Target) {
    VersionChange change =
        Reader.State ? Reader.State()->Config->preset().OnVersionChange
                     : VersionChange::Resume;
    if (change == VersionChange::Resume)
      co_return Done{};
    Target.Gate.holdRollouts(true);
    if (change == VersionChange::Restart)
      cancelExchanges(Target, true,
                      Failure{Verdict::Ran,
                              FailureCode::Unavailable,
                              "server " + Target.Setup.Server.Text,
                              "the model version of the server changes",
                              {}});
    TimePoint deadline = monotonicNow() + Setup.SampleDrainTimeout;
    BootTimer timer(Context);
    while (Target.Gate.admission().runningRollouts() > 0) {
      if (monotonicNow() >= deadline)
        co_return makeNotRunFailure(
            FailureCode::TimedOut, "server " + Target.Setup.Server.Text,
            "its running samples did not end within the timeout");
      timer.expires_after(SampleDrainPollInterval);
      co_await timer.async_wait(Awaited);
    }
    co_return Done{};
  }

  asio::io_context &Context;
  const Settings Setup;
  Timeline &Events;
  DaemonMetrics Counts;
  ControlPlaneReader Reader;
  ServerStatusCallback OnServerStatus;
  /// Set by `attach`.
  std::shared_ptr<KeyWitnesses> Witnesses;
  FencingGuard Guard;
  std::shared_ptr<http::Client> Client;
  std::shared_ptr<RequestClient> Peers;
  std::vector<std::unique_ptr<Upstream>> Upstreams;
  std::vector<ServerStatus> LastReported;
  std::vector<BootTimer *> RepeatTimers;
  BootTimer TickTimer;
  std::atomic<std::size_t> InFlight{0};
  std::uint64_t LastId = 0;
  bool Leaving = false;
  bool Stopped = false;
};

} // namespace

std::shared_ptr<DaemonProxy> DaemonProxy::create(asio::io_context &Context,
                                                 Settings Setup,
                                                 Timeline &Events,
                                                 Metrics &Counts) {
  return std::make_shared<DaemonProxyImpl>(Context, std::move(Setup), Events,
                                           Counts);
}

} // namespace wasabi
