#include "Wasabi/Upstream/Forwarder.h"

#include "Wasabi/Core/AsyncSignal.h"
#include "Wasabi/Upstream/ForwardProgress.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace wasabi {

namespace asio = boost::asio;

namespace {

constexpr unsigned BadGateway = 502;
constexpr unsigned ServiceUnavailable = 503;
constexpr unsigned GatewayTimeout = 504;
constexpr unsigned FirstServerError = 500;

double millisSince(TimePoint Start) {
  return std::chrono::duration<double, std::milli>(monotonicNow() - Start)
      .count();
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

} // namespace

http::Response makeRefusalResponse(std::string_view Reason, Millis RetryAfter) {
  http::Response answer =
      http::jsonResponse(ServiceUnavailable, errorBody(Reason));
  answer.Headers.push_back(
      {"Retry-After",
       fmt::format("{:.3f}",
                   std::chrono::duration<double>(RetryAfter).count())});
  return answer;
}

http::Response makeFailureResponse(unsigned Status, std::string_view Reason) {
  return http::jsonResponse(Status, errorBody(Reason));
}

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
  if (Usage && Of.What.Caller && !Of.Counted)
    Of.Counted = Usage->began(Of.What.Caller->Name);
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
  if (Crashes->crashStatus(Of.Guard->Digest) != CrashStatus::Quarantined)
    return std::nullopt;
  return Crashes->refuse(Of.Guard->Digest);
}

std::shared_ptr<UpstreamServer> Forwarder::nextServer(Progress &Of) {
  TimePoint now = monotonicNow();
  std::set<ServerIncarnation> apart = Crashes->suspectServers();
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

Millis Forwarder::attemptTimeout(const Progress &Of) const {
  Millis left = Of.left();
  bool last = Of.Runs + 1 >= Of.Route.MaxAttempts || !Of.mayRepeat();
  if (last)
    return left;
  Millis share =
      std::chrono::duration_cast<Millis>(left * Limits.AttemptTimeoutShare);
  return std::min(left, std::max(Limits.MinAttemptTimeout, share));
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
       {"unrun", std::to_string(Of.NotRunAttempts)},
       {"took_ms", fmt::format("{:.1f}", millisSince(Of.What.ArrivedAt))}});
  Counts
      .counter("requests_total", "Requests answered, by outcome",
               {{"outcome", std::string(Outcome)}})
      .add();
  Counts.quantiles("request_ms", "Milliseconds from arrival to answer")
      .observe(millisSince(Of.What.ArrivedAt));
}

asio::awaitable<std::optional<Outcome<UpstreamResponse>>>
Forwarder::tryOnce(Progress &Of, asio::cancellation_signal &Stop) {
  std::shared_ptr<UpstreamServer> server = Of.Server;
  SendOptions options;
  options.Deadline = Of.left();
  options.RequestId = Of.What.Id;
  options.Customer = Of.customer();
  TimePoint began = monotonicNow();
  std::unique_ptr<Quarantine::SuspectRun> suspect =
      Crashes->trackSuspectRun(Of.Guard->Digest, server->Entry.incarnation());
  ++server->InFlight;
  count(Of);
  std::optional<Outcome<UpstreamResponse>> got =
      co_await cancellable(Executor,
                           Engines.Call(server->Entry, Of.What.HttpRequest,
                                        options, attemptTimeout(Of)),
                           Stop);
  --server->InFlight;
  suspect.reset();
  if (!got)
    co_return got;
  bool unrun = *got ? (*got)->Proof == AnswerProof::NotRun
                    : got->failure().Run == Verdict::NotRun;
  ++(unrun ? Of.NotRunAttempts : Of.Runs);
  withdraw(Of);
  Of.Tried.insert(server->Entry.incarnation());
  bool elsewhere = *got && (*got)->Response.Status == MisdirectedStatus;
  if (elsewhere)
    server->Replaced = true;
  if (*got && unrun && !elsewhere)
    Of.Refused = true;
  if (*got && (*got)->Proof == AnswerProof::Ran)
    noteSuccess(View.Servers, *server, millisSince(began));
  else if (!*got || (*got)->Proof == AnswerProof::Unknown)
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
    stays = co_await checkServerCrash(Of, got->failure(), Stop);
  if (!stays)
    co_return std::nullopt;
  co_return got;
}

/// After a failed try: finds out whether its server has ended. An end that is
/// not told from a lost answer calls for another server, which ends too. False
/// when the caller has left meanwhile.
asio::awaitable<bool>
Forwarder::checkServerCrash(Progress &Of, const Failure &Why,
                            asio::cancellation_signal &Stop) {
  if (Why.Code != FailureCode::ConnectionLost || Why.Run == Verdict::NotRun)
    co_return true;
  asio::awaitable<Done> look = Crashes->onConnectionLost(Of.Guard, Of.Server);
  std::optional<Done> done =
      co_await cancellable(Executor, std::move(look), Stop);
  co_return done.has_value();
}

/// The gate of a service: how many requests of this process are there at once,
/// and who is next when its servers refuse some.
Forwarder::ServiceAdmission &
Forwarder::findOrCreateAdmission(const ServiceName &Of) {
  ServiceAdmission &to = Admissions[Of];
  if (!to.Gate) {
    Admission::Settings setup;
    setup.Concurrency = Limits.Concurrency;
    to.Gate = std::make_shared<AdmissionGate>(Executor, Of.Text, setup);
  }
  return to;
}

AdmissionRequest Forwarder::makeAdmissionRequest(const Progress &Of,
                                                 std::uint64_t Id) {
  // Between two priorities there is room for customers that are behind.
  constexpr std::int32_t Step = 2;
  AdmissionRequest ask;
  ask.Id = Id;
  ask.Priority = -Step * static_cast<std::int32_t>(
                             priorityOf(Of.What.Caller, Of.Route.Priority));
  if (isUnderserved(findOrCreateAdmission(Of.Service).Shares, Of.customer()))
    ++ask.Priority;
  // Requests that are nobody's share as one customer's.
  ask.Flow = Of.customer().Text;
  ask.Deadline = Of.What.ArrivedAt + std::chrono::duration_cast<Micros>(
                                         (Of.Deadline - Of.What.ArrivedAt) *
                                         Limits.AdmissionWaitShare);
  return ask;
}

/// The pause of a request that all servers were too full for: the more urgent
/// asks again sooner, and takes the place that has come free.
Millis Forwarder::overloadRetryDelay(const Progress &Of) const {
  constexpr std::uint32_t MostPriority = 9;
  std::uint32_t priority = priorityOf(Of.What.Caller, Of.Route.Priority);
  Millis first = Limits.MaxOverloadRetryDelay;
  double answer =
      averageLatencyMs(View.Servers, Of.Service, View.Contact, monotonicNow());
  if (answer > 0)
    first = std::clamp(Millis(std::lround(answer * Limits.OverloadRetryShare)),
                       Millis(1), Limits.MaxOverloadRetryDelay);
  return first * (1 + std::min(priority, MostPriority));
}

/// Sends a request to one server after the other until one answers it.
asio::awaitable<Forwarder::Round>
Forwarder::tryServers(Progress &Of, asio::cancellation_signal &Stop) {
  Round round;
  round.Why = Failure{Verdict::NotRun, FailureCode::NoUpstream, Of.Service.Text,
                      "no server of the service is there", Limits.RetryAfter};
  while (Of.canAttempt(Limits)) {
    if (std::optional<Failure> refused = quarantined(Of)) {
      round.Why = *refused;
      break;
    }
    Of.Server = nextServer(Of);
    if (!Of.Server)
      break;
    std::optional<Outcome<UpstreamResponse>> got = co_await tryOnce(Of, Stop);
    if (!got) {
      round.CallerLeft = true;
      break;
    }
    if (!*got) {
      round.Why = got->failure();
      continue;
    }
    if ((*got)->Proof == AnswerProof::Ran) {
      bool failed = (*got)->Response.Status >= FirstServerError;
      round.Answer = std::move(**got);
      if (!failed)
        break;
      continue;
    }
    bool unrun = (*got)->Proof == AnswerProof::NotRun;
    round.Why =
        Failure{unrun ? Verdict::NotRun : Verdict::MayHaveRun,
                unrun ? FailureCode::Overloaded : FailureCode::ConnectionLost,
                Of.Server->Entry.Id.Text,
                unrun ? "the server took no more work"
                      : "no whole answer to this request",
                Limits.RetryAfter};
  }
  if (!round.Answer && Of.allServersFull())
    round.Why.Code = FailureCode::Overloaded;
  co_return round;
}

asio::awaitable<Outcome<UpstreamResponse>>
Forwarder::answer(ForwardRequest What, UpstreamRoute Route,
                  asio::cancellation_signal &Stop) {
  std::shared_ptr<Forwarder> self = shared_from_this();
  ServiceName service =
      pickService(Route, std::uniform_real_distribution<>()(Random));
  Progress at(std::move(What), std::move(Route), std::move(service));
  for (;;) {
    AdmissionPermit pass(findOrCreateAdmission(at.Service).Gate, ++Asks);
    std::optional<Outcome<Done>> entered = co_await enter(at, pass, Stop);
    if (entered && !*entered) {
      recordServedShare(at, false);
      note(at, "refused", 0);
      co_return entered->failure();
    }
    Round round;
    round.CallerLeft = !entered;
    if (entered)
      round = co_await tryServers(at, Stop);
    if (round.CallerLeft) {
      note(at, "caller_left", 0);
      co_return callerLeft();
    }
    if (round.Answer) {
      pass.finish();
      recordServedShare(at, true);
      unsigned status = round.Answer->Response.Status;
      note(at, status < FirstServerError ? "answered" : "server_error", status);
      co_return std::move(*round.Answer);
    }
    bool full = at.allServersFull();
    pass.leave(full);
    if (!full || !canRetryOverloaded(at)) {
      recordServedShare(at, false);
      co_return failed(at, std::move(round.Why));
    }
    std::optional<Done> paused =
        co_await cancellable(Executor, pause(overloadRetryDelay(at)), Stop);
    if (!paused) {
      note(at, "caller_left", 0);
      co_return callerLeft();
    }
    at.resetAttempts();
  }
}

/// Whether a request that all servers were too full for may ask again: its
/// caller has time enough left to come back elsewhere if that is in vain, too.
bool Forwarder::canRetryOverloaded(const Progress &Of) {
  return monotonicNow() + overloadRetryDelay(Of) <
         makeAdmissionRequest(Of, 0).Deadline;
}

void Forwarder::recordServedShare(const Progress &Of, bool Served) {
  recordOutcome(findOrCreateAdmission(Of.Service).Shares, Of.customer(), Served,
                monotonicNow());
}

asio::awaitable<Done> Forwarder::pause(Millis For) const {
  co_await pauseFor(Executor, For);
  co_return Done{};
}

/// Waits until the request may be sent; empty if its caller has left.
asio::awaitable<std::optional<Outcome<Done>>>
Forwarder::enter(const Progress &Of, AdmissionPermit &With,
                 asio::cancellation_signal &Stop) {
  AdmissionRequest ask = makeAdmissionRequest(Of, With.id());
  std::function<bool()> stays = [] { return false; };
  co_return co_await cancellable(
      Executor, With.gate().enter(std::move(ask), std::move(stays)), Stop);
}

/// What the caller of a request that no server has answered is told.
Failure Forwarder::failed(const Progress &Of, Failure Why) {
  if (Of.Runs > 0)
    Why.Run = Verdict::MayHaveRun;
  if (monotonicNow() >= Of.Deadline && Why.Code != FailureCode::Quarantined)
    Why.Code = FailureCode::TimedOut;
  note(Of, toText(Why.Code), 0);
  return Why;
}

http::Response makeResponseForFailure(const Failure &Why, Millis RetryAfter) {
  if (Why.Run == Verdict::NotRun)
    return makeRefusalResponse(Why.Reason,
                               std::max(RetryAfter, Why.RetryAfter));
  bool late = Why.Code == FailureCode::TimedOut;
  return makeFailureResponse(late ? GatewayTimeout : BadGateway, Why.Reason);
}

asio::awaitable<void> Forwarder::forward(ForwardRequest What,
                                         UpstreamRoute Route,
                                         std::shared_ptr<http::Responder> Out) {
  std::shared_ptr<Forwarder> self = shared_from_this();
  std::shared_ptr<asio::cancellation_signal> stop =
      std::make_shared<asio::cancellation_signal>();
  Out->onGone([stop] { stop->emit(asio::cancellation_type::terminal); });
  Outcome<UpstreamResponse> got =
      co_await answer(std::move(What), std::move(Route), *stop);
  if (Out->gone())
    co_return;
  if (got)
    co_await Out->send(std::move(got->Response));
  else
    co_await Out->send(
        makeResponseForFailure(got.failure(), Limits.RetryAfter));
}

} // namespace wasabi
