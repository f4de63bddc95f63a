/// \file
/// Parses one event of a recorded timeline from its JSON line.
#ifndef WASABI_REPLAY_EVENTREADER_H
#define WASABI_REPLAY_EVENTREADER_H

#include "Wasabi/Core/Timeline.h"
#include "Wasabi/Core/Verdict.h"

#include <string_view>

namespace wasabi::replay {

/// Parses `{"wall":…,"count":…,"seq":…,"instance":…,"kind":…,"fields":{…}}`.
/// Errors: `BadInput` at `Place` naming the member. Thread-safe.
Result<TimelineEvent> readEvent(std::string_view Line, std::string_view Place);

} // namespace wasabi::replay

#endif // WASABI_REPLAY_EVENTREADER_H
