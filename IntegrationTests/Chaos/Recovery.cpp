#include "IntegrationTests/Chaos/Recovery.h"

#include "IntegrationTests/Chaos/Truth.h"
#include "IntegrationTests/Harness/HttpCall.h"
#include "IntegrationTests/Harness/Waiting.h"

#include <boost/json.hpp>

namespace wasabi::chaos {

namespace {

constexpr Millis RequestTimeout{2000};
constexpr unsigned Success = 200;

bool isReady(const ProcessSlot &which) {
  const Address admin = Cluster::adminAddress(which);
  return !admin.empty() && harness::getText(admin, "/readyz", RequestTimeout);
}

bool answers(const ProcessSlot &entry, http::Request ask) {
  const Address where = Cluster::httpAddress(entry);
  if (where.empty())
    return false;
  const Outcome<http::Response> answer =
      harness::call(where, std::move(ask), RequestTimeout);
  return answer && answer->Status == Success;
}

http::Request makePlainRequest(const ClusterPlan &plan) {
  return {"GET", "/recovered", {{"X-Service", plan.PlainService}}, ""};
}

http::Request makeEngineRequest(const ClusterPlan &plan) {
  return {"POST",
          "/v1/completions",
          {{"X-Service", plan.EngineService}},
          R"({"model":")" + plan.Model +
              R"(","prompt":"recovered","max_tokens":4,"seed":1})"};
}

/// Returns the configuration revision of a slot's process; empty if it does not
/// respond.
std::optional<std::uint64_t> findConfigRevision(const ProcessSlot &which) {
  const Outcome<boost::json::value> status =
      harness::getJson(Cluster::adminAddress(which), "/status", RequestTimeout);
  if (!status || !status->is_object())
    return std::nullopt;
  const boost::json::value *revision =
      status->as_object().if_contains("config_revision");
  boost::system::error_code ec;
  if (revision == nullptr)
    return std::nullopt;
  const std::uint64_t number = revision->to_number<std::uint64_t>(ec);
  return ec ? std::nullopt : std::optional<std::uint64_t>(number);
}

/// Returns the first part that does not work; empty if all parts work.
std::string findMissing(Cluster &cluster, std::uint64_t completeSteps) {
  for (const std::vector<std::unique_ptr<ProcessSlot>> *slots :
       {&cluster.Daemons, &cluster.Entries}) {
    for (const std::unique_ptr<ProcessSlot> &it : *slots) {
      if (!isReady(*it))
        return it->Instance + " is not ready";
    }
  }
  // All processes must apply the same configuration.
  const std::optional<std::uint64_t> revision =
      findConfigRevision(*cluster.Entries.front());
  for (const std::vector<std::unique_ptr<ProcessSlot>> *slots :
       {&cluster.Daemons, &cluster.Entries}) {
    for (const std::unique_ptr<ProcessSlot> &it : *slots) {
      if (!revision || findConfigRevision(*it) != revision)
        return it->Instance + " has another configuration in force";
    }
  }
  for (const std::unique_ptr<ProcessSlot> &it : cluster.Entries) {
    if (!answers(*it, makePlainRequest(cluster.Plan)))
      return it->Instance + " has no answer of " + cluster.Plan.PlainService;
    if (!answers(*it, makeEngineRequest(cluster.Plan)))
      return it->Instance + " has no answer of " + cluster.Plan.EngineService;
  }
  const Outcome<boost::json::value> truth = cluster.Trainer->truth();
  if (!truth || parseTrainerTruth(*truth).StepsComplete <= completeSteps)
    return "the trainer's step is not whole";
  return {};
}

} // namespace

std::optional<Millis> awaitRecovery(Cluster &Target, std::uint64_t Since,
                                    std::string &Missing) {
  // The trainer must complete another step.
  const Outcome<boost::json::value> truth = Target.Trainer->truth();
  const std::uint64_t before =
      truth ? parseTrainerTruth(*truth).StepsComplete : 0;
  const bool recovered = harness::waitUntil(
      [&] {
        Missing = findMissing(Target, before);
        return Missing.empty();
      },
      RecoveryTimeout);
  if (!recovered)
    return std::nullopt;
  return Millis((wallMicros() - Since) / 1000);
}

} // namespace wasabi::chaos
