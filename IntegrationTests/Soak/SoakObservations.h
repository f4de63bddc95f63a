/// \file
/// What callers and trainers of a soak saw, for the judge.
#ifndef WASABI_INTEGRATIONTESTS_SOAK_SOAKOBSERVATIONS_H
#define WASABI_INTEGRATIONTESTS_SOAK_SOAKOBSERVATIONS_H

#include "Wasabi/Core/Clock.h"

#include <cstdint>
#include <map>
#include <string>
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
  /// Ends each server that begins to run it; the same each time but for its id.
  Crashing,
};

/// Requests whose path has this end the servers that begin to run them.
inline constexpr const char *CrashPathPrefix = "/desk/crash-";

/// One request of a caller and what came of it.
struct ClientRequestRecord {
  ClientRequestKind Kind = ClientRequestKind::Repeatable;
  std::string Id;
  /// Of a probe: the configuration whose own route it asks for.
  std::uint64_t Version = 0;
  std::size_t Edge = 0;
  /// Whose request it is, and whether by the key that comes and goes.
  std::string Customer;
  std::size_t CustomerNumber = 0;
  bool UsesRevocableKey = false;
  /// Which start of that edge process took it.
  std::uint64_t Life = 0;
  TimePoint Sent;
  TimePoint Done;
  /// 0 when there was no whole answer.
  unsigned Status = 0;
  /// The caller's own limit was up.
  bool CallerTimedOut = false;
  /// What is wrong with an answer that looks whole; empty if nothing is.
  std::string Error;
};

/// One batch job and what its trainer saw.
struct JobRecord {
  std::string Id;
  std::string Customer;
  std::size_t CustomerNumber = 0;
  std::vector<std::string> Items;
  std::uint64_t MinVersion = 0;
  /// Whether a submission was answered with an acceptance, and when.
  bool Accepted = false;
  TimePoint AcceptedAt;
  /// Whether each submission was answered with a promise that nothing was
  /// taken.
  bool RefusalsGuaranteed = true;
  bool EndRequested = false;
  bool EndAccepted = false;
  TimePoint EndAcceptedAt;
  /// Results by position, as they were read first.
  std::map<std::size_t, std::string> Seen;
  /// What was read and must not be.
  std::vector<std::string> Errors;
};

/// All of a run.
struct SoakObservations {
  std::vector<ClientRequestRecord> Requests;
  std::vector<JobRecord> Jobs;
};

} // namespace wasabi::soak

#endif // WASABI_INTEGRATIONTESTS_SOAK_SOAKOBSERVATIONS_H
