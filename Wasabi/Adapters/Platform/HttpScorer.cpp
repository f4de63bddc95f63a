#include "Wasabi/Adapters/Platform/HttpScorer.h"

#include "Wasabi/Adapters/Platform/PlatformCall.h"
#include "Wasabi/Rollout/SampleJson.h"

#include <boost/json/serialize.hpp>

namespace wasabi {

namespace {

constexpr unsigned StatusOk = 200;

boost::asio::awaitable<Outcome<double>>
score(PlatformService Service, std::string Body, Millis Timeout) {
  Outcome<PlatformResponse> response = co_await callPlatform(
      Service, "POST", "/v1/score", std::move(Body), Timeout);
  if (!response)
    co_return response.failure();
  if (response->Status != StatusOk)
    co_return makeStatusFailure(Service, *response);
  co_return toOutcome<double>(
      [&] { return realMember(response->Body, "score", Service.Place); });
}

} // namespace

ScorerPort makeHttpScorer(std::shared_ptr<http::Client> Client, Address Where) {
  PlatformService service{std::move(Client), std::move(Where), "scorer"};
  ScorerPort port;
  port.Score = [service](Slot Place, std::string Text, Millis Timeout) {
    return score(service,
                 boost::json::serialize(boost::json::object{
                     {"slot", toText(Place)}, {"text", Text}}),
                 Timeout);
  };
  return port;
}

} // namespace wasabi
