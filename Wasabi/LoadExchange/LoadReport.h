/// \file
/// The report of one process on the load of its services, and its text in the
/// topic `keyed.load`.
#ifndef WASABI_LOADEXCHANGE_LOADREPORT_H
#define WASABI_LOADEXCHANGE_LOADREPORT_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Verdict.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace wasabi {

/// Topic of the load reports, keyed by the instance that writes them.
inline constexpr const char *LoadTopic = "keyed.load";
/// Maximum size of a report's text in bytes.
inline constexpr std::size_t MaxReportBytes = 4096;
/// Maximum number of customers that a report names for one service.
inline constexpr std::size_t MaxReportedCustomers = 16;

/// Requests of one customer, or of several together. An immutable value.
struct CustomerLoad {
  /// Arrivals per second.
  double ArrivalRate = 0;
  /// Requests that have arrived and are not finished, waiting ones included.
  std::uint32_t InFlight = 0;
  bool operator==(const CustomerLoad &) const = default;
};

/// What one process has measured at one server. An immutable value.
struct ReportedServer {
  /// Latency estimate in milliseconds; 0 if unknown.
  double LatencyMs = 0;
  /// Answers within the last second.
  std::uint32_t Samples = 0;
  /// Requests of the process that are in flight at the server.
  std::uint32_t InFlight = 0;
  bool operator==(const ReportedServer &) const = default;
};

/// What one process reports on one service. An immutable value.
struct ReportedService {
  /// The customers with the largest load.
  std::map<CustomerName, CustomerLoad> Customers;
  /// Number of further customers, and their load together.
  std::uint32_t OtherCustomers = 0;
  CustomerLoad Others;
  std::map<ServerIncarnation, ReportedServer> Servers;
  bool operator==(const ReportedService &) const = default;
};

/// The report of one process. An immutable value.
struct LoadReport {
  /// Start of the process. A later one supersedes all earlier ones.
  Incarnation Life = 0;
  /// Greater in each report of the same incarnation.
  std::uint64_t Sequence = 0;
  /// Time after which the process means to report again.
  Millis Interval{1000};
  std::map<ServiceName, ReportedService> Services;
  bool operator==(const LoadReport &) const = default;
};

/// Returns the report with at most `MaxCustomers` named customers and
/// `MaxServers` servers for each service: the customers with the most requests
/// in flight, the others added to `Others`, and the servers with the most
/// samples. Pure.
LoadReport limitReport(const LoadReport &Report, std::size_t MaxCustomers,
                       std::size_t MaxServers);

/// Returns the text of a report. Rates are rounded to a tenth of a request per
/// second and latencies to a tenth of a millisecond. Names only as many
/// customers and servers, and then services, as fit into `MaxReportBytes`.
/// Pure.
std::string encodeReport(const LoadReport &Report);

/// Decodes the text of a report. Errors: `BadInput` at `Place`, also if the
/// text exceeds `MaxReportBytes`. Thread-safe.
Result<LoadReport> decodeReport(std::string_view Text,
                                const std::string &Place);

} // namespace wasabi

#endif // WASABI_LOADEXCHANGE_LOADREPORT_H
