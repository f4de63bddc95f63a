/// \file
/// The verdict of a run: what callers saw held against what upstreams ran.
#ifndef WASABI_INTEGRATIONTESTS_CHAOS_TALLY_H
#define WASABI_INTEGRATIONTESTS_CHAOS_TALLY_H

#include "IntegrationTests/Chaos/CallerRecord.h"
#include "IntegrationTests/Chaos/Truth.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wasabi::chaos {

/// A stretch in which one process stopped as planned. An immutable value.
struct PlannedStop {
  /// Wall microseconds of the signal and of the process' end.
  std::uint64_t SignalMicros = 0;
  std::uint64_t Ended = 0;
  /// Nothing else was wrong.
  bool WithoutOtherFaults = false;
  /// The process ended by itself and in order.
  bool ExitedCleanly = false;
  /// The servers that it was in front of; none for an entry.
  std::vector<std::string> Servers;
};

/// All that the last line says. The zeros are the promises.
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
  /// One line for each thing that is wrong, for a person.
  std::vector<std::string> Violations;
};

/// How long after the signal an instance may still be given work.
constexpr std::uint64_t DrainGraceMicros = 3000000;

/// Adds what callers and upstreams say. Pure but for `Sum`.
void checkCallers(Tally &Sum, const std::vector<CallerRecord> &Seen,
                  const std::vector<UpstreamRun> &Runs);
/// Adds what planned stops cut off, and the work that came too late.
void checkPlannedStops(Tally &Sum, const std::vector<PlannedStop> &Stops,
                       const std::vector<CallerRecord> &Seen,
                       const std::vector<UpstreamRun> &Runs);
/// Adds what a trainer says.
void checkTrainerTruth(Tally &Sum, const TrainerTruth &Truth);

/// Whether all promises hold.
bool hasNoViolations(const Tally &Sum);

/// The counts, from `requests=` to `late_to_leaving=`.
std::string describe(const Tally &Sum);

} // namespace wasabi::chaos

#endif // WASABI_INTEGRATIONTESTS_CHAOS_TALLY_H
