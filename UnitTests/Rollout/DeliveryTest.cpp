/// \file
/// Exactly once, fresh and truthfully labelled, whatever dies between two
/// steps.
#include "UnitTests/Rollout/OwnerSimulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace wasabi::test {

namespace {

constexpr std::uint32_t FaultySteps = 400;
constexpr std::uint32_t MostSteps = 60000;

VersionChange policyOf(std::uint8_t N) {
  constexpr VersionChange All[] = {VersionChange::Resume, VersionChange::Finish,
                                   VersionChange::Restart};
  return All[N % 3];
}

void checkTrainer(const FakeTrainer &Of) {
  RC_ASSERT(Of.Duplicates == 0U);
  RC_ASSERT(Of.Stale == 0U);
  RC_ASSERT(Of.Mislabelled == 0U);
}

} // namespace

TEST_CASE("a trainer that checks tokens gets each sample once", "[rollout]") {
  bool held = rc::check([](std::uint64_t seed, std::uint8_t policy) {
    World world(seed, true, policyOf(policy), Faults());
    for (std::uint32_t i = 0; i < FaultySteps; ++i)
      world.step();
    RC_ASSERT(world.finish(MostSteps));
    checkTrainer(world.Trainer);
  });
  CHECK(held);
}

TEST_CASE("a trainer that checks nothing gets each sample once", "[rollout]") {
  bool held = rc::check([](std::uint64_t seed, std::uint8_t policy) {
    World world(seed, false, policyOf(policy), Faults());
    for (std::uint32_t i = 0; i < FaultySteps; ++i)
      world.step();
    RC_ASSERT(world.finish(MostSteps));
    checkTrainer(world.Trainer);
  });
  CHECK(held);
}

} // namespace wasabi::test
