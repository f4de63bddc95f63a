/// \file
/// Incremental parser of an engine's event stream (docs/PLATFORM.md, "engine").
#ifndef WASABI_ROLLOUT_STREAMPARSER_H
#define WASABI_ROLLOUT_STREAMPARSER_H

#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Rollout/Label.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wasabi {

/// Total number of tokens, including those resumed from.
struct StreamDone {
  std::uint32_t Tokens = 0;
  bool operator==(const StreamDone &) const = default;
};

/// `[DONE]`, the last event of a stream.
struct StreamEnd {
  bool operator==(const StreamEnd &) const = default;
};

using StreamItem = std::variant<Chunk, StreamDone, StreamEnd>;

/// Holds the bytes of an incomplete event. A value.
struct StreamParser {
  std::string Buffer;
};

/// Adds bytes and returns the events that are now complete, in order. Failures:
/// `BadInput` naming the member of a malformed event. Pure except for `Parser`.
Outcome<std::vector<StreamItem>> parse(StreamParser &Parser,
                                       std::string_view Bytes);

} // namespace wasabi

#endif // WASABI_ROLLOUT_STREAMPARSER_H
