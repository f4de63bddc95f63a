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
/// When to come back to a daemon that is starting, leaving or without engine.
constexpr Millis ComeBack{500};
/// Pause between two looks at the samples that an order waits for.
constexpr Millis SwapPause{5};
/// How long a repeat waits at most between two looks at the first one's end.
constexpr Millis RepeatPause{1000};
/// Largest answer remembered with a key.
constexpr std::size_t MaxKeptAnswer = 256u << 10;

/// One server behind this daemon.
struct Upstream {
  Upstream(const asio::any_io_executor &Executor, ProxiedServer Setup,
           Admission::Settings Limits)
      : Setup(std::move(Setup)),
        Gate(Executor, this->Setup.Server.Text, Limits) {}

  const ProxiedServer Setup;
  AdmissionGate Gate;
  /// Engines only: what they said last, and how many looks failed since.
  bool Engine = false;
  std::optional<EngineStatus> State;
  std::uint32_t FailedLooks = 0;
  /// Whether it takes new work.
  bool Serving = true;
  /// The exchanges at hand: true for those of samples.
  std::map<UpstreamExchange *, bool> Running;
  /// Orders at hand and waiting; one is carried out at a time.
  std::list<std::pair<Order, DaemonProxy::OrderCallback>> Orders;
  bool Ordering = false;
};

/// One attempt at this daemon.
struct Work {
  RequestAttempt Attempt;
  std::shared_ptr<ResponseSink> Sink;
  Upstream *At = nullptr;
  std::uint64_t Id = 0;
  TimePoint Until;
  /// Set for a request that a key makes run once.
  std::string Key;
  std::uint64_t Fingerprint = 0;
  /// Its witnesses know of no other run.
  bool KeyProved = false;
  /// The witnesses that hold the key for this attempt.
  std::vector<Address> Reserved;
};

std::uint64_t fingerprintOf(const http::Request &Ask) {
  std::uint64_t hash = XXH64(Ask.Body.data(), Ask.Body.size(), 0);
  hash = XXH64(Ask.Target.data(), Ask.Target.size(), hash);
  return XXH64(Ask.Method.data(), Ask.Method.size(), hash);
}

Failure notRun(FailureCode Code, std::string Place, std::string Reason) {
  return Failure{Verdict::NotRun, Code, std::move(Place), std::move(Reason),
                 ComeBack};
}

class DaemonProxyImpl final : public DaemonProxy {
public:
  DaemonProxyImpl(asio::io_context &Context, Settings Setup, Timeline &Events,
                  Metrics &Registry)
      : Context(Context), Setup(std::move(Setup)), Events(Events),
        Counts(Registry), Tick(Context) {
    http::Client::Settings limits;
    // Every slot of a server may have a connection of its own.
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

  void attach(ControlPlaneReader NewSource,
              ServerStatusCallback NewTell) override {
    Source = std::move(NewSource);
    Tell = std::move(NewTell);
    Witnesses = std::make_shared<KeyWitnesses>(
        Context.get_executor(), witnessSettings(Setup), Peers, Source.Members);
    std::shared_ptr<DaemonProxyImpl> held = self();
    asio::co_spawn(
        Context, [held]() -> asio::awaitable<void> { return held->tick(); },
        asio::detached);
    for (const std::unique_ptr<Upstream> &it : Upstreams) {
      Upstream *at = it.get();
      asio::co_spawn(
          Context,
          [held, at]() -> asio::awaitable<void> { return held->watch(*at); },
          asio::detached);
    }
  }

  asio::awaitable<void> handle(RequestAttempt Attempt,
                               std::shared_ptr<ResponseSink> Sink) override {
    std::shared_ptr<DaemonProxyImpl> held = self();
    // Daemons ask each other about keys, also while they leave.
    if (Attempt.Service.empty()) {
      if (Witnesses)
        Witnesses->answer(Attempt, *Sink);
      else
        Sink->fail(notRun(FailureCode::Unavailable, Setup.Instance.Text,
                          "this instance is starting"));
      co_return;
    }
    InFlight.fetch_add(1, std::memory_order_relaxed);
    Counts.Attempts.add();
    Work work;
    work.Until = monotonicNow() + Attempt.Deadline;
    work.Attempt = std::move(Attempt);
    work.Sink = std::move(Sink);
    work.Id = ++LastId;
    std::optional<Failure> refused = take(work);
    if (refused)
      refuse(work, *refused);
    else if (work.Key.empty())
      co_await runPlain(work);
    else
      co_await runKeyed(work);
    InFlight.fetch_sub(1, std::memory_order_relaxed);
  }

  void order(Order What, OrderCallback Callback) override {
    Upstream *at = find(What.Server);
    if (!at) {
      Callback(notRun(FailureCode::NoUpstream, "server " + What.Server.Text,
                      "it is not behind this daemon"));
      return;
    }
    at->Orders.emplace_back(std::move(What), std::move(Callback));
    if (at->Ordering)
      return;
    at->Ordering = true;
    std::shared_ptr<DaemonProxyImpl> held = self();
    asio::co_spawn(
        Context,
        [held, at]() -> asio::awaitable<void> { return held->runOrders(*at); },
        asio::detached);
  }

  std::vector<ReportedLoad> loads() const override {
    std::vector<ReportedLoad> seen;
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
      seen.push_back(load);
    }
    return seen;
  }

  void leave() override { Leaving = true; }

  std::size_t inFlight() const override {
    return InFlight.load(std::memory_order_relaxed);
  }

  void stop() override {
    Stopped = true;
    Tick.cancel();
    Peers->stop();
  }

private:
  static KeyWitnesses::Settings witnessSettings(const Settings &From) {
    KeyWitnesses::Settings settings;
    settings.Keys.Self = Runner{From.Instance, From.Life};
    settings.Keys.MaxSingleAnswerBytes = MaxKeptAnswer;
    settings.WitnessTimeout = From.WitnessTimeout;
    settings.HandOverTimeout = From.HandOverTimeout;
    settings.ComeBack = ComeBack;
    return settings;
  }

  std::shared_ptr<DaemonProxyImpl> self() {
    return std::static_pointer_cast<DaemonProxyImpl>(shared_from_this());
  }

  Upstream *find(const ServerName &Name) {
    for (const std::unique_ptr<Upstream> &it : Upstreams) {
      if (it->Setup.Server == Name)
        return it.get();
    }
    return nullptr;
  }

  //===--- Taking an attempt ----------------------------------------------===//

  /// Chooses the server and looks at the preset; a failure when it is refused.
  std::optional<Failure> take(Work &What) {
    const RequestAttempt &attempt = What.Attempt;
    if (Leaving)
      return notRun(FailureCode::Leaving, Setup.Instance.Text,
                    "this instance is leaving");
    if (!Source.State)
      return notRun(FailureCode::Unavailable, Setup.Instance.Text,
                    "this instance is starting");
    What.At = attempt.Server.empty() ? leastLoaded(attempt.Service)
                                     : find(attempt.Server);
    if (!What.At || What.At->Setup.Service != attempt.Service)
      return notRun(FailureCode::NoUpstream, "service " + attempt.Service.Text,
                    "this instance has no such server of it");
    if (!What.At->Serving)
      return notRun(FailureCode::Unavailable,
                    "server " + What.At->Setup.Server.Text,
                    "it does not answer, or is draining");
    std::shared_ptr<const FoldState> state = Source.State();
    const PresetDeclaration &preset = state->Config->preset();
    bool sample = !attempt.Trainer.empty();
    if (!(sample ? preset.AdmitRollouts : preset.AdmitCallers))
      return notRun(FailureCode::Unavailable,
                    "preset " + state->Config->ActivePreset.Text,
                    sample ? "it dispatches no samples"
                           : "it takes no callers' requests");
    if (!attempt.Idempotent && !attempt.Key.empty()) {
      What.Key =
          attempt.Service.Text + "\n" + attempt.Caller + "\n" + attempt.Key;
      What.Fingerprint = fingerprintOf(attempt.Http);
    }
    return std::nullopt;
  }

  Upstream *leastLoaded(const ServiceName &Service) {
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

  void record(std::string_view Kind, const Work &What,
              std::vector<EventField> More) {
    std::vector<EventField> fields = {
        {"request", What.Attempt.Request},
        {"attempt", std::to_string(What.Attempt.Attempt)},
        {"server",
         What.At ? What.At->Setup.Server.Text : What.Attempt.Server.Text}};
    for (EventField &it : More)
      fields.push_back(std::move(it));
    Events.record(Kind, std::move(fields));
  }

  void refuse(const Work &What, const Failure &Why) {
    const RequestAttempt &attempt = What.Attempt;
    bool keyed = !attempt.Key.empty() && !attempt.Idempotent;
    if (keyed && !What.KeyProved)
      tellRefusal(What, downgradeUnprovenFailure(Why));
    else
      tellRefusal(What, Why);
  }

  void tellRefusal(const Work &What, const Failure &Why) {
    Counts.Refused.add();
    record("attempt.refuse", What,
           {{"verdict", std::string(toText(Why.Run))}, {"reason", Why.Reason}});
    What.Sink->fail(Why);
  }

  AdmissionRequest askOf(const Work &What) {
    const RequestAttempt &attempt = What.Attempt;
    AdmissionRequest ask;
    ask.Id = What.Id;
    ask.Priority = attempt.Priority;
    ask.Rollout = !attempt.Trainer.empty();
    ask.Flow = ask.Rollout ? "trainer/" + attempt.Trainer.Text
                           : "caller/" + attempt.Caller;
    ask.FlowWeight = ask.Rollout ? shareOf(attempt) : 1;
    ask.Deadline = What.Until;
    return ask;
  }

  std::uint32_t shareOf(const RequestAttempt &Attempt) {
    std::shared_ptr<const FoldState> state = Source.State();
    for (const std::pair<const std::string, Attachment> &it :
         state->Config->Attachments) {
      if (it.second.Trainer == Attempt.Trainer &&
          it.second.Service == Attempt.Service)
        return it.second.Share;
    }
    return 1;
  }

  //===--- Running one ----------------------------------------------------===//

  asio::awaitable<void> runPlain(Work &What) {
    Upstream &at = *What.At;
    What.Sink->onGone([&at, id = What.Id] { at.Gate.wake(id); });
    AdmissionRequest ask = askOf(What);
    std::function<bool()> gone = [sink = What.Sink] { return sink->gone(); };
    Outcome<Done> entered = co_await at.Gate.enter(ask, std::move(gone));
    if (!entered) {
      refuse(What, entered.failure());
      co_return;
    }
    record("attempt.admit", What, {});
    UpstreamExchange exchange(Context.get_executor(), Client);
    Outcome<Done> end = co_await forward(What, exchange);
    if (end)
      What.Sink->end();
    else
      What.Sink->fail(end.failure());
  }

  /// Gives an admitted attempt to its server, and its place to the next.
  asio::awaitable<Outcome<Done>> forward(Work &What,
                                         UpstreamExchange &Exchange) {
    Upstream &at = *What.At;
    bool sample = !What.Attempt.Trainer.empty();
    // A key's run is read to its end, for the caller's next try.
    if (What.Key.empty() && !What.Sink->gone())
      What.Sink->onGone([&Exchange] {
        Exchange.breakOff(Failure{Verdict::MayHaveRun,
                                  FailureCode::Cancelled,
                                  "asker",
                                  "it cancelled or is gone",
                                  {}});
      });
    at.Running.emplace(&Exchange, sample);
    Counts.Forwarded.add();
    record("attempt.forward", What,
           {{"idempotent", What.Attempt.Idempotent ? "true" : "false"},
            {"key", What.Attempt.Key}});
    UpstreamExchange::Ask ask = forwardingOf(What);
    Outcome<Done> end = co_await Exchange.run(std::move(ask), What.Sink);
    at.Running.erase(&Exchange);
    if (!What.Sink->gone())
      What.Sink->onGone([] {});
    settle(What, end);
    co_return end;
  }

  UpstreamExchange::Ask forwardingOf(Work &What) {
    UpstreamExchange::Ask ask;
    ask.Where = What.At->Setup.Where;
    ask.Server = What.At->Setup.Server;
    ask.Until = What.Until;
    ask.Engine = What.At->Engine;
    ask.MaxCopyBytes = What.Key.empty() ? 0 : MaxKeptAnswer;
    ask.Http = std::move(What.Attempt.Http);
    removeHopByHopHeaders(ask.Http.Headers);
    if (ask.Http.header("X-Request-Id").empty())
      ask.Http.Headers.push_back({"X-Request-Id", What.Attempt.Request});
    removeHeader(ask.Http.Headers, "X-Attempt");
    ask.Http.Headers.push_back(
        {"X-Attempt", std::to_string(What.Attempt.Attempt)});
    if (ask.Engine && ask.Http.path() == CompletionsPath)
      ask.Http.Body = setRequestPriority(ask.Http.Body, What.Attempt.Priority);
    return ask;
  }

  void settle(const Work &What, const Outcome<Done> &End) {
    bool whole = static_cast<bool>(End);
    if (whole) {
      What.At->Gate.finish(What.Id);
      Counts.Whole.add();
    } else {
      FailureCode code = End.failure().Code;
      bool overloaded =
          code == FailureCode::Overloaded || code == FailureCode::TimedOut;
      What.At->Gate.abandon(What.Id, overloaded);
      Counts.Broken.add();
    }
    Verdict run = whole ? Verdict::Ran : End.failure().Run;
    record("attempt.end", What,
           {{"verdict", std::string(toText(run))},
            {"whole", whole ? "true" : "false"},
            {"reason", whole ? "" : End.failure().Reason}});
  }

  //===--- Requests that run once by a key --------------------------------===//

  asio::awaitable<void> runKeyed(Work &What) {
    KeyDecision decision =
        Witnesses->keys().begin(What.Key, What.Fingerprint, monotonicNow());
    while (decision.Action == KeyAction::Wait) {
      if (!co_await waitForFirst(What))
        co_return;
      decision =
          Witnesses->keys().begin(What.Key, What.Fingerprint, monotonicNow());
    }
    switch (decision.Action) {
    case KeyAction::Run:
      co_await runFirst(What);
      break;
    case KeyAction::Answer:
      Counts.Repeats.add();
      co_await answerAgain(What, std::move(decision.Answer));
      break;
    default:
      Counts.Repeats.add();
      refuse(What, decision.Why);
      break;
    }
    wakeRepeats();
  }

  /// False when the repeat was refused since its time is over.
  asio::awaitable<bool> waitForFirst(Work &What) {
    if (What.Sink->gone())
      co_return false;
    if (monotonicNow() >= What.Until) {
      refuse(What,
             Failure{Verdict::MayHaveRun, FailureCode::TimedOut,
                     "Idempotency-Key",
                     "the first request with this key still runs", ComeBack});
      co_return false;
    }
    BootTimer timer(Context,
                    std::min(What.Until, monotonicNow() + RepeatPause));
    Repeats.push_back(&timer);
    co_await timer.async_wait(Awaited);
    std::erase(Repeats, &timer);
    co_return true;
  }

  void wakeRepeats() {
    for (BootTimer *it : Repeats)
      it->cancel();
  }

  asio::awaitable<void> answerAgain(Work &What, http::Response Answer) {
    std::string body = std::move(Answer.Body);
    Answer.Headers.push_back({"X-Idempotent-Replay", "true"});
    What.Sink->begin(std::move(Answer), What.At->Setup.Server);
    Outcome<Done> written = co_await What.Sink->write(std::move(body));
    if (written)
      What.Sink->end();
  }

  asio::awaitable<void> runFirst(Work &What) {
    Upstream &at = *What.At;
    // The witnesses come first: only then is a refusal proved not to have run.
    Outcome<Done> reserved =
        co_await Witnesses->reserve(recordOf(What), What.Reserved);
    if (!reserved) {
      refuse(What, reserved.failure());
      co_await Witnesses->release(recordOf(What), What.Reserved);
      Witnesses->keys().recordFailure(What.Key, reserved.failure());
      co_return;
    }
    What.KeyProved = true;
    What.Sink->onGone([&at, id = What.Id] { at.Gate.wake(id); });
    AdmissionRequest ask = askOf(What);
    std::function<bool()> gone = [sink = What.Sink] { return sink->gone(); };
    Outcome<Done> entered = co_await at.Gate.enter(ask, std::move(gone));
    if (!entered) {
      refuse(What, entered.failure());
      co_await Witnesses->release(recordOf(What), What.Reserved);
      Witnesses->keys().recordNotRun(What.Key);
      co_return;
    }
    record("attempt.admit", What, {});
    UpstreamExchange exchange(Context.get_executor(), Client);
    Outcome<Done> end = co_await forward(What, exchange);
    if (end) {
      Witnesses->keys().recordAnswer(What.Key, exchange.kept());
      What.Sink->end();
    } else {
      Witnesses->keys().recordFailure(What.Key, end.failure());
      What.Sink->fail(end.failure());
    }
  }

  KeyRecord recordOf(const Work &What) const {
    Runner self{Setup.Instance, Setup.Life};
    return KeyRecord{What.Key, What.Fingerprint, self, What.Id};
  }

  void handOver(std::function<void()> Callback) override {
    if (Witnesses)
      Witnesses->handOver(std::move(Callback));
    else
      Callback();
  }

  //===--- Watching servers -----------------------------------------------===//

  asio::awaitable<void> tick() {
    std::shared_ptr<const FoldState> last;
    while (!Stopped) {
      std::shared_ptr<const FoldState> state = Source.State();
      bool changed = state != last;
      last = state;
      for (const std::unique_ptr<Upstream> &it : Upstreams) {
        if (changed)
          configure(*it, *state->Config);
        it->Gate.tick();
      }
      tellServers();
      Tick.expires_after(Setup.TickInterval);
      co_await Tick.async_wait(Awaited);
    }
  }

  void configure(Upstream &At, const Configuration &Declared) {
    std::map<ServiceName, ServiceDeclaration>::const_iterator it =
        Declared.Services.find(At.Setup.Service);
    bool declared = it != Declared.Services.end();
    At.Engine = declared && it->second.Kind == ServiceKind::Engines;
    At.Gate.setRolloutPercent(Declared.preset().RolloutPercent);
  }

  void tellServers() {
    std::vector<ServerStatus> now;
    for (const std::unique_ptr<Upstream> &it : Upstreams) {
      ServerStatus status;
      status.Name = it->Setup.Server;
      status.Service = it->Setup.Service;
      status.Version = it->State ? it->State->Version : 0;
      status.Slots = it->State ? it->State->Slots : 1;
      status.Serving = it->Serving;
      now.push_back(std::move(status));
    }
    if (now == Told)
      return;
    Told = now;
    Tell(std::move(now));
  }

  asio::awaitable<void> watch(Upstream &At) {
    BootTimer timer(Context);
    while (!Stopped) {
      if (At.Engine)
        co_await look(At);
      timer.expires_after(Setup.StatePollInterval);
      co_await timer.async_wait(Awaited);
    }
  }

  asio::awaitable<Outcome<EngineStatus>> look(Upstream &At) {
    Outcome<EngineStatus> state =
        co_await readEngineState(*Client, At.Setup.Where, Setup.StateTimeout);
    if (state) {
      At.FailedLooks = 0;
      if (!At.State || At.State->Slots != state->Slots)
        useSlots(At, state->Slots);
      At.State = *state;
      At.Serving = !state->Draining;
      tellServers();
      co_return state;
    }
    ++At.FailedLooks;
    if (At.FailedLooks < Setup.UnhealthyThreshold || !At.Serving)
      co_return state;
    At.Serving = false;
    spdlog::warn("engine {}: {}: out of service", At.Setup.Server.Text,
                 describe(state.failure()));
    // What it was given is not answered any more: their askers go elsewhere.
    breakOffRunning(At, false,
                    Failure{Verdict::MayHaveRun,
                            FailureCode::Unavailable,
                            "server " + At.Setup.Server.Text,
                            "its engine does not answer",
                            {}});
    tellServers();
    co_return state;
  }

  static void useSlots(Upstream &At, std::uint32_t Slots) {
    At.Gate.setSlots(std::max(1u, Slots));
  }

  static void breakOffRunning(Upstream &At, bool SamplesOnly,
                              const Failure &Why) {
    std::vector<UpstreamExchange *> broken;
    for (const std::pair<UpstreamExchange *const, bool> &it : At.Running) {
      if (it.second || !SamplesOnly)
        broken.push_back(it.first);
    }
    for (UpstreamExchange *it : broken) {
      // One may end while another is broken off.
      if (At.Running.contains(it))
        it->breakOff(Why);
    }
  }

  //===--- Orders ---------------------------------------------------------===//

  asio::awaitable<void> runOrders(Upstream &At) {
    while (!At.Orders.empty()) {
      std::pair<Order, OrderCallback> next = std::move(At.Orders.front());
      At.Orders.pop_front();
      Outcome<OrderAnswer> answer = co_await runOrder(At, next.first);
      next.second(std::move(answer));
    }
    At.Ordering = false;
  }

  asio::awaitable<Outcome<OrderAnswer>> runOrder(Upstream &At, Order What) {
    // The daemon guards for engines that do not, and knows what they said.
    std::optional<Failure> stale =
        Guard.admit(What.Server, What.Resource, What.Token);
    if (!stale && At.State && At.State->Fence > What.Token)
      stale =
          notRun(FailureCode::StaleFence, What.Resource,
                 "the engine holds token " + std::to_string(At.State->Fence));
    if (stale) {
      Counts.OrdersRefused.add();
      recordOrder("order.refuse", What, stale->Reason);
      co_return *stale;
    }
    Outcome<Done> free = co_await clearSamples(At);
    if (free && Guard.seen(What.Server, What.Resource) > What.Token)
      free = notRun(FailureCode::StaleFence, What.Resource,
                    "a newer order came meanwhile");
    if (!free) {
      At.Gate.holdRollouts(false);
      recordOrder("order.refuse", What, free.failure().Reason);
      co_return free.failure();
    }
    Counts.OrdersExecuted.add();
    recordOrder("order.take", What, "");
    Outcome<Done> done = co_await sendLoadOrder(*Client, At.Setup.Where, What,
                                                Setup.OrderTimeout);
    // The order's own answer may be lost or wrong: the report decides.
    Outcome<EngineStatus> state = co_await look(At);
    At.Gate.holdRollouts(false);
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

  void recordOrder(std::string_view Kind, const Order &What,
                   const std::string &Reason) {
    Events.record(Kind, {{"server", What.Server.Text},
                         {"resource", What.Resource},
                         {"fence", std::to_string(What.Token)},
                         {"version", std::to_string(What.Version)},
                         {"reason", Reason}});
  }

  /// Does with the running samples what the preset says of a version change.
  asio::awaitable<Outcome<Done>> clearSamples(Upstream &At) {
    VersionChange change =
        Source.State ? Source.State()->Config->preset().OnVersionChange
                     : VersionChange::Resume;
    if (change == VersionChange::Resume)
      co_return Done{};
    At.Gate.holdRollouts(true);
    if (change == VersionChange::Restart)
      breakOffRunning(At, true,
                      Failure{Verdict::Ran,
                              FailureCode::Unavailable,
                              "server " + At.Setup.Server.Text,
                              "its model's version changes",
                              {}});
    TimePoint until = monotonicNow() + Setup.SampleDrainTimeout;
    BootTimer timer(Context);
    while (At.Gate.admission().runningRollouts() > 0) {
      if (monotonicNow() >= until)
        co_return notRun(FailureCode::TimedOut,
                         "server " + At.Setup.Server.Text,
                         "its running samples did not end in time");
      timer.expires_after(SwapPause);
      co_await timer.async_wait(Awaited);
    }
    co_return Done{};
  }

  asio::io_context &Context;
  const Settings Setup;
  Timeline &Events;
  DaemonMetrics Counts;
  ControlPlaneReader Source;
  ServerStatusCallback Tell;
  /// Made when attached.
  std::shared_ptr<KeyWitnesses> Witnesses;
  FencingGuard Guard;
  std::shared_ptr<http::Client> Client;
  std::shared_ptr<RequestClient> Peers;
  std::vector<std::unique_ptr<Upstream>> Upstreams;
  std::vector<ServerStatus> Told;
  std::vector<BootTimer *> Repeats;
  BootTimer Tick;
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
