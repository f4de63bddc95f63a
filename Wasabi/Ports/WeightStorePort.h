/// \file
/// What the core needs from the platform's weight store. Engines fetch the
/// weights themselves; here only publications are watched.
#ifndef WASABI_PORTS_WEIGHTSTOREPORT_H
#define WASABI_PORTS_WEIGHTSTOREPORT_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Verdict.h"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace wasabi {

/// The weight store, used on the thread that built it.
struct WeightStorePort {
  /// The newest published version of a model, first waiting up to `Wait` for
  /// one greater than `After`; 0 when there is none.
  std::function<boost::asio::awaitable<Outcome<WeightVersion>>(
      ModelName Model, WeightVersion After, Millis Wait)>
      Newest;
};

} // namespace wasabi

#endif // WASABI_PORTS_WEIGHTSTOREPORT_H
