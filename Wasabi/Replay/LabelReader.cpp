#include "Wasabi/Replay/LabelReader.h"

#include <charconv>
#include <limits>

namespace wasabi::replay {

namespace {

std::optional<std::uint32_t> parseIndex(std::string_view text) {
  const std::optional<std::uint64_t> number = parseDecimal(text);
  if (!number || *number > std::numeric_limits<std::uint32_t>::max())
    return std::nullopt;
  return static_cast<std::uint32_t>(*number);
}

std::optional<VersionSpan> parseSpan(std::string_view text) {
  const std::size_t dash = text.find('-');
  const std::size_t atSign = text.find('@');
  if (dash == std::string_view::npos || atSign == std::string_view::npos ||
      atSign < dash)
    return std::nullopt;
  const std::optional<std::uint32_t> from = parseIndex(text.substr(0, dash));
  const std::optional<std::uint32_t> to =
      parseIndex(text.substr(dash + 1, atSign - dash - 1));
  const std::optional<std::uint64_t> version =
      parseDecimal(text.substr(atSign + 1));
  if (!from || !to || !version)
    return std::nullopt;
  return VersionSpan{*from, *to, *version};
}

} // namespace

std::optional<std::uint64_t> parseDecimal(std::string_view Text) {
  std::uint64_t number = 0;
  const char *end = Text.data() + Text.size();
  const std::from_chars_result result =
      std::from_chars(Text.data(), end, number);
  if (Text.empty() || result.ec != std::errc() || result.ptr != end)
    return std::nullopt;
  return number;
}

std::optional<Label> readLabel(std::string_view Text) {
  Label label;
  while (true) {
    const std::size_t comma = Text.find(',');
    const std::optional<VersionSpan> span = parseSpan(Text.substr(0, comma));
    if (!span)
      return std::nullopt;
    label.push_back(*span);
    if (comma == std::string_view::npos)
      break;
    Text.remove_prefix(comma + 1);
  }
  if (!covers(label, label.back().To))
    return std::nullopt;
  return label;
}

} // namespace wasabi::replay
