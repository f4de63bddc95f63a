#include "Wasabi/Adapters/Platform/PlatformCall.h"

#include "Wasabi/Rollout/SampleJson.h"

namespace wasabi {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusTooMany = 429;
constexpr unsigned StatusUnavailable = 503;

http::Request makeRequest(std::string Method, std::string Target,
                          std::string Body) {
  http::Request request;
  request.Method = std::move(Method);
  request.Target = std::move(Target);
  if (!Body.empty())
    request.Headers.push_back({"Content-Type", "application/json"});
  request.Body = std::move(Body);
  return request;
}

} // namespace

boost::asio::awaitable<Outcome<PlatformResponse>>
callPlatform(PlatformService Service, std::string Method, std::string Target,
             std::string Body, Millis Timeout) {
  Outcome<http::Response> httpResponse = co_await Service.Client->call(
      Service.Where,
      makeRequest(std::move(Method), std::move(Target), std::move(Body)),
      Timeout);
  if (!httpResponse)
    co_return httpResponse.failure();
  PlatformResponse response;
  response.Status = httpResponse->Status;
  Outcome<boost::json::object> object = toOutcome<boost::json::object>(
      [&] { return parseObject(httpResponse->Body, Service.Place); });
  if (object)
    response.Body = std::move(*object);
  else if (response.Status == StatusOk)
    co_return object.failure();
  co_return response;
}

Failure makeStatusFailure(const PlatformService &Service,
                          const PlatformResponse &Response) {
  Failure why;
  why.Place = Service.Place;
  why.Reason = "status " + std::to_string(Response.Status);
  why.Code = FailureCode::Unavailable;
  why.Run = Verdict::MayHaveRun;
  if (Response.Status == StatusTooMany ||
      Response.Status == StatusUnavailable) {
    why.Code = FailureCode::Overloaded;
    why.Run = Verdict::NotRun;
  } else if (Response.Status == StatusConflict) {
    why.Code = FailureCode::StaleFence;
    why.Run = Verdict::NotRun;
    why.Reason += ": a newer fencing token was seen";
  }
  return why;
}

} // namespace wasabi
