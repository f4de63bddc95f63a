/// \file
/// The table of docs/design/delivery.md: a death between any two steps of a
/// sample's way, one row each, for both kinds of trainer. Whatever dies, the
/// step becomes whole with each sample taken once, fresh and truthfully
/// labelled.
#include "UnitTests/Rollout/OwnerSimulation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

namespace wasabi::test {

namespace {

constexpr std::uint32_t MostSteps = 20000;
constexpr std::uint64_t Seeds = 20;

/// No fault but those that a row brings about.
constexpr Faults NoFaults{0, 0, 0, 0, 0, 0, 0, 0};

/// Which trainers a row concerns.
enum class Kind : std::uint8_t { Both, Checking, Plain };

/// One row of the table.
struct Row {
  const char *Name;
  Kind Of = Kind::Both;
  /// Faults that lead there.
  Faults Before = NoFaults;
  /// Whether the owner dies now.
  bool (*IsThere)(const World &Of) = nullptr;
};

const StepState &state(const World &Of) { return Of.Owners.back()->State; }

bool anySlot(const World &Of, bool (*Is)(const SlotState &)) {
  return std::any_of(state(Of).Slots.begin(), state(Of).Slots.end(),
                     [Is](const auto &it) { return Is(it.second); });
}

template <typename T> bool wants(const World &Of) {
  const std::deque<StepEffect> &effects = Of.Owners.back()->Effects;
  return std::any_of(effects.begin(), effects.end(), [](const StepEffect &it) {
    return std::holds_alternative<T>(it);
  });
}

bool logHolds(const World &Of, const char *RecordKind) {
  std::string member = std::string("\"kind\":\"") + RecordKind + "\"";
  return std::any_of(Of.Log.begin(), Of.Log.end(), [&](const std::string &it) {
    return it.find(member) != std::string::npos;
  });
}

const Row Rows[] = {
    {"the claim is taken, nothing is in the log", Kind::Both, NoFaults,
     [](const World &) { return true; }},
    {"an attempt was decided on and not sent", Kind::Both, NoFaults,
     [](const World &of) { return wants<DispatchAttempt>(of); }},
    {"an attempt is amid its stream", Kind::Both, NoFaults,
     [](const World &of) {
       return std::any_of(
           state(of).Attempts.begin(), state(of).Attempts.end(),
           [](const auto &it) { return it.second.GeneratedDraft.Tokens > 0; });
     }},
    {"a stream has ended, its score was not asked for", Kind::Both, NoFaults,
     [](const World &of) { return wants<ScoreSample>(of); }},
    {"a score's answer is lost",
     Kind::Both,
     {0, 0, 0, 0, 0, 0, 0, 100},
     [](const World &of) {
       return anySlot(of, [](const SlotState &it) {
         return it.Phase == SlotPhase::Scoring && !it.ScoreRequested;
       });
     }},
    {"a sample is scored, its commit was not appended", Kind::Plain, NoFaults,
     [](const World &of) {
       return state(of).Committing && !logHolds(of, "sample_commit");
     }},
    {"a commit is in the log, its answer is lost",
     Kind::Plain,
     {0, 0, 0, 50, 0, 0, 0, 0},
     [](const World &of) {
       return logHolds(of, "sample_commit") && state(of).Committing;
     }},
    {"a commit was read back, nothing is delivered", Kind::Plain, NoFaults,
     [](const World &of) {
       return anySlot(of, [](const SlotState &it) { return it.Committed; }) &&
              of.Trainer.Have.empty();
     }},
    {"a delivery was decided on and not sent", Kind::Both, NoFaults,
     [](const World &of) { return wants<DeliverSamples>(of); }},
    {"a delivery was taken, its answer is lost",
     Kind::Both,
     {0, 100, 0, 0, 0, 0, 0, 0},
     [](const World &of) { return !of.Trainer.Have.empty(); }},
    {"a delivery's request is lost",
     Kind::Both,
     {0, 0, 100, 0, 0, 0, 0, 0},
     [](const World &of) {
       return state(of).DeliveryCount > 0 && !state(of).Delivering;
     }},
    {"a delivery is answered, the log was not told", Kind::Both, NoFaults,
     [](const World &of) {
       return state(of).DeliveredCount > 0 &&
              !logHolds(of, "samples_delivered");
     }},
    {"the log was told, the step is not whole", Kind::Both, NoFaults,
     [](const World &of) { return logHolds(of, "samples_delivered"); }},
    {"the step is whole, the log was not told", Kind::Both, NoFaults,
     [](const World &of) {
       return of.Trainer.StepsDone > 0 && !logHolds(of, "step_closed");
     }},
    {"the step is closed in the log", Kind::Both, NoFaults,
     [](const World &of) { return logHolds(of, "step_closed"); }},
};

bool concerns(const Row &Which, bool Checks) {
  return Which.Of == Kind::Both || (Which.Of == Kind::Checking) == Checks;
}

/// Runs up to the row's moment; false when it never comes.
bool reach(World &Of, const Row &Which) {
  Of.Rates = Which.Before;
  for (std::uint32_t i = 0; i < MostSteps; ++i) {
    if (Which.IsThere(Of))
      return true;
    Of.step();
  }
  return false;
}

void checkWhole(World &Of) {
  CHECK(Of.finish(MostSteps));
  CHECK(Of.Trainer.Duplicates == 0);
  CHECK(Of.Trainer.Stale == 0);
  CHECK(Of.Trainer.Mislabelled == 0);
}

} // namespace

TEST_CASE("a death between any two steps loses and repeats nothing",
          "[rollout]") {
  for (const Row &row : Rows) {
    for (bool checks : {true, false}) {
      if (!concerns(row, checks))
        continue;
      DYNAMIC_SECTION(row.Name
                      << (checks ? ", tokens checked" : ", nothing checked")) {
        for (std::uint64_t seed = 0; seed < Seeds; ++seed) {
          World world(seed, checks, VersionChange::Resume, NoFaults);
          REQUIRE(reach(world, row));
          world.takeOver();
          checkWhole(world);
        }
      }
    }
  }
}

TEST_CASE("two deaths in a row lose and repeat nothing", "[rollout]") {
  for (const Row &row : Rows) {
    for (bool checks : {true, false}) {
      if (!concerns(row, checks))
        continue;
      DYNAMIC_SECTION(row.Name
                      << (checks ? ", tokens checked" : ", nothing checked")) {
        for (std::uint64_t seed = 0; seed < Seeds; ++seed) {
          World world(seed, checks, VersionChange::Resume, NoFaults);
          REQUIRE(reach(world, row));
          world.takeOver();
          world.takeOver();
          checkWhole(world);
        }
      }
    }
  }
}

TEST_CASE("what a dead owner committed is delivered, not generated again",
          "[rollout]") {
  World world(7, false, VersionChange::Resume, NoFaults);
  auto committed = [](const World &of) {
    return !of.Owners.back()->Fold.Committed.empty() && of.Trainer.Have.empty();
  };
  REQUIRE(reach(world, Row{"", Kind::Plain, NoFaults, committed}));
  Slot slot = world.Owners.back()->Fold.Committed.begin()->first;
  world.takeOver();
  CHECK(state(world).Slots.at(slot).Phase == SlotPhase::Scored);
  CHECK(state(world).Slots.at(slot).Attempts == 0);
}

} // namespace wasabi::test
