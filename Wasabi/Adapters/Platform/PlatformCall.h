/// \file
/// One JSON call to a platform service. Included by sources only.
#ifndef WASABI_ADAPTERS_PLATFORM_PLATFORMCALL_H
#define WASABI_ADAPTERS_PLATFORM_PLATFORMCALL_H

#include "Wasabi/Adapters/Http/HttpClient.h"

#include <boost/json/object.hpp>

#include <memory>
#include <string>

namespace wasabi {

/// A platform service: where it is, and its name for failures.
struct PlatformService {
  std::shared_ptr<http::Client> Client;
  Address Where;
  std::string Place;
};

/// An answer of any status, with its JSON object if it has one.
struct PlatformResponse {
  unsigned Status = 0;
  boost::json::object Body;
};

/// Calls and reads the answer's object. Failures: those of the client, and
/// `BadInput` for a 200 without a JSON object.
boost::asio::awaitable<Outcome<PlatformResponse>>
callPlatform(PlatformService Of, std::string Method, std::string Target,
             std::string Body, Millis Timeout);

/// The failure that a status other than 2xx stands for: 429 and 503 did not
/// run, 409 is a stale token, any other may have run.
Failure failureOf(const PlatformService &Of, const PlatformResponse &Answer);

} // namespace wasabi

#endif // WASABI_ADAPTERS_PLATFORM_PLATFORMCALL_H
