#include "Wasabi/Adapters/Proxy/EntryProxy.h"

#include "Wasabi/Adapters/Proxy/CallerResponse.h"
#include "Wasabi/Adapters/Proxy/EntryMetrics.h"
#include "Wasabi/Adapters/Proxy/ProxyHeaders.h"
#include "Wasabi/Core/BootTimer.h"
#include "Wasabi/Routing/CallerLimits.h"
#include "Wasabi/Routing/CompletionStream.h"
#include "Wasabi/Routing/IdempotencyKeys.h"
#include "Wasabi/Routing/PrefixHints.h"
#include "Wasabi/Routing/Problem.h"
#include "Wasabi/Routing/RouteMatch.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <spdlog/spdlog.h>

#include <atomic>
#include <random>
#include <set>

namespace wasabi {
namespace {

namespace asio = boost::asio;

constexpr asio::as_tuple_t<asio::use_awaitable_t<>> Awaited;

/// State of one request of a caller.
struct CallContext {
  std::string RequestId;
  RouteMatch Match;
  http::Request Request;
  CallerResponse Response;
  TimePoint StartedAt;
  TimePoint Deadline;
  std::int32_t Priority = 0;
  std::uint32_t Attempts = 0;
  std::vector<Candidate> TriedCandidates;
  /// Progress of a streamed completion.
  CompletionProgress Progress;
  /// True once events of a completion stream are relayed: the stream can be
  /// resumed on another server.
  bool ResumableStream = false;
  /// True once a daemon has looked up the key, so that its verdict holds for
  /// the key.
  bool KeyLookedUp = false;
  /// Response stream that is being read, for cancellation.
  DaemonResponseStream *ActiveStream = nullptr;

  /// Returns true if the idempotency key requires that the request runs at most
  /// once.
  bool mustRunOnce() const { return !Match.Key.empty() && !Match.Idempotent; }
};

/// Sets `ActiveStream` of a request for its own lifetime.
class ActiveStreamScope {
public:
  ActiveStreamScope(CallContext &Ctx, DaemonResponseStream &Stream) : Ctx(Ctx) {
    Ctx.ActiveStream = &Stream;
  }
  ActiveStreamScope(const ActiveStreamScope &) = delete;
  ActiveStreamScope &operator=(const ActiveStreamScope &) = delete;
  ~ActiveStreamScope() { Ctx.ActiveStream = nullptr; }

private:
  CallContext &Ctx;
};

/// Success if the complete response has reached the caller.
using AttemptOutcome = Outcome<Done>;

/// Returns true if a retry is safe and may succeed.
bool isRetryable(const Failure &Why, bool Idempotent) {
  switch (Why.Code) {
  case FailureCode::BadInput:
  case FailureCode::Cancelled:
  case FailureCode::Conflict:
  case FailureCode::Expired:
    return false;
  default:
    return Why.Run == Verdict::NotRun || Idempotent;
  }
}

bool isEventStream(const http::Response &Head) {
  return Head.header("Content-Type").starts_with("text/event-stream");
}

class EntryProxyImpl final : public EntryProxy {
public:
  EntryProxyImpl(asio::io_context &Context, Settings Setup,
                 ControlPlaneReader Reader, Timeline &Events, Metrics &Registry)
      : Context(Context), Setup(std::move(Setup)), Reader(std::move(Reader)),
        Events(Events), Counts(Registry), Random(this->Setup.Seed),
        Hints(PrefixHints::Settings()), RefreshTimer(Context) {
    Budget = makeRetryBudget(this->Setup.Retries);
    Balancer.Settings = this->Setup.Balancing;
    Balancer.Own = this->Setup.Domain;
    RequestClient::Settings client;
    client.Instance = this->Setup.Instance;
    client.Domain = this->Setup.Domain;
    client.Life = this->Setup.Life;
    client.Seed = this->Setup.Seed;
    Client = RequestClient::create(Context.get_executor(), client);
  }

  void start() {
    Client->onLoad(
        [this](const Address &Where, const std::vector<ReportedLoad> &Loads,
               bool Leaving) { onLoadReport(Where, Loads, Leaving); });
    std::shared_ptr<EntryProxyImpl> self =
        std::static_pointer_cast<EntryProxyImpl>(shared_from_this());
    asio::co_spawn(
        Context,
        [self]() -> asio::awaitable<void> { return self->refreshLoop(); },
        asio::detached);
  }

  asio::awaitable<void> handle(http::Request Request,
                               std::shared_ptr<http::Responder> Out) override {
    std::shared_ptr<EntryProxyImpl> self =
        std::static_pointer_cast<EntryProxyImpl>(shared_from_this());
    InFlight.fetch_add(1, std::memory_order_relaxed);
    Counts.Received.add();
    CallContext ctx;
    ctx.RequestId = makeRequestId();
    ctx.Request = std::move(Request);
    ctx.Response = CallerResponse(std::move(Out), ctx.RequestId);
    ctx.StartedAt = monotonicNow();
    Outcome<Done> end = accept(ctx);
    if (end)
      end = co_await serve(ctx);
    if (!end && ctx.mustRunOnce() && !ctx.KeyLookedUp)
      end = downgradeUnprovenFailure(end.failure());
    co_await finish(ctx, std::move(end));
    InFlight.fetch_sub(1, std::memory_order_relaxed);
  }

  std::size_t inFlight() const override {
    return InFlight.load(std::memory_order_relaxed);
  }

  void stop() override {
    Stopped = true;
    RefreshTimer.cancel();
    Client->stop();
  }

private:
  std::string makeRequestId() {
    return Setup.Instance.Text + "-" + std::to_string(Setup.Life) + "-" +
           std::to_string(++LastRequestId);
  }

  /// Matches the route and applies the admission limits. Returns a failure if
  /// the request is refused.
  Outcome<Done> accept(CallContext &Ctx) {
    std::shared_ptr<const FoldState> state = Reader.State();
    const Configuration &declared = *state->Config;
    Outcome<RouteMatch> match = matchRoute(declared, Ctx.Request);
    if (!match)
      return match.failure();
    Ctx.Match = *std::move(match);
    Ctx.Deadline = Ctx.StartedAt + Ctx.Match.Deadline;
    Ctx.Priority = declared.preset().CallerPriority;
    Ctx.Request.Target = Ctx.Match.Target;
    Events.record("request.received",
                  {{"request", Ctx.RequestId},
                   {"service", Ctx.Match.Service.Text},
                   {"caller", Ctx.Match.Caller},
                   {"idempotent", Ctx.Match.Idempotent ? "true" : "false"},
                   {"key", Ctx.Match.Key}});
    if (!declared.preset().AdmitCallers)
      return Failure{Verdict::NotRun, FailureCode::Unavailable,
                     "preset " + declared.ActivePreset.Text,
                     "the preset admits no callers' requests", Millis(5000)};
    std::size_t entries = countLiveEntries(*Reader.Members());
    std::optional<Millis> wait =
        Limits.take(declared.Limits, Ctx.Match.Caller, entries, monotonicNow());
    if (wait) {
      Counts.RateLimited.add();
      return Failure{Verdict::NotRun, FailureCode::Overloaded,
                     "caller " + Ctx.Match.Caller,
                     "the caller exceeds its declared limit", *wait};
    }
    if (Ctx.Match.Streamed) {
      Outcome<CompletionProgress> begin =
          parseInitialProgress(Ctx.Request.Body);
      if (!begin)
        return begin.failure();
      Ctx.Progress = *std::move(begin);
    }
    removeHopByHopHeaders(Ctx.Request.Headers);
    if (Ctx.Request.header("X-Request-Id").empty())
      Ctx.Request.Headers.push_back({"X-Request-Id", Ctx.RequestId});
    return Done{};
  }

  /// Retries until an attempt succeeds or no further attempt is allowed.
  asio::awaitable<Outcome<Done>> serve(CallContext &Ctx) {
    Ctx.Response.onGone([this, &Ctx] {
      Client->cancel(Ctx.RequestId);
      if (Ctx.ActiveStream)
        Ctx.ActiveStream->cancel();
    });
    for (;;) {
      AttemptOutcome end = co_await attempt(Ctx);
      if (end || Ctx.Response.gone())
        co_return end;
      Failure why = end.failure();
      if (!canRetry(Ctx, why))
        co_return why;
      Budget = spend(Budget);
      Counts.Retries.add();
      Events.record("request.retry", {{"request", Ctx.RequestId},
                                      {"attempt", std::to_string(Ctx.Attempts)},
                                      {"verdict", std::string(toText(why.Run))},
                                      {"reason", why.Reason}});
    }
  }

  bool canRetry(const CallContext &Ctx, const Failure &Why) {
    // Once bytes have reached the caller, only a tracked completion stream can
    // be resumed elsewhere.
    if (Ctx.Response.started() && !Ctx.ResumableStream)
      return false;
    if (Ctx.mustRunOnce() || !isRetryable(Why, Ctx.Match.Idempotent))
      return false;
    if (Ctx.Attempts >= Setup.MaxAttempts || monotonicNow() >= Ctx.Deadline)
      return false;
    if (!nextCandidate(Ctx))
      return false;
    if (canSpend(Budget))
      return true;
    Counts.RetryBudgetRefusals.add();
    return false;
  }

  const std::vector<Candidate> &currentCandidates(const ServiceName &Service) {
    static const std::vector<Candidate> None;
    refreshCandidates();
    std::map<ServiceName, std::vector<Candidate>>::const_iterator it =
        CandidatesByService.find(Service);
    return it == CandidatesByService.end() ? None : it->second;
  }

  /// Recomputes the candidates if the view has changed.
  void refreshCandidates() {
    std::shared_ptr<const View> now = Reader.Members();
    if (now == LastView)
      return;
    LastView = now;
    CandidatesByService = findCandidates(*now);
    retainServers(Balancer, CandidatesByService, monotonicNow());
    Instances.clear();
    for (const std::pair<const ServiceName, std::vector<Candidate>> &service :
         CandidatesByService) {
      for (const Candidate &it : service.second)
        Instances[it.Where] = it.Key.Instance;
    }
  }

  std::optional<Candidate> nextCandidate(const CallContext &Ctx) {
    const std::vector<Candidate> &candidates =
        currentCandidates(Ctx.Match.Service);
    TimePoint now = monotonicNow();
    // All entries send a key to the same home.
    if (Ctx.mustRunOnce())
      return findHomeCandidate(Ctx.Match.Key, candidates);
    std::optional<ServerKey> cached;
    if (!Ctx.Match.Prompt.empty())
      cached =
          findPrefixHolder(hashPromptPrefix(Ctx.Match.Prompt), candidates, now);
    std::optional<Candidate> chosen =
        chooseCandidate(Balancer, candidates, Ctx.TriedCandidates, cached, now,
                        Random, Ctx.Match.Caller);
    if (chosen && cached && chosen->Key == *cached)
      Counts.PrefixPlacements.add();
    return chosen;
  }

  /// Returns the server on which the prefix was placed last, else the home of
  /// the prefix. The home is the same for all entries, so they need not
  /// exchange placements.
  std::optional<ServerKey>
  findPrefixHolder(std::uint64_t Prefix,
                   const std::vector<Candidate> &Candidates, TimePoint Now) {
    std::optional<ServerKey> placed = Hints.find(Prefix, Now);
    if (placed)
      return placed;
    std::optional<Candidate> home =
        findHomeCandidate(std::to_string(Prefix), Candidates);
    return home ? std::optional<ServerKey>(home->Key) : std::nullopt;
  }

  Failure makeNoCandidateFailure(const CallContext &Ctx) {
    const std::vector<Candidate> &candidates =
        currentCandidates(Ctx.Match.Service);
    Millis wait = timeUntilAvailable(Balancer, candidates, monotonicNow(),
                                     Ctx.Match.Caller);
    return Failure{Verdict::NotRun, FailureCode::NoUpstream,
                   "service " + Ctx.Match.Service.Text,
                   candidates.empty()
                       ? "no server of the service is known"
                       : "no server of the service accepts work now",
                   wait};
  }

  asio::awaitable<AttemptOutcome> attempt(CallContext &Ctx) {
    std::optional<Candidate> chosen = nextCandidate(Ctx);
    if (!chosen)
      co_return makeNoCandidateFailure(Ctx);
    const Candidate target = *chosen;
    ++Ctx.Attempts;
    Ctx.TriedCandidates.push_back(target);
    Counts.Attempts.add();
    if (target.Domain != Setup.Domain)
      Counts.CrossDomain.add();
    Events.record("request.attempt", {{"request", Ctx.RequestId},
                                      {"attempt", std::to_string(Ctx.Attempts)},
                                      {"instance", target.Key.Instance.Text},
                                      {"server", target.Key.Server.Text}});
    if (!Ctx.Match.Prompt.empty())
      Hints.place(hashPromptPrefix(Ctx.Match.Prompt), target.Key,
                  monotonicNow());

    TimePoint began = monotonicNow();
    noteStart(Balancer, target, began);
    AttemptOutcome end = co_await exchange(Ctx, target);
    if (end) {
      TimePoint now = monotonicNow();
      noteSuccess(Balancer, target, now - began, now);
      Budget = addSuccess(Budget);
    } else if (Ctx.Response.gone()) {
      noteAbandoned(Balancer, target);
    } else {
      noteFailure(Balancer, target, end.failure(),
                  currentCandidates(Ctx.Match.Service), monotonicNow(),
                  Ctx.Match.Caller);
    }
    co_return end;
  }

  RequestAttempt makeAttempt(const CallContext &Ctx, const Candidate &Target) {
    RequestAttempt attempt;
    attempt.Request = Ctx.RequestId;
    attempt.Attempt = Ctx.Attempts;
    attempt.Service = Ctx.Match.Service;
    attempt.Server = Target.Key.Server;
    attempt.Http = Ctx.Request;
    attempt.Idempotent = Ctx.Match.Idempotent;
    attempt.Key = Ctx.Match.Key;
    attempt.Deadline = timeLeft(Ctx);
    attempt.Priority = Ctx.Priority;
    attempt.Caller = Ctx.Match.Caller;
    if (Ctx.ResumableStream) {
      attempt.Http.Body = makeResumeBody(Ctx.Request.Body, Ctx.Progress);
      Counts.Resumed.add();
    }
    return attempt;
  }

  static Millis timeLeft(const CallContext &Ctx) {
    Millis left = std::chrono::ceil<Millis>(Ctx.Deadline - monotonicNow());
    return std::max(left, Millis(0));
  }

  asio::awaitable<AttemptOutcome> exchange(CallContext &Ctx,
                                           const Candidate &Target) {
    RequestAttempt attempt = makeAttempt(Ctx, Target);
    if (attempt.Deadline <= Millis(0))
      co_return Failure{Verdict::NotRun,
                        FailureCode::Expired,
                        Ctx.RequestId,
                        "the deadline of the request has passed",
                        {}};
    Outcome<std::unique_ptr<DaemonResponseStream>> opened =
        co_await Client->open(Target.Where, std::move(attempt));
    Ctx.KeyLookedUp = opened || opened.failure().Place != toText(Target.Where);
    if (!opened)
      co_return opened.failure();
    std::unique_ptr<DaemonResponseStream> stream = *std::move(opened);
    ActiveStreamScope scope(Ctx, *stream);
    if (Ctx.Response.gone())
      co_return Ctx.Response.makeCallerLeftFailure();
    bool relaysEvents = Ctx.Match.Streamed && isEventStream(stream->head());
    if (relaysEvents)
      co_return co_await relayEvents(Ctx, *stream);
    co_return co_await relayResponse(Ctx, *stream);
  }

  /// Relays a response that is not a completion stream. Buffers up to
  /// `MaxBufferedBytes`, then streams.
  asio::awaitable<AttemptOutcome> relayResponse(CallContext &Ctx,
                                                DaemonResponseStream &Stream) {
    // Only an event stream can resume an interrupted stream.
    if (Ctx.Response.started())
      co_return Failure{
          Verdict::MayHaveRun,
          FailureCode::Internal,
          Ctx.RequestId,
          "the response to a resumed stream is not an event stream",
          {}};
    http::Response response = Stream.head();
    for (;;) {
      Outcome<std::optional<std::string>> chunk =
          co_await Stream.next(timeLeft(Ctx));
      if (!chunk)
        co_return chunk.failure();
      if (!chunk->has_value())
        break;
      if (Ctx.Response.started()) {
        Outcome<Done> written = co_await Ctx.Response.write(**std::move(chunk));
        if (!written)
          co_return written;
        continue;
      }
      response.Body += **chunk;
      if (response.Body.size() <= Setup.MaxBufferedBytes)
        continue;
      std::string body = std::move(response.Body);
      Outcome<Done> started = co_await Ctx.Response.begin(response);
      if (!started)
        co_return started;
      Outcome<Done> written = co_await Ctx.Response.write(std::move(body));
      if (!written)
        co_return written;
    }
    if (Ctx.Response.started())
      co_return co_await Ctx.Response.end();
    co_return co_await Ctx.Response.send(std::move(response));
  }

  /// Relays a completion stream event by event and tracks its progress.
  asio::awaitable<AttemptOutcome> relayEvents(CallContext &Ctx,
                                              DaemonResponseStream &Stream) {
    if (!Ctx.ResumableStream) {
      Ctx.ResumableStream = true;
      Outcome<Done> started = co_await Ctx.Response.begin(Stream.head());
      if (!started)
        co_return started;
    }
    EventSplitter splitter;
    for (;;) {
      Outcome<std::optional<std::string>> chunk =
          co_await Stream.next(timeLeft(Ctx));
      if (!chunk)
        co_return chunk.failure();
      if (!chunk->has_value())
        break;
      std::string forwarded;
      Outcome<Done> applied =
          applyEvents(Ctx, splitter.feed(**chunk), forwarded);
      if (!forwarded.empty()) {
        Outcome<Done> written =
            co_await Ctx.Response.write(std::move(forwarded));
        if (!written)
          co_return written;
      }
      if (!applied)
        co_return applied;
    }
    if (!Ctx.Progress.Done || splitter.hasPartialEvent())
      co_return Failure{Verdict::Ran,
                        FailureCode::ConnectionLost,
                        "event stream",
                        "the stream ended without its end event",
                        {}};
    co_return co_await Ctx.Response.end();
  }

  static Outcome<Done> applyEvents(CallContext &Ctx,
                                   const std::vector<std::string> &Events,
                                   std::string &Forwarded) {
    for (const std::string &it : Events) {
      Outcome<CompletionProgress> next =
          applyStreamEvent(std::move(Ctx.Progress), it);
      if (!next)
        return next.failure();
      Ctx.Progress = *std::move(next);
      Forwarded += it;
    }
    return Done{};
  }

  asio::awaitable<void> finish(CallContext &Ctx, Outcome<Done> End) {
    if (!Ctx.Response.gone())
      Ctx.Response.onGone([] {});
    std::string verdict = "ran";
    bool complete = static_cast<bool>(End);
    if (complete) {
      Counts.CompleteResponses.add();
      Counts.RequestSeconds.observe(
          std::chrono::duration<double>(monotonicNow() - Ctx.StartedAt)
              .count());
    } else if (Ctx.Response.gone()) {
      Counts.CallersLeft.add();
      verdict = toText(End.failure().Run);
    } else if (Ctx.Response.started()) {
      // Aborts the connection so that the caller does not mistake the partial
      // response for a complete one.
      Counts.Aborted.add();
      verdict = toText(End.failure().Run);
      Ctx.Response.abort();
    } else {
      verdict = toText(End.failure().Run);
      countRefusal(End.failure().Run);
      co_await Ctx.Response.refuse(End.failure());
    }
    Millis took =
        std::chrono::duration_cast<Millis>(monotonicNow() - Ctx.StartedAt);
    Events.record("request.done",
                  {{"request", Ctx.RequestId},
                   {"status", std::to_string(Ctx.Response.status())},
                   {"verdict", verdict},
                   {"bytes", std::to_string(Ctx.Response.bytes())},
                   {"whole", complete ? "true" : "false"},
                   {"ms", std::to_string(took.count())}});
  }

  void countRefusal(Verdict Run) {
    switch (Run) {
    case Verdict::NotRun:
      return Counts.NotRun.add();
    case Verdict::MayHaveRun:
      return Counts.MayHaveRun.add();
    case Verdict::Ran:
      return Counts.Ran.add();
    }
  }

  void onLoadReport(const Address &Where,
                    const std::vector<ReportedLoad> &Loads, bool Leaving) {
    std::map<Address, InstanceName>::const_iterator it = Instances.find(Where);
    if (it == Instances.end())
      return;
    for (const ReportedLoad &load : Loads)
      noteLoad(Balancer, ServerKey{it->second, load.Server}, load);
    if (Leaving)
      noteLeaving(Balancer, it->second);
  }

  /// Connects to all candidate daemons in advance, so that load reports arrive
  /// before the first request.
  asio::awaitable<void> refreshLoop() {
    while (!Stopped) {
      refreshCandidates();
      for (const std::pair<const Address, InstanceName> &it : Instances)
        Client->connectAhead(it.first);
      RefreshTimer.expires_after(Setup.RefreshInterval);
      co_await RefreshTimer.async_wait(Awaited);
    }
  }

  asio::io_context &Context;
  const Settings Setup;
  const ControlPlaneReader Reader;
  Timeline &Events;
  EntryMetrics Counts;
  std::mt19937_64 Random;
  std::shared_ptr<RequestClient> Client;
  BalancerState Balancer;
  RetryBudget Budget;
  PrefixHints Hints;
  CallerLimits Limits;
  std::shared_ptr<const View> LastView;
  std::map<ServiceName, std::vector<Candidate>> CandidatesByService;
  std::map<Address, InstanceName> Instances;
  BootTimer RefreshTimer;
  std::atomic<std::size_t> InFlight{0};
  std::uint64_t LastRequestId = 0;
  bool Stopped = false;
};

} // namespace

ControlPlaneReader makeControlPlaneReader(ControlPlane &Control) {
  return ControlPlaneReader{[&Control] { return Control.state(); },
                            [&Control] { return Control.view(); },
                            [&Control](InstanceName Name) {
                              Control.noteUnreachable(std::move(Name));
                            }};
}

std::shared_ptr<EntryProxy> EntryProxy::create(asio::io_context &Context,
                                               Settings Setup,
                                               ControlPlaneReader Reader,
                                               Timeline &Events,
                                               Metrics &Counts) {
  std::shared_ptr<EntryProxyImpl> proxy = std::make_shared<EntryProxyImpl>(
      Context, std::move(Setup), std::move(Reader), Events, Counts);
  proxy->start();
  return proxy;
}

} // namespace wasabi
