/// \file
/// Guards against lost, repeated, stale and mislabelled samples under random
/// faults and owner crashes.
#include "UnitTests/Rollout/OwnerSimulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace wasabi::test {

namespace {

constexpr std::uint32_t FaultySteps = 400;
constexpr std::uint32_t MaxSteps = 60000;

VersionChange makeVersionChange(std::uint8_t Index) {
  constexpr VersionChange Policies[] = {
      VersionChange::Resume, VersionChange::Finish, VersionChange::Restart};
  return Policies[Index % 3];
}

void checkTrainer(const FakeTrainer &Trainer) {
  RC_ASSERT(Trainer.Duplicates == 0U);
  RC_ASSERT(Trainer.Stale == 0U);
  RC_ASSERT(Trainer.Mislabelled == 0U);
}

} // namespace

TEST_CASE("a trainer that checks tokens receives each sample once",
          "[rollout]") {
  bool passed = rc::check([](std::uint64_t seed, std::uint8_t policy) {
    OwnerSimulation simulation(seed, true, makeVersionChange(policy), Faults());
    for (std::uint32_t i = 0; i < FaultySteps; ++i)
      simulation.step();
    RC_ASSERT(simulation.finish(MaxSteps));
    checkTrainer(simulation.Trainer);
  });
  CHECK(passed);
}

TEST_CASE("a trainer that checks no tokens receives each sample once",
          "[rollout]") {
  bool passed = rc::check([](std::uint64_t seed, std::uint8_t policy) {
    OwnerSimulation simulation(seed, false, makeVersionChange(policy),
                               Faults());
    for (std::uint32_t i = 0; i < FaultySteps; ++i)
      simulation.step();
    RC_ASSERT(simulation.finish(MaxSteps));
    checkTrainer(simulation.Trainer);
  });
  CHECK(passed);
}

} // namespace wasabi::test
