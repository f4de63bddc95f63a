/// \file
/// Client of the weight store over HTTP (docs/PLATFORM.md, "weights").
#ifndef WASABI_ADAPTERS_PLATFORM_HTTPWEIGHTSTORE_H
#define WASABI_ADAPTERS_PLATFORM_HTTPWEIGHTSTORE_H

#include "Wasabi/Adapters/Http/HttpClient.h"
#include "Wasabi/Ports/WeightStorePort.h"

#include <memory>

namespace wasabi {

/// Returns a weight store port that uses `Client`, for use on the thread of its
/// executor.
WeightStorePort makeHttpWeightStore(std::shared_ptr<http::Client> Client,
                                    Address Where);

} // namespace wasabi

#endif // WASABI_ADAPTERS_PLATFORM_HTTPWEIGHTSTORE_H
