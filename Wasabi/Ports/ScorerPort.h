/// \file
/// Interface to the services that score samples.
#ifndef WASABI_PORTS_SCORERPORT_H
#define WASABI_PORTS_SCORERPORT_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Rollout/Slot.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace wasabi {

/// Calls to the scorer. Use a port on the thread that created it.
struct ScorerPort {
  /// Returns the score of a text. Idempotent: any failure may be retried.
  std::function<boost::asio::awaitable<Outcome<double>>(
      Slot Place, std::string Text, Millis Timeout)>
      Score;
};

} // namespace wasabi

#endif // WASABI_PORTS_SCORERPORT_H
