/// \file
/// Observations of the callers and trainers of a soak test.
#ifndef WASABI_INTEGRATIONTESTS_SOAK_SOAKOBSERVATIONS_H
#define WASABI_INTEGRATIONTESTS_SOAK_SOAKOBSERVATIONS_H

#include "Wasabi/Core/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi::soak {

enum class ClientRequestKind : std::uint8_t {
  /// May run more than once.
  Repeatable,
  /// Runs at most once.
  Once,
  /// A stream of events.
  Stream,
  /// Shows which configuration is in force.
  Probe,
  /// Crashes each server that starts it; identical each time except for its id.
  Crashing,
};

/// Returns the name of a kind, lower-case.
std::string_view toText(ClientRequestKind Kind);

/// Path prefix of requests that crash servers.
inline constexpr const char *CrashPathPrefix = "/desk/crash-";

/// A caller's request and its outcome.
struct ClientRequestRecord {
  ClientRequestKind Kind = ClientRequestKind::Repeatable;
  std::string Id;
  /// For a probe: the configuration whose route it requests.
  std::uint64_t Version = 0;
  std::size_t Edge = 0;
  /// Customer of the request; `UsesRevocableKey` selects the revocable key.
  std::string Customer;
  std::size_t CustomerNumber = 0;
  bool UsesRevocableKey = false;
  /// Incarnation of the edge process that received it.
  std::uint64_t Life = 0;
  TimePoint Sent;
  TimePoint Done;
  /// 0 if there was no complete response.
  unsigned Status = 0;
  /// True if the caller's own time limit expired.
  bool CallerTimedOut = false;
  /// Error in a response that appears complete; empty if there is none.
  std::string Error;
};

/// A batch job and its trainer's observations.
struct JobRecord {
  std::string Id;
  std::string Customer;
  std::size_t CustomerNumber = 0;
  std::vector<std::string> Items;
  std::string Model;
  std::uint64_t MinVersion = 0;
  /// Items that were listed as terminated.
  std::vector<std::string> Terminated;
  /// True if a submission was accepted, and the time of the acceptance.
  bool Accepted = false;
  TimePoint AcceptedAt;
  /// True if every refusal guaranteed that the job was not accepted.
  bool RefusalsGuaranteed = true;
  bool EndRequested = false;
  bool EndAccepted = false;
  TimePoint EndAcceptedAt;
  /// Results by position, as first read.
  std::map<std::size_t, std::string> ReadResults;
  /// Errors in the results that were read.
  std::vector<std::string> Errors;
};

/// All observations of a run.
struct SoakObservations {
  std::vector<ClientRequestRecord> Requests;
  std::vector<JobRecord> Jobs;
};

} // namespace wasabi::soak

#endif // WASABI_INTEGRATIONTESTS_SOAK_SOAKOBSERVATIONS_H
