/// \file
/// A recorded time line: the merged events of all processes, in order.
#ifndef WASABI_REPLAY_TRACE_H
#define WASABI_REPLAY_TRACE_H

#include "Wasabi/Core/Timeline.h"
#include "Wasabi/Core/Verdict.h"

#include <string>
#include <string_view>
#include <vector>

namespace wasabi::replay {

/// The events in the order of hybrid logical time, then instance, then
/// sequence number. An immutable value.
struct Trace {
  std::vector<TimelineEvent> Events;
  bool operator==(const Trace &) const = default;
};

/// Puts events in the order of a trace. Pure, thread-safe.
Trace makeTrace(std::vector<TimelineEvent> Events);

/// Reads JSON lines, one event a line; blank lines are skipped. Errors:
/// `BadInput`, place `File:LINE`. Thread-safe.
Result<Trace> readTrace(std::string_view File, std::string_view Text);

/// One event as one line for a person. Pure, thread-safe.
std::string describeEvent(const TimelineEvent &What);

} // namespace wasabi::replay

#endif // WASABI_REPLAY_TRACE_H
