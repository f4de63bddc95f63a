#include "Wasabi/Core/AsyncSignal.h"
#include "Wasabi/Upstream/ForwardProgress.h"

namespace wasabi {

namespace asio = boost::asio;

asio::awaitable<std::unique_ptr<EngineStream>>
Forwarder::openStream(Progress &Of, std::optional<std::uint64_t> After,
                      asio::cancellation_signal &Stop) {
  while (Of.canAttempt(Limits) && !quarantined(Of)) {
    Of.Server = nextServer(Of);
    if (!Of.Server)
      break;
    std::shared_ptr<UpstreamServer> server = Of.Server;
    SendOptions options;
    options.Deadline = Of.left();
    options.RequestId = Of.What.Id;
    options.Customer = Of.customer();
    options.ResumeAfter = After;
    std::unique_ptr<Quarantine::SuspectRun> suspect =
        Crashes->trackSuspectRun(Of.Guard->Digest, server->Entry.incarnation());
    ++server->InFlight;
    std::optional<Outcome<std::unique_ptr<EngineStream>>> got =
        co_await cancellable(Executor,
                             Engines.Open(server->Entry, Of.What.HttpRequest,
                                          options, attemptTimeout(Of)),
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
    ++(unrun ? Of.NotRunAttempts : Of.Runs);
    bool elsewhere =
        *got && (**got)->head().Response.Status == MisdirectedStatus;
    if (elsewhere)
      server->Replaced = true;
    if (*got && unrun && !elsewhere)
      Of.Refused = true;
    if (!unrun)
      wasabi::noteFailure(View.Servers, *server, monotonicNow());
    bool stays = true;
    if (!*got)
      stays = co_await checkServerCrash(Of, got->failure(), Stop);
    if (!stays)
      break;
  }
  co_return nullptr;
}

asio::awaitable<bool> Forwarder::forwardStreamEvents(Progress &Of,
                                                     EngineStream &From,
                                                     std::uint64_t &Last,
                                                     http::Responder &Out) {
  TimePoint began = monotonicNow();
  std::uint64_t before = Last;
  while (!Out.gone()) {
    Outcome<std::optional<EngineEvent>> event = co_await From.next(Of.left());
    if (!event) {
      // A stream that isn't resumed begins anew each time.
      bool progress = Of.Route.Resumable && Last > before;
      bool lost = event.failure().Code == FailureCode::ConnectionLost;
      if (lost && Crashes->mayHaveCrashedServer(began, progress))
        co_await Crashes->onConnectionLost(Of.Guard, Of.Server);
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

/// Why a request has no stream.
Failure Forwarder::makeNoStreamFailure(const Progress &Of) const {
  Failure why{Of.Runs > 0 ? Verdict::MayHaveRun : Verdict::NotRun,
              FailureCode::NoUpstream, Of.Service.Text,
              "no server took the request", Limits.RetryAfter};
  if (std::optional<Failure> refused = quarantined(Of)) {
    refused->Run = why.Run;
    return *refused;
  }
  return why;
}

/// Opens a request's stream when it is its turn.
asio::awaitable<Outcome<std::unique_ptr<EngineStream>>>
Forwarder::openAdmittedStream(Progress &Of,
                              std::optional<AdmissionPermit> &Pass,
                              asio::cancellation_signal &Stop) {
  for (;;) {
    Pass.emplace(findOrCreateAdmission(Of.Service).Gate, ++Asks);
    std::optional<Outcome<Done>> entered = co_await enter(Of, *Pass, Stop);
    if (entered && !*entered)
      co_return entered->failure();
    std::unique_ptr<EngineStream> stream;
    if (entered)
      stream = co_await openStream(Of, std::nullopt, Stop);
    if (stream)
      co_return std::move(stream);
    if (!entered || !Of.allServersFull() || !canRetryOverloaded(Of))
      co_return makeNoStreamFailure(Of);
    Pass->leave(true);
    std::optional<Done> paused =
        co_await cancellable(Executor, pause(overloadRetryDelay(Of)), Stop);
    if (!paused)
      co_return makeNoStreamFailure(Of);
    Of.resetAttempts();
  }
}

asio::awaitable<void>
Forwarder::forwardStream(ForwardRequest What, UpstreamRoute Route,
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
  std::optional<AdmissionPermit> pass;
  Outcome<std::unique_ptr<EngineStream>> opened =
      co_await openAdmittedStream(at, pass, stop);
  if (Out->gone())
    co_return;
  recordServedShare(at, bool(opened));
  if (!opened) {
    note(at, "refused", 0);
    co_await Out->send(
        makeResponseForFailure(opened.failure(), Limits.RetryAfter));
    co_return;
  }
  stream = std::move(*opened);
  if (stream->head().Response.Status != Ok) {
    Crashes->answered(*at.Guard);
    http::Response whole = stream->head().Response;
    note(at, "answered", whole.Status);
    co_await Out->send(std::move(whole));
    co_return;
  }
  co_await Out->begin(stream->head().Response);
  std::uint64_t last = 0;
  bool whole = co_await forwardStreamEvents(at, *stream, last, *Out);
  while (!whole && !Out->gone() && at.Route.Resumable) {
    stream = co_await openStream(at, last, stop);
    if (!stream || stream->head().Response.Status != Ok)
      break;
    whole = co_await forwardStreamEvents(at, *stream, last, *Out);
  }
  note(at, whole ? "streamed" : "broken_off", Ok);
  if (whole)
    pass->finish();
  if (Out->gone())
    co_return;
  // A stream that is not whole must not look as if it were.
  if (whole)
    co_await Out->end();
  else
    Out->abort();
}

} // namespace wasabi
