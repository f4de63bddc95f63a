/// \file
/// Recorded timeline: the merged events of all processes, in order.
#ifndef WASABI_REPLAY_TRACE_H
#define WASABI_REPLAY_TRACE_H

#include "Wasabi/Core/Timeline.h"
#include "Wasabi/Core/Verdict.h"

#include <string>
#include <string_view>
#include <vector>

namespace wasabi::replay {

/// Events ordered by hybrid logical time, then instance, then sequence number.
/// An immutable value.
struct Trace {
  std::vector<TimelineEvent> Events;
  bool operator==(const Trace &) const = default;
};

/// Sorts events into the order of a trace. Pure, thread-safe.
Trace makeTrace(std::vector<TimelineEvent> Events);

/// Parses JSON lines with one event each; blank lines are skipped. Errors:
/// `BadInput`, place `File:LINE`. Thread-safe.
Result<Trace> readTrace(std::string_view File, std::string_view Text);

/// Describes an event in one line of text. Pure, thread-safe.
std::string describeEvent(const TimelineEvent &Event);

} // namespace wasabi::replay

#endif // WASABI_REPLAY_TRACE_H
