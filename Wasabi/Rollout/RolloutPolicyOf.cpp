#include "Wasabi/Rollout/RolloutPolicyOf.h"

namespace wasabi {

namespace {

EngineShare shareOf(const Configuration &From, const TrainerName &Trainer) {
  EngineShare part;
  part.RolloutPercent = From.preset().RolloutPercent;
  const Attachment *own = nullptr;
  for (const auto &it : From.Attachments) {
    if (own == nullptr && it.second.Trainer == Trainer)
      own = &it.second;
  }
  if (own == nullptr)
    return part;
  part.Share = own->Share;
  part.TotalShares = 0;
  for (const auto &it : From.Attachments) {
    if (it.second.Service == own->Service)
      part.TotalShares += it.second.Share;
  }
  return part;
}

} // namespace

std::optional<RolloutPolicy> policyOf(const Configuration &From,
                                      const TrainerName &Trainer) {
  auto it = From.Trainers.find(Trainer);
  if (it == From.Trainers.end())
    return std::nullopt;
  const PresetDeclaration &preset = From.preset();
  RolloutPolicy policy;
  policy.StalenessBound = it->second.StalenessBound;
  policy.ChecksFences = it->second.ChecksFences;
  policy.AdmitRollouts = preset.AdmitRollouts;
  policy.OnVersionChange = preset.OnVersionChange;
  policy.HedgeTail = preset.HedgeTail;
  policy.Part = shareOf(From, Trainer);
  return policy;
}

std::vector<ServiceName> findAttachedServices(const Configuration &From,
                                              const TrainerName &Trainer) {
  std::vector<ServiceName> services;
  for (const auto &it : From.Attachments) {
    if (it.second.Trainer == Trainer)
      services.push_back(it.second.Service);
  }
  return services;
}

} // namespace wasabi
