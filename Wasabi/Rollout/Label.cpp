#include "Wasabi/Rollout/Label.h"

#include <algorithm>

namespace wasabi {

ChunkStatus append(Draft &Into, const Chunk &Received) {
  if (Received.Position != Into.Tokens)
    return ChunkStatus::UnexpectedPosition;
  if (!Received.Version)
    return ChunkStatus::MissingVersion;
  if (Received.Tokens == 0)
    return ChunkStatus::Appended;
  std::uint32_t end = Received.Position + Received.Tokens;
  // Merges adjacent spans of the same version, so that labels compare equal.
  if (!Into.Spans.empty() && Into.Spans.back().Version == *Received.Version)
    Into.Spans.back().To = end;
  else
    Into.Spans.push_back(
        VersionSpan{Received.Position, end, *Received.Version});
  Into.Text += Received.Text;
  Into.Tokens = end;
  return ChunkStatus::Appended;
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
