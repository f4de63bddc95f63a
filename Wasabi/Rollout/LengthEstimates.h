/// \file
/// How long samples are expected to be, learnt from those that ended.
#ifndef WASABI_ROLLOUT_LENGTHESTIMATES_H
#define WASABI_ROLLOUT_LENGTHESTIMATES_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace wasabi {

/// Mean lengths in tokens by prompt and over all. A value.
struct LengthEstimates {
  /// Prompts remembered at most; beyond it the memory begins anew.
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

/// Takes note of an ended sample. Not thread-safe.
void observe(LengthEstimates &Of, const std::string &Prompt,
             std::uint32_t Tokens);

/// Tokens a sample of this prompt is expected to have, at most `MaxTokens`;
/// half of it while nothing is known. Pure.
double expectedTokens(const LengthEstimates &Of, const std::string &Prompt,
                      std::uint32_t MaxTokens);

/// Tokens still to come after `SoFar`. Lengths are heavy-tailed: a sample that
/// outgrew its estimate is expected to go on for half of what it has. Pure.
double expectedRemaining(double Expected, std::uint32_t SoFar,
                         std::uint32_t MaxTokens);

} // namespace wasabi

#endif // WASABI_ROLLOUT_LENGTHESTIMATES_H
