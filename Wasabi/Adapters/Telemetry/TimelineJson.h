/// \file
/// JSON format of the time line, used by `GET /timeline`, `wasabictl timeline`
/// and `wasabi-replay`.
#ifndef WASABI_ADAPTERS_TELEMETRY_TIMELINEJSON_H
#define WASABI_ADAPTERS_TELEMETRY_TIMELINEJSON_H

#include "Wasabi/Core/Timeline.h"
#include "Wasabi/Core/Verdict.h"

#include <string>
#include <string_view>
#include <vector>

namespace wasabi {

/// A part of the time line of one process. An immutable value.
struct TimelinePage {
  std::string Instance;
  /// Number of events dropped by the ring buffer since the process started.
  std::uint64_t Dropped = 0;
  std::vector<TimelineEvent> Events;
  bool operator==(const TimelinePage &) const = default;
};

/// Returns one event as one line:
/// `{"wall":W,"count":C,"seq":S,"instance":"n","kind":"k","fields":{…}}`.
/// Pure, thread-safe.
std::string encodeEvent(const TimelineEvent &Event);

/// Returns `{"instance":"n","dropped":D,"events":[…]}`. Pure, thread-safe.
std::string encodeTimelinePage(const TimelinePage &Page);

/// Returns the events of a time line from sequence number `FirstSequence` on.
/// Thread-safe.
TimelinePage makeTimelinePage(const Timeline &Source,
                              std::uint64_t FirstSequence);

/// Parses the output of `encodeTimelinePage`. Errors: `BadInput` at `Place`.
/// Thread-safe.
Result<TimelinePage> decodeTimelinePage(std::string_view Text,
                                        const std::string &Place);

/// Returns a Chrome trace (about:tracing, Perfetto) with one process per
/// instance and one instant event per event. Pure, thread-safe.
std::string encodeChromeTrace(const std::vector<TimelineEvent> &Events);

} // namespace wasabi

#endif // WASABI_ADAPTERS_TELEMETRY_TIMELINEJSON_H
