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
/// Time allowed for the response beyond the poll timeout.
constexpr Millis ResponseTimeMargin{5000};

Result<WantedGroup> parseGroup(const json::value &Object) {
  if (!Object.is_object())
    return badInput(std::string(Place) + "/groups", "not an object");
  const json::object &object = Object.get_object();
  WantedGroup group;
  BOOST_LEAF_AUTO(number, numberMember(object, "group", Place));
  BOOST_LEAF_ASSIGN(group.Prompt, textMember(object, "prompt", Place));
  BOOST_LEAF_AUTO(samples, numberMember(object, "samples", Place));
  BOOST_LEAF_AUTO(maxTokens, numberMember(object, "max_tokens", Place));
  BOOST_LEAF_ASSIGN(group.Seed, numberMember(object, "seed", Place));
  group.Group = static_cast<std::uint32_t>(number);
  group.Samples = static_cast<std::uint32_t>(samples);
  group.MaxTokens = static_cast<std::uint32_t>(maxTokens);
  return group;
}

Result<WantedStep> parseStep(const json::object &Object) {
  WantedStep step;
  BOOST_LEAF_ASSIGN(step.Step, numberMember(Object, "step", Place));
  BOOST_LEAF_AUTO(model, textMember(Object, "model", Place));
  step.Model = ModelName(model);
  BOOST_LEAF_ASSIGN(step.Newest, numberMember(Object, "newest", Place));
  BOOST_LEAF_AUTO(groups, arrayMember(Object, "groups", Place));
  for (const json::value &it : *groups) {
    BOOST_LEAF_AUTO(group, parseGroup(it));
    step.Groups.push_back(std::move(group));
  }
  BOOST_LEAF_AUTO(heldSlots, arrayMember(Object, "have", Place));
  BOOST_LEAF_ASSIGN(step.HeldSlots, slotsFromJson(*heldSlots, Place));
  if (Object.contains("fence")) {
    BOOST_LEAF_ASSIGN(step.Fence, numberMember(Object, "fence", Place));
  }
  return step;
}

RefusalReason parseRefusalReason(const std::string &Text) {
  if (Text == "stale")
    return RefusalReason::Stale;
  if (Text == "duplicate")
    return RefusalReason::Duplicate;
  return RefusalReason::Unknown;
}

Result<DeliveryResponse> parseDeliveryResponse(const json::object &Object) {
  DeliveryResponse answer;
  BOOST_LEAF_ASSIGN(answer.Newest, numberMember(Object, "newest", Place));
  BOOST_LEAF_AUTO(acceptedSlots, arrayMember(Object, "taken", Place));
  BOOST_LEAF_ASSIGN(answer.AcceptedSlots, slotsFromJson(*acceptedSlots, Place));
  BOOST_LEAF_AUTO(refused, arrayMember(Object, "refused", Place));
  for (const json::value &it : *refused) {
    if (!it.is_object())
      return badInput(std::string(Place) + "/refused", "not an object");
    BOOST_LEAF_AUTO(slot, textMember(it.get_object(), "slot", Place));
    BOOST_LEAF_AUTO(reason, textMember(it.get_object(), "reason", Place));
    BOOST_LEAF_AUTO(parsedSlot, slotFromJson(json::value(slot), Place));
    answer.Refused.push_back({parsedSlot, parseRefusalReason(reason)});
  }
  const json::value *stepComplete = Object.if_contains("step_whole");
  answer.StepComplete = stepComplete != nullptr && stepComplete->is_bool() &&
                        stepComplete->get_bool();
  return answer;
}

std::string encodeDelivery(const Delivery &Batch) {
  json::array samples;
  for (const Sample &it : Batch.Samples)
    samples.push_back(toJson(it));
  return json::serialize(json::object{{"delivery", Batch.Id},
                                      {"fence", Batch.Fence},
                                      {"step", Batch.Step},
                                      {"samples", std::move(samples)}});
}

boost::asio::awaitable<Outcome<WantedStep>>
fetchStep(PlatformService Service, std::optional<std::uint64_t> After,
          Millis PollTimeout) {
  std::string target = "/v1/step";
  if (After)
    target += "?after=" + std::to_string(*After) +
              "&wait_ms=" + std::to_string(PollTimeout.count());
  Outcome<PlatformResponse> response = co_await callPlatform(
      Service, "GET", target, {}, PollTimeout + ResponseTimeMargin);
  if (!response)
    co_return response.failure();
  if (response->Status != StatusOk)
    co_return makeStatusFailure(Service, *response);
  co_return toOutcome<WantedStep>([&] { return parseStep(response->Body); });
}

boost::asio::awaitable<Outcome<DeliveryResponse>>
deliver(PlatformService Service, std::string Body, Millis Timeout) {
  Outcome<PlatformResponse> response = co_await callPlatform(
      Service, "POST", "/v1/deliveries", std::move(Body), Timeout);
  if (!response)
    co_return response.failure();
  if (response->Status != StatusOk)
    co_return makeStatusFailure(Service, *response);
  co_return toOutcome<DeliveryResponse>(
      [&] { return parseDeliveryResponse(response->Body); });
}

} // namespace

TrainerPort makeHttpTrainer(std::shared_ptr<http::Client> Client,
                            Address Where) {
  PlatformService service{std::move(Client), std::move(Where), "trainer"};
  TrainerPort port;
  port.Step = [service](std::optional<std::uint64_t> After,
                        Millis PollTimeout) {
    return fetchStep(service, After, PollTimeout);
  };
  port.Deliver = [service](const Delivery &Batch, Millis Timeout) {
    return deliver(service, encodeDelivery(Batch), Timeout);
  };
  return port;
}

} // namespace wasabi
