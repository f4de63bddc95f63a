/// \file
/// The promises as rules over a trace. Each is a pure function: the first event
/// by which the promise is broken, with the earlier events that it contradicts.
#ifndef WASABI_REPLAY_RULES_H
#define WASABI_REPLAY_RULES_H

#include "Wasabi/Replay/Trace.h"
#include "Wasabi/Replay/TraceExpectations.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi::replay {

/// How a promise was broken. An immutable value.
struct RuleViolation {
  /// Why, for a person.
  std::string Reason;
  /// Positions in the trace, the one that broke the promise last. Empty when
  /// it is the absence of an event that breaks it.
  std::vector<std::size_t> Events;
  bool operator==(const RuleViolation &) const = default;
};

/// Pure, thread-safe.
using RuleFunction = std::optional<RuleViolation> (*)(const Trace &,
                                                      const Bounds &);

/// `sample-once`: no slot of a trainer is delivered twice.
std::optional<RuleViolation> checkSampleOnce(const Trace &, const Bounds &);
/// `label-true`: a label is whole, and the same when generated, committed and
/// delivered.
std::optional<RuleViolation> checkLabelTrue(const Trace &, const Bounds &);
/// `fresh`: no sample is committed or delivered beyond the staleness bound.
std::optional<RuleViolation> checkFresh(const Trace &, const Bounds &);
/// `config-never-reverts`: in one process offsets only grow, and an offset
/// means the same everywhere.
std::optional<RuleViolation> checkConfigNeverReverts(const Trace &,
                                                     const Bounds &);
/// `answer-whole`: no answer is called whole that was cut, nor ends short
/// without a verdict.
std::optional<RuleViolation> checkAnswerWhole(const Trace &, const Bounds &);
/// `not-run-is-true`: what was refused as not run was not forwarded.
std::optional<RuleViolation> checkNotRunIsTrue(const Trace &, const Bounds &);
/// `at-most-once`: a request that is not idempotent, and an idempotency key,
/// is forwarded at most once.
std::optional<RuleViolation> checkAtMostOnce(const Trace &, const Bounds &);
/// `leaving-gets-no-new-work`: nothing is admitted on an instance longer than
/// the grace after the first word of its leaving.
std::optional<RuleViolation> checkLeavingGetsNoNewWork(const Trace &,
                                                       const Bounds &);
/// `planned-stop-cuts-nothing`: what a leaving process began has ended before
/// the process stops.
std::optional<RuleViolation> checkPlannedStopCutsNothing(const Trace &,
                                                         const Bounds &);
/// `fences-never-go-back`: no daemon takes an order with an older token than
/// one it took before.
std::optional<RuleViolation> checkFencesNeverGoBack(const Trace &,
                                                    const Bounds &);
/// `idle-share`: no trainer waits for samples more than its bound.
std::optional<RuleViolation> checkIdleShare(const Trace &, const Bounds &);

/// The rule of a name, or null. Thread-safe.
RuleFunction findRule(std::string_view Name);
/// All names, joined by commas. Thread-safe.
std::string listRuleNames();

} // namespace wasabi::replay

#endif // WASABI_REPLAY_RULES_H
