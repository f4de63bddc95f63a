/// \file
/// What a daemon asks of the engine behind it (docs/PLATFORM.md, "engine").
#ifndef WASABI_ADAPTERS_PROXY_ENGINEAPI_H
#define WASABI_ADAPTERS_PROXY_ENGINEAPI_H

#include "Wasabi/Adapters/Http/HttpClient.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Node/ControlPlane.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace wasabi {

/// What an engine says of itself. An immutable value.
struct EngineStatus {
  ModelName Model;
  WeightVersion Version = 0;
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  std::uint32_t Slots = 1;
  FencingToken Fence = 0;
  bool ChecksFences = false;
  bool Draining = false;
  bool operator==(const EngineStatus &) const = default;
};

/// Reads an engine's report. Failures: `BadInput`, place `engine state`. Pure.
Outcome<EngineStatus> parseEngineState(std::string_view Text);

/// Asks an engine for its state.
boost::asio::awaitable<Outcome<EngineStatus>>
readEngineState(http::Client &Client, Address Where, Millis Timeout);

/// Orders an engine to load a version. Its answer proves nothing: read the
/// state afterwards. Failures: `StaleFence` when the engine refused the token;
/// `Unavailable` when it failed; else those of the client.
boost::asio::awaitable<Outcome<Done>>
sendLoadOrder(http::Client &Client, Address Where, Order What, Millis Timeout);

/// A completion's body with this priority. Gives `Body` back when it is not a
/// JSON object. Pure.
std::string setRequestPriority(const std::string &Body, std::int32_t Priority);

} // namespace wasabi

#endif // WASABI_ADAPTERS_PROXY_ENGINEAPI_H
