/// \file
/// Compares the callers' records with the upstreams' records and computes the
/// verdict of a run.
#ifndef WASABI_INTEGRATIONTESTS_CHAOS_TALLY_H
#define WASABI_INTEGRATIONTESTS_CHAOS_TALLY_H

#include "IntegrationTests/Chaos/CallerRecord.h"
#include "IntegrationTests/Chaos/Truth.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wasabi::chaos {

/// A planned stop of one process. An immutable value.
struct PlannedStop {
  /// Wall-clock microseconds of the signal and of the process exit.
  std::uint64_t SignalMicros = 0;
  std::uint64_t Ended = 0;
  /// True if no other fault was active.
  bool WithoutOtherFaults = false;
  /// True if the process exited by itself with code 0.
  bool ExitedCleanly = false;
  /// Servers of the stopped process; empty for an entry.
  std::vector<std::string> Servers;
};

/// Counts of the summary line. Each violation count must be 0.
struct Tally {
  std::uint64_t Requests = 0;
  std::uint64_t Whole = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t MayHaveRun = 0;
  std::uint64_t FalseNotRun = 0;
  std::uint64_t DoubleRuns = 0;
  std::uint64_t WrongAnswers = 0;
  std::uint64_t InterruptedByPlannedStop = 0;
  std::uint64_t Samples = 0;
  std::uint64_t Duplicates = 0;
  std::uint64_t Missing = 0;
  std::uint64_t Mislabelled = 0;
  std::uint64_t Stale = 0;
  std::uint64_t ConfigReverts = 0;
  std::uint64_t RunsAfterDrain = 0;
  /// One line per violation, for diagnostics.
  std::vector<std::string> Violations;
};

/// Time after the signal in which an instance may still receive work.
constexpr std::uint64_t DrainGraceMicros = 3000000;

/// Adds the callers' and the upstreams' records. Modifies only `Sum`.
void checkCallers(Tally &Sum, const std::vector<CallerRecord> &Seen,
                  const std::vector<UpstreamRun> &Runs);
/// Adds requests that planned stops interrupted, and work that arrived too
/// late.
void checkPlannedStops(Tally &Sum, const std::vector<PlannedStop> &Stops,
                       const std::vector<CallerRecord> &Seen,
                       const std::vector<UpstreamRun> &Runs);
/// Adds a trainer's record.
void checkTrainerTruth(Tally &Sum, const TrainerTruth &Truth);

/// True if no guarantee was violated.
bool hasNoViolations(const Tally &Sum);

/// Returns the counts, from `requests=` to `late_to_leaving=`.
std::string describe(const Tally &Sum);

} // namespace wasabi::chaos

#endif // WASABI_INTEGRATIONTESTS_CHAOS_TALLY_H
