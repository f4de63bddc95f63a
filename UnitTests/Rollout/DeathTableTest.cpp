/// \file
/// Covers docs/design/delivery.md: an owner crash at each stage of a sample's
/// life cycle, for both kinds of trainer, must neither lose, repeat nor
/// mislabel samples, nor deliver stale ones.
#include "UnitTests/Rollout/OwnerSimulation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

namespace wasabi::test {

namespace {

constexpr std::uint32_t MaxSteps = 20000;
constexpr std::uint64_t SeedCount = 20;

/// Disables all random faults.
constexpr Faults NoFaults{0, 0, 0, 0, 0, 0, 0, 0};

/// Kinds of trainers that a crash point applies to: those that check fencing
/// tokens, those that do not, or both.
enum class TrainerKind : std::uint8_t { Both, Checking, Plain };

/// A point at which the owner crashes.
struct CrashPoint {
  const char *Name;
  TrainerKind Trainers = TrainerKind::Both;
  /// Fault rates until the crash.
  Faults FaultRates = NoFaults;
  /// Returns true once the crash point is reached.
  bool (*IsReached)(const OwnerSimulation &Simulation) = nullptr;
};

const StepState &lastOwnerState(const OwnerSimulation &Simulation) {
  return Simulation.Owners.back()->State;
}

bool anySlot(const OwnerSimulation &Simulation,
             bool (*Predicate)(const SlotState &)) {
  return std::any_of(
      lastOwnerState(Simulation).Slots.begin(),
      lastOwnerState(Simulation).Slots.end(),
      [Predicate](const auto &it) { return Predicate(it.second); });
}

template <typename T> bool hasPendingEffect(const OwnerSimulation &Simulation) {
  const std::deque<StepEffect> &effects = Simulation.Owners.back()->Effects;
  return std::any_of(effects.begin(), effects.end(), [](const StepEffect &it) {
    return std::holds_alternative<T>(it);
  });
}

bool logHolds(const OwnerSimulation &Simulation, const char *RecordKind) {
  std::string member = std::string("\"kind\":\"") + RecordKind + "\"";
  return std::any_of(Simulation.Log.begin(), Simulation.Log.end(),
                     [&](const std::string &it) {
                       return it.find(member) != std::string::npos;
                     });
}

const CrashPoint CrashPoints[] = {
    {"the claim is held, the log is empty", TrainerKind::Both, NoFaults,
     [](const OwnerSimulation &) { return true; }},
    {"an attempt is not sent yet", TrainerKind::Both, NoFaults,
     [](const OwnerSimulation &simulation) {
       return hasPendingEffect<DispatchAttempt>(simulation);
     }},
    {"an attempt is streaming", TrainerKind::Both, NoFaults,
     [](const OwnerSimulation &simulation) {
       return std::any_of(
           lastOwnerState(simulation).Attempts.begin(),
           lastOwnerState(simulation).Attempts.end(),
           [](const auto &it) { return it.second.GeneratedDraft.Tokens > 0; });
     }},
    {"a stream has ended, its score is not requested", TrainerKind::Both,
     NoFaults,
     [](const OwnerSimulation &simulation) {
       return hasPendingEffect<ScoreSample>(simulation);
     }},
    {"the response of a score is lost",
     TrainerKind::Both,
     {0, 0, 0, 0, 0, 0, 0, 100},
     [](const OwnerSimulation &simulation) {
       return anySlot(simulation, [](const SlotState &it) {
         return it.Phase == SlotPhase::Scoring && !it.ScoreRequested;
       });
     }},
    {"a sample is scored, its commit is not appended", TrainerKind::Plain,
     NoFaults,
     [](const OwnerSimulation &simulation) {
       return lastOwnerState(simulation).Committing &&
              !logHolds(simulation, "sample_commit");
     }},
    {"a commit is in the log, the response is lost",
     TrainerKind::Plain,
     {0, 0, 0, 50, 0, 0, 0, 0},
     [](const OwnerSimulation &simulation) {
       return logHolds(simulation, "sample_commit") &&
              lastOwnerState(simulation).Committing;
     }},
    {"a commit is read back, nothing is delivered", TrainerKind::Plain,
     NoFaults,
     [](const OwnerSimulation &simulation) {
       return anySlot(simulation,
                      [](const SlotState &it) { return it.Committed; }) &&
              simulation.Trainer.HeldSamples.empty();
     }},
    {"a delivery is not sent yet", TrainerKind::Both, NoFaults,
     [](const OwnerSimulation &simulation) {
       return hasPendingEffect<DeliverSamples>(simulation);
     }},
    {"a delivery is accepted, the response is lost",
     TrainerKind::Both,
     {0, 100, 0, 0, 0, 0, 0, 0},
     [](const OwnerSimulation &simulation) {
       return !simulation.Trainer.HeldSamples.empty();
     }},
    {"the request of a delivery is lost",
     TrainerKind::Both,
     {0, 0, 100, 0, 0, 0, 0, 0},
     [](const OwnerSimulation &simulation) {
       return lastOwnerState(simulation).DeliveryCount > 0 &&
              !lastOwnerState(simulation).Delivering;
     }},
    {"a delivery is accepted, but not in the log", TrainerKind::Both, NoFaults,
     [](const OwnerSimulation &simulation) {
       return lastOwnerState(simulation).DeliveredCount > 0 &&
              !logHolds(simulation, "samples_delivered");
     }},
    {"a delivery is in the log, the step is incomplete", TrainerKind::Both,
     NoFaults,
     [](const OwnerSimulation &simulation) {
       return logHolds(simulation, "samples_delivered");
     }},
    {"the step is complete, but open in the log", TrainerKind::Both, NoFaults,
     [](const OwnerSimulation &simulation) {
       return simulation.Trainer.StepsDone > 0 &&
              !logHolds(simulation, "step_closed");
     }},
    {"the step is closed in the log", TrainerKind::Both, NoFaults,
     [](const OwnerSimulation &simulation) {
       return logHolds(simulation, "step_closed");
     }},
};

bool appliesTo(const CrashPoint &Point, bool Checks) {
  return Point.Trainers == TrainerKind::Both ||
         (Point.Trainers == TrainerKind::Checking) == Checks;
}

/// Runs the simulation until the crash point. Returns false if it is not
/// reached within `MaxSteps`.
bool runUntil(OwnerSimulation &Simulation, const CrashPoint &Point) {
  Simulation.Rates = Point.FaultRates;
  for (std::uint32_t i = 0; i < MaxSteps; ++i) {
    if (Point.IsReached(Simulation))
      return true;
    Simulation.step();
  }
  return false;
}

void checkCompletion(OwnerSimulation &Simulation) {
  CHECK(Simulation.finish(MaxSteps));
  CHECK(Simulation.Trainer.Duplicates == 0);
  CHECK(Simulation.Trainer.Stale == 0);
  CHECK(Simulation.Trainer.Mislabelled == 0);
}

} // namespace

TEST_CASE("an owner crash at any stage loses and repeats no sample",
          "[rollout]") {
  for (const CrashPoint &point : CrashPoints) {
    for (bool checks : {true, false}) {
      if (!appliesTo(point, checks))
        continue;
      DYNAMIC_SECTION(point.Name << (checks ? ", tokens checked"
                                            : ", tokens not checked")) {
        for (std::uint64_t seed = 0; seed < SeedCount; ++seed) {
          OwnerSimulation simulation(seed, checks, VersionChange::Resume,
                                     NoFaults);
          REQUIRE(runUntil(simulation, point));
          simulation.takeOver();
          checkCompletion(simulation);
        }
      }
    }
  }
}

TEST_CASE("two successive owner crashes lose and repeat no sample",
          "[rollout]") {
  for (const CrashPoint &point : CrashPoints) {
    for (bool checks : {true, false}) {
      if (!appliesTo(point, checks))
        continue;
      DYNAMIC_SECTION(point.Name << (checks ? ", tokens checked"
                                            : ", tokens not checked")) {
        for (std::uint64_t seed = 0; seed < SeedCount; ++seed) {
          OwnerSimulation simulation(seed, checks, VersionChange::Resume,
                                     NoFaults);
          REQUIRE(runUntil(simulation, point));
          simulation.takeOver();
          simulation.takeOver();
          checkCompletion(simulation);
        }
      }
    }
  }
}

TEST_CASE("samples of a crashed owner are delivered, not generated again",
          "[rollout]") {
  OwnerSimulation simulation(7, false, VersionChange::Resume, NoFaults);
  auto committed = [](const OwnerSimulation &simulation) {
    return !simulation.Owners.back()->Fold.Committed.empty() &&
           simulation.Trainer.HeldSamples.empty();
  };
  REQUIRE(runUntil(simulation,
                   CrashPoint{"", TrainerKind::Plain, NoFaults, committed}));
  Slot slot = simulation.Owners.back()->Fold.Committed.begin()->first;
  simulation.takeOver();
  CHECK(lastOwnerState(simulation).Slots.at(slot).Phase == SlotPhase::Scored);
  CHECK(lastOwnerState(simulation).Slots.at(slot).Attempts == 0);
}

} // namespace wasabi::test
