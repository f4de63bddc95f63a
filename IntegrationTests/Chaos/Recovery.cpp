#include "IntegrationTests/Chaos/Recovery.h"

#include "IntegrationTests/Chaos/Truth.h"
#include "IntegrationTests/Harness/HttpCall.h"
#include "IntegrationTests/Harness/Waiting.h"

#include <boost/json.hpp>

namespace wasabi::chaos {

namespace {

constexpr Millis Patience{2000};
constexpr unsigned Success = 200;

bool isReady(const Slot &which) {
  const Address admin = Cluster::adminAddress(which);
  return !admin.empty() && harness::getText(admin, "/readyz", Patience);
}

bool answers(const Slot &entry, http::Request ask) {
  const Address where = Cluster::httpAddress(entry);
  if (where.empty())
    return false;
  const Outcome<http::Response> answer =
      harness::call(where, std::move(ask), Patience);
  return answer && answer->Status == Success;
}

http::Request plainAsk(const ClusterPlan &plan) {
  return {"GET", "/recovered", {{"X-Service", plan.PlainService}}, ""};
}

http::Request engineAsk(const ClusterPlan &plan) {
  return {"POST",
          "/v1/completions",
          {{"X-Service", plan.EngineService}},
          R"({"model":")" + plan.Model +
              R"(","prompt":"recovered","max_tokens":4,"seed":1})"};
}

/// The configuration revision of a slot's process; empty while it is silent.
std::optional<std::uint64_t> revisionOf(const Slot &which) {
  const Outcome<boost::json::value> status =
      harness::getJson(Cluster::adminAddress(which), "/status", Patience);
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

/// What does not work yet; empty when all does.
std::string missingOf(Cluster &of, std::uint64_t wholeSteps) {
  for (const std::vector<std::unique_ptr<Slot>> *slots :
       {&of.Daemons, &of.Entries}) {
    for (const std::unique_ptr<Slot> &it : *slots) {
      if (!isReady(*it))
        return it->Instance + " is not ready";
    }
  }
  // One configuration is in force everywhere.
  const std::optional<std::uint64_t> revision = revisionOf(*of.Entries.front());
  for (const std::vector<std::unique_ptr<Slot>> *slots :
       {&of.Daemons, &of.Entries}) {
    for (const std::unique_ptr<Slot> &it : *slots) {
      if (!revision || revisionOf(*it) != revision)
        return it->Instance + " has another configuration in force";
    }
  }
  for (const std::unique_ptr<Slot> &it : of.Entries) {
    if (!answers(*it, plainAsk(of.Plan)))
      return it->Instance + " has no answer of " + of.Plan.PlainService;
    if (!answers(*it, engineAsk(of.Plan)))
      return it->Instance + " has no answer of " + of.Plan.EngineService;
  }
  const Outcome<boost::json::value> truth = of.Trainer->truth();
  if (!truth || parseTrainerTruth(*truth).StepsComplete <= wholeSteps)
    return "the trainer's step is not whole";
  return {};
}

} // namespace

std::optional<Millis> awaitRecovery(Cluster &Of, std::uint64_t Since,
                                    std::string &Missing) {
  // The step that is open now may have been whole but for a moment: one more
  // must follow.
  const Outcome<boost::json::value> truth = Of.Trainer->truth();
  const std::uint64_t before =
      truth ? parseTrainerTruth(*truth).StepsComplete : 0;
  const bool recovered = harness::waitUntil(
      [&] {
        Missing = missingOf(Of, before);
        return Missing.empty();
      },
      RecoveryPatience);
  if (!recovered)
    return std::nullopt;
  return Millis((wallMicros() - Since) / 1000);
}

} // namespace wasabi::chaos
