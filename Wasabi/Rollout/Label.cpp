#include "Wasabi/Rollout/Label.h"

#include <algorithm>

namespace wasabi {

ChunkStatus append(Draft &Into, const Chunk &What) {
  if (What.Position != Into.Tokens)
    return ChunkStatus::UnexpectedPosition;
  if (!What.Version)
    return ChunkStatus::MissingVersion;
  if (What.Tokens == 0)
    return ChunkStatus::Taken;
  std::uint32_t end = What.Position + What.Tokens;
  // Neighbours of one version are one span, so that equal labels are equal.
  if (!Into.Spans.empty() && Into.Spans.back().Version == *What.Version)
    Into.Spans.back().To = end;
  else
    Into.Spans.push_back(VersionSpan{What.Position, end, *What.Version});
  Into.Text += What.Text;
  Into.Tokens = end;
  return ChunkStatus::Taken;
}

bool covers(const Label &Spans, std::uint32_t Tokens) {
  std::uint32_t next = 0;
  for (const VersionSpan &it : Spans) {
    if (it.From != next || it.To <= it.From)
      return false;
    next = it.To;
  }
  return next == Tokens;
}

std::optional<WeightVersion> oldestVersion(const Label &Spans) {
  std::optional<WeightVersion> oldest;
  for (const VersionSpan &it : Spans) {
    if (!oldest || it.Version < *oldest)
      oldest = it.Version;
  }
  return oldest;
}

std::string toText(const Label &Spans) {
  std::string text;
  for (const VersionSpan &it : Spans) {
    if (!text.empty())
      text += ",";
    text += std::to_string(it.From) + "-" + std::to_string(it.To) + "@" +
            std::to_string(it.Version);
  }
  return text;
}

} // namespace wasabi
