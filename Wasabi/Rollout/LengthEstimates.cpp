#include "Wasabi/Rollout/LengthEstimates.h"

#include <algorithm>

namespace wasabi {

namespace {

/// Number of samples that the moving mean reflects.
constexpr std::uint32_t MeanWindow = 256;

void add(LengthEstimates::Mean &Target, double Tokens) {
  Target.Count = std::min(Target.Count + 1, MeanWindow);
  Target.Tokens += (Tokens - Target.Tokens) / Target.Count;
}

} // namespace

void recordLength(LengthEstimates &Estimates, const std::string &Prompt,
                  std::uint32_t Tokens) {
  if (Estimates.ByPrompt.size() >= LengthEstimates::MaxPrompts)
    Estimates.ByPrompt.clear();
  add(Estimates.ByPrompt[Prompt], Tokens);
  add(Estimates.Overall, Tokens);
}

double expectedTokens(const LengthEstimates &Estimates,
                      const std::string &Prompt, std::uint32_t MaxTokens) {
  double limit = MaxTokens;
  auto it = Estimates.ByPrompt.find(Prompt);
  if (it != Estimates.ByPrompt.end())
    return std::min(limit, it->second.Tokens);
  if (Estimates.Overall.Count > 0)
    return std::min(limit, Estimates.Overall.Tokens);
  return limit / 2;
}

double expectedRemaining(double Expected, std::uint32_t SoFar,
                         std::uint32_t MaxTokens) {
  double limit = MaxTokens > SoFar ? MaxTokens - SoFar : 0;
  return std::min(limit, std::max(Expected - SoFar, SoFar / 2.0));
}

} // namespace wasabi
