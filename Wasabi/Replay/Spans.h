/// \file
/// A sample's label as the time line writes it: `0-12@3,12-40@4`.
#ifndef WASABI_REPLAY_SPANS_H
#define WASABI_REPLAY_SPANS_H

#include "Wasabi/Core/Ids.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace wasabi::replay {

/// Tokens `From` to `To`, the latter excluded, were produced on one version.
struct LabelSpan {
  std::uint64_t From = 0;
  std::uint64_t To = 0;
  WeightVersion Version = 0;
  bool operator==(const LabelSpan &) const = default;
};

/// Reads a label; empty when it is malformed, has a gap, an overlap or an empty
/// span, or does not begin at token 0. Pure, thread-safe.
std::optional<std::vector<LabelSpan>> readSpans(std::string_view Text);

/// The oldest version of a label. Precondition: not empty.
WeightVersion oldestVersion(const std::vector<LabelSpan> &Label);

/// Reads a decimal number; empty for anything else. Pure, thread-safe.
std::optional<std::uint64_t> readNumber(std::string_view Text);

} // namespace wasabi::replay

#endif // WASABI_REPLAY_SPANS_H
