/// \file
/// The load of one service as other processes report it, and the share of its
/// room that this process may use.
#ifndef WASABI_LOADEXCHANGE_SERVICELOAD_H
#define WASABI_LOADEXCHANGE_SERVICELOAD_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"

#include <cstdint>
#include <map>

namespace wasabi {

/// What other processes have measured at one server. An immutable value.
struct ServerLoad {
  /// Mean of the processes' latency estimates in milliseconds, weighted by
  /// their samples; 0 if unknown.
  double LatencyMs = 0;
  /// Number of samples behind `LatencyMs`.
  double Samples = 0;
  /// Requests of the other processes that are in flight at the server.
  std::uint32_t InFlight = 0;
  /// Arrival of the newest report of the server at this process.
  TimePoint MeasuredAt;
  bool operator==(const ServerLoad &) const = default;
};

/// The load of one service from all other processes. An immutable value.
struct ServiceLoad {
  std::map<ServerIncarnation, ServerLoad> Servers;
  /// Number of other processes with a current report.
  std::uint32_t Processes = 0;
  bool operator==(const ServiceLoad &) const = default;
};

/// The part of a service's room that one process may use. An immutable value.
struct FairShare {
  /// Maximum number of requests in flight, at least 1.
  std::uint32_t Concurrency = 1;
  /// Each customer's part of `Concurrency`.
  std::map<CustomerName, double> Customers;
  bool operator==(const FairShare &) const = default;
};

} // namespace wasabi

#endif // WASABI_LOADEXCHANGE_SERVICELOAD_H
