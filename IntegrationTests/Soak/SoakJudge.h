/// \file
/// Holds what clients and servers of a soak saw against the promises. Pure.
#ifndef WASABI_INTEGRATIONTESTS_SOAK_SOAKJUDGE_H
#define WASABI_INTEGRATIONTESTS_SOAK_SOAKJUDGE_H

#include "IntegrationTests/Platform/PlatformReportEndpoint.h"
#include "IntegrationTests/Platform/PlatformServers.h"
#include "IntegrationTests/Soak/SoakObservations.h"
#include "IntegrationTests/Soak/SoakPlan.h"

#include <string>
#include <vector>

namespace wasabi::soak {

/// A step as it was carried out.
struct FaultWindow {
  SoakFault Kind = SoakFault::Configure;
  TimePoint From;
  TimePoint To;
};

/// A planned stop of an edge process.
struct EdgeStop {
  std::size_t Edge = 0;
  /// Which start of it was stopped.
  std::uint64_t Life = 0;
  TimePoint At;
};

/// A server that reported that it leaves.
struct ServerDrain {
  std::string Server;
  TimePoint At;
};

/// A configuration that was published.
struct Publication {
  std::uint64_t Version = 0;
  TimePoint At;
};

/// A customer's passing key was taken away, or is back.
struct KeyChange {
  std::size_t Customer = 0;
  bool Revoked = false;
  TimePoint At;
};

/// Requests that the soak itself makes to see that all is served again.
inline constexpr const char *HarnessRequestName = "soak-own";

/// What really happened, as the servers and the injector know it.
struct SoakGroundTruth {
  std::vector<test::ServerCall> PlainRuns;
  std::vector<test::ServerCall> EngineRuns;
  /// By engine.
  std::vector<std::vector<test::ServerCall>> Orders;
  std::vector<FaultWindow> Faults;
  std::vector<EdgeStop> Stops;
  std::vector<ServerDrain> Drains;
  std::vector<Publication> Publications;
  /// Edge processes that were killed.
  std::vector<EdgeStop> Kills;
  /// When processes could not write to the store; `Edge` is empty for all.
  struct StoreOutagePeriod {
    std::optional<std::size_t> Edge;
    test::TimeSpan When;
  };
  std::vector<StoreOutagePeriod> StoreOutagePeriods;
  std::vector<KeyChange> KeyChanges;
  /// Calls that arrived where usage is reported.
  std::vector<test::ReportCall> Reports;
  /// When such calls may arrive that were held up.
  std::vector<test::TimeSpan> ReportDelaySpans;
  /// Edge processes that were still there long after their grace.
  std::vector<std::size_t> UnstoppedEdges;
  /// What processes that are gone had logged.
  std::string Output;
};

/// Bounds of the promises that have a time, as the users' pages set them.
struct SoakBounds {
  /// Without a fault for this long, promises with a time hold.
  Millis FaultFreeTime{3000};
  Millis Drain{2000};
  Millis Configure{2000};
  Millis ConfigRegressTolerance{250};
  Millis Cancel{3000};
  /// What the machine under the soak may add.
  Millis Slack{400};
  std::size_t MaxAttempts = 3;
  /// Servers that a request may end, and the tries that may come later than
  /// `Calm` after the last of these.
  std::size_t Ends = 3;
  std::size_t MaxLateCrashRequests = 3;
};

/// Whether nothing unplanned was wrong from `Calm` before `From` to `To`.
bool isFaultFree(const SoakGroundTruth &Truth, const SoakBounds &Bounds,
                 TimePoint From, TimePoint To);

/// Each broken promise, one line each.
std::vector<std::string> findViolations(const SoakObservations &Seen,
                                        const SoakGroundTruth &Truth,
                                        const SoakBounds &Bounds = {});

} // namespace wasabi::soak

#endif // WASABI_INTEGRATIONTESTS_SOAK_SOAKJUDGE_H
