/// \file
/// Checks the observations of clients and servers of a soak test for
/// violations. Pure.
#ifndef WASABI_INTEGRATIONTESTS_SOAK_SOAKJUDGE_H
#define WASABI_INTEGRATIONTESTS_SOAK_SOAKJUDGE_H

#include "IntegrationTests/Platform/PlatformReportEndpoint.h"
#include "IntegrationTests/Platform/PlatformServers.h"
#include "IntegrationTests/Soak/SoakObservations.h"
#include "IntegrationTests/Soak/SoakPlan.h"

#include <string>
#include <vector>

namespace wasabi::soak {

/// Time span in which a fault was active.
struct FaultWindow {
  SoakFault Kind = SoakFault::Configure;
  TimePoint From;
  TimePoint To;
};

/// A planned stop of an edge process.
struct EdgeStop {
  std::size_t Edge = 0;
  /// Incarnation that was stopped.
  std::uint64_t Life = 0;
  TimePoint At;
};

/// A server that reported that it drains.
struct ServerDrain {
  std::string Server;
  TimePoint At;
};

/// A published configuration.
struct ConfigPublication {
  std::uint64_t Version = 0;
  TimePoint At;
};

/// Revocation or restoration of a customer's revocable key.
struct KeyChange {
  std::size_t Customer = 0;
  bool Revoked = false;
  TimePoint At;
};

/// Contained in the ids of the harness's own requests, which verify the
/// recovery.
inline constexpr const char *HarnessRequestName = "soak-own";

/// Ground truth recorded by the servers and the injector.
struct SoakGroundTruth {
  std::vector<test::ServerCall> PlainRuns;
  std::vector<test::ServerCall> EngineRuns;
  /// Orders by engine.
  std::vector<std::vector<test::ServerCall>> Orders;
  std::vector<FaultWindow> Faults;
  std::vector<EdgeStop> Stops;
  std::vector<ServerDrain> Drains;
  std::vector<ConfigPublication> Publications;
  /// Kills of edge processes.
  std::vector<EdgeStop> Kills;
  /// Time span in which processes could not write to the store; `Edge` is empty
  /// for all processes.
  struct StoreOutagePeriod {
    std::optional<std::size_t> Edge;
    test::TimeSpan When;
  };
  std::vector<StoreOutagePeriod> StoreOutagePeriods;
  std::vector<KeyChange> KeyChanges;
  /// Calls received by the usage report endpoint.
  std::vector<test::ReportCall> Reports;
  /// Time spans in which delayed calls may arrive.
  std::vector<test::TimeSpan> ReportDelaySpans;
  /// Edge processes that did not exit within the stop timeout.
  std::vector<std::size_t> UnstoppedEdges;
  /// Log output of the processes that have exited.
  std::string Output;
};

/// Time limits and counts that are guaranteed to users.
struct SoakBounds {
  /// Fault-free time after which timed guarantees apply.
  Millis FaultFreeTime{3000};
  Millis DrainTimeout{2000};
  Millis ConfigureTimeout{2000};
  Millis ConfigRegressTolerance{250};
  Millis CancelTimeout{3000};
  /// Tolerance for delays of the machine that runs the test.
  Millis TimingTolerance{400};
  std::size_t MaxAttempts = 3;
  /// Maximum number of servers that a request may crash: three, and one more if
  /// another suspect was in flight on the server each time.
  std::size_t MaxCrashesPerRequest = 4;
};

/// True if no unplanned fault was active from `FaultFreeTime` before `From`
/// until `To`.
bool isFaultFree(const SoakGroundTruth &Truth, const SoakBounds &Bounds,
                 TimePoint From, TimePoint To);

/// Returns the violated guarantees, one line each.
std::vector<std::string> findViolations(const SoakObservations &Seen,
                                        const SoakGroundTruth &Truth,
                                        const SoakBounds &Bounds = {});

} // namespace wasabi::soak

#endif // WASABI_INTEGRATIONTESTS_SOAK_SOAKJUDGE_H
