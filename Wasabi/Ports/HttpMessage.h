/// \file
/// HTTP messages as plain values.
#ifndef WASABI_PORTS_HTTPMESSAGE_H
#define WASABI_PORTS_HTTPMESSAGE_H

#include "Wasabi/Core/Clock.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi::http {

/// A header field. Names are compared case-insensitively.
struct Header {
  std::string Name;
  std::string Value;
  bool operator==(const Header &) const = default;
};

/// A complete request. Immutable once received.
struct Request {
  std::string Method;
  /// Path and query as sent.
  std::string Target;
  std::vector<Header> Headers;
  std::string Body;
  /// The client writes no byte of the request after this time, even after a
  /// slow connect or a suspension, because the authority to send it has
  /// expired.
  std::optional<TimePoint> SendDeadline = {};
  /// Set if copies of the request share their body; `Body` is empty then.
  std::shared_ptr<const std::string> SharedBody = {};

  /// Returns the body, whether it is shared or not.
  std::string_view body() const { return SharedBody ? *SharedBody : Body; }
  /// Makes copies of the request share a body that is large.
  void shareBody();
  /// Returns the first value of a header; empty if absent. Case-insensitive.
  std::string_view header(std::string_view Name) const;
  /// Returns the target without its query.
  std::string_view path() const;
  /// Returns the percent-decoded value of a query parameter; empty if absent.
  std::string query(std::string_view Name) const;
};

/// A complete response.
struct Response {
  unsigned Status = 200;
  std::vector<Header> Headers;
  std::string Body;

  std::string_view header(std::string_view Name) const;
};

/// Makes a response with a JSON body.
Response jsonResponse(unsigned Status, std::string Body);

} // namespace wasabi::http

#endif // WASABI_PORTS_HTTPMESSAGE_H
