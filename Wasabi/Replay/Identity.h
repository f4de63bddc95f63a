/// \file
/// Lookup keys for the subject of an event.
#ifndef WASABI_REPLAY_IDENTITY_H
#define WASABI_REPLAY_IDENTITY_H

#include "Wasabi/Core/Timeline.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace wasabi::replay {

/// Returns the values of the fields `Keys`, joined by line feeds. Pure,
/// thread-safe.
inline std::string
joinFieldValues(const TimelineEvent &Event,
                std::initializer_list<std::string_view> Keys) {
  std::string joined;
  for (const std::string_view it : Keys) {
    joined += Event.field(it);
    joined += '\n';
  }
  return joined;
}

/// Returns the key of a slot: trainer and slot.
inline std::string makeSlotKey(const TimelineEvent &Event) {
  return joinFieldValues(Event, {"trainer", "slot"});
}

/// Returns the key of an attempt: request and attempt.
inline std::string makeAttemptKey(const TimelineEvent &Event) {
  return joinFieldValues(Event, {"request", "attempt"});
}

} // namespace wasabi::replay

#endif // WASABI_REPLAY_IDENTITY_H
