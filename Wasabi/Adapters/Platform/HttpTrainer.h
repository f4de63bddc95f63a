/// \file
/// A trainer over HTTP (docs/PLATFORM.md, "trainer").
#ifndef WASABI_ADAPTERS_PLATFORM_HTTPTRAINER_H
#define WASABI_ADAPTERS_PLATFORM_HTTPTRAINER_H

#include "Wasabi/Adapters/Http/HttpClient.h"
#include "Wasabi/Ports/TrainerPort.h"

#include <memory>

namespace wasabi {

/// A trainer port on `Client`, for the thread of the client's executor.
TrainerPort makeHttpTrainer(std::shared_ptr<http::Client> Client,
                            Address Where);

} // namespace wasabi

#endif // WASABI_ADAPTERS_PLATFORM_HTTPTRAINER_H
