/// \file
/// Checks a trace against its expected outcomes.
#ifndef WASABI_REPLAY_CHECK_H
#define WASABI_REPLAY_CHECK_H

#include "Wasabi/Replay/Rules.h"
#include "Wasabi/Replay/Trace.h"
#include "Wasabi/Replay/TraceExpectations.h"

#include <optional>
#include <string>
#include <vector>

namespace wasabi::replay {

/// The first outcome that a trace violates. An immutable value.
struct TraceViolation {
  /// Name of the rule, or `expect`.
  std::string Rule;
  RuleViolation Details;
  /// Positions of earlier events about the same request, slot, key, resource,
  /// member or delivery.
  std::vector<std::size_t> RelatedEvents;
  bool operator==(const TraceViolation &) const = default;
};

/// Returns the violation whose deciding event comes first in the trace; missing
/// expected events come last. Pure, thread-safe.
std::optional<TraceViolation> check(const Trace &Input,
                                    const TraceExpectations &Expectations);

/// Describes a violation in several lines of text. Pure, thread-safe.
std::string describeViolation(const Trace &Input,
                              const TraceViolation &Violation);

} // namespace wasabi::replay

#endif // WASABI_REPLAY_CHECK_H
