/// \file
/// From what an operator wants to the change that brings it about.
#ifndef WASABI_STATE_CHANGEPLAN_H
#define WASABI_STATE_CHANGEPLAN_H

#include "Wasabi/Config/Configuration.h"
#include "Wasabi/State/Fold.h"

#include <optional>
#include <string>
#include <vector>

namespace wasabi {

/// One object as it is and as it is wanted.
struct PlannedWrite {
  std::string Key;
  std::optional<std::string> Before;
  std::optional<std::string> After;
  bool operator==(const PlannedWrite &) const = default;
};

/// A change that was not sent yet. An immutable value.
struct ChangePlan {
  /// The state it was made against.
  Offset Base = 0;
  std::vector<PlannedWrite> Writes;
  /// Keys that it depends on besides.
  std::vector<std::string> Reads;
  /// Keys that are in force, but not declared, and stay.
  std::vector<std::string> UnmanagedKeys;
  bool operator==(const ChangePlan &) const = default;
};

/// Brings `Wanted` into force. With `Prune`, objects that it lacks are removed,
/// but for the switch, which `wasabictl preset` sets. Pure.
ChangePlan planApply(const FoldState &State, const ObjectTexts &Wanted,
                     bool Prune);

/// Puts a preset into force. Errors: `BadInput` when it is not declared. Pure.
Result<ChangePlan> planPreset(const FoldState &State, const PresetName &Preset);

/// Brings back all objects as they were. Pure.
ChangePlan planRestore(const FoldState &Now, const FoldState &Then);

/// Whether the fold would find the outcome valid. Errors: `BadInput` with the
/// object and path. Pure.
Result<void> checkPlan(const FoldState &State, const ChangePlan &Plan);

/// The record's body. Precondition: `Plan.Writes` is not empty. Pure.
ConfigChange makeChange(const ChangePlan &Plan, std::string Operator,
                        std::string Message);

/// For a person, a line an object: `+` new, `-` removed, `~` changed with its
/// members' old and new values. Pure.
std::string describePlan(const ChangePlan &Plan);

} // namespace wasabi

#endif // WASABI_STATE_CHANGEPLAN_H
