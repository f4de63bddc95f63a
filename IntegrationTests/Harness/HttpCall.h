/// \file
/// One HTTP request and its whole answer, waited for by the calling thread.
#ifndef WASABI_INTEGRATIONTESTS_HARNESS_HTTPCALL_H
#define WASABI_INTEGRATIONTESTS_HARNESS_HTTPCALL_H

#include "Wasabi/Adapters/Http/HttpServer.h"

#include <boost/json/fwd.hpp>

#include <string>
#include <string_view>

namespace wasabi::harness {

/// How long a control call of a test may take.
constexpr Millis ControlCallTimeout{10000};

/// Sends `Ask` on a connection of its own. Failures as of `http::Client::call`.
/// Thread-safe.
Outcome<http::Response> call(const Address &Where, http::Request Ask,
                             Millis Limit = ControlCallTimeout);

/// GET of a path, the body read as JSON. Any status but 200, and a body that is
/// no JSON, are failures. Thread-safe.
Outcome<boost::json::value> getJson(const Address &Where, std::string_view Path,
                                    Millis Limit = ControlCallTimeout);

/// GET of a path as text. Any status but 200 is a failure. Thread-safe.
Outcome<std::string> getText(const Address &Where, std::string_view Path,
                             Millis Limit = ControlCallTimeout);

/// POST of a JSON body. A status of 300 or more is a failure. Thread-safe.
Outcome<http::Response> postJson(const Address &Where, std::string_view Path,
                                 std::string Body,
                                 Millis Limit = ControlCallTimeout);

} // namespace wasabi::harness

#endif // WASABI_INTEGRATIONTESTS_HARNESS_HTTPCALL_H
