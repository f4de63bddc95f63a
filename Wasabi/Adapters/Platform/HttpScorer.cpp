#include "Wasabi/Adapters/Platform/HttpScorer.h"

#include "Wasabi/Adapters/Platform/PlatformCall.h"
#include "Wasabi/Rollout/SampleJson.h"

#include <boost/json/serialize.hpp>

namespace wasabi {

namespace {

constexpr unsigned StatusOk = 200;

boost::asio::awaitable<Outcome<double>>
score(PlatformService Of, std::string Body, Millis Timeout) {
  Outcome<PlatformResponse> got =
      co_await callPlatform(Of, "POST", "/v1/score", std::move(Body), Timeout);
  if (!got)
    co_return got.failure();
  if (got->Status != StatusOk)
    co_return failureOf(Of, *got);
  co_return toOutcome<double>(
      [&] { return realMember(got->Body, "score", Of.Place); });
}

} // namespace

ScorerPort makeHttpScorer(std::shared_ptr<http::Client> Client, Address Where) {
  PlatformService of{std::move(Client), std::move(Where), "scorer"};
  ScorerPort port;
  port.Score = [of](Slot Place, std::string Text, Millis Timeout) {
    return score(of,
                 boost::json::serialize(boost::json::object{
                     {"slot", toText(Place)}, {"text", Text}}),
                 Timeout);
  };
  return port;
}

} // namespace wasabi
