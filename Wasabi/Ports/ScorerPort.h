/// \file
/// What the core needs from the services that score samples.
#ifndef WASABI_PORTS_SCORERPORT_H
#define WASABI_PORTS_SCORERPORT_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Rollout/Slot.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace wasabi {

/// The scorer, used on the thread that built it.
struct ScorerPort {
  /// Scores a text. Idempotent: any failure may be tried again.
  std::function<boost::asio::awaitable<Outcome<double>>(
      Slot Place, std::string Text, Millis Timeout)>
      Score;
};

} // namespace wasabi

#endif // WASABI_PORTS_SCORERPORT_H
