/// \file
/// Labels of samples: which weight version generated which tokens, as reported
/// by the engine with each chunk.
#ifndef WASABI_ROLLOUT_LABEL_H
#define WASABI_ROLLOUT_LABEL_H

#include "Wasabi/Core/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wasabi {

/// Tokens [From, To) were generated with one version.
struct VersionSpan {
  std::uint32_t From = 0;
  std::uint32_t To = 0;
  WeightVersion Version = 0;
  bool operator==(const VersionSpan &) const = default;
};

/// Contiguous spans in order; adjacent spans have different versions.
using Label = std::vector<VersionSpan>;

/// A chunk of an engine's stream.
struct Chunk {
  /// Index of the first token.
  std::uint32_t Position = 0;
  std::uint32_t Tokens = 0;
  std::string Text;
  /// Empty if the engine does not report the version; the chunk is then
  /// rejected.
  std::optional<WeightVersion> Version;
  bool operator==(const Chunk &) const = default;
};

/// Text and label of the tokens generated so far.
struct Draft {
  std::string Text;
  std::uint32_t Tokens = 0;
  Label Spans;
  bool operator==(const Draft &) const = default;
};

/// Result of appending a chunk.
enum class ChunkStatus : std::uint8_t {
  Appended,
  /// The chunk does not continue the draft: the stream has a gap or a
  /// repetition.
  UnexpectedPosition,
  /// The chunk has no version.
  MissingVersion,
};

/// Appends a chunk to a draft. A rejected chunk leaves the draft unchanged.
/// Pure except for `Into`.
ChunkStatus append(Draft &Into, const Chunk &Received);

/// Returns true if the spans cover [0, Tokens) in order without gaps or
/// overlaps. Pure.
bool covers(const Label &Spans, std::uint32_t Tokens);

/// Returns the oldest version of a label; empty if it has no spans. Pure.
std::optional<WeightVersion> oldestVersion(const Label &Spans);

/// Formats a label, for example "0-12@3,12-40@4". Pure.
std::string toText(const Label &Spans);

} // namespace wasabi

#endif // WASABI_ROLLOUT_LABEL_H
