/// \file
/// What a caller is told when its request got no whole answer: a status, the
/// verdict, and when to come back (docs/design/verdicts.md).
#ifndef WASABI_ROUTING_PROBLEM_H
#define WASABI_ROUTING_PROBLEM_H

#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Core/Verdict.h"

namespace wasabi {

/// The header that carries the verdict of every answer given to a caller.
inline constexpr char VerdictHeader[] = "X-Wasabi-Verdict";

/// The status that tells a failure. Pure.
unsigned statusOf(const Failure &Why);

/// The whole refusal: status, verdict header, `Retry-After` in whole seconds
/// where coming back can help, and an `application/problem+json` body. Pure.
http::Response problemResponse(const Failure &Why);

} // namespace wasabi

#endif // WASABI_ROUTING_PROBLEM_H
