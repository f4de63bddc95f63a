/// \file
/// Matches a caller's request to a declared service, and parses its headers and
/// completion body.
#ifndef WASABI_ROUTING_ROUTEMATCH_H
#define WASABI_ROUTING_ROUTEMATCH_H

#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Config/Configuration.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Verdict.h"

#include <string>

namespace wasabi {

/// Header that names the service.
inline constexpr char ServiceHeader[] = "X-Service";
/// Header that names the caller, for its rate limit.
inline constexpr char CallerHeader[] = "X-Caller";
/// Header with the deadline, in milliseconds from the arrival.
inline constexpr char DeadlineHeader[] = "X-Deadline-Ms";
/// `X-Idempotent: false` marks a request that must run at most once, regardless
/// of its route.
inline constexpr char IdempotentHeader[] = "X-Idempotent";
/// Header that identifies a request across repeats by its caller.
inline constexpr char IdempotencyKeyHeader[] = "Idempotency-Key";

/// A caller's request, matched and parsed. An immutable value.
struct RouteMatch {
  ServiceName Service;
  ServiceKind Kind = ServiceKind::Plain;
  /// Target for the upstream, without the prefix `/services/NAME`.
  std::string Target;
  bool Idempotent = false;
  std::string Key;
  std::string Caller;
  Millis Deadline{60000};
  /// True for a completion by an engine, whose stream can be resumed.
  bool Completion = false;
  /// True for a completion with a streamed answer.
  bool Streamed = false;
  /// Prompt of a completion, for prefix-cache affinity; empty otherwise.
  std::string Prompt;
  bool operator==(const RouteMatch &) const = default;
};

/// Finds the service by `X-Service`, else by the path `/services/NAME/…`, else
/// for `/v1/completions` by the body's `model`. Failures: `BadInput`, `NotRun`,
/// for an invalid request; `NoUpstream`, `NotRun`, for an undeclared service.
/// Pure.
Outcome<RouteMatch> matchRoute(const Configuration &Declared,
                               const http::Request &Request);

} // namespace wasabi

#endif // WASABI_ROUTING_ROUTEMATCH_H
