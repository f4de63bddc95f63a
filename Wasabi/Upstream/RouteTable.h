/// \file
/// Which requests go to which service, as the operator's newest configuration
/// says it.
#ifndef WASABI_UPSTREAM_ROUTETABLE_H
#define WASABI_UPSTREAM_ROUTETABLE_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Customers/CustomerTable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi {

/// What may be done with a request of a route.
enum class RouteKind : std::uint8_t {
  /// May run more than once.
  Idempotent,
  /// Runs at most once.
  NonIdempotent,
  /// Answered by a series of events.
  Streaming,
  /// Submits batch jobs of items that are run later.
  Rollout,
};

/// The word for a kind, lower-case with dashes. Thread-safe.
std::string_view toText(RouteKind Kind);

/// A service and its part of a route's requests.
struct ServiceShare {
  ServiceName Service;
  /// Relative to the other shares of the route.
  std::uint32_t Weight = 1;
  bool operator==(const ServiceShare &) const = default;
};

/// One route. An immutable value.
struct UpstreamRoute {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  RouteKind Kind = RouteKind::Idempotent;
  /// Longest that a caller is kept waiting.
  Millis Timeout{2000};
  /// Within this an answer has its full value.
  Millis LatencyTarget{400};
  /// 0 is the most urgent.
  std::uint32_t Priority = 5;
  /// Most servers that one request may be sent to.
  std::uint32_t MaxAttempts = 1;
  std::vector<ServiceShare> Services;
  /// Whether a stream may go on at another server.
  bool Resumable = false;
  /// Whether requests need no key.
  bool Public = false;
  /// Whether a sample's text must come from one weight version.
  bool SingleVersion = false;
  /// When the results of a batch job are due, from its submission.
  Millis ResultDeadline{0};
  /// When an item may be given up, from its job's submission.
  Millis Retention{0};
  bool operator==(const UpstreamRoute &) const = default;
};

/// What model engines of a service can do.
struct EngineTraits {
  /// Requests that run at once on one server.
  std::uint32_t Slots = 1;
  std::vector<ModelName> Models;
  bool operator==(const EngineTraits &) const = default;
};

/// One service. An immutable value.
struct UpstreamService {
  ServiceName Name;
  std::string HealthPath;
  /// Connections that one server takes from all callers together.
  std::uint32_t MaxConnections = 0;
  /// Set for model engines.
  std::optional<EngineTraits> Engine;
  bool operator==(const UpstreamService &) const = default;
};

/// What a caller may send and how long it may take.
struct RequestLimits {
  std::uint32_t HeaderBytes = 16384;
  std::uint64_t BodyBytes = 33554432;
  Millis HeaderTimeout{3000};
  Millis IdleTimeout{15000};
  bool operator==(const RequestLimits &) const = default;
};

/// A whole configuration. An immutable value.
struct RouteTable {
  /// Greater versions replace lesser ones.
  std::uint64_t Version = 0;
  std::vector<UpstreamRoute> Routes;
  std::vector<UpstreamService> Services;
  RequestLimits Limits;
  /// Who may call; empty where nobody is asked for a key.
  std::optional<CustomerTable> Customers;
  bool operator==(const RouteTable &) const = default;
};

/// The route of a host and a path, which may carry a query: the longest prefix
/// that begins the path; null if none does. A port in `Host` is passed over.
/// Pure, thread-safe.
const UpstreamRoute *findRoute(const RouteTable &Table, std::string_view Host,
                               std::string_view Path);

/// The service of a request: shares are taken by `Draw`, uniform in 0 to 1.
/// Precondition: the route has a service. Pure, thread-safe.
const ServiceName &pickService(const UpstreamRoute &Route, double Draw);

/// The service of this name, null if there is none. Pure, thread-safe.
const UpstreamService *findService(const RouteTable &Table,
                                   const ServiceName &Name);

} // namespace wasabi

#endif // WASABI_UPSTREAM_ROUTETABLE_H
