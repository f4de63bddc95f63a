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
  http::Request ask;
  ask.Method = std::move(Method);
  ask.Target = std::move(Target);
  if (!Body.empty())
    ask.Headers.push_back({"Content-Type", "application/json"});
  ask.Body = std::move(Body);
  return ask;
}

} // namespace

boost::asio::awaitable<Outcome<PlatformResponse>>
callPlatform(PlatformService Of, std::string Method, std::string Target,
             std::string Body, Millis Timeout) {
  Outcome<http::Response> got = co_await Of.Client->call(
      Of.Where,
      makeRequest(std::move(Method), std::move(Target), std::move(Body)),
      Timeout);
  if (!got)
    co_return got.failure();
  PlatformResponse answer;
  answer.Status = got->Status;
  Outcome<boost::json::object> object = toOutcome<boost::json::object>(
      [&] { return parseObject(got->Body, Of.Place); });
  if (object)
    answer.Body = std::move(*object);
  else if (answer.Status == StatusOk)
    co_return object.failure();
  co_return answer;
}

Failure failureOf(const PlatformService &Of, const PlatformResponse &Answer) {
  Failure why;
  why.Place = Of.Place;
  why.Reason = "status " + std::to_string(Answer.Status);
  why.Code = FailureCode::Unavailable;
  why.Run = Verdict::MayHaveRun;
  if (Answer.Status == StatusTooMany || Answer.Status == StatusUnavailable) {
    why.Code = FailureCode::Overloaded;
    why.Run = Verdict::NotRun;
  } else if (Answer.Status == StatusConflict) {
    why.Code = FailureCode::StaleFence;
    why.Run = Verdict::NotRun;
    why.Reason += ": a newer fencing token was seen";
  }
  return why;
}

} // namespace wasabi
