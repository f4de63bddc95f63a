/// \file
/// Holds a trace against its stated outcomes.
#ifndef WASABI_REPLAY_CHECK_H
#define WASABI_REPLAY_CHECK_H

#include "Wasabi/Replay/Rules.h"
#include "Wasabi/Replay/Trace.h"
#include "Wasabi/Replay/TraceExpectations.h"

#include <optional>
#include <string>
#include <vector>

namespace wasabi::replay {

/// The first outcome that a trace breaks. An immutable value.
struct TraceViolation {
  /// The rule's name, or `expect`.
  std::string Rule;
  RuleViolation What;
  /// Earlier events about the same requests, slots, offsets or resources.
  std::vector<std::size_t> RelatedEvents;
  bool operator==(const TraceViolation &) const = default;
};

/// The broken outcome whose deciding event comes first in the trace; absent
/// expected events come last. Pure, thread-safe.
std::optional<TraceViolation> check(const Trace &From,
                                    const TraceExpectations &Against);

/// A broken outcome for a person, several lines. Pure, thread-safe.
std::string describeViolation(const Trace &From, const TraceViolation &Broken);

} // namespace wasabi::replay

#endif // WASABI_REPLAY_CHECK_H
