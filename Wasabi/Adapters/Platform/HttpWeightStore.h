/// \file
/// The weight store over HTTP (docs/PLATFORM.md, "weights").
#ifndef WASABI_ADAPTERS_PLATFORM_HTTPWEIGHTSTORE_H
#define WASABI_ADAPTERS_PLATFORM_HTTPWEIGHTSTORE_H

#include "Wasabi/Adapters/Http/HttpClient.h"
#include "Wasabi/Ports/WeightStorePort.h"

#include <memory>

namespace wasabi {

/// A weight store port on `Client`, for the thread of the client's executor.
WeightStorePort makeHttpWeightStore(std::shared_ptr<http::Client> Client,
                                    Address Where);

} // namespace wasabi

#endif // WASABI_ADAPTERS_PLATFORM_HTTPWEIGHTSTORE_H
