/// \file
/// Schedule of faults, fully determined by a seed.
#ifndef WASABI_INTEGRATIONTESTS_CHAOS_SCHEDULE_H
#define WASABI_INTEGRATIONTESTS_CHAOS_SCHEDULE_H

#include "Wasabi/Core/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi::chaos {

/// Faults and operations that are applied to a running deployment.
enum class FaultKind : std::uint8_t {
  KillDaemon,
  KillEntry,
  PauseDaemon,
  PauseEntry,
  /// Longer than a claim's term, so that its holder resumes without the claim.
  PauseDaemonLong,
  StopDaemon,
  StopEntry,
  KillEngine,
  EngineHang,
  EngineSlow,
  EngineSwapFails,
  EngineWrongVersion,
  EngineLosesOrderAnswer,
  ServiceHang,
  ServiceResetsBeforeAnswer,
  ServiceResetsMidAnswer,
  LogOutage,
  /// Longer than a claim's term.
  LogOutageLong,
  LogSlow,
  LogLosesAnswers,
  LogStaleTail,
  StoreOutage,
  InstancesOutage,
  TrainerOutage,
  TrainerLosesAnswers,
  ScorerFails,
  LinkDelay,
  LinkCut,
  LinkHalfOpen,
  LinkRefuses,
  LinkLosesAnswers,
  LinkSlow,
  /// Refuses connections to all processes of a failure domain.
  DomainPartitioned,
  ConcurrentOperators,
  SwitchPreset,
};

/// Returns the fault's name in a schedule, lower-case with dashes.
std::string_view toText(FaultKind Kind);

/// True for an ordinary operator action, which must not cause failures.
bool isPlanned(FaultKind Kind);

/// One fault. An immutable value.
struct Fault {
  /// Time since the start of the load.
  Millis At{0};
  /// Duration of the fault; for a process, the time until it is restarted.
  Millis Duration{0};
  FaultKind Kind = FaultKind::KillDaemon;
  /// Index of the target, modulo the number of targets of its kind.
  std::uint32_t Target = 0;
  /// True if no other fault is near, so that failures are caused by this one.
  bool WithoutOtherFaults = false;
  bool operator==(const Fault &) const = default;
};

/// Returns the faults of a run by time. All end within `Length`. Pure.
std::vector<Fault> makeSchedule(std::uint64_t Seed, Millis Length);

/// Returns one line per fault. Pure.
std::string describe(const std::vector<Fault> &Schedule);

} // namespace wasabi::chaos

#endif // WASABI_INTEGRATIONTESTS_CHAOS_SCHEDULE_H
