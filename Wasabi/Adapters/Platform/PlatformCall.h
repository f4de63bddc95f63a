/// \file
/// JSON calls to platform services. Included by sources only.
#ifndef WASABI_ADAPTERS_PLATFORM_PLATFORMCALL_H
#define WASABI_ADAPTERS_PLATFORM_PLATFORMCALL_H

#include "Wasabi/Adapters/Http/HttpClient.h"

#include <boost/json/object.hpp>

#include <memory>
#include <string>

namespace wasabi {

/// A platform service: its client, its address and its name in failures.
struct PlatformService {
  std::shared_ptr<http::Client> Client;
  Address Where;
  std::string Place;
};

/// Response with any status, and its JSON object if it has one.
struct PlatformResponse {
  unsigned Status = 0;
  boost::json::object Body;
};

/// Sends a request and parses the JSON object of the response. Failures: those
/// of the client; `BadInput` for status 200 without a JSON object.
boost::asio::awaitable<Outcome<PlatformResponse>>
callPlatform(PlatformService Service, std::string Method, std::string Target,
             std::string Body, Millis Timeout);

/// Returns the failure for a status other than 200. Status 429 and 503 mean
/// that the request did not run, 409 that the fencing token is stale; with any
/// other, the request may have run.
Failure makeStatusFailure(const PlatformService &Service,
                          const PlatformResponse &Response);

} // namespace wasabi

#endif // WASABI_ADAPTERS_PLATFORM_PLATFORMCALL_H
