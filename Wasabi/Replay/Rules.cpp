#include "Wasabi/Replay/Rules.h"

namespace wasabi::replay {

namespace {

struct NamedRule {
  std::string_view Name;
  RuleFunction Check;
};

constexpr NamedRule AllRules[] = {
    {"sample-once", checkSampleOnce},
    {"label-true", checkLabelTrue},
    {"fresh", checkFresh},
    {"config-never-reverts", checkConfigNeverReverts},
    {"answer-whole", checkAnswerWhole},
    {"not-run-is-true", checkNotRunIsTrue},
    {"at-most-once", checkAtMostOnce},
    {"leaving-gets-no-new-work", checkLeavingGetsNoNewWork},
    {"planned-stop-cuts-nothing", checkPlannedStopCutsNothing},
    {"fences-never-go-back", checkFencesNeverGoBack},
    {"idle-share", checkIdleShare},
};

} // namespace

RuleFunction findRule(std::string_view Name) {
  for (const NamedRule &it : AllRules) {
    if (it.Name == Name)
      return it.Check;
  }
  return nullptr;
}

std::string listRuleNames() {
  std::string names;
  for (const NamedRule &it : AllRules) {
    if (!names.empty())
      names += ", ";
    names += it.Name;
  }
  return names;
}

} // namespace wasabi::replay
