/// \file
/// How far a process has read the topic of the configuration. Decisions that
/// can't be undone need it: that the configuration in use has no route or no
/// customer says nothing about a newer one.
#ifndef WASABI_UPSTREAM_CONFIGURATIONREADER_H
#define WASABI_UPSTREAM_CONFIGURATIONREADER_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Verdict.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>

namespace wasabi {

/// Functions of the follower of the configuration's topic. Use them on its
/// thread only.
struct ConfigurationReader {
  /// See `KeyedFollower::currentAsOf`.
  std::function<std::optional<TimePoint>()> CurrentAsOf;
  /// See `KeyedFollower::refresh`.
  std::function<boost::asio::awaitable<Outcome<Done>>()> Refresh;
};

} // namespace wasabi

#endif // WASABI_UPSTREAM_CONFIGURATIONREADER_H
