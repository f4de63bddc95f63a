#include "Wasabi/Rollout/RolloutPolicyOf.h"

namespace wasabi {

namespace {

EngineShare findShare(const Configuration &Config, const TrainerName &Trainer) {
  EngineShare share;
  share.RolloutPercent = Config.preset().RolloutPercent;
  const Attachment *attachment = nullptr;
  for (const auto &it : Config.Attachments) {
    if (attachment == nullptr && it.second.Trainer == Trainer)
      attachment = &it.second;
  }
  if (attachment == nullptr)
    return share;
  share.Share = attachment->Share;
  share.TotalShares = 0;
  for (const auto &it : Config.Attachments) {
    if (it.second.Service == attachment->Service)
      share.TotalShares += it.second.Share;
  }
  return share;
}

} // namespace

std::optional<RolloutPolicy> findRolloutPolicy(const Configuration &Config,
                                               const TrainerName &Trainer) {
  auto it = Config.Trainers.find(Trainer);
  if (it == Config.Trainers.end())
    return std::nullopt;
  const PresetDeclaration &preset = Config.preset();
  RolloutPolicy policy;
  policy.StalenessBound = it->second.StalenessBound;
  policy.ChecksFences = it->second.ChecksFences;
  policy.AdmitRollouts = preset.AdmitRollouts;
  policy.OnVersionChange = preset.OnVersionChange;
  policy.HedgeTail = preset.HedgeTail;
  policy.Part = findShare(Config, Trainer);
  return policy;
}

std::vector<ServiceName> findAttachedServices(const Configuration &Config,
                                              const TrainerName &Trainer) {
  std::vector<ServiceName> services;
  for (const auto &it : Config.Attachments) {
    if (it.second.Trainer == Trainer)
      services.push_back(it.second.Service);
  }
  return services;
}

} // namespace wasabi
