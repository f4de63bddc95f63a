/// \file
/// An engine's event stream, parsed as it arrives (docs/PLATFORM.md, "engine").
#ifndef WASABI_ROLLOUT_STREAMPARSER_H
#define WASABI_ROLLOUT_STREAMPARSER_H

#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Rollout/Label.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wasabi {

/// The engine's count of all tokens, those resumed from included.
struct StreamDone {
  std::uint32_t Tokens = 0;
  bool operator==(const StreamDone &) const = default;
};

/// `[DONE]`: nothing follows.
struct StreamEnd {
  bool operator==(const StreamEnd &) const = default;
};

using StreamItem = std::variant<Chunk, StreamDone, StreamEnd>;

/// Bytes of an event that is not whole yet. A value.
struct StreamParser {
  std::string Rest;
};

/// Adds bytes and gives the events that are whole now, in order. Failures:
/// `BadInput` naming the member of a malformed event. Pure but for `Of`.
Outcome<std::vector<StreamItem>> parse(StreamParser &Of,
                                       std::string_view Bytes);

} // namespace wasabi

#endif // WASABI_ROLLOUT_STREAMPARSER_H
