#include "Wasabi/Adapters/Platform/HttpWeightStore.h"

#include "Wasabi/Adapters/Platform/PlatformCall.h"
#include "Wasabi/Rollout/SampleJson.h"

namespace wasabi {

namespace {

constexpr unsigned StatusOk = 200;
constexpr Millis ResponseTimeMargin{5000};

boost::asio::awaitable<Outcome<WeightVersion>>
fetchNewestVersion(PlatformService Service, ModelName Model,
                   WeightVersion After, Millis PollTimeout) {
  std::string target = "/v1/models/" + Model.Text +
                       "/versions?after=" + std::to_string(After) +
                       "&wait_ms=" + std::to_string(PollTimeout.count());
  Outcome<PlatformResponse> response = co_await callPlatform(
      Service, "GET", std::move(target), {}, PollTimeout + ResponseTimeMargin);
  if (!response)
    co_return response.failure();
  if (response->Status != StatusOk)
    co_return makeStatusFailure(Service, *response);
  co_return toOutcome<WeightVersion>(
      [&] { return numberMember(response->Body, "newest", Service.Place); });
}

} // namespace

WeightStorePort makeHttpWeightStore(std::shared_ptr<http::Client> Client,
                                    Address Where) {
  PlatformService service{std::move(Client), std::move(Where), "weight store"};
  WeightStorePort port;
  port.Newest = [service](ModelName Model, WeightVersion After,
                          Millis PollTimeout) {
    return fetchNewestVersion(service, std::move(Model), After, PollTimeout);
  };
  return port;
}

} // namespace wasabi
