/// \file
/// Client of the platform's log service over HTTP (docs/PLATFORM.md, "log").
#ifndef WASABI_ADAPTERS_PLATFORMLOG_HTTPLOG_H
#define WASABI_ADAPTERS_PLATFORMLOG_HTTPLOG_H

#include "Wasabi/Adapters/Http/HttpClient.h"
#include "Wasabi/Ports/LogPort.h"

#include <memory>

namespace wasabi {

/// Returns a log port that uses `Client`, for use on the thread of its
/// executor.
LogPort makeHttpLog(std::shared_ptr<http::Client> Client, Address Service);

} // namespace wasabi

#endif // WASABI_ADAPTERS_PLATFORMLOG_HTTPLOG_H
