/// \file
/// Which header fields cross a proxy. Pure.
#ifndef WASABI_ADAPTERS_PROXY_PROXYHEADERS_H
#define WASABI_ADAPTERS_PROXY_PROXYHEADERS_H

#include "Wasabi/Adapters/Http/HttpServer.h"

#include <string_view>
#include <vector>

namespace wasabi {

/// Takes out what holds for one connection only (RFC 9110, 7.6.1), and what
/// the next connection frames anew: length, host, expectations.
void removeHopByHopHeaders(std::vector<http::Header> &Headers);

/// Takes out every field of this name, compared without case.
void removeHeader(std::vector<http::Header> &Headers, std::string_view Name);

} // namespace wasabi

#endif // WASABI_ADAPTERS_PROXY_PROXYHEADERS_H
