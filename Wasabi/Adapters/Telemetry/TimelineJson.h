/// \file
/// The time line as JSON: what each process serves under `GET /timeline`, what
/// `wasabictl timeline` writes, and what `wasabi-replay` reads.
#ifndef WASABI_ADAPTERS_TELEMETRY_TIMELINEJSON_H
#define WASABI_ADAPTERS_TELEMETRY_TIMELINEJSON_H

#include "Wasabi/Core/Timeline.h"
#include "Wasabi/Core/Verdict.h"

#include <string>
#include <string_view>
#include <vector>

namespace wasabi {

/// What one process tells of its time line. An immutable value.
struct TimelinePage {
  std::string Instance;
  /// Events that its ring has dropped since it started.
  std::uint64_t Dropped = 0;
  std::vector<TimelineEvent> Events;
  bool operator==(const TimelinePage &) const = default;
};

/// One event as one line:
/// `{"wall":W,"count":C,"seq":S,"instance":"n","kind":"k","fields":{…}}`.
/// Pure, thread-safe.
std::string encodeEvent(const TimelineEvent &What);

/// `{"instance":"n","dropped":D,"events":[…]}`. Pure, thread-safe.
std::string encodeTimelinePage(const TimelinePage &What);

/// The page of a process from sequence number `From` on. Thread-safe.
TimelinePage makeTimelinePage(const Timeline &Of, std::uint64_t From);

/// The reverse of `encodeTimelinePage`. Errors: `BadInput` at `Place`.
/// Thread-safe.
Result<TimelinePage> decodeTimelinePage(std::string_view Text,
                                        const std::string &Place);

/// A Chrome trace (about:tracing, Perfetto): a process per instance, an
/// instant per event. Pure, thread-safe.
std::string encodeChromeTrace(const std::vector<TimelineEvent> &Events);

} // namespace wasabi

#endif // WASABI_ADAPTERS_TELEMETRY_TIMELINEJSON_H
