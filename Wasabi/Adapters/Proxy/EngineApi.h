/// \file
/// HTTP interface of the engine behind a daemon (docs/PLATFORM.md, "engine").
#ifndef WASABI_ADAPTERS_PROXY_ENGINEAPI_H
#define WASABI_ADAPTERS_PROXY_ENGINEAPI_H

#include "Wasabi/Adapters/Http/HttpClient.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Node/ControlPlane.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace wasabi {

/// State reported by an engine. An immutable value.
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

/// Parses an engine's state report. Failures: `BadInput`, place `engine state`.
/// Pure.
Outcome<EngineStatus> parseEngineState(std::string_view Text);

/// Reads the state of an engine. Failures: `Unavailable` for a status other
/// than 200; those of `parseEngineState` and of the client.
boost::asio::awaitable<Outcome<EngineStatus>>
readEngineState(http::Client &Client, Address Where, Millis Timeout);

/// Orders an engine to load a version. The response does not prove which
/// version is loaded: read the state afterwards. Failures: `StaleFence` if the
/// engine refused the token; `Unavailable` for another error status; those of
/// the client.
boost::asio::awaitable<Outcome<Done>> sendLoadOrder(http::Client &Client,
                                                    Address Where,
                                                    Order LoadOrder,
                                                    Millis Timeout);

/// Returns the body of a completion request with its priority set. Returns
/// `Body` unchanged if it is not a JSON object. Pure.
std::string setRequestPriority(const std::string &Body, std::int32_t Priority);

} // namespace wasabi

#endif // WASABI_ADAPTERS_PROXY_ENGINEAPI_H
