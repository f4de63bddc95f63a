/// \file
/// Holds a trace against its stated outcomes.
#ifndef WASABI_REPLAY_CHECK_H
#define WASABI_REPLAY_CHECK_H

#include "Wasabi/Replay/Outcomes.h"
#include "Wasabi/Replay/Rules.h"
#include "Wasabi/Replay/Trace.h"

#include <optional>
#include <string>
#include <vector>

namespace wasabi::replay {

/// The first outcome that a trace breaks. An immutable value.
struct BrokenOutcome {
  /// The rule's name, or `expect`.
  std::string Rule;
  Finding What;
  /// Earlier events about the same requests, slots, offsets or resources.
  std::vector<std::size_t> Causes;
  bool operator==(const BrokenOutcome &) const = default;
};

/// The broken outcome whose deciding event comes first in the trace; absent
/// expected events come last. Pure, thread-safe.
std::optional<BrokenOutcome> check(const Trace &From, const Outcomes &Against);

/// A broken outcome for a person, several lines. Pure, thread-safe.
std::string describeBroken(const Trace &From, const BrokenOutcome &Broken);

} // namespace wasabi::replay

#endif // WASABI_REPLAY_CHECK_H
