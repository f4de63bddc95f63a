/// \file
/// Parses labels such as `0-12@3,12-40@4`, and decimal numbers, as written in
/// the timeline.
#ifndef WASABI_REPLAY_LABELREADER_H
#define WASABI_REPLAY_LABELREADER_H

#include "Wasabi/Rollout/Label.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace wasabi::replay {

/// Parses a label, the reverse of `toText(Label)`. Returns nothing if it is
/// malformed or does not cover all tokens from the first on. Pure, thread-safe.
std::optional<Label> readLabel(std::string_view Text);

/// Parses a decimal number. Returns nothing for any other text. Pure,
/// thread-safe.
std::optional<std::uint64_t> parseDecimal(std::string_view Text);

} // namespace wasabi::replay

#endif // WASABI_REPLAY_LABELREADER_H
