#include "Wasabi/Rollout/LengthEstimates.h"

#include <algorithm>

namespace wasabi {

namespace {

/// The mean over a bounded memory: older lengths fade.
constexpr std::uint32_t MeanWindow = 256;

void add(LengthEstimates::Mean &To, double Tokens) {
  To.Count = std::min(To.Count + 1, MeanWindow);
  To.Tokens += (Tokens - To.Tokens) / To.Count;
}

} // namespace

void observe(LengthEstimates &Of, const std::string &Prompt,
             std::uint32_t Tokens) {
  if (Of.ByPrompt.size() >= LengthEstimates::MaxPrompts)
    Of.ByPrompt.clear();
  add(Of.ByPrompt[Prompt], Tokens);
  add(Of.Overall, Tokens);
}

double expectedTokens(const LengthEstimates &Of, const std::string &Prompt,
                      std::uint32_t MaxTokens) {
  double most = MaxTokens;
  auto it = Of.ByPrompt.find(Prompt);
  if (it != Of.ByPrompt.end())
    return std::min(most, it->second.Tokens);
  if (Of.Overall.Count > 0)
    return std::min(most, Of.Overall.Tokens);
  return most / 2;
}

double expectedRemaining(double Expected, std::uint32_t SoFar,
                         std::uint32_t MaxTokens) {
  double most = MaxTokens > SoFar ? MaxTokens - SoFar : 0;
  return std::min(most, std::max(Expected - SoFar, SoFar / 2.0));
}

} // namespace wasabi
