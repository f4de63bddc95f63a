/// \file
/// Load balancing: chooses the server of the next attempt among a few random
/// candidates by expected wait, prefix-cache affinity and failure domain.
/// Includes bounded outlier ejection and slow start of new servers
/// (docs/design/choice-of-upstream.md).
#ifndef WASABI_ROUTING_LOADBALANCING_H
#define WASABI_ROUTING_LOADBALANCING_H

#include "Wasabi/Adapters/Frames/RequestClient.h"
#include "Wasabi/Config/Configuration.h"
#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Membership/View.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace wasabi {

/// Identifies a server and the daemon in front of it.
struct ServerKey {
  InstanceName Instance;
  ServerName Server;
  auto operator<=>(const ServerKey &) const = default;
};

/// A server that can take requests according to the membership view. An
/// immutable value.
struct Candidate {
  ServerKey Key;
  Incarnation Life = 0;
  DomainName Domain;
  Address Where;
  std::uint32_t Slots = 1;
  bool operator==(const Candidate &) const = default;
};

/// Statistics of one server, as seen by this process.
struct ServerStats {
  /// Attempts of this process in flight.
  std::uint32_t InFlight = 0;
  /// The daemon's last load report, and `InFlight` at its receipt.
  ReportedLoad Load;
  std::uint32_t InFlightAtLoad = 0;
  bool HasLoad = false;
  /// Moving average of the duration of an attempt, in microseconds; 0 if
  /// unknown.
  double ServiceMicros = 0;
  /// When the last complete answer arrived.
  TimePoint LastSample;
  std::uint32_t ConsecutiveFailures = 0;
  /// Ejections since the last success; each one doubles the next ejection time.
  std::uint32_t Ejections = 0;
  /// The server gets no attempts before this time, because it is ejected or
  /// asked for a retry delay.
  TimePoint AvoidUntil;
  /// Per flow, the time before which the server gets no attempts because it
  /// refused the flow for overload. Other flows may still have room in its
  /// queue.
  std::map<std::string, TimePoint> OverloadedUntil;
  /// True if the server was ejected and has not succeeded since. Counts towards
  /// `MaxEjectionPercent` until `AvoidUntil`.
  bool Ejected = false;
  /// True if the server announced that it is leaving; final for its
  /// incarnation.
  bool Leaving = false;
  Incarnation Life = 0;
  /// When this process first saw the server's incarnation.
  TimePoint FirstSeen;
};

struct BalancerSettings {
  /// Round-trip cost of a request to another failure domain.
  Micros CrossDomainCost{1000};
  /// Time in which a new server's share of the work grows to its full value.
  Millis SlowStartWindow{10000};
  /// Number of consecutive failures after which a server is ejected.
  std::uint32_t EjectionThreshold = 5;
  Millis BaseEjectionTime{1000};
  Millis MaxEjectionTime{30000};
  /// Maximum share of a service's servers ejected at the same time, in percent.
  std::uint32_t MaxEjectionPercent = 50;
  /// Maximum time that a server is avoided after it refused for overload.
  Millis MaxOverloadAvoidTime{20};
  /// Minimum weight of a new sample in the moving average of service times,
  /// from 0 to 1.
  double SampleWeight = 0.1;
  /// Half-life of a measured service time, so that a slow server is tried again
  /// and its recovery is noticed soon.
  Millis HalfLife{10000};
  /// Service time assumed for a server without samples.
  Micros DefaultServiceTime{5000};
  /// Saving by a cached prefix, as a share of the service time.
  double PrefixSavingShare = 0.5;
};

/// Statistics of all servers, as seen by this process. Not thread-safe.
struct BalancerState {
  BalancerSettings Settings;
  DomainName Own;
  std::map<ServerKey, ServerStats> Servers;
};

/// Returns the candidates of each service: the serving servers of daemons that
/// take work. Pure.
std::map<ServiceName, std::vector<Candidate>>
findCandidates(const View &Members);

/// Returns true if each declared service with placements has a candidate. A new
/// entry refuses callers until then. Pure.
bool hasAllCandidates(const Configuration &Declared, const View &Members);

/// Returns the expected wait of one more attempt, in microseconds. Pure.
double expectedWait(const BalancerState &State, const Candidate &Server,
                    TimePoint Now);

/// Chooses one of `Candidates`, without those in `Tried`; other failure domains
/// than theirs are preferred. `Cached` is the server that probably holds the
/// prefix in its cache. `Flow` is the caller. Empty if no candidate is
/// available. Pure except for `Random`.
std::optional<Candidate> chooseCandidate(
    const BalancerState &State, const std::vector<Candidate> &Candidates,
    const std::vector<Candidate> &Tried, const std::optional<ServerKey> &Cached,
    TimePoint Now, std::mt19937_64 &Random, const std::string &Flow = {});

/// Returns the time until the first avoided candidate is available again, for
/// the `Retry-After` of a refusal; zero if none is avoided. Pure.
Millis timeUntilAvailable(const BalancerState &State,
                          const std::vector<Candidate> &Candidates,
                          TimePoint Now, const std::string &Flow = {});

/// Records the start of an attempt.
void noteStart(BalancerState &State, const Candidate &Server, TimePoint Now);
/// Records that an attempt ended with a complete answer after `Took`.
void noteSuccess(BalancerState &State, const Candidate &Server, Micros Took,
                 TimePoint Now);
/// Records that an attempt failed. `Peers` are all candidates of the service;
/// their number bounds the ejections.
void noteFailure(BalancerState &State, const Candidate &Server,
                 const Failure &Why, const std::vector<Candidate> &Peers,
                 TimePoint Now, const std::string &Flow = {});
/// Records that an attempt ended without information about the server, for
/// example by cancellation.
void noteAbandoned(BalancerState &State, const Candidate &Server);
/// Records a load report of one server.
void noteLoad(BalancerState &State, const ServerKey &Server,
              const ReportedLoad &Load);
/// Records that a daemon is leaving, for all its servers.
void noteLeaving(BalancerState &State, const InstanceName &Instance);
/// Removes servers that are in no candidate list and have no attempts in
/// flight, and resets the statistics, except `InFlight`, of servers with a new
/// incarnation.
void retainServers(BalancerState &State,
                   const std::map<ServiceName, std::vector<Candidate>> &Known,
                   TimePoint Now);

} // namespace wasabi

#endif // WASABI_ROUTING_LOADBALANCING_H
