/// \file
/// How far a request has come on its way to an answer; for the forwarder only.
#ifndef WASABI_UPSTREAM_FORWARDPROGRESS_H
#define WASABI_UPSTREAM_FORWARDPROGRESS_H

#include "Wasabi/Upstream/Forwarder.h"

#include <algorithm>

namespace wasabi {

/// Answers are sent this long before the route's timeout is up, so that they
/// arrive within it.
inline constexpr Millis AnswerTimeMargin{30};

struct Forwarder::Progress {
  ForwardRequest What;
  UpstreamRoute Route;
  ServiceName Service;
  TimePoint Deadline;
  std::set<ServerIncarnation> Tried;
  /// Tries that may have run.
  std::uint32_t Runs = 0;
  /// Tries that certainly did not.
  std::uint32_t NotRunAttempts = 0;
  /// Whether a server has refused it since it asked last, though it is there.
  bool Refused = false;
  std::shared_ptr<UpstreamServer> Server;
  std::shared_ptr<GuardedRequest> Guard;
  /// How it was counted as running, once; empty while it is not.
  std::optional<UsageEntry> Counted;

  Progress(ForwardRequest What, UpstreamRoute Route, ServiceName Service)
      : What(std::move(What)), Route(std::move(Route)),
        Service(std::move(Service)) {
    Millis patience = this->What.CallerTimeout.value_or(this->Route.Timeout);
    Deadline = this->What.ArrivedAt + std::min(patience, this->Route.Timeout) -
               AnswerTimeMargin;
    Guard = std::make_shared<GuardedRequest>(GuardedRequest{
        digestOf(this->What.HttpRequest, customer()), this->What.Id});
  }

  /// Whose request it is; empty for nobody's.
  CustomerName customer() const {
    return What.Caller ? What.Caller->Name : CustomerName();
  }

  /// What is left of the time in which it must be answered.
  Millis left() const {
    return std::chrono::duration_cast<Millis>(Deadline - monotonicNow());
  }

  /// Whether it may be sent to more than one server that may run it.
  bool mayRepeat() const {
    return Route.Kind != RouteKind::NonIdempotent &&
           (Route.Kind != RouteKind::Streaming || Route.Resumable);
  }

  /// Servers refused it, and it is still to be served: they may have places
  /// when it asks anew.
  void resetAttempts() {
    Tried.clear();
    NotRunAttempts = 0;
    Refused = false;
  }

  /// Whether all servers were too full for it.
  bool allServersFull() const { return Runs == 0 && Refused; }

  bool canAttempt(const Settings &Limits) const {
    return Runs < std::max<std::uint32_t>(Route.MaxAttempts, 1) &&
           NotRunAttempts < Limits.MaxNotRunAttempts &&
           monotonicNow() < Deadline && (Runs == 0 || mayRepeat());
  }
};

/// What a caller is told of a request that was not answered.
http::Response makeResponseForFailure(const Failure &Why, Millis RetryAfter);

} // namespace wasabi

#endif // WASABI_UPSTREAM_FORWARDPROGRESS_H
