/// \file
/// Which declared service a caller's request is for, and what it asks of us.
#ifndef WASABI_ROUTING_ROUTEMATCH_H
#define WASABI_ROUTING_ROUTEMATCH_H

#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Config/Configuration.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Verdict.h"

#include <string>

namespace wasabi {

/// The header that names a service.
inline constexpr char ServiceHeader[] = "X-Service";
/// The header that names a caller, for its limits.
inline constexpr char CallerHeader[] = "X-Caller";
/// The header that gives a deadline, in milliseconds from the arrival.
inline constexpr char DeadlineHeader[] = "X-Deadline-Ms";
/// `X-Idempotent: false` marks a request that must run at most once, whatever
/// its route says.
inline constexpr char IdempotentHeader[] = "X-Idempotent";
/// Names a request over a caller's own repeats.
inline constexpr char KeyHeader[] = "Idempotency-Key";

/// A caller's request as understood. An immutable value.
struct RouteMatch {
  ServiceName Service;
  ServiceKind Kind = ServiceKind::Plain;
  /// The target for the upstream; `/services/NAME` is taken off.
  std::string Target;
  bool Idempotent = false;
  std::string Key;
  std::string Caller;
  Millis Deadline{60000};
  /// An engine's completion, whose stream can be resumed.
  bool Completion = false;
  /// Whether a completion is streamed.
  bool Streamed = false;
  /// What a completion's cached prefix is found by; empty otherwise.
  std::string Prompt;
  bool operator==(const RouteMatch &) const = default;
};

/// Finds the service by `X-Service`, else the path `/services/NAME/…`, else for
/// `/v1/completions` the body's `model`. Failures: `BadInput`, `NotRun`, for a
/// request that cannot be understood; `NoUpstream` for an undeclared service.
/// Pure.
Outcome<RouteMatch> matchRoute(const Configuration &Declared,
                               const http::Request &Ask);

} // namespace wasabi

#endif // WASABI_ROUTING_ROUTEMATCH_H
