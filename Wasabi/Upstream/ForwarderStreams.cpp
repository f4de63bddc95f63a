#include "Wasabi/Core/AsyncSignal.h"
#include "Wasabi/Upstream/ForwardProgress.h"

namespace wasabi {

namespace asio = boost::asio;

/// Opens a stream at one server after another until one accepts the request.
/// Continues after the event `After` if it is set. Returns null if no stream
/// was opened.
asio::awaitable<std::unique_ptr<EngineStream>>
Forwarder::openStream(Progress &State, std::optional<std::uint64_t> After,
                      asio::cancellation_signal &Stop) {
  while (State.canAttempt(Limits)) {
    co_await chooseServerFor(State, Stop);
    if (!State.Server) {
      std::optional<bool> found = co_await awaitServer(State, Stop);
      if (!found || !*found)
        break;
      continue;
    }
    std::shared_ptr<UpstreamServer> server = State.Server;
    SendOptions options;
    options.Deadline = State.remainingTime();
    options.RequestId = State.Request.Id;
    options.Customer = State.customer();
    options.ResumeAfter = After;
    State.SuspectStream = CrashQuarantine->trackSuspectRun(
        State.Guard->Digest, server->Entry.incarnation());
    ++server->InFlight;
    TimePoint began = monotonicNow();
    std::optional<Outcome<std::unique_ptr<EngineStream>>> got =
        co_await cancellable(Executor,
                             Engines.Open(server->Entry,
                                          State.Request.HttpRequest, options,
                                          attemptTimeout(State)),
                             Stop);
    --server->InFlight;
    if (!got)
      break;
    State.TriedServers.insert(server->Entry.incarnation());
    if (*got)
      noteResponse(*server, began, (**got)->head().Response.Status);
    else
      recordNoResponse(State, *server, got->failure(), began);
    if (*got && (**got)->head().Proof == AnswerProof::Ran) {
      ++State.PossibleRuns;
      co_return std::move(**got);
    }
    bool notRun = *got ? (**got)->head().Proof == AnswerProof::NotRun
                       : got->failure().Run == Verdict::NotRun;
    ++(notRun ? State.NotRunAttempts : State.PossibleRuns);
    bool misdirected =
        *got && (**got)->head().Response.Status == MisdirectedStatus;
    if (misdirected)
      server->Replaced = true;
    if (*got && notRun && !misdirected)
      State.Refused = true;
    if (Loads && *got && notRun && !misdirected)
      Loads->recordRefusal(State.Service);
    if (!notRun)
      wasabi::noteFailure(View.Servers, *server, monotonicNow());
    bool callerPresent = true;
    if (!*got)
      callerPresent =
          co_await checkServerCrash(State, got->failure(), began, Stop);
    if (!callerPresent)
      break;
  }
  State.Isolated.reset();
  State.SuspectStream.reset();
  co_return nullptr;
}

/// Writes the events of the stream to the caller and updates `LastEventId`.
/// Returns false if the stream broke before its end, and true if it ended or
/// the caller has disconnected.
asio::awaitable<bool> Forwarder::forwardStreamEvents(Progress &State,
                                                     EngineStream &Stream,
                                                     std::uint64_t &LastEventId,
                                                     http::Responder &Out) {
  TimePoint streamStart = monotonicNow();
  std::uint64_t resumedAfter = LastEventId;
  while (!Out.gone()) {
    Outcome<std::optional<EngineEvent>> event =
        co_await Stream.next(State.remainingTime());
    if (!event) {
      // A stream that cannot be resumed restarts from its first event, so its
      // events are no progress over an earlier run.
      bool progress = State.Route.Resumable && LastEventId > resumedAfter;
      bool lost = event.failure().Code == FailureCode::ConnectionLost;
      if (event.failure().Code == FailureCode::BadInput)
        wasabi::noteFailure(View.Servers, *State.Server, monotonicNow());
      if (lost && CrashQuarantine->mayHaveCrashedServer(streamStart, progress))
        co_await CrashQuarantine->onConnectionLost(State.Guard, State.Server,
                                                   streamStart);
      co_return false;
    }
    if (!*event) {
      CrashQuarantine->answered(*State.Guard);
      co_return true;
    }
    // Usage of a stream is recorded from its first event on.
    meterUsage(State);
    LastEventId = (*event)->Id;
    Outcome<Done> sent = co_await Out.write(std::move((*event)->Raw));
    if (!sent)
      co_return true;
  }
  co_return true;
}

/// Returns the failure of a request for which no stream was opened.
Failure Forwarder::makeNoStreamFailure(const Progress &State) const {
  Failure error{State.PossibleRuns > 0 ? Verdict::MayHaveRun : Verdict::NotRun,
                FailureCode::NoUpstream, State.Service.Text,
                "no server accepted the request", Limits.RetryAfter};
  if (std::optional<Failure> refused = findQuarantineFailure(State)) {
    refused->Run = error.Run;
    return *refused;
  }
  return error;
}

/// Opens the stream of a request once the request is admitted; retries while
/// all servers are full.
asio::awaitable<Outcome<std::unique_ptr<EngineStream>>>
Forwarder::openAdmittedStream(Progress &State,
                              std::optional<AdmissionPermit> &Permit,
                              asio::cancellation_signal &Stop) {
  for (;;) {
    std::optional<Outcome<Done>> entered =
        co_await awaitTurn(State, Permit, Stop);
    if (entered && !*entered)
      co_return entered->failure();
    std::unique_ptr<EngineStream> stream;
    if (entered)
      stream = co_await openStream(State, std::nullopt, Stop);
    if (stream)
      co_return std::move(stream);
    bool full = entered && State.allServersFull();
    if (full)
      paceAttempts(State);
    if (!full || !canRetryOverloaded(State))
      co_return makeNoStreamFailure(State);
    Permit->leave(true);
    std::optional<Done> paused =
        co_await cancellable(Executor, pause(overloadRetryDelay(State)), Stop);
    if (!paused)
      co_return makeNoStreamFailure(State);
    State.resetAttempts();
  }
}

asio::awaitable<void>
Forwarder::forwardStream(ForwardRequest Request, UpstreamRoute Route,
                         std::shared_ptr<http::Responder> Out) {
  constexpr unsigned Ok = 200;
  std::shared_ptr<Forwarder> self = shared_from_this();
  asio::cancellation_signal stop;
  ServiceName service =
      pickService(Route, std::uniform_real_distribution<>()(Random));
  Progress state(std::move(Request), std::move(Route), std::move(service));
  RecordedArrival arrival(Loads, state.Service, state.customer());
  std::unique_ptr<EngineStream> stream;
  // Stop the server's work when the caller disconnects.
  Out->onGone([&stop, &stream, self] {
    stop.emit(asio::cancellation_type::terminal);
    if (stream)
      stream->cancel();
  });
  std::optional<AdmissionPermit> permit;
  Outcome<std::unique_ptr<EngineStream>> opened =
      co_await openAdmittedStream(state, permit, stop);
  if (Out->gone())
    co_return;
  recordServedShare(state, bool(opened));
  if (!opened) {
    recordRequestOutcome(state, "refused", 0);
    co_await Out->send(
        makeResponseForFailure(opened.failure(), Limits.RetryAfter));
    co_return;
  }
  stream = std::move(*opened);
  if (stream->head().Response.Status != Ok) {
    CrashQuarantine->answered(*state.Guard);
    http::Response response = stream->head().Response;
    recordRequestOutcome(state, "answered", response.Status);
    co_await Out->send(std::move(response));
    co_return;
  }
  co_await Out->begin(stream->head().Response);
  std::uint64_t lastEventId = 0;
  bool complete =
      co_await forwardStreamEvents(state, *stream, lastEventId, *Out);
  while (!complete && !Out->gone() && state.Route.Resumable) {
    stream = co_await openStream(state, lastEventId, stop);
    if (!stream || stream->head().Response.Status != Ok)
      break;
    complete = co_await forwardStreamEvents(state, *stream, lastEventId, *Out);
  }
  recordRequestOutcome(state, complete ? "streamed" : "broken_off", Ok);
  if (complete)
    permit->finish();
  if (Out->gone())
    co_return;
  // Abort an incomplete stream, so that the caller can tell it from a complete
  // one.
  if (complete)
    co_await Out->end();
  else
    Out->abort();
}

} // namespace wasabi
