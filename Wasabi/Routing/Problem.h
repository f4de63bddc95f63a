/// \file
/// HTTP error responses for requests without a complete answer: status, verdict
/// and retry delay (docs/design/verdicts.md).
#ifndef WASABI_ROUTING_PROBLEM_H
#define WASABI_ROUTING_PROBLEM_H

#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Core/Verdict.h"

namespace wasabi {

/// Header that carries the verdict of each answer to a caller.
inline constexpr char VerdictHeader[] = "X-Wasabi-Verdict";

/// Returns the HTTP status for a failure. Pure.
unsigned httpStatusOf(const Failure &Why);

/// Returns the error response: status, verdict header, `Retry-After` in seconds
/// (rounded up) if a retry may succeed, and an `application/problem+json` body.
/// Pure.
http::Response problemResponse(const Failure &Why);

} // namespace wasabi

#endif // WASABI_ROUTING_PROBLEM_H
