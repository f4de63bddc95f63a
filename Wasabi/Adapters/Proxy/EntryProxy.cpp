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

/// One caller's request on its way.
struct Call {
  std::string Name;
  RouteMatch Match;
  http::Request Ask;
  CallerResponse Answer;
  TimePoint Began;
  TimePoint Until;
  std::int32_t Priority = 0;
  std::uint32_t Attempts = 0;
  std::vector<Candidate> Tried;
  /// How far a streamed completion has come.
  CompletionProgress Progress;
  /// Its events have begun to reach the caller: it can be resumed elsewhere.
  bool Followed = false;
  /// A daemon has looked its key up, so that its verdict holds for the key.
  bool KeyLookedUp = false;
  /// The attempt whose answer is being read, for cancelling.
  DaemonResponseStream *Reading = nullptr;

  /// Whether its key makes it run once.
  bool keyed() const { return !Match.Key.empty() && !Match.Idempotent; }
};

/// Marks the stream being read, for as long as it lives.
class ReadingMark {
public:
  ReadingMark(Call &What, DaemonResponseStream &Stream) : What(What) {
    What.Reading = &Stream;
  }
  ReadingMark(const ReadingMark &) = delete;
  ReadingMark &operator=(const ReadingMark &) = delete;
  ~ReadingMark() { What.Reading = nullptr; }

private:
  Call &What;
};

/// How one attempt ended: the whole answer reached the caller, or not.
using AttemptEnd = Outcome<Done>;

/// Whether a further attempt can help and may do no harm.
bool mayRetry(const Failure &Why, bool Idempotent) {
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
                 ControlPlaneReader Source, Timeline &Events, Metrics &Registry)
      : Context(Context), Setup(std::move(Setup)), Source(std::move(Source)),
        Events(Events), Counts(Registry), Random(this->Setup.Seed),
        Hints(PrefixHints::Settings()), Refresh(Context) {
    Budget = makeRetryBudget(this->Setup.Retries);
    Choices.Settings = this->Setup.Choice;
    Choices.Own = this->Setup.Domain;
    RequestClient::Settings client;
    client.Instance = this->Setup.Instance;
    client.Domain = this->Setup.Domain;
    client.Life = this->Setup.Life;
    client.Seed = this->Setup.Seed;
    Client = RequestClient::create(Context.get_executor(), client);
  }

  void start() {
    Client->onLoad([this](const Address &Where,
                          const std::vector<ReportedLoad> &Loads,
                          bool Leaving) { takeLoads(Where, Loads, Leaving); });
    std::shared_ptr<EntryProxyImpl> self =
        std::static_pointer_cast<EntryProxyImpl>(shared_from_this());
    asio::co_spawn(
        Context, [self]() -> asio::awaitable<void> { return self->refresh(); },
        asio::detached);
  }

  asio::awaitable<void> handle(http::Request Ask,
                               std::shared_ptr<http::Responder> Out) override {
    std::shared_ptr<EntryProxyImpl> self =
        std::static_pointer_cast<EntryProxyImpl>(shared_from_this());
    InFlight.fetch_add(1, std::memory_order_relaxed);
    Counts.Received.add();
    Call call;
    call.Name = nextName();
    call.Ask = std::move(Ask);
    call.Answer = CallerResponse(std::move(Out), call.Name);
    call.Began = monotonicNow();
    Outcome<Done> end = accept(call);
    if (end)
      end = co_await serve(call);
    if (!end && call.keyed() && !call.KeyLookedUp)
      end = downgradeUnprovenFailure(end.failure());
    co_await finish(call, std::move(end));
    InFlight.fetch_sub(1, std::memory_order_relaxed);
  }

  std::size_t inFlight() const override {
    return InFlight.load(std::memory_order_relaxed);
  }

  void stop() override {
    Stopped = true;
    Refresh.cancel();
    Client->stop();
  }

private:
  std::string nextName() {
    return Setup.Instance.Text + "-" + std::to_string(Setup.Life) + "-" +
           std::to_string(++LastName);
  }

  /// Decides whether the request is taken at all.
  Outcome<Done> accept(Call &What) {
    std::shared_ptr<const FoldState> state = Source.State();
    const Configuration &declared = *state->Config;
    Outcome<RouteMatch> match = matchRoute(declared, What.Ask);
    if (!match)
      return match.failure();
    What.Match = *std::move(match);
    What.Until = What.Began + What.Match.Deadline;
    What.Priority = declared.preset().CallerPriority;
    What.Ask.Target = What.Match.Target;
    Events.record("request.received",
                  {{"request", What.Name},
                   {"service", What.Match.Service.Text},
                   {"caller", What.Match.Caller},
                   {"idempotent", What.Match.Idempotent ? "true" : "false"},
                   {"key", What.Match.Key}});
    if (!declared.preset().AdmitCallers)
      return Failure{Verdict::NotRun, FailureCode::Unavailable,
                     "preset " + declared.ActivePreset.Text,
                     "it takes no callers' requests", Millis(5000)};
    std::size_t entries = countLiveEntries(*Source.Members());
    std::optional<Millis> wait = Limits.take(declared.Limits, What.Match.Caller,
                                             entries, monotonicNow());
    if (wait) {
      Counts.RateLimited.add();
      return Failure{Verdict::NotRun, FailureCode::Overloaded,
                     "caller " + What.Match.Caller,
                     "it asks more than its declared limit", *wait};
    }
    if (What.Match.Streamed) {
      Outcome<CompletionProgress> begin = parseInitialProgress(What.Ask.Body);
      if (!begin)
        return begin.failure();
      What.Progress = *std::move(begin);
    }
    removeHopByHopHeaders(What.Ask.Headers);
    if (What.Ask.header("X-Request-Id").empty())
      What.Ask.Headers.push_back({"X-Request-Id", What.Name});
    return Done{};
  }

  /// Attempts until there is a whole answer, or nothing more may be tried.
  asio::awaitable<Outcome<Done>> serve(Call &What) {
    What.Answer.onGone([this, &What] {
      Client->cancel(What.Name);
      if (What.Reading)
        What.Reading->cancel();
    });
    for (;;) {
      AttemptEnd end = co_await attempt(What);
      if (end || What.Answer.gone())
        co_return end;
      Failure why = end.failure();
      if (!mayTryAgain(What, why))
        co_return why;
      Budget = spend(Budget);
      Counts.Retries.add();
      Events.record("request.retry",
                    {{"request", What.Name},
                     {"attempt", std::to_string(What.Attempts)},
                     {"verdict", std::string(toText(why.Run))},
                     {"reason", why.Reason}});
    }
  }

  bool mayTryAgain(const Call &What, const Failure &Why) {
    // Once bytes have reached the caller, only a stream that is followed
    // token by token can go on elsewhere.
    if (What.Answer.begun() && !What.Followed)
      return false;
    if (What.keyed() || !mayRetry(Why, What.Match.Idempotent))
      return false;
    if (What.Attempts >= Setup.MaxAttempts || monotonicNow() >= What.Until)
      return false;
    if (!nextCandidate(What))
      return false;
    if (canSpend(Budget))
      return true;
    Counts.RetryBudgetRefusals.add();
    return false;
  }

  const std::vector<Candidate> &candidates(const ServiceName &Service) {
    static const std::vector<Candidate> None;
    refreshCandidates();
    std::map<ServiceName, std::vector<Candidate>>::const_iterator it =
        Known.find(Service);
    return it == Known.end() ? None : it->second;
  }

  /// Reads the view again when it is another one.
  void refreshCandidates() {
    std::shared_ptr<const View> now = Source.Members();
    if (now == Seen)
      return;
    Seen = now;
    Known = findCandidates(*now);
    retainServers(Choices, Known, monotonicNow());
    Instances.clear();
    for (const std::pair<const ServiceName, std::vector<Candidate>> &service :
         Known) {
      for (const Candidate &it : service.second)
        Instances[it.Where] = it.Key.Instance;
    }
  }

  std::optional<Candidate> nextCandidate(const Call &What) {
    const std::vector<Candidate> &all = candidates(What.Match.Service);
    TimePoint now = monotonicNow();
    // A key has one home, whichever entry it comes through.
    if (What.keyed())
      return findHomeCandidate(What.Match.Key, all);
    std::optional<ServerKey> cached;
    if (!What.Match.Prompt.empty())
      cached = holderOf(hashPromptPrefix(What.Match.Prompt), all, now);
    std::optional<Candidate> chosen = chooseCandidate(
        Choices, all, What.Tried, cached, now, Random, What.Match.Caller);
    if (chosen && cached && chosen->Key == *cached)
      Counts.PrefixPlacements.add();
    return chosen;
  }

  /// Where a prefix was placed last, else its home, which is the same for every
  /// entry: they need not tell each other where they have placed one.
  std::optional<ServerKey> holderOf(std::uint64_t Prefix,
                                    const std::vector<Candidate> &Of,
                                    TimePoint Now) {
    std::optional<ServerKey> placed = Hints.find(Prefix, Now);
    if (placed)
      return placed;
    std::optional<Candidate> home =
        findHomeCandidate(std::to_string(Prefix), Of);
    return home ? std::optional<ServerKey>(home->Key) : std::nullopt;
  }

  Failure nobody(const Call &What) {
    const std::vector<Candidate> &all = candidates(What.Match.Service);
    Millis wait =
        timeUntilAvailable(Choices, all, monotonicNow(), What.Match.Caller);
    return Failure{Verdict::NotRun, FailureCode::NoUpstream,
                   "service " + What.Match.Service.Text,
                   all.empty() ? "no server of it is known"
                               : "no server of it takes work now",
                   wait};
  }

  asio::awaitable<AttemptEnd> attempt(Call &What) {
    std::optional<Candidate> chosen = nextCandidate(What);
    if (!chosen)
      co_return nobody(What);
    const Candidate who = *chosen;
    ++What.Attempts;
    What.Tried.push_back(who);
    Counts.Attempts.add();
    if (who.Domain != Setup.Domain)
      Counts.CrossDomain.add();
    Events.record("request.attempt",
                  {{"request", What.Name},
                   {"attempt", std::to_string(What.Attempts)},
                   {"instance", who.Key.Instance.Text},
                   {"server", who.Key.Server.Text}});
    if (!What.Match.Prompt.empty())
      Hints.place(hashPromptPrefix(What.Match.Prompt), who.Key, monotonicNow());

    TimePoint began = monotonicNow();
    noteStart(Choices, who, began);
    AttemptEnd end = co_await exchange(What, who);
    if (end) {
      TimePoint now = monotonicNow();
      noteSuccess(Choices, who, now - began, now);
      Budget = addSuccess(Budget);
    } else if (What.Answer.gone()) {
      noteAbandoned(Choices, who);
    } else {
      noteFailure(Choices, who, end.failure(), candidates(What.Match.Service),
                  monotonicNow(), What.Match.Caller);
    }
    co_return end;
  }

  RequestAttempt makeAttempt(const Call &What, const Candidate &Who) {
    RequestAttempt attempt;
    attempt.Request = What.Name;
    attempt.Attempt = What.Attempts;
    attempt.Service = What.Match.Service;
    attempt.Server = Who.Key.Server;
    attempt.Http = What.Ask;
    attempt.Idempotent = What.Match.Idempotent;
    attempt.Key = What.Match.Key;
    attempt.Deadline = timeLeft(What);
    attempt.Priority = What.Priority;
    attempt.Caller = What.Match.Caller;
    if (What.Followed) {
      attempt.Http.Body = makeResumeBody(What.Ask.Body, What.Progress);
      Counts.Resumed.add();
    }
    return attempt;
  }

  static Millis timeLeft(const Call &What) {
    Millis left = std::chrono::ceil<Millis>(What.Until - monotonicNow());
    return std::max(left, Millis(0));
  }

  asio::awaitable<AttemptEnd> exchange(Call &What, const Candidate &Who) {
    RequestAttempt attempt = makeAttempt(What, Who);
    if (attempt.Deadline <= Millis(0))
      co_return Failure{Verdict::NotRun,
                        FailureCode::Expired,
                        What.Name,
                        "its deadline is over",
                        {}};
    Outcome<std::unique_ptr<DaemonResponseStream>> opened =
        co_await Client->open(Who.Where, std::move(attempt));
    What.KeyLookedUp = opened || opened.failure().Place != toText(Who.Where);
    if (!opened)
      co_return opened.failure();
    std::unique_ptr<DaemonResponseStream> stream = *std::move(opened);
    ReadingMark mark(What, *stream);
    if (What.Answer.gone())
      co_return What.Answer.callerLeft();
    bool events = What.Match.Streamed && isEventStream(stream->head());
    if (events)
      co_return co_await relayEvents(What, *stream);
    co_return co_await relayWhole(What, *stream);
  }

  /// Any answer but a followed stream: put together up to a bound, then passed
  /// on in pieces.
  asio::awaitable<AttemptEnd> relayWhole(Call &What,
                                         DaemonResponseStream &From) {
    // What goes on from a broken stream must be a stream itself.
    if (What.Answer.begun())
      co_return Failure{Verdict::MayHaveRun,
                        FailureCode::Internal,
                        What.Name,
                        "a resumed stream was answered by something else",
                        {}};
    http::Response whole = From.head();
    for (;;) {
      Outcome<std::optional<std::string>> piece =
          co_await From.next(timeLeft(What));
      if (!piece)
        co_return piece.failure();
      if (!piece->has_value())
        break;
      if (What.Answer.begun()) {
        Outcome<Done> written = co_await What.Answer.write(**std::move(piece));
        if (!written)
          co_return written;
        continue;
      }
      whole.Body += **piece;
      if (whole.Body.size() <= Setup.MaxBufferedBytes)
        continue;
      std::string body = std::move(whole.Body);
      Outcome<Done> begun = co_await What.Answer.begin(whole);
      if (!begun)
        co_return begun;
      Outcome<Done> written = co_await What.Answer.write(std::move(body));
      if (!written)
        co_return written;
    }
    if (What.Answer.begun())
      co_return co_await What.Answer.end();
    co_return co_await What.Answer.send(std::move(whole));
  }

  /// A completion's stream: whole events are passed on at once, and counted.
  asio::awaitable<AttemptEnd> relayEvents(Call &What,
                                          DaemonResponseStream &From) {
    if (!What.Followed) {
      What.Followed = true;
      Outcome<Done> begun = co_await What.Answer.begin(From.head());
      if (!begun)
        co_return begun;
    }
    EventSplitter splitter;
    for (;;) {
      Outcome<std::optional<std::string>> piece =
          co_await From.next(timeLeft(What));
      if (!piece)
        co_return piece.failure();
      if (!piece->has_value())
        break;
      std::string passed;
      Outcome<Done> taken = takeEvents(What, splitter.feed(**piece), passed);
      if (!passed.empty()) {
        Outcome<Done> written = co_await What.Answer.write(std::move(passed));
        if (!written)
          co_return written;
      }
      if (!taken)
        co_return taken;
    }
    if (!What.Progress.Done || splitter.hasPartialEvent())
      co_return Failure{Verdict::Ran,
                        FailureCode::ConnectionLost,
                        "event stream",
                        "it ended without its end event",
                        {}};
    co_return co_await What.Answer.end();
  }

  static Outcome<Done> takeEvents(Call &What,
                                  const std::vector<std::string> &Events,
                                  std::string &Passed) {
    for (const std::string &it : Events) {
      Outcome<CompletionProgress> next =
          applyStreamEvent(std::move(What.Progress), it);
      if (!next)
        return next.failure();
      What.Progress = *std::move(next);
      Passed += it;
    }
    return Done{};
  }

  asio::awaitable<void> finish(Call &What, Outcome<Done> End) {
    if (!What.Answer.gone())
      What.Answer.onGone([] {});
    std::string verdict = "ran";
    bool whole = static_cast<bool>(End);
    if (whole) {
      Counts.Whole.add();
      Counts.Seconds.observe(
          std::chrono::duration<double>(monotonicNow() - What.Began).count());
    } else if (What.Answer.gone()) {
      Counts.Left.add();
      verdict = toText(End.failure().Run);
    } else if (What.Answer.begun()) {
      // Never ended normally: the caller must not take it for whole.
      Counts.Aborted.add();
      verdict = toText(End.failure().Run);
      What.Answer.abort();
    } else {
      verdict = toText(End.failure().Run);
      countRefusal(End.failure().Run);
      co_await What.Answer.refuse(End.failure());
    }
    Millis took =
        std::chrono::duration_cast<Millis>(monotonicNow() - What.Began);
    Events.record("request.done",
                  {{"request", What.Name},
                   {"status", std::to_string(What.Answer.status())},
                   {"verdict", verdict},
                   {"bytes", std::to_string(What.Answer.bytes())},
                   {"whole", whole ? "true" : "false"},
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

  void takeLoads(const Address &Where, const std::vector<ReportedLoad> &Loads,
                 bool Leaving) {
    std::map<Address, InstanceName>::const_iterator it = Instances.find(Where);
    if (it == Instances.end())
      return;
    for (const ReportedLoad &load : Loads)
      noteLoad(Choices, ServerKey{it->second, load.Server}, load);
    if (Leaving)
      noteLeaving(Choices, it->second);
  }

  /// Connects ahead, so that loads flow before the first request.
  asio::awaitable<void> refresh() {
    while (!Stopped) {
      refreshCandidates();
      for (const std::pair<const Address, InstanceName> &it : Instances)
        Client->connectAhead(it.first);
      Refresh.expires_after(Setup.RefreshInterval);
      co_await Refresh.async_wait(Awaited);
    }
  }

  asio::io_context &Context;
  const Settings Setup;
  const ControlPlaneReader Source;
  Timeline &Events;
  EntryMetrics Counts;
  std::mt19937_64 Random;
  std::shared_ptr<RequestClient> Client;
  BalancerState Choices;
  RetryBudget Budget;
  PrefixHints Hints;
  CallerLimits Limits;
  std::shared_ptr<const View> Seen;
  std::map<ServiceName, std::vector<Candidate>> Known;
  std::map<Address, InstanceName> Instances;
  BootTimer Refresh;
  std::atomic<std::size_t> InFlight{0};
  std::uint64_t LastName = 0;
  bool Stopped = false;
};

} // namespace

ControlPlaneReader sourceOf(ControlPlane &Control) {
  return ControlPlaneReader{[&Control] { return Control.state(); },
                            [&Control] { return Control.view(); },
                            [&Control](InstanceName Who) {
                              Control.noteUnreachable(std::move(Who));
                            }};
}

std::shared_ptr<EntryProxy> EntryProxy::create(asio::io_context &Context,
                                               Settings Setup,
                                               ControlPlaneReader Source,
                                               Timeline &Events,
                                               Metrics &Counts) {
  std::shared_ptr<EntryProxyImpl> proxy = std::make_shared<EntryProxyImpl>(
      Context, std::move(Setup), std::move(Source), Events, Counts);
  proxy->start();
  return proxy;
}

} // namespace wasabi
