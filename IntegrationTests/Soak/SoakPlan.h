/// \file
/// Which faults befall a deployment when: drawn from a seed, and from nothing
/// else.
#ifndef WASABI_INTEGRATIONTESTS_SOAK_SOAKPLAN_H
#define WASABI_INTEGRATIONTESTS_SOAK_SOAKPLAN_H

#include "Wasabi/Core/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi::soak {

/// All that is done to a running deployment, from outside of its processes.
enum class SoakFault : std::uint8_t {
  // Planned work: nothing may fail because of it.
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
  // One process's way to the store.
  StoreLinkRefuses,
  StoreLinkSilent,
  StoreLinkOneWay,
  StoreLinkDelays,
  // Servers and the ways to them.
  ServerCrashes,
  ServerSilent,
  ServerOneWay,
  ServerLinkCut,
  ServerLosesAnswers,
  ServerSlow,
  ServerBreaksStreams,
  ServerFails,
  // Callers' ways to the system.
  CallerLinkCut,
  CallerLinkDelays,
  // Of a soak with customers only: their keys, and the process that reports
  // their usage, at whichever step of it.
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
  Count,
};

/// Its name in a plan, lower-case with dashes.
std::string_view toText(SoakFault Kind);

/// Whether nothing may fail because of it.
bool isPlanned(SoakFault Kind);

/// One fault. An immutable value.
struct ScheduledFault {
  /// From the beginning of the load.
  Millis At{0};
  Millis Duration{0};
  SoakFault Kind = SoakFault::Configure;
  /// Which of its kind of target, modulo how many there are.
  std::uint32_t Target = 0;
  bool operator==(const ScheduledFault &) const = default;
};

/// The steps of a run by time, all over by `Length`: single ones, series of the
/// same kind, and overlaps. By the seed, a third of the plans is dense, a third
/// has planned work only, and a third leaves calm stretches, since promises
/// with a time hold only there. Pure.
std::vector<ScheduledFault> makeSoakPlan(std::uint64_t Seed, Millis Length);

/// One line a step. Pure.
std::string describe(const std::vector<ScheduledFault> &Plan);

} // namespace wasabi::soak

#endif // WASABI_INTEGRATIONTESTS_SOAK_SOAKPLAN_H
