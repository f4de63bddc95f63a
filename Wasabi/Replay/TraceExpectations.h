/// \file
/// What a replayed trace is held against: rules by name, their bounds, and
/// events that must be there.
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

/// The numbers that rules compare with. An immutable value.
struct Bounds {
  /// Largest share of its time that a trainer may wait for samples, 0 to 1.
  std::optional<double> IdleShare;
  /// Most versions that a delivered sample may be behind; without it, the
  /// bound that each event names.
  std::optional<std::uint64_t> StalenessMax;
  /// How long after the first word of its leaving an instance may still be
  /// given work.
  Millis LeavingGracePeriod{3000};
  bool operator==(const Bounds &) const = default;
};

/// An event that must be in the trace. An immutable value.
struct ExpectedEvent {
  std::string Kind;
  /// Each must be there with this value; others may be there too.
  std::vector<EventField> Fields;
  /// The fewest such events.
  std::uint64_t MinCount = 1;
  bool operator==(const ExpectedEvent &) const = default;
};

/// All that a trace is held against. An immutable value.
struct TraceExpectations {
  std::vector<std::string> Rules;
  Bounds Limits;
  std::vector<ExpectedEvent> Expect;
  bool operator==(const TraceExpectations &) const = default;
};

/// Reads `{"rules":[…],"bounds":{…},"expect":[…]}`, each member optional.
/// Errors: `BadInput`, place `File: /json/path`, for what is malformed, for
/// unknown members and for rules that do not exist. Thread-safe.
Result<TraceExpectations> readExpectations(std::string_view File,
                                           std::string_view Text);

} // namespace wasabi::replay

#endif // WASABI_REPLAY_TRACEEXPECTATIONS_H
