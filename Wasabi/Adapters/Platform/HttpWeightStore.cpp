#include "Wasabi/Adapters/Platform/HttpWeightStore.h"

#include "Wasabi/Adapters/Platform/PlatformCall.h"
#include "Wasabi/Rollout/SampleJson.h"

namespace wasabi {

namespace {

constexpr unsigned StatusOk = 200;
constexpr Millis AnswerTime{5000};

boost::asio::awaitable<Outcome<WeightVersion>>
newest(PlatformService Of, ModelName Model, WeightVersion After, Millis Wait) {
  std::string target = "/v1/models/" + Model.Text +
                       "/versions?after=" + std::to_string(After) +
                       "&wait_ms=" + std::to_string(Wait.count());
  Outcome<PlatformResponse> got = co_await callPlatform(
      Of, "GET", std::move(target), {}, Wait + AnswerTime);
  if (!got)
    co_return got.failure();
  if (got->Status != StatusOk)
    co_return failureOf(Of, *got);
  co_return toOutcome<WeightVersion>(
      [&] { return numberMember(got->Body, "newest", Of.Place); });
}

} // namespace

WeightStorePort makeHttpWeightStore(std::shared_ptr<http::Client> Client,
                                    Address Where) {
  PlatformService of{std::move(Client), std::move(Where), "weight store"};
  WeightStorePort port;
  port.Newest = [of](ModelName Model, WeightVersion After, Millis Wait) {
    return newest(of, std::move(Model), After, Wait);
  };
  return port;
}

} // namespace wasabi
