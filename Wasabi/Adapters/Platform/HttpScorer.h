/// \file
/// Client of the scoring service over HTTP (docs/PLATFORM.md, "scorer").
#ifndef WASABI_ADAPTERS_PLATFORM_HTTPSCORER_H
#define WASABI_ADAPTERS_PLATFORM_HTTPSCORER_H

#include "Wasabi/Adapters/Http/HttpClient.h"
#include "Wasabi/Ports/ScorerPort.h"

#include <memory>

namespace wasabi {

/// Returns a scorer port that uses `Client`, for use on the thread of its
/// executor.
ScorerPort makeHttpScorer(std::shared_ptr<http::Client> Client, Address Where);

} // namespace wasabi

#endif // WASABI_ADAPTERS_PLATFORM_HTTPSCORER_H
