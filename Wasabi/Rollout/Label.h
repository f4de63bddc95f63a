/// \file
/// A sample's label: which weight versions produced which of its tokens, as the
/// engine itself attested chunk by chunk.
#ifndef WASABI_ROLLOUT_LABEL_H
#define WASABI_ROLLOUT_LABEL_H

#include "Wasabi/Core/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wasabi {

/// Tokens [From, To) were produced on one version.
struct VersionSpan {
  std::uint32_t From = 0;
  std::uint32_t To = 0;
  WeightVersion Version = 0;
  bool operator==(const VersionSpan &) const = default;
};

/// Spans in order, without gaps, neighbours of different versions.
using Label = std::vector<VersionSpan>;

/// One chunk of an engine's stream.
struct Chunk {
  /// Index of its first token.
  std::uint32_t Position = 0;
  std::uint32_t Tokens = 0;
  std::string Text;
  /// Empty when the engine did not say: such tokens cannot be attested.
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

/// What became of a chunk.
enum class ChunkStatus : std::uint8_t {
  Taken,
  /// Its position is not the draft's next token: the stream has a gap or a
  /// repeat.
  UnexpectedPosition,
  /// It names no version.
  MissingVersion,
};

/// Appends a chunk to a draft; a chunk not taken leaves it as it was. Pure but
/// for `Into`.
ChunkStatus append(Draft &Into, const Chunk &What);

/// Whether the spans cover [0, Tokens) in order without gap or overlap. Pure.
bool covers(const Label &Spans, std::uint32_t Tokens);

/// The oldest version in a label; empty for no spans. Pure.
std::optional<WeightVersion> oldestVersion(const Label &Spans);

/// "0-12@3,12-40@4". Pure.
std::string toText(const Label &Spans);

} // namespace wasabi

#endif // WASABI_ROLLOUT_LABEL_H
