/// \file
/// HTTP messages as values, for whoever reads or makes them.
#ifndef WASABI_PORTS_HTTPMESSAGE_H
#define WASABI_PORTS_HTTPMESSAGE_H

#include "Wasabi/Core/Clock.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi::http {

/// A header field. Names compare without case.
struct Header {
  std::string Name;
  std::string Value;
  bool operator==(const Header &) const = default;
};

/// A whole request. An immutable value once received.
struct Request {
  std::string Method;
  /// Path and query as sent.
  std::string Target;
  std::vector<Header> Headers;
  std::string Body;
  /// A client writes nothing of it after this, however long the connection took
  /// or the process was suspended: what allowed it to be sent has run out.
  std::optional<TimePoint> SendDeadline = {};

  /// The first value of a header, compared without case; empty if absent.
  std::string_view header(std::string_view Name) const;
  /// The target without its query.
  std::string_view path() const;
  /// The value of a query parameter, percent-decoded; empty if absent.
  std::string query(std::string_view Name) const;
};

/// A whole response.
struct Response {
  unsigned Status = 200;
  std::vector<Header> Headers;
  std::string Body;

  std::string_view header(std::string_view Name) const;
};

/// `Status` with a JSON body.
Response jsonResponse(unsigned Status, std::string Body);

} // namespace wasabi::http

#endif // WASABI_PORTS_HTTPMESSAGE_H
