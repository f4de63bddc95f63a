/// \file
/// Plan of faults, fully determined by a seed.
#ifndef WASABI_INTEGRATIONTESTS_SOAK_SOAKPLAN_H
#define WASABI_INTEGRATIONTESTS_SOAK_SOAKPLAN_H

#include "Wasabi/Core/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi::soak {

/// Faults and operations that are applied to a running deployment from outside
/// of its processes.
enum class SoakFault : std::uint8_t {
  // Planned work, which must not cause failures.
  Configure,
  NameVersion,
  StopEdge,
  ReloadEdge,
  DrainServer,
  // Processes.
  KillEdge,
  PauseEdge,
  KillAllEdges,
  KillSidecar,
  PauseSidecar,
  // The store.
  StoreBusy,
  StoreSilent,
  StoreResets,
  StoreLosesAnswers,
  StoreLate,
  StoreSlow,
  StoreCompacts,
  RegistrationsExpire,
  // The link of one process to the store.
  StoreLinkRefuses,
  StoreLinkSilent,
  StoreLinkOneWay,
  StoreLinkDelays,
  // Servers and the links to them.
  ServerCrashes,
  ServerSilent,
  ServerOneWay,
  ServerLinkCut,
  ServerLosesAnswers,
  ServerSlow,
  ServerBreaksStreams,
  ServerFails,
  // Links of callers to the system.
  CallerLinkCut,
  CallerLinkDelays,
  // For soak tests with customers only: their keys, and the process that
  // reports usage.
  RevokeKey,
  KillReporter,
  PauseReporter,
  StopReporter,
  ReporterStoreRefuses,
  ReporterStoreSilent,
  ReporterStoreDelays,
  ReportsBusy,
  ReportsLoseAnswers,
  ReportsSilent,
  ReportLinkSilent,
  ReportLinkDelays,
  // For soak tests of states that outlast their cause only.
  /// One follower of the configuration lags alone.
  ConfigurationReadLost,
  /// All engines crash several times, whatever they run.
  EngineCrashLoop,
  ServerAnswersWithoutEnd,
  Count,
};

/// Returns the name of a fault in a plan, lower-case with dashes.
std::string_view toText(SoakFault Kind);

/// True for planned work, which must not cause failures.
bool isPlanned(SoakFault Kind);

/// One fault. An immutable value.
struct ScheduledFault {
  /// Time since the start of the load.
  Millis At{0};
  Millis Duration{0};
  SoakFault Kind = SoakFault::Configure;
  /// Index of the target, modulo the number of targets of its kind.
  std::uint32_t Target = 0;
  bool operator==(const ScheduledFault &) const = default;
};

/// Returns the steps of a run by time, all finished by `Length`: single steps,
/// series of the same kind, and overlaps. Depending on the seed, a plan is
/// dense, has planned work only, or leaves fault-free periods, in which timed
/// guarantees apply. Pure.
std::vector<ScheduledFault> makeSoakPlan(std::uint64_t Seed, Millis Length);

/// Adds faults after which a state may be left that nothing ends, drawn from
/// the seed, to a plan.
void addStateFaults(std::vector<ScheduledFault> &Plan, std::uint64_t Seed,
                    Millis Length);

/// Returns one line per step. Pure.
std::string describe(const std::vector<ScheduledFault> &Plan);

} // namespace wasabi::soak

#endif // WASABI_INTEGRATIONTESTS_SOAK_SOAKPLAN_H
