/// \file
/// The text that a simulated engine generates, as pure functions of the labels.
/// Tests, the demo and the simulated trainer recompute it to check a sample.
#ifndef WASABI_STANDINS_TOKENTEXT_H
#define WASABI_STANDINS_TOKENTEXT_H

#ifndef XXH_STATIC_LINKING_ONLY
#define XXH_STATIC_LINKING_ONLY
#endif
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi::standins {

/// Size in bytes of the text of one token.
inline constexpr std::size_t TokenBytes = 7;

/// Tokens in the range [`From`, `To`) were generated on `Version`.
struct VersionSpan {
  std::uint64_t From = 0;
  std::uint64_t To = 0;
  std::uint64_t Version = 0;
  bool operator==(const VersionSpan &) const = default;
};

/// Generates the tokens of one (prompt, seed). Hashes the prompt once.
/// Thread-safe for reading.
class TokenWriter {
public:
  TokenWriter(std::string_view Prompt, std::uint64_t Seed) {
    XXH64_reset(&Head, 0);
    add(Head, Prompt);
    add(Head, std::to_string(Seed));
  }

  /// Appends the text of token `Index` on `Version`: a space and six
  /// hexadecimal digits, the hash's lowest 24 bits.
  void append(std::string &Text, std::uint64_t Index,
              std::uint64_t Version) const {
    constexpr std::string_view Digits = "0123456789abcdef";
    constexpr int FirstShift = 20;
    constexpr int DigitBits = 4;
    constexpr unsigned DigitMask = 15;
    XXH64_state_t state = Head;
    add(state, std::to_string(Index));
    std::string last = std::to_string(Version);
    XXH64_update(&state, last.data(), last.size());
    std::uint64_t hash = XXH64_digest(&state);
    Text += ' ';
    for (int shift = FirstShift; shift >= 0; shift -= DigitBits)
      Text += Digits[(hash >> shift) & DigitMask];
  }

private:
  static void add(XXH64_state_t &State, std::string_view Text) {
    constexpr char Separator = '\0';
    XXH64_update(&State, Text.data(), Text.size());
    XXH64_update(&State, &Separator, 1);
  }
  XXH64_state_t Head;
};

/// Returns the text of one token. Thread-safe.
inline std::string tokenText(std::string_view Prompt, std::uint64_t Seed,
                             std::uint64_t Index, std::uint64_t Version) {
  std::string text;
  TokenWriter(Prompt, Seed).append(text, Index, Version);
  return text;
}

/// Returns the whole text of the spans. Thread-safe.
inline std::string spansText(std::string_view Prompt, std::uint64_t Seed,
                             const std::vector<VersionSpan> &Spans) {
  TokenWriter writer(Prompt, Seed);
  std::string text;
  for (const VersionSpan &it : Spans) {
    for (std::uint64_t i = it.From; i < it.To; ++i)
      writer.append(text, i, it.Version);
  }
  return text;
}

/// Returns true if the spans are contiguous from 0 to `Tokens`. Thread-safe.
inline bool areContiguous(const std::vector<VersionSpan> &Spans,
                          std::uint64_t Tokens) {
  std::uint64_t next = 0;
  for (const VersionSpan &it : Spans) {
    if (it.From != next || it.To <= it.From)
      return false;
    next = it.To;
  }
  return next == Tokens;
}

/// Returns the number of tokens of a sample: Pareto-distributed from 1 to
/// `MaxTokens`; one in twenty has `MaxTokens`. Determined by (prompt, seed).
/// Thread-safe.
inline std::uint64_t sampleLength(std::string_view Prompt, std::uint64_t Seed,
                                  std::uint64_t MaxTokens) {
  constexpr double Shape = 1.2;
  constexpr double ShortestShare = 1.0 / 12.0;
  constexpr double Two53 = 9007199254740992.0;
  constexpr int DroppedBits = 11;
  std::string key(Prompt);
  key += '\0';
  key += std::to_string(Seed);
  std::uint64_t hash = XXH64(key.data(), key.size(), 0);
  double uniform = (static_cast<double>(hash >> DroppedBits) + 1.0) / Two53;
  double most = std::max(1.0, static_cast<double>(MaxTokens));
  double length = most * ShortestShare / std::pow(uniform, 1.0 / Shape);
  return static_cast<std::uint64_t>(std::clamp(std::ceil(length), 1.0, most));
}

/// Returns the XXH64 of the bytes as 16 hexadecimal digits. Thread-safe.
inline std::string hashText(std::string_view Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr int FirstShift = 60;
  constexpr int DigitBits = 4;
  constexpr unsigned DigitMask = 15;
  std::uint64_t hash = XXH64(Bytes.data(), Bytes.size(), 0);
  std::string text;
  for (int shift = FirstShift; shift >= 0; shift -= DigitBits)
    text += Digits[(hash >> shift) & DigitMask];
  return text;
}

/// Returns the name of a prompt in an engine's cache events. Thread-safe.
inline std::string prefixName(std::string_view Prompt) {
  constexpr std::size_t PrefixBytes = 64;
  return hashText(Prompt.substr(0, PrefixBytes));
}

} // namespace wasabi::standins

#endif // WASABI_STANDINS_TOKENTEXT_H
