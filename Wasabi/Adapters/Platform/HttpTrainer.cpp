#include "Wasabi/Adapters/Platform/HttpTrainer.h"

#include "Wasabi/Adapters/Platform/PlatformCall.h"
#include "Wasabi/Rollout/SampleJson.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace wasabi {

namespace json = boost::json;

namespace {

constexpr char Place[] = "trainer answer";
constexpr unsigned StatusOk = 200;
/// Beyond a long poll's own wait.
constexpr Millis AnswerTime{5000};

Result<WantedGroup> readGroup(const json::value &From) {
  if (!From.is_object())
    return badInput(std::string(Place) + "/groups", "not an object");
  const json::object &object = From.get_object();
  WantedGroup group;
  BOOST_LEAF_AUTO(number, numberMember(object, "group", Place));
  BOOST_LEAF_ASSIGN(group.Prompt, textMember(object, "prompt", Place));
  BOOST_LEAF_AUTO(samples, numberMember(object, "samples", Place));
  BOOST_LEAF_AUTO(most, numberMember(object, "max_tokens", Place));
  BOOST_LEAF_ASSIGN(group.Seed, numberMember(object, "seed", Place));
  group.Group = static_cast<std::uint32_t>(number);
  group.Samples = static_cast<std::uint32_t>(samples);
  group.MaxTokens = static_cast<std::uint32_t>(most);
  return group;
}

Result<WantedStep> readStep(const json::object &From) {
  WantedStep step;
  BOOST_LEAF_ASSIGN(step.Step, numberMember(From, "step", Place));
  BOOST_LEAF_AUTO(model, textMember(From, "model", Place));
  step.Model = ModelName(model);
  BOOST_LEAF_ASSIGN(step.Newest, numberMember(From, "newest", Place));
  BOOST_LEAF_AUTO(groups, arrayMember(From, "groups", Place));
  for (const json::value &it : *groups) {
    BOOST_LEAF_AUTO(group, readGroup(it));
    step.Groups.push_back(std::move(group));
  }
  BOOST_LEAF_AUTO(have, arrayMember(From, "have", Place));
  BOOST_LEAF_ASSIGN(step.HeldSlots, slotsFromJson(*have, Place));
  if (From.contains("fence")) {
    BOOST_LEAF_ASSIGN(step.Fence, numberMember(From, "fence", Place));
  }
  return step;
}

RefusalReason reasonOf(const std::string &Word) {
  if (Word == "stale")
    return RefusalReason::Stale;
  if (Word == "duplicate")
    return RefusalReason::Duplicate;
  return RefusalReason::Unknown;
}

Result<DeliveryResponse> readAnswer(const json::object &From) {
  DeliveryResponse answer;
  BOOST_LEAF_ASSIGN(answer.Newest, numberMember(From, "newest", Place));
  BOOST_LEAF_AUTO(taken, arrayMember(From, "taken", Place));
  BOOST_LEAF_ASSIGN(answer.AcceptedSlots, slotsFromJson(*taken, Place));
  BOOST_LEAF_AUTO(refused, arrayMember(From, "refused", Place));
  for (const json::value &it : *refused) {
    if (!it.is_object())
      return badInput(std::string(Place) + "/refused", "not an object");
    BOOST_LEAF_AUTO(slot, textMember(it.get_object(), "slot", Place));
    BOOST_LEAF_AUTO(reason, textMember(it.get_object(), "reason", Place));
    BOOST_LEAF_AUTO(which, slotFromJson(json::value(slot), Place));
    answer.Refused.push_back({which, reasonOf(reason)});
  }
  const json::value *whole = From.if_contains("step_whole");
  answer.StepComplete =
      whole != nullptr && whole->is_bool() && whole->get_bool();
  return answer;
}

std::string deliveryBody(const Delivery &What) {
  json::array samples;
  for (const Sample &it : What.Samples)
    samples.push_back(toJson(it));
  return json::serialize(json::object{{"delivery", What.Id},
                                      {"fence", What.Fence},
                                      {"step", What.Step},
                                      {"samples", std::move(samples)}});
}

boost::asio::awaitable<Outcome<WantedStep>>
askStep(PlatformService Of, std::optional<std::uint64_t> After, Millis Wait) {
  std::string target = "/v1/step";
  if (After)
    target += "?after=" + std::to_string(*After) +
              "&wait_ms=" + std::to_string(Wait.count());
  Outcome<PlatformResponse> got =
      co_await callPlatform(Of, "GET", target, {}, Wait + AnswerTime);
  if (!got)
    co_return got.failure();
  if (got->Status != StatusOk)
    co_return failureOf(Of, *got);
  co_return toOutcome<WantedStep>([&] { return readStep(got->Body); });
}

boost::asio::awaitable<Outcome<DeliveryResponse>>
deliver(PlatformService Of, std::string Body, Millis Timeout) {
  Outcome<PlatformResponse> got = co_await callPlatform(
      Of, "POST", "/v1/deliveries", std::move(Body), Timeout);
  if (!got)
    co_return got.failure();
  if (got->Status != StatusOk)
    co_return failureOf(Of, *got);
  co_return toOutcome<DeliveryResponse>([&] { return readAnswer(got->Body); });
}

} // namespace

TrainerPort makeHttpTrainer(std::shared_ptr<http::Client> Client,
                            Address Where) {
  PlatformService of{std::move(Client), std::move(Where), "trainer"};
  TrainerPort port;
  port.Step = [of](std::optional<std::uint64_t> After, Millis Wait) {
    return askStep(of, After, Wait);
  };
  port.Deliver = [of](const Delivery &What, Millis Timeout) {
    return deliver(of, deliveryBody(What), Timeout);
  };
  return port;
}

} // namespace wasabi
