/// \file
/// Per-request state of the forwarder. Internal to `Forwarder`.
#ifndef WASABI_UPSTREAM_FORWARDPROGRESS_H
#define WASABI_UPSTREAM_FORWARDPROGRESS_H

#include "Wasabi/Upstream/Forwarder.h"

#include <algorithm>

namespace wasabi {

/// Responses are sent this long before the route's timeout expires, so that the
/// caller receives them in time.
inline constexpr Millis ResponseTimeMargin{30};

struct Forwarder::Progress {
  ForwardRequest Request;
  UpstreamRoute Route;
  ServiceName Service;
  TimePoint Deadline;
  std::set<ServerIncarnation> TriedServers;
  /// Attempts that a server may have run.
  std::uint32_t PossibleRuns = 0;
  /// Attempts that no server ran.
  std::uint32_t NotRunAttempts = 0;
  /// True if a reachable server has refused the request since the last reset.
  bool Refused = false;
  /// True once the request has been added to the budget of trial requests.
  bool CountedForTrials = false;
  /// True if `Server` was chosen as a trial: it looks slow.
  bool IsTrial = false;
  std::shared_ptr<UpstreamServer> Server;
  std::shared_ptr<GuardedRequest> Guard;
  /// Set while `Server` is claimed for an isolated run.
  std::unique_ptr<Quarantine::IsolatedRun> Isolated;
  /// Set while a stream's server is marked as running a suspect.
  std::unique_ptr<Quarantine::SuspectRun> SuspectStream;
  /// Usage recorded for this request; empty while none is recorded.
  std::optional<UsageEntry> MeteredUsage;
  /// True once the request has added its part to the budget of hedges.
  bool CountedForHedging = false;

  Progress(ForwardRequest Request, UpstreamRoute Route, ServiceName Service)
      : Request(std::move(Request)), Route(std::move(Route)),
        Service(std::move(Service)) {
    Millis timeout = this->Request.CallerTimeout.value_or(this->Route.Timeout);
    Deadline = this->Request.ArrivedAt +
               std::min(timeout, this->Route.Timeout) - ResponseTimeMargin;
    Guard = std::make_shared<GuardedRequest>(GuardedRequest{
        digestOf(this->Request.HttpRequest, customer()), this->Request.Id});
    // Each attempt sends a copy of the request.
    this->Request.HttpRequest.shareBody();
  }

  /// The customer that sent the request; empty if it is anonymous.
  CustomerName customer() const {
    return Request.Caller ? Request.Caller->Name : CustomerName();
  }

  /// Time left until the deadline; negative once it has passed.
  Millis remainingTime() const {
    return std::chrono::duration_cast<Millis>(Deadline - monotonicNow());
  }

  /// True if the request may be sent to another server after one that may have
  /// run it.
  bool isRepeatable() const {
    return Route.Kind != RouteKind::NonIdempotent &&
           (Route.Kind != RouteKind::Streaming || Route.Resumable);
  }

  /// Makes all servers candidates again, for a retry after all of them were
  /// full.
  void resetAttempts() {
    TriedServers.clear();
    NotRunAttempts = 0;
    Refused = false;
  }

  /// True if the request was refused for lack of capacity and never run.
  bool allServersFull() const { return PossibleRuns == 0 && Refused; }

  /// True if the limits of the route, of `Limits` and of the deadline allow
  /// another attempt.
  bool canAttempt(const Settings &Limits) const {
    return PossibleRuns < std::max<std::uint32_t>(Route.MaxAttempts, 1) &&
           NotRunAttempts < Limits.MaxNotRunAttempts &&
           monotonicNow() < Deadline && (PossibleRuns == 0 || isRepeatable());
  }
};

struct Forwarder::Attempt {
  enum class Stage : std::uint8_t {
    /// The call is in flight.
    Calling,
    /// The call has ended; its result has not been recorded yet.
    Returned,
    /// The result is recorded; a lost connection is being examined.
    Examining,
    /// The attempt is over.
    Ended,
    /// The attempt was cancelled; its result is ignored.
    Cancelled,
  };

  std::shared_ptr<UpstreamServer> Server;
  TimePoint Start;
  /// True if another attempt was in flight at the start.
  bool IsHedge = false;
  Stage Current = Stage::Calling;
  /// Set while the server is marked as running a suspect.
  std::unique_ptr<Quarantine::SuspectRun> Suspect;
  /// Cancels the call or the examination of an attempt that runs beside others.
  boost::asio::cancellation_signal Stop;
  /// Result of the call; empty if there is none yet.
  std::optional<Outcome<UpstreamResponse>> Got;

  double ageMs() const {
    return std::chrono::duration<double, std::milli>(monotonicNow() - Start)
        .count();
  }
  /// Precondition: there is a result.
  bool isProvenNotRun() const {
    return *Got ? (*Got)->Proof == AnswerProof::NotRun
                : Got->failure().Run == Verdict::NotRun;
  }
  /// Undoes the marks at the server once the call has ended.
  void release() {
    endAttempt(*Server, Start);
    Suspect.reset();
  }
};

/// Returns the response for a request that failed: a refusal with a
/// `Retry-After` header if it has not run, otherwise 502 or 504.
http::Response makeResponseForFailure(const Failure &Error, Millis RetryAfter);

} // namespace wasabi

#endif // WASABI_UPSTREAM_FORWARDPROGRESS_H
