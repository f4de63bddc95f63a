/// \file
/// Which server gets the next attempt: a few random candidates weighed by the
/// wait to be expected, with affinity to cached prompt prefixes, preference for
/// the own failure domain until it costs, bounded ejection of outliers and a
/// slow start for fresh servers (docs/design/choice-of-upstream.md).
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

/// One server behind one daemon.
struct ServerKey {
  InstanceName Instance;
  ServerName Server;
  auto operator<=>(const ServerKey &) const = default;
};

/// A server that may be asked, from the view. An immutable value.
struct Candidate {
  ServerKey Key;
  Incarnation Life = 0;
  DomainName Domain;
  Address Where;
  std::uint32_t Slots = 1;
  bool operator==(const Candidate &) const = default;
};

/// What one asker has seen of one server.
struct ServerStats {
  /// Own attempts open now.
  std::uint32_t InFlight = 0;
  /// The daemon's last report, and the own attempts open when it came.
  ReportedLoad Load;
  std::uint32_t InFlightAtLoad = 0;
  bool HasLoad = false;
  /// Moving average of an attempt's time, in microseconds; 0 for none yet.
  double ServiceMicros = 0;
  /// When the last whole answer came.
  TimePoint LastSample;
  std::uint32_t ConsecutiveFailures = 0;
  /// How often in a row it was ejected, which makes the next one longer.
  std::uint32_t Ejections = 0;
  /// Not asked before this: ejected, backing off, or it said when to come back.
  TimePoint AvoidUntil;
  /// Not asked for a caller before this: it refused that caller for overload.
  /// Another one may have its share of the queue left.
  std::map<std::string, TimePoint> OverloadedUntil;
  /// Set while `AvoidUntil` is due to ejection, which is bounded.
  bool Ejected = false;
  /// It said that it is leaving: for good in this incarnation.
  bool Leaving = false;
  Incarnation Life = 0;
  /// When this asker first saw this incarnation.
  TimePoint FirstSeen;
};

struct BalancerSettings {
  /// What a hop to another failure domain costs, there and back.
  Micros CrossDomain{1000};
  /// How long a fresh server gets less than its share.
  Millis SlowStartWindow{10000};
  /// Failures in a row after which a server is ejected.
  std::uint32_t EjectionThreshold = 5;
  Millis BaseEjectionTime{1000};
  Millis MaxEjectionTime{30000};
  /// Most of a service's servers that are ejected at once, in percent.
  std::uint32_t MaxEjectionPercent = 50;
  /// Longest that a server is left alone after it refused for overload.
  Millis MaxOverloadAvoidTime{20};
  /// Weight of a new sample in the moving average of service times.
  double SampleWeight = 0.1;
  /// Time in which half of what is known of a server's pace is forgotten: one
  /// that was slow is tried again, and believed soon.
  Millis HalfLife{10000};
  /// Assumed time of an attempt before there is a sample.
  Micros DefaultServiceTime{5000};
  /// What a cached prefix saves, as a share of the service time.
  double PrefixSavingShare = 0.5;
};

/// What an asker knows of all servers. Not thread-safe.
struct BalancerState {
  BalancerSettings Settings;
  DomainName Own;
  std::map<ServerKey, ServerStats> Servers;
};

/// The candidates of each service in a view: servers that serve, behind daemons
/// that take work. Pure.
std::map<ServiceName, std::vector<Candidate>>
findCandidates(const View &Members);

/// Whether there is a candidate for each declared service that has placements:
/// an entry that has just started refuses callers before. Pure.
bool hasAllCandidates(const Configuration &Declared, const View &Members);

/// The wait to be expected of one more attempt, in microseconds. Pure.
double expectedWait(const BalancerState &State, const Candidate &Who,
                    TimePoint Now);

/// Chooses among `Of`. `Tried` are left out, and other failure domains than
/// theirs come first. `Cached` is a server believed to hold the prefix.
/// `Flow` is the caller. Empty when nobody may be asked; `BalancerState` is not
/// changed. Pure but for the random engine.
std::optional<Candidate> chooseCandidate(const BalancerState &State,
                                         const std::vector<Candidate> &Of,
                                         const std::vector<Candidate> &Tried,
                                         const std::optional<ServerKey> &Cached,
                                         TimePoint Now, std::mt19937_64 &Random,
                                         const std::string &Flow = {});

/// When the first of `Of` that is avoided may be asked again; zero when none
/// is. For a refusal's `Retry-After`. Pure.
Millis timeUntilAvailable(const BalancerState &State,
                          const std::vector<Candidate> &Of, TimePoint Now,
                          const std::string &Flow = {});

/// An attempt begins.
void noteStart(BalancerState &State, const Candidate &Who, TimePoint Now);
/// An attempt ended with a whole answer after `Took`.
void noteSuccess(BalancerState &State, const Candidate &Who, Micros Took,
                 TimePoint Now);
/// An attempt failed. `Peers` are the service's candidates, which bound how
/// many are ejected.
void noteFailure(BalancerState &State, const Candidate &Who, const Failure &Why,
                 const std::vector<Candidate> &Peers, TimePoint Now,
                 const std::string &Flow = {});
/// An attempt ended without telling anything of the server: cancelled, say.
void noteAbandoned(BalancerState &State, const Candidate &Who);
/// A load report of one server.
void noteLoad(BalancerState &State, const ServerKey &Who,
              const ReportedLoad &Load);
/// The daemon says that it is leaving.
void noteLeaving(BalancerState &State, const InstanceName &Who);
/// Forgets servers that are in no candidate list and have nothing in flight,
/// and takes note of new incarnations.
void retainServers(BalancerState &State,
                   const std::map<ServiceName, std::vector<Candidate>> &Known,
                   TimePoint Now);

} // namespace wasabi

#endif // WASABI_ROUTING_LOADBALANCING_H
