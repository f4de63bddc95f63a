/// \file
/// Estimates the length of samples from those that finished.
#ifndef WASABI_ROLLOUT_LENGTHESTIMATES_H
#define WASABI_ROLLOUT_LENGTHESTIMATES_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace wasabi {

/// Mean lengths in tokens, by prompt and overall. A value.
struct LengthEstimates {
  /// Maximum number of prompts; when it is reached, all of them are discarded.
  static constexpr std::size_t MaxPrompts = 16384;

  struct Mean {
    double Tokens = 0;
    std::uint32_t Count = 0;
    bool operator==(const Mean &) const = default;
  };

  std::unordered_map<std::string, Mean> ByPrompt;
  Mean Overall;

  bool operator==(const LengthEstimates &) const = default;
};

/// Adds the length of a finished sample. Not thread-safe.
void recordLength(LengthEstimates &Estimates, const std::string &Prompt,
                  std::uint32_t Tokens);

/// Returns the expected number of tokens of a sample, at most `MaxTokens`; half
/// of it if no sample has finished. Pure.
double expectedTokens(const LengthEstimates &Estimates,
                      const std::string &Prompt, std::uint32_t MaxTokens);

/// Returns the expected number of tokens after the first `SoFar`. Lengths are
/// heavy-tailed: a sample that exceeds its estimate is expected to grow by half
/// of its length. Pure.
double expectedRemaining(double Expected, std::uint32_t SoFar,
                         std::uint32_t MaxTokens);

} // namespace wasabi

#endif // WASABI_ROLLOUT_LENGTHESTIMATES_H
