#include "Wasabi/Replay/Spans.h"

#include <algorithm>
#include <charconv>

namespace wasabi::replay {

namespace {

std::optional<LabelSpan> readSpan(std::string_view text) {
  const std::size_t dash = text.find('-');
  const std::size_t at = text.find('@');
  if (dash == std::string_view::npos || at == std::string_view::npos ||
      at < dash)
    return std::nullopt;
  const std::optional<std::uint64_t> from = readNumber(text.substr(0, dash));
  const std::optional<std::uint64_t> to =
      readNumber(text.substr(dash + 1, at - dash - 1));
  const std::optional<std::uint64_t> version = readNumber(text.substr(at + 1));
  if (!from || !to || !version)
    return std::nullopt;
  return LabelSpan{*from, *to, *version};
}

} // namespace

std::optional<std::uint64_t> readNumber(std::string_view Text) {
  std::uint64_t number = 0;
  const char *end = Text.data() + Text.size();
  const std::from_chars_result read = std::from_chars(Text.data(), end, number);
  if (Text.empty() || read.ec != std::errc() || read.ptr != end)
    return std::nullopt;
  return number;
}

std::optional<std::vector<LabelSpan>> readSpans(std::string_view Text) {
  std::vector<LabelSpan> label;
  std::uint64_t next = 0;
  while (true) {
    const std::size_t comma = Text.find(',');
    const std::optional<LabelSpan> span = readSpan(Text.substr(0, comma));
    if (!span || span->From != next || span->To <= span->From)
      return std::nullopt;
    label.push_back(*span);
    next = span->To;
    if (comma == std::string_view::npos)
      return label;
    Text.remove_prefix(comma + 1);
  }
}

WeightVersion oldestVersion(const std::vector<LabelSpan> &Label) {
  WeightVersion oldest = Label.front().Version;
  for (const LabelSpan &it : Label)
    oldest = std::min(oldest, it.Version);
  return oldest;
}

} // namespace wasabi::replay
