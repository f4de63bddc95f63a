/// \file
/// Expected outcomes of a trace: rules by name, their bounds, and required
/// events.
#ifndef WASABI_REPLAY_TRACEEXPECTATIONS_H
#define WASABI_REPLAY_TRACEEXPECTATIONS_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Timeline.h"
#include "Wasabi/Core/Verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi::replay {

/// Bounds that rules use. An immutable value.
struct Bounds {
  /// Maximum share of its time that a trainer may wait for samples, 0 to 1.
  std::optional<double> IdleShare;
  /// Maximum number of versions that a delivered sample may be behind. If
  /// unset, the bound in each event applies.
  std::optional<std::uint64_t> MaxStaleness;
  /// Time after the first report of its leaving during which an instance may
  /// still accept new work.
  Millis LeavingGracePeriod{3000};
  bool operator==(const Bounds &) const = default;
};

/// An event that the trace must contain. An immutable value.
struct ExpectedEvent {
  std::string Kind;
  /// Fields that the event must have with these values; it may have others.
  std::vector<EventField> Fields;
  /// Minimum number of matching events.
  std::uint64_t MinCount = 1;
  bool operator==(const ExpectedEvent &) const = default;
};

/// All expected outcomes of a trace. An immutable value.
struct TraceExpectations {
  std::vector<std::string> Rules;
  Bounds Limits;
  std::vector<ExpectedEvent> Events;
  bool operator==(const TraceExpectations &) const = default;
};

/// Parses `{"rules":[…],"bounds":{…},"expect":[…]}`, each member optional.
/// Errors: `BadInput`, place `File: /json/path`, for malformed JSON, unknown
/// members and unknown rules. Thread-safe.
Result<TraceExpectations> readExpectations(std::string_view File,
                                           std::string_view Text);

} // namespace wasabi::replay

#endif // WASABI_REPLAY_TRACEEXPECTATIONS_H
