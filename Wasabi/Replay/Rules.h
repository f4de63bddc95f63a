/// \file
/// The service's guarantees as rules over a trace. Each rule is a pure function
/// that returns the first violation.
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

/// A violation of a rule. An immutable value.
struct RuleViolation {
  /// Reason, in plain text.
  std::string Reason;
  /// Positions of the contradicting events in the trace; the violating event is
  /// last. Empty if an expected event is missing.
  std::vector<std::size_t> Events;
  bool operator==(const RuleViolation &) const = default;
};

/// Checks one rule; empty if it holds. Pure, thread-safe.
using RuleFunction = std::optional<RuleViolation> (*)(const Trace &,
                                                      const Bounds &);

/// `sample-once`: no slot of a trainer is delivered twice.
std::optional<RuleViolation> checkSampleOnce(const Trace &, const Bounds &);
/// `label-true`: a label is well-formed, and the same when generated, committed
/// and delivered.
std::optional<RuleViolation> checkLabelTrue(const Trace &, const Bounds &);
/// `fresh`: no sample beyond the staleness bound is committed or delivered.
std::optional<RuleViolation> checkFresh(const Trace &, const Bounds &);
/// `config-never-reverts`: offsets only grow within one process, and an offset
/// has the same preset in all processes.
std::optional<RuleViolation> checkConfigNeverReverts(const Trace &,
                                                     const Bounds &);
/// `answer-whole`: no truncated response is reported as complete, and none ends
/// incomplete without a verdict.
std::optional<RuleViolation> checkAnswerWhole(const Trace &, const Bounds &);
/// `not-run-is-true`: a request or attempt that is reported as not run may not
/// have run at an upstream.
std::optional<RuleViolation> checkNotRunIsTrue(const Trace &, const Bounds &);
/// `at-most-once`: a non-idempotent request, or an idempotency key, runs at
/// most once.
std::optional<RuleViolation> checkAtMostOnce(const Trace &, const Bounds &);
/// `leaving-gets-no-new-work`: an instance accepts no new work after the grace
/// period that follows the first report of its leaving.
std::optional<RuleViolation> checkLeavingGetsNoNewWork(const Trace &,
                                                       const Bounds &);
/// `planned-stop-cuts-nothing`: all requests and attempts of a process have
/// ended before it stops.
std::optional<RuleViolation> checkPlannedStopCutsNothing(const Trace &,
                                                         const Bounds &);
/// `fences-never-go-back`: no daemon executes an order with an older token than
/// a previous order.
std::optional<RuleViolation> checkFencesNeverGoBack(const Trace &,
                                                    const Bounds &);
/// `idle-share`: no trainer waits for samples longer than the bound allows.
std::optional<RuleViolation> checkIdleShare(const Trace &, const Bounds &);

/// Returns the rule with this name, or null. Thread-safe.
RuleFunction findRule(std::string_view Name);
/// Returns all rule names, joined by commas. Thread-safe.
std::string listRuleNames();

} // namespace wasabi::replay

#endif // WASABI_REPLAY_RULES_H
