#include "UnitTests/State/FoldFixture.h"
#include "Wasabi/State/ChangePlan.h"

#include <catch2/catch.hpp>

using wasabi::ChangePlan;
using wasabi::FoldState;
using wasabi::ObjectTexts;
using wasabi::Outcome;
using wasabi::PresetName;
using wasabi::RecordStatus;
using wasabi::foldtest::FoldedLog;
using wasabi::foldtest::limit;
using wasabi::foldtest::limitText;

namespace {

FoldedLog makeLogWithLimits() {
  FoldedLog log;
  log.change("anna", 0, {limit("a", 1), limit("b", 2)});
  return log;
}

} // namespace

TEST_CASE("A plan holds the differences and removes objects only with Prune") {
  FoldedLog log = makeLogWithLimits();
  const ObjectTexts wanted = {{"limit/a", limitText("a", 5)},
                              {"limit/c", limitText("c", 3)}};
  ChangePlan plan = planApply(log.State, wanted, false);
  CHECK(plan.UnmanagedKeys == std::vector<std::string>{"limit/b"});
  CHECK(describePlan(plan) == "~ limit/a\n    /burst: 1 -> 5\n"
                              "+ limit/c " +
                                  limitText("c", 3) + "\n");
  plan = planApply(log.State, wanted, true);
  CHECK(plan.Writes.size() == 3);
  CHECK_THAT(describePlan(plan), Catch::Contains("- limit/b\n"));
  CHECK(log.by("bo", makeChange(plan, "bo", "")).ApplyStatus ==
        RecordStatus::Accepted);
  CHECK(describePlan(planApply(log.State, wanted, true)) ==
        "nothing to change\n");
}

TEST_CASE("A preset plan requires and depends on the preset's declaration") {
  FoldedLog log;
  REQUIRE_FALSE(wasabi::toOutcome<ChangePlan>(
      [&] { return planPreset(log.State, PresetName("peak")); }));
  log.change("anna", 0,
             {{"preset/peak", R"({"kind":"preset","name":"peak"})"}});
  Outcome<ChangePlan> plan = wasabi::toOutcome<ChangePlan>(
      [&] { return planPreset(log.State, PresetName("peak")); });
  REQUIRE(plan);
  log.change("carl", 1,
             {{"preset/peak",
               R"({"admit_callers":false,"kind":"preset","name":"peak"})"}});
  CHECK_THAT(log.by("bo", makeChange(*plan, "bo", "")).Reason,
             Catch::Contains("preset/peak was changed at offset 1 by carl"));
  plan = wasabi::toOutcome<ChangePlan>(
      [&] { return planPreset(log.State, PresetName("peak")); });
  log.by("bo", makeChange(*plan, "bo", ""));
  CHECK(log.State.Config->ActivePreset == PresetName("peak"));
}

TEST_CASE("A rollback is a new change that restores all objects") {
  FoldedLog log = makeLogWithLimits();
  FoldState then = log.State;
  log.change("bo", 1, {limit("a", 9), limit("c", 9)});
  log.change("bo", 2, {{"limit/b", std::nullopt}});
  ChangePlan plan = planRestore(log.State, then);
  CHECK(plan.Writes.size() == 3);
  log.by("anna", makeChange(plan, "anna", "rollback"));
  CHECK(*log.State.Config == *then.Config);
  CHECK(log.State.ConfigRevision == 4);
}

TEST_CASE("A plan is checked by the rules of the fold") {
  FoldedLog log;
  log.change("anna", 0,
             {{"preset/peak", R"({"kind":"preset","name":"peak"})"},
              {"switch/preset",
               R"({"kind":"switch","name":"preset","preset":"peak"})"}});
  ChangePlan plan = planApply(log.State, {}, true);
  Outcome<wasabi::Done> checked =
      wasabi::toOutcome<wasabi::Done>([&]() -> wasabi::Result<wasabi::Done> {
        BOOST_LEAF_CHECK(checkPlan(log.State, plan));
        return wasabi::Done{};
      });
  REQUIRE_FALSE(checked);
  CHECK(checked.failure().Place == "switch/preset: /preset");
}
