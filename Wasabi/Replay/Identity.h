/// \file
/// What an event is about, as a key for look-ups.
#ifndef WASABI_REPLAY_IDENTITY_H
#define WASABI_REPLAY_IDENTITY_H

#include "Wasabi/Core/Timeline.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace wasabi::replay {

/// The values of some fields, joined so that different ones never look alike.
/// Pure, thread-safe.
inline std::string
joinFieldValues(const TimelineEvent &What,
                std::initializer_list<std::string_view> Keys) {
  std::string joined;
  for (const std::string_view it : Keys) {
    joined += What.field(it);
    joined += '\n';
  }
  return joined;
}

/// Trainer and slot.
inline std::string makeSlotKey(const TimelineEvent &What) {
  return joinFieldValues(What, {"trainer", "slot"});
}

/// Request and attempt.
inline std::string makeAttemptKey(const TimelineEvent &What) {
  return joinFieldValues(What, {"request", "attempt"});
}

} // namespace wasabi::replay

#endif // WASABI_REPLAY_IDENTITY_H
