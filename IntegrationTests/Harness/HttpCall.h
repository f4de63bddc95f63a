/// \file
/// Sends one HTTP request and blocks until its whole answer has arrived.
#ifndef WASABI_INTEGRATIONTESTS_HARNESS_HTTPCALL_H
#define WASABI_INTEGRATIONTESTS_HARNESS_HTTPCALL_H

#include "Wasabi/Adapters/Http/HttpServer.h"

#include <boost/json/fwd.hpp>

#include <string>
#include <string_view>

namespace wasabi::harness {

/// Time limit of a test's control call.
constexpr Millis ControlCallTimeout{10000};

/// Sends the request on a new connection. Errors are those of
/// `http::Client::call`. Thread-safe.
Outcome<http::Response> call(const Address &Where, http::Request Request,
                             Millis Timeout = ControlCallTimeout);

/// Sends a GET and returns the body parsed as JSON. Fails for any status but
/// 200 and for a body that is not JSON. Thread-safe.
Outcome<boost::json::value> getJson(const Address &Where, std::string_view Path,
                                    Millis Timeout = ControlCallTimeout);

/// Sends a GET and returns the body as text. Fails for any status but 200.
/// Thread-safe.
Outcome<std::string> getText(const Address &Where, std::string_view Path,
                             Millis Timeout = ControlCallTimeout);

/// Sends a POST with a JSON body. Fails for a status of 300 or more.
/// Thread-safe.
Outcome<http::Response> postJson(const Address &Where, std::string_view Path,
                                 std::string Body,
                                 Millis Timeout = ControlCallTimeout);

} // namespace wasabi::harness

#endif // WASABI_INTEGRATIONTESTS_HARNESS_HTTPCALL_H
