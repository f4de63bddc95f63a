/// \file
/// Plans the configuration change that leads to the state an operator wants.
#ifndef WASABI_STATE_CHANGEPLAN_H
#define WASABI_STATE_CHANGEPLAN_H

#include "Wasabi/Config/Configuration.h"
#include "Wasabi/State/Fold.h"

#include <optional>
#include <string>
#include <vector>

namespace wasabi {

/// Current and wanted text of one object; empty if the object is absent.
struct PlannedWrite {
  std::string Key;
  std::optional<std::string> Before;
  std::optional<std::string> After;
  bool operator==(const PlannedWrite &) const = default;
};

/// A configuration change that has not been sent. An immutable value.
struct ChangePlan {
  /// Offset of the state that the plan is based on.
  Offset Base = 0;
  std::vector<PlannedWrite> Writes;
  /// Keys that the plan depends on in addition to those it writes.
  std::vector<std::string> Reads;
  /// Keys of active objects that are not in the wanted set and are kept.
  std::vector<std::string> UnmanagedKeys;
  bool operator==(const ChangePlan &) const = default;
};

/// Plans the change to the `Wanted` objects. With `Prune`, other objects are
/// removed, except for the switch, which `wasabictl preset` sets. Pure.
ChangePlan planApply(const FoldState &State, const ObjectTexts &Wanted,
                     bool Prune);

/// Plans the activation of a preset. Errors: `BadInput` if the preset is not
/// declared. Pure.
Result<ChangePlan> planPreset(const FoldState &State, const PresetName &Preset);

/// Plans the change that restores all objects of `Target`. Pure.
ChangePlan planRestore(const FoldState &Current, const FoldState &Target);

/// Checks that the fold would accept the resulting configuration. Errors:
/// `BadInput` with the object and path. Pure.
Result<void> checkPlan(const FoldState &State, const ChangePlan &Plan);

/// Makes the record body of a plan. Precondition: `Plan.Writes` is not empty.
/// Pure.
ConfigChange makeChange(const ChangePlan &Plan, std::string Operator,
                        std::string Message);

/// Formats a plan for people, one line per object: `+` new, `-` removed, `~`
/// changed, followed by the old and new values of its members. Pure.
std::string describePlan(const ChangePlan &Plan);

} // namespace wasabi

#endif // WASABI_STATE_CHANGEPLAN_H
