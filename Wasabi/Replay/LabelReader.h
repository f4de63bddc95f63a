/// \file
/// Reads what the time line writes: labels as `0-12@3,12-40@4`, and numbers.
#ifndef WASABI_REPLAY_LABELREADER_H
#define WASABI_REPLAY_LABELREADER_H

#include "Wasabi/Rollout/Label.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace wasabi::replay {

/// Reads a label, the reverse of `toText(Label)`. Empty when it is malformed,
/// or does not cover its tokens from the first on. Pure, thread-safe.
std::optional<Label> readLabel(std::string_view Text);

/// Reads a decimal number; empty for anything else. Pure, thread-safe.
std::optional<std::uint64_t> readNumber(std::string_view Text);

} // namespace wasabi::replay

#endif // WASABI_REPLAY_LABELREADER_H
