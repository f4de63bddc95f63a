/// \file
/// Interface to the platform's weight store. Used to detect published versions;
/// engines fetch the weights themselves.
#ifndef WASABI_PORTS_WEIGHTSTOREPORT_H
#define WASABI_PORTS_WEIGHTSTOREPORT_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Verdict.h"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace wasabi {

/// Calls to the weight store. Use a port on the thread that created it.
struct WeightStorePort {
  /// Returns the latest published version of a model, 0 if there is none. Waits
  /// up to `PollTimeout` for a version greater than `After`.
  std::function<boost::asio::awaitable<Outcome<WeightVersion>>(
      ModelName Model, WeightVersion After, Millis PollTimeout)>
      Newest;
};

} // namespace wasabi

#endif // WASABI_PORTS_WEIGHTSTOREPORT_H
