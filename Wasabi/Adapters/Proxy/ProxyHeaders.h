/// \file
/// Removes header fields that a proxy must not forward. Pure.
#ifndef WASABI_ADAPTERS_PROXY_PROXYHEADERS_H
#define WASABI_ADAPTERS_PROXY_PROXYHEADERS_H

#include "Wasabi/Adapters/Http/HttpServer.h"

#include <string_view>
#include <vector>

namespace wasabi {

/// Removes hop-by-hop fields (RFC 9110, 7.6.1) and fields that the next
/// connection sets itself: length, host and expectations.
void removeHopByHopHeaders(std::vector<http::Header> &Headers);

/// Removes all fields with this name, ignoring case.
void removeHeader(std::vector<http::Header> &Headers, std::string_view Name);

} // namespace wasabi

#endif // WASABI_ADAPTERS_PROXY_PROXYHEADERS_H
