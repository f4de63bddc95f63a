#include "Wasabi/Upstream/Forwarder.h"

#include "Wasabi/Core/AsyncSignal.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace wasabi {

namespace asio = boost::asio;

namespace {

constexpr unsigned BadGateway = 502;
constexpr unsigned ServiceUnavailable = 503;
constexpr unsigned GatewayTimeout = 504;
constexpr unsigned FirstServerError = 500;

/// Answers are sent this long before the route's timeout is up, so that they
/// arrive within it.
constexpr Millis AnswerMargin{30};

double millisSince(TimePoint Start) {
  return std::chrono::duration<double, std::milli>(monotonicNow() - Start)
      .count();
}

Millis until(TimePoint When) {
  return std::chrono::duration_cast<Millis>(When - monotonicNow());
}

std::string errorBody(std::string_view Reason) {
  boost::json::value body = {{"error", Reason}};
  return boost::json::serialize(body);
}

Failure callerLeft() {
  return Failure{Verdict::MayHaveRun,
                 FailureCode::Cancelled,
                 "caller",
                 "the caller has left",
                 {}};
}

bool mayRepeat(const UpstreamRoute &Route) {
  return Route.Kind != RouteKind::NonIdempotent &&
         (Route.Kind != RouteKind::Streaming || Route.Resumable);
}

} // namespace

http::Response refusal(std::string_view Reason, Millis RetryAfter) {
  http::Response answer =
      http::jsonResponse(ServiceUnavailable, errorBody(Reason));
  answer.Headers.push_back(
      {"Retry-After",
       fmt::format("{:.3f}",
                   std::chrono::duration<double>(RetryAfter).count())});
  return answer;
}

http::Response failureAnswer(unsigned Status, std::string_view Reason) {
  return http::jsonResponse(Status, errorBody(Reason));
}

struct Forwarder::Progress {
  ForwardRequest What;
  UpstreamRoute Route;
  ServiceName Service;
  TimePoint Deadline;
  std::set<ServerIncarnation> Tried;
  /// Tries that may have run.
  std::uint32_t Runs = 0;
  /// Tries that certainly did not.
  std::uint32_t Unrun = 0;
  std::shared_ptr<UpstreamServer> Server;
  std::shared_ptr<GuardedRequest> Guard;
  /// How it was counted as running, once; empty while it is not.
  std::optional<UsageEntry> Counted;

  Progress(ForwardRequest What, UpstreamRoute Route, ServiceName Service)
      : What(std::move(What)), Route(std::move(Route)),
        Service(std::move(Service)) {
    Millis patience = this->What.Patience.value_or(this->Route.Timeout);
    Deadline = this->What.Arrived + std::min(patience, this->Route.Timeout) -
               AnswerMargin;
    Guard = std::make_shared<GuardedRequest>(
        GuardedRequest{digestOf(this->What.Ask, customer()), this->What.Id});
  }

  /// Whose request it is; empty for nobody's.
  CustomerName customer() const {
    return What.By ? What.By->Name : CustomerName();
  }

  bool mayTry(const Settings &Limits) const {
    return Runs < std::max<std::uint32_t>(Route.MaxAttempts, 1) &&
           Unrun < Limits.MaxUnrun && monotonicNow() < Deadline &&
           (Runs == 0 || mayRepeat(Route));
  }
};

Forwarder::Forwarder(Parts With, Settings Limits)
    : Limits(Limits), Executor(std::move(With.Executor)), View(With.View),
      Engines(std::move(With.Engines)), Crashes(std::move(With.Crashes)),
      Decisions(std::move(With.Decisions)), Counts(With.Counts),
      Usage(std::move(With.Usage)), Random(wallMicros()) {}

std::shared_ptr<Forwarder> Forwarder::create(Parts With, Settings Limits) {
  return std::shared_ptr<Forwarder>(new Forwarder(std::move(With), Limits));
}

/// Counts the request for its customer: a server begins to run it.
void Forwarder::count(Progress &Of) const {
  if (Usage && Of.What.By && !Of.Counted)
    Of.Counted = Usage->began(Of.What.By->Name);
}

/// No server has run it.
void Forwarder::withdraw(Progress &Of) const {
  if (!Of.Counted || Of.Runs > 0)
    return;
  Usage->withdraw(*Of.Counted);
  Of.Counted.reset();
}

/// Why no server may have the request; empty if one may.
std::optional<Failure> Forwarder::quarantined(const Progress &Of) const {
  if (Crashes->standing(Of.Guard->Digest) != CrashStanding::Quarantined)
    return std::nullopt;
  return Crashes->refuse(Of.Guard->Digest);
}

std::shared_ptr<UpstreamServer> Forwarder::nextServer(Progress &Of) {
  TimePoint now = monotonicNow();
  std::set<ServerIncarnation> apart = Crashes->suspectsAt();
  apart.insert(Of.Tried.begin(), Of.Tried.end());
  std::shared_ptr<UpstreamServer> server = chooseServer(
      View.Servers, Of.Service, View.Domain, apart, View.Contact, now);
  if (!server && apart.size() > Of.Tried.size())
    server = chooseServer(View.Servers, Of.Service, View.Domain, Of.Tried,
                          View.Contact, now);
  if (server || Of.Tried.empty() || Of.Runs == 0)
    return server;
  // Every server had its turn, and one of them may do better the second time.
  Of.Tried.clear();
  return chooseServer(View.Servers, Of.Service, View.Domain, Of.Tried,
                      View.Contact, now);
}

Millis Forwarder::tryTime(const Progress &Of) const {
  Millis left = until(Of.Deadline);
  bool last = Of.Runs + 1 >= Of.Route.MaxAttempts || !mayRepeat(Of.Route);
  if (last)
    return left;
  Millis share = std::chrono::duration_cast<Millis>(left * Limits.TryShare);
  return std::min(left, std::max(Limits.LeastTry, share));
}

void Forwarder::note(const Progress &Of, std::string_view Outcome,
                     unsigned Status) {
  Decisions->line(
      "request.done",
      {{"request", Of.What.Id},
       {"route", Of.Route.Name},
       {"customer", Of.customer().Text},
       {"service", Of.Service.Text},
       {"server", Of.Server ? Of.Server->Entry.Id.Text : ""},
       {"outcome", std::string(Outcome)},
       {"status", std::to_string(Status)},
       {"runs", std::to_string(Of.Runs)},
       {"unrun", std::to_string(Of.Unrun)},
       {"took_ms", fmt::format("{:.1f}", millisSince(Of.What.Arrived))}});
  Counts
      .counter("requests_total", "Requests answered, by outcome",
               {{"outcome", std::string(Outcome)}})
      .add();
  Counts.quantiles("request_ms", "Milliseconds from arrival to answer")
      .observe(millisSince(Of.What.Arrived));
}

asio::awaitable<std::optional<Outcome<UpstreamAnswer>>>
Forwarder::tryOnce(Progress &Of, asio::cancellation_signal &Stop) {
  std::shared_ptr<UpstreamServer> server = Of.Server;
  SendOptions options;
  options.Deadline = until(Of.Deadline);
  options.RequestId = Of.What.Id;
  options.Customer = Of.customer();
  TimePoint began = monotonicNow();
  std::unique_ptr<Quarantine::SuspectRun> suspect =
      Crashes->beginRun(Of.Guard->Digest, server->Entry.incarnation());
  ++server->InFlight;
  count(Of);
  std::optional<Outcome<UpstreamAnswer>> got = co_await cancellable(
      Executor, Engines.Call(server->Entry, Of.What.Ask, options, tryTime(Of)),
      Stop);
  --server->InFlight;
  suspect.reset();
  if (!got)
    co_return got;
  bool unrun = *got ? (*got)->Proof == AnswerProof::NotRun
                    : got->failure().Run == Verdict::NotRun;
  ++(unrun ? Of.Unrun : Of.Runs);
  withdraw(Of);
  Of.Tried.insert(server->Entry.incarnation());
  if (*got && (*got)->Response.Status == MisdirectedStatus)
    server->Replaced = true;
  if (*got && (*got)->Proof == AnswerProof::Ran)
    noteSuccess(View.Servers, *server, millisSince(began));
  else if (!*got || (*got)->Proof == AnswerProof::Nothing)
    wasabi::noteFailure(View.Servers, *server, monotonicNow());
  Decisions->line("request.try",
                  {{"request", Of.What.Id},
                   {"server", server->Entry.Id.Text},
                   {"result", *got ? std::to_string((*got)->Response.Status)
                                   : describe(got->failure())},
                   {"unrun", unrun ? "yes" : "no"},
                   {"took_ms", fmt::format("{:.1f}", millisSince(began))}});
  if (!*got && !unrun)
    Decisions->line("request.lost",
                    {{"request", Of.What.Id},
                     {"digest", Of.Guard->Digest.Text},
                     {"server", server->Entry.Id.Text},
                     {"start", std::to_string(server->Entry.Start)},
                     {"beside", std::to_string(server->InFlight)}});
  if (*got && (*got)->Proof == AnswerProof::Ran)
    Crashes->answered(*Of.Guard);
  bool stays = true;
  if (!*got)
    stays = co_await lookAtEnd(Of, got->failure(), Stop);
  if (!stays)
    co_return std::nullopt;
  co_return got;
}

/// After a failed try: finds out whether its server has ended. An end that is
/// not told from a lost answer calls for another server, which ends too. False
/// when the caller has left meanwhile.
asio::awaitable<bool> Forwarder::lookAtEnd(Progress &Of, const Failure &Why,
                                           asio::cancellation_signal &Stop) {
  if (Why.Code != FailureCode::ConnectionLost || Why.Run == Verdict::NotRun)
    co_return true;
  asio::awaitable<Done> look = Crashes->connectionLost(Of.Guard, Of.Server);
  std::optional<Done> done =
      co_await cancellable(Executor, std::move(look), Stop);
  co_return done.has_value();
}

asio::awaitable<Outcome<UpstreamAnswer>>
Forwarder::answer(ForwardRequest What, UpstreamRoute Route,
                  asio::cancellation_signal &Stop) {
  std::shared_ptr<Forwarder> self = shared_from_this();
  ServiceName service =
      pickService(Route, std::uniform_real_distribution<>()(Random));
  Progress at(std::move(What), std::move(Route), std::move(service));
  std::optional<UpstreamAnswer> failing;
  Failure why{Verdict::NotRun, FailureCode::NoUpstream, at.Service.Text,
              "no server of the service is there", Limits.RetryAfter};
  while (at.mayTry(Limits)) {
    if (std::optional<Failure> refused = quarantined(at)) {
      why = *refused;
      break;
    }
    at.Server = nextServer(at);
    if (!at.Server)
      break;
    std::optional<Outcome<UpstreamAnswer>> got = co_await tryOnce(at, Stop);
    if (!got) {
      note(at, "caller_left", 0);
      co_return callerLeft();
    }
    if (!*got) {
      why = got->failure();
      continue;
    }
    if ((*got)->Proof == AnswerProof::Ran) {
      if ((*got)->Response.Status < FirstServerError) {
        note(at, "answered", (*got)->Response.Status);
        co_return std::move(**got);
      }
      failing = std::move(**got);
      continue;
    }
    bool unrun = (*got)->Proof == AnswerProof::NotRun;
    why = Failure{unrun ? Verdict::NotRun : Verdict::MayHaveRun,
                  unrun ? FailureCode::Overloaded : FailureCode::ConnectionLost,
                  at.Server->Entry.Id.Text,
                  unrun ? "the server took no more work"
                        : "no whole answer to this request",
                  Limits.RetryAfter};
  }
  if (failing) {
    note(at, "server_error", failing->Response.Status);
    co_return std::move(*failing);
  }
  if (at.Runs > 0)
    why.Run = Verdict::MayHaveRun;
  if (monotonicNow() >= at.Deadline && why.Code != FailureCode::Quarantined)
    why.Code = FailureCode::TimedOut;
  note(at, toText(why.Code), 0);
  co_return why;
}

namespace {

http::Response answerOf(const Failure &Why, Millis RetryAfter) {
  if (Why.Run == Verdict::NotRun)
    return refusal(Why.Reason, std::max(RetryAfter, Why.RetryAfter));
  bool late = Why.Code == FailureCode::TimedOut;
  return failureAnswer(late ? GatewayTimeout : BadGateway, Why.Reason);
}

} // namespace

asio::awaitable<void> Forwarder::forward(ForwardRequest What,
                                         UpstreamRoute Route,
                                         std::shared_ptr<http::Responder> Out) {
  std::shared_ptr<Forwarder> self = shared_from_this();
  std::shared_ptr<asio::cancellation_signal> stop =
      std::make_shared<asio::cancellation_signal>();
  Out->onGone([stop] { stop->emit(asio::cancellation_type::terminal); });
  Outcome<UpstreamAnswer> got =
      co_await answer(std::move(What), std::move(Route), *stop);
  if (Out->gone())
    co_return;
  if (got)
    co_await Out->send(std::move(got->Response));
  else
    co_await Out->send(answerOf(got.failure(), Limits.RetryAfter));
}

//===--- Streams ----------------------------------------------------------===//

asio::awaitable<std::unique_ptr<EngineStream>>
Forwarder::openStream(Progress &Of, std::optional<std::uint64_t> After,
                      asio::cancellation_signal &Stop) {
  while (Of.mayTry(Limits) && !quarantined(Of)) {
    Of.Server = nextServer(Of);
    if (!Of.Server)
      break;
    std::shared_ptr<UpstreamServer> server = Of.Server;
    SendOptions options;
    options.Deadline = until(Of.Deadline);
    options.RequestId = Of.What.Id;
    options.Customer = Of.customer();
    options.ResumeAfter = After;
    std::unique_ptr<Quarantine::SuspectRun> suspect =
        Crashes->beginRun(Of.Guard->Digest, server->Entry.incarnation());
    ++server->InFlight;
    std::optional<Outcome<std::unique_ptr<EngineStream>>> got =
        co_await cancellable(
            Executor,
            Engines.Open(server->Entry, Of.What.Ask, options, tryTime(Of)),
            Stop);
    --server->InFlight;
    if (!got)
      break;
    Of.Tried.insert(server->Entry.incarnation());
    if (*got && (**got)->head().Proof == AnswerProof::Ran) {
      ++Of.Runs;
      co_return std::move(**got);
    }
    bool unrun = *got ? (**got)->head().Proof == AnswerProof::NotRun
                      : got->failure().Run == Verdict::NotRun;
    ++(unrun ? Of.Unrun : Of.Runs);
    if (*got && (**got)->head().Response.Status == MisdirectedStatus)
      server->Replaced = true;
    if (!unrun)
      wasabi::noteFailure(View.Servers, *server, monotonicNow());
    bool stays = true;
    if (!*got)
      stays = co_await lookAtEnd(Of, got->failure(), Stop);
    if (!stays)
      break;
  }
  co_return nullptr;
}

asio::awaitable<bool> Forwarder::passEvents(Progress &Of, EngineStream &From,
                                            std::uint64_t &Last,
                                            http::Responder &Out) {
  TimePoint began = monotonicNow();
  std::uint64_t before = Last;
  while (!Out.gone()) {
    Outcome<std::optional<EngineEvent>> event =
        co_await From.next(until(Of.Deadline));
    if (!event) {
      // A stream that isn't resumed begins anew each time.
      bool progress = Of.Route.Resumable && Last > before;
      bool lost = event.failure().Code == FailureCode::ConnectionLost;
      if (lost && Crashes->suspicious(began, progress))
        co_await Crashes->connectionLost(Of.Guard, Of.Server);
      co_return false;
    }
    if (!*event) {
      Crashes->answered(*Of.Guard);
      co_return true;
    }
    // Tokens are what a stream's customer pays for: it runs with the first.
    count(Of);
    Last = (*event)->Id;
    Outcome<Done> sent = co_await Out.write(std::move((*event)->Raw));
    if (!sent)
      co_return true;
  }
  co_return true;
}

asio::awaitable<void> Forwarder::relay(ForwardRequest What, UpstreamRoute Route,
                                       std::shared_ptr<http::Responder> Out) {
  constexpr unsigned Ok = 200;
  std::shared_ptr<Forwarder> self = shared_from_this();
  asio::cancellation_signal stop;
  ServiceName service =
      pickService(Route, std::uniform_real_distribution<>()(Random));
  Progress at(std::move(What), std::move(Route), std::move(service));
  std::unique_ptr<EngineStream> stream;
  // The caller may leave at any time, and the server's work stops with it.
  Out->onGone([&stop, &stream, self] {
    stop.emit(asio::cancellation_type::terminal);
    if (stream)
      stream->cancel();
  });
  stream = co_await openStream(at, std::nullopt, stop);
  if (Out->gone())
    co_return;
  if (!stream) {
    Failure why{at.Runs > 0 ? Verdict::MayHaveRun : Verdict::NotRun,
                FailureCode::NoUpstream, at.Service.Text,
                "no server took the request", Limits.RetryAfter};
    if (std::optional<Failure> refused = quarantined(at)) {
      refused->Run = why.Run;
      why = *refused;
    }
    note(at, "refused", 0);
    co_await Out->send(answerOf(why, Limits.RetryAfter));
    co_return;
  }
  if (stream->head().Response.Status != Ok) {
    Crashes->answered(*at.Guard);
    http::Response whole = stream->head().Response;
    note(at, "answered", whole.Status);
    co_await Out->send(std::move(whole));
    co_return;
  }
  co_await Out->begin(stream->head().Response);
  std::uint64_t last = 0;
  bool whole = co_await passEvents(at, *stream, last, *Out);
  while (!whole && !Out->gone() && at.Route.Resumable) {
    stream = co_await openStream(at, last, stop);
    if (!stream || stream->head().Response.Status != Ok)
      break;
    whole = co_await passEvents(at, *stream, last, *Out);
  }
  note(at, whole ? "streamed" : "broken_off", Ok);
  if (Out->gone())
    co_return;
  // A stream that is not whole must not look as if it were.
  if (whole)
    co_await Out->end();
  else
    Out->abort();
}

} // namespace wasabi
