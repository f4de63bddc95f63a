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

std::string makeErrorBody(std::string_view Reason) {
  boost::json::value body = {{"error", Reason}};
  return boost::json::serialize(body);
}

Failure makeCallerLeftFailure() {
  return Failure{Verdict::MayHaveRun,
                 FailureCode::Cancelled,
                 "caller",
                 "the caller has disconnected",
                 {}};
}

} // namespace

http::Response makeRefusalResponse(std::string_view Reason, Millis RetryAfter) {
  http::Response answer =
      http::jsonResponse(ServiceUnavailable, makeErrorBody(Reason));
  answer.Headers.push_back(
      {"Retry-After",
       fmt::format("{:.3f}",
                   std::chrono::duration<double>(RetryAfter).count())});
  return answer;
}

http::Response makeFailureResponse(unsigned Status, std::string_view Reason) {
  return http::jsonResponse(Status, makeErrorBody(Reason));
}

Forwarder::Forwarder(Parts Dependencies, Settings Limits)
    : Limits(Limits), Executor(std::move(Dependencies.Executor)),
      View(Dependencies.View), Engines(std::move(Dependencies.Engines)),
      CrashQuarantine(std::move(Dependencies.CrashQuarantine)),
      Decisions(std::move(Dependencies.Decisions)), Counts(Dependencies.Counts),
      Usage(std::move(Dependencies.Usage)),
      Loads(std::move(Dependencies.Loads)), Random(wallMicros()),
      Hedges(makeHedging(Limits.Hedges)) {}

std::shared_ptr<Forwarder> Forwarder::create(Parts Dependencies,
                                             Settings Limits) {
  return std::shared_ptr<Forwarder>(
      new Forwarder(std::move(Dependencies), Limits));
}

/// Records usage for the request's customer when an attempt starts; later
/// attempts of the same request are not counted again.
void Forwarder::meterUsage(Progress &State) const {
  if (Usage && State.Request.Caller && !State.MeteredUsage)
    State.MeteredUsage = Usage->began(State.Request.Caller->Name);
}

/// Withdraws the recorded usage if no server can have run the request.
void Forwarder::withdrawUsage(Progress &State) const {
  if (!State.MeteredUsage || State.PossibleRuns > 0)
    return;
  Usage->withdraw(*State.MeteredUsage);
  State.MeteredUsage.reset();
}

/// Returns the failure of a quarantined request; empty if the request may be
/// sent.
std::optional<Failure>
Forwarder::findQuarantineFailure(const Progress &State) const {
  if (State.Request.IsDeferredWork ||
      CrashQuarantine->crashStatus(State.Guard->Digest) !=
          CrashStatus::Quarantined)
    return std::nullopt;
  return CrashQuarantine->refuse(State.Guard->Digest);
}

/// Returns the server for the next attempt; null if there is none. With
/// `AvoidSuspects`, returns no server that runs a suspect, even if there is no
/// other one.
std::shared_ptr<UpstreamServer>
Forwarder::selectNextServer(Progress &State, bool AvoidSuspects) {
  TimePoint now = monotonicNow();
  std::set<ServerIncarnation> suspects = CrashQuarantine->suspectServers();
  ServerQuery query;
  query.Service = State.Service;
  query.PreferredDomain = View.Domain;
  query.Others = Loads ? Loads->findLoad(State.Service) : nullptr;
  query.Excluded = suspects;
  query.Excluded.insert(State.TriedServers.begin(), State.TriedServers.end());
  query.MayTrial = mayTrial(State);
  query.IsRepeatable = State.isRepeatable();
  recordSlowServers(State.Service, query.Others, now);
  ServerChoice choice =
      selectServer(View.Servers, View.Contact, query, now, Random);
  if (!choice.Server && !AvoidSuspects &&
      query.Excluded.size() > State.TriedServers.size()) {
    query.Excluded = State.TriedServers;
    choice = selectServer(View.Servers, View.Contact, query, now, Random);
  }
  if (!choice.Server && !State.TriedServers.empty() && State.PossibleRuns > 0) {
    // Every server has been tried: allow each of them a second attempt.
    State.TriedServers.clear();
    query.Excluded = AvoidSuspects ? suspects : std::set<ServerIncarnation>();
    choice = selectServer(View.Servers, View.Contact, query, now, Random);
  }
  recordSelection(State, choice);
  if (choice.Server)
    noteOutageRetry(View.Servers, *choice.Server, now);
  return choice.Server;
}

/// Sets `State.Server` for the next attempt; null if there is none. Claims the
/// server if the attempt has to be isolated. Returns the reason if the request
/// must not be sent, and a cancellation if `Stop` was emitted.
asio::awaitable<std::optional<Failure>>
Forwarder::chooseServerFor(Progress &State, asio::cancellation_signal &Stop) {
  State.Isolated.reset();
  State.SuspectStream.reset();
  State.Server.reset();
  if (std::optional<Failure> refused = findQuarantineFailure(State))
    co_return refused;
  if (State.Request.IsDeferredWork ||
      !CrashQuarantine->needsIsolation(State.Guard->Digest)) {
    State.Server = selectNextServer(State, /*AvoidSuspects=*/false);
    co_return std::nullopt;
  }
  Quarantine::SelectServer select = [this, &State] {
    return selectNextServer(State, /*AvoidSuspects=*/true);
  };
  TimePoint until = monotonicNow() + State.remainingTime() / 2;
  asio::awaitable<Outcome<std::unique_ptr<Quarantine::IsolatedRun>>> claim =
      CrashQuarantine->isolate(State.Guard, until, std::move(select));
  std::optional<Outcome<std::unique_ptr<Quarantine::IsolatedRun>>> got =
      co_await cancellable(Executor, std::move(claim), Stop);
  if (!got) {
    Failure left = makeCallerLeftFailure();
    co_return left;
  }
  if (!*got) {
    Failure refused = got->failure();
    co_return refused;
  }
  State.Isolated = std::move(**got);
  State.Server = State.Isolated
                     ? State.Isolated->server()
                     : selectNextServer(State, /*AvoidSuspects=*/false);
  co_return std::nullopt;
}

/// Returns true if a request may be sent to a server that looks slow: it is its
/// first attempt, and the route, the time left and the budget allow a hedge.
bool Forwarder::mayTrial(const Progress &State) const {
  return canSpend(Trials) && canSpend(Hedges.Budget) &&
         State.Route.Kind == RouteKind::Idempotent &&
         State.Route.MaxAttempts > 1 && State.PossibleRuns == 0 &&
         State.TriedServers.empty() &&
         State.remainingTime() >= 2 * Limits.MinAttemptTimeout;
}

void Forwarder::recordSelection(Progress &State, const ServerChoice &Choice) {
  if (!State.CountedForTrials)
    Trials = addSuccess(Trials);
  State.CountedForTrials = true;
  State.IsTrial = Choice.Trial;
  if (Choice.Trial) {
    Trials = spend(Trials);
    Counts
        .counter("trial_requests_total",
                 "Requests sent to a slow server to find its recovery")
        .add();
  }
  if (Choice.SpillOver)
    Counts
        .counter("spillover_requests_total",
                 "Requests sent to another failure domain although this one "
                 "has a usable server")
        .add();
}

/// Updates which servers are treated as slow and logs the changes.
void Forwarder::recordSlowServers(const ServiceName &Service,
                                  const ServiceLoad *Others, TimePoint Now) {
  for (const std::shared_ptr<UpstreamServer> &it :
       updateSlowServers(View.Servers, Service, Others, Now)) {
    double latencyMs = estimateLatencyMs(View.Servers, *it, Others, Now);
    Decisions->line(
        it->Slow ? "server.slow" : "server.recovered",
        {{"service", Service.Text},
         {"server", it->Entry.Id.Text},
         {"latency_ms", fmt::format("{:.1f}", latencyMs)},
         {"typical_ms",
          fmt::format("{:.1f}",
                      typicalLatencyMs(View.Servers, Service, Others))}});
    Counts
        .counter("server_slow_changes_total",
                 "Times that a server started or stopped being treated as slow",
                 {{"state", it->Slow ? "slow" : "recovered"}})
        .add();
  }
}

Millis Forwarder::attemptTimeout(const Progress &State) const {
  Millis remaining = State.remainingTime();
  bool isLastAttempt = State.PossibleRuns + 1 >= State.Route.MaxAttempts ||
                       !State.isRepeatable();
  if (isLastAttempt)
    return remaining;
  Millis share = std::chrono::duration_cast<Millis>(remaining *
                                                    Limits.AttemptTimeoutShare);
  return std::min(remaining, std::max(Limits.MinAttemptTimeout, share));
}

void Forwarder::recordRequestOutcome(const Progress &State,
                                     std::string_view Outcome,
                                     unsigned Status) {
  Decisions->line(
      "request.done",
      {{"request", State.Request.Id},
       {"route", State.Route.Name},
       {"customer", State.customer().Text},
       {"service", State.Service.Text},
       {"server", State.Server ? State.Server->Entry.Id.Text : ""},
       {"outcome", std::string(Outcome)},
       {"status", std::to_string(Status)},
       {"runs", std::to_string(State.PossibleRuns)},
       {"unrun", std::to_string(State.NotRunAttempts)},
       {"took_ms",
        fmt::format("{:.1f}", millisSince(State.Request.ArrivedAt))}});
  Counts
      .counter("requests_total", "Requests answered, by outcome",
               {{"outcome", std::string(Outcome)}})
      .add();
  Counts.quantiles("request_ms", "Milliseconds from arrival to answer")
      .observe(millisSince(State.Request.ArrivedAt));
}

/// Marks the server as running the request.
std::shared_ptr<Forwarder::Attempt>
Forwarder::beginAttempt(Progress &State,
                        std::shared_ptr<UpstreamServer> Server) {
  std::shared_ptr<Attempt> started = std::make_shared<Attempt>();
  started->Server = std::move(Server);
  started->Start = monotonicNow();
  if (!State.Request.IsDeferredWork)
    started->Suspect = CrashQuarantine->trackSuspectRun(
        State.Guard->Digest, started->Server->Entry.incarnation());
  wasabi::beginAttempt(*started->Server, started->Start);
  meterUsage(State);
  return started;
}

/// Returns the call of an attempt, which starts when it is awaited.
asio::awaitable<Outcome<UpstreamResponse>>
Forwarder::callServer(const Progress &State, const Attempt &Sent,
                      Millis Timeout) const {
  SendOptions options;
  options.Deadline = State.remainingTime();
  options.RequestId = State.Request.Id;
  options.Customer = State.customer();
  return Engines.Call(Sent.Server->Entry, State.Request.HttpRequest,
                      std::move(options), Timeout);
}

/// Records the result of an attempt whose call has ended. `IsLastInFlight` is
/// false while another attempt of the request may still run it.
void Forwarder::recordAttempt(Progress &State, Attempt &Ended,
                              bool IsLastInFlight) {
  UpstreamServer &server = *Ended.Server;
  const Outcome<UpstreamResponse> &got = *Ended.Got;
  bool notRun = Ended.isProvenNotRun();
  ++(notRun ? State.NotRunAttempts : State.PossibleRuns);
  if (IsLastInFlight)
    withdrawUsage(State);
  if (got)
    noteResponse(server, Ended.Start, got->Response.Status);
  else
    recordNoResponse(State, server, got.failure(), Ended.Start);
  State.TriedServers.insert(server.Entry.incarnation());
  bool misdirected = got && got->Response.Status == MisdirectedStatus;
  bool ran = got && got->Proof == AnswerProof::Ran;
  if (misdirected)
    server.Replaced = true;
  if (got && notRun && !misdirected)
    State.Refused = true;
  recordLoad(State, server, got, Ended.ageMs());
  if (!ran && !notRun)
    recordUnanswered(View.Servers, server, Ended.ageMs(), monotonicNow());
  if (ran)
    recordAnswer(View.Servers, server, Ended.ageMs(), monotonicNow());
  else if (!got || got->Proof == AnswerProof::Unknown)
    wasabi::noteFailure(View.Servers, server, monotonicNow());
  if (ran && got->Response.Status < FirstServerError &&
      isHedgeable(State.Route))
    addLatency(Hedges, State.Route.Name, State.Service, Ended.ageMs());
  Decisions->line("request.try",
                  {{"request", State.Request.Id},
                   {"server", server.Entry.Id.Text},
                   {"result", got ? std::to_string(got->Response.Status)
                                  : describe(got.failure())},
                   {"unrun", notRun ? "yes" : "no"},
                   {"took_ms", fmt::format("{:.1f}", Ended.ageMs())}});
  if (!got && !notRun)
    Decisions->line("request.lost",
                    {{"request", State.Request.Id},
                     {"digest", State.Guard->Digest.Text},
                     {"server", server.Entry.Id.Text},
                     {"start", std::to_string(server.Entry.Start)},
                     {"beside", std::to_string(server.InFlight)}});
  if (ran && !State.Request.IsDeferredWork)
    CrashQuarantine->answered(*State.Guard);
}

/// Adds the result of an attempt to that of the request. Returns true if it is
/// the answer: no further attempt is needed.
bool Forwarder::mergeAttempt(Progress &State, const Attempt &Ended,
                             AttemptResult &Result) const {
  State.Server = Ended.Server;
  const Outcome<UpstreamResponse> &got = *Ended.Got;
  if (!got) {
    Result.Error = got.failure();
    return false;
  }
  if (got->Proof == AnswerProof::Ran) {
    Result.Answer = *got;
    return got->Response.Status < FirstServerError;
  }
  bool notRun = got->Proof == AnswerProof::NotRun;
  Result.Error = Failure{
      notRun ? Verdict::NotRun : Verdict::MayHaveRun,
      notRun ? FailureCode::Overloaded : FailureCode::ConnectionLost,
      Ended.Server->Entry.Id.Text,
      notRun ? "the server refused the request"
             : "the server did not return a complete response to this request",
      Limits.RetryAfter};
  return false;
}

/// Sends the request to `State.Server`; a request that may be hedged is sent to
/// a second server as well if the first one is slow. Returns true if the
/// request is over: it was answered, or the caller has disconnected.
asio::awaitable<bool> Forwarder::tryOnce(Progress &State, AttemptResult &Result,
                                         asio::cancellation_signal &Stop) {
  if (!CrashQuarantine->hasUnresolvedLosses(State.Guard->Digest) &&
      mayHedge(State.Route, State.PossibleRuns + 1,
               CrashQuarantine->crashStatus(State.Guard->Digest)))
    co_return co_await tryHedged(State, Result, Stop);
  std::shared_ptr<Attempt> attempt = beginAttempt(State, State.Server);
  asio::awaitable<Outcome<UpstreamResponse>> call =
      callServer(State, *attempt, attemptTimeout(State));
  attempt->Got = co_await cancellable(Executor, std::move(call), Stop);
  attempt->release();
  Result.CallerLeft = !attempt->Got;
  if (Result.CallerLeft) {
    recordUnanswered(View.Servers, *attempt->Server, attempt->ageMs(),
                     monotonicNow());
    co_return true;
  }
  recordAttempt(State, *attempt, /*IsLastInFlight=*/true);
  bool callerPresent = true;
  if (!*attempt->Got)
    callerPresent = co_await checkServerCrash(State, attempt->Got->failure(),
                                              attempt->Start, Stop);
  Result.CallerLeft = !callerPresent;
  if (Result.CallerLeft)
    co_return true;
  co_return mergeAttempt(State, *attempt, Result);
}

/// Records the result of an attempt for the load exchange.
void Forwarder::recordLoad(const Progress &State, const UpstreamServer &Server,
                           const Outcome<UpstreamResponse> &Got,
                           double LatencyMs) const {
  if (!Loads || !Got)
    return;
  bool misdirected = Got->Response.Status == MisdirectedStatus;
  if (Got->Proof == AnswerProof::NotRun && !misdirected)
    Loads->recordRefusal(State.Service);
  if (Got->Proof == AnswerProof::Ran)
    Loads->recordAnswer(State.Service, Server.Entry.incarnation(), LatencyMs,
                        monotonicNow() - State.Request.ArrivedAt >
                            State.Route.LatencyTarget);
}

/// After a failed attempt, checks whether its server has crashed, so that a
/// request that crashes servers is quarantined before it reaches further ones.
/// Returns false if the caller has disconnected meanwhile.
asio::awaitable<bool>
Forwarder::checkServerCrash(Progress &State, const Failure &Error,
                            TimePoint Began, asio::cancellation_signal &Stop) {
  if (Error.Code != FailureCode::ConnectionLost || Error.Run == Verdict::NotRun)
    co_return true;
  if (State.Request.IsDeferredWork) {
    noteConnectionLost(*State.Server, monotonicNow());
    co_return true;
  }
  asio::awaitable<Done> check =
      CrashQuarantine->onConnectionLost(State.Guard, State.Server, Began);
  std::optional<Done> done =
      co_await cancellable(Executor, std::move(check), Stop);
  co_return done.has_value();
}

/// Returns the admission state of a service and creates it on first use.
Forwarder::ServiceAdmission &
Forwarder::findOrCreateAdmission(const ServiceName &Service) {
  ServiceAdmission &admission = Admissions[Service];
  if (!admission.Gate) {
    Admission::Settings settings;
    settings.Concurrency = Limits.Concurrency;
    admission.Gate =
        std::make_shared<AdmissionGate>(Executor, Service.Text, settings);
  }
  return admission;
}

AdmissionRequest Forwarder::makeAdmissionRequest(const Progress &State,
                                                 std::uint64_t Id) {
  // Leaves a level between two priorities for underserved customers.
  constexpr std::int32_t PriorityStep = 2;
  AdmissionRequest request;
  request.Id = Id;
  request.Priority =
      -PriorityStep * static_cast<std::int32_t>(priorityOf(
                          State.Request.Caller, State.Route.Priority));
  if (isUnderserved(findOrCreateAdmission(State.Service).Shares,
                    State.customer()))
    ++request.Priority;
  // All anonymous requests share one flow.
  request.Flow = State.customer().Text;
  request.Deadline =
      State.Request.ArrivedAt + std::chrono::duration_cast<Micros>(
                                    (State.Deadline - State.Request.ArrivedAt) *
                                    Limits.AdmissionWaitShare);
  return request;
}

/// Returns the delay before a request is retried after all servers were full.
/// More urgent requests retry sooner and so get free slots first.
Millis Forwarder::overloadRetryDelay(const Progress &State) const {
  constexpr std::uint32_t LeastUrgentPriority = 9;
  std::uint32_t priority =
      priorityOf(State.Request.Caller, State.Route.Priority);
  Millis baseDelay = Limits.MaxOverloadRetryDelay;
  double latencyMs = averageLatencyMs(View.Servers, State.Service, View.Contact,
                                      monotonicNow());
  if (latencyMs > 0)
    baseDelay =
        std::clamp(Millis(std::lround(latencyMs * Limits.OverloadRetryShare)),
                   Millis(1), Limits.MaxOverloadRetryDelay);
  return baseDelay * (1 + std::min(priority, LeastUrgentPriority));
}

/// Sends the request to one server after another until one answers it or no
/// further attempt is allowed.
asio::awaitable<Forwarder::AttemptResult>
Forwarder::tryServers(Progress &State, asio::cancellation_signal &Stop) {
  AttemptResult result;
  result.Error =
      Failure{Verdict::NotRun, FailureCode::NoUpstream, State.Service.Text,
              "no usable server for the service", Limits.RetryAfter};
  if (isHedgeable(State.Route) && !State.CountedForHedging) {
    State.CountedForHedging = true;
    addRequest(Hedges);
  }
  while (State.canAttempt(Limits)) {
    std::optional<Failure> refused = co_await chooseServerFor(State, Stop);
    if (refused) {
      result.Error = *refused;
      result.CallerLeft = refused->Code == FailureCode::Cancelled;
    }
    bool lacksServer =
        !State.Server && (!refused || refused->Code == FailureCode::NoUpstream);
    if (lacksServer) {
      std::optional<bool> found = co_await awaitServer(State, Stop);
      result.CallerLeft = !found;
      if (found && *found)
        continue;
    }
    if (!State.Server || co_await tryOnce(State, result, Stop))
      break;
  }
  State.Isolated.reset();
  if (!result.Answer && State.allServersFull())
    result.Error.Code = FailureCode::Overloaded;
  co_return result;
}

asio::awaitable<Outcome<UpstreamResponse>>
Forwarder::answer(ForwardRequest Request, UpstreamRoute Route,
                  asio::cancellation_signal &Stop) {
  std::shared_ptr<Forwarder> self = shared_from_this();
  ServiceName service =
      pickService(Route, std::uniform_real_distribution<>()(Random));
  Progress state(std::move(Request), std::move(Route), std::move(service));
  RecordedArrival arrival(Loads, state.Service, state.customer());
  for (;;) {
    std::optional<AdmissionPermit> permit;
    std::optional<Outcome<Done>> entered =
        co_await awaitTurn(state, permit, Stop);
    if (entered && !*entered) {
      recordServedShare(state, false);
      recordRequestOutcome(state, "refused", 0);
      co_return entered->failure();
    }
    AttemptResult result;
    result.CallerLeft = !entered;
    if (entered)
      result = co_await tryServers(state, Stop);
    if (result.CallerLeft) {
      recordRequestOutcome(state, "caller_left", 0);
      co_return makeCallerLeftFailure();
    }
    if (result.Answer) {
      permit->finish();
      recordServedShare(state, true);
      unsigned status = result.Answer->Response.Status;
      recordRequestOutcome(
          state, status < FirstServerError ? "answered" : "server_error",
          status);
      co_return std::move(*result.Answer);
    }
    bool full = state.allServersFull();
    permit->leave(full);
    if (full)
      paceAttempts(state);
    if (!full || !canRetryOverloaded(state)) {
      recordServedShare(state, false);
      co_return finishFailed(state, std::move(result.Error));
    }
    std::optional<Done> paused =
        co_await cancellable(Executor, pause(overloadRetryDelay(state)), Stop);
    if (!paused) {
      recordRequestOutcome(state, "caller_left", 0);
      co_return makeCallerLeftFailure();
    }
    state.resetAttempts();
  }
}

/// Returns true if a request may be retried after all servers were full: its
/// admission deadline is later than the next retry.
bool Forwarder::canRetryOverloaded(const Progress &State) {
  return monotonicNow() + overloadRetryDelay(State) <
         makeAdmissionRequest(State, 0).Deadline;
}

void Forwarder::recordServedShare(const Progress &State, bool Served) {
  recordOutcome(findOrCreateAdmission(State.Service).Shares, State.customer(),
                Served, monotonicNow());
}

asio::awaitable<Done> Forwarder::pause(Millis Delay) const {
  co_await pauseFor(Executor, Delay);
  co_return Done{};
}

/// Waits until the request is admitted. Returns a failure if it is refused, and
/// an empty optional if `Stop` is emitted first.
asio::awaitable<std::optional<Outcome<Done>>>
Forwarder::awaitAdmission(const Progress &State, AdmissionPermit &Permit,
                          asio::cancellation_signal &Stop) {
  AdmissionRequest request = makeAdmissionRequest(State, Permit.id());
  std::function<bool()> isGone = [] { return false; };
  co_return co_await cancellable(
      Executor, Permit.gate().enter(std::move(request), std::move(isGone)),
      Stop);
}

/// Delays the next attempt of the request's priority after all servers were
/// full, if this process is down to one request at a time. Where there are more
/// processes than slots, the servers would otherwise be asked most often for
/// the priority with the most waiting requests.
void Forwarder::paceAttempts(const Progress &State) {
  ServiceAdmission &admission = findOrCreateAdmission(State.Service);
  if (admission.Gate->admission().limitIgnoringProbe() <=
      Limits.Concurrency.MinLimit)
    admission
        .NextAttempts[priorityOf(State.Request.Caller, State.Route.Priority)] =
        monotonicNow() + overloadRetryDelay(State);
}

/// Returns the earliest time of the next attempt of the request's priority.
TimePoint Forwarder::nextAttempt(const Progress &State) {
  const ServiceAdmission &admission = findOrCreateAdmission(State.Service);
  auto it = admission.NextAttempts.find(
      priorityOf(State.Request.Caller, State.Route.Priority));
  bool paced = it != admission.NextAttempts.end() &&
               admission.Gate->admission().limitIgnoringProbe() <=
                   Limits.Concurrency.MinLimit;
  return paced ? it->second : TimePoint();
}

/// Waits until the request is admitted and an attempt of its priority is due. A
/// request that would have to wait beyond its admission deadline doesn't wait.
/// Returns as `awaitAdmission`.
asio::awaitable<std::optional<Outcome<Done>>>
Forwarder::awaitTurn(const Progress &State,
                     std::optional<AdmissionPermit> &Permit,
                     asio::cancellation_signal &Stop) {
  for (;;) {
    Permit.emplace(findOrCreateAdmission(State.Service).Gate,
                   ++LastAdmissionId);
    std::optional<Outcome<Done>> entered =
        co_await awaitAdmission(State, *Permit, Stop);
    if (!entered || !*entered)
      co_return entered;
    TimePoint next = nextAttempt(State);
    if (next <= monotonicNow() ||
        next >= makeAdmissionRequest(State, 0).Deadline)
      co_return entered;
    Permit->leave(false);
    Millis delay = std::chrono::ceil<Millis>(next - monotonicNow());
    std::optional<Done> paused =
        co_await cancellable(Executor, pause(delay), Stop);
    if (!paused)
      co_return std::nullopt;
  }
}

/// Records the outcome of a request without a response and returns its failure,
/// adjusted for possible runs and an expired deadline.
Failure Forwarder::finishFailed(const Progress &State, Failure Error) {
  if (State.PossibleRuns > 0)
    Error.Run = Verdict::MayHaveRun;
  if (monotonicNow() >= State.Deadline &&
      Error.Code != FailureCode::Quarantined)
    Error.Code = FailureCode::TimedOut;
  recordRequestOutcome(State, toText(Error.Code), 0);
  return Error;
}

http::Response makeResponseForFailure(const Failure &Error, Millis RetryAfter) {
  if (Error.Run == Verdict::NotRun)
    return makeRefusalResponse(Error.Reason,
                               std::max(RetryAfter, Error.RetryAfter));
  bool timedOut = Error.Code == FailureCode::TimedOut;
  return makeFailureResponse(timedOut ? GatewayTimeout : BadGateway,
                             Error.Reason);
}

asio::awaitable<void> Forwarder::forward(ForwardRequest Request,
                                         UpstreamRoute Route,
                                         std::shared_ptr<http::Responder> Out) {
  std::shared_ptr<Forwarder> self = shared_from_this();
  std::shared_ptr<asio::cancellation_signal> stop =
      std::make_shared<asio::cancellation_signal>();
  Out->onGone([stop] { stop->emit(asio::cancellation_type::terminal); });
  Outcome<UpstreamResponse> got =
      co_await answer(std::move(Request), std::move(Route), *stop);
  if (Out->gone())
    co_return;
  if (got)
    co_await Out->send(std::move(got->Response));
  else
    co_await Out->send(
        makeResponseForFailure(got.failure(), Limits.RetryAfter));
}

} // namespace wasabi
