/// \file
/// Which faults happen when: drawn from a seed, and from nothing else.
#ifndef WASABI_INTEGRATIONTESTS_CHAOS_SCHEDULE_H
#define WASABI_INTEGRATIONTESTS_CHAOS_SCHEDULE_H

#include "Wasabi/Core/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi::chaos {

/// All that is done to a running deployment.
enum class FaultKind : std::uint8_t {
  KillDaemon,
  KillEntry,
  PauseDaemon,
  PauseEntry,
  /// Longer than a claim's term: its holder wakes up and is no holder.
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
  /// No process of a failure domain can be connected to.
  DomainPartitioned,
  ConcurrentOperators,
  SwitchPreset,
};

/// The fault's name on the schedule, lower-case with dashes.
std::string_view toText(FaultKind Kind);

/// Whether it is an operator's ordinary act: nothing may fail because of it.
bool isPlanned(FaultKind Kind);

/// One fault. An immutable value.
struct Fault {
  /// Counted from the beginning of the load.
  Millis At{0};
  /// How long it lasts; for a process, until it is started anew.
  Millis For{0};
  FaultKind Kind = FaultKind::KillDaemon;
  /// Which of its kind of target, modulo how many there are.
  std::uint32_t Target = 0;
  /// Nothing else is wrong around it: failures then are its own.
  bool WithoutOtherFaults = false;
  bool operator==(const Fault &) const = default;
};

/// The faults of a run, by time. All end within `Length`. Pure.
std::vector<Fault> makeSchedule(std::uint64_t Seed, Millis Length);

/// One line a fault. Pure.
std::string describe(const std::vector<Fault> &Schedule);

} // namespace wasabi::chaos

#endif // WASABI_INTEGRATIONTESTS_CHAOS_SCHEDULE_H
