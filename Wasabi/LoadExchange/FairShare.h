/// \file
/// Max-min fair shares of a service's room among customers and processes.
#ifndef WASABI_LOADEXCHANGE_FAIRSHARE_H
#define WASABI_LOADEXCHANGE_FAIRSHARE_H

#include "Wasabi/LoadExchange/ServiceLoad.h"

#include <map>
#include <optional>
#include <vector>

namespace wasabi {

/// Demand for one service at one process, in concurrent requests. An immutable
/// value.
struct ServiceDemand {
  std::map<CustomerName, double> Customers;
  /// Number of further customers, and their demand together.
  std::uint32_t OtherCustomers = 0;
  double Others = 0;
  bool operator==(const ServiceDemand &) const = default;
};

/// Returns the demand of all customers together. Pure.
double totalDemand(const ServiceDemand &Demand);

/// One claim to a part of a room. A value.
struct ShareClaim {
  double Demand = 0;
  double Weight = 1;
};

/// Returns the level `L` at which the shares `min(Demand, L * Weight)` of the
/// claims add up to `Room`; empty if the whole demand fits into it. Pure.
std::optional<double> fairLevel(std::vector<ShareClaim> Claims, double Room);

/// Returns the part of `Room` that the process with the demand `Own` may use
/// beside processes with the demands `Others`; empty if the demand of all does
/// not exceed the room. Customers have equal weights; those that a process does
/// not name share as many weights as the process with the most of them counts,
/// since the same ones may be behind the reports of several processes. A
/// customer's share is divided among the processes in proportion to its demand
/// at each. `Concurrency` is the sum of the process's portions, rounded up, so
/// that the limits of all processes exceed the room by at most one request
/// each. Pure.
std::optional<FairShare> fairShareOf(const ServiceDemand &Own,
                                     const std::vector<ServiceDemand> &Others,
                                     double Room);

} // namespace wasabi

#endif // WASABI_LOADEXCHANGE_FAIRSHARE_H
