/// \file
/// Client of a trainer over HTTP (docs/PLATFORM.md, "trainer").
#ifndef WASABI_ADAPTERS_PLATFORM_HTTPTRAINER_H
#define WASABI_ADAPTERS_PLATFORM_HTTPTRAINER_H

#include "Wasabi/Adapters/Http/HttpClient.h"
#include "Wasabi/Ports/TrainerPort.h"

#include <memory>

namespace wasabi {

/// Returns a trainer port that uses `Client`, for use on the thread of its
/// executor.
TrainerPort makeHttpTrainer(std::shared_ptr<http::Client> Client,
                            Address Where);

} // namespace wasabi

#endif // WASABI_ADAPTERS_PLATFORM_HTTPTRAINER_H
