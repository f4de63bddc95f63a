/// \file
/// What this process observes of its services: arrivals, latencies, and whether
/// a service is under strain.
#ifndef WASABI_LOADEXCHANGE_LOCALLOAD_H
#define WASABI_LOADEXCHANGE_LOCALLOAD_H

#include "Wasabi/LoadExchange/LoadReport.h"
#include "Wasabi/LoadExchange/ServiceLoad.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace wasabi {

/// Counts events of about the last second. A value.
struct RecentCount {
  static constexpr std::size_t Parts = 4;
  /// Events by quarter of a second, and the quarter that each one counts.
  std::array<std::uint32_t, Parts> Counts{};
  std::array<std::int64_t, Parts> Quarters{};
};

/// Counts one event. Modifies only `Count`.
void recordEvent(RecentCount &Count, TimePoint Now);

/// Returns the number of events within the last 0.75 to 1 second. Pure.
std::uint32_t recentEvents(const RecentCount &Count, TimePoint Now);

/// Why a service is under strain.
enum class StrainCause : std::uint8_t {
  /// A server refused a request for lack of capacity.
  Refusal,
  /// An answer exceeded its route's latency target.
  LateAnswer,
  /// The latencies of two servers differ.
  UnevenServers,
};

/// Returns a text for logs and metric labels.
std::string_view toText(StrainCause Cause);

/// The requests of one customer for one service.
struct LocalCustomer {
  std::uint32_t InFlight = 0;
  /// Sum of the arrivals, each of which decays exponentially.
  double DecayedArrivals = 0;
  /// Time to which `DecayedArrivals` refers.
  TimePoint LastArrival;
};

/// The answers of one server.
struct LocalServer {
  double LatencyMs = 0;
  RecentCount Answers;
  TimePoint LastAnswer;
};

/// One service as this process sees it.
struct LocalService {
  std::map<CustomerName, LocalCustomer> Customers;
  std::map<ServerIncarnation, LocalServer> Servers;
  /// Set while the service is under strain.
  std::optional<TimePoint> StrainedSince;
  TimePoint StrainedUntil;
};

/// All services of this process. Owned by one thread.
struct LocalLoad {
  struct Settings {
    /// Time for which a service is under strain after an observation of it.
    Millis StrainTime{2000};
    /// Two servers are uneven if their estimates differ by more than this
    /// factor, with as many samples each.
    double UnevenFactor = 2;
    std::uint32_t UnevenSamples = 3;
    /// Time constant of the arrival rates. Long enough for a rate of one
    /// request in some seconds, as small processes have it.
    Millis RateTime{2000};
    /// Weight of a latency above the estimate and of one below it.
    double RiseWeight = 0.5;
    double FallWeight = 0.2;
    /// Customers and servers are forgotten after this time without a request.
    Millis MemoryTime{60000};
    /// Relative difference of an estimate with `UrgentSamples` from what is
    /// known that makes a report urgent.
    double UrgentChange = 0.25;
    std::uint32_t UrgentSamples = 2;
  };

  Settings Limits;
  std::map<ServiceName, LocalService> Services;
};

/// Records the arrival of a request. Modifies only `Load`.
void noteArrival(LocalLoad &Load, const ServiceName &Service,
                 const CustomerName &Customer, TimePoint Now);

/// Records the end of a request that has arrived. Modifies only `Load`.
void noteEnd(LocalLoad &Load, const ServiceName &Service,
             const CustomerName &Customer);

/// Records an answer. Returns true if the estimate of its server differs from
/// that of another one by so much that the service is under strain. Modifies
/// only `Load`.
bool noteLatency(LocalLoad &Load, const ServiceName &Service,
                 const ServerIncarnation &Server, double LatencyMs,
                 TimePoint Now);

/// Records an observation of strain. Returns true if the service was not under
/// strain. Modifies only `Load`.
bool noteStrain(LocalLoad &Load, const ServiceName &Service, TimePoint Now);

/// A service that is no longer under strain. A value.
struct EndedStrain {
  ServiceName Service;
  Millis Duration{0};
};

/// Ends the strain of the services whose time has passed and returns them.
/// Modifies only `Load`.
std::vector<EndedStrain> endStrains(LocalLoad &Load, TimePoint Now);

/// Returns whether a service is under strain. Pure.
bool isStrained(const LocalLoad &Load, const ServiceName &Service);

/// Returns whether any service is under strain. Pure.
bool hasStrain(const LocalLoad &Load);

/// Returns the report on the services under strain, without the requests in
/// flight at their servers. Pure.
LoadReport makeReport(const LocalLoad &Load, TimePoint Now);

/// Returns whether `Current` contains something that should be known at once: a
/// service that `Last` lacks, or a latency estimate that differs by
/// `UrgentChange` both from that in `Last` and from the merged one of
/// `Others`. Pure.
bool isUrgent(const LocalLoad::Settings &Limits, const LoadReport &Current,
              const LoadReport &Last,
              const std::map<ServiceName, ServiceLoad> &Others);

} // namespace wasabi

#endif // WASABI_LOADEXCHANGE_LOCALLOAD_H
